package settings

import (
	"slices"
	"time"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/statemachine"
	"beechgrade/internal/sexp"
)

// Zones configures the plan by which all poolers route the reads of each zone to zones. It needs (peers ...) and (agreed ...).
type Zones struct {
	Enabled bool
	Dir     string // of the stored number of the plan that the pooler follows; empty to store none
	zones.Settings
}

const minZones = 2

var (
	zoneCores         = numberRange{0.1, 1024} // of a server of size 1
	crossingPrices    = numberRange{0, 10}
	spareShares       = numberRange{0, 0.9}
	zonePeriods       = durationRange{100, 10 * second}
	planLifetimes     = durationRange{second, 10 * minute}
	planIntervals     = durationRange{200, minute}
	stepShares        = numberRange{0.01, 1}
	loadMemories      = durationRange{200, 10 * minute}
	zoneDelays        = durationRange{0, minute}
	minZoneRequests   = numberRange{1, 1e6}
	failingLossShares = numberRange{0.01, 1}
	healthyShares     = numberRange{0, 1}
	zoneFailureTimes  = durationRange{100, 10 * minute}
	evacuationTimes   = durationRange{0, 10 * minute}
	zoneRestTimes     = durationRange{second, hour}
	zoneMaxRestTimes  = durationRange{second, day}
	zoneRecoveryTimes = durationRange{0, hour}
)

func (z *Zones) read(node *sexp.Node, env func(string) string) error {
	*z = Zones{Enabled: true, Settings: zones.Defaults()}
	s := &z.Settings
	planner := &s.Planner
	state := &planner.Health
	var delays []*sexp.Node // evaluated after all zones are named
	err := sexp.Schema{
		"names":     z.readNames,
		"delay":     func(node *sexp.Node) error { delays = append(delays, node); return nil },
		"order":     z.readOrder,
		"dir":       folderPath(&z.Dir, env),
		"cores":     number(&s.CoresPerSize, zoneCores),
		"price":     number(&s.CrossingPrice, crossingPrices),
		"spare":     number(&planner.Plan.SpareShare, spareShares),
		"tight":     number(&planner.Plan.LocalSpareShare, spareShares),
		"period":    duration(&s.ReportInterval, zonePeriods),
		"life":      duration(&s.PlanLifetime, planLifetimes),
		"renew":     duration(&planner.RenewInterval, planIntervals),
		"step":      duration(&planner.StepInterval, planIntervals),
		"out":       number(&planner.OutwardShare, stepShares),
		"back":      number(&planner.ReturnShare, stepShares),
		"window":    duration(&planner.Window, planIntervals),
		"memory":    duration(&planner.LoadMemory, loadMemories),
		"least":     number(&state.MinAttempts, minZoneRequests),
		"fail-at":   number(&state.FailingLossShare, failingLossShares),
		"well-at":   number(&state.HealthyLossShare, healthyShares),
		"up-at":     number(&state.MinServingShare, healthyShares),
		"fail":      duration(&state.FailureTime, zoneFailureTimes),
		"empty":     duration(&state.EvacuationTime, evacuationTimes),
		"rest":      duration(&state.MinRest, zoneRestTimes),
		"most-rest": duration(&state.MaxRest, zoneMaxRestTimes),
		"warm":      duration(&state.RecoveryTime, zoneRecoveryTimes),
	}.Read(node.Args(), "delay", "order")
	switch {
	case err != nil:
		return err
	case len(s.Zones) < minZones || len(s.Zones) > statemachine.MaxZones:
		return node.Errorf("(zones ...) needs (names NAME NAME ...) with from %d to %d names", minZones, statemachine.MaxZones)
	case s.PlanLifetime < 2*planner.RenewInterval+2*s.ReportInterval:
		return node.Errorf("(life ...) of %g ms must be at least two times (renew ...) plus two times (period ...)", s.PlanLifetime)
	}
	if err := z.readDelays(delays); err != nil {
		return err
	}
	for _, order := range s.Orders {
		if s.Index(order.Zone) < 0 {
			return node.Errorf("an order names zone %q, which is not in (names ...)", order.Zone)
		}
	}
	return nil
}

func (z *Zones) readNames(node *sexp.Node) error {
	for _, item := range node.Args() {
		isNew := isName(item) && !slices.Contains(z.Zones, item.Text)
		if !isNew || len(item.Text) > statemachine.MaxNameBytes {
			return item.Errorf("expected a zone's name, each listed once")
		}
		z.Zones = append(z.Zones, item.Text)
	}
	return nil
}

// readDelays reads the one-way delays between zones. Delays that are not set are 0.
func (z *Zones) readDelays(nodes []*sexp.Node) error {
	plan := &z.Planner.Plan
	for range z.Zones {
		plan.Delay = append(plan.Delay, make([]float64, len(z.Zones)))
	}
	for _, node := range nodes {
		arguments := node.Args()
		if len(arguments) != 3 || z.Index(arguments[0].Text) < 0 || z.Index(arguments[1].Text) < 0 {
			return node.Errorf("expected (delay ZONE ZONE TIME): the one-way delay between two zones in (names ...)")
		}
		ms, err := arguments[2].Duration(zoneDelays.min, zoneDelays.max)
		if err != nil {
			return err
		}
		a, b := z.Index(arguments[0].Text), z.Index(arguments[1].Text)
		plan.Delay[a][b], plan.Delay[b][a] = ms, ms
	}
	return nil
}

// readOrder reads (order NUMBER ZONE STATE (until "TIME")). The state lifted lifts the zone's order.
func (z *Zones) readOrder(node *sexp.Node) error {
	arguments := node.Args()
	if len(arguments) < 3 || len(arguments) > 4 {
		return node.Errorf("expected (order NUMBER ZONE STATE), followed by (until \"2026-01-31T12:00:00Z\") if it expires; STATE is one of %v, or lifted", health.StateNames)
	}
	number, err := wholeNumber(arguments[0], 1)
	if err != nil {
		return err
	}
	stateNode := arguments[2]
	state := slices.Index(health.StateNames[:], stateNode.Text)
	lifts := stateNode.Text == "lifted"
	if state < 0 && !lifts {
		return stateNode.Errorf("expected one of %v, or lifted", health.StateNames)
	}
	order := zones.Order{Number: uint64(number), Zone: arguments[1].Text, State: health.State(max(0, state)), Lifts: lifts}
	if len(arguments) == 4 {
		if order.Until, err = readUntil(arguments[3]); err != nil {
			return err
		}
	}
	z.Orders = append(z.Orders, order)
	return nil
}

// readUntil reads (until "TIME"), in RFC 3339, as Unix milliseconds.
func readUntil(node *sexp.Node) (float64, error) {
	text, err := node.Str()
	if err != nil || node.Head() != "until" {
		return 0, node.Errorf("expected (until \"TIME\")")
	}
	until, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, node.Errorf("%q is not a time such as 2026-01-31T12:00:00Z", text)
	}
	return float64(until.UnixMilli()), nil
}
