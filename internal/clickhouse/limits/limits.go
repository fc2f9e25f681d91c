// Package limits decides how many queries of each user run and wait at a pooler, and how fast they may come. It does no I/O,
// has no clock and no goroutines. Times are in milliseconds.
package limits

import "slices"

// Limits are one user's; 0 is no limit.
type Limits struct {
	Queries   int     // that run at once
	Queue     int     // that wait for their turn beside them
	Wait      float64 // for so long at most
	PerSecond float64 // that may come...
	Burst     float64 // ...and so many at once
}

// Verdict is what becomes of a query that comes.
type Verdict uint8

// The verdicts.
const (
	In      Verdict = iota // it runs
	Waits                  // it is let in later, or turned away by Beat
	TooMany                // turned away: too many run and wait
	TooFast                // turned away: too many came
)

// ID names a query; no two that are in or wait have the same.
type ID uint64

// Gate lets queries in.
type Gate struct {
	byName map[string]Limits
	other  Limits
	users  map[string]*user
	whose  map[ID]*user // of those that run
	queued map[ID]*user
}

type user struct {
	limits  Limits
	running int
	queue   []waiting
	tokens  float64
	at      float64
}

type waiting struct {
	id    ID
	until float64
}

// maxUsers bounds how many users are kept track of. Beyond it those of which nothing runs or waits are forgotten, and with them
// what they have used of their rate.
const maxUsers = 10000

// New makes a gate; other is for users that are not named.
func New(byName map[string]Limits, other Limits) *Gate {
	return &Gate{byName: byName, other: other, users: map[string]*user{}, whose: map[ID]*user{}, queued: map[ID]*user{}}
}

func (g *Gate) user(name string, now float64) *user {
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
		u = &user{limits: l, tokens: max(1, l.Burst), at: now}
		g.users[name] = u
	}
	return u
}

func (g *Gate) limits(name string) Limits {
	if l, ok := g.byName[name]; ok {
		return l
	}
	return g.other
}

// Wait is for how long a user's query may wait for its turn.
func (g *Gate) Wait(name string) float64 { return g.limits(name).Wait }

// Enter decides about a query that comes.
func (g *Gate) Enter(id ID, name string, now float64) Verdict {
	u := g.user(name, now)
	l := &u.limits
	if l.PerSecond > 0 {
		u.tokens = min(max(1, l.Burst), u.tokens+max(0, now-u.at)*l.PerSecond/1000)
		u.at = max(now, u.at)
		if u.tokens < 1 {
			return TooFast
		}
	}
	switch {
	case l.Queries <= 0 || u.running < l.Queries && len(u.queue) == 0:
		u.running++
		g.whose[id] = u
	case len(u.queue) < l.Queue:
		u.queue = append(u.queue, waiting{id, now + l.Wait})
		g.queued[id] = u
	default:
		return TooMany
	}
	u.tokens--
	if g.queued[id] != nil {
		return Waits
	}
	return In
}

// Leave tells that a query has ended, or that its client has gone while it waited. It returns those that are let in now.
func (g *Gate) Leave(id ID) (in []ID) {
	if u := g.queued[id]; u != nil {
		delete(g.queued, id)
		u.queue = slices.DeleteFunc(u.queue, func(w waiting) bool { return w.id == id })
		return nil
	}
	u := g.whose[id]
	if u == nil {
		return nil
	}
	delete(g.whose, id)
	u.running--
	for len(u.queue) > 0 && u.running < u.limits.Queries {
		next := u.queue[0].id
		u.queue = u.queue[1:]
		delete(g.queued, next)
		u.running++
		g.whose[next] = u
		in = append(in, next)
	}
	return in
}

// Beat turns away what has waited for too long.
func (g *Gate) Beat(now float64) (out []ID) {
	if len(g.queued) == 0 {
		return nil
	}
	for _, u := range g.users {
		for len(u.queue) > 0 && now >= u.queue[0].until { // all wait equally long: the oldest ends first
			out = append(out, u.queue[0].id)
			delete(g.queued, u.queue[0].id)
			u.queue = u.queue[1:]
		}
	}
	slices.Sort(out)
	return out
}

// Counts are how many run and wait.
func (g *Gate) Counts() (running, waits int) { return len(g.whose), len(g.queued) }
