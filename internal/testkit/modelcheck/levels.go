package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// Levels are so many poolers that agree on what one group turns away, all of them collectors, with the messages between them and the same load at
// each. A step is a Period; within it messages arrive in any order, and some are lost, come twice, or steps later.
type Levels struct {
	LevelFaults
	End   int                                // at this step levels are held to one another, as they are once it is quiet
	Break func(m any, last, came uint32) any // a mutant: what is told in place of a message, by its last number and how many have come

	now   float64
	steps int
	set   overload.Settings
	nodes []*leveler
	words []word
	same  map[string]string // what followed from which words, in all states
}

// LevelFaults are what may still happen.
type LevelFaults struct{ Lose, Double, Late int }

type leveler struct {
	o     *overload.Controller
	heard map[string]bool // words that came, by their text
	story string          // those that came for the first time, by steps
	fresh []string        // ...of this step, sorted
	came  uint32          // tells
}

// NewLevels makes a system of so many, long after its start and with more load than its servers can do.
func NewLevels(n int) *Levels {
	s := &Levels{now: 1e6, set: overload.Defaults(), same: map[string]string{}}
	s.set.Collectors = n
	s.set.Classes = []overload.Class{{Name: "list", Priority: 1, ObjectiveMs: 400}, {Name: "write", Priority: 5, ObjectiveMs: 400, NotIdempotent: true}}
	var peers []overload.Peer
	for i := range n {
		peers = append(peers, overload.Peer{ID: overload.ID(i + 1), Addr: fmt.Sprint(i)})
	}
	for i := range n {
		o := overload.New(s.set, overload.ID(i+1), s.now)
		o.Handle(s.now, overload.MembersChanged{Self: overload.ID(i + 1), Peers: peers}, nil)
		s.nodes = append(s.nodes, &leveler{o: o, heard: map[string]bool{}})
	}
	for range int(2*s.set.StaleAfter/s.set.ReportInterval) + 4 {
		_ = s.time()
		s.drain()
	}
	for _, x := range s.nodes {
		x.story, x.heard = "", map[string]bool{}
	}
	s.steps, s.same = 0, map[string]string{}
	return s
}

// drain has all arrive, in the order of their text.
func (s *Levels) drain() {
	for len(s.words) > 0 {
		w := s.words[0]
		s.words = s.words[1:]
		s.deliver(w)
	}
}

// Held are the levels that they go by.
func (s *Levels) Held() (out []float64) {
	for _, x := range s.nodes {
		for _, g := range x.o.Statuses() {
			out = append(out, g.Level)
		}
	}
	return out
}

func (s *Levels) clone() *Levels {
	c := *s
	c.nodes = make([]*leveler, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.o, y.heard, y.fresh = x.o.Clone(), maps.Clone(x.heard), slices.Clone(x.fresh)
		c.nodes[i] = &y
	}
	c.words = slices.Clone(s.words)
	return &c
}

// Key is System's.
func (s *Levels) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.LevelFaults, s.steps, "|")
	for _, x := range s.nodes {
		fmt.Fprint(&b, x.o.StateKey(), x.story, x.fresh, "|")
		if s.Break != nil {
			fmt.Fprint(&b, x.came)
		}
	}
	for _, w := range s.words {
		fmt.Fprint(&b, w.from, w.to, w.age, w.text, "|")
	}
	return b.String()
}

func (s *Levels) do(i int, e overload.Event) {
	for _, a := range s.nodes[i].o.Handle(s.now, e, nil) {
		w := word{from: i, to: int(a.To) - 1}
		switch a.Kind {
		case overload.SendReport:
			w.m = a.Report
			w.text = fmt.Sprintf("tell %d %+v", i, *a.Report)
		case overload.SendDecisions:
			w.m = a.Decisions
			w.text = fmt.Sprintf("answer %d %+v", i, *a.Decisions)
		default:
			continue
		}
		s.words = append(s.words, w)
	}
	sortWords(s.words)
}

func (s *Levels) deliver(w word) {
	x := s.nodes[w.to]
	if !x.heard[w.text] {
		x.heard[w.text] = true
		x.fresh = append(x.fresh, w.text)
		slices.Sort(x.fresh)
	}
	m := w.m
	if _, ok := m.(*overload.LoadReport); ok {
		x.came++
	}
	if s.Break != nil {
		m = s.Break(m, x.o.LastReport(), x.came)
	}
	switch m := m.(type) {
	case *overload.LoadReport:
		s.do(w.to, overload.ReportReceived{From: overload.ID(w.from + 1), Report: m})
	case *overload.ShedDecisions:
		s.do(w.to, overload.DecisionsReceived{From: overload.ID(w.from + 1), Decisions: m})
	}
}

// Moves is System's. A doubled word's copy comes a step later, a late one two.
func (s *Levels) Moves() (out []Move) {
	move := func(name string, do func(c *Levels) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	for k, w := range s.words {
		if w.age != 0 {
			continue
		}
		what := fmt.Sprintf("to %d: %.40s", w.to, w.text)
		take := func(c *Levels) { c.words = slices.Delete(c.words, k, k+1) }
		move("arrives "+what, func(c *Levels) error { take(c); c.deliver(w); return nil })
		if s.Lose > 0 {
			move("lost "+what, func(c *Levels) error { take(c); c.Lose--; return nil })
		}
		if s.Double > 0 {
			move("twice "+what, func(c *Levels) error { c.Double--; c.words[k].age = -1; c.deliver(w); return nil })
		}
		if s.Late > 0 {
			move("late "+what, func(c *Levels) error { c.Late--; c.words[k].age = -2; return nil })
		}
	}
	if len(out) == 0 {
		move("time", (*Levels).time)
	}
	return out
}

// time has a step go by: each process is asked for the same, of which its servers do three fifths, and has its tick.
func (s *Levels) time() error {
	for i, x := range s.nodes { // the same words have come to it, in whatever order and however often: the same must follow
		x.story += fmt.Sprint(x.fresh, ";")
		x.fresh = nil
		key, is := fmt.Sprint(i, s.steps, x.story), x.o.StateKey()
		if was, ok := s.same[key]; ok && was != is {
			return fmt.Errorf("process %d: from the same words there follow two states:\n%s\n%s", i, was, is)
		}
		s.same[key] = is
	}
	s.now += s.set.ReportInterval
	s.steps++
	for i := range s.words {
		s.words[i].age = min(0, s.words[i].age+1)
	}
	for i, x := range s.nodes {
		for class := range s.set.Classes {
			for k := range 5 {
				s.do(i, overload.RequestReceived{Class: class, Tenant: -1, Admitted: true})
				s.do(i, overload.RequestEnded{Class: class, Served: k < 3, Strain: float64(k) / 4})
			}
		}
		c := invariant.New(nil)
		x.o.CheckInvariants(c, 1)
		s.do(i, overload.Tick{})
		x.o.CheckInvariants(nil, 0)
		if b := c.Breaches(); len(b) > 0 {
			return fmt.Errorf("process %d: %v", i, b[0])
		}
	}
	if s.steps == s.End {
		if far := s.settled(); far > apart {
			return fmt.Errorf("levels are %g apart, long after the last fault: %v", far, s.Held())
		}
	}
	return nil
}

// apart are levels that two may hold at the same time: collectors judge at moments of their own.
const apart = 0.05

// Check is System's: levels are within the cells.
func (s *Levels) Check() error {
	for i, x := range s.nodes {
		for _, g := range x.o.Statuses() {
			if g.Level < 0 || g.Level > float64(g.Cells) {
				return fmt.Errorf("process %d sheds from %g of %d", i, g.Level, g.Cells)
			}
		}
	}
	return nil
}

// settled has time go by with nothing going wrong, and tells how far levels are apart then.
func (s *Levels) settled() float64 {
	c := s.clone()
	c.End, c.same = -1, map[string]string{}
	for range int(s.set.DivergenceBound(0)/s.set.ReportInterval) + 1 {
		_ = c.time()
		c.drain()
	}
	held := c.Held()
	return slices.Max(held) - slices.Min(held)
}
