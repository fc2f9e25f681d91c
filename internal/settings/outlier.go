package settings

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/sexp"
)

// OutlierDetection configures how the poolers share their observations of servers. It needs (peers ...).
type OutlierDetection struct {
	Enabled bool
	adapter.Options
}

var (
	outlierPeriods   = durationRange{50, 10 * second}
	outlierRefreshes = durationRange{200, minute}
	testerCounts     = countRange{1, 64}
	testTurns        = durationRange{200, minute}
	testDelays       = durationRange{1, 2 * second}
	outlierStaleness = durationRange{200, minute}
	ejectionTimes    = durationRange{500, 10 * minute}
	observerCounts   = countRange{2, 16}
	voucherCounts    = countRange{1, 16}
	distrustTimes    = durationRange{0, hour}
	maxEjectedShares = numberRange{0, 0.75}
)

// ReadOutlierDetection reads (verdicts ...).
func ReadOutlierDetection(node *sexp.Node) (*OutlierDetection, error) {
	d := &OutlierDetection{}
	return d, d.read(node, os.Getenv)
}

func (d *OutlierDetection) read(node *sexp.Node, _ func(string) string) error {
	d.Enabled = true
	d.Options = adapter.Options{Settings: outlier.Defaults()}
	s := &d.Settings
	return sexp.Schema{
		"period":     duration(&s.ReportInterval, outlierPeriods),
		"refresh":    duration(&s.RefreshInterval, outlierRefreshes),
		"collectors": count(&s.Collectors, collectorCounts),
		"testers":    count(&s.MaxTesters, testerCounts),
		"turn":       duration(&s.TesterTurn, testTurns),
		"delay":      duration(&s.MaxDelay, testDelays),
		"stale":      duration(&s.StaleAfter, outlierStaleness),
		"lapse":      duration(&s.EjectionTime, ejectionTimes),
		"observers":  count(&s.MinObservers, observerCounts),
		"vouch":      count(&s.MinVouchers, voucherCounts),
		"shun":       duration(&s.DistrustTime, distrustTimes),
		"blind":      number(&s.MaxEjectedShare, maxEjectedShares),
		"health":     flag(&s.ShareHealth),
		"places":     flag(&s.SharePositions),
		"roles":      flag(&s.ShareRoles),
	}.Read(node.Args())
}
