package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The rules of limits that hold for the whole fleet.
const (
	FleetLimit Rule = "no more of a limit of the whole fleet than it allows"
	FleetShare Rule = "who asks for as much of it gets as much, while all is calm"
)

// Limit is one of a tenant's requests a second, as the operators set it. It is counted at clients and servers: a request of which any
// attempt was sent is a use of it, at the time that it came to its pooler, or that the pooler's machine went on after standing still.
type Limit struct {
	Name      string
	Tenant    string
	PerSecond float64
	Burst     float64
	Even      bool    // it may be over for a while after a fault:
	OverMs    float64 // up to twice the amount, for so long
	AtOnce    int     // a number at once of all queries, in place of a rate
	CalmMs    float64 // so long after a fault shares follow demand again; 0 where that is not checked
}

// limitUse is a limit with what came of it. What is used is held to a bucket that leaks at the limit's rate and holds its burst, which is
// the same as to hold every span of time to rate times span and burst.
type limitUse struct {
	Limit
	next     []limitChange
	faults   []float64
	uses     []useAt
	told     int             // uses that were held to the limit already
	amounts  map[int]float64 // by pooler, as each read it last
	perBurst float64
	level    float64
	at       float64
	first    float64
	fault    float64
	faulty   bool    // one is in force
	credit   float64 // uses that a fault allows beyond
	until    float64
	most     float64 // that the level was over the burst
	used     uint64
	asked    uint64
	poolers  map[int]*poolerUse
	runs     map[run]float64   // since when each runs
	over     float64           // since when too many do, 0 where that is not so
	area     float64           // of how many ran, by time
	seconds  map[int64]float64 // uses by the second
	wanted   map[int64]float64
}

type limitChange struct{ at, rate, burst float64 }

// run is a query at a server.
type run struct {
	id     uint64
	server int
}

type useAt struct {
	at     float64
	id     uint64
	server int
}

type poolerUse struct{ asked, used float64 } // while all is calm

// Use is what came of a limit.
type Use struct {
	Name     string  `json:"name"`
	Asked    uint64  `json:"asked"`
	Used     uint64  `json:"used"`
	Part     float64 `json:"part_used_of_what_was_wanted"` // of each second's demand or the limit, whichever is less
	MostOver float64 `json:"most_over_the_burst"`
	HeldTo   float64 `json:"burst_it_is_held_to"`
}

func (c *Checker) limitOf(tenant string) *limitUse {
	for _, u := range c.limits {
		if u.Tenant == tenant && u.AtOnce == 0 {
			return u
		}
	}
	return nil
}

// Tenant tells whose an open request is.
func (c *Checker) Tenant(at float64, id uint64, tenant string) {
	q, u := c.open[id], c.limitOf(tenant)
	if q == nil || u == nil {
		return
	}
	if u.first == 0 {
		u.first = at
	}
	q.limit = u
	u.asked++
	u.wanted[int64(at/1000)]++
	if p := u.calm(at, q.pooler); p != nil {
		p.asked++
	}
}

// calm is what a pooler has of a limit while all is calm, nil where it is not.
func (u *limitUse) calm(at float64, pooler int) *poolerUse {
	if u.CalmMs == 0 || u.faulty || at < max(u.fault, u.first)+u.CalmMs {
		return nil
	}
	p := u.poolers[pooler]
	if p == nil {
		p = &poolerUse{}
		u.poolers[pooler] = p
	}
	return p
}

// Fault tells that one has struck or ended, for limits that may be over for a while after one; begins is 1 for one that is in force until
// it ends, by -1, and 0 for what happens at once.
func (c *Checker) Fault(at float64, begins int) {
	c.inForce += begins
	for _, u := range c.limits {
		u.fault, u.faulty = max(u.fault, at), c.inForce > 0
		u.faults = append(u.faults, at)
	}
}

// Changed tells that some of so many poolers have read of a limit of another amount, with a burst that changes as much; a lower one binds so long
// after the last of them has.
func (c *Checker) Changed(at float64, name string, struck []int, poolers int, perSecond, lateMs float64) {
	for _, u := range c.limits {
		if u.Name != name {
			continue
		}
		if u.amounts == nil {
			u.amounts = map[int]float64{}
			for i := range poolers {
				u.amounts[i] = u.PerSecond
			}
			u.perBurst = u.Burst / u.PerSecond
		}
		most := perSecond
		for _, i := range struck {
			u.amounts[i] = perSecond
		}
		for _, x := range u.amounts {
			most = max(most, x)
		}
		if was := u.last(); most < was {
			at += lateMs
		}
		u.next = append(u.next, limitChange{at, most, max(1, most*u.perBurst)})
	}
}

// last is the amount that it will have.
func (u *limitUse) last() float64 {
	if n := len(u.next); n > 0 {
		return u.next[n-1].rate
	}
	return u.PerSecond
}

// use counts a request whose first attempt is sent.
func (c *Checker) use(q *request, server int) {
	u, at := q.limit, q.asked
	if x := c.still[q.pooler]; at >= x.from && at < x.until {
		at = x.until
	}
	u.used++
	u.seconds[int64(at/1000)]++
	if p := u.calm(at, q.pooler); p != nil {
		p.used++
	}
	u.uses = append(u.uses, useAt{at, q.id, server})
}

// Runs tells that a server works on a query now.
func (c *Checker) Runs(at float64, id uint64, server int) { c.runs(at, run{id, server}, true) }

// Over tells that a server does not work on a query any more.
func (c *Checker) Over(at float64, id uint64, server int) { c.runs(at, run{id, server}, false) }

func (c *Checker) runs(at float64, r run, on bool) {
	for _, u := range c.limits {
		if u.AtOnce == 0 {
			continue
		}
		if u.first == 0 {
			u.first, u.at = at, at
		}
		u.area += float64(len(u.runs)) * max(0, at-u.at)
		u.at = max(u.at, at)
		if u.over > 0 && at-u.over > c.cfg.CountMs {
			c.breach(Breach{Rule: FleetLimit, At: at, ID: r.id, Server: r.server, Late: true, Text: fmt.Sprintf("limit %q, %d at once: %d ran for %.0f ms", u.Name, u.AtOnce, len(u.runs), at-u.over)}, nil)
			u.over = at
		}
		if c.checked[FleetLimit]++; on {
			u.runs[r] = at
			u.used++
		} else {
			delete(u.runs, r)
		}
		if u.most = max(u.most, float64(len(u.runs)-u.AtOnce)); len(u.runs) <= u.AtOnce {
			u.over = 0
		} else if u.over == 0 {
			u.over = at
		}
	}
}

// hold holds what was used to the limits, in the order of time.
func (c *Checker) hold() {
	for _, u := range c.limits {
		fresh := u.uses[u.told:]
		slices.SortStableFunc(fresh, func(a, b useAt) int { return cmp.Compare(a.at, b.at) })
		u.told = len(u.uses)
		slices.Sort(u.faults)
		for _, x := range fresh {
			c.checked[FleetLimit]++
			for len(u.next) > 0 && x.at >= u.next[0].at {
				u.leak(u.next[0].at)
				u.PerSecond, u.Burst = u.next[0].rate, u.next[0].burst
				u.next = u.next[1:]
			}
			for u.Even && len(u.faults) > 0 && x.at >= u.faults[0] {
				u.credit, u.until = u.PerSecond*u.OverMs/1000, u.faults[0]+u.OverMs
				u.faults = u.faults[1:]
			}
			u.leak(x.at)
			u.level++
			over := u.level - u.Burst - u.PerSecond*c.cfg.CountMs/1000 - 1
			if x.at < u.until {
				over -= u.credit
			}
			u.most = max(u.most, u.level-u.Burst)
			if over > 1e-6 {
				c.breach(Breach{Rule: FleetLimit, At: x.at, ID: x.id, Server: x.server, Text: fmt.Sprintf("limit %q, %g a second with a burst of %g: %.1f uses beyond it", u.Name, u.PerSecond, u.Burst, over)}, nil)
				u.level-- // each is told once
			}
		}
	}
}

func (u *limitUse) leak(at float64) {
	u.level = max(0, u.level-max(0, at-u.at)*u.PerSecond/1000)
	u.at = max(u.at, at)
}

// shares holds what poolers that were asked for about as much got of a limit to one another.
func (c *Checker) shares() {
	const enough, alike, apart = 200, 1.25, 1.5
	for _, u := range c.limits {
		for no, p := range u.poolers {
			for other, o := range u.poolers {
				if p.asked < enough || o.asked > p.asked || p.asked > alike*o.asked || no == other {
					continue
				}
				c.checked[FleetShare]++
				if p.used > apart*o.used+math.Sqrt(p.used) || o.used > apart*p.used+math.Sqrt(o.used) {
					c.breach(Breach{Rule: FleetShare, At: u.at, Server: -1, Text: fmt.Sprintf("limit %q: pooler %d used %.0f of the %.0f that it was asked for, pooler %d used %.0f of %.0f", u.Name,
						no, p.used, p.asked, other, o.used, o.asked)}, nil)
				}
			}
		}
	}
}

// Uses tell what came of limits, from so long after the first request on.
func (c *Checker) Uses(afterMs float64) (out []Use) {
	c.hold()
	for _, u := range c.limits {
		if u.AtOnce > 0 {
			out = append(out, Use{Name: u.Name, Used: u.used, Part: u.area / max(1, u.at-u.first) / float64(u.AtOnce), MostOver: u.most, HeldTo: float64(u.AtOnce)})
			continue
		}
		part, of := 0.0, 0.0
		last := int64(u.at / 1000)
		for s := int64(math.Ceil((u.first + afterMs) / 1000)); s < last; s++ {
			want := min(u.wanted[s], u.PerSecond)
			part += min(u.seconds[s], want)
			of += want
		}
		x := Use{Name: u.Name, Asked: u.asked, Used: u.used, MostOver: u.most, HeldTo: u.Burst}
		if of > 0 {
			x.Part = part / of
		}
		out = append(out, x)
	}
	return out
}
