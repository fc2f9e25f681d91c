package settings

import "beechgrade/internal/sexp"

// Invariants say whether the process checks statements about its own state as it serves.
type Invariants struct {
	Enabled      bool
	WalkInterval int // changes for one walk over what is large
}

func (i *Invariants) read(node *sexp.Node) error {
	*i = Invariants{Enabled: true, WalkInterval: 64}
	return sexp.Schema{
		"every": func(node *sexp.Node) (err error) { i.WalkInterval, err = node.Int(1, 1<<20); return err },
	}.Read(node.Args())
}
