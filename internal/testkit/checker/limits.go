package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The rules on limits of the whole fleet.
const (
	FleetLimit Rule = "no more of a limit of the whole fleet than it allows"
	FleetShare Rule = "who asks for as much of it gets as much, while all is calm"
)

// Limit is a limit on a tenant's requests a second, as the operators set it. It is counted at clients and servers: a request with an
// attempt is one use, at the time when its pooler received it, or when a pause of the pooler's machine ended.
type Limit struct {
	Name          string
	Tenant        string
	PerSecond     float64
	Burst         float64
	FaultTolerant bool    // it may be exceeded after a fault:
	OvershootMs   float64 // up to twice the amount for this long
	MaxConcurrent int     // a bound on concurrent queries, in place of a rate
	CalmMs        float64 // after a fault, until shares follow demand again; 0 if that is not checked
}

// limitState is a limit with its uses. They are checked against a leaky bucket with the limit's rate and burst, which is
// the same as a bound of rate times span plus burst on every span of time.
type limitState struct {
	Limit
	changes        []limitChange
	faults         []float64
	uses           []limitUse
	checkedUses    int             // number of uses that were checked
	amounts        map[int]float64 // by pooler: the amount in its settings
	burstPerRate   float64
	level          float64
	at             float64
	firstRequest   float64
	lastFault      float64
	faultActive    bool    // a fault is active
	faultAllowance float64 // extra uses that a fault allows
	allowanceUntil float64
	mostOver       float64 // maximum level above the burst
	used           uint64
	received       uint64
	poolers        map[int]*poolerUsage
	running        map[runningQuery]float64 // start of each
	exceededSince  float64                  // since when too many run, 0 if not
	runningArea    float64                  // queries times ms
	usesBySecond   map[int64]float64        // by Unix second
	demandBySecond map[int64]float64
}

type limitChange struct{ at, rate, burst float64 }

// runningQuery identifies a query at a server.
type runningQuery struct {
	id     uint64
	server int
}

type limitUse struct {
	at     float64
	id     uint64
	server int
}

type poolerUsage struct{ received, used float64 } // without faults

// LimitUsage summarizes the uses of a limit.
type LimitUsage struct {
	Name     string  `json:"name"`
	Asked    uint64  `json:"asked"`
	Used     uint64  `json:"used"`
	Part     float64 `json:"part_used_of_what_was_wanted"` // share of each second's demand, or of the limit if that is less
	MostOver float64 `json:"most_over_the_burst"`
	HeldTo   float64 `json:"burst_it_is_held_to"`
}

func (c *Checker) rateLimitOf(tenant string) *limitState {
	for _, u := range c.limits {
		if u.Tenant == tenant && u.MaxConcurrent == 0 {
			return u
		}
	}
	return nil
}

// Tenant records the tenant of an open request.
func (c *Checker) Tenant(at float64, id uint64, tenant string) {
	request, u := c.requests[id], c.rateLimitOf(tenant)
	if request == nil || u == nil {
		return
	}
	if u.firstRequest == 0 {
		u.firstRequest = at
	}
	request.limit = u
	u.received++
	u.demandBySecond[int64(at/1000)]++
	if p := u.calmUsage(at, request.pooler); p != nil {
		p.received++
	}
}

// calmUsage returns a pooler's usage without faults, nil during and shortly after one.
func (u *limitState) calmUsage(at float64, pooler int) *poolerUsage {
	if u.CalmMs == 0 || u.faultActive || at < max(u.lastFault, u.firstRequest)+u.CalmMs {
		return nil
	}
	p := u.poolers[pooler]
	if p == nil {
		p = &poolerUsage{}
		u.poolers[pooler] = p
	}
	return p
}

// FaultChanged records a change of faults, for limits that may be exceeded after one; begins is 1 for a fault that starts and lasts,
// -1 for its end, and 0 for one that takes no time.
func (c *Checker) FaultChanged(at float64, begins int) {
	c.activeFaults += begins
	for _, u := range c.limits {
		u.lastFault, u.faultActive = max(u.lastFault, at), c.activeFaults > 0
		u.faults = append(u.faults, at)
	}
}

// LimitChanged records that some poolers have read a new amount of a limit, with a burst in proportion; a lower one holds from lateMs
// after the last of them has read it.
func (c *Checker) LimitChanged(at float64, name string, changedPoolers []int, poolers int, perSecond, lateMs float64) {
	for _, u := range c.limits {
		if u.Name != name {
			continue
		}
		if u.amounts == nil {
			u.amounts = map[int]float64{}
			for i := range poolers {
				u.amounts[i] = u.PerSecond
			}
			u.burstPerRate = u.Burst / u.PerSecond
		}
		most := perSecond
		for _, i := range changedPoolers {
			u.amounts[i] = perSecond
		}
		for _, x := range u.amounts {
			most = max(most, x)
		}
		if was := u.finalRate(); most < was {
			at += lateMs
		}
		u.changes = append(u.changes, limitChange{at, most, max(1, most*u.burstPerRate)})
	}
}

// finalRate returns the rate after all recorded changes.
func (u *limitState) finalRate() float64 {
	if n := len(u.changes); n > 0 {
		return u.changes[n-1].rate
	}
	return u.PerSecond
}

// recordUse counts a request when its first attempt is sent.
func (c *Checker) recordUse(request *clientRequest, server int) {
	u, at := request.limit, request.received
	if x := c.pauses[request.pooler]; at >= x.from && at < x.until {
		at = x.until
	}
	u.used++
	u.usesBySecond[int64(at/1000)]++
	if p := u.calmUsage(at, request.pooler); p != nil {
		p.used++
	}
	u.uses = append(u.uses, limitUse{at, request.id, server})
}

// QueryStarted records that a server executes a query.
func (c *Checker) QueryStarted(at float64, id uint64, server int) {
	c.recordRunning(at, runningQuery{id, server}, true)
}

// QueryEnded records the end of a query at a server.
func (c *Checker) QueryEnded(at float64, id uint64, server int) {
	c.recordRunning(at, runningQuery{id, server}, false)
}

func (c *Checker) recordRunning(at float64, r runningQuery, on bool) {
	for _, u := range c.limits {
		if u.MaxConcurrent == 0 {
			continue
		}
		if u.firstRequest == 0 {
			u.firstRequest, u.at = at, at
		}
		u.runningArea += float64(len(u.running)) * max(0, at-u.at)
		u.at = max(u.at, at)
		if u.exceededSince > 0 && at-u.exceededSince > c.cfg.CountMs {
			c.breach(Breach{
				Rule:   FleetLimit,
				At:     at,
				ID:     r.id,
				Server: r.server,
				Late:   true,
				Text:   fmt.Sprintf("limit %q, %d at once: %d ran for %.0f ms", u.Name, u.MaxConcurrent, len(u.running), at-u.exceededSince),
			}, nil)
			u.exceededSince = at
		}
		if c.checked[FleetLimit]++; on {
			u.running[r] = at
			u.used++
		} else {
			delete(u.running, r)
		}
		if u.mostOver = max(u.mostOver, float64(len(u.running)-u.MaxConcurrent)); len(u.running) <= u.MaxConcurrent {
			u.exceededSince = 0
		} else if u.exceededSince == 0 {
			u.exceededSince = at
		}
	}
}

// checkLimits checks the new uses in the order of time.
func (c *Checker) checkLimits() {
	for _, u := range c.limits {
		fresh := u.uses[u.checkedUses:]
		slices.SortStableFunc(fresh, func(a, b limitUse) int { return cmp.Compare(a.at, b.at) })
		u.checkedUses = len(u.uses)
		slices.Sort(u.faults)
		for _, x := range fresh {
			c.checked[FleetLimit]++
			for len(u.changes) > 0 && x.at >= u.changes[0].at {
				u.leak(u.changes[0].at)
				u.PerSecond, u.Burst = u.changes[0].rate, u.changes[0].burst
				u.changes = u.changes[1:]
			}
			for u.FaultTolerant && len(u.faults) > 0 && x.at >= u.faults[0] {
				u.faultAllowance, u.allowanceUntil = u.PerSecond*u.OvershootMs/1000, u.faults[0]+u.OvershootMs
				u.faults = u.faults[1:]
			}
			u.leak(x.at)
			u.level++
			over := u.level - u.Burst - u.PerSecond*c.cfg.CountMs/1000 - 1
			if x.at < u.allowanceUntil {
				over -= u.faultAllowance
			}
			u.mostOver = max(u.mostOver, u.level-u.Burst)
			if over > 1e-6 {
				c.breach(Breach{
					Rule:   FleetLimit,
					At:     x.at,
					ID:     x.id,
					Server: x.server,
					Text:   fmt.Sprintf("limit %q, %g a second with a burst of %g: %.1f uses beyond it", u.Name, u.PerSecond, u.Burst, over),
				}, nil)
				u.level-- // each is reported once
			}
		}
	}
}

func (u *limitState) leak(at float64) {
	u.level = max(0, u.level-max(0, at-u.at)*u.PerSecond/1000)
	u.at = max(u.at, at)
}

// checkShares compares the usage of poolers that had about the same demand.
func (c *Checker) checkShares() {
	const enough, alike, apart = 200, 1.25, 1.5
	for _, u := range c.limits {
		for no, p := range u.poolers {
			for other, o := range u.poolers {
				if p.received < enough || o.received > p.received || p.received > alike*o.received || no == other {
					continue
				}
				c.checked[FleetShare]++
				if p.used > apart*o.used+math.Sqrt(p.used) || o.used > apart*p.used+math.Sqrt(o.used) {
					c.breach(Breach{
						Rule:   FleetShare,
						At:     u.at,
						Server: -1,
						Text: fmt.Sprintf("limit %q: pooler %d used %.0f of the %.0f that it was asked for, pooler %d used %.0f of %.0f", u.Name,
							no, p.used, p.received, other, o.used, o.received),
					}, nil)
				}
			}
		}
	}
}

// LimitUsages returns the usage of each limit from afterMs after the first request on.
func (c *Checker) LimitUsages(afterMs float64) (out []LimitUsage) {
	c.checkLimits()
	for _, u := range c.limits {
		if u.MaxConcurrent > 0 {
			out = append(out, LimitUsage{
				Name:     u.Name,
				Used:     u.used,
				Part:     u.runningArea / max(1, u.at-u.firstRequest) / float64(u.MaxConcurrent),
				MostOver: u.mostOver,
				HeldTo:   float64(u.MaxConcurrent),
			})
			continue
		}
		part, of := 0.0, 0.0
		last := int64(u.at / 1000)
		for s := int64(math.Ceil((u.firstRequest + afterMs) / 1000)); s < last; s++ {
			want := min(u.demandBySecond[s], u.PerSecond)
			part += min(u.usesBySecond[s], want)
			of += want
		}
		x := LimitUsage{Name: u.Name, Asked: u.received, Used: u.used, MostOver: u.mostOver, HeldTo: u.Burst}
		if of > 0 {
			x.Part = part / of
		}
		out = append(out, x)
	}
	return out
}
