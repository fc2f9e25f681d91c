package checker

import (
	"fmt"
	"slices"
)

// ZoneChecker checks the plans that poolers follow against the true load and capacity. It knows the injected faults and the contents of
// plans, not how they are computed. Time is calm while no fault is active and nothing changed recently.
type ZoneChecker struct {
	SafeLoad       float64 // maximum planned share of a receiving zone's cores
	SettleMs       float64 // ms after a change within which a plan need not reflect it
	MaxRemoteShare float64 // maximum share of reads sent to other zones while calm

	PlansChecked int // number of checks of a plan against the safe load
	Breaches     []Breach
	plans        map[uint64]uint64 // hash of the plan's contents, by plan number
	last         map[int]uint64    // highest plan number followed, by pooler, over all its processes
	changes      []float64
	faults       [][2]float64
	reads        float64
	remoteReads  float64
}

// The rules.
const (
	OnePlan  Rule = "one plan for each number"
	OldPlan  Rule = "no old plan after a new one"
	FullZone Rule = "a receiving zone never above its safe load by the plan"
	NearCalm Rule = "near while safe"
)

// NewZoneChecker returns a checker.
func NewZoneChecker(safeLoad, settleMs, maxRemoteShare float64) *ZoneChecker {
	return &ZoneChecker{
		SafeLoad:       safeLoad,
		SettleMs:       settleMs,
		MaxRemoteShare: maxRemoteShare,
		plans:          map[uint64]uint64{},
		last:           map[int]uint64{},
	}
}

func (c *ZoneChecker) breach(r Rule, at float64, format string, args ...any) {
	c.Breaches = append(c.Breaches, Breach{Rule: r, At: at, Text: fmt.Sprintf(format, args...)})
}

// FaultChanged records a change of zones, their servers or their load.
func (c *ZoneChecker) FaultChanged(at float64) { c.changes = append(c.changes, at) }

// FaultInjected records a fault from one time to another, possibly in advance.
func (c *ZoneChecker) FaultInjected(from, to float64) {
	c.FaultChanged(from)
	c.FaultChanged(to)
	c.faults = append(c.faults, [2]float64{from, to})
}

// settled reports whether nothing changed within SettleMs.
func (c *ZoneChecker) settled(at float64) bool {
	return !slices.ContainsFunc(c.changes, func(x float64) bool { return x <= at && at < x+c.SettleMs })
}

// PlanFollowed records that a pooler follows a plan; sum is a hash of its contents.
func (c *ZoneChecker) PlanFollowed(at float64, pooler int, number, sum uint64) {
	if was, known := c.plans[number]; known && was != sum {
		c.breach(OnePlan, at, "pooler %d follows another plan %d than others", pooler, number)
	}
	c.plans[number] = sum
	if number < c.last[pooler] {
		c.breach(OldPlan, at, "pooler %d follows plan %d after %d", pooler, number, c.last[pooler])
	}
	c.last[pooler] = max(c.last[pooler], number)
}

// CheckPlan checks a plan's shares by zone, given the demand near each zone and the serving cores in each.
func (c *ZoneChecker) CheckPlan(at float64, number uint64, shares [][]float64, demand, cores []float64) {
	if !c.settled(at) {
		return
	}
	c.PlansChecked++
	for to := range cores {
		total, remote := 0.0, 0.0
		for from := range shares {
			if total += shares[from][to] * demand[from]; from != to {
				remote += shares[from][to] * demand[from]
			}
		}
		if remote > 0 && total > c.SafeLoad*cores[to] {
			c.breach(FullZone, at, "plan %d has %.2f cores of work in zone %d, %.2f of them of others; safe are %.2f", number, total, to, remote, c.SafeLoad*cores[to])
		}
	}
}

// ReadSent records an attempt of a read that any member may serve, and whether it went to another zone.
func (c *ZoneChecker) ReadSent(at float64, remote bool) {
	if !c.settled(at) || slices.ContainsFunc(c.faults, func(f [2]float64) bool { return f[0] <= at && at < f[1] }) {
		return
	}
	if c.reads++; remote {
		c.remoteReads++
	}
}

// Finish checks and returns the share of reads that went to other zones while calm.
func (c *ZoneChecker) Finish(at float64) (remoteShare float64) {
	if remoteShare = c.remoteReads / max(1, c.reads); remoteShare > c.MaxRemoteShare {
		c.breach(NearCalm, at, "%.3f of %.0f reads crossed in calm", remoteShare, c.reads)
	}
	return remoteShare
}

// CalmReads returns the number of reads sent while calm.
func (c *ZoneChecker) CalmReads() float64 { return c.reads }
