package overload

import (
	"math"
	"strings"
	"testing"

	"beechgrade/internal/invariant"
)

// TestInvariantMutants: each statement is false of state that is broken on purpose, and of no other.
func TestInvariantMutants(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	newServers(f, 400, 600).run(200)
	if f.place[0][3] == nil {
		t.Fatal("nothing is shed")
	}
	for name, do := range map[string]func(o *Overload, g *group){
		"groups are in order":        func(o *Overload, g *group) { delete(o.groups, 3) },
		"what is kept is bounded":    func(o *Overload, g *group) { o.sent = make([]sent, remembered+1) },
		"peers that are gone":        func(o *Overload, g *group) { o.stamps[99] = stamp{1, 1} },
		"stands within the cells":    func(o *Overload, g *group) { g.level = 1e9 },
		"no level outlives":          func(o *Overload, g *group) { g.heldAt = o.now - o.set.Lonely() - 1 },
		"an answer is young":         func(o *Overload, g *group) { g.given = append(g.given, g.given[0]) },
		"rates are ones that can be": func(o *Overload, g *group) { g.rate[0].done = g.rate[0].ended + 1 },
		"a verdict is within":        func(o *Overload, g *group) { g.c.verdict = Verdict{Level: 1} },
		"one young tell is kept":     func(o *Overload, g *group) { g.tells = append(g.tells, g.tells[0]) },
		"what was put":               func(o *Overload, g *group) { o.box = append(o.box, Action{}) },
	} {
		o := f.all[0]
		kept, was, rate := *o, *o.groups[3], o.groups[3].rate[0]
		o.groups = map[int]*group{3: kept.groups[3]}
		do(o, kept.groups[3])
		held(t, name, o.walk)
		delete(o.stamps, 99)
		*o, *kept.groups[3], was.rate[0] = kept, was, rate
	}
	held(t, "", f.all[0].walk)

	w := newProbers(t, 4)
	who := 0
	for w.all[who].ProbersOf("s")[0] == ID(who+1) || w.all[who].ProbersOf("s")[1] == ID(who+1) {
		who++
	}
	p := w.all[who]
	for name, do := range map[string]func(s *server){
		"servers are in order":  func(s *server) { p.names = append(p.names, "a") },
		"longer than Shun":      func(s *server) { p.shunned[2] = p.now + 1e6 },
		"peers that are gone":   func(s *server) { s.askers, s.probing = []asker{{id: 99}}, true },
		"in line once":          func(s *server) { s.askers, s.probing = []asker{{id: 2}, {id: 2}}, true },
		"who waits is served":   func(s *server) { s.askers = []asker{{id: 2}} },
		"probes for itself":     func(s *server) { s.own = true },
		"each want has an end":  func(s *server) { s.until = math.Inf(1) },
		"of a probe that began": func(s *server) { s.foundAt = p.now },
	} {
		_ = p.Wanted(w.now, "s", nil)
		s := p.servers["s"]
		do(s)
		held(t, name, p.walk)
		*p = *NewProbes(DefaultProbes(), p.self, w.now)
		p.Members(ID(who+1), w.all[(who+1)%4].peers)
	}
	_ = p.Wanted(w.now, "s", nil)
	held(t, "", p.walk)
}

// held tells whether a walk finds the statement false that it should; "" for none.
func held(t *testing.T, want string, walk func(c *invariant.Checks)) {
	t.Helper()
	c, n, found := invariant.New(nil), 0, want == ""
	c.Walk(&n, 1, "walk", walk)
	for _, b := range c.Breaches() {
		if found = found || strings.Contains(b.Name, want); want == "" {
			t.Errorf("%v, of state that is sound", b)
		}
	}
	if !found {
		t.Errorf("%q: nobody saw it: %v", want, c.Breaches())
	}
}

// TestGoneForgotten: what was kept of processes that have gone for good goes too: a fleet that is rolled daily keeps no more than its own size.
func TestGoneForgotten(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	s := newServers(f, 400, 600)
	s.run(100)
	o := f.all[0]
	if len(o.stamps) < 2 {
		t.Fatalf("%d collectors answered", len(o.stamps))
	}
	f.do(0, Members{Self: 1, Peers: []Peer{{1, "a"}}})
	if len(o.stamps) > 1 {
		t.Errorf("stamps of %d are kept", len(o.stamps))
	}
}
