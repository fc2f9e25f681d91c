// Package retrybudget decides whether a pooler may retry or hedge a request of a group, and how fast it opens connections to a server that
// has returned. The decision module reports each attempt to it, and asks it before a retry or a hedged request. It does no I/O, reads no
// clock and starts no goroutines.
//
// Both limits hold for the sum of all poolers without any messages, as each pooler has its own part of them: Settings.MaxRetries bounds the
// retries of a group, and a rate of connections a second bounds those to a server that has returned. With package budgetlease poolers lend
// each other the retries that they do not use.
//
// It does not know whether a retry helps, nor where it is sent.
package retrybudget

import (
	"math"
	"slices"
	"time"
)

// Settings limit the hedged requests of a group, and the retries of attempts that may have run. They are immutable.
type Settings struct {
	AttemptShare float64         // retries for each first attempt
	Floor        float64         // additional retries over all poolers, at the start and again in each Span
	Span         time.Duration   // in which the floor is earned again
	Lent         map[int]float64 // by group: retries borrowed by this pooler since its start, less those that it lent
}

// minDepth is the lower limit of the number of retries that a pooler may save up.
const minDepth = 2.0

// OwnFloor returns the part of the floor of one process, with that number of poolers and of processes of each.
func (settings *Settings) OwnFloor(poolers, processes int) float64 {
	return settings.Floor / float64(max(1, poolers)*max(1, processes))
}

// Depth returns how many retries a process may save up.
func (settings *Settings) Depth(poolers, processes int) float64 {
	return max(minDepth, settings.OwnFloor(poolers, processes))
}

// MaxRetries bounds the retries of a group over all poolers, given the first attempts since the first of n processes started. Each process
// that starts later adds its part of the floor.
func (settings *Settings) MaxRetries(firstAttempts, n, poolers int, since time.Duration) float64 {
	return settings.AttemptShare*float64(firstAttempts) + settings.OwnFloor(poolers, 1)*float64(n)*(1+since.Seconds()/settings.Span.Seconds())
}

// Budgets are the retry budgets of a pooler, by group. Without Settings every retry is allowed.
type Budgets struct {
	settings        *Settings
	ownFloor, depth float64
	balances        map[int]*balance
}

// balance is the number of retries that a group has left, with those earned until a time.
type balance struct {
	remaining float64
	at        time.Duration
}

// UpdateSettings applies new settings, and the lending since the previous ones.
func (budgets *Budgets) UpdateSettings(now time.Duration, settings *Settings, poolers, processes int) {
	previous := budgets.settings
	if budgets.settings = settings; settings == nil || previous == nil {
		budgets.balances = nil
	}
	if settings == nil {
		return
	}
	budgets.ownFloor, budgets.depth = settings.OwnFloor(poolers, processes), settings.Depth(poolers, processes)
	if previous == nil {
		return
	}
	for id, lent := range settings.Lent { // the order does not matter
		if change := lent - previous.Lent[id]; change != 0 {
			budgets.balanceAt(now, id).remaining += change
		}
	}
}

// balanceAt returns a group's balance, with the part of the floor earned until now.
func (budgets *Budgets) balanceAt(now time.Duration, group int) *balance {
	b := budgets.balances[group]
	if b == nil {
		if budgets.balances == nil {
			budgets.balances = map[int]*balance{}
		}
		b = &balance{budgets.ownFloor, now}
		budgets.balances[group] = b
	}
	b.add(budgets.ownFloor*(now-b.at).Seconds()/budgets.settings.Span.Seconds(), budgets.depth)
	b.at = now
	return b
}

// add adds retries up to a depth. A balance that exceeds the depth by borrowed retries is not lowered.
func (b *balance) add(retries, depth float64) {
	b.remaining = max(b.remaining, min(depth, b.remaining+retries))
}

// Allows reports whether a group may have one more retry.
func (budgets *Budgets) Allows(now time.Duration, group int) bool {
	return budgets.settings == nil || budgets.balanceAt(now, group).remaining >= 1
}

// CountAttempt counts an attempt: a request's first one, which earns a part of a retry, or a retry of an attempt that may have run, or a
// hedged request, which takes one.
func (budgets *Budgets) CountAttempt(now time.Duration, group int, first, retry bool) {
	switch {
	case budgets.settings == nil:
	case first:
		budgets.balanceAt(now, group).add(budgets.settings.AttemptShare, budgets.depth)
	case retry:
		budgets.balanceAt(now, group).remaining--
	}
}

// Remaining returns the number of retries that a group has left.
func (budgets *Budgets) Remaining(now time.Duration, group int) float64 {
	return budgets.balanceAt(now, group).remaining
}

// Groups returns the groups with a balance, sorted.
func (budgets *Budgets) Groups() []int {
	var out []int
	for id := range budgets.balances { // sorted below
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// never is the return time of a server that was never down.
const never = time.Duration(math.MinInt64 / 2)

// SlowStartTime is the time for which the connections to a server that has returned are limited.
const SlowStartTime = 5 * time.Second

// SlowStart limits the connections to a server that was down or is new.
type SlowStart struct {
	returnedAt, usedSince time.Duration // when the server returned, and since when it is used again
	phase                 float64       // in [0, 1), so that poolers open their connections at different times
	maxConnections        int           // the highest number of connections of this pooler since then
}

// NewSlowStart returns the SlowStart of a server that was never down.
func NewSlowStart() SlowStart { return SlowStart{returnedAt: never} }

// ObserveConnections records the number of connections to the server.
func (s *SlowStart) ObserveConnections(n int) { s.maxConnections = max(s.maxConnections, n) }

// AllowsConnection reports whether this pooler may open one connection more than its n open ones: up to the highest number since the
// return, or more by its rate, in connections a second, since the server is used again. returnedAt is the time of the server's last return.
// The server counts as used since then if usedSinceReturn is true, else from now on. random returns numbers in [0, 1).
func (s *SlowStart) AllowsConnection(now, returnedAt time.Duration, usedSinceReturn bool, n int, rate float64, random func() float64) bool {
	if returnedAt > s.returnedAt {
		if *s = (SlowStart{returnedAt: returnedAt, usedSince: now}); usedSinceReturn {
			s.usedSince = min(now, returnedAt)
		}
		s.phase = random()
	}
	return n < s.maxConnections || s.returnedAt == never || now-s.usedSince >= SlowStartTime || float64(s.maxConnections) < math.Floor(s.phase+(now-s.usedSince).Seconds()*rate)
}
