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

// Repeats says how many copies, and repeats of what may have run, a group may have. It is not changed any more.
type Repeats struct {
	Part  float64         // of first attempts
	Floor float64         // so many more over all poolers, and as many again each Span
	Span  time.Duration   //
	Lent  map[int]float64 // by group: what this pooler was lent, less what it lent, ever
}

// least is what a pooler may have saved up at least.
const least = 2.0

// Own is a pooler's part of the floor, of so many that stand beside each other.
func (b *Repeats) Own(siblings, processes int) float64 {
	return b.Floor / float64(max(1, siblings)*max(1, processes))
}

// Depth is what it may have saved up.
func (b *Repeats) Depth(siblings, processes int) float64 {
	return max(least, b.Own(siblings, processes))
}

// Most bounds the repeats of a group over all poolers, if none is lost, where so many first attempts were sent since the first of n processes
// began. Each process that begins later brings its part of a floor.
func (b *Repeats) Most(firsts, n, siblings int, since time.Duration) float64 {
	return b.Part*float64(firsts) + b.Own(siblings, 1)*float64(n)*(1+since.Seconds()/b.Span.Seconds())
}

// Accounts are a pooler's, by group. Without Repeats everything is allowed.
type Accounts struct {
	set        *Repeats
	own, depth float64
	of         map[int]*held
}

type held struct {
	left float64
	at   time.Duration
}

// Tune takes new settings, and what was lent since those that were.
func (a *Accounts) Tune(now time.Duration, b *Repeats, siblings, processes int) {
	was := a.set
	if a.set = b; b == nil || was == nil {
		a.of = nil
	}
	if b == nil {
		return
	}
	a.own, a.depth = b.Own(siblings, processes), b.Depth(siblings, processes)
	if was == nil {
		return
	}
	for id, x := range b.Lent { // each on its own
		if d := x - was.Lent[id]; d != 0 {
			a.at(now, id).left += d
		}
	}
}

// at brings a group's up to now.
func (a *Accounts) at(now time.Duration, group int) *held {
	p := a.of[group]
	if p == nil {
		if a.of == nil {
			a.of = map[int]*held{}
		}
		p = &held{a.own, now}
		a.of[group] = p
	}
	p.add(a.own*(now-p.at).Seconds()/a.set.Span.Seconds(), a.depth)
	p.at = now
	return p
}

// add brings more, as far as there is room; what was lent may stand above that.
func (p *held) add(x, depth float64) { p.left = max(p.left, min(depth, p.left+x)) }

// Affords tells whether a group may have one more.
func (a *Accounts) Affords(now time.Duration, group int) bool {
	return a.set == nil || a.at(now, group).left >= 1
}

// Sent counts an attempt: a request's first one, or one that does again what may have run.
func (a *Accounts) Sent(now time.Duration, group int, first, again bool) {
	switch {
	case a.set == nil:
	case first:
		a.at(now, group).add(a.set.Part, a.depth)
	case again:
		a.at(now, group).left--
	}
}

// Left is what a group has, and Groups those that anything was sent to.
func (a *Accounts) Left(now time.Duration, group int) float64 { return a.at(now, group).left }

// Groups are in their order.
func (a *Accounts) Groups() []int {
	var out []int
	for id := range a.of { // sorted below
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// never is before anything.
const never = time.Duration(math.MinInt64 / 2)

// Slow is how long a server that has returned is come back to slowly.
const Slow = 5 * time.Second

// Return is a server as one that was down, or is new: when that was, since when it is used again, and how many this pooler has had there at
// once since.
type Return struct {
	of, from time.Duration
	luck     float64
	most     int
}

// NewReturn is of a server that was always there.
func NewReturn() Return { return Return{of: never} }

// Has counts what is there at once.
func (b *Return) Has(n int) { b.most = max(b.most, n) }

// May tells whether so many may become one more: as many as there were, or by this pooler's rate a second since it is used again. It last
// returned at of, and was used from then on, or is so only now.
func (b *Return) May(now, of time.Duration, then bool, n int, rate float64, luck func() float64) bool {
	if of > b.of {
		if *b = (Return{of: of, from: now}); then {
			b.from = min(now, of)
		}
		b.luck = luck()
	}
	return n < b.most || b.of == never || now-b.from >= Slow || float64(b.most) < math.Floor(b.luck+(now-b.from).Seconds()*rate)
}
