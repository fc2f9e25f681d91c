package settings

import (
	"beechgrade/internal/sexp"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
)

// Durable configures a durable store: whether there is one, its folder and its mode.
type Durable[M any] struct {
	Dir                      string // empty for off; "$NAME" stands for an environment variable
	Mode                     M
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // 0 for no limit
}

// Journal configures the store of the attempts that may have run.
type Journal Durable[journal.Mode]

// Sessions configures the store of sessions' last commits.
type Sessions Durable[sessiontoken.Mode]

const defaultDurableBytes = 64 * megabyte

var durableBytes = sizeRange{megabyte, terabyte}

// read reads the form named key. before, the default, and alongside are its modes.
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
				return mode.Errorf("expected before or alongside")
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
		return node.Errorf("%s: (dir \"FOLDER\"), on a disk that survives restarts, is missing", key)
	}
	return nil
}

func (j *Journal) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[journal.Mode])(j).read(node, env, "journal", journal.BeforeSend, journal.Alongside)
}

func (s *Sessions) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[sessiontoken.Mode])(s).read(node, env, "sessions", sessiontoken.BeforeAnswer, sessiontoken.Alongside)
}
