// Package invariant checks invariants where the state changes that they are about, and reports each one that does not hold,
// together with the state.
//
// Each owner of state has a *Checks; a nil *Checks checks nothing, at the cost of a comparison:
//
//	if c.Enabled() {
//		c.That(len(p.idle)+len(p.busy) == p.count, "pool: counted connections are those listed", func() string {
//			return fmt.Sprintf("server %s: %d idle, %d busy, counted %d", p.id, len(p.idle), len(p.busy), p.count)
//		})
//	}
//
// Checks of O(n) belong in a Walk, which runs only once in a given number of calls. A breach never stops the caller: each name is
// reported once, and further breaches of it are counted. A panic of a walk over inconsistent state counts as a breach.
//
// A Checks belongs to the event loop of the state that it checks, and is not safe for concurrent use. Each simulation and each
// pooler has its own.
package invariant

import (
	"fmt"
	"slices"
)

// Bounds of the breaches that are kept.
const (
	maxBreaches   = 256  // names
	maxStateBytes = 8192 // of the state of each
)

// Breach is an invariant that did not hold.
type Breach struct {
	Name  string
	State string // at the first breach
	Times int
}

// String is the name of the invariant and the state in which it did not hold.
func (b Breach) String() string { return fmt.Sprintf("invariant broken: %s: %s", b.Name, b.State) }

// Checks checks invariants. A nil *Checks checks none.
type Checks struct {
	onBreach     func(Breach)
	breaches     []Breach
	failedCount  int
	checkedCount int
}

// New returns a Checks that reports the first breach of each name to onBreach, which may be nil.
func New(onBreach func(Breach)) *Checks { return &Checks{onBreach: onBreach} }

// T is the part of a *testing.T or *rapid.T that Test needs.
type T interface {
	Helper()
	Errorf(format string, args ...any)
}

// Test returns a Checks that marks the test as failed on a breach. The test continues, as callers continue after a breach.
func Test(t T) *Checks {
	t.Helper()
	return New(func(breach Breach) { t.Errorf("%v", breach) })
}

// Enabled reports whether invariants are checked. Callers skip work that only serves a check where they are not.
func (c *Checks) Enabled() bool { return c != nil }

// That checks that ok is true. state describes the state; it is called only at the first breach of the name.
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

// describe calls state, which may panic where the state is inconsistent.
func describe(state func() string) (text string) {
	defer func() {
		if p := recover(); p != nil {
			text = fmt.Sprintf("describing the state panicked: %v", p)
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

// Walk runs walk, which checks large state, on every interval-th call. counter counts the calls and belongs to the caller.
func (c *Checks) Walk(counter *int, interval int, name string, walk func(c *Checks)) {
	if c == nil {
		return
	}
	*counter++
	if *counter < interval {
		return
	}
	*counter = 0
	defer func() {
		if p := recover(); p != nil {
			c.breach(name, func() string { return fmt.Sprintf("the walk panicked: %v", p) })
		}
	}()
	walk(c)
}

// Breaches returns the breaches so far, in the order in which they were found, or nil if there are none.
func (c *Checks) Breaches() []Breach {
	if c == nil {
		return nil
	}
	return slices.Clone(c.breaches)
}

// Counts returns the number of checks so far, and of those that failed.
func (c *Checks) Counts() (checked, failed int) {
	if c == nil {
		return 0, 0
	}
	return c.checkedCount, c.failedCount
}
