// Package limits decides how many queries of each user run and wait at a pooler, and how fast they may come. It does no I/O,
// has no clock and no goroutines. Times are in milliseconds.
package limits

import (
	"math"
	"slices"
)

// Limits are one user's; 0 is no limit.
type Limits struct {
	MaxRunning int     // that run at once
	MaxQueued  int     // that wait for their turn beside them
	MaxWaitMs  float64 // for so long at most
	PerSecond  float64 // that may come...
	Burst      float64 // ...and so many at once
}

// Verdict is what becomes of a query that comes.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota // it runs
	Queued                      // it is let in later, or turned away by Beat
	TooMany                     // turned away: too many run and wait
	RateExceeded                // turned away: too many came
)

// ID names a query; no two that are in or wait have the same.
type ID uint64

// Limiter lets queries in.
type Limiter struct {
	configured map[string]Limits
	defaults   Limits
	users      map[string]*user
	allowances map[string]Allowance
	running    map[ID]*user // of those that run
	queued     map[ID]*user
}

// Allowance is this pooler's own part of what a user may have over the whole fleet, where that is told; it goes before the user's limits.
type Allowance struct {
	BoundsRunning    bool // Most is told
	MaxRunning       int
	BoundsRate       bool // PerSecond and Burst are told
	PerSecond, Burst float64
}

type user struct {
	name       string
	limits     Limits
	arrivals   float64 // queries that came, over a fading second
	rejections float64 // ...and those of them that were too many
	decayedAt  float64
	running    int
	queue      []queuedQuery
	tokens     float64
	refilledAt float64
}

type queuedQuery struct {
	id       ID
	deadline float64
}

// maxUsers bounds how many users are kept track of. Beyond it those of which nothing runs or waits are forgotten, and with them
// what they have used of their rate.
const maxUsers = 10000

// New makes a gate; other is for users that are not named.
func New(byName map[string]Limits, other Limits) *Limiter {
	return &Limiter{configured: byName, defaults: other, allowances: map[string]Allowance{}, users: map[string]*user{}, running: map[ID]*user{}, queued: map[ID]*user{}}
}

func (g *Limiter) user(name string, now float64) *user {
	u := g.users[name]
	if u == nil {
		if len(g.users) >= maxUsers {
			for n, o := range g.users {
				if o.running == 0 && len(o.queue) == 0 {
					delete(g.users, n)
				}
			}
		}
		l := g.limits(name)
		u = &user{name: name, limits: l, tokens: max(1, l.Burst), refilledAt: now}
		if g.allowances[name].BoundsRate { // what another process let in may have been as much
			u.tokens = 0
		}
		g.users[name] = u
	}
	return u
}

func (g *Limiter) limits(name string) Limits {
	if l, ok := g.configured[name]; ok {
		return l
	}
	return g.defaults
}

// MaxWaitMs is for how long a user's query may wait for its turn.
func (g *Limiter) MaxWaitMs(name string) float64 { return g.limits(name).MaxWaitMs }

// Admit decides about a query that comes.
func (g *Limiter) Admit(id ID, name string, now float64) Verdict {
	u := g.user(name, now)
	u.countArrivals(now, 1)
	l, t := &u.limits, g.allowances[name]
	if l.PerSecond > 0 || t.BoundsRate {
		if u.refill(now, t); u.tokens < 1 {
			return RateExceeded
		}
	}
	switch most, bound := g.maxRunning(u); {
	case !bound || u.running < most && len(u.queue) == 0:
		u.running++
		g.running[id] = u
	case len(u.queue) < l.MaxQueued:
		u.queue = append(u.queue, queuedQuery{id, now + l.MaxWaitMs})
		g.queued[id] = u
	default:
		u.rejections++
		return TooMany
	}
	u.tokens--
	if g.queued[id] != nil {
		return Queued
	}
	return Admitted
}

// Release tells that a query has ended, or that its client has gone while it waited. It returns those that are let in now.
func (g *Limiter) Release(id ID) (in []ID) {
	if u := g.queued[id]; u != nil {
		delete(g.queued, id)
		u.queue = slices.DeleteFunc(u.queue, func(w queuedQuery) bool { return w.id == id })
		return nil
	}
	u := g.running[id]
	if u == nil {
		return nil
	}
	delete(g.running, id)
	u.running--
	return g.admitQueued(u)
}

// admitQueued lets in those that wait, as many as may run.
func (g *Limiter) admitQueued(u *user) (in []ID) {
	for most, bound := g.maxRunning(u); len(u.queue) > 0 && (!bound || u.running < most); {
		next := u.queue[0].id
		u.queue = u.queue[1:]
		delete(g.queued, next)
		u.running++
		g.running[next] = u
		in = append(in, next)
	}
	return in
}

// maxRunning is how many queries of a user may run, if that is bound.
func (g *Limiter) maxRunning(u *user) (most int, bound bool) {
	if t := g.allowances[u.name]; t.BoundsRunning {
		return t.MaxRunning, true
	}
	return u.limits.MaxRunning, u.limits.MaxRunning > 0
}

func (u *user) refill(now float64, t Allowance) {
	rate, burst := u.limits.PerSecond, max(1, u.limits.Burst)
	if t.BoundsRate {
		rate, burst = t.PerSecond, t.Burst
	}
	u.tokens = min(burst, u.tokens+max(0, now-u.refilledAt)*rate/1000)
	u.refilledAt = max(now, u.refilledAt)
}

func (u *user) countArrivals(now, n float64) {
	fade := math.Exp(-max(0, now-u.decayedAt) / 1000)
	u.arrivals, u.rejections = u.arrivals*fade+n, u.rejections*fade
	u.decayedAt = max(now, u.decayedAt)
}

// Assign has this pooler's part of a user's limits be so, and returns the queries that are let in for it. More than that may run: they
// are left to end.
func (g *Limiter) Assign(name string, t Allowance, now float64) (in []ID) {
	u := g.users[name]
	if u != nil {
		u.refill(now, g.allowances[name])
		if t.BoundsRate && !g.allowances[name].BoundsRate {
			u.tokens = 0
		}
	}
	if g.allowances[name] = t; u == nil {
		return nil
	}
	u.refill(now, t)
	return g.admitQueued(u)
}

// Restore has a user's limits be those of the settings again.
func (g *Limiter) Restore(name string) (in []ID) {
	delete(g.allowances, name)
	if u := g.users[name]; u != nil {
		return g.admitQueued(u)
	}
	return nil
}

// Demand is how many of a user's queries run, how many more would, those of the last second that were turned away as too many
// included, and how many come a second.
func (g *Limiter) Demand(name string, now float64) (running int, more, asked float64) {
	if u := g.users[name]; u != nil {
		u.countArrivals(now, 0)
		return u.running, float64(len(u.queue)) + u.rejections, u.arrivals
	}
	return 0, 0, 0
}

// Expire turns away what has waited for too long.
func (g *Limiter) Expire(now float64) (out []ID) {
	if len(g.queued) == 0 {
		return nil
	}
	for _, u := range g.users {
		for len(u.queue) > 0 && now >= u.queue[0].deadline { // all wait equally long: the oldest ends first
			out = append(out, u.queue[0].id)
			delete(g.queued, u.queue[0].id)
			u.queue = u.queue[1:]
		}
	}
	slices.Sort(out)
	return out
}

// Counts are how many run and wait.
func (g *Limiter) Counts() (running, waits int) { return len(g.running), len(g.queued) }
