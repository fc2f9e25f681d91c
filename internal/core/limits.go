package core

import (
	"math"
	"slices"

	"beechgrade/internal/decide"
)

// LimitKind is what a limit of the whole fleet applies to.
type LimitKind uint8

// What a limit may apply to.
const (
	LimitTenantRequests LimitKind = iota // a tenant's requests a second
	LimitSlowStart                       // the slow-start budget of cold servers, whose whole is 1
	LimitHealthChecks                    // health checks a second
	LimitListCalls                       // calls for lists a second
	LimitDials                           // new connections to servers a second
)

// Limit is a limit of the whole fleet, of which peers assign a part to this pooler.
type Limit struct {
	Name   string
	Kind   LimitKind
	Tenant string
	Amount float64 // of the whole fleet
	Hard   bool    // a tenant's requests beyond it are rejected
}

// appliesTo reports whether the limit is on such a use; tenant matters for LimitTenantRequests alone.
func (l *Limit) appliesTo(kind LimitKind, tenant string) bool {
	return l.Kind == kind && (kind != LimitTenantRequests || l.Tenant == tenant)
}

// Leases are the terms of the assigned parts. They expire without notice.
type Leases interface {
	Due() float64 // Due is the time of the next expiry
	Expire()
}

// limitGate has this pooler's parts of the fleet's limits, and measures its demand.
type limitGate struct {
	loop   Loop
	limits []*limit
	leases Leases // nil without them
}

// limit is a Limit with the part that is assigned to this pooler, and its demand.
type limit struct {
	Limit
	assigned, burst float64
	demand          rateMeter
	pacer           pacer
}

// SetLimits sets the limits that the core enforces. Until a part is assigned, nothing of a limit may be used. Limits that were
// set before keep their parts.
func (c *Core) SetLimits(limits []Limit, leases Leases) {
	c.limits.set(limits, leases)
	c.reload()
}

// SetAllowance assigns a part of a limit, and reports whether the limit is one of the core's.
func (c *Core) SetAllowance(name string, amount, burst float64) bool {
	assigned := c.limits.named(name)
	if assigned == nil {
		return false
	}
	assigned.assigned = amount
	assigned.burst = burst
	assigned.pacer.setRate(amount, burst)
	if assigned.Kind == LimitTenantRequests || assigned.Kind == LimitSlowStart {
		c.reload()
	}
	return true
}

// Demand returns what this pooler would use of a limit a second, and false for a limit that is not the core's.
func (c *Core) Demand(name string) (float64, bool) {
	if measured := c.limits.named(name); measured != nil {
		return measured.demand.rate(c.loop.Now()), true
	}
	return 0, false
}

// ExpireLeases ends leases that are over, before anything else uses them.
func (c *Core) ExpireLeases() { c.limits.expire() }

// DialWithinLimit begins a connection to a server, within the fleet's limit of dials.
func (c *Core) DialWithinLimit(do func()) { c.limits.use(LimitDials, "").run(do) }

// set replaces the limits, and lifts those that are no more.
func (g *limitGate) set(limits []Limit, leases Leases) {
	old := g.limits
	g.limits, g.leases = nil, leases
	for _, wanted := range limits {
		index := slices.IndexFunc(old, func(o *limit) bool {
			return o.Name == wanted.Name && o.Kind == wanted.Kind && o.Tenant == wanted.Tenant
		})
		if index < 0 {
			g.limits = append(g.limits, &limit{Limit: wanted, pacer: pacer{loop: g.loop, limited: true}})
			continue
		}
		old[index].Limit = wanted
		g.limits = append(g.limits, old[index])
	}
	for _, o := range old {
		if !slices.Contains(g.limits, o) {
			o.pacer.lift()
		}
	}
}

// named returns the limit of that name, or nil.
func (g *limitGate) named(name string) *limit {
	for _, l := range g.limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// use counts one use of a limit and returns it, nil without a limit.
func (g *limitGate) use(kind LimitKind, tenant string) *limit {
	for _, l := range g.limits {
		if l.appliesTo(kind, tenant) {
			l.demand.count(g.loop.Now())
			return l
		}
	}
	return nil
}

// expire ends leases that are over.
func (g *limitGate) expire() {
	if g.leases != nil && g.loop.Now() >= g.leases.Due() {
		g.leases.Expire()
	}
}

// apply puts the assigned parts into settings; tenants are the tenants' numbers.
func (g *limitGate) apply(settings *decide.Settings, tenants map[string]int) {
	cloned := false
	for _, l := range g.limits {
		switch l.Kind {
		case LimitTenantRequests:
			number, ok := tenants[l.Tenant]
			if !ok || number >= len(settings.Tenants) {
				continue
			}
			if !cloned {
				settings.Tenants = slices.Clone(settings.Tenants)
				cloned = true
			}
			settings.Tenants[number] = decide.Tenant{
				RateLimit:       l.Amount,
				Assigned:        true,
				AssignedRate:    l.assigned,
				Burst:           l.burst,
				RejectOverLimit: l.Hard,
			}
		case LimitSlowStart:
			settings.SlowStartAssigned = true
			settings.SlowStartPart = l.assigned
		}
	}
}

// rateMeter measures a rate a second: over the last second, or over more where little happens.
type rateMeter struct{ recent, slow, fadedAt float64 }

const (
	rateMemoryMs     = 1000 // memory of a rate...
	slowRateMemoryMs = 8000 // ...and of a low one
	minRecentEvents  = 8    // a rate with fewer in rateMemoryMs is low
	msPerSecond      = 1000
)

// fade brings the counts up to now.
func (m *rateMeter) fade(now float64) {
	past := max(0, now-m.fadedAt)
	m.recent *= math.Exp(-past / rateMemoryMs)
	m.slow *= math.Exp(-past / slowRateMemoryMs)
	m.fadedAt = max(m.fadedAt, now)
}

// count counts one event.
func (m *rateMeter) count(now float64) {
	m.fade(now)
	m.recent++
	m.slow++
}

// rate returns the events a second.
func (m *rateMeter) rate(now float64) float64 {
	m.fade(now)
	if m.recent >= minRecentEvents {
		return m.recent * msPerSecond / rateMemoryMs
	}
	return m.slow * msPerSecond / slowRateMemoryMs
}
