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
	LimitSlowStart                       // the fall budget of cold servers, whose whole is 1
	LimitHealthChecks                    // probes a second
	LimitListCalls                       // calls for lists a second
	LimitDials                           // new connections to servers a second
)

// Limit is a limit of the whole fleet, of which peers assign a part to this pooler.
type Limit struct {
	Name   string
	Kind   LimitKind
	Tenant string
	Amount float64 // of the whole fleet
	Hard   bool    // a tenant's requests beyond it are refused
}

// Leases hold the assigned parts. They expire without notice.
type Leases interface {
	Due() float64 // Due is the time of the next expiry
	Expire()
}

// limit is a Bound with the part that is assigned to this pooler, and its demand.
type limit struct {
	Limit
	assigned, burst float64
	demand          rateMeter
	pacer           pacer
}

// SetLimits sets the limits that the core keeps to. Until a part is assigned, nothing of a limit may be used. Limits that were bound before
// keep their parts.
func (c *Core) SetLimits(list []Limit, l Leases) {
	old := c.limits
	c.limits, c.leases = nil, l
	for _, b := range list {
		n := &limit{Limit: b, pacer: pacer{limited: true}}
		if i := slices.IndexFunc(old, func(o *limit) bool { return o.Name == b.Name && o.Kind == b.Kind && o.Tenant == b.Tenant }); i >= 0 {
			n = old[i]
			n.Limit = b
		}
		c.limits = append(c.limits, n)
	}
	for _, o := range old {
		if !slices.Contains(c.limits, o) {
			o.pacer.lift(c)
		}
	}
	c.reload()
}

// Allow assigns a part of a limit, and reports whether the limit is one of the core's.
func (c *Core) Allow(limit string, amount, burst float64) bool {
	for _, b := range c.limits {
		if b.Name != limit {
			continue
		}
		b.assigned, b.burst = amount, burst
		if b.pacer.setRate(c, amount, burst); b.Kind == LimitTenantRequests || b.Kind == LimitSlowStart {
			c.reload()
		}
		return true
	}
	return false
}

// Demand returns what this pooler would use of a limit a second, and false for a limit that is not the core's.
func (c *Core) Demand(limit string) (float64, bool) {
	for _, b := range c.limits {
		if b.Name == limit {
			return b.demand.rate(c.loop.Now()), true
		}
	}
	return 0, false
}

// applyLimits puts the assigned parts into settings.
func (c *Core) applyLimits(set *decide.Settings) {
	cloned := false
	for _, b := range c.limits {
		switch b.Kind {
		case LimitTenantRequests:
			i, ok := c.tenantNumbers[b.Tenant]
			if !ok || i >= len(set.Tenants) {
				continue
			}
			if !cloned {
				set.Tenants, cloned = slices.Clone(set.Tenants), true
			}
			set.Tenants[i] = decide.Tenant{RateLimit: b.Amount, Assigned: true, AssignedRate: b.assigned, Burst: b.burst, RejectOverLimit: b.Hard}
		case LimitSlowStart:
			set.SlowStartAssigned, set.SlowStartPart = true, b.assigned
		}
	}
}

// useLimit counts one use of a limit and returns it, nil without a limit.
func (c *Core) useLimit(of LimitKind, tenant string) *limit {
	for _, b := range c.limits {
		if b.Kind == of && (of != LimitTenantRequests || b.Tenant == tenant) {
			b.demand.count(c.loop.Now())
			return b
		}
	}
	return nil
}

// Expire ends leases that are over, before anything else uses them.
func (c *Core) Expire() {
	if c.leases != nil && c.loop.Now() >= c.leases.Due() {
		c.leases.Expire()
	}
}

// rateMeter measures a rate a second: over the last second, or over more where little happens.
type rateMeter struct{ recent, slow, fadedAt float64 }

const (
	rateMemoryMs     = 1000 // memory of a rate...
	slowRateMemoryMs = 8000 // ...and of a low one
	minRecentEvents  = 8    // a rate with fewer in rateMemoryMs is low
)

func (f *rateMeter) fade(now float64) {
	past := max(0, now-f.fadedAt)
	f.recent, f.slow = f.recent*math.Exp(-past/rateMemoryMs), f.slow*math.Exp(-past/slowRateMemoryMs)
	f.fadedAt = max(f.fadedAt, now)
}

func (f *rateMeter) count(now float64) {
	f.fade(now)
	f.recent++
	f.slow++
}

func (f *rateMeter) rate(now float64) float64 {
	if f.fade(now); f.recent >= minRecentEvents {
		return f.recent * 1000 / rateMemoryMs
	}
	return f.slow * 1000 / slowRateMemoryMs
}

// pacer queues this pooler's own actions (probes, list calls, dials) within a limit.
type pacer struct {
	limited          bool
	rate, burst      float64
	tokens, filledAt float64
	waiting          []func()
	timerSet         bool
}

func (p *pacer) fill(now float64) {
	p.tokens = min(p.burst, p.tokens+p.rate*max(0, now-p.filledAt)/1000)
	p.filledAt = max(p.filledAt, now)
}

func (p *pacer) setRate(c *Core, rate, depth float64) {
	now := c.loop.Now()
	if p.fill(now); !p.limited {
		p.tokens = 0
	}
	p.limited, p.rate, p.burst = true, rate, depth
	p.fill(now)
	p.release(c)
}

// lift lifts the limit and lets everything go that waits.
func (p *pacer) lift(c *Core) {
	p.limited = false
	p.release(c)
}

// maxQueuedActions bounds the queue; the router has one probe in flight to each server at most.
const maxQueuedActions = 4096

func (b *limit) run(c *Core, f func()) {
	if b == nil || len(b.pacer.waiting) >= maxQueuedActions {
		f()
		return
	}
	b.pacer.waiting = append(b.pacer.waiting, f)
	b.pacer.release(c)
}

// LimitDial begins a connection to a server, within the fleet's limit of dials.
func (c *Core) LimitDial(do func()) { c.useLimit(LimitDials, "").run(c, do) }

const minPacerWaitMs = 5

func (p *pacer) release(c *Core) {
	p.fill(c.loop.Now())
	for len(p.waiting) > 0 && (!p.limited || p.tokens >= 1) {
		f := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.tokens--
		f()
	}
	if len(p.waiting) > 0 && p.rate > 0 && !p.timerSet {
		p.timerSet = true
		c.loop.At(c.loop.Now()+max(minPacerWaitMs, (1-p.tokens)*1000/p.rate), func() {
			p.timerSet = false
			p.release(c)
		})
	}
}
