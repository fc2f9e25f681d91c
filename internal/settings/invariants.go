package settings

import "beechgrade/internal/sexp"

// Invariants say whether the process checks statements about its own state as it serves.
type Invariants struct {
	On    bool
	Every int // changes for one walk over what is large
}

func (i *Invariants) read(n *sexp.Node) error {
	*i = Invariants{On: true, Every: 64}
	return sexp.Form{
		"every": func(n *sexp.Node) (err error) { i.Every, err = n.Int(1, 1<<20); return err },
	}.Read(n.Args())
}
