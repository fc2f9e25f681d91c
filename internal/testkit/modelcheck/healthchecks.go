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

// HealthCheckers are poolers that share health checks of one server, with the messages between them. Time advances in steps, with a tick of
// each running process. A health check ends at any step up to Probe. Processes request one, crash, restart without state, and are
// removed from the members later; messages are lost, duplicated or delayed; some processes do not reach the server.
type HealthCheckers struct {
	ProbeFaults
	Settings       overload.ProbeSettings
	Unreachable    map[int]bool                           // do not reach the server
	ChangeSettings func(i int, s *overload.ProbeSettings) // a mutant: a process's settings
	AlterMessage   func(i int, seq uint32, m any) any     // a mutant: what it is told in place of a message, by the number of its last want

	now           float64
	nodes         []*healthChecker
	messages      []nodeMessage // sorted
	faultHappened bool          // something went wrong by now
}

// ProbeFaults are the numbers of faults and events that may still happen.
type ProbeFaults struct{ Request, Lose, Duplicate, Delay, Crash, Restart, UpdateMembers int }

type healthChecker struct {
	sharing        *overload.ProbeSharing
	incarnation    int
	dead           bool
	requestedAt    float64 // since when its module wants one, 0 for not so
	probeStartedAt float64 // of the probe that it makes, 0 for none
	lastProbeAt    float64 // began of its last one
	unhealthyFrom  map[int]bool
	members        []overload.Peer
}

type nodeMessage struct {
	from, to int
	age      int
	message  any
	text     string
}

// Target is the server.
const Target = "s"

// SmallProbeSettings returns settings with steps in place of ms.
func SmallProbeSettings() overload.ProbeSettings {
	return overload.ProbeSettings{Probers: 2, MinInterval: 2, MaxResultAge: 1, ProberTimeout: 3, SkipTime: 6, ProbeTimeout: 3, TickInterval: 1}
}

const unreachableKind = 4 // a finding of a process that did not reach the server; its Role is who found it, its Position when that probe began

// NewHealthCheckers returns a system of n poolers.
func NewHealthCheckers(n int, set overload.ProbeSettings) *HealthCheckers {
	s := &HealthCheckers{Settings: set, now: 100, Unreachable: map[int]bool{}}
	for range n {
		s.nodes = append(s.nodes, &healthChecker{})
	}
	return s
}

// Start starts all processes.
func (s *HealthCheckers) Start() {
	for i := range s.nodes {
		s.start(i)
	}
	for i := range s.nodes {
		s.updateMembers(i)
	}
}

// Probers returns the processes whose health check is in progress.
func (s *HealthCheckers) Probers() (out []int) {
	for _, id := range s.nodes[0].sharing.ProbersOf(Target) {
		out = append(out, int(id-1)%100)
	}
	return out
}

func (s *HealthCheckers) id(i int) overload.ID {
	return overload.ID(100*s.nodes[i].incarnation + i + 1)
}

func (s *HealthCheckers) start(i int) {
	set := s.Settings
	if s.ChangeSettings != nil {
		s.ChangeSettings(i, &set)
	}
	x := s.nodes[i]
	*x = healthChecker{incarnation: x.incarnation, sharing: overload.NewProbes(set, s.id(i), s.now), lastProbeAt: -1e6}
}

// alive returns the running processes.
func (s *HealthCheckers) alive() (out []overload.Peer) {
	for k, x := range s.nodes {
		if !x.dead {
			out = append(out, overload.Peer{ID: s.id(k), Addr: fmt.Sprint(k)})
		}
	}
	return out
}

func (s *HealthCheckers) updateMembers(i int) {
	x := s.nodes[i]
	x.members = s.alive()
	x.sharing.UpdateMembers(s.id(i), x.members)
}

func (s *HealthCheckers) clone() *HealthCheckers {
	c := *s
	c.nodes = make([]*healthChecker, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.sharing, y.unhealthyFrom = x.sharing.Clone(), maps.Clone(x.unhealthyFrom)
		c.nodes[i] = &y
	}
	c.messages = slices.Clone(s.messages)
	return &c
}

// Key implements System.
func (s *HealthCheckers) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.ProbeFaults, s.faultHappened, "|")
	ago := func(at float64) float64 { return min(s.now-at, 1e3) }
	for i, x := range s.nodes {
		fmt.Fprint(&b, x.dead, x.incarnation, ago(x.requestedAt), ago(x.probeStartedAt), min(ago(x.lastProbeAt), s.Settings.MinInterval), s.Unreachable[i], "b", len(x.unhealthyFrom), x.sharing.StateKey(s.lastSequence), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&b, msg.from, msg.to, msg.age, s.normalized(msg), "|")
	}
	return b.String()
}

func (s *HealthCheckers) lastSequence(id overload.ID) uint32 {
	for i, x := range s.nodes {
		if s.id(i) == id {
			return x.sharing.LastSequence()
		}
	}
	return 0
}

// normalized describes a message relative to the present.
func (s *HealthCheckers) normalized(msg nodeMessage) string {
	switch m := msg.message.(type) {
	case *overload.ProbeRequest:
		return fmt.Sprint("want", s.nodes[msg.from].sharing.LastSequence()-m.Sequence)
	case *overload.ProbeResult:
		return fmt.Sprint("found", s.nodes[msg.to].sharing.LastSequence()-m.Sequence, m.StartedMsAgo, m.Result, m.Kind, m.Role, s.now-m.Position)
	}
	return ""
}

// perform performs a process's actions and checks them.
func (s *HealthCheckers) perform(i int, acts []overload.ProbeAction) error {
	x := s.nodes[i]
	for _, a := range acts {
		switch {
		case a.Probe != "":
			if x.probeStartedAt > 0 {
				return fmt.Errorf("process %d makes two probes at once", i)
			}
			if s.now-x.lastProbeAt < s.Settings.MinInterval {
				return fmt.Errorf("process %d probes again after %g", i, s.now-x.lastProbeAt)
			}
			if !s.faultHappened && !slices.Contains(s.Probers(), i) {
				return fmt.Errorf("process %d probes, and is no prober, though nothing went wrong", i)
			}
			x.probeStartedAt, x.lastProbeAt = s.now, s.now
		case a.Request != nil:
			s.enqueue(nodeMessage{from: i, to: int(a.To-1) % 100, message: a.Request})
		case a.Response != nil:
			s.enqueue(nodeMessage{from: i, to: int(a.To-1) % 100, message: a.Response})
		case a.Report:
			if err := s.checkResult(i, &a); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkResult checks a reported result against the true state.
func (s *HealthCheckers) checkResult(i int, a *overload.ProbeAction) error {
	x := s.nodes[i]
	switch from := int(a.Role); {
	case x.requestedAt == 0:
		return fmt.Errorf("process %d is told what it does not want", i)
	case a.Age < s.now-a.Position-1e-9:
		return fmt.Errorf("process %d is told of a probe that began %g ago as if it were %g", i, s.now-a.Position, a.Age)
	case a.Kind == unreachableKind && s.now-a.Position > s.now-x.requestedAt+s.Settings.MaxResultAge+s.Settings.ProbeTimeout:
		return fmt.Errorf("process %d is told of a probe that ended %g before it wanted one", i, x.requestedAt-a.Position-s.Settings.ProbeTimeout)
	case a.Kind != unreachableKind && a.Position < x.requestedAt-s.Settings.MaxResultAge:
		return fmt.Errorf("process %d is told of a probe that began %g before it wanted one", i, x.requestedAt-a.Position)
	case a.Kind == unreachableKind && from != i && len(x.unhealthyFrom) < min(2, len(x.sharing.ProbersOf(Target))):
		return fmt.Errorf("process %d takes bad news from %d alone", i, from)
	case a.Kind != unreachableKind && s.Unreachable[from]:
		return fmt.Errorf("process %d is told that %d reached the server", i, from)
	}
	x.requestedAt, x.unhealthyFrom = 0, nil
	return nil
}

func (s *HealthCheckers) enqueue(msg nodeMessage) {
	msg.text = fmt.Sprintf("%T%+v", msg.message, msg.message)
	s.messages = append(s.messages, msg)
	sortMessages(s.messages)
}

// sortMessages sorts messages into an order that does not depend on that of their sending.
func sortMessages(messages []nodeMessage) {
	slices.SortStableFunc(messages, func(x, y nodeMessage) int { return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.text, y.text)) })
}

// deliver delivers a message.
func (s *HealthCheckers) deliver(msg nodeMessage) error {
	x := s.nodes[msg.to]
	if x.dead {
		return nil
	}
	m := msg.message
	if s.AlterMessage != nil {
		m = s.AlterMessage(msg.to, x.sharing.LastSequence(), m)
	}
	if f, ok := msg.message.(*overload.ProbeResult); ok && f.Kind == unreachableKind && f.Result != overload.InProgress {
		if x.unhealthyFrom == nil {
			x.unhealthyFrom = map[int]bool{}
		}
		x.unhealthyFrom[msg.from] = true
	}
	return s.perform(msg.to, x.sharing.Receive(s.now, s.id(msg.from), m, nil))
}

// end ends a process's health check.
func (s *HealthCheckers) endProbe(i int) error {
	x := s.nodes[i]
	f := overload.Finding{Role: uint8(i), Position: x.probeStartedAt}
	if s.Unreachable[i] {
		f.Result, f.Kind = overload.Unhealthy, unreachableKind
	}
	x.probeStartedAt = 0
	return s.perform(i, x.sharing.ProbeEnded(s.now, Target, f, nil))
}

func (s *HealthCheckers) requestProbe(i int) error {
	x := s.nodes[i]
	if x.requestedAt == 0 {
		x.requestedAt, x.unhealthyFrom = s.now, nil
	}
	return s.perform(i, x.sharing.RequestProbe(s.now, Target, nil))
}

// Moves implements System. Within a step messages arrive first, in any order; then come health checks, requests, crashes and starts; then time advances.
func (s *HealthCheckers) Moves() (out []Move) {
	move := func(name string, fault bool, do func(c *HealthCheckers) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			c.faultHappened = c.faultHappened || fault
			return c, do(c)
		}})
	}
	seen := map[string]bool{}
	for k, msg := range s.messages {
		if msg.age != 0 || seen[fmt.Sprint(msg.from, msg.to, msg.text)] {
			continue
		}
		seen[fmt.Sprint(msg.from, msg.to, msg.text)] = true
		what := fmt.Sprintf("to %d from %d: %.60s", msg.to, msg.from, s.normalized(msg))
		remove := func(c *HealthCheckers) { c.messages = slices.Delete(c.messages, k, k+1) }
		move("arrives "+what, false, func(c *HealthCheckers) error { remove(c); return c.deliver(msg) })
		if s.Lose > 0 {
			move("lost "+what, true, func(c *HealthCheckers) error { remove(c); c.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("twice "+what, false, func(c *HealthCheckers) error { c.Duplicate--; c.messages[k].age = 1 - lateSteps; return c.deliver(msg) })
		}
		if s.Delay > 0 {
			move("late "+what, true, func(c *HealthCheckers) error { c.Delay--; c.messages[k].age = -lateSteps; return nil })
		}
	}
	if len(out) > 0 {
		return out
	}
	probeOverdue := false
	for i, x := range s.nodes {
		if x.dead {
			if s.Restart > 0 {
				move(fmt.Sprint("restart ", i), true, func(c *HealthCheckers) error {
					c.Restart--
					c.nodes[i].incarnation++
					c.start(i)
					c.updateMembers(i)
					return nil
				})
			}
			continue
		}
		if x.probeStartedAt > 0 {
			probeOverdue = probeOverdue || s.now >= x.probeStartedAt+s.Settings.ProbeTimeout
			move(fmt.Sprint("probe ends ", i), false, func(c *HealthCheckers) error { return c.endProbe(i) })
		}
		if s.Request > 0 && x.requestedAt == 0 {
			move(fmt.Sprint("want ", i), false, func(c *HealthCheckers) error { c.Request--; return c.requestProbe(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), true, func(c *HealthCheckers) error { c.Crash--; c.nodes[i].dead = true; return nil })
		}
		if s.UpdateMembers > 0 && !slices.Equal(x.members, s.alive()) {
			move(fmt.Sprint("sees ", i), true, func(c *HealthCheckers) error { c.UpdateMembers--; c.updateMembers(i); return nil })
		}
	}
	if !probeOverdue {
		move("time", false, (*HealthCheckers).advance)
	}
	return out
}

// advance advances time by a step.
func (s *HealthCheckers) advance() error {
	s.now++
	for i := range s.messages {
		s.messages[i].age = min(0, s.messages[i].age+1)
	}
	for i, x := range s.nodes {
		if x.dead {
			continue
		}
		c := invariant.New(nil)
		x.sharing.CheckInvariants(c, 1)
		if err := s.perform(i, x.sharing.Tick(s.now, nil)); err != nil {
			return err
		}
		if b := c.Breaches(); len(b) > 0 {
			return fmt.Errorf("process %d: %v", i, b[0])
		}
	}
	return nil
}

// Check implements System: each requested health check ends within Latest.
func (s *HealthCheckers) Check() error {
	for i, x := range s.nodes {
		if !x.dead && x.requestedAt > 0 && s.now > x.requestedAt+s.Settings.LatencyBound() {
			return fmt.Errorf("process %d wants a probe for %g, and was told nothing", i, s.now-x.requestedAt)
		}
	}
	return nil
}
