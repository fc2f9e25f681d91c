package settings

import (
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/sexp"
)

// OutlierDetection says whether and how the fleet shares what it knows of servers. It takes (peers ...).
type OutlierDetection struct {
	Enabled bool
	adapter.Options
}

// ReadOutlierDetection reads (verdicts ...).
func ReadOutlierDetection(node *sexp.Node) (*OutlierDetection, error) {
	v := &OutlierDetection{}
	return v, v.read(node)
}

func (v *OutlierDetection) read(node *sexp.Node) error {
	v.Enabled, v.Options = true, adapter.Options{Settings: outlier.Defaults()}
	s := &v.Settings
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	whole := func(to *int, least, most int) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Int(least, most); return err }
	}
	flag := func(to *bool) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Bool(); return err }
	}
	return sexp.Schema{
		"period": span(&s.ReportInterval, 50, 10000), "refresh": span(&s.RefreshInterval, 200, 60000), "collectors": whole(&s.Collectors, 1, 7), "testers": whole(&s.MaxTesters, 1, 64),
		"turn": span(&s.TesterTurn, 200, 60000), "delay": span(&s.MaxDelay, 1, 2000), "stale": span(&s.StaleAfter, 200, 60000),
		"lapse": span(&s.EjectionTime, 500, 600000), "observers": whole(&s.MinObservers, 2, 16), "vouch": whole(&s.MinVouchers, 1, 16), "shun": span(&s.DistrustTime, 0, 3600e3),
		"blind":  func(node *sexp.Node) (err error) { s.MaxEjectedShare, err = node.Float(0, 0.75); return err },
		"health": flag(&s.ShareHealth), "places": flag(&s.SharePositions), "roles": flag(&s.ShareRoles),
	}.Read(node.Args())
}
