package settings

import (
	"os"

	"beechgrade/internal/sexp"
)

// Kept says whether and where the last good configuration and list are kept for a start whose sources are gone.
type Kept struct {
	Dir       string // empty for off; "$NAME" stands for a variable of the environment
	AgeMs     float64
	MostBytes int64
	Pace      int64 // bytes a second that its compactions write at most, 0 for any
}

// Defaults and bounds of Kept.
const (
	defaultAge  = 24 * 3600e3
	defaultKept = 32 << 20
	leastPace   = 64 << 10 // of any store's compactions: a slower one may never end
)

func (k *Kept) read(n *sexp.Node, env func(string) string) error {
	*k = Kept{AgeMs: defaultAge, MostBytes: defaultKept}
	if err := (sexp.Form{
		"dir": func(n *sexp.Node) error {
			text, err := n.Str()
			k.Dir = os.Expand(text, env)
			return err
		},
		"age":  func(n *sexp.Node) (err error) { k.AgeMs, err = n.Millis(1000, 365*defaultAge); return err },
		"most": func(n *sexp.Node) (err error) { k.MostBytes, err = n.Bytes(1<<20, 1<<40); return err },
		"pace": func(n *sexp.Node) (err error) { k.Pace, err = n.Bytes(leastPace, 1<<40); return err },
	}).Read(n.Args()); err != nil {
		return err
	}
	if k.Dir == "" {
		return n.Errorf("kept: (dir \"FOLDER\") is due, on a disk that survives")
	}
	return nil
}
