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
	mostNames = 256
	mostState = 8192 // bytes
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
	told   func(Breach)
	broken []Breach
	times  int
	made   int
}

// New returns checks that tell of the first breach of each name; told may be nil.
func New(told func(Breach)) *Checks { return &Checks{told: told} }

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

// On says whether statements are checked: what is only needed for one goes behind it.
func (c *Checks) On() bool { return c != nil }

// That states that ok holds. state is called where it does not, the first time.
func (c *Checks) That(ok bool, name string, state func() string) {
	if c == nil {
		return
	}
	if c.made++; !ok {
		c.breach(name, state)
	}
}

func (c *Checks) breach(name string, state func() string) {
	c.times++
	i := slices.IndexFunc(c.broken, func(b Breach) bool { return b.Name == name })
	if i >= 0 {
		c.broken[i].Times++
		return
	}
	if len(c.broken) >= mostNames {
		return
	}
	b := Breach{Name: name, State: tell(state), Times: 1}
	c.broken = append(c.broken, b)
	if c.told != nil {
		c.told(b)
	}
}

// tell is the state in words, as far as it can be told: it is broken.
func tell(state func() string) (s string) {
	defer func() {
		if p := recover(); p != nil {
			s = fmt.Sprintf("state that cannot be told: %v", p)
		}
	}()
	if state == nil {
		return ""
	}
	if s = state(); len(s) > mostState {
		s = s[:mostState] + "..."
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

// Broken are the breaches so far, by when each was found first; nil for none.
func (c *Checks) Broken() []Breach {
	if c == nil {
		return nil
	}
	return slices.Clone(c.broken)
}

// Counts are how many statements were made, and how many of these were false.
func (c *Checks) Counts() (made, broken int) {
	if c == nil {
		return 0, 0
	}
	return c.made, c.times
}
