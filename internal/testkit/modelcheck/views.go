package modelcheck

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"beechgrade/internal/cluster/view"
)

// Views are so many poolers whose views know one another, with the messages between them. Time goes on in steps, at each of which
// every process that runs has its tick, and within which messages arrive. Of them some are lost, come twice, are overtaken by all that
// comes in the next steps, or meet a process that has crashed or started again, wherever that can be.
type Views struct {
	Lose, Double, Late, Crash, Restart int // that may still happen

	now   float64
	nodes []*one
	wires []wire // sorted
	inc   map[view.ID]uint32
	Break func(i int, e view.Event) view.Event // a mutant: what a process is told in place of an event
}

type one struct {
	v    *view.View
	dead bool
	life int
}

type wire struct {
	to   int
	text string
	age  int
	m    *view.Message // nil for a side of a full exchange
	recs []view.Record
	back int // who is answered, -1 for nobody
}

func smallSettings(i int) view.Settings {
	return view.Settings{ProbeInterval: 6, ProbeTimeout: 2, WatchedPeers: 2, IndirectProbes: 1, Confirmations: 1, PauseGrace: 10, SuspicionTimeout: 4, GossipInterval: 2, GossipFanout: 1, ExchangeInterval: 1e9, ReconnectInterval: 6, Retention: 1e6, SendingTimeout: 30,
		TickInterval: 1, MaxRecordBytes: 1000, ExpectedPoolers: 3, SeedAddresses: []string{"0"}, RandomSeed: uint64(i)}
}

func (s *Views) id(i, life int) view.ID { return view.NewID(float64(1000+life), uint64(i+1)) }

// NewViews makes a system of so many that know one another.
func NewViews(n int) *Views {
	s := &Views{now: 10, inc: map[view.ID]uint32{}}
	var all []view.Record
	for i := range n {
		r := view.Record{ID: s.id(i, 0), Name: fmt.Sprint("p", i), Addr: fmt.Sprint(i)}
		s.nodes = append(s.nodes, &one{v: view.New(smallSettings(i), r, s.now)})
		all = append(all, r)
	}
	for i, x := range s.nodes {
		x.v.Handle(s.now, view.ExchangeCompleted{Records: slices.Concat(all[(i+1)%n:(i+1)%n+1], all)}, nil)
	}
	return s
}

func (s *Views) clone() *Views {
	c := *s
	c.nodes = make([]*one, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.v = x.v.Clone()
		c.nodes[i] = &y
	}
	c.wires = slices.Clone(s.wires)
	c.inc = map[view.ID]uint32{}
	for k, v := range s.inc {
		c.inc[k] = v
	}
	return &c
}

// Key is System's.
func (s *Views) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.Lose, s.Double, s.Late, s.Crash, s.Restart, "|")
	for _, x := range s.nodes {
		fmt.Fprint(&b, x.dead, x.life, x.v.StateKey(), "|")
	}
	for _, w := range s.wires {
		fmt.Fprint(&b, w.to, w.age, w.back, w.text, "|")
	}
	return b.String()
}

// do tells one process of an event, and puts on the wires what follows.
func (s *Views) do(i int, e view.Event) error {
	x := s.nodes[i]
	if s.Break != nil {
		e = s.Break(i, e)
	}
	if e == nil {
		return nil
	}
	before := x.v.Members()
	for _, a := range x.v.Handle(s.now, e, nil) {
		to := -1
		for k := range s.nodes {
			if a.Addr == fmt.Sprint(k) {
				to = k
			}
		}
		switch {
		case to < 0 || to == i:
		case a.Kind == view.Send:
			s.put(wire{to: to, m: a.Message, back: -1})
		case a.Kind == view.StartExchange:
			s.put(wire{to: to, recs: x.v.Records(), back: i})
		}
	}
	self := x.v.Self()
	if self.State != view.Alive {
		return fmt.Errorf("process %d takes itself for %s", i, self.State)
	}
	s.inc[self.ID] = max(s.inc[self.ID], self.Incarnation)
	after := map[view.ID]view.Record{}
	for _, r := range x.v.Members() {
		after[r.ID] = r
	}
	for _, r := range before {
		switch n := after[r.ID]; {
		case n.Incarnation < r.Incarnation && n.State != view.Left:
			return fmt.Errorf("process %d goes back from incarnation %d to %d of %x", i, r.Incarnation, n.Incarnation, r.ID)
		case r.State == view.Left && n.State != view.Left:
			return fmt.Errorf("process %d takes %x, which had left, for %s", i, r.ID, n.State)
		case r.State == view.Failed && n.State < view.Failed && n.Incarnation <= r.Incarnation:
			return fmt.Errorf("process %d takes %x back from the dead without a later word of its own", i, r.ID)
		}
	}
	return nil
}

func (s *Views) put(w wire) {
	if w.m != nil {
		m := *w.m
		m.Sequence &= 0xffff
		w.text = fmt.Sprint(m.Kind, m.From, m.Sequence, m.Target, m.Records)
	} else {
		w.text = fmt.Sprint(w.recs)
	}
	s.wires = append(s.wires, w)
	sort.SliceStable(s.wires, func(a, b int) bool {
		x, y := &s.wires[a], &s.wires[b]
		if x.to != y.to {
			return x.to < y.to
		}
		return x.text < y.text
	})
}

// deliver has a message arrive.
func (s *Views) deliver(w wire) error {
	x := s.nodes[w.to]
	if x.dead {
		return nil
	}
	if w.m != nil {
		m := *w.m
		m.Records = slices.Clone(m.Records)
		return s.do(w.to, view.Received{Message: &m})
	}
	mine := x.v.Records()
	err := s.do(w.to, view.ExchangeCompleted{Records: slices.Clone(w.recs)})
	if w.back >= 0 {
		s.put(wire{to: w.back, recs: mine, back: -1})
	}
	return err
}

// Moves is System's. Messages arrive in one order unless one is late: then others overtake it.
func (s *Views) Moves() (out []Move) {
	move := func(name string, do func(c *Views) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	if k := slices.IndexFunc(s.wires, func(w wire) bool { return w.age == 0 }); k >= 0 {
		w := s.wires[k]
		what := fmt.Sprintf("to %d: %.60s", w.to, w.text)
		take := func(c *Views) { c.wires = slices.Delete(c.wires, k, k+1) }
		move("arrives "+what, func(c *Views) error { take(c); return c.deliver(w) })
		if s.Lose > 0 {
			move("lost "+what, func(c *Views) error { take(c); c.Lose--; return nil })
		}
		if s.Double > 0 {
			move("twice "+what, func(c *Views) error { c.Double--; c.wires[k].age = -1; return c.deliver(w) })
		}
		if s.Late > 0 {
			move("late "+what, func(c *Views) error { c.Late--; c.wires[k].age = -lateSteps; return nil })
		}
		return out
	}
	move("time", (*Views).time)
	for i, x := range s.nodes {
		if !x.dead && s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(c *Views) error { c.Crash--; c.nodes[i].dead = true; return nil })
		}
		if x.dead && s.Restart > 0 {
			move(fmt.Sprint("restart ", i), func(c *Views) error {
				c.Restart--
				life := x.life + 1
				c.nodes[i] = &one{life: life, v: view.New(smallSettings(i), view.Record{ID: c.id(i, life), Name: fmt.Sprint("p", i), Addr: fmt.Sprint(i)}, c.now)}
				return nil
			})
		}
	}
	return out
}

// lateSteps is how late a message is that is late.
const lateSteps = 3

// time has a step go by.
func (s *Views) time() error {
	s.now++
	for i := range s.wires {
		s.wires[i].age++
	}
	for i, x := range s.nodes {
		if !x.dead {
			if err := s.do(i, view.Tick{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle has time go by with nothing going wrong.
func (s *Views) settle(steps int) error {
	for range steps {
		if err := s.time(); err != nil {
			return err
		}
		for len(s.wires) > 0 {
			w := s.wires[0]
			s.wires = s.wires[1:]
			if err := s.deliver(w); err != nil {
				return err
			}
		}
	}
	return nil
}

// Check is System's: nobody knows a later word of a process than its own last one.
func (s *Views) Check() error {
	for i, x := range s.nodes {
		for _, r := range x.v.Members() {
			if r.Incarnation > s.inc[r.ID] {
				return fmt.Errorf("process %d knows incarnation %d of %x, which never had more than %d", i, r.Incarnation, r.ID, s.inc[r.ID])
			}
		}
	}
	return nil
}
