package settings

import "beechgrade/internal/sexp"

// Invariants say whether the process checks invariants of its own state while it serves.
type Invariants struct {
	Enabled      bool
	WalkInterval int // changes between two walks over large state
}

const defaultWalkInterval = 64

var walkIntervals = countRange{1, 1 << 20}

func (i *Invariants) read(node *sexp.Node, _ func(string) string) error {
	*i = Invariants{Enabled: true, WalkInterval: defaultWalkInterval}
	return sexp.Schema{
		"every": count(&i.WalkInterval, walkIntervals),
	}.Read(node.Args())
}
