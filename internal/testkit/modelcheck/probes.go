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

// Probers are so many poolers that share probes of one server, with the messages between them. Time goes on in steps, at each of which every
// process that runs has its tick. A probe ends at any step up to Probe. Processes want one, crash, start again with nothing, and are taken for
// gone a while after; messages are lost, come twice or late, wherever that can be; some do not reach the server.
type Probers struct {
	ProbeFaults
	Set   overload.ProbeSettings
	Blind map[int]bool                           // do not reach the server
	Each  func(i int, s *overload.ProbeSettings) // a mutant: a process's settings
	Break func(i int, seq uint32, m any) any     // a mutant: what it is told in place of a message, by the number of its last want

	now   float64
	nodes []*prober
	words []word // sorted
	wrong bool   // something went wrong by now
}

// ProbeFaults are what may still happen.
type ProbeFaults struct{ Want, Lose, Double, Late, Crash, Restart, Drop int }

type prober struct {
	p      *overload.ProbeSharing
	life   int
	dead   bool
	wanted float64 // since when its module wants one, 0 for not so
	began  float64 // of the probe that it makes, 0 for none
	last   float64 // began of its last one
	bad    map[int]bool
	sees   []overload.Peer
}

type word struct {
	from, to int
	age      int
	m        any
	text     string
}

// Target is the server that they probe.
const Target = "s"

// SmallProbes are settings in steps.
func SmallProbes() overload.ProbeSettings {
	return overload.ProbeSettings{Probers: 2, MinInterval: 2, MaxResultAge: 1, Patience: 3, SkipTime: 6, ProbeTimeout: 3, TickInterval: 1}
}

const badKind = 4 // a finding of a process that did not reach the server; its Role is who found it, its Position when that probe began

// NewProbers makes a system of so many.
func NewProbers(n int, set overload.ProbeSettings) *Probers {
	s := &Probers{Set: set, now: 100, Blind: map[int]bool{}}
	for range n {
		s.nodes = append(s.nodes, &prober{})
	}
	return s
}

// Start begins all processes.
func (s *Probers) Start() {
	for i := range s.nodes {
		s.begin(i)
	}
	for i := range s.nodes {
		s.look(i)
	}
}

// Probing are the processes that probe the server.
func (s *Probers) Probing() (out []int) {
	for _, id := range s.nodes[0].p.ProbersOf(Target) {
		out = append(out, int(id-1)%100)
	}
	return out
}

func (s *Probers) id(i int) overload.ID { return overload.ID(100*s.nodes[i].life + i + 1) }

func (s *Probers) begin(i int) {
	set := s.Set
	if s.Each != nil {
		s.Each(i, &set)
	}
	x := s.nodes[i]
	*x = prober{life: x.life, p: overload.NewProbes(set, s.id(i), s.now), last: -1e6}
}

// alive are those that run, as their view has them in the end.
func (s *Probers) alive() (out []overload.Peer) {
	for k, x := range s.nodes {
		if !x.dead {
			out = append(out, overload.Peer{ID: s.id(k), Addr: fmt.Sprint(k)})
		}
	}
	return out
}

func (s *Probers) look(i int) {
	x := s.nodes[i]
	x.sees = s.alive()
	x.p.UpdateMembers(s.id(i), x.sees)
}

func (s *Probers) clone() *Probers {
	c := *s
	c.nodes = make([]*prober, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.p, y.bad = x.p.Clone(), maps.Clone(x.bad)
		c.nodes[i] = &y
	}
	c.words = slices.Clone(s.words)
	return &c
}

// Key is System's.
func (s *Probers) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.ProbeFaults, s.wrong, "|")
	ago := func(at float64) float64 { return min(s.now-at, 1e3) }
	for i, x := range s.nodes {
		fmt.Fprint(&b, x.dead, x.life, ago(x.wanted), ago(x.began), min(ago(x.last), s.Set.MinInterval), s.Blind[i], "b", len(x.bad), x.p.StateKey(s.last), "|")
	}
	for _, w := range s.words {
		fmt.Fprint(&b, w.from, w.to, w.age, s.norm(w), "|")
	}
	return b.String()
}

func (s *Probers) last(id overload.ID) uint32 {
	for i, x := range s.nodes {
		if s.id(i) == id {
			return x.p.LastSequence()
		}
	}
	return 0
}

// norm is a message as seen from now.
func (s *Probers) norm(w word) string {
	switch m := w.m.(type) {
	case *overload.ProbeRequest:
		return fmt.Sprint("want", s.nodes[w.from].p.LastSequence()-m.Sequence)
	case *overload.ProbeResult:
		return fmt.Sprint("found", s.nodes[w.to].p.LastSequence()-m.Sequence, m.StartedMsAgo, m.Result, m.Kind, m.Role, s.now-m.Position)
	}
	return ""
}

// do carries out what a process asks for, and holds that to the rules.
func (s *Probers) do(i int, acts []overload.ProbeAction) error {
	x := s.nodes[i]
	for _, a := range acts {
		switch {
		case a.Probe != "":
			if x.began > 0 {
				return fmt.Errorf("process %d makes two probes at once", i)
			}
			if s.now-x.last < s.Set.MinInterval {
				return fmt.Errorf("process %d probes again after %g", i, s.now-x.last)
			}
			if !s.wrong && !slices.Contains(s.Probing(), i) {
				return fmt.Errorf("process %d probes, and is no prober, though nothing went wrong", i)
			}
			x.began, x.last = s.now, s.now
		case a.Request != nil:
			s.put(word{from: i, to: int(a.To-1) % 100, m: a.Request})
		case a.Response != nil:
			s.put(word{from: i, to: int(a.To-1) % 100, m: a.Response})
		case a.Report:
			if err := s.told(i, &a); err != nil {
				return err
			}
		}
	}
	return nil
}

// told holds what the module is told to what is true.
func (s *Probers) told(i int, a *overload.ProbeAction) error {
	x := s.nodes[i]
	switch from := int(a.Role); {
	case x.wanted == 0:
		return fmt.Errorf("process %d is told what it does not want", i)
	case a.Age < s.now-a.Position-1e-9:
		return fmt.Errorf("process %d is told of a probe that began %g ago as if it were %g", i, s.now-a.Position, a.Age)
	case a.Kind == badKind && s.now-a.Position > s.now-x.wanted+s.Set.MaxResultAge+s.Set.ProbeTimeout:
		return fmt.Errorf("process %d is told of a probe that ended %g before it wanted one", i, x.wanted-a.Position-s.Set.ProbeTimeout)
	case a.Kind != badKind && a.Position < x.wanted-s.Set.MaxResultAge:
		return fmt.Errorf("process %d is told of a probe that began %g before it wanted one", i, x.wanted-a.Position)
	case a.Kind == badKind && from != i && len(x.bad) < min(2, len(x.p.ProbersOf(Target))):
		return fmt.Errorf("process %d takes bad news from %d alone", i, from)
	case a.Kind != badKind && s.Blind[from]:
		return fmt.Errorf("process %d is told that %d reached the server", i, from)
	}
	x.wanted, x.bad = 0, nil
	return nil
}

func (s *Probers) put(w word) {
	w.text = fmt.Sprintf("%T%+v", w.m, w.m)
	s.words = append(s.words, w)
	sortWords(s.words)
}

// sortWords has words in an order that does not depend on who sent first.
func sortWords(words []word) {
	slices.SortStableFunc(words, func(x, y word) int { return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.text, y.text)) })
}

// deliver has a message arrive.
func (s *Probers) deliver(w word) error {
	x := s.nodes[w.to]
	if x.dead {
		return nil
	}
	m := w.m
	if s.Break != nil {
		m = s.Break(w.to, x.p.LastSequence(), m)
	}
	if f, ok := w.m.(*overload.ProbeResult); ok && f.Kind == badKind && f.Result != overload.InProgress {
		if x.bad == nil {
			x.bad = map[int]bool{}
		}
		x.bad[w.from] = true
	}
	return s.do(w.to, x.p.Receive(s.now, s.id(w.from), m, nil))
}

// end has a process's probe end.
func (s *Probers) end(i int) error {
	x := s.nodes[i]
	f := overload.Finding{Role: uint8(i), Position: x.began}
	if s.Blind[i] {
		f.Result, f.Kind = overload.Unhealthy, badKind
	}
	x.began = 0
	return s.do(i, x.p.ProbeEnded(s.now, Target, f, nil))
}

func (s *Probers) want(i int) error {
	x := s.nodes[i]
	if x.wanted == 0 {
		x.wanted, x.bad = s.now, nil
	}
	return s.do(i, x.p.RequestProbe(s.now, Target, nil))
}

// Moves is System's. Within a step messages arrive first, in any order; then probes end, processes want one, crash or begin; then time goes on.
func (s *Probers) Moves() (out []Move) {
	move := func(name string, wrong bool, do func(c *Probers) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			c.wrong = c.wrong || wrong
			return c, do(c)
		}})
	}
	seen := map[string]bool{}
	for k, w := range s.words {
		if w.age != 0 || seen[fmt.Sprint(w.from, w.to, w.text)] {
			continue
		}
		seen[fmt.Sprint(w.from, w.to, w.text)] = true
		what := fmt.Sprintf("to %d from %d: %.60s", w.to, w.from, s.norm(w))
		take := func(c *Probers) { c.words = slices.Delete(c.words, k, k+1) }
		move("arrives "+what, false, func(c *Probers) error { take(c); return c.deliver(w) })
		if s.Lose > 0 {
			move("lost "+what, true, func(c *Probers) error { take(c); c.Lose--; return nil })
		}
		if s.Double > 0 {
			move("twice "+what, false, func(c *Probers) error { c.Double--; c.words[k].age = 1 - lateSteps; return c.deliver(w) })
		}
		if s.Late > 0 {
			move("late "+what, true, func(c *Probers) error { c.Late--; c.words[k].age = -lateSteps; return nil })
		}
	}
	if len(out) > 0 {
		return out
	}
	must := false
	for i, x := range s.nodes {
		if x.dead {
			if s.Restart > 0 {
				move(fmt.Sprint("restart ", i), true, func(c *Probers) error {
					c.Restart--
					c.nodes[i].life++
					c.begin(i)
					c.look(i)
					return nil
				})
			}
			continue
		}
		if x.began > 0 {
			must = must || s.now >= x.began+s.Set.ProbeTimeout
			move(fmt.Sprint("probe ends ", i), false, func(c *Probers) error { return c.end(i) })
		}
		if s.Want > 0 && x.wanted == 0 {
			move(fmt.Sprint("want ", i), false, func(c *Probers) error { c.Want--; return c.want(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), true, func(c *Probers) error { c.Crash--; c.nodes[i].dead = true; return nil })
		}
		if s.Drop > 0 && !slices.Equal(x.sees, s.alive()) {
			move(fmt.Sprint("sees ", i), true, func(c *Probers) error { c.Drop--; c.look(i); return nil })
		}
	}
	if !must {
		move("time", false, (*Probers).time)
	}
	return out
}

// time has a step go by.
func (s *Probers) time() error {
	s.now++
	for i := range s.words {
		s.words[i].age = min(0, s.words[i].age+1)
	}
	for i, x := range s.nodes {
		if x.dead {
			continue
		}
		c := invariant.New(nil)
		x.p.CheckInvariants(c, 1)
		if err := s.do(i, x.p.Tick(s.now, nil)); err != nil {
			return err
		}
		if b := c.Breaches(); len(b) > 0 {
			return fmt.Errorf("process %d: %v", i, b[0])
		}
	}
	return nil
}

// Check is System's: each want has an end within Latest.
func (s *Probers) Check() error {
	for i, x := range s.nodes {
		if !x.dead && x.wanted > 0 && s.now > x.wanted+s.Set.LatencyBound() {
			return fmt.Errorf("process %d wants a probe for %g, and was told nothing", i, s.now-x.wanted)
		}
	}
	return nil
}
