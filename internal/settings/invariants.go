package settings

import "beechgrade/internal/sexp"

// Invariants configures the checks of invariants while the process serves.
type Invariants struct {
	Enabled      bool
	WalkInterval int // number of changes per walk over large state
}

const defaultWalkInterval = 64

var walkIntervals = countRange{1, 1 << 20}

func (i *Invariants) read(node *sexp.Node, _ func(string) string) error {
	*i = Invariants{Enabled: true, WalkInterval: defaultWalkInterval}
	return sexp.Schema{
		"every": count(&i.WalkInterval, walkIntervals),
	}.Read(node.Args())
}
