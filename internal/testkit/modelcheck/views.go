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
	processes    []*viewProcess
	messages     []viewMessage                        // sorted by recipient and text
	incarnations map[view.ID]uint32                   // the highest that each process itself has had
	AlterEvent   func(i int, e view.Event) view.Event // a mutant: replaces an event of a process, nil drops it
}

type viewProcess struct {
	view        *view.View
	dead        bool
	incarnation int
}

type viewMessage struct {
	to      int
	text    string
	age     int           // 0 if it may arrive now, below 0 if it is delayed by that many steps
	message *view.Message // nil for one direction of an exchange of all records
	records []view.Record // sent in an exchange
	replyTo int           // process that gets the recipient's records in answer, -1 for none
}

// viewSettings returns the settings of process i, in steps instead of ms.
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

// id returns the ID of an incarnation of a process.
func (s *ViewSystem) id(i, incarnation int) view.ID {
	return view.NewID(float64(1000+incarnation), uint64(i+1))
}

// NewViewSystem returns a system of n poolers whose views contain one another.
func NewViewSystem(poolers int) *ViewSystem {
	s := &ViewSystem{now: 10, incarnations: map[view.ID]uint32{}}
	var all []view.Record
	for i := range poolers {
		record := view.Record{ID: s.id(i, 0), Name: fmt.Sprint("p", i), Addr: fmt.Sprint(i)}
		s.processes = append(s.processes, &viewProcess{view: view.New(viewSettings(i), record, s.now)})
		all = append(all, record)
	}
	for i, process := range s.processes {
		process.view.Handle(s.now, view.ExchangeCompleted{Records: slices.Concat(all[(i+1)%poolers:(i+1)%poolers+1], all)}, nil)
	}
	return s
}

func (s *ViewSystem) clone() *ViewSystem {
	clone := *s
	clone.processes = make([]*viewProcess, len(s.processes))
	for i, process := range s.processes {
		processCopy := *process
		processCopy.view = process.view.Clone()
		clone.processes[i] = &processCopy
	}
	clone.messages = slices.Clone(s.messages)
	clone.incarnations = map[view.ID]uint32{}
	for k, v := range s.incarnations {
		clone.incarnations[k] = v
	}
	return &clone
}

// Key implements System.
func (s *ViewSystem) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.Lose, s.Duplicate, s.Delay, s.Crash, s.Restart, "|")
	for _, process := range s.processes {
		fmt.Fprint(&key, process.dead, process.incarnation, process.view.StateKey(), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&key, msg.to, msg.age, msg.replyTo, msg.text, "|")
	}
	return key.String()
}

// handle passes an event to a process and enqueues the messages that it sends.
func (s *ViewSystem) handle(i int, event view.Event) error {
	process := s.processes[i]
	if s.AlterEvent != nil {
		event = s.AlterEvent(i, event)
	}
	if event == nil {
		return nil
	}
	before := process.view.Members()
	for _, action := range process.view.Handle(s.now, event, nil) {
		to := -1
		for k := range s.processes {
			if action.Addr == fmt.Sprint(k) {
				to = k
			}
		}
		switch {
		case to < 0 || to == i:
		case action.Kind == view.Send:
			s.enqueue(viewMessage{to: to, message: action.Message, replyTo: -1})
		case action.Kind == view.StartExchange:
			s.enqueue(viewMessage{to: to, records: process.view.Records(), replyTo: i})
		}
	}
	self := process.view.Self()
	if self.State != view.Alive {
		return fmt.Errorf("process %d considers itself %s, want %s", i, self.State, view.Alive)
	}
	s.incarnations[self.ID] = max(s.incarnations[self.ID], self.Incarnation)
	after := map[view.ID]view.Record{}
	for _, record := range process.view.Members() {
		after[record.ID] = record
	}
	for _, record := range before {
		switch current := after[record.ID]; {
		case current.Incarnation < record.Incarnation && current.State != view.Left:
			return fmt.Errorf("process %d lowered the incarnation of process %x from %d to %d", i, record.ID, record.Incarnation, current.Incarnation)
		case record.State == view.Left && current.State != view.Left:
			return fmt.Errorf("process %d considers process %x %s after it had left", i, record.ID, current.State)
		case record.State == view.Failed && current.State < view.Failed && current.Incarnation <= record.Incarnation:
			return fmt.Errorf("process %d no longer considers process %x failed, and its incarnation has not risen", i, record.ID)
		}
	}
	return nil
}

// enqueue sends a message.
func (s *ViewSystem) enqueue(msg viewMessage) {
	if msg.message != nil {
		content := *msg.message
		content.Sequence &= 0xffff
		msg.text = fmt.Sprint(content.Kind, content.From, content.Sequence, content.Target, content.Records)
	} else {
		msg.text = fmt.Sprint(msg.records)
	}
	s.messages = append(s.messages, msg)
	sort.SliceStable(s.messages, func(a, b int) bool {
		first, second := &s.messages[a], &s.messages[b]
		if first.to != second.to {
			return first.to < second.to
		}
		return first.text < second.text
	})
}

// deliver delivers a message.
func (s *ViewSystem) deliver(msg viewMessage) error {
	process := s.processes[msg.to]
	if process.dead {
		return nil
	}
	if msg.message != nil {
		content := *msg.message
		content.Records = slices.Clone(content.Records)
		return s.handle(msg.to, view.Received{Message: &content})
	}
	mine := process.view.Records()
	err := s.handle(msg.to, view.ExchangeCompleted{Records: slices.Clone(msg.records)})
	if msg.replyTo >= 0 {
		s.enqueue(viewMessage{to: msg.replyTo, records: mine, replyTo: -1})
	}
	return err
}

// Moves implements System. Messages arrive in the order of s.messages, apart from delayed ones.
func (s *ViewSystem) Moves() (out []Move) {
	move := func(name string, do func(next *ViewSystem) error) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			return next, do(next)
		}})
	}
	if index := slices.IndexFunc(s.messages, func(msg viewMessage) bool { return msg.age == 0 }); index >= 0 {
		msg := s.messages[index]
		description := fmt.Sprintf("to %d: %.60s", msg.to, msg.text)
		remove := func(next *ViewSystem) { next.messages = slices.Delete(next.messages, index, index+1) }
		move("deliver "+description, func(next *ViewSystem) error { remove(next); return next.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+description, func(next *ViewSystem) error { remove(next); next.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+description, func(next *ViewSystem) error {
				next.Duplicate--
				next.messages[index].age = -1
				return next.deliver(msg)
			})
		}
		if s.Delay > 0 {
			move("delay "+description, func(next *ViewSystem) error { next.Delay--; next.messages[index].age = -lateSteps; return nil })
		}
		return out
	}
	move("advance time", (*ViewSystem).advance)
	for i, process := range s.processes {
		if !process.dead && s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(next *ViewSystem) error { next.Crash--; next.processes[i].dead = true; return nil })
		}
		if process.dead && s.Restart > 0 {
			move(fmt.Sprint("restart ", i), func(next *ViewSystem) error {
				next.Restart--
				incarnation := process.incarnation + 1
				next.processes[i] = &viewProcess{incarnation: incarnation, view: view.New(viewSettings(i), view.Record{
					ID:   next.id(i, incarnation),
					Name: fmt.Sprint("p", i),
					Addr: fmt.Sprint(i),
				}, next.now)}
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
	for i, process := range s.processes {
		if !process.dead {
			if err := s.handle(i, view.Tick{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle advances time by the given number of steps without faults.
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
	for i, process := range s.processes {
		for _, record := range process.view.Members() {
			if record.Incarnation > s.incarnations[record.ID] {
				return fmt.Errorf("process %d has incarnation %d for process %x, whose own incarnation was never above %d", i, record.Incarnation, record.ID, s.incarnations[record.ID])
			}
		}
	}
	return nil
}
