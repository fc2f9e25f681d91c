package scenario

import (
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
)

// Verdicts has the settings of shared outlier detection.
type Verdicts struct {
	settings.OutlierDetection
	node *sexp.Node
}

// readOutlierDetection reads (verdicts ...), as the operators' settings have it.
func (s *Script) readOutlierDetection(n *sexp.Node) error {
	set, err := settings.ReadOutlierDetection(n)
	s.Verdicts = &Verdicts{*set, n}
	return err
}
