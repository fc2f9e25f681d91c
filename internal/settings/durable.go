package settings

import (
	"os"

	"beechgrade/internal/sexp"
)

// Durable says whether and where something is kept on a disk, with a mode of what is kept.
type Durable[M any] struct {
	Dir       string // empty for off; "$NAME" stands for a variable of the environment
	Mode      M
	MostBytes int64
	Pace      int64 // bytes a second that its compactions write at most, 0 for any
}

// read reads what is called name; its modes are before and alongside.
func (d *Durable[M]) read(n *sexp.Node, env func(string) string, name string, before, alongside M) error {
	*d = Durable[M]{MostBytes: 64 << 20, Mode: before}
	if err := (sexp.Form{
		"dir": func(n *sexp.Node) error {
			text, err := n.Str()
			d.Dir = os.Expand(text, env)
			return err
		},
		"mode": func(n *sexp.Node) error {
			a, err := n.One()
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
		"most": func(n *sexp.Node) (err error) { d.MostBytes, err = n.Bytes(1<<20, 1<<40); return err },
		"pace": func(n *sexp.Node) (err error) { d.Pace, err = n.Bytes(leastPace, 1<<40); return err },
	}).Read(n.Args()); err != nil {
		return err
	}
	if d.Dir == "" {
		return n.Errorf("%s: (dir \"FOLDER\") is due, on a disk that survives", name)
	}
	return nil
}
