package checker

import (
	"fmt"
	"slices"
)

// ZoneChecker holds what poolers made of the fleet's plans against what was true of clients and servers. It knows the faults, by Changed and Struck, and no
// plan but by what it says. Calm is where nothing is under way, and nothing ended lately.
type ZoneChecker struct {
	SafeLoad       float64 // part of a zone's cores that may be planned where it receives
	SettleMs       float64 // ms after a change in which a plan may not know of it yet
	MaxRemoteShare float64 // part of reads that may cross in calm

	PlansChecked int // looks at a plan that were held against its safe load
	Breaches     []Breach
	plans        map[uint64]uint64 // by number: a sum of what it asks for
	last         map[int]uint64    // by pooler, whatever process
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

// NewZoneChecker makes a checker.
func NewZoneChecker(safeLoad, settleMs, maxRemoteShare float64) *ZoneChecker {
	return &ZoneChecker{SafeLoad: safeLoad, SettleMs: settleMs, MaxRemoteShare: maxRemoteShare, plans: map[uint64]uint64{}, last: map[int]uint64{}}
}

func (c *ZoneChecker) breach(r Rule, at float64, format string, args ...any) {
	c.Breaches = append(c.Breaches, Breach{Rule: r, At: at, Text: fmt.Sprintf(format, args...)})
}

// FaultChanged tells that something befell zones, their servers or what is asked of them, or ended.
func (c *ZoneChecker) FaultChanged(at float64) { c.changes = append(c.changes, at) }

// FaultInjected tells of a fault from one time to another; it may be told ahead.
func (c *ZoneChecker) FaultInjected(from, to float64) {
	c.FaultChanged(from)
	c.FaultChanged(to)
	c.faults = append(c.faults, [2]float64{from, to})
}

// settled tells whether nothing changed lately.
func (c *ZoneChecker) settled(at float64) bool {
	return !slices.ContainsFunc(c.changes, func(x float64) bool { return x <= at && at < x+c.SettleMs })
}

// PlanFollowed tells that a pooler follows a plan now; sum is of all that it asks for.
func (c *ZoneChecker) PlanFollowed(at float64, pooler int, no, sum uint64) {
	if was, known := c.plans[no]; known && was != sum {
		c.breach(OnePlan, at, "pooler %d follows another plan %d than others", pooler, no)
	}
	c.plans[no] = sum
	if no < c.last[pooler] {
		c.breach(OldPlan, at, "pooler %d follows plan %d after %d", pooler, no, c.last[pooler])
	}
	c.last[pooler] = max(c.last[pooler], no)
}

// CheckPlan holds a plan's shares, by zone, against the cores of work that clients near each ask and those that serve in each.
func (c *ZoneChecker) CheckPlan(at float64, no uint64, shares [][]float64, demand, cores []float64) {
	if !c.settled(at) {
		return
	}
	c.PlansChecked++
	for b := range cores {
		total, remote := 0.0, 0.0
		for a := range shares {
			if total += shares[a][b] * demand[a]; a != b {
				remote += shares[a][b] * demand[a]
			}
		}
		if remote > 0 && total > c.SafeLoad*cores[b] {
			c.breach(FullZone, at, "plan %d has %.2f cores of work in zone %d, %.2f of them of others; safe are %.2f", no, total, b, remote, c.SafeLoad*cores[b])
		}
	}
}

// ReadSent tells that a read that any member may serve went out, to another zone or not.
func (c *ZoneChecker) ReadSent(at float64, remote bool) {
	if !c.settled(at) || slices.ContainsFunc(c.faults, func(f [2]float64) bool { return f[0] <= at && at < f[1] }) {
		return
	}
	if c.reads++; remote {
		c.remoteReads++
	}
}

// Finish looks at what crossed in calm, and tells that part.
func (c *ZoneChecker) Finish(at float64) (remoteShare float64) {
	if remoteShare = c.remoteReads / max(1, c.reads); remoteShare > c.MaxRemoteShare {
		c.breach(NearCalm, at, "%.3f of %.0f reads crossed in calm", remoteShare, c.reads)
	}
	return remoteShare
}

// CalmReads is how many reads were in calm.
func (c *ZoneChecker) CalmReads() float64 { return c.reads }
