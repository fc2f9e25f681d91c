package settings

import (
	"beechgrade/internal/sexp"
	"beechgrade/internal/storage/journal"
)

// Journal says whether and where it is kept which attempts may have run.
type Journal Durable[journal.Mode]

func (j *Journal) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[journal.Mode])(j).read(node, env, "journal", journal.BeforeSend, journal.Alongside)
}
