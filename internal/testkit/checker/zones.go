package checker

import (
	"fmt"
	"slices"
)

// Zones holds what poolers made of the fleet's plans against what was true of clients and servers. It knows the faults, by Changed and Struck, and no
// plan but by what it says. Calm is where nothing is under way, and nothing ended lately.
type Zones struct {
	Safe    float64 // part of a zone's cores that may be planned where it receives
	Settled float64 // ms after a change in which a plan may not know of it yet
	Far     float64 // part of reads that may cross in calm

	Plans   int // looks at a plan that were held against its safe load
	Found   []Breach
	plans   map[uint64]uint64 // by number: a sum of what it asks for
	last    map[int]uint64    // by pooler, whatever process
	changes []float64
	faults  [][2]float64
	reads   float64
	far     float64
}

// The rules.
const (
	OnePlan  Rule = "one plan for each number"
	OldPlan  Rule = "no old plan after a new one"
	FullZone Rule = "a receiving zone never above its safe load by the plan"
	NearCalm Rule = "near while safe"
)

// NewZones makes a checker.
func NewZones(safe, settledMs, far float64) *Zones {
	return &Zones{Safe: safe, Settled: settledMs, Far: far, plans: map[uint64]uint64{}, last: map[int]uint64{}}
}

func (c *Zones) breach(r Rule, at float64, format string, args ...any) {
	c.Found = append(c.Found, Breach{Rule: r, At: at, Text: fmt.Sprintf(format, args...)})
}

// Changed tells that something befell zones, their servers or what is asked of them, or ended.
func (c *Zones) Changed(at float64) { c.changes = append(c.changes, at) }

// Struck tells of a fault from one time to another; it may be told ahead.
func (c *Zones) Struck(from, to float64) {
	c.Changed(from)
	c.Changed(to)
	c.faults = append(c.faults, [2]float64{from, to})
}

// settled tells whether nothing changed lately.
func (c *Zones) settled(at float64) bool {
	return !slices.ContainsFunc(c.changes, func(x float64) bool { return x <= at && at < x+c.Settled })
}

// Follows tells that a pooler follows a plan now; sum is of all that it asks for.
func (c *Zones) Follows(at float64, pooler int, no, sum uint64) {
	if was, known := c.plans[no]; known && was != sum {
		c.breach(OnePlan, at, "pooler %d follows another plan %d than others", pooler, no)
	}
	c.plans[no] = sum
	if no < c.last[pooler] {
		c.breach(OldPlan, at, "pooler %d follows plan %d after %d", pooler, no, c.last[pooler])
	}
	c.last[pooler] = max(c.last[pooler], no)
}

// Planned holds a plan's shares, by zone, against the cores of work that clients near each ask and those that serve in each.
func (c *Zones) Planned(at float64, no uint64, shares [][]float64, asked, cores []float64) {
	if !c.settled(at) {
		return
	}
	c.Plans++
	for b := range cores {
		all, came := 0.0, 0.0
		for a := range shares {
			if all += shares[a][b] * asked[a]; a != b {
				came += shares[a][b] * asked[a]
			}
		}
		if came > 0 && all > c.Safe*cores[b] {
			c.breach(FullZone, at, "plan %d has %.2f cores of work in zone %d, %.2f of them of others; safe are %.2f", no, all, b, came, c.Safe*cores[b])
		}
	}
}

// Read tells that a read that any member may serve went out, to another zone or not.
func (c *Zones) Read(at float64, far bool) {
	if !c.settled(at) || slices.ContainsFunc(c.faults, func(f [2]float64) bool { return f[0] <= at && at < f[1] }) {
		return
	}
	if c.reads++; far {
		c.far++
	}
}

// Finish looks at what crossed in calm, and tells that part.
func (c *Zones) Finish(at float64) (far float64) {
	if far = c.far / max(1, c.reads); far > c.Far {
		c.breach(NearCalm, at, "%.3f of %.0f reads crossed in calm", far, c.reads)
	}
	return far
}

// Calm is how many reads were in calm.
func (c *Zones) Calm() float64 { return c.reads }
