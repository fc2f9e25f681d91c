package scenario

import (
	"beechgrade/internal/operate"
	"beechgrade/internal/sexp"
)

// Overload is how the fleet handles overload as one.
type Overload struct {
	operate.Overload
	node *sexp.Node
}

// overload reads (overload ...), as the operators' settings have it.
func (s *Script) overload(n *sexp.Node) error {
	set, err := operate.ReadOverload(n)
	s.Overload = &Overload{*set, n}
	return err
}
