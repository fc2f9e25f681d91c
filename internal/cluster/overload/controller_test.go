package overload

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// fleet is some processes whose words take delay to arrive, in steps.
type fleet struct {
	now   float64
	all   []*Controller
	place []map[int]*Shedding
	mail  []mail
	delay float64
	later func(to int) float64 // than delay
	cut   func(a, b int) bool
	twist func(from int, m any) any // what a liar makes of it
}

type mail struct {
	at       float64
	from, to int
	m        any
}

var classes = []Class{{Name: "list", Priority: 1, ObjectiveMs: 400}, {Name: "read", Priority: 4, ObjectiveMs: 400}, {Name: "write", Priority: 5, ObjectiveMs: 400, NotIdempotent: true}}

func newFleet(t invariant.T, n int, set Settings) *fleet {
	f := &fleet{now: 1e6, cut: func(int, int) bool { return false }, later: func(int) float64 { return 0 }, delay: 1}
	set.Classes = classes
	for i := range n {
		controller := New(set, ID(i+1), f.now)
		controller.CheckInvariants(invariant.Test(t), 1)
		f.all = append(f.all, controller)
		f.place = append(f.place, map[int]*Shedding{})
	}
	f.members()
	return f
}

func (f *fleet) members() {
	for i, controller := range f.all {
		var p []Peer
		for k := range f.all {
			if !f.cut(i, k) {
				p = append(p, Peer{ID(k + 1), string(rune('a' + k))})
			}
		}
		f.do(i, MembersChanged{ID(i + 1), p})
		_ = controller
	}
}

func (f *fleet) do(i int, e Event) {
	for _, a := range f.all[i].Handle(f.now, e, nil) {
		var m any = a.Report
		switch a.Kind {
		case Shed:
			f.place[i][a.Group] = a.Shedding
			continue
		case SendDecisions:
			m = a.Decisions
		}
		if f.twist != nil {
			m = f.twist(i, m)
		}
		if to := int(a.To) - 1; !f.cut(i, to) {
			f.mail = append(f.mail, mail{f.now + f.delay + f.later(to), i, to, m})
		}
	}
}

// step lets 50 ms pass: what has come is heard, and each process counts what load has it.
func (f *fleet) step(load func(i int)) {
	f.now += 50
	mails := f.mail
	f.mail = nil
	for _, m := range mails {
		if m.at > f.now {
			f.mail = append(f.mail, m)
			continue
		}
		switch x := m.m.(type) {
		case *LoadReport:
			f.do(m.to, ReportReceived{ID(m.from + 1), x})
		case *ShedDecisions:
			f.do(m.to, DecisionsReceived{ID(m.from + 1), x})
		}
	}
	for i := range f.all {
		load(i)
		f.do(i, Tick{})
	}
}

// servers is a group that serves so many requests a second of what it is asked; the rest waits in line, as long as its client does.
type servers struct {
	f       *fleet
	can     float64   // a second
	ask     []float64 // a second, of each process
	line    []waits
	able    float64
	let     float64 // in the last second, about
	credit  []float64
	session int
}

type waits struct {
	i, class int
	at       float64
}

func newServers(f *fleet, can, ask float64) *servers {
	s := &servers{f: f, can: can, credit: make([]float64, len(f.all))}
	for range f.all {
		s.ask = append(s.ask, ask/float64(len(f.all)))
	}
	return s
}

// place is where a request stands here; the hash is the test's own.
func (s *servers) lets(i, class int, u float64) bool {
	p := s.f.place[i][3]
	return p == nil || float64(p.Cells[class][3])+u >= p.Level
}

func (s *servers) run(steps int) {
	for range steps {
		in := 0.0
		s.f.step(func(i int) {
			s.credit[i] += s.ask[i] / 20
			for ; s.credit[i] >= 1; s.credit[i]-- {
				s.session++
				class, u := s.session%3, math.Mod(float64(s.session)*0.618034, 1)
				ok := s.lets(i, class, u)
				s.f.do(i, RequestReceived{Group: 3, Class: class, Tenant: -1, Admitted: ok})
				if !ok {
					continue
				}
				in++
				s.line = append(s.line, waits{i, class, s.f.now})
			}
		})
		s.able = min(s.able+s.can/20, s.can/10)
		for len(s.line) > 0 {
			w, age := s.line[0], s.f.now-s.line[0].at
			if age > 2000 {
				s.f.do(w.i, RequestEnded{Group: 3, Class: w.class, Strain: 1})
			} else if s.able < 1 {
				break
			} else {
				s.able--
				s.f.do(w.i, RequestEnded{Group: 3, Class: w.class, Served: true, Strain: max(0, min(1, (age/400-0.7)/0.3))})
			}
			s.line = s.line[1:]
		}
		s.let = 0.95*s.let + in
	}
}

// TestLevelFindsCapacity: at half more load than the servers can do, what is admitted approaches what they can do, equally at every
// process; the lowest priority is shed; once the load has ended, nothing is.
func TestLevelFindsCapacity(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	s := newServers(f, 400, 200)
	s.run(60)
	for i := range f.all {
		if f.place[i][3] != nil {
			t.Fatalf("at half of what they can do process %d sheds from %g", i, f.place[i][3].Level)
		}
	}
	for i := range s.ask {
		s.ask[i] *= 3
	}
	s.run(400)
	if s.let < 300 || s.let > 460 {
		t.Errorf("of 600 a second %.0f are let in, where 400 can be done", s.let)
	}
	first := f.place[0][3]
	if first == nil {
		t.Fatal("nothing is shed")
	}
	for i := range f.all {
		if p := f.place[i][3]; p == nil || math.Abs(p.Level-first.Level) > 0.5 {
			t.Errorf("process %d sheds by %+v, the first by %+v", i, p, first)
		}
	}
	if p := first; p.Cells[0][3] > p.Cells[1][3] || p.Cells[1][3] > p.Cells[2][3] || p.Cells[2][0] < p.Cells[1][3] || p.Cells[1][1] > p.Cells[0][3] {
		t.Errorf("the order is %v", p.Cells)
	}
	for i := range s.ask {
		s.ask[i] /= 3
	}
	s.run(400)
	for i := range f.all {
		if p := f.place[i][3]; p != nil {
			t.Errorf("the load has gone, and process %d sheds from %g", i, p.Level)
		}
	}
}

// TestByzantineReportsAreBounded: a pooler that reports no load, or a thousand times its own, changes what is admitted by a part at most.
func TestByzantineReportsAreBounded(t *testing.T) {
	for name, times := range map[string]float64{"no load": 0, "all load": 1000} {
		f := newFleet(t, 8, Defaults())
		f.twist = func(from int, m any) any {
			if x, ok := m.(*LoadReport); ok && from == 2 {
				c := *x
				c.Groups = slices.Clone(x.Groups)
				for i := range c.Groups {
					c.Groups[i].Classes = slices.Clone(c.Groups[i].Classes)
					for k := range c.Groups[i].Classes {
						l := &c.Groups[i].Classes[k]
						l.FirstAttempts, l.Admitted, l.Served, l.Ended, l.Strain = l.FirstAttempts*times, l.Admitted*times, l.Served*times, l.Ended*times, l.Strain*times
					}
				}
				return &c
			}
			return m
		}
		s := newServers(f, 400, 600)
		s.run(500)
		if s.let < 260 || s.let > 520 {
			t.Errorf("%s: %.0f a second are let in, where 400 can be done", name, s.let)
		}
	}
}

// TestIsolatedPoolerFadesItsLevel: a pooler that is cut off from all keeps its level for a while and then sheds alone; the others are not
// affected.
func TestIsolatedPoolerFadesItsLevel(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	s := newServers(f, 400, 600)
	s.run(300)
	if f.place[0][3] == nil {
		t.Fatal("nothing is shed")
	}
	f.cut = func(a, b int) bool { return (a == 0) != (b == 0) }
	set := Defaults()
	s.run(int((set.IsolationBound() + set.StaleAfter) / 50))
	if p := f.place[0][3]; p != nil {
		t.Errorf("it still sheds from %g", p.Level)
	}
	if f.place[1][3] == nil {
		t.Error("the others shed nothing any more")
	}
}

// TestStaleMessagesAreIgnored: messages that are older than StaleAfter do not count, and nobody sheds by them.
func TestStaleMessagesAreIgnored(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	f.delay = 3000
	s := newServers(f, 400, 600)
	s.run(300)
	for i := range f.all {
		if p := f.place[i][3]; p != nil && len(f.all[i].CollectorsOf(3)) > 0 && !slices.Contains(f.all[i].CollectorsOf(3), ID(i+1)) {
			t.Errorf("process %d sheds from %g", i, p.Level)
		}
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, up to rounding; malformed ones are errors.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := func(most float64) float64 { return math.Round(rapid.Float64Range(0, most).Draw(t, "x")*64) / 64 }
		key := rapid.Uint16()
		m := &LoadReport{Sequence: rapid.Uint32().Draw(t, "seq"), CollectorTime: x(1e12), HeldMs: x(1e4)}
		for range rapid.IntRange(0, GroupsPerBlock).Draw(t, "groups") {
			p := GroupLoad{Group: rapid.IntRange(0, 1<<30).Draw(t, "group"), Budget: float64(float32(x(1e6))), Level: float64(float32(x(100)))}
			for range rapid.IntRange(0, 4).Draw(t, "classes") {
				p.Classes = append(p.Classes, ClassLoad{key.Draw(t, "key"), x(1e5), x(1e5), x(1e5), x(1e5), x(1e5), x(1e5), x(1e5)})
			}
			m.Groups = append(m.Groups, p)
		}
		b := m.Append(nil)
		got, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if again := got.(*LoadReport).Append(nil); !bytes.Equal(b, again) {
			t.Fatalf("read as %+v, told %+v", got, m)
		}
		if n := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); n < len(b) {
			if _, err := Decode(b[:n]); err == nil {
				t.Fatalf("%d of %d bytes were taken", n, len(b))
			}
		}
		_, _ = Decode(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "noise"))
	})
}

// TestNoBudgetCountsAsHighest: a collector that sees no overload admits everything. Beside one that does see it, the false answer of a
// third one is not the median, however little it would admit.
func TestNoBudgetCountsAsHighest(t *testing.T) {
	for _, x := range []struct {
		name    string
		budgets []float64
		middle  float64
	}{
		{"one sees overload, one lies low", []float64{0, 16, 1}, 16},
		{"one sees overload, one lies high", []float64{0, 16, 1001}, 1001},
		{"none sees overload, one lies low", []float64{0, 0, 1}, 0},
		{"both see overload, one lies low", []float64{15, 16, 1}, 15},
		{"one that lies low beside one that sees none", []float64{0, 1}, 0},
		{"one that lies low beside one that sees overload", []float64{16, 1}, 16},
	} {
		for turn := range x.budgets { // in whatever order they come
			f := newFleet(t, 8, Defaults())
			asked := f.all[0]
			collectors := asked.CollectorsOf(3)
			asker := slices.IndexFunc(f.all, func(controller *Controller) bool { return !slices.Contains(collectors, controller.self) })
			asked = f.all[asker]
			f.do(asker, RequestReceived{Group: 3, Class: 0, Tenant: -1, Admitted: true})
			for range 6 {
				f.now += 50
				f.do(asker, Tick{})
			}
			for i := range x.budgets {
				i = (i + turn) % len(x.budgets)
				level := 0.0
				if x.budgets[i] > 1 {
					level = 8
				}
				f.do(asker, DecisionsReceived{collectors[i], &ShedDecisions{Sequence: asked.sequence, CollectorTime: f.now, Order: []uint16{1, 2, 3}, Groups: []ShedDecision{{Group: 3, Level: level, Budget: x.budgets[i]}}}})
			}
			if got := asked.Statuses()[0]; got.Answers != len(x.budgets) || got.Budget != x.middle {
				t.Errorf("%s: of %v from %d on it goes by %g", x.name, x.budgets, turn, got.Budget)
			}
		}
	}
}

// TestByzantineCollectorIsOutvoted: a collector answers each report with next to no budget, and no level. That changes nothing where one
// of the two others notices overload later than the other.
func TestByzantineCollectorIsOutvoted(t *testing.T) {
	for _, late := range []float64{0, 300, 600, 900} {
		f := newFleet(t, 8, Defaults())
		collectors := f.all[0].CollectorsOf(3)
		liar, slow := int(collectors[0])-1, int(collectors[1])-1
		f.twist = func(from int, m any) any {
			x, ok := m.(*ShedDecisions)
			if !ok || from != liar {
				return m
			}
			c := *x
			c.Groups = slices.Clone(x.Groups)
			for i := range c.Groups {
				c.Groups[i].Level, c.Groups[i].Budget = 0, 1
			}
			return &c
		}
		f.later = func(to int) float64 {
			if to == slow {
				return late
			}
			return 0
		}
		s := newServers(f, 400, 200)
		s.run(60)
		for i := range s.ask {
			s.ask[i] *= 3
		}
		least := math.Inf(1)
		for step := range 400 {
			if s.run(1); step > 60 {
				least = min(least, s.let)
			}
		}
		if least < 260 {
			t.Errorf("words to a collector %g ms late: only %.0f a second were let in for a time, where 400 can be done", late, least)
		}
	}
}

// TestByzantinePoolerStartsNoBudget: one pooler reports next to no budget where nobody sees overload. Nothing is shed for that.
func TestByzantinePoolerStartsNoBudget(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	f.twist = func(from int, m any) any {
		x, ok := m.(*LoadReport)
		if !ok || from != 2 {
			return m
		}
		c := *x
		c.Groups = slices.Clone(x.Groups)
		for i := range c.Groups {
			c.Groups[i].Budget, c.Groups[i].Level = 1, 8
		}
		return &c
	}
	s := newServers(f, 400, 200)
	for range 200 {
		s.run(1)
		for i := range f.all {
			if p := f.place[i][3]; p != nil {
				t.Fatalf("process %d sheds from %g", i, p.Level)
			}
		}
	}
}
