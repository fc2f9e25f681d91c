package scenario

import (
	"beechgrade/internal/operate"
	"beechgrade/internal/sexp"
)

// verdicts reads (verdicts ...), as the operators' settings have it.
func (s *Script) verdicts(n *sexp.Node) (err error) {
	s.Verdicts, err = operate.ReadVerdicts(n)
	return err
}
