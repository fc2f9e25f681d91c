package core

import (
	"math"
	"slices"

	"beechgrade/internal/decide"
)

// LimitKind is the kind of use that a fleet-wide limit applies to.
type LimitKind uint8

// The kinds of limits.
const (
	LimitTenantRequests LimitKind = iota // a tenant's requests a second
	LimitSlowStart                       // the slow-start budget of cold servers, as a part of 1
	LimitHealthChecks                    // health checks a second
	LimitListCalls                       // subscriptions to and fetches of the endpoint list a second
	LimitDials                           // new connections to servers a second
)

// Limit is a fleet-wide limit, of which peers assign a part to this pooler.
type Limit struct {
	Name   string
	Kind   LimitKind
	Tenant string
	Amount float64 // for the whole fleet
	Hard   bool    // requests of the tenant beyond the limit are rejected
}

// appliesTo reports whether the limit is of a kind. tenant matters for LimitTenantRequests only.
func (l *Limit) appliesTo(kind LimitKind, tenant string) bool {
	return l.Kind == kind && (kind != LimitTenantRequests || l.Tenant == tenant)
}

// Leases are the leases by which parts of limits are assigned. The holder has to call Expire itself.
type Leases interface {
	Due() float64 // Due is the time of the next expiry, in ms of the loop
	Expire()      // Expire ends the leases whose time is over
}

// limitGate holds this pooler's parts of the fleet-wide limits, and measures its demand.
type limitGate struct {
	loop   Loop
	limits []*limit
	leases Leases // optional
}

// limit is a Limit with the part that is assigned to this pooler, and this pooler's demand.
type limit struct {
	Limit
	assigned, burst float64
	demand          rateMeter
	pacer           pacer
}

// SetLimits replaces the limits that the core enforces. Nothing of a limit may be used until a part of it is assigned. Limits that
// were set before keep their parts.
func (c *Core) SetLimits(limits []Limit, leases Leases) {
	c.limits.set(limits, leases)
	c.reload()
}

// SetAllowance sets the rate and burst that this pooler may use of a limit, and reports whether the core enforces that limit.
func (c *Core) SetAllowance(name string, amount, burst float64) bool {
	assigned := c.limits.byName(name)
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

// Demand returns what this pooler would use of a limit a second, or false if the core does not enforce that limit.
func (c *Core) Demand(name string) (float64, bool) {
	if measured := c.limits.byName(name); measured != nil {
		return measured.demand.rate(c.loop.Now()), true
	}
	return 0, false
}

// ExpireLeases ends leases whose time is over. It is called before a limit is used.
func (c *Core) ExpireLeases() { c.limits.expire() }

// DialWithinLimit calls dial, which opens a connection to a server, as soon as the fleet-wide limit of dials allows it.
func (c *Core) DialWithinLimit(dial func()) { c.limits.use(LimitDials, "").run(dial) }

// set replaces the limits, and lifts those that were removed.
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

// byName returns the limit with a name, or nil.
func (g *limitGate) byName(name string) *limit {
	for _, l := range g.limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// use counts one use of the limit of a kind, and returns the limit; nil if there is none.
func (g *limitGate) use(kind LimitKind, tenant string) *limit {
	for _, l := range g.limits {
		if l.appliesTo(kind, tenant) {
			l.demand.count(g.loop.Now())
			return l
		}
	}
	return nil
}

// expire ends leases whose time is over.
func (g *limitGate) expire() {
	if g.leases != nil && g.loop.Now() >= g.leases.Due() {
		g.leases.Expire()
	}
}

// apply puts the assigned parts into settings. tenants maps names to numbers.
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
			settings.SlowStartShare = l.assigned
		}
	}
}

// rateMeter measures a rate of events a second by exponentially decaying counts: over about the last second, or over a longer time
// if events are rare.
type rateMeter struct{ shortTerm, longTerm, decayedAt float64 }

const (
	shortTimeConstantMs = 1000 // time constant of the short-term count
	longTimeConstantMs  = 8000 // time constant of the long-term count
	minShortTermEvents  = 8    // with fewer, the rate is taken from the long-term count
	msPerSecond         = 1000
)

// decay decays the counts to the time now.
func (m *rateMeter) decay(now float64) {
	past := max(0, now-m.decayedAt)
	m.shortTerm *= math.Exp(-past / shortTimeConstantMs)
	m.longTerm *= math.Exp(-past / longTimeConstantMs)
	m.decayedAt = max(m.decayedAt, now)
}

// count counts one event.
func (m *rateMeter) count(now float64) {
	m.decay(now)
	m.shortTerm++
	m.longTerm++
}

// rate returns the rate, in events a second.
func (m *rateMeter) rate(now float64) float64 {
	m.decay(now)
	if m.shortTerm >= minShortTermEvents {
		return m.shortTerm * msPerSecond / shortTimeConstantMs
	}
	return m.longTerm * msPerSecond / longTimeConstantMs
}
