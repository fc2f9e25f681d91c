package settings

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/sexp"
)

// OutlierDetection says whether and how the poolers share what they observe of servers. It needs (peers ...).
type OutlierDetection struct {
	Enabled bool
	adapter.Options
}

var (
	outlierPeriods    = durationRange{50, 10 * second}
	outlierRefreshes  = durationRange{200, minute}
	testerCounts      = countRange{1, 64}
	testTurns         = durationRange{200, minute}
	testDelays        = durationRange{1, 2 * second}
	outlierStaleness  = durationRange{200, minute}
	outlierLapses     = durationRange{500, 10 * minute}
	observerCounts    = countRange{2, 16}
	voucherCounts     = countRange{1, 16}
	ejectionTimes     = durationRange{0, hour}
	blindnessFraction = numberRange{0, 0.75}
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
		"lapse":      duration(&s.EjectionTime, outlierLapses),
		"observers":  count(&s.MinObservers, observerCounts),
		"vouch":      count(&s.MinVouchers, voucherCounts),
		"shun":       duration(&s.DistrustTime, ejectionTimes),
		"blind":      number(&s.MaxEjectedShare, blindnessFraction),
		"health":     flag(&s.ShareHealth),
		"places":     flag(&s.SharePositions),
		"roles":      flag(&s.ShareRoles),
	}.Read(node.Args())
}
