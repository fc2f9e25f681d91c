// Package invariant checks statements about state that must hold whatever happens, where the state changes, and reports those that
// do not, with the state that broke them.
//
// Each owner of state has a *Checks; nil checks nothing, at the cost of a comparison:
//
//	if c.Enabled() {
//		c.That(len(p.idle)+len(p.busy) == p.count, "pool: counted connections are those listed", func() string {
//			return fmt.Sprintf("server %s: %d idle, %d busy, counted %d", p.id, len(p.idle), len(p.busy), p.count)
//		})
//	}
//
// Checks of O(n) belong in a Walk, which runs once in a number of changes. A breach never stops the caller: it is reported once for each
// name, and counted. A panic of a walk in broken state is a breach like any other.
//
// A Checks belongs to one event loop, like the state that it checks, and is not safe for concurrent use. Each simulation and each
// pooler has its own.
package invariant

import (
	"fmt"
	"slices"
)

// Bounds of what is kept.
const (
	maxBreaches   = 256  // names
	maxStateBytes = 8192 // of each
)

// Breach is a statement that did not hold.
type Breach struct {
	Name  string
	State string // the first time
	Times int
}

// String is the name of the statement and the state that broke it.
func (b Breach) String() string { return fmt.Sprintf("invariant broken: %s: %s", b.Name, b.State) }

// Checks checks statements. A nil *Checks checks none.
type Checks struct {
	onBreach     func(Breach)
	breaches     []Breach
	failedCount  int
	checkedCount int
}

// New returns checks that report the first breach of each name to onBreach, which may be nil.
func New(onBreach func(Breach)) *Checks { return &Checks{onBreach: onBreach} }

// T is the part of a *testing.T or *rapid.T that Test needs.
type T interface {
	Helper()
	Errorf(format string, args ...any)
}

// Test returns checks that fail a test on a breach. The test goes on, as callers go on after a breach.
func Test(t T) *Checks {
	t.Helper()
	return New(func(breach Breach) { t.Errorf("%v", breach) })
}

// Enabled reports whether statements are checked. Work that only serves a check is done only then.
func (c *Checks) Enabled() bool { return c != nil }

// That checks that ok holds. state describes the state; it is called for the first breach of the name.
func (c *Checks) That(ok bool, name string, state func() string) {
	if c == nil {
		return
	}
	c.checkedCount++
	if !ok {
		c.breach(name, state)
	}
}

func (c *Checks) breach(name string, state func() string) {
	c.failedCount++
	i := slices.IndexFunc(c.breaches, func(breach Breach) bool { return breach.Name == name })
	if i >= 0 {
		c.breaches[i].Times++
		return
	}
	if len(c.breaches) >= maxBreaches {
		return
	}
	breach := Breach{Name: name, State: describe(state), Times: 1}
	c.breaches = append(c.breaches, breach)
	if c.onBreach != nil {
		c.onBreach(breach)
	}
}

// describe calls state, which may panic as the state is broken.
func describe(state func() string) (text string) {
	defer func() {
		if p := recover(); p != nil {
			text = fmt.Sprintf("state that cannot be told: %v", p)
		}
	}()
	if state == nil {
		return ""
	}
	text = state()
	if len(text) > maxStateBytes {
		text = text[:maxStateBytes] + "..."
	}
	return text
}

// Walk runs walk, which checks large state, once in every calls. counter counts the calls and belongs to the caller.
func (c *Checks) Walk(counter *int, every int, name string, walk func(c *Checks)) {
	if c == nil {
		return
	}
	*counter++
	if *counter < every {
		return
	}
	*counter = 0
	defer func() {
		if p := recover(); p != nil {
			c.breach(name, func() string { return fmt.Sprintf("the walk broke off: %v", p) })
		}
	}()
	walk(c)
}

// Breaches are the breaches so far, in the order in which they were found; nil for none.
func (c *Checks) Breaches() []Breach {
	if c == nil {
		return nil
	}
	return slices.Clone(c.breaches)
}

// Counts are how many statements were checked, and how many of them did not hold.
func (c *Checks) Counts() (checked, failed int) {
	if c == nil {
		return 0, 0
	}
	return c.checkedCount, c.failedCount
}
