package modelcheck

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"beechgrade/internal/cluster/view"
)

// ViewSystem is a set of poolers whose views contain one another, with the messages between them. Time advances in steps, with a tick of
// each running process; within a step messages arrive. Some are lost, duplicated, delayed by lateSteps steps, or arrive at a process that
// has crashed or restarted.
type ViewSystem struct {
	Lose, Duplicate, Delay, Crash, Restart int // faults that may still happen

	now          float64
	nodes        []*viewNode
	messages     []viewMessage                        // sorted by recipient and text
	incarnations map[view.ID]uint32                   // the highest that each process itself has had
	AlterEvent   func(i int, e view.Event) view.Event // a mutant: replaces an event of a process, nil drops it
}

type viewNode struct {
	view        *view.View
	dead        bool
	incarnation int
}

type viewMessage struct {
	to      int
	text    string
	age     int
	message *view.Message // nil for a half of a full exchange of records
	records []view.Record
	replyTo int // process that gets the recipient's records in answer, -1 for none
}

func viewSettings(i int) view.Settings {
	return view.Settings{
		ProbeInterval:     6,
		ProbeTimeout:      2,
		WatchedPeers:      2,
		IndirectProbes:    1,
		Confirmations:     1,
		PauseGrace:        10,
		SuspicionTimeout:  4,
		GossipInterval:    2,
		GossipFanout:      1,
		ExchangeInterval:  1e9,
		ReconnectInterval: 6,
		Retention:         1e6,
		SendingTimeout:    30,
		TickInterval:      1,
		MaxRecordBytes:    1000,
		ExpectedPoolers:   3,
		SeedAddresses:     []string{"0"},
		RandomSeed:        uint64(i),
	}
}

func (s *ViewSystem) id(i, incarnation int) view.ID {
	return view.NewID(float64(1000+incarnation), uint64(i+1))
}

// NewViewSystem returns a system of n poolers whose views contain one another.
func NewViewSystem(n int) *ViewSystem {
	s := &ViewSystem{now: 10, incarnations: map[view.ID]uint32{}}
	var all []view.Record
	for i := range n {
		r := view.Record{ID: s.id(i, 0), Name: fmt.Sprint("p", i), Addr: fmt.Sprint(i)}
		s.nodes = append(s.nodes, &viewNode{view: view.New(viewSettings(i), r, s.now)})
		all = append(all, r)
	}
	for i, x := range s.nodes {
		x.view.Handle(s.now, view.ExchangeCompleted{Records: slices.Concat(all[(i+1)%n:(i+1)%n+1], all)}, nil)
	}
	return s
}

func (s *ViewSystem) clone() *ViewSystem {
	c := *s
	c.nodes = make([]*viewNode, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.view = x.view.Clone()
		c.nodes[i] = &y
	}
	c.messages = slices.Clone(s.messages)
	c.incarnations = map[view.ID]uint32{}
	for k, v := range s.incarnations {
		c.incarnations[k] = v
	}
	return &c
}

// Key implements System.
func (s *ViewSystem) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.Lose, s.Duplicate, s.Delay, s.Crash, s.Restart, "|")
	for _, x := range s.nodes {
		fmt.Fprint(&b, x.dead, x.incarnation, x.view.StateKey(), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&b, msg.to, msg.age, msg.replyTo, msg.text, "|")
	}
	return b.String()
}

// handle passes an event to a process and enqueues the messages that it sends.
func (s *ViewSystem) handle(i int, e view.Event) error {
	x := s.nodes[i]
	if s.AlterEvent != nil {
		e = s.AlterEvent(i, e)
	}
	if e == nil {
		return nil
	}
	before := x.view.Members()
	for _, a := range x.view.Handle(s.now, e, nil) {
		to := -1
		for k := range s.nodes {
			if a.Addr == fmt.Sprint(k) {
				to = k
			}
		}
		switch {
		case to < 0 || to == i:
		case a.Kind == view.Send:
			s.enqueue(viewMessage{to: to, message: a.Message, replyTo: -1})
		case a.Kind == view.StartExchange:
			s.enqueue(viewMessage{to: to, records: x.view.Records(), replyTo: i})
		}
	}
	self := x.view.Self()
	if self.State != view.Alive {
		return fmt.Errorf("process %d takes itself for %s", i, self.State)
	}
	s.incarnations[self.ID] = max(s.incarnations[self.ID], self.Incarnation)
	after := map[view.ID]view.Record{}
	for _, r := range x.view.Members() {
		after[r.ID] = r
	}
	for _, r := range before {
		switch n := after[r.ID]; {
		case n.Incarnation < r.Incarnation && n.State != view.Left:
			return fmt.Errorf("process %d went back from incarnation %d to %d of process %x", i, r.Incarnation, n.Incarnation, r.ID)
		case r.State == view.Left && n.State != view.Left:
			return fmt.Errorf("process %d considers process %x, which had left, to be %s", i, r.ID, n.State)
		case r.State == view.Failed && n.State < view.Failed && n.Incarnation <= r.Incarnation:
			return fmt.Errorf("process %d no longer considers process %x failed, and its incarnation has not risen", i, r.ID)
		}
	}
	return nil
}

func (s *ViewSystem) enqueue(msg viewMessage) {
	if msg.message != nil {
		m := *msg.message
		m.Sequence &= 0xffff
		msg.text = fmt.Sprint(m.Kind, m.From, m.Sequence, m.Target, m.Records)
	} else {
		msg.text = fmt.Sprint(msg.records)
	}
	s.messages = append(s.messages, msg)
	sort.SliceStable(s.messages, func(a, b int) bool {
		x, y := &s.messages[a], &s.messages[b]
		if x.to != y.to {
			return x.to < y.to
		}
		return x.text < y.text
	})
}

// deliver delivers a message.
func (s *ViewSystem) deliver(msg viewMessage) error {
	x := s.nodes[msg.to]
	if x.dead {
		return nil
	}
	if msg.message != nil {
		m := *msg.message
		m.Records = slices.Clone(m.Records)
		return s.handle(msg.to, view.Received{Message: &m})
	}
	mine := x.view.Records()
	err := s.handle(msg.to, view.ExchangeCompleted{Records: slices.Clone(msg.records)})
	if msg.replyTo >= 0 {
		s.enqueue(viewMessage{to: msg.replyTo, records: mine, replyTo: -1})
	}
	return err
}

// Moves implements System. Messages arrive in the order of s.messages, apart from delayed ones.
func (s *ViewSystem) Moves() (out []Move) {
	move := func(name string, do func(c *ViewSystem) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	if k := slices.IndexFunc(s.messages, func(msg viewMessage) bool { return msg.age == 0 }); k >= 0 {
		msg := s.messages[k]
		what := fmt.Sprintf("to %d: %.60s", msg.to, msg.text)
		remove := func(c *ViewSystem) { c.messages = slices.Delete(c.messages, k, k+1) }
		move("deliver "+what, func(c *ViewSystem) error { remove(c); return c.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+what, func(c *ViewSystem) error { remove(c); c.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+what, func(c *ViewSystem) error { c.Duplicate--; c.messages[k].age = -1; return c.deliver(msg) })
		}
		if s.Delay > 0 {
			move("delay "+what, func(c *ViewSystem) error { c.Delay--; c.messages[k].age = -lateSteps; return nil })
		}
		return out
	}
	move("advance time", (*ViewSystem).advance)
	for i, x := range s.nodes {
		if !x.dead && s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(c *ViewSystem) error { c.Crash--; c.nodes[i].dead = true; return nil })
		}
		if x.dead && s.Restart > 0 {
			move(fmt.Sprint("restart ", i), func(c *ViewSystem) error {
				c.Restart--
				incarnation := x.incarnation + 1
				c.nodes[i] = &viewNode{incarnation: incarnation, view: view.New(viewSettings(i), view.Record{
					ID:   c.id(i, incarnation),
					Name: fmt.Sprint("p", i),
					Addr: fmt.Sprint(i),
				}, c.now)}
				return nil
			})
		}
	}
	return out
}

// lateSteps is the delay of a delayed message.
const lateSteps = 3

// advance advances time by a step.
func (s *ViewSystem) advance() error {
	s.now++
	for i := range s.messages {
		s.messages[i].age++
	}
	for i, x := range s.nodes {
		if !x.dead {
			if err := s.handle(i, view.Tick{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle advances time without faults.
func (s *ViewSystem) settle(steps int) error {
	for range steps {
		if err := s.advance(); err != nil {
			return err
		}
		for len(s.messages) > 0 {
			msg := s.messages[0]
			s.messages = s.messages[1:]
			if err := s.deliver(msg); err != nil {
				return err
			}
		}
	}
	return nil
}

// Check implements System: no view has a higher incarnation of a process than the process itself.
func (s *ViewSystem) Check() error {
	for i, x := range s.nodes {
		for _, r := range x.view.Members() {
			if r.Incarnation > s.incarnations[r.ID] {
				return fmt.Errorf("process %d has incarnation %d of process %x, whose own was never above %d", i, r.Incarnation, r.ID, s.incarnations[r.ID])
			}
		}
	}
	return nil
}
