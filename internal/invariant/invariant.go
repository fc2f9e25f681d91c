// Package invariant holds statements about state that must be true whatever happens, checked where state changes and told with the
// state that broke them.
//
// Each owner of state is handed a *Checks; nil is off, and then a check costs a comparison:
//
//	if c.On() {
//		c.That(len(p.idle)+len(p.busy) == p.count, "pool: counted connections are those listed", func() string {
//			return fmt.Sprintf("server %s: %d idle, %d busy, counted %d", p.id, len(p.idle), len(p.busy), p.count)
//		})
//	}
//
// What is O(n) goes in a Walk, which every so many changes may do; what a walk trips over in broken state is a breach like any other.
// A breach never stops the caller: it is told once for each name, counted, and fails whatever play it happened in.
//
// A Checks belongs to one loop, like the state that it is about; it is not safe for concurrent use. One for each play or pooler:
// there is nothing in common between two.
package invariant

import (
	"fmt"
	"slices"
)

// Bounds of what is kept.
const (
	maxBreaches   = 256
	maxStateBytes = 8192 // bytes
)

// Breach is a statement that was found false.
type Breach struct {
	Name  string
	State string // as it was the first time
	Times int
}

func (b Breach) String() string { return fmt.Sprintf("invariant broken: %s: %s", b.Name, b.State) }

// Checks takes statements. nil takes none.
type Checks struct {
	onBreach     func(Breach)
	breaches     []Breach
	failedCount  int
	checkedCount int
}

// New returns checks that tell of the first breach of each name; told may be nil.
func New(onBreach func(Breach)) *Checks { return &Checks{onBreach: onBreach} }

// T is what Test needs of a *testing.T or *rapid.T.
type T interface {
	Helper()
	Errorf(format string, args ...any)
}

// Test returns checks that fail a test. Errorf, as the callers go on after a breach.
func Test(t T) *Checks {
	t.Helper()
	return New(func(b Breach) { t.Errorf("%v", b) })
}

// Enabled says whether statements are checked: what is only needed for one goes behind it.
func (c *Checks) Enabled() bool { return c != nil }

// That states that ok holds. state is called where it does not, the first time.
func (c *Checks) That(ok bool, name string, state func() string) {
	if c == nil {
		return
	}
	if c.checkedCount++; !ok {
		c.breach(name, state)
	}
}

func (c *Checks) breach(name string, state func() string) {
	c.failedCount++
	i := slices.IndexFunc(c.breaches, func(b Breach) bool { return b.Name == name })
	if i >= 0 {
		c.breaches[i].Times++
		return
	}
	if len(c.breaches) >= maxBreaches {
		return
	}
	b := Breach{Name: name, State: describe(state), Times: 1}
	c.breaches = append(c.breaches, b)
	if c.onBreach != nil {
		c.onBreach(b)
	}
}

// describe is the state in words, as far as it can be told: it is broken.
func describe(state func() string) (s string) {
	defer func() {
		if p := recover(); p != nil {
			s = fmt.Sprintf("state that cannot be told: %v", p)
		}
	}()
	if state == nil {
		return ""
	}
	if s = state(); len(s) > maxStateBytes {
		s = s[:maxStateBytes] + "..."
	}
	return s
}

// Walk does a walk over state that makes statements on the way. Every is how many calls there are for one walk, counted in n, which is
// the caller's; 1 walks each time.
func (c *Checks) Walk(n *int, every int, name string, walk func(c *Checks)) {
	if c == nil {
		return
	}
	if *n++; *n < every {
		return
	}
	*n = 0
	defer func() {
		if p := recover(); p != nil {
			c.breach(name, func() string { return fmt.Sprintf("the walk broke off: %v", p) })
		}
	}()
	walk(c)
}

// Breaches are the breaches so far, by when each was found first; nil for none.
func (c *Checks) Breaches() []Breach {
	if c == nil {
		return nil
	}
	return slices.Clone(c.breaches)
}

// Counts are how many statements were made, and how many of these were false.
func (c *Checks) Counts() (made, broken int) {
	if c == nil {
		return 0, 0
	}
	return c.checkedCount, c.failedCount
}
