package settings

import (
	"os"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/sexp"
)

// Overload configures how the poolers handle overload together. It needs (peers ...).
type Overload struct {
	Enabled bool
	adapter.Options
}

const minPeriodsUntilStale = 3 // so that one report may be lost

var (
	overloadPeriods      = durationRange{100, 10 * second}
	rateMemories         = durationRange{100, 10 * second}
	overloadStaleness    = durationRange{300, minute}
	overloadHoldTimes    = durationRange{500, 10 * minute}
	overloadFadeTimes    = durationRange{100, 10 * minute}
	sessionPeriods       = durationRange{second, hour}
	overloadTargets      = numberRange{0.01, 0.5}
	overloadDelays       = numberRange{0.05, 0.9}
	backlogDivisors      = numberRange{0.3, 10}
	overloadGrowthRates  = numberRange{0.01, 2}
	collectorCounts      = countRange{1, 7}
	recoveryRampRates    = numberRange{1, 1e6}
	attemptShares        = numberRange{0, 10}
	retryFloors          = numberRange{0, 1e4}
	retrySpans           = durationRange{100, hour}
	lendingReserves      = numberRange{0, 1e3}
	maxOwnerBalances     = numberRange{1, 1e4}
	proberCounts         = countRange{1, 16}
	healthCheckIntervals = durationRange{1, 10 * second}
	healthCheckAges      = durationRange{0, 10 * second}
	proberTimeouts       = durationRange{10, 10 * second}
	skipTimes            = durationRange{0, 10 * minute}
)

// ReadOverload reads (overload ...).
func ReadOverload(node *sexp.Node) (*Overload, error) {
	o := &Overload{}
	return o, o.read(node, os.Getenv)
}

func (o *Overload) read(node *sexp.Node, _ func(string) string) error {
	o.Enabled = true
	o.Options = adapter.Options{
		Shedding:            overload.Defaults(),
		ProbeSharingEnabled: true,
		Probes:              overload.DefaultProbes(),
		RetryBounds:         adapter.DefaultRetryBounds(),
	}
	s := &o.Shedding
	err := sexp.Schema{
		"shed":       flag(&o.SheddingEnabled),
		"period":     duration(&s.ReportInterval, overloadPeriods),
		"memory":     duration(&s.RateMemory, rateMemories),
		"stale":      duration(&s.StaleAfter, overloadStaleness),
		"hold":       duration(&s.HoldTime, overloadHoldTimes),
		"fall":       duration(&s.FadeTime, overloadFadeTimes),
		"keep":       duration(&s.SessionPeriod, sessionPeriods),
		"target":     number(&s.StrainTarget, overloadTargets),
		"delay":      number(&s.DelayTarget, overloadDelays),
		"drain":      number(&s.BacklogDivisor, backlogDivisors),
		"back":       number(&s.GrowthRate, overloadGrowthRates),
		"collectors": count(&s.Collectors, collectorCounts),
		"returns":    number(&o.RetryBounds.RecoveryRampRate, recoveryRampRates),
		"repeats":    o.readRepeats,
		"probes":     o.readProbes,
	}.Read(node.Args())
	if err == nil && s.StaleAfter < minPeriodsUntilStale*s.ReportInterval {
		err = node.Errorf("with (period ...) of %g ms, (stale ...) of %g ms leaves no room for a lost report", s.ReportInterval, s.StaleAfter)
	}
	return err
}

// readRepeats reads (repeats ...), the budget of retries.
func (o *Overload) readRepeats(node *sexp.Node) error {
	b := &o.RetryBounds
	b.RetryBudgetEnabled = true
	return sexp.Schema{
		"part":  number(&b.AttemptShare, attemptShares),
		"floor": number(&b.Floor, retryFloors),
		"span":  duration(&b.SpanMs, retrySpans),
		"lend":  flag(&b.LendingEnabled),
		"keep":  number(&b.Lending.OwnReserve, lendingReserves),
		"vault": number(&b.Lending.MaxOwnerBalance, maxOwnerBalances),
	}.Read(node.Args())
}

// readProbes reads (probes ...), the sharing of health checks.
func (o *Overload) readProbes(node *sexp.Node) error {
	p := &o.Probes
	return sexp.Schema{
		"share":    flag(&o.ProbeSharingEnabled),
		"probers":  count(&p.Probers, proberCounts),
		"each":     duration(&p.MinInterval, healthCheckIntervals),
		"age":      duration(&p.MaxResultAge, healthCheckAges),
		"patience": duration(&p.ProberTimeout, proberTimeouts),
		"shun":     duration(&p.SkipTime, skipTimes),
	}.Read(node.Args())
}
