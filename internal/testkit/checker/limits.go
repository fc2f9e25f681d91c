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
	FaultTolerant bool    // it may be exceeded for OvershootMs after a fault
	OvershootMs   float64 // how long after a fault up to twice the rate is allowed
	MaxConcurrent int     // a bound on concurrent queries, in place of a rate
	CalmMs        float64 // after a fault, until shares follow demand again; 0 if that is not checked
}

// limitState is a limit with its uses. They are checked against a leaky bucket with the limit's rate and burst, which is
// the same as a bound of rate times length plus burst on the uses in every span of time.
type limitState struct {
	Limit
	changes        []limitChange
	faults         []float64
	uses           []limitUse
	checkedUses    int             // number of uses that were checked
	rates          map[int]float64 // by pooler: the rate in its settings
	burstPerRate   float64
	level          float64
	at             float64
	firstRequest   float64
	lastFault      float64
	faultActive    bool
	faultAllowance float64 // extra uses that a fault allows
	allowanceUntil float64
	mostOver       float64 // maximum level above the burst
	used           uint64
	received       uint64
	poolers        map[int]*poolerUsage
	running        map[runningQuery]float64 // time of each query's start
	exceededSince  float64                  // since when more than MaxConcurrent run, 0 if they do not
	runningArea    float64                  // sum of each running query's time so far, in ms
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

type poolerUsage struct{ received, used float64 } // counted while no fault is active or recent

// LimitUsage summarizes the uses of a limit.
type LimitUsage struct {
	Name         string  `json:"name"`
	Received     uint64  `json:"asked"`
	Used         uint64  `json:"used"`
	UsedShare    float64 `json:"part_used_of_what_was_wanted"` // share of each second's demand, or of the limit if that is less
	MaxOverBurst float64 `json:"most_over_the_burst"`
	Burst        float64 `json:"burst_it_is_held_to"`
}

func (c *Checker) rateLimitOf(tenant string) *limitState {
	for _, l := range c.limits {
		if l.Tenant == tenant && l.MaxConcurrent == 0 {
			return l
		}
	}
	return nil
}

// Tenant records the tenant of an open request.
func (c *Checker) Tenant(at float64, id uint64, tenant string) {
	request, l := c.requests[id], c.rateLimitOf(tenant)
	if request == nil || l == nil {
		return
	}
	if l.firstRequest == 0 {
		l.firstRequest = at
	}
	request.limit = l
	l.received++
	l.demandBySecond[int64(at/1000)]++
	if p := l.calmUsage(at, request.pooler); p != nil {
		p.received++
	}
}

// calmUsage returns a pooler's usage without faults, nil during and shortly after one.
func (l *limitState) calmUsage(at float64, pooler int) *poolerUsage {
	if l.CalmMs == 0 || l.faultActive || at < max(l.lastFault, l.firstRequest)+l.CalmMs {
		return nil
	}
	p := l.poolers[pooler]
	if p == nil {
		p = &poolerUsage{}
		l.poolers[pooler] = p
	}
	return p
}

// FaultChanged records a change of faults, for limits that may be exceeded after one. delta is 1 for the start of a fault that lasts,
// -1 for its end, and 0 for a momentary fault.
func (c *Checker) FaultChanged(at float64, delta int) {
	c.activeFaults += delta
	for _, l := range c.limits {
		l.lastFault, l.faultActive = max(l.lastFault, at), c.activeFaults > 0
		l.faults = append(l.faults, at)
	}
}

// LimitChanged records that some poolers have read a new rate of a limit; the burst changes in proportion. The highest rate that any
// pooler has read counts, and a decrease of it takes effect lateMs later.
func (c *Checker) LimitChanged(at float64, name string, changedPoolers []int, poolers int, perSecond, lateMs float64) {
	for _, l := range c.limits {
		if l.Name != name {
			continue
		}
		if l.rates == nil {
			l.rates = map[int]float64{}
			for i := range poolers {
				l.rates[i] = l.PerSecond
			}
			l.burstPerRate = l.Burst / l.PerSecond
		}
		most := perSecond
		for _, i := range changedPoolers {
			l.rates[i] = perSecond
		}
		for _, x := range l.rates {
			most = max(most, x)
		}
		if was := l.finalRate(); most < was {
			at += lateMs
		}
		l.changes = append(l.changes, limitChange{at, most, max(1, most*l.burstPerRate)})
	}
}

// finalRate returns the rate after all recorded changes.
func (l *limitState) finalRate() float64 {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].rate
	}
	return l.PerSecond
}

// recordUse counts a request when its first attempt is sent.
func (c *Checker) recordUse(request *clientRequest, server int) {
	l, at := request.limit, request.received
	if pause := c.pauses[request.pooler]; at >= pause.from && at < pause.until {
		at = pause.until
	}
	l.used++
	l.usesBySecond[int64(at/1000)]++
	if p := l.calmUsage(at, request.pooler); p != nil {
		p.used++
	}
	l.uses = append(l.uses, limitUse{at, request.id, server})
}

// QueryStarted records that a server executes a query.
func (c *Checker) QueryStarted(at float64, id uint64, server int) {
	c.recordRunning(at, runningQuery{id, server}, true)
}

// QueryEnded records the end of a query at a server.
func (c *Checker) QueryEnded(at float64, id uint64, server int) {
	c.recordRunning(at, runningQuery{id, server}, false)
}

func (c *Checker) recordRunning(at float64, r runningQuery, started bool) {
	for _, l := range c.limits {
		if l.MaxConcurrent == 0 {
			continue
		}
		if l.firstRequest == 0 {
			l.firstRequest, l.at = at, at
		}
		l.runningArea += float64(len(l.running)) * max(0, at-l.at)
		l.at = max(l.at, at)
		if l.exceededSince > 0 && at-l.exceededSince > c.cfg.CountMs {
			c.breach(Breach{
				Rule:   FleetLimit,
				At:     at,
				ID:     r.id,
				Server: r.server,
				Late:   true,
				Text:   fmt.Sprintf("limit %q, %d at once: %d ran for %.0f ms", l.Name, l.MaxConcurrent, len(l.running), at-l.exceededSince),
			}, nil)
			l.exceededSince = at
		}
		if c.checked[FleetLimit]++; started {
			l.running[r] = at
			l.used++
		} else {
			delete(l.running, r)
		}
		if l.mostOver = max(l.mostOver, float64(len(l.running)-l.MaxConcurrent)); len(l.running) <= l.MaxConcurrent {
			l.exceededSince = 0
		} else if l.exceededSince == 0 {
			l.exceededSince = at
		}
	}
}

// checkLimits checks the new uses in the order of time.
func (c *Checker) checkLimits() {
	for _, l := range c.limits {
		fresh := l.uses[l.checkedUses:]
		slices.SortStableFunc(fresh, func(a, b limitUse) int { return cmp.Compare(a.at, b.at) })
		l.checkedUses = len(l.uses)
		slices.Sort(l.faults)
		for _, use := range fresh {
			c.checked[FleetLimit]++
			for len(l.changes) > 0 && use.at >= l.changes[0].at {
				l.leak(l.changes[0].at)
				l.PerSecond, l.Burst = l.changes[0].rate, l.changes[0].burst
				l.changes = l.changes[1:]
			}
			for l.FaultTolerant && len(l.faults) > 0 && use.at >= l.faults[0] {
				l.faultAllowance, l.allowanceUntil = l.PerSecond*l.OvershootMs/1000, l.faults[0]+l.OvershootMs
				l.faults = l.faults[1:]
			}
			l.leak(use.at)
			l.level++
			over := l.level - l.Burst - l.PerSecond*c.cfg.CountMs/1000 - 1
			if use.at < l.allowanceUntil {
				over -= l.faultAllowance
			}
			l.mostOver = max(l.mostOver, l.level-l.Burst)
			if over > 1e-6 {
				c.breach(Breach{
					Rule:   FleetLimit,
					At:     use.at,
					ID:     use.id,
					Server: use.server,
					Text:   fmt.Sprintf("limit %q, %g a second with a burst of %g: %.1f uses beyond it", l.Name, l.PerSecond, l.Burst, over),
				}, nil)
				l.level-- // report the excess only once
			}
		}
	}
}

func (l *limitState) leak(at float64) {
	l.level = max(0, l.level-max(0, at-l.at)*l.PerSecond/1000)
	l.at = max(l.at, at)
}

// checkShares compares the usage of poolers that had about the same demand.
func (c *Checker) checkShares() {
	const minReceived, maxDemandRatio, maxUsageRatio = 200, 1.25, 1.5
	for _, l := range c.limits {
		for pooler, p := range l.poolers {
			for otherPooler, o := range l.poolers {
				if p.received < minReceived || o.received > p.received || p.received > maxDemandRatio*o.received || pooler == otherPooler {
					continue
				}
				c.checked[FleetShare]++
				if p.used > maxUsageRatio*o.used+math.Sqrt(p.used) || o.used > maxUsageRatio*p.used+math.Sqrt(o.used) {
					c.breach(Breach{
						Rule:   FleetShare,
						At:     l.at,
						Server: -1,
						Text: fmt.Sprintf("limit %q: pooler %d used %.0f of the %.0f that it was asked for, pooler %d used %.0f of %.0f", l.Name,
							pooler, p.used, p.received, otherPooler, o.used, o.received),
					}, nil)
				}
			}
		}
	}
}

// LimitUsages returns the usage of each limit from afterMs after the first request on.
func (c *Checker) LimitUsages(afterMs float64) (out []LimitUsage) {
	c.checkLimits()
	for _, l := range c.limits {
		if l.MaxConcurrent > 0 {
			out = append(out, LimitUsage{
				Name:         l.Name,
				Used:         l.used,
				UsedShare:    l.runningArea / max(1, l.at-l.firstRequest) / float64(l.MaxConcurrent),
				MaxOverBurst: l.mostOver,
				Burst:        float64(l.MaxConcurrent),
			})
			continue
		}
		used, available := 0.0, 0.0
		last := int64(l.at / 1000)
		for s := int64(math.Ceil((l.firstRequest + afterMs) / 1000)); s < last; s++ {
			want := min(l.demandBySecond[s], l.PerSecond)
			used += min(l.usesBySecond[s], want)
			available += want
		}
		x := LimitUsage{Name: l.Name, Received: l.received, Used: l.used, MaxOverBurst: l.mostOver, Burst: l.Burst}
		if available > 0 {
			x.UsedShare = used / available
		}
		out = append(out, x)
	}
	return out
}
