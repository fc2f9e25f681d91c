package settings

import (
	"os"

	"beechgrade/internal/sexp"
)

// Durable says whether and where something is kept on a disk, with a mode of what is kept.
type Durable[M any] struct {
	Dir                      string // empty for off; "$NAME" stands for a variable of the environment
	Mode                     M
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // bytes a second that its compactions write at most, 0 for any
}

// read reads what is called name; its modes are before and alongside.
func (d *Durable[M]) read(node *sexp.Node, env func(string) string, name string, before, alongside M) error {
	*d = Durable[M]{MaxBytes: 64 << 20, Mode: before}
	if err := (sexp.Schema{
		"dir": func(node *sexp.Node) error {
			text, err := node.Str()
			d.Dir = os.Expand(text, env)
			return err
		},
		"mode": func(node *sexp.Node) error {
			a, err := node.Argument()
			if err != nil {
				return err
			}
			switch a.Text {
			case "before":
				d.Mode = before
			case "alongside":
				d.Mode = alongside
			default:
				return a.Errorf("before or alongside is due here")
			}
			return nil
		},
		"most": func(node *sexp.Node) (err error) { d.MaxBytes, err = node.Bytes(1<<20, 1<<40); return err },
		"pace": func(node *sexp.Node) (err error) {
			d.CompactionBytesPerSecond, err = node.Bytes(minCompactionRate, 1<<40)
			return err
		},
	}).Read(node.Args()); err != nil {
		return err
	}
	if d.Dir == "" {
		return node.Errorf("%s: (dir \"FOLDER\") is due, on a disk that survives", name)
	}
	return nil
}
