// Package retrybudget keeps what one pooler may have its groups do twice, and how fast it comes back to a server that has returned. It is told
// of each attempt that goes out, and asked before another: calls in, answers out, no I/O, no clock, no goroutines.
//
// Both are sums that add up over all poolers without a word between them, as each one has a part of its own: Repeats.Most bounds the repeats
// of a group, and Returns connections a second those to a server that returned. What is moved between poolers is package lend's.
//
// It does not know whether a repeat does any good, nor where it is sent: that is the decision module's, which asks it.
package retrybudget

import (
	"math"
	"slices"
	"time"
)

// Settings says how many copies, and repeats of what may have run, a group may have. It is not changed any more.
type Settings struct {
	AttemptShare float64         // of first attempts
	Floor        float64         // so many more over all poolers, and as many again each Span
	Span         time.Duration   //
	Lent         map[int]float64 // by group: what this pooler was lent, less what it lent, ever
}

// minDepth is what a pooler may have saved up at least.
const minDepth = 2.0

// OwnFloor is a pooler's part of the floor, of so many that stand beside each other.
func (b *Settings) OwnFloor(siblings, processes int) float64 {
	return b.Floor / float64(max(1, siblings)*max(1, processes))
}

// Depth is what it may have saved up.
func (b *Settings) Depth(siblings, processes int) float64 {
	return max(minDepth, b.OwnFloor(siblings, processes))
}

// MaxRetries bounds the repeats of a group over all poolers, if none is lost, where so many first attempts were sent since the first of n processes
// began. Each process that begins later brings its part of a floor.
func (b *Settings) MaxRetries(firsts, n, siblings int, since time.Duration) float64 {
	return b.AttemptShare*float64(firsts) + b.OwnFloor(siblings, 1)*float64(n)*(1+since.Seconds()/b.Span.Seconds())
}

// Budgets are a pooler's, by group. Without Repeats everything is allowed.
type Budgets struct {
	settings        *Settings
	ownFloor, depth float64
	balances        map[int]*balance
}

type balance struct {
	remaining float64
	at        time.Duration
}

// UpdateSettings takes new settings, and what was lent since those that were.
func (a *Budgets) UpdateSettings(now time.Duration, b *Settings, siblings, processes int) {
	was := a.settings
	if a.settings = b; b == nil || was == nil {
		a.balances = nil
	}
	if b == nil {
		return
	}
	a.ownFloor, a.depth = b.OwnFloor(siblings, processes), b.Depth(siblings, processes)
	if was == nil {
		return
	}
	for id, x := range b.Lent { // each on its own
		if d := x - was.Lent[id]; d != 0 {
			a.balanceAt(now, id).remaining += d
		}
	}
}

// balanceAt brings a group's up to now.
func (a *Budgets) balanceAt(now time.Duration, group int) *balance {
	p := a.balances[group]
	if p == nil {
		if a.balances == nil {
			a.balances = map[int]*balance{}
		}
		p = &balance{a.ownFloor, now}
		a.balances[group] = p
	}
	p.add(a.ownFloor*(now-p.at).Seconds()/a.settings.Span.Seconds(), a.depth)
	p.at = now
	return p
}

// add brings more, as far as there is room; what was lent may stand above that.
func (p *balance) add(x, depth float64) { p.remaining = max(p.remaining, min(depth, p.remaining+x)) }

// Allows tells whether a group may have one more.
func (a *Budgets) Allows(now time.Duration, group int) bool {
	return a.settings == nil || a.balanceAt(now, group).remaining >= 1
}

// CountAttempt counts an attempt: a request's first one, or one that does again what may have run.
func (a *Budgets) CountAttempt(now time.Duration, group int, first, again bool) {
	switch {
	case a.settings == nil:
	case first:
		a.balanceAt(now, group).add(a.settings.AttemptShare, a.depth)
	case again:
		a.balanceAt(now, group).remaining--
	}
}

// Remaining is what a group has, and Groups those that anything was sent to.
func (a *Budgets) Remaining(now time.Duration, group int) float64 {
	return a.balanceAt(now, group).remaining
}

// Groups are in their order.
func (a *Budgets) Groups() []int {
	var out []int
	for id := range a.balances { // sorted below
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// never is before anything.
const never = time.Duration(math.MinInt64 / 2)

// SlowStartTime is how long a server that has returned is come back to slowly.
const SlowStartTime = 5 * time.Second

// SlowStart is a server as one that was down, or is new: when that was, since when it is used again, and how many this pooler has had there at
// once since.
type SlowStart struct {
	returnedAt, usedSince time.Duration
	phase                 float64
	maxConnections        int
}

// NewSlowStart is of a server that was always there.
func NewSlowStart() SlowStart { return SlowStart{returnedAt: never} }

// ObserveConnections counts what is there at once.
func (b *SlowStart) ObserveConnections(n int) { b.maxConnections = max(b.maxConnections, n) }

// AllowsConnection tells whether so many may become one more: as many as there were, or by this pooler's rate a second since it is used again. It last
// returned at of, and was used from then on, or is so only now.
func (b *SlowStart) AllowsConnection(now, of time.Duration, then bool, n int, rate float64, luck func() float64) bool {
	if of > b.returnedAt {
		if *b = (SlowStart{returnedAt: of, usedSince: now}); then {
			b.usedSince = min(now, of)
		}
		b.phase = luck()
	}
	return n < b.maxConnections || b.returnedAt == never || now-b.usedSince >= SlowStartTime || float64(b.maxConnections) < math.Floor(b.phase+(now-b.usedSince).Seconds()*rate)
}
