package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// ShedLevels is a set of poolers that agree on the shedding level of a group, all of them collectors, with the messages between them and
// the same load at each. A step is a report interval; within it messages arrive in any order, and some are lost, duplicated or delayed.
type ShedLevels struct {
	LevelFaults
	CompareAt    int                                    // step at which the levels are compared, after a run without faults
	AlterMessage func(m any, last, received uint32) any // a mutant: replaces a message, given the recipient's last sent sequence number and its count of received reports

	now              float64
	steps            int
	settings         overload.Settings
	nodes            []*levelNode
	messages         []nodeMessage
	outcomeByHistory map[string]string // state by process, step and received messages, of all states visited
}

// LevelFaults are the numbers of faults and events that may still happen.
type LevelFaults struct{ Lose, Duplicate, Delay int }

type levelNode struct {
	controller   *overload.Controller
	received     map[string]bool // messages received, by text
	history      string          // messages at their first receipt, by step
	stepMessages []string        // messages first received in this step, sorted
	reports      uint32          // load reports received
}

// NewShedLevels returns a system of n poolers, long after its start and overloaded.
func NewShedLevels(n int) *ShedLevels {
	s := &ShedLevels{now: 1e6, settings: overload.Defaults(), outcomeByHistory: map[string]string{}}
	s.settings.Collectors = n
	s.settings.Classes = []overload.Class{{
		Name:        "list",
		Priority:    1,
		ObjectiveMs: 400,
	}, {Name: "write", Priority: 5, ObjectiveMs: 400, NotIdempotent: true}}
	var peers []overload.Peer
	for i := range n {
		peers = append(peers, overload.Peer{ID: overload.ID(i + 1), Addr: fmt.Sprint(i)})
	}
	for i := range n {
		o := overload.New(s.settings, overload.ID(i+1), s.now)
		o.Handle(s.now, overload.MembersChanged{Self: overload.ID(i + 1), Peers: peers}, nil)
		s.nodes = append(s.nodes, &levelNode{controller: o, received: map[string]bool{}})
	}
	for range int(2*s.settings.StaleAfter/s.settings.ReportInterval) + 4 {
		_ = s.advance()
		s.deliverAll()
	}
	for _, x := range s.nodes {
		x.history, x.received = "", map[string]bool{}
	}
	s.steps, s.outcomeByHistory = 0, map[string]string{}
	return s
}

// deliverAll delivers all messages in the order of their sending.
func (s *ShedLevels) deliverAll() {
	for len(s.messages) > 0 {
		msg := s.messages[0]
		s.messages = s.messages[1:]
		s.deliver(msg)
	}
}

// AppliedLevels returns the levels that the poolers apply.
func (s *ShedLevels) AppliedLevels() (out []float64) {
	for _, x := range s.nodes {
		for _, g := range x.controller.Statuses() {
			out = append(out, g.Level)
		}
	}
	return out
}

func (s *ShedLevels) clone() *ShedLevels {
	c := *s
	c.nodes = make([]*levelNode, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.controller, y.received, y.stepMessages = x.controller.Clone(), maps.Clone(x.received), slices.Clone(x.stepMessages)
		c.nodes[i] = &y
	}
	c.messages = slices.Clone(s.messages)
	return &c
}

// Key implements System.
func (s *ShedLevels) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.LevelFaults, s.steps, "|")
	for _, x := range s.nodes {
		fmt.Fprint(&b, x.controller.StateKey(), x.history, x.stepMessages, "|")
		if s.AlterMessage != nil {
			fmt.Fprint(&b, x.reports)
		}
	}
	for _, msg := range s.messages {
		fmt.Fprint(&b, msg.from, msg.to, msg.age, msg.text, "|")
	}
	return b.String()
}

func (s *ShedLevels) handle(i int, e overload.Event) {
	for _, a := range s.nodes[i].controller.Handle(s.now, e, nil) {
		msg := nodeMessage{from: i, to: int(a.To) - 1}
		switch a.Kind {
		case overload.SendReport:
			msg.message = a.Report
			msg.text = fmt.Sprintf("report %d %+v", i, *a.Report)
		case overload.SendDecisions:
			msg.message = a.Decisions
			msg.text = fmt.Sprintf("decisions %d %+v", i, *a.Decisions)
		default:
			continue
		}
		s.messages = append(s.messages, msg)
	}
	sortMessages(s.messages)
}

func (s *ShedLevels) deliver(msg nodeMessage) {
	x := s.nodes[msg.to]
	if !x.received[msg.text] {
		x.received[msg.text] = true
		x.stepMessages = append(x.stepMessages, msg.text)
		slices.Sort(x.stepMessages)
	}
	m := msg.message
	if _, ok := m.(*overload.LoadReport); ok {
		x.reports++
	}
	if s.AlterMessage != nil {
		m = s.AlterMessage(m, x.controller.LastReport(), x.reports)
	}
	switch m := m.(type) {
	case *overload.LoadReport:
		s.handle(msg.to, overload.ReportReceived{From: overload.ID(msg.from + 1), Report: m})
	case *overload.ShedDecisions:
		s.handle(msg.to, overload.DecisionsReceived{From: overload.ID(msg.from + 1), Decisions: m})
	}
}

// Moves implements System. The copy of a duplicated message arrives a step later, a delayed message two steps later.
func (s *ShedLevels) Moves() (out []Move) {
	move := func(name string, do func(c *ShedLevels) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	for k, msg := range s.messages {
		if msg.age != 0 {
			continue
		}
		what := fmt.Sprintf("to %d: %.40s", msg.to, msg.text)
		remove := func(c *ShedLevels) { c.messages = slices.Delete(c.messages, k, k+1) }
		move("deliver "+what, func(c *ShedLevels) error { remove(c); c.deliver(msg); return nil })
		if s.Lose > 0 {
			move("lose "+what, func(c *ShedLevels) error { remove(c); c.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+what, func(c *ShedLevels) error { c.Duplicate--; c.messages[k].age = -1; c.deliver(msg); return nil })
		}
		if s.Delay > 0 {
			move("delay "+what, func(c *ShedLevels) error { c.Delay--; c.messages[k].age = -2; return nil })
		}
	}
	if len(out) == 0 {
		move("advance time", (*ShedLevels).advance)
	}
	return out
}

// advance advances time by a step: each process gets the same load, of which its servers can serve three fifths, and a tick.
func (s *ShedLevels) advance() error {
	for i, x := range s.nodes { // the same messages, in any order and number of copies, must lead to the same state
		x.history += fmt.Sprint(x.stepMessages, ";")
		x.stepMessages = nil
		key, is := fmt.Sprint(i, s.steps, x.history), x.controller.StateKey()
		if was, ok := s.outcomeByHistory[key]; ok && was != is {
			return fmt.Errorf("process %d: the same messages led to two states:\n%s\n%s", i, was, is)
		}
		s.outcomeByHistory[key] = is
	}
	s.now += s.settings.ReportInterval
	s.steps++
	for i := range s.messages {
		s.messages[i].age = min(0, s.messages[i].age+1)
	}
	for i, x := range s.nodes {
		for class := range s.settings.Classes {
			for k := range 5 {
				s.handle(i, overload.RequestReceived{Class: class, Tenant: -1, Admitted: true})
				s.handle(i, overload.RequestEnded{Class: class, Served: k < 3, Strain: float64(k) / 4})
			}
		}
		c := invariant.New(nil)
		x.controller.CheckInvariants(c, 1)
		s.handle(i, overload.Tick{})
		x.controller.CheckInvariants(nil, 0)
		if b := c.Breaches(); len(b) > 0 {
			return fmt.Errorf("process %d: %v", i, b[0])
		}
	}
	if s.steps == s.CompareAt {
		if spread := s.spread(); spread > maxSpread {
			return fmt.Errorf("levels differ by %g long after the last fault: %v", spread, s.AppliedLevels())
		}
	}
	return nil
}

// maxSpread is the allowed difference of two poolers' levels: collectors decide at different times.
const maxSpread = 0.05

// Check implements System: each level is from 0 to the number of cells.
func (s *ShedLevels) Check() error {
	for i, x := range s.nodes {
		for _, g := range x.controller.Statuses() {
			if g.Level < 0 || g.Level > float64(g.Cells) {
				return fmt.Errorf("process %d applies level %g, outside 0 to %d", i, g.Level, g.Cells)
			}
		}
	}
	return nil
}

// spread advances time without faults by DivergenceBound and returns the difference of the highest and the lowest level then.
func (s *ShedLevels) spread() float64 {
	c := s.clone()
	c.CompareAt, c.outcomeByHistory = -1, map[string]string{}
	for range int(s.settings.DivergenceBound(0)/s.settings.ReportInterval) + 1 {
		_ = c.advance()
		c.deliverAll()
	}
	levels := c.AppliedLevels()
	return slices.Max(levels) - slices.Min(levels)
}
