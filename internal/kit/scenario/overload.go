package scenario

import (
	"beechgrade/internal/operate"
	"beechgrade/internal/sexp"
)

// overload reads (overload ...), as the operators' settings have it.
func (s *Script) overload(n *sexp.Node) (err error) {
	s.Overload, err = operate.ReadOverload(n)
	return err
}
