package overload

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// fleet simulates processes that exchange messages, in steps of 50 ms.
type fleet struct {
	now        float64
	all        []*Controller
	shedding   []map[int]*Shedding // applied, by process and group
	messages   []message           // in transit
	delay      float64             // of a message, in ms
	extraDelay func(to int) float64
	cut        func(a, b int) bool             // whether the link between two processes is cut
	falsify    func(from int, content any) any // replaces what a byzantine process sends; nil for none
}

// message is a message in transit.
type message struct {
	at       float64 // arrival
	from, to int
	content  any
}

var classes = []Class{{Name: "list", Priority: 1, ObjectiveMs: 400}, {Name: "read", Priority: 4, ObjectiveMs: 400}, {Name: "write", Priority: 5, ObjectiveMs: 400, NotIdempotent: true}}

func newFleet(t invariant.T, n int, settings Settings) *fleet {
	f := &fleet{now: 1e6, cut: func(int, int) bool { return false }, extraDelay: func(int) float64 { return 0 }, delay: 1}
	settings.Classes = classes
	for i := range n {
		controller := New(settings, ID(i+1), f.now)
		controller.CheckInvariants(invariant.Test(t), 1)
		f.all = append(f.all, controller)
		f.shedding = append(f.shedding, map[int]*Shedding{})
	}
	f.updateMembers()
	return f
}

// updateMembers reports to each process those that it can reach.
func (f *fleet) updateMembers() {
	for i, controller := range f.all {
		var peers []Peer
		for k := range f.all {
			if !f.cut(i, k) {
				peers = append(peers, Peer{ID(k + 1), string(rune('a' + k))})
			}
		}
		f.do(i, MembersChanged{ID(i + 1), peers})
		_ = controller
	}
}

// do passes an event to a process and carries out the actions.
func (f *fleet) do(i int, e Event) {
	for _, a := range f.all[i].Handle(f.now, e, nil) {
		var content any = a.Report
		switch a.Kind {
		case Shed:
			f.shedding[i][a.Group] = a.Shedding
			continue
		case SendDecisions:
			content = a.Decisions
		}
		if f.falsify != nil {
			content = f.falsify(i, content)
		}
		if to := int(a.To) - 1; !f.cut(i, to) {
			f.messages = append(f.messages, message{f.now + f.delay + f.extraDelay(to), i, to, content})
		}
	}
}

// step lets 50 ms pass: messages arrive, and each process gets the requests of load, and a tick.
func (f *fleet) step(load func(i int)) {
	f.now += 50
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		if m.at > f.now {
			f.messages = append(f.messages, m)
			continue
		}
		switch content := m.content.(type) {
		case *LoadReport:
			f.do(m.to, ReportReceived{ID(m.from + 1), content})
		case *ShedDecisions:
			f.do(m.to, DecisionsReceived{ID(m.from + 1), content})
		}
	}
	for i := range f.all {
		load(i)
		f.do(i, Tick{})
	}
}

// servers simulates a group with a capacity; requests beyond it wait in a queue for at most 2000 ms.
type servers struct {
	f            *fleet
	capacity     float64   // requests a second
	demand       []float64 // requests a second, by process
	queue        []queuedRequest
	tokens       float64   // requests that the servers can serve now
	admittedRate float64   // moving average of about a second, in requests a second
	credit       []float64 // requests due, by process
	session      int
}

type queuedRequest struct {
	i, class int // i is the process
	at       float64
}

// newServers returns servers with a capacity and a demand, both in requests a second, the demand spread evenly over all processes.
func newServers(f *fleet, capacity, demand float64) *servers {
	s := &servers{f: f, capacity: capacity, credit: make([]float64, len(f.all))}
	for range f.all {
		s.demand = append(s.demand, demand/float64(len(f.all)))
	}
	return s
}

// admits reports whether a process admits a first attempt at position u of its cell.
func (s *servers) admits(i, class int, u float64) bool {
	shedding := s.f.shedding[i][3]
	return shedding == nil || float64(shedding.Cells[class][3])+u >= shedding.Level
}

// run simulates a number of steps.
func (s *servers) run(steps int) {
	for range steps {
		admitted := 0.0
		s.f.step(func(i int) {
			s.credit[i] += s.demand[i] / 20
			for ; s.credit[i] >= 1; s.credit[i]-- {
				s.session++
				class, u := s.session%3, math.Mod(float64(s.session)*0.618034, 1)
				ok := s.admits(i, class, u)
				s.f.do(i, RequestReceived{Group: 3, Class: class, Tenant: -1, Admitted: ok})
				if !ok {
					continue
				}
				admitted++
				s.queue = append(s.queue, queuedRequest{i, class, s.f.now})
			}
		})
		s.tokens = min(s.tokens+s.capacity/20, s.capacity/10)
		for len(s.queue) > 0 {
			request, age := s.queue[0], s.f.now-s.queue[0].at
			if age > 2000 {
				s.f.do(request.i, RequestEnded{Group: 3, Class: request.class, Strain: 1})
			} else if s.tokens < 1 {
				break
			} else {
				s.tokens--
				s.f.do(request.i, RequestEnded{Group: 3, Class: request.class, Served: true, Strain: max(0, min(1, (age/400-0.7)/0.3))})
			}
			s.queue = s.queue[1:]
		}
		s.admittedRate = 0.95*s.admittedRate + admitted
	}
}

// TestLevelFindsCapacity: with a demand of 1.5 times the capacity the admitted rate converges to the capacity, by the same level at every
// process, and the lowest priority is shed first. Once the demand has fallen, nothing is shed.
func TestLevelFindsCapacity(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	s := newServers(f, 400, 200)
	s.run(60)
	for i := range f.all {
		if f.shedding[i][3] != nil {
			t.Fatalf("at half of the capacity process %d sheds by level %g, want no shedding", i, f.shedding[i][3].Level)
		}
	}
	for i := range s.demand {
		s.demand[i] *= 3
	}
	s.run(400)
	if s.admittedRate < 300 || s.admittedRate > 460 {
		t.Errorf("%.0f of 600 requests a second are admitted, want 300 to 460 at a capacity of 400", s.admittedRate)
	}
	first := f.shedding[0][3]
	if first == nil {
		t.Fatal("nothing is shed at 1.5 times the capacity")
	}
	for i := range f.all {
		if p := f.shedding[i][3]; p == nil || math.Abs(p.Level-first.Level) > 0.5 {
			t.Errorf("process %d sheds by %+v, process 0 by %+v, want levels that differ by at most 0.5", i, p, first)
		}
	}
	if p := first; p.Cells[0][3] > p.Cells[1][3] || p.Cells[1][3] > p.Cells[2][3] || p.Cells[2][0] < p.Cells[1][3] || p.Cells[1][1] > p.Cells[0][3] {
		t.Errorf("the cells by class are %v, not in order of retries before first attempts and of priority", p.Cells)
	}
	for i := range s.demand {
		s.demand[i] /= 3
	}
	s.run(400)
	for i := range f.all {
		if p := f.shedding[i][3]; p != nil {
			t.Errorf("process %d still sheds by level %g after the demand has fallen, want no shedding", i, p.Level)
		}
	}
}

// TestByzantineReportsAreBounded: one pooler reports no load, or a thousand times its own. The admitted rate stays between 260 and 520
// requests a second at a capacity of 400.
func TestByzantineReportsAreBounded(t *testing.T) {
	for name, factor := range map[string]float64{"no load": 0, "1000 times its load": 1000} {
		f := newFleet(t, 8, Defaults())
		f.falsify = func(from int, m any) any {
			if x, ok := m.(*LoadReport); ok && from == 2 {
				c := *x
				c.Groups = slices.Clone(x.Groups)
				for i := range c.Groups {
					c.Groups[i].Classes = slices.Clone(c.Groups[i].Classes)
					for k := range c.Groups[i].Classes {
						l := &c.Groups[i].Classes[k]
						l.FirstAttempts, l.Admitted, l.Served, l.Ended, l.Strain = l.FirstAttempts*factor, l.Admitted*factor, l.Served*factor, l.Ended*factor, l.Strain*factor
					}
				}
				return &c
			}
			return m
		}
		s := newServers(f, 400, 600)
		s.run(500)
		if s.admittedRate < 260 || s.admittedRate > 520 {
			t.Errorf("with a report of %s %.0f requests a second are admitted, want 260 to 520 at a capacity of 400", name, s.admittedRate)
		}
	}
}

// TestIsolatedPoolerFadesItsLevel: a pooler that is cut off from all others sheds nothing by its old level after IsolationBound; the others
// are not affected.
func TestIsolatedPoolerFadesItsLevel(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	s := newServers(f, 400, 600)
	s.run(300)
	if f.shedding[0][3] == nil {
		t.Fatal("nothing is shed at 1.5 times the capacity")
	}
	f.cut = func(a, b int) bool { return (a == 0) != (b == 0) }
	settings := Defaults()
	s.run(int((settings.IsolationBound() + settings.StaleAfter) / 50))
	if p := f.shedding[0][3]; p != nil {
		t.Errorf("the isolated process still sheds by level %g after IsolationBound", p.Level)
	}
	if f.shedding[1][3] == nil {
		t.Error("process 1, which is not isolated, sheds nothing any more at 1.5 times the capacity")
	}
}

// TestStaleMessagesAreIgnored: messages older than StaleAfter do not count, and no pooler that is no collector itself sheds by them.
func TestStaleMessagesAreIgnored(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	f.delay = 3000
	s := newServers(f, 400, 600)
	s.run(300)
	for i := range f.all {
		if p := f.shedding[i][3]; p != nil && len(f.all[i].CollectorsOf(3)) > 0 && !slices.Contains(f.all[i].CollectorsOf(3), ID(i+1)) {
			t.Errorf("process %d sheds by level %g on stale messages, want no shedding", i, p.Level)
		}
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, up to rounding; malformed ones are errors.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := func(limit float64) float64 { return math.Round(rapid.Float64Range(0, limit).Draw(t, "x")*64) / 64 }
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
			t.Fatalf("decoding of a load report of %d bytes: %v", len(b), err)
		}
		if again := got.(*LoadReport).Append(nil); !bytes.Equal(b, again) {
			t.Fatalf("load report decoded as %+v, want %+v", got, m)
		}
		if n := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); n < len(b) {
			if _, err := Decode(b[:n]); err == nil {
				t.Fatalf("the first %d of %d bytes of a load report were decoded without an error", n, len(b))
			}
		}
		_, _ = Decode(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "noise"))
	})
}

// TestNoBudgetCountsAsHighest: a collector that sees no overload answers without a budget (0), which counts as the highest one. Otherwise a
// low budget from a byzantine collector would be the median between one that sees overload and one that does not.
func TestNoBudgetCountsAsHighest(t *testing.T) {
	for _, test := range []struct {
		name    string
		budgets []float64
		median  float64
	}{
		{"one sees overload, a byzantine one answers low", []float64{0, 16, 1}, 16},
		{"one sees overload, a byzantine one answers high", []float64{0, 16, 1001}, 1001},
		{"none sees overload, a byzantine one answers low", []float64{0, 0, 1}, 0},
		{"both see overload, a byzantine one answers low", []float64{15, 16, 1}, 15},
		{"one sees no overload, a byzantine one answers low", []float64{0, 1}, 0},
		{"one sees overload, a byzantine one answers low, no third one", []float64{16, 1}, 16},
	} {
		for first := range test.budgets { // the budgets arrive in each cyclic order
			f := newFleet(t, 8, Defaults())
			pooler := f.all[0]
			collectors := pooler.CollectorsOf(3)
			index := slices.IndexFunc(f.all, func(controller *Controller) bool { return !slices.Contains(collectors, controller.self) })
			pooler = f.all[index]
			f.do(index, RequestReceived{Group: 3, Class: 0, Tenant: -1, Admitted: true})
			for range 6 {
				f.now += 50
				f.do(index, Tick{})
			}
			for i := range test.budgets {
				i = (i + first) % len(test.budgets)
				level := 0.0
				if test.budgets[i] > 1 {
					level = 8
				}
				f.do(index, DecisionsReceived{collectors[i], &ShedDecisions{Sequence: pooler.sequence, CollectorTime: f.now, Order: []uint16{1, 2, 3}, Groups: []ShedDecision{{Group: 3, Level: level, Budget: test.budgets[i]}}}})
			}
			if got := pooler.Statuses()[0]; got.Answers != len(test.budgets) || got.Budget != test.median {
				t.Errorf("%s: of budgets %v, arriving from index %d on, %d answers count and the budget is %g, want %g", test.name, test.budgets, first, got.Answers, got.Budget, test.median)
			}
		}
	}
}

// TestByzantineCollectorIsOutvoted: a byzantine collector answers each report with a budget of 1 and no level, while one of the two others
// gets its messages up to 900 ms later and so sees overload later. The admitted rate stays near the capacity.
func TestByzantineCollectorIsOutvoted(t *testing.T) {
	for _, late := range []float64{0, 300, 600, 900} {
		f := newFleet(t, 8, Defaults())
		collectors := f.all[0].CollectorsOf(3)
		byzantine, slow := int(collectors[0])-1, int(collectors[1])-1
		f.falsify = func(from int, m any) any {
			x, ok := m.(*ShedDecisions)
			if !ok || from != byzantine {
				return m
			}
			c := *x
			c.Groups = slices.Clone(x.Groups)
			for i := range c.Groups {
				c.Groups[i].Level, c.Groups[i].Budget = 0, 1
			}
			return &c
		}
		f.extraDelay = func(to int) float64 {
			if to == slow {
				return late
			}
			return 0
		}
		s := newServers(f, 400, 200)
		s.run(60)
		for i := range s.demand {
			s.demand[i] *= 3
		}
		lowest := math.Inf(1)
		for step := range 400 {
			if s.run(1); step > 60 {
				lowest = min(lowest, s.admittedRate)
			}
		}
		if lowest < 260 {
			t.Errorf("with messages to a collector %g ms late the admitted rate fell to %.0f requests a second, want at least 260 at a capacity of 400", late, lowest)
		}
	}
}

// TestByzantinePoolerStartsNoBudget: one pooler reports a budget of 1 and a level of 8 while there is no overload. Nothing is shed.
func TestByzantinePoolerStartsNoBudget(t *testing.T) {
	f := newFleet(t, 8, Defaults())
	f.falsify = func(from int, m any) any {
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
			if p := f.shedding[i][3]; p != nil {
				t.Fatalf("process %d sheds by level %g, want no shedding at half of the capacity", i, p.Level)
			}
		}
	}
}
