package settings

import (
	"slices"
	"time"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/statemachine"
	"beechgrade/internal/sexp"
)

// Zones says whether the poolers decide together to which zones each zone's reads go. It needs (peers ...) and (agreed ...).
type Zones struct {
	Enabled bool
	Dir     string // where a pooler keeps the number of the plan that it follows; empty for nowhere
	zones.Settings
}

const minZones = 2

var (
	zoneCores         = numberRange{0.1, 1024} // of a server
	zonePrices        = numberRange{0, 10}
	zoneReserves      = numberRange{0, 0.9}
	zonePeriods       = durationRange{100, 10 * second}
	planLifetimes     = durationRange{second, 10 * minute}
	planIntervals     = durationRange{200, minute}
	planSteps         = numberRange{0.01, 1}
	planMemories      = durationRange{200, 10 * minute}
	zoneDelays        = durationRange{0, minute}
	minZoneRequests   = numberRange{1, 1e6}
	zoneFailureParts  = numberRange{0.01, 1}
	zoneRecoveryParts = numberRange{0, 1}
	zoneFailureTimes  = durationRange{100, 10 * minute}
	zoneEmptyTimes    = durationRange{0, 10 * minute}
	zoneRestTimes     = durationRange{second, hour}
	zoneMaxRestTimes  = durationRange{second, day}
	zoneWarmupTimes   = durationRange{0, hour}
)

func (z *Zones) read(node *sexp.Node, env func(string) string) error {
	*z = Zones{Enabled: true, Settings: zones.Defaults()}
	s := &z.Settings
	planner := &s.Chief
	state := &planner.State
	var delays []*sexp.Node // read once all zones are named
	err := sexp.Schema{
		"names":     z.readNames,
		"delay":     func(node *sexp.Node) error { delays = append(delays, node); return nil },
		"order":     z.readOrder,
		"dir":       folderPath(&z.Dir, env),
		"cores":     number(&s.Cores, zoneCores),
		"price":     number(&s.Price, zonePrices),
		"spare":     number(&planner.Plan.Spare, zoneReserves),
		"tight":     number(&planner.Plan.Tight, zoneReserves),
		"period":    duration(&s.Period, zonePeriods),
		"life":      duration(&s.Life, planLifetimes),
		"renew":     duration(&planner.Renew, planIntervals),
		"step":      duration(&planner.Step, planIntervals),
		"out":       number(&planner.Out, planSteps),
		"back":      number(&planner.Back, planSteps),
		"window":    duration(&planner.Window, planIntervals),
		"memory":    duration(&planner.Memory, planMemories),
		"least":     number(&state.Least, minZoneRequests),
		"fail-at":   number(&state.FailAt, zoneFailureParts),
		"well-at":   number(&state.WellAt, zoneRecoveryParts),
		"up-at":     number(&state.UpAt, zoneRecoveryParts),
		"fail":      duration(&state.Fail, zoneFailureTimes),
		"empty":     duration(&state.Empty, zoneEmptyTimes),
		"rest":      duration(&state.Rest, zoneRestTimes),
		"most-rest": duration(&state.MostRest, zoneMaxRestTimes),
		"warm":      duration(&state.Warm, zoneWarmupTimes),
	}.Read(node.Args(), "delay", "order")
	switch {
	case err != nil:
		return err
	case len(s.Zones) < minZones || len(s.Zones) > statemachine.MostZones:
		return node.Errorf("(zones ...) needs (names NAME NAME ...), from %d to %d of them", minZones, statemachine.MostZones)
	case s.Life < 2*planner.Renew+2*s.Period:
		return node.Errorf("a plan's life of %g ms is to be two renewals and two periods at least", s.Life)
	}
	if err := z.readDelays(delays); err != nil {
		return err
	}
	for _, order := range s.Order {
		if s.Index(order.Zone) < 0 {
			return node.Errorf("an order is of zone %q, which is not named", order.Zone)
		}
	}
	return nil
}

func (z *Zones) readNames(node *sexp.Node) error {
	for _, item := range node.Args() {
		isNew := isName(item) && !slices.Contains(z.Zones, item.Text)
		if !isNew || len(item.Text) > statemachine.MostName {
			return item.Errorf("a zone's name, each once, is due here")
		}
		z.Zones = append(z.Zones, item.Text)
	}
	return nil
}

// readDelays reads the delays between zones; those that are not set are 0.
func (z *Zones) readDelays(nodes []*sexp.Node) error {
	plan := &z.Chief.Plan
	for range z.Zones {
		plan.Delay = append(plan.Delay, make([]float64, len(z.Zones)))
	}
	for _, node := range nodes {
		arguments := node.Args()
		if len(arguments) != 3 || z.Index(arguments[0].Text) < 0 || z.Index(arguments[1].Text) < 0 {
			return node.Errorf("(delay ZONE ZONE TIME): one way between two zones that are named")
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

// readOrder reads (order NUMBER ZONE STATE (until "TIME")), or lifted in place of a state.
func (z *Zones) readOrder(node *sexp.Node) error {
	arguments := node.Args()
	if len(arguments) < 3 || len(arguments) > 4 {
		return node.Errorf("(order NUMBER ZONE STATE), with (until \"2026-01-31T12:00:00Z\") behind it where it ends; STATE is one of %v, or lifted", health.Names)
	}
	number, err := wholeNumber(arguments[0], 1)
	if err != nil {
		return err
	}
	stateNode := arguments[2]
	state := slices.Index(health.Names[:], stateNode.Text)
	lifts := stateNode.Text == "lifted"
	if state < 0 && !lifts {
		return stateNode.Errorf("a state is one of %v, or lifted", health.Names)
	}
	order := zones.Order{No: uint64(number), Zone: arguments[1].Text, State: health.State(max(0, state)), Lifts: lifts}
	if len(arguments) == 4 {
		if order.Until, err = readUntil(arguments[3]); err != nil {
			return err
		}
	}
	z.Order = append(z.Order, order)
	return nil
}

// readUntil reads (until "TIME"), in RFC 3339, as Unix milliseconds.
func readUntil(node *sexp.Node) (float64, error) {
	text, err := node.Str()
	if err != nil || node.Head() != "until" {
		return 0, node.Errorf("(until \"TIME\") is due here")
	}
	until, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, node.Errorf("%q is no time as 2026-01-31T12:00:00Z", text)
	}
	return float64(until.UnixMilli()), nil
}
