package outlier

import (
	"fmt"
	"slices"
	"testing"
)

func zones(z string, n int) (out []string) {
	for range n {
		out = append(out, z)
	}
	return out
}

// TestUnresponsiveServerIsEjectedByAll: a server takes requests and answers none, while its health checks succeed. All poolers eject it
// within SpreadBound of when the evidence suffices, and restore it once it answers.
func TestUnresponsiveServerIsEjectedByAll(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(2000, 400)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(workMs*(silentWorks+silentSharedWorks/2)+2*f.set.ReportInterval+400, 400)
	if n := f.countEjecting("s1"); n != 8 {
		t.Fatalf("%d of 8 avoid it", n)
	}
	first, last := inf, 0.0
	for _, p := range f.poolers {
		first, last = min(first, p.since["s1"]), max(last, p.since["s1"])
		for _, s := range p.v.Ejections() {
			if len(s.ReportedBy) != 2 || s.UntilMs > f.now+f.set.EjectionTime || s.Reason == "" {
				t.Errorf("%+v", s)
			}
		}
	}
	if spread := f.set.SpreadBound(wayMs); last-first > spread {
		t.Errorf("%v ms between the first and the last, of %v", last-first, spread)
	}
	f.advance(12000, 400) // its testers find it deaf: longer than a verdict stands by itself
	if n := f.countEjecting("s1"); n != 8 {
		t.Errorf("%d of 8 avoid it later", n)
	}
	f.answers = func(*pooler, string) bool { return true }
	if f.advance(f.set.RecoveryBound(8, 400, workMs, wayMs), 400); f.countEjecting("s1") > 0 {
		t.Errorf("%d avoid it though it answers", f.countEjecting("s1"))
	}
}

// TestTesterCountSendsToEjectedServer: one in four poolers, at least two and at most MaxTesters, still sends to an ejected server, and
// not always the same ones.
func TestTesterCountSendsToEjectedServer(t *testing.T) {
	set := Defaults()
	for poolers, want := range map[int]int{2: 2, 8: 2, 11: 2, 12: 3, 30: 7, 32: 8, 300: 8} {
		if n := set.TesterCount(poolers); n != want {
			t.Errorf("%d of %d poolers try, not %d", n, poolers, want)
		}
	}
	if set.MaxTesters = 1; set.TesterCount(8) != 1 || set.TesterCount(300) != 1 {
		t.Error("more try than the settings allow")
	}
	for _, poolers := range []int{8, 13} {
		f := newFleet(t, zones("a", poolers)...)
		f.answers = func(_ *pooler, s string) bool { return s != "s1" }
		f.advance(2000, 400)
		had := map[ID]bool{}
		for range 8 {
			for f.advance(50, 400); int(f.now-f.poolers[0].v.byName["s1"].ejection.since)%int(f.set.TesterTurn) < 900; { // to the middle of a turn
				f.advance(50, 400)
			}
			n := 0
			for _, p := range f.poolers {
				if a := &p.v.byName["s1"].ejection; a.active && a.testing {
					n, had[p.id] = n+1, true
				}
			}
			if round := int((f.now - f.poolers[0].v.byName["s1"].ejection.since) / f.set.TesterTurn); round > 0 && n != f.set.TesterCount(poolers) {
				t.Errorf("%d of %d poolers try it in round %d", n, poolers, round)
			}
			f.advance(1200, 400)
		}
		if len(had) < 3 {
			t.Errorf("always the same of %d poolers try it: %v", poolers, had)
		}
	}
}

// TestEjectionEndsWithoutNewEvidence: an ejection ends EjectionTime after the last evidence.
func TestEjectionEndsWithoutNewEvidence(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	if f.countEjecting("s1") != 5 {
		t.Fatal("nobody avoids it")
	}
	if f.advance(f.set.EjectionTime+2000, 0); f.countEjecting("s1") > 0 {
		t.Error("it has no end")
	}
}

// TestServerUnreachableFromOneZone: a server that cannot be reached from one zone is ejected there, and used in the other zone.
func TestServerUnreachableFromOneZone(t *testing.T) {
	f := newFleet(t, "a", "a", "a", "b", "b", "b")
	f.advance(1000, 300)
	f.answers = func(p *pooler, s string) bool { return p.zone == "b" || s != "s1" }
	f.advance(4000, 300)
	for _, p := range f.poolers {
		if p.ejects("s1") != (p.zone == "a") {
			t.Errorf("%d of zone %s: %v", p.id, p.zone, p.ejects("s1"))
		}
	}
}

// TestPoolerWithoutLinksEjectsForNobodyElse: a pooler that reaches no server ejects none for others, and can tell that its own links
// fail.
func TestPoolerWithoutLinksEjectsForNobodyElse(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.advance(1000, 300)
	f.answers = func(p *pooler, _ string) bool { return p.id != 2 }
	f.advance(5000, 300)
	for _, s := range f.servers {
		if n := f.countEjecting(s.Name); n > 0 {
			t.Errorf("%d avoid %s", n, s.Name)
		}
	}
	p := f.poolers[1]
	p.do(ServersDown{Servers: []string{"s0", "s1", "s2", "s3"}})
	if n := p.v.LocallyUnreachable(); n != 4 {
		t.Errorf("it thinks that it is itself for %d of 4", n)
	}
}

// TestByzantinePoolerIsOutvoted: a pooler that reports, as observer and collector, that all servers are unresponsive, that a replica is
// primary, and positions from the future changes nothing for the others.
func TestByzantinePoolerIsOutvoted(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.advance(1000, 300)
	liar := f.poolers[0]
	for range 60 {
		for _, s := range f.servers {
			x := f.poolers[1].v.byName[s.Name]
			tell := &Observations{Sequence: uint32(f.now), Items: []Observation{{Key: x.key, Answered: -1, Unanswered: 200, FirstUnanswered: 5000, LastUnanswered: 10, Work: 1, Report: ServerReport{RolePrimary, f.now + 5000}}}}
			word := &Assessments{Sequence: uint32(f.now), Items: []Assessment{{Key: x.key, Unhealthy: true, AllZones: true, FirstUnanswered: 5000, LastUnanswered: 10, Observers: []ID{2, 3}, Report: ServerReport{RolePrimary, f.now + 5000}}}}
			for _, p := range f.poolers[1:] {
				p.do(Received{From: liar.id, Message: tell})
				p.do(Received{From: liar.id, Message: word})
			}
		}
		f.advance(50, 300)
	}
	for _, p := range f.poolers[1:] {
		for _, s := range f.servers {
			if p.ejects(s.Name) {
				t.Errorf("%d avoids %s", p.id, s.Name)
			}
			if at := p.knows[fmt.Sprint(s.Name, RolePrimary)]; at.Position > f.now || at.Role == RolePrimary && !f.leads[s.Name] {
				t.Errorf("%d takes it that %s leads: %+v", p.id, s.Name, at)
			}
			if at := p.knows[fmt.Sprint(s.Name, RoleUnknown)]; at.Position > f.now {
				t.Errorf("%d takes it that %s is at %v of %v", p.id, s.Name, at.Position, f.now)
			}
		}
	}
	if i := slices.IndexFunc(f.poolers[1:], func(p *pooler) bool { return p.v.distrustedUntil[liar.id] > f.now }); i < 0 {
		t.Error("its words count on")
	}
}

// TestFalseAnswersDelayEjectionBriefly: a pooler that keeps reporting answers of an unresponsive server is distrusted, and the others
// eject the server soon.
func TestFalseAnswersDelayEjectionBriefly(t *testing.T) {
	f := newFleet(t, zones("a", 7)...)
	f.advance(1000, 300)
	f.answers = func(p *pooler, s string) bool { return p.id == 1 || s != "s1" }
	f.advance(6000, 300)
	if n := f.countEjecting("s1"); n != 6 {
		t.Errorf("%d of 6 avoid it", n)
	}
	if f.poolers[0].ejects("s1") {
		t.Error("one avoids it that has its answers") // own evidence stands above others'
	}
}

// TestPartitionedSidesConvergeAfterHealing: during a partition a server is unresponsive for one side alone. After it all poolers agree,
// without a flood of messages.
func TestPartitionedSidesConvergeAfterHealing(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(1000, 300)
	side := func(p *pooler) bool { return p.id <= 4 }
	f.cut = func(from, to *pooler) bool { return side(from) != side(to) }
	f.answers = func(p *pooler, s string) bool { return !side(p) || s != "s1" }
	f.advance(5000, 300)
	for _, p := range f.poolers[4:] {
		if p.ejects("s1") {
			t.Errorf("%d avoids a server that answers it", p.id)
		}
	}
	before := f.sent
	f.advance(2000, 300)
	usual := f.sent - before
	f.cut, f.answers, before = func(_, _ *pooler) bool { return false }, func(*pooler, string) bool { return true }, f.sent
	f.advance(2000, 300)
	if sent := f.sent - before; sent > 2*usual {
		t.Errorf("%d messages after the heal, %d before", sent, usual)
	}
	if f.advance(f.set.RecoveryBound(8, 300, workMs, wayMs), 300); f.countEjecting("s1") > 0 {
		t.Errorf("%d avoid it after the heal", f.countEjecting("s1"))
	}
}

// TestEjectionSpreadsAfterPartition: during a partition one side ejects a server, and the other has no requests for it. After it all
// poolers eject the server within CatchUpBound.
func TestEjectionSpreadsAfterPartition(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(1000, 300)
	side := func(p *pooler) bool { return p.id <= 4 }
	f.cut = func(from, to *pooler) bool { return side(from) != side(to) }
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	for _, p := range f.poolers[4:] {
		p.deaf = true
	}
	f.advance(5000, 300)
	f.cut = func(_, _ *pooler) bool { return false }
	if f.advance(f.set.CatchUpBound(wayMs), 300); f.countEjecting("s1") < 8 {
		t.Errorf("%d of 8 avoid it %v ms after the heal", f.countEjecting("s1"), f.set.CatchUpBound(wayMs))
	}
}

// TestEvidenceOfOldServerProcessIsIgnored: evidence about a server's old process does not count for its new one, even if it arrives
// later.
func TestEvidenceOfOldServerProcessIsIgnored(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	if f.countEjecting("s1") != 5 {
		t.Fatal("nobody avoids it")
	}
	f.answers = func(*pooler, string) bool { return true }
	f.servers[1].Start = f.now
	for i, p := range f.poolers {
		if i > 0 {
			p.do(ServersListed{Servers: f.servers})
		}
	}
	if n := f.countEjecting("s1"); n != 1 { // that has the old list: at once, as stated
		t.Errorf("%d avoid the new process", n)
	}
	f.poolers[0].do(Tick{}) // it has the old list yet, and tells what it has of the old process
	if f.advance(300, 300); f.countEjecting("s1") > 1 {
		t.Errorf("%d avoid the new process by an old word", f.countEjecting("s1"))
	}
}

// TestNewPrimaryIsLearnedByAll: one pooler observes a new primary first. All learn it within two transit times and a health check, as of
// when the server reported it.
func TestNewPrimaryIsLearnedByAll(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.advance(2000, 300)
	f.leads = map[string]bool{"s2": true, "s4": true}
	seen := f.now
	f.poolers[3].do(HealthChecked{Server: "s2", OK: true, Report: f.reportOf("s2")})
	f.advance(5*wayMs, 0)
	for _, p := range f.poolers {
		got, old := p.knows[fmt.Sprint("s2", RolePrimary)], p.knows[fmt.Sprint("s0", RolePrimary)]
		if got.Position < seen || got.Position > f.now || got.Position <= old.Position {
			t.Errorf("%d: %+v, of the old one %+v, of %v", p.id, got, old, seen)
		}
	}
}

// TestPositionsCountFromServerReport: positions count from when servers reported them, wherever they arrive, and stale ones are not sent.
func TestPositionsCountFromServerReport(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.poolers[0].deaf = true
	f.advance(2000, 300)
	p := f.poolers[0]
	for _, s := range f.servers {
		at := p.knows[fmt.Sprint(s.Name, RoleUnknown)]
		if age := f.now - at.Position; age < 40 && !f.leads[s.Name] || age > 1000 {
			t.Errorf("%s: %v ms old", s.Name, age)
		}
	}
	had := p.knows["s1Unsaid"]
	if f.advance(3000, 0); p.knows["s1Unsaid"].Position > had.Position+200 {
		t.Errorf("its position moved by %v with nobody asking", p.knows["s1Unsaid"].Position-had.Position)
	}
}

// TestPausedPoolerDropsOpenAttempts: a pooler that was paused for 5 s with open attempts misleads nobody, and drops old assessments.
func TestPausedPoolerDropsOpenAttempts(t *testing.T) {
	f := newFleet(t, zones("a", 4)...)
	f.advance(1000, 300)
	a, b := f.poolers[0], f.poolers[1]
	for _, p := range []*pooler{a, b} {
		for range 5 {
			p.ask("s1")
		}
		p.stands = f.now + 5000
	}
	f.advance(5600, 0) // nobody else asks, so nobody contradicts
	for _, s := range f.servers {
		if n := f.countEjecting(s.Name); n > 0 {
			t.Errorf("%d avoid %s", n, s.Name)
		}
	}
}

// TestPausedPoolerCatchesUp: a pooler that ejects a server is paused for 5 s, while that server recovers and another becomes
// unresponsive. It applies what the others apply within CatchUpBound.
func TestPausedPoolerCatchesUp(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	bad := "s1"
	f.answers = func(_ *pooler, s string) bool { return s != bad }
	f.advance(2000, 300)
	p := f.poolers[5]
	if !p.ejects("s1") {
		t.Fatal("it avoids nothing")
	}
	p.stands, bad = f.now+5000, "s5"
	f.advance(5000, 300)
	if f.countEjecting("s1") != 1 || f.countEjecting("s5") != 5 {
		t.Fatalf("%d avoid the one that answers again, %d the one that is silent now", f.countEjecting("s1"), f.countEjecting("s5"))
	}
	if f.advance(f.set.CatchUpBound(wayMs), 300); p.ejects("s1") || !p.ejects("s5") {
		t.Errorf("%v ms after it woke it avoids %v", f.set.CatchUpBound(wayMs), p.v.Ejections())
	}
}

// TestEvidenceSurvivesRestartOfOthers: all poolers restart except one that has evidence against an unresponsive server. Its evidence
// counts: all eject the server within the stated time of the first request of another pooler.
func TestEvidenceSurvivesRestartOfOthers(t *testing.T) {
	took := func(seeded bool) float64 {
		f := newFleet(t, zones("a", 6)...)
		f.advance(1000, 300)
		f.answers = func(_ *pooler, s string) bool { return s != "s1" }
		f.advance(3000, 300)
		for i, p := range f.poolers {
			if i > 0 || !seeded {
				p.id += 100
			}
		}
		for i, p := range f.poolers {
			if i > 0 || !seeded {
				p.start()
				continue
			}
			m := MembersChanged{Self: p.id}
			for _, o := range f.poolers {
				m.Peers = append(m.Peers, Peer{ID: o.id, Addr: fmt.Sprint(o.id), Zone: o.zone})
			}
			p.do(m)
		}
		f.mail = nil
		first := 0.0
		for end := f.now + 4000; f.now < end && f.countEjecting("s1") < 6; f.advance(5, 300) {
			for _, p := range f.poolers[1:] {
				for _, a := range p.open {
					if a.server == "s1" && (first == 0 || a.at < first) {
						first = a.at
					}
				}
			}
		}
		return f.now - first
	}
	step := Defaults().TickInterval
	bound := reportAfterWorks*workMs + (&Settings{ReportInterval: Defaults().ReportInterval, TickInterval: step}).SpreadBound(wayMs) + step
	if with := took(true); with > bound {
		t.Errorf("%v ms until all avoid it, of %v", with, bound)
	}
	if without := took(false); without <= bound {
		t.Errorf("%v ms with nothing that anybody knew, no more than the %v with it", without, bound)
	}
}

// TestStateSurvivesRestartOfOthers: all poolers restart except one. All learn the primary from it, and two observers suffice for an
// unresponsive server.
func TestStateSurvivesRestartOfOthers(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.advance(2000, 300)
	for _, p := range f.poolers[1:] {
		p.id += 100
	}
	for _, p := range f.poolers {
		if p == f.poolers[0] {
			m := MembersChanged{Self: p.id}
			for _, o := range f.poolers {
				m.Peers = append(m.Peers, Peer{ID: o.id, Addr: fmt.Sprint(o.id), Zone: o.zone})
			}
			p.do(m)
		} else {
			p.start()
		}
	}
	f.mail = nil
	f.advance(f.set.CatchUpBound(wayMs), 0)
	for _, p := range f.poolers[1:] {
		if p.knows["s0Leads"] == (ServerReport{}) && p.knows[fmt.Sprint("s0", RolePrimary)] == (ServerReport{}) {
			t.Errorf("%d does not know who leads", p.id)
		}
	}
}

// TestNeverEjectsMoreThanMaxEjected: where all members of a group are unresponsive, shared evidence ejects no more than MaxEjected, and
// never the last one.
func TestNeverEjectsMoreThanMaxEjected(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.answers = func(_ *pooler, s string) bool { return s >= "s4" }
	f.advance(6000, 300)
	for _, p := range f.poolers {
		if n := len(p.v.Ejections()); n != f.set.MaxEjected(4) {
			t.Errorf("%d avoids %d, of %d at most", p.id, n, f.set.MaxEjected(4))
		}
	}
	p := f.poolers[0]
	p.do(ServersDown{Servers: []string{"s0", "s1", "s2", "s3"}}) // its own module has all of them down
	if p.do(Tick{}); len(p.v.Ejections()) > 0 {
		t.Error("words take the last")
	}
}

// TestEjectionsShrinkWithTheGroup: two of a group of four are ejected. When the list drops one of the others, only one of three stays
// ejected.
func TestEjectionsShrinkWithTheGroup(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" && s != "s2" }
	f.advance(3000, 300)
	p := f.poolers[0]
	if n := len(p.v.Ejections()); n != 2 {
		t.Fatalf("%d are avoided", n)
	}
	f.servers = slices.Delete(f.servers, 3, 4)
	if p.do(ServersListed{Servers: f.servers}); len(p.v.Ejections()) != 1 {
		t.Errorf("words take %d of three", len(p.v.Ejections()))
	}
}

// TestIsolatedPoolerForgetsAssessments: a pooler that receives nothing applies what it received for IsolationBound at most.
func TestIsolatedPoolerForgetsAssessments(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	p := f.poolers[0]
	f.cut = func(from, to *pooler) bool { return from == p || to == p }
	p.deaf = true
	if f.advance(f.set.IsolationBound()+f.set.TickInterval, 300); p.ejects("s1") {
		t.Error("it goes on avoiding")
	}
	if f.countEjecting("s1") < 4 {
		t.Error("the others do not")
	}
}
