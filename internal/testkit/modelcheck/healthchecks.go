package modelcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// HealthCheckers is a set of poolers that share health checks (probes) of one server, with the messages between them. Time advances in
// steps, with a tick of each running process. A probe ends within ProbeTimeout. Processes request probes, crash, restart without state, and
// learn later that the members have changed; messages are lost, duplicated or delayed; some processes do not reach the server.
type HealthCheckers struct {
	ProbeFaults
	Settings       overload.ProbeSettings
	Unreachable    map[int]bool                           // processes that do not reach the server
	ChangeSettings func(i int, s *overload.ProbeSettings) // a mutant: changes a process's settings
	AlterMessage   func(i int, seq uint32, m any) any     // a mutant: replaces a message to process i, whose last request had number seq

	now           float64
	processes     []*healthChecker
	messages      []processMessage // sorted by recipient and text
	faultHappened bool             // a fault has happened: others than the probers may probe
}

// ProbeFaults are the numbers of faults and events that may still happen.
type ProbeFaults struct{ Request, Lose, Duplicate, Delay, Crash, Restart, UpdateMembers int }

type healthChecker struct {
	sharing        *overload.ProbeSharing
	incarnation    int
	dead           bool
	requestedAt    float64      // time of its open request, 0 for none
	probeStartedAt float64      // of its probe in progress, 0 for none
	lastProbeAt    float64      // start of its last probe
	unhealthyFrom  map[int]bool // processes that have reported the server unhealthy since the request
	members        []overload.Peer
}

// processMessage is a message between processes of package overload.
type processMessage struct {
	from, to int
	age      int // 0 if it may arrive now, below 0 if it is delayed by that many steps
	message  any
	text     string
}

// Target is the name of the server.
const Target = "s"

// SmallProbeSettings returns settings in steps instead of ms.
func SmallProbeSettings() overload.ProbeSettings {
	return overload.ProbeSettings{Probers: 2, MinInterval: 2, MaxResultAge: 1, ProberTimeout: 3, SkipTime: 6, ProbeTimeout: 3, TickInterval: 1}
}

// unreachableKind is the Kind of a finding by a process that did not reach the server. In all findings Role is the index of the process that
// probed, and Position the time when its probe started.
const unreachableKind = 4

// NewHealthCheckers returns a system of n poolers.
func NewHealthCheckers(poolers int, settings overload.ProbeSettings) *HealthCheckers {
	s := &HealthCheckers{Settings: settings, now: 100, Unreachable: map[int]bool{}}
	for range poolers {
		s.processes = append(s.processes, &healthChecker{})
	}
	return s
}

// Start starts all processes.
func (s *HealthCheckers) Start() {
	for i := range s.processes {
		s.start(i)
	}
	for i := range s.processes {
		s.updateMembers(i)
	}
}

// Probers returns the processes that probe the server, according to process 0.
func (s *HealthCheckers) Probers() (out []int) {
	for _, id := range s.processes[0].sharing.ProbersOf(Target) {
		out = append(out, int(id-1)%100)
	}
	return out
}

// id returns a process's ID, which differs by incarnation.
func (s *HealthCheckers) id(i int) overload.ID {
	return overload.ID(100*s.processes[i].incarnation + i + 1)
}

// start starts a process without state.
func (s *HealthCheckers) start(i int) {
	settings := s.Settings
	if s.ChangeSettings != nil {
		s.ChangeSettings(i, &settings)
	}
	process := s.processes[i]
	*process = healthChecker{incarnation: process.incarnation, sharing: overload.NewProbes(settings, s.id(i), s.now), lastProbeAt: -1e6}
}

// alive returns the running processes.
func (s *HealthCheckers) alive() (out []overload.Peer) {
	for k, process := range s.processes {
		if !process.dead {
			out = append(out, overload.Peer{ID: s.id(k), Addr: fmt.Sprint(k)})
		}
	}
	return out
}

// updateMembers notifies a process of the running processes.
func (s *HealthCheckers) updateMembers(i int) {
	process := s.processes[i]
	process.members = s.alive()
	process.sharing.UpdateMembers(s.id(i), process.members)
}

func (s *HealthCheckers) clone() *HealthCheckers {
	clone := *s
	clone.processes = make([]*healthChecker, len(s.processes))
	for i, process := range s.processes {
		processCopy := *process
		processCopy.sharing, processCopy.unhealthyFrom = process.sharing.Clone(), maps.Clone(process.unhealthyFrom)
		clone.processes[i] = &processCopy
	}
	clone.messages = slices.Clone(s.messages)
	return &clone
}

// Key implements System.
func (s *HealthCheckers) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.ProbeFaults, s.faultHappened, "|")
	ago := func(at float64) float64 { return min(s.now-at, 1e3) }
	for i, process := range s.processes {
		fmt.Fprint(&key, process.dead, process.incarnation, ago(process.requestedAt), ago(process.probeStartedAt), min(ago(process.lastProbeAt), s.Settings.MinInterval), s.Unreachable[i], "b", len(process.unhealthyFrom), process.sharing.StateKey(s.lastSequence), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&key, msg.from, msg.to, msg.age, s.normalized(msg), "|")
	}
	return key.String()
}

// lastSequence returns the number of the last request of the process with this ID, 0 if no process has it any more.
func (s *HealthCheckers) lastSequence(id overload.ID) uint32 {
	for i, process := range s.processes {
		if s.id(i) == id {
			return process.sharing.LastSequence()
		}
	}
	return 0
}

// normalized describes a message with numbers and times relative to the present, so that equivalent states have equal keys.
func (s *HealthCheckers) normalized(msg processMessage) string {
	switch content := msg.message.(type) {
	case *overload.ProbeRequest:
		return fmt.Sprint("request", s.processes[msg.from].sharing.LastSequence()-content.Sequence)
	case *overload.ProbeResult:
		return fmt.Sprint("result", s.processes[msg.to].sharing.LastSequence()-content.Sequence, content.StartedMsAgo, content.Result, content.Kind, content.Role, s.now-content.Position)
	}
	return ""
}

// perform performs a process's actions and checks them.
func (s *HealthCheckers) perform(i int, actions []overload.ProbeAction) error {
	process := s.processes[i]
	for _, action := range actions {
		switch {
		case action.Probe != "":
			if process.probeStartedAt > 0 {
				return fmt.Errorf("process %d starts a probe while another one is in progress", i)
			}
			if s.now-process.lastProbeAt < s.Settings.MinInterval {
				return fmt.Errorf("process %d starts a probe %g after its last one, less than MinInterval", i, s.now-process.lastProbeAt)
			}
			if !s.faultHappened && !slices.Contains(s.Probers(), i) {
				return fmt.Errorf("process %d starts a probe and is not a prober, though no fault has happened", i)
			}
			process.probeStartedAt, process.lastProbeAt = s.now, s.now
		case action.Request != nil:
			s.enqueue(processMessage{from: i, to: int(action.To-1) % 100, message: action.Request})
		case action.Response != nil:
			s.enqueue(processMessage{from: i, to: int(action.To-1) % 100, message: action.Response})
		case action.Report:
			if err := s.checkResult(i, &action); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkResult checks a reported result against the true state.
func (s *HealthCheckers) checkResult(i int, action *overload.ProbeAction) error {
	process := s.processes[i]
	switch from := int(action.Role); {
	case process.requestedAt == 0:
		return fmt.Errorf("process %d reports a result without an open request", i)
	case action.Age < s.now-action.Position-1e-9:
		return fmt.Errorf("process %d reports a probe that started %g ago with an age of %g", i, s.now-action.Position, action.Age)
	case action.Kind == unreachableKind && s.now-action.Position > s.now-process.requestedAt+s.Settings.MaxResultAge+s.Settings.ProbeTimeout:
		return fmt.Errorf("process %d reports a probe that ended %g before its request", i, process.requestedAt-action.Position-s.Settings.ProbeTimeout)
	case action.Kind != unreachableKind && action.Position < process.requestedAt-s.Settings.MaxResultAge:
		return fmt.Errorf("process %d reports a probe that started %g before its request", i, process.requestedAt-action.Position)
	case action.Kind == unreachableKind && from != i && len(process.unhealthyFrom) < min(2, len(process.sharing.ProbersOf(Target))):
		return fmt.Errorf("process %d reports the server unhealthy on the finding of process %d alone", i, from)
	case action.Kind != unreachableKind && s.Unreachable[from]:
		return fmt.Errorf("process %d is told that %d reached the server", i, from)
	}
	process.requestedAt, process.unhealthyFrom = 0, nil
	return nil
}

// enqueue sends a message.
func (s *HealthCheckers) enqueue(msg processMessage) {
	msg.text = fmt.Sprintf("%T%+v", msg.message, msg.message)
	s.messages = append(s.messages, msg)
	sortMessages(s.messages)
}

// sortMessages sorts messages into an order that does not depend on that of their sending.
func sortMessages(messages []processMessage) {
	slices.SortStableFunc(messages, func(x, y processMessage) int { return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.text, y.text)) })
}

// deliver delivers a message.
func (s *HealthCheckers) deliver(msg processMessage) error {
	process := s.processes[msg.to]
	if process.dead {
		return nil
	}
	content := msg.message
	if s.AlterMessage != nil {
		content = s.AlterMessage(msg.to, process.sharing.LastSequence(), content)
	}
	if result, ok := msg.message.(*overload.ProbeResult); ok && result.Kind == unreachableKind && result.Result != overload.InProgress {
		if process.unhealthyFrom == nil {
			process.unhealthyFrom = map[int]bool{}
		}
		process.unhealthyFrom[msg.from] = true
	}
	return s.perform(msg.to, process.sharing.Receive(s.now, s.id(msg.from), content, nil))
}

// endProbe ends a process's health check.
func (s *HealthCheckers) endProbe(i int) error {
	process := s.processes[i]
	finding := overload.Finding{Role: uint8(i), Position: process.probeStartedAt}
	if s.Unreachable[i] {
		finding.Result, finding.Kind = overload.Unhealthy, unreachableKind
	}
	process.probeStartedAt = 0
	return s.perform(i, process.sharing.ProbeEnded(s.now, Target, finding, nil))
}

// requestProbe requests a probe at a process.
func (s *HealthCheckers) requestProbe(i int) error {
	process := s.processes[i]
	if process.requestedAt == 0 {
		process.requestedAt, process.unhealthyFrom = s.now, nil
	}
	return s.perform(i, process.sharing.RequestProbe(s.now, Target, nil))
}

// Moves implements System. Within a step messages arrive first, in any order; then probes end, and requests, crashes, restarts and changes of
// members happen; then time advances.
func (s *HealthCheckers) Moves() (out []Move) {
	move := func(name string, fault bool, do func(next *HealthCheckers) error) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			next.faultHappened = next.faultHappened || fault
			return next, do(next)
		}})
	}
	seen := map[string]bool{}
	for index, msg := range s.messages {
		if msg.age != 0 || seen[fmt.Sprint(msg.from, msg.to, msg.text)] {
			continue
		}
		seen[fmt.Sprint(msg.from, msg.to, msg.text)] = true
		description := fmt.Sprintf("to %d from %d: %.60s", msg.to, msg.from, s.normalized(msg))
		remove := func(next *HealthCheckers) { next.messages = slices.Delete(next.messages, index, index+1) }
		move("deliver "+description, false, func(next *HealthCheckers) error { remove(next); return next.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+description, true, func(next *HealthCheckers) error { remove(next); next.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+description, false, func(next *HealthCheckers) error {
				next.Duplicate--
				next.messages[index].age = 1 - lateSteps
				return next.deliver(msg)
			})
		}
		if s.Delay > 0 {
			move("delay "+description, true, func(next *HealthCheckers) error { next.Delay--; next.messages[index].age = -lateSteps; return nil })
		}
	}
	if len(out) > 0 {
		return out
	}
	probeOverdue := false
	for i, process := range s.processes {
		if process.dead {
			if s.Restart > 0 {
				move(fmt.Sprint("restart ", i), true, func(next *HealthCheckers) error {
					next.Restart--
					next.processes[i].incarnation++
					next.start(i)
					next.updateMembers(i)
					return nil
				})
			}
			continue
		}
		if process.probeStartedAt > 0 {
			probeOverdue = probeOverdue || s.now >= process.probeStartedAt+s.Settings.ProbeTimeout
			move(fmt.Sprint("probe ends ", i), false, func(next *HealthCheckers) error { return next.endProbe(i) })
		}
		if s.Request > 0 && process.requestedAt == 0 {
			move(fmt.Sprint("request probe ", i), false, func(next *HealthCheckers) error { next.Request--; return next.requestProbe(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), true, func(next *HealthCheckers) error { next.Crash--; next.processes[i].dead = true; return nil })
		}
		if s.UpdateMembers > 0 && !slices.Equal(process.members, s.alive()) {
			move(fmt.Sprint("update members ", i), true, func(next *HealthCheckers) error { next.UpdateMembers--; next.updateMembers(i); return nil })
		}
	}
	if !probeOverdue {
		move("advance time", false, (*HealthCheckers).advance)
	}
	return out
}

// advance advances time by a step.
func (s *HealthCheckers) advance() error {
	s.now++
	for i := range s.messages {
		s.messages[i].age = min(0, s.messages[i].age+1)
	}
	for i, process := range s.processes {
		if process.dead {
			continue
		}
		checks := invariant.New(nil)
		process.sharing.CheckInvariants(checks, 1)
		if err := s.perform(i, process.sharing.Tick(s.now, nil)); err != nil {
			return err
		}
		if breaches := checks.Breaches(); len(breaches) > 0 {
			return fmt.Errorf("process %d: %v", i, breaches[0])
		}
	}
	return nil
}

// Check implements System: each requested probe has a result within LatencyBound.
func (s *HealthCheckers) Check() error {
	for i, process := range s.processes {
		if !process.dead && process.requestedAt > 0 && s.now > process.requestedAt+s.Settings.LatencyBound() {
			return fmt.Errorf("process %d has waited for the result of a probe for %g, longer than LatencyBound", i, s.now-process.requestedAt)
		}
	}
	return nil
}
