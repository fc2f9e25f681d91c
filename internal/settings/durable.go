package settings

import (
	"beechgrade/internal/sexp"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
)

// Durable says whether and where a durable store is kept, and in which mode.
type Durable[M any] struct {
	Dir                      string // empty for off; "$NAME" stands for a variable of the environment
	Mode                     M
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // 0 for any
}

// Journal is the store of the attempts that may have run.
type Journal Durable[journal.Mode]

// Sessions is the store of sessions' last commits.
type Sessions Durable[sessiontoken.Mode]

const defaultDurableBytes = 64 * megabyte

var durableBytes = sizeRange{megabyte, terabyte}

// read reads the form called key. Its modes are before, the default, and alongside.
func (d *Durable[M]) read(node *sexp.Node, env func(string) string, key string, before, alongside M) error {
	*d = Durable[M]{MaxBytes: defaultDurableBytes, Mode: before}
	err := sexp.Schema{
		"dir": expanded(&d.Dir, env),
		"mode": func(node *sexp.Node) error {
			mode, err := node.Argument()
			if err != nil {
				return err
			}
			switch mode.Text {
			case "before":
				d.Mode = before
			case "alongside":
				d.Mode = alongside
			default:
				return mode.Errorf("before or alongside is due here")
			}
			return nil
		},
		"most": size(&d.MaxBytes, durableBytes),
		"pace": size(&d.CompactionBytesPerSecond, compactionRate),
	}.Read(node.Args())
	if err != nil {
		return err
	}
	if d.Dir == "" {
		return node.Errorf("%s: (dir \"FOLDER\") is due, on a disk that survives", key)
	}
	return nil
}

func (j *Journal) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[journal.Mode])(j).read(node, env, "journal", journal.BeforeSend, journal.Alongside)
}

func (s *Sessions) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[sessiontoken.Mode])(s).read(node, env, "sessions", sessiontoken.BeforeAnswer, sessiontoken.Alongside)
}
