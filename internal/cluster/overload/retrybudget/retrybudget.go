// Package retrybudget decides whether one pooler may retry or hedge a request of a group, and how fast it opens connections to a server
// that has returned. The decision module reports each attempt to it, and asks it before another one. It does no I/O, reads no clock and
// starts no goroutines.
//
// Both limits hold for the sum of all poolers without any messages, as each pooler has a part of its own: Settings.MaxRetries bounds the
// retries of a group, and a rate of connections a second those to a server that returned. Poolers lend each other what they do not use with
// package budgetlease; without other poolers each one has its own part.
//
// It does not know whether a retry helps, nor where it is sent.
package retrybudget

import (
	"math"
	"slices"
	"time"
)

// Settings says how many hedged requests, and retries of attempts that may have run, a group may have. It is not changed any more.
type Settings struct {
	AttemptShare float64         // retries for each first attempt
	Floor        float64         // so many more over all poolers, and as many again in each Span
	Span         time.Duration   //
	Lent         map[int]float64 // by group: what this pooler was lent since its start, less what it lent
}

// minDepth is the least that a pooler may save up, in retries.
const minDepth = 2.0

// OwnFloor returns a pooler's part of the floor, among siblings of so many processes each.
func (b *Settings) OwnFloor(siblings, processes int) float64 {
	return b.Floor / float64(max(1, siblings)*max(1, processes))
}

// Depth returns how many retries a pooler may save up.
func (b *Settings) Depth(siblings, processes int) float64 {
	return max(minDepth, b.OwnFloor(siblings, processes))
}

// MaxRetries bounds the retries of a group over all poolers, with a number of first attempts since the first of n processes started. Each
// process that starts later brings its part of the floor.
func (b *Settings) MaxRetries(firsts, n, siblings int, since time.Duration) float64 {
	return b.AttemptShare*float64(firsts) + b.OwnFloor(siblings, 1)*float64(n)*(1+since.Seconds()/b.Span.Seconds())
}

// Budgets are the retry budgets of a pooler, by group. Without Settings every retry is allowed.
type Budgets struct {
	settings        *Settings
	ownFloor, depth float64
	balances        map[int]*balance
}

type balance struct {
	remaining float64
	at        time.Duration
}

// UpdateSettings takes new settings, and what was lent since the previous ones.
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

// balanceAt returns a group's balance, with what it earned until now.
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

// add adds retries up to a depth; what was lent may exceed that.
func (p *balance) add(x, depth float64) { p.remaining = max(p.remaining, min(depth, p.remaining+x)) }

// Allows reports whether a group may have one more retry.
func (a *Budgets) Allows(now time.Duration, group int) bool {
	return a.settings == nil || a.balanceAt(now, group).remaining >= 1
}

// CountAttempt counts an attempt: a request's first one, which earns a part of a retry, or a retry of what may have run, which takes one.
func (a *Budgets) CountAttempt(now time.Duration, group int, first, again bool) {
	switch {
	case a.settings == nil:
	case first:
		a.balanceAt(now, group).add(a.settings.AttemptShare, a.depth)
	case again:
		a.balanceAt(now, group).remaining--
	}
}

// Remaining returns the retries that a group has.
func (a *Budgets) Remaining(now time.Duration, group int) float64 {
	return a.balanceAt(now, group).remaining
}

// Groups returns the groups that anything was sent to, sorted.
func (a *Budgets) Groups() []int {
	var out []int
	for id := range a.balances { // sorted below
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// SlowStartTime is how long the connections to a server that has returned are limited.
const SlowStartTime = 5 * time.Second

// SlowStart limits the connections to a server that was down or is new: when it returned, since when it is used again, and the most
// connections that this pooler has had there since.
type SlowStart struct {
	returnedAt, usedSince time.Duration
	phase                 float64
	maxConnections        int
}

// NewSlowStart returns the SlowStart of a server that was never down.
func NewSlowStart() SlowStart { return SlowStart{returnedAt: never} }

// ObserveConnections takes the number of connections to the server.
func (b *SlowStart) ObserveConnections(n int) { b.maxConnections = max(b.maxConnections, n) }

// AllowsConnection reports whether there may be one connection more than n: as many as there were, or by this pooler's rate a second since
// the server is used again. The server returned last at of, and was used from then on if then is true, else it is from now on.
func (b *SlowStart) AllowsConnection(now, of time.Duration, then bool, n int, rate float64, luck func() float64) bool {
	if of > b.returnedAt {
		if *b = (SlowStart{returnedAt: of, usedSince: now}); then {
			b.usedSince = min(now, of)
		}
		b.phase = luck()
	}
	return n < b.maxConnections || b.returnedAt == never || now-b.usedSince >= SlowStartTime || float64(b.maxConnections) < math.Floor(b.phase+(now-b.usedSince).Seconds()*rate)
}
