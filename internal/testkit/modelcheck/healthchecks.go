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
	nodes         []*healthChecker
	messages      []nodeMessage // sorted by recipient and text
	faultHappened bool          // a fault has happened
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

type nodeMessage struct {
	from, to int
	age      int
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

// Probers returns the processes that probe the server, according to process 0.
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

// normalized describes a message with numbers and times relative to the present.
func (s *HealthCheckers) normalized(msg nodeMessage) string {
	switch m := msg.message.(type) {
	case *overload.ProbeRequest:
		return fmt.Sprint("request", s.nodes[msg.from].sharing.LastSequence()-m.Sequence)
	case *overload.ProbeResult:
		return fmt.Sprint("result", s.nodes[msg.to].sharing.LastSequence()-m.Sequence, m.StartedMsAgo, m.Result, m.Kind, m.Role, s.now-m.Position)
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
				return fmt.Errorf("process %d starts a probe while another one is in progress", i)
			}
			if s.now-x.lastProbeAt < s.Settings.MinInterval {
				return fmt.Errorf("process %d starts a probe %g after its last one, less than MinInterval", i, s.now-x.lastProbeAt)
			}
			if !s.faultHappened && !slices.Contains(s.Probers(), i) {
				return fmt.Errorf("process %d starts a probe and is not a prober, though no fault has happened", i)
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
		return fmt.Errorf("process %d reports a result without an open request", i)
	case a.Age < s.now-a.Position-1e-9:
		return fmt.Errorf("process %d reports a probe that started %g ago with an age of %g", i, s.now-a.Position, a.Age)
	case a.Kind == unreachableKind && s.now-a.Position > s.now-x.requestedAt+s.Settings.MaxResultAge+s.Settings.ProbeTimeout:
		return fmt.Errorf("process %d reports a probe that ended %g before its request", i, x.requestedAt-a.Position-s.Settings.ProbeTimeout)
	case a.Kind != unreachableKind && a.Position < x.requestedAt-s.Settings.MaxResultAge:
		return fmt.Errorf("process %d reports a probe that started %g before its request", i, x.requestedAt-a.Position)
	case a.Kind == unreachableKind && from != i && len(x.unhealthyFrom) < min(2, len(x.sharing.ProbersOf(Target))):
		return fmt.Errorf("process %d reports the server unhealthy on the finding of process %d alone", i, from)
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

// endProbe ends a process's health check.
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

// Moves implements System. Within a step messages arrive first, in any order; then probes end, and requests, crashes, restarts and changes of
// members happen; then time advances.
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
		move("deliver "+what, false, func(c *HealthCheckers) error { remove(c); return c.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+what, true, func(c *HealthCheckers) error { remove(c); c.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+what, false, func(c *HealthCheckers) error { c.Duplicate--; c.messages[k].age = 1 - lateSteps; return c.deliver(msg) })
		}
		if s.Delay > 0 {
			move("delay "+what, true, func(c *HealthCheckers) error { c.Delay--; c.messages[k].age = -lateSteps; return nil })
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
			move(fmt.Sprint("request probe ", i), false, func(c *HealthCheckers) error { c.Request--; return c.requestProbe(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), true, func(c *HealthCheckers) error { c.Crash--; c.nodes[i].dead = true; return nil })
		}
		if s.UpdateMembers > 0 && !slices.Equal(x.members, s.alive()) {
			move(fmt.Sprint("update members ", i), true, func(c *HealthCheckers) error { c.UpdateMembers--; c.updateMembers(i); return nil })
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

// Check implements System: each requested probe has a result within LatencyBound.
func (s *HealthCheckers) Check() error {
	for i, x := range s.nodes {
		if !x.dead && x.requestedAt > 0 && s.now > x.requestedAt+s.Settings.LatencyBound() {
			return fmt.Errorf("process %d has waited for the result of a probe for %g, longer than LatencyBound", i, s.now-x.requestedAt)
		}
	}
	return nil
}
