package scenario

import (
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
)

// OutlierDetection has the settings of shared outlier detection.
type OutlierDetection struct {
	settings.OutlierDetection
	node *sexp.Node
}

// readOutlierDetection reads (verdicts ...), in the form of the operators' settings.
func (s *Script) readOutlierDetection(n *sexp.Node) error {
	set, err := settings.ReadOutlierDetection(n)
	s.OutlierDetection = &OutlierDetection{*set, n}
	return err
}
