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
	processes        []*levelProcess
	messages         []processMessage
	outcomeByHistory map[string]string // state of a process by its index, step and received messages; shared by all states of a search
}

// LevelFaults are the numbers of faults and events that may still happen.
type LevelFaults struct{ Lose, Duplicate, Delay int }

type levelProcess struct {
	controller   *overload.Controller
	received     map[string]bool // messages received, by text
	history      string          // messages at their first receipt, by step
	stepMessages []string        // messages first received in this step, sorted
	reports      uint32          // load reports received
}

// NewShedLevels returns a system of n poolers, long after its start and overloaded.
func NewShedLevels(poolers int) *ShedLevels {
	s := &ShedLevels{now: 1e6, settings: overload.Defaults(), outcomeByHistory: map[string]string{}}
	s.settings.Collectors = poolers
	s.settings.Classes = []overload.Class{{
		Name:        "list",
		Priority:    1,
		ObjectiveMs: 400,
	}, {Name: "write", Priority: 5, ObjectiveMs: 400, NotIdempotent: true}}
	var peers []overload.Peer
	for i := range poolers {
		peers = append(peers, overload.Peer{ID: overload.ID(i + 1), Addr: fmt.Sprint(i)})
	}
	for i := range poolers {
		controller := overload.New(s.settings, overload.ID(i+1), s.now)
		controller.Handle(s.now, overload.MembersChanged{Self: overload.ID(i + 1), Peers: peers}, nil)
		s.processes = append(s.processes, &levelProcess{controller: controller, received: map[string]bool{}})
	}
	for range int(2*s.settings.StaleAfter/s.settings.ReportInterval) + 4 {
		_ = s.advance()
		s.deliverAll()
	}
	for _, process := range s.processes {
		process.history, process.received = "", map[string]bool{}
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

// AppliedLevels returns the shedding level that each pooler applies.
func (s *ShedLevels) AppliedLevels() (out []float64) {
	for _, process := range s.processes {
		for _, status := range process.controller.Statuses() {
			out = append(out, status.Level)
		}
	}
	return out
}

func (s *ShedLevels) clone() *ShedLevels {
	clone := *s
	clone.processes = make([]*levelProcess, len(s.processes))
	for i, process := range s.processes {
		processCopy := *process
		processCopy.controller, processCopy.received, processCopy.stepMessages = process.controller.Clone(), maps.Clone(process.received), slices.Clone(process.stepMessages)
		clone.processes[i] = &processCopy
	}
	clone.messages = slices.Clone(s.messages)
	return &clone
}

// Key implements System.
func (s *ShedLevels) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.LevelFaults, s.steps, "|")
	for _, process := range s.processes {
		fmt.Fprint(&key, process.controller.StateKey(), process.history, process.stepMessages, "|")
		if s.AlterMessage != nil {
			fmt.Fprint(&key, process.reports)
		}
	}
	for _, msg := range s.messages {
		fmt.Fprint(&key, msg.from, msg.to, msg.age, msg.text, "|")
	}
	return key.String()
}

// handle passes an event to a process and sends the messages that result.
func (s *ShedLevels) handle(i int, event overload.Event) {
	for _, action := range s.processes[i].controller.Handle(s.now, event, nil) {
		msg := processMessage{from: i, to: int(action.To) - 1}
		switch action.Kind {
		case overload.SendReport:
			msg.message = action.Report
			msg.text = fmt.Sprintf("report %d %+v", i, *action.Report)
		case overload.SendDecisions:
			msg.message = action.Decisions
			msg.text = fmt.Sprintf("decisions %d %+v", i, *action.Decisions)
		default:
			continue
		}
		s.messages = append(s.messages, msg)
	}
	sortMessages(s.messages)
}

// deliver delivers a message.
func (s *ShedLevels) deliver(msg processMessage) {
	process := s.processes[msg.to]
	if !process.received[msg.text] {
		process.received[msg.text] = true
		process.stepMessages = append(process.stepMessages, msg.text)
		slices.Sort(process.stepMessages)
	}
	content := msg.message
	if _, ok := content.(*overload.LoadReport); ok {
		process.reports++
	}
	if s.AlterMessage != nil {
		content = s.AlterMessage(content, process.controller.LastReport(), process.reports)
	}
	switch content := content.(type) {
	case *overload.LoadReport:
		s.handle(msg.to, overload.ReportReceived{From: overload.ID(msg.from + 1), Report: content})
	case *overload.ShedDecisions:
		s.handle(msg.to, overload.DecisionsReceived{From: overload.ID(msg.from + 1), Decisions: content})
	}
}

// Moves implements System. The copy of a duplicated message arrives a step later, a delayed message two steps later.
func (s *ShedLevels) Moves() (out []Move) {
	move := func(name string, do func(next *ShedLevels) error) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			return next, do(next)
		}})
	}
	for index, msg := range s.messages {
		if msg.age != 0 {
			continue
		}
		description := fmt.Sprintf("to %d: %.40s", msg.to, msg.text)
		remove := func(next *ShedLevels) { next.messages = slices.Delete(next.messages, index, index+1) }
		move("deliver "+description, func(next *ShedLevels) error { remove(next); next.deliver(msg); return nil })
		if s.Lose > 0 {
			move("lose "+description, func(next *ShedLevels) error { remove(next); next.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+description, func(next *ShedLevels) error {
				next.Duplicate--
				next.messages[index].age = -1
				next.deliver(msg)
				return nil
			})
		}
		if s.Delay > 0 {
			move("delay "+description, func(next *ShedLevels) error { next.Delay--; next.messages[index].age = -2; return nil })
		}
	}
	if len(out) == 0 {
		move("advance time", (*ShedLevels).advance)
	}
	return out
}

// advance advances time by a step: each process gets the same load, of which its servers can serve three fifths, and a tick.
func (s *ShedLevels) advance() error {
	for i, process := range s.processes { // the same messages, in any order and number of copies, must lead to the same state
		process.history += fmt.Sprint(process.stepMessages, ";")
		process.stepMessages = nil
		key, state := fmt.Sprint(i, s.steps, process.history), process.controller.StateKey()
		if earlier, ok := s.outcomeByHistory[key]; ok && earlier != state {
			return fmt.Errorf("process %d: the same messages led to two states:\n%s\n%s", i, earlier, state)
		}
		s.outcomeByHistory[key] = state
	}
	s.now += s.settings.ReportInterval
	s.steps++
	for i := range s.messages {
		s.messages[i].age = min(0, s.messages[i].age+1)
	}
	for i, process := range s.processes {
		for class := range s.settings.Classes {
			for request := range 5 {
				s.handle(i, overload.RequestReceived{Class: class, Tenant: -1, Admitted: true})
				s.handle(i, overload.RequestEnded{Class: class, Served: request < 3, Strain: float64(request) / 4})
			}
		}
		checks := invariant.New(nil)
		process.controller.CheckInvariants(checks, 1)
		s.handle(i, overload.Tick{})
		process.controller.CheckInvariants(nil, 0)
		if breaches := checks.Breaches(); len(breaches) > 0 {
			return fmt.Errorf("process %d: %v", i, breaches[0])
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
	for i, process := range s.processes {
		for _, status := range process.controller.Statuses() {
			if status.Level < 0 || status.Level > float64(status.Cells) {
				return fmt.Errorf("process %d applies level %g, outside 0 to %d", i, status.Level, status.Cells)
			}
		}
	}
	return nil
}

// spread advances time without faults by DivergenceBound and returns the difference of the highest and the lowest level then.
func (s *ShedLevels) spread() float64 {
	later := s.clone()
	later.CompareAt, later.outcomeByHistory = -1, map[string]string{}
	for range int(s.settings.DivergenceBound(0)/s.settings.ReportInterval) + 1 {
		_ = later.advance()
		later.deliverAll()
	}
	levels := later.AppliedLevels()
	return slices.Max(levels) - slices.Min(levels)
}
