package outlier

import (
	"fmt"
	"slices"
	"testing"
)

// zones returns the same zone for n poolers.
func zones(zone string, n int) (out []string) {
	for range n {
		out = append(out, zone)
	}
	return out
}

// TestUnresponsiveServerIsEjectedByAll: a server takes requests and answers none, while its health checks succeed. All poolers eject it
// within SpreadBound of when the evidence suffices, and restore it once it answers.
func TestUnresponsiveServerIsEjectedByAll(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(2000, 400)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(workMs*(responseLimitWorks+sharedLimitWorks/2)+2*f.settings.ReportInterval+400, 400)
	if n := f.countEjecting("s1"); n != 8 {
		t.Fatalf("%d of 8 poolers eject s1, want all", n)
	}
	first, last := inf, 0.0
	for _, p := range f.poolers {
		first, last = min(first, p.ejectedAt["s1"]), max(last, p.ejectedAt["s1"])
		for _, e := range p.detector.Ejections() {
			if len(e.ReportedBy) != 2 || e.UntilMs > f.now+f.settings.EjectionTime || e.Reason == "" {
				t.Errorf("pooler %d has ejection %+v, want two observers, a reason, and an end within EjectionTime", p.id, e)
			}
		}
	}
	if spread := f.settings.SpreadBound(delayMs); last-first > spread {
		t.Errorf("%v ms between the first and the last ejection, want at most %v", last-first, spread)
	}
	f.advance(12000, 400) // longer than EjectionTime: the requests of testers without an answer renew the ejection
	if n := f.countEjecting("s1"); n != 8 {
		t.Errorf("%d of 8 poolers eject s1 12 s later, want all", n)
	}
	f.answers = func(*pooler, string) bool { return true }
	if f.advance(f.settings.RecoveryBound(8, 400, workMs, delayMs), 400); f.countEjecting("s1") > 0 {
		t.Errorf("%d poolers eject s1 though it answers again, want none", f.countEjecting("s1"))
	}
}

// TestTesterCountSendsToEjectedServer: one in four poolers, at least two and at most MaxTesters, still sends to an ejected server, and
// not always the same ones.
func TestTesterCountSendsToEjectedServer(t *testing.T) {
	settings := Defaults()
	for poolers, want := range map[int]int{2: 2, 8: 2, 11: 2, 12: 3, 30: 7, 32: 8, 300: 8} {
		if n := settings.TesterCount(poolers); n != want {
			t.Errorf("%d of %d poolers test, want %d", n, poolers, want)
		}
	}
	if settings.MaxTesters = 1; settings.TesterCount(8) != 1 || settings.TesterCount(300) != 1 {
		t.Errorf("with MaxTesters 1 %d of 8 poolers test, and %d of 300, want 1 each", settings.TesterCount(8), settings.TesterCount(300))
	}
	for _, poolers := range []int{8, 13} {
		f := newFleet(t, zones("a", poolers)...)
		f.answers = func(_ *pooler, s string) bool { return s != "s1" }
		f.advance(2000, 400)
		tested := map[ID]bool{}
		for range 8 {
			for f.advance(50, 400); int(f.now-f.poolers[0].detector.byName["s1"].ejection.since)%int(f.settings.TesterTurn) < 900; { // until the middle of a turn
				f.advance(50, 400)
			}
			n := 0
			for _, p := range f.poolers {
				if a := &p.detector.byName["s1"].ejection; a.active && a.testing {
					n, tested[p.id] = n+1, true
				}
			}
			if turn := int((f.now - f.poolers[0].detector.byName["s1"].ejection.since) / f.settings.TesterTurn); turn > 0 && n != f.settings.TesterCount(poolers) {
				t.Errorf("%d of %d poolers test s1 in turn %d, want %d", n, poolers, turn, f.settings.TesterCount(poolers))
			}
			f.advance(1200, 400)
		}
		if len(tested) < 3 {
			t.Errorf("only %v of %d poolers tested s1 in 8 turns, want at least 3", tested, poolers)
		}
	}
}

// TestEjectionEndsWithoutNewEvidence: an ejection ends EjectionTime after the last evidence.
func TestEjectionEndsWithoutNewEvidence(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	if f.countEjecting("s1") != 5 {
		t.Fatalf("%d of 5 poolers eject s1, want all", f.countEjecting("s1"))
	}
	if f.advance(f.settings.EjectionTime+2000, 0); f.countEjecting("s1") > 0 {
		t.Errorf("%d poolers still eject s1 after EjectionTime without new evidence, want none", f.countEjecting("s1"))
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
			t.Errorf("pooler %d of zone %s ejects s1: %v, want it to in zone a only", p.id, p.zone, p.ejects("s1"))
		}
	}
}

// TestPoolerWithoutLinksEjectsForNobodyElse: a pooler that reaches no server causes no ejection at the others, and LocallyUnreachable shows
// that its own links fail.
func TestPoolerWithoutLinksEjectsForNobodyElse(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.advance(1000, 300)
	f.answers = func(p *pooler, _ string) bool { return p.id != 2 }
	f.advance(5000, 300)
	for _, s := range f.servers {
		if n := f.countEjecting(s.Name); n > 0 {
			t.Errorf("%d poolers eject %s, want none", n, s.Name)
		}
	}
	p := f.poolers[1]
	p.do(ServersDown{Servers: []string{"s0", "s1", "s2", "s3"}})
	if n := p.detector.LocallyUnreachable(); n != 4 {
		t.Errorf("%d servers count as locally unreachable, want 4", n)
	}
}

// TestByzantinePoolerIsOutvoted: a pooler that reports, as observer and collector, that all servers are unresponsive, that a replica is
// primary, and positions from the future changes nothing for the others.
func TestByzantinePoolerIsOutvoted(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.advance(1000, 300)
	byzantine := f.poolers[0]
	for range 60 {
		for _, s := range f.servers {
			server := f.poolers[1].detector.byName[s.Name]
			observations := &Observations{Sequence: uint32(f.now), Items: []Observation{{Key: server.key, Answered: -1, Unanswered: 200, FirstUnanswered: 5000, LastUnanswered: 10, Work: 1, Report: ServerReport{RolePrimary, f.now + 5000}}}}
			assessments := &Assessments{Sequence: uint32(f.now), Items: []Assessment{{Key: server.key, Unhealthy: true, AllZones: true, FirstUnanswered: 5000, LastUnanswered: 10, Observers: []ID{2, 3}, Report: ServerReport{RolePrimary, f.now + 5000}}}}
			for _, p := range f.poolers[1:] {
				p.do(Received{From: byzantine.id, Message: observations})
				p.do(Received{From: byzantine.id, Message: assessments})
			}
		}
		f.advance(50, 300)
	}
	for _, p := range f.poolers[1:] {
		for _, s := range f.servers {
			if p.ejects(s.Name) {
				t.Errorf("pooler %d ejects %s on the false reports of one pooler, want no ejection", p.id, s.Name)
			}
			if report := p.learned[fmt.Sprint(s.Name, RolePrimary)]; report.Position > f.now || report.Role == RolePrimary && !f.primaries[s.Name] {
				t.Errorf("pooler %d learned a false report of %s as primary: %+v", p.id, s.Name, report)
			}
			if report := p.learned[fmt.Sprint(s.Name, RoleUnknown)]; report.Position > f.now {
				t.Errorf("pooler %d learned position %v of %s at time %v, from the future", p.id, report.Position, s.Name, f.now)
			}
		}
	}
	if i := slices.IndexFunc(f.poolers[1:], func(p *pooler) bool { return p.detector.distrustedUntil[byzantine.id] > f.now }); i < 0 {
		t.Error("no pooler distrusts the byzantine one")
	}
}

// TestFalseAnswersDelayEjectionBriefly: a pooler that alone keeps reporting answers of an unresponsive server is distrusted, and the others
// eject the server within 6 s.
func TestFalseAnswersDelayEjectionBriefly(t *testing.T) {
	f := newFleet(t, zones("a", 7)...)
	f.advance(1000, 300)
	f.answers = func(p *pooler, s string) bool { return p.id == 1 || s != "s1" }
	f.advance(6000, 300)
	if n := f.countEjecting("s1"); n != 6 {
		t.Errorf("%d of 6 poolers eject s1, want all", n)
	}
	if f.poolers[0].ejects("s1") {
		t.Error("pooler 1 ejects s1 though it gets answers") // own evidence overrules that of others
	}
}

// TestPartitionedSidesConvergeAfterHealing: during a partition a server is unresponsive for one side alone. After the partition all poolers
// agree, with at most twice the usual number of messages.
func TestPartitionedSidesConvergeAfterHealing(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(1000, 300)
	side := func(p *pooler) bool { return p.id <= 4 }
	f.cut = func(from, to *pooler) bool { return side(from) != side(to) }
	f.answers = func(p *pooler, s string) bool { return !side(p) || s != "s1" }
	f.advance(5000, 300)
	for _, p := range f.poolers[4:] {
		if p.ejects("s1") {
			t.Errorf("pooler %d ejects s1 though it gets answers", p.id)
		}
	}
	before := f.sent
	f.advance(2000, 300)
	usual := f.sent - before
	f.cut, f.answers, before = func(_, _ *pooler) bool { return false }, func(*pooler, string) bool { return true }, f.sent
	f.advance(2000, 300)
	if sent := f.sent - before; sent > 2*usual {
		t.Errorf("%d messages in 2 s after the partition, want at most twice the %d before its end", sent, usual)
	}
	if f.advance(f.settings.RecoveryBound(8, 300, workMs, delayMs), 300); f.countEjecting("s1") > 0 {
		t.Errorf("%d poolers eject s1 after the partition, want none", f.countEjecting("s1"))
	}
}

// TestEjectionSpreadsAfterPartition: during a partition one side ejects a server, and the other has no requests for it. After the partition
// all poolers eject the server within CatchUpBound.
func TestEjectionSpreadsAfterPartition(t *testing.T) {
	f := newFleet(t, zones("a", 8)...)
	f.advance(1000, 300)
	side := func(p *pooler) bool { return p.id <= 4 }
	f.cut = func(from, to *pooler) bool { return side(from) != side(to) }
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	for _, p := range f.poolers[4:] {
		p.idle = true
	}
	f.advance(5000, 300)
	f.cut = func(_, _ *pooler) bool { return false }
	if f.advance(f.settings.CatchUpBound(delayMs), 300); f.countEjecting("s1") < 8 {
		t.Errorf("%d of 8 poolers eject s1 %v ms after the partition, want all", f.countEjecting("s1"), f.settings.CatchUpBound(delayMs))
	}
}

// TestEvidenceOfOldServerProcessIsIgnored: evidence about a server's old process does not count for its new one, even if it arrives
// later.
func TestEvidenceOfOldServerProcessIsIgnored(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	if f.countEjecting("s1") != 5 {
		t.Fatalf("%d of 5 poolers eject s1, want all", f.countEjecting("s1"))
	}
	f.answers = func(*pooler, string) bool { return true }
	f.servers[1].Start = f.now
	for i, p := range f.poolers {
		if i > 0 {
			p.do(ServersListed{Servers: f.servers})
		}
	}
	if n := f.countEjecting("s1"); n != 1 { // pooler 0 has the old list; the others end the ejection at once
		t.Errorf("%d poolers eject s1 after its restart is listed at all but one, want 1", n)
	}
	f.poolers[0].do(Tick{}) // it still has the old list, and reports its evidence about the old process
	if f.advance(300, 300); f.countEjecting("s1") > 1 {
		t.Errorf("%d poolers eject s1 on evidence about its old process, want at most the one with the old list", f.countEjecting("s1"))
	}
}

// TestNewPrimaryIsLearnedByAll: one pooler observes a new primary first. All learn it within two transit times and a health check, as of
// when the server reported it.
func TestNewPrimaryIsLearnedByAll(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	f.advance(2000, 300)
	f.primaries = map[string]bool{"s2": true, "s4": true}
	observedAt := f.now
	f.poolers[3].do(HealthChecked{Server: "s2", OK: true, Report: f.reportOf("s2")})
	f.advance(5*delayMs, 0)
	for _, p := range f.poolers {
		learned, old := p.learned[fmt.Sprint("s2", RolePrimary)], p.learned[fmt.Sprint("s0", RolePrimary)]
		if learned.Position < observedAt || learned.Position > f.now || learned.Position <= old.Position {
			t.Errorf("pooler %d learned %+v of the new primary and %+v of the old one, want the new one newer and from %v on", p.id, learned, old, observedAt)
		}
	}
}

// TestPositionsCountFromServerReport: positions count from when servers reported them, wherever they arrive, and stale ones are not sent.
func TestPositionsCountFromServerReport(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.poolers[0].idle = true
	f.advance(2000, 300)
	p := f.poolers[0]
	for _, s := range f.servers {
		report := p.learned[fmt.Sprint(s.Name, RoleUnknown)]
		if age := f.now - report.Position; age < 40 && !f.primaries[s.Name] || age > 1000 {
			t.Errorf("the position of %s is %v ms old, want at least 40 for a replica and at most 1000", s.Name, age)
		}
	}
	before := p.learned["s1Unsaid"]
	if f.advance(3000, 0); p.learned["s1Unsaid"].Position > before.Position+200 {
		t.Errorf("the position of s1 moved by %v without requests, want at most 200", p.learned["s1Unsaid"].Position-before.Position)
	}
}

// TestPausedPoolerDropsOpenAttempts: two poolers are paused for 5 s with open attempts. They do not report these as unanswered, so that no
// pooler ejects a server.
func TestPausedPoolerDropsOpenAttempts(t *testing.T) {
	f := newFleet(t, zones("a", 4)...)
	f.advance(1000, 300)
	first, second := f.poolers[0], f.poolers[1]
	for _, p := range []*pooler{first, second} {
		for range 5 {
			p.send("s1")
		}
		p.pausedUntil = f.now + 5000
	}
	f.advance(5600, 0) // without requests, so that no answer contradicts
	for _, s := range f.servers {
		if n := f.countEjecting(s.Name); n > 0 {
			t.Errorf("%d poolers eject %s, want none", n, s.Name)
		}
	}
}

// TestPausedPoolerCatchesUp: a pooler that ejects a server is paused for 5 s, while that server recovers and another becomes
// unresponsive. It applies what the others apply within CatchUpBound.
func TestPausedPoolerCatchesUp(t *testing.T) {
	f := newFleet(t, zones("a", 6)...)
	unresponsive := "s1"
	f.answers = func(_ *pooler, s string) bool { return s != unresponsive }
	f.advance(2000, 300)
	p := f.poolers[5]
	if !p.ejects("s1") {
		t.Fatal("pooler 6 does not eject s1, which does not answer")
	}
	p.pausedUntil, unresponsive = f.now+5000, "s5"
	f.advance(5000, 300)
	if f.countEjecting("s1") != 1 || f.countEjecting("s5") != 5 {
		t.Fatalf("%d poolers eject s1, which answers again, want the paused one only; %d eject s5, which does not answer, want 5", f.countEjecting("s1"), f.countEjecting("s5"))
	}
	if f.advance(f.settings.CatchUpBound(delayMs), 300); p.ejects("s1") || !p.ejects("s5") {
		t.Errorf("%v ms after its pause the pooler ejects %v, want s5 only", f.settings.CatchUpBound(delayMs), p.detector.Ejections())
	}
}

// TestEvidenceSurvivesRestartOfOthers: all poolers restart except one that has evidence against an unresponsive server. Its evidence counts
// as that of one observer: all eject the server soon after the first request of another pooler, within the bound of the package comment.
// If that pooler restarts too, it takes longer.
func TestEvidenceSurvivesRestartOfOthers(t *testing.T) {
	ejectionTime := func(keepOne bool) float64 {
		f := newFleet(t, zones("a", 6)...)
		f.advance(1000, 300)
		f.answers = func(_ *pooler, s string) bool { return s != "s1" }
		f.advance(3000, 300)
		for i, p := range f.poolers {
			if i > 0 || !keepOne {
				p.id += 100
			}
		}
		for i, p := range f.poolers {
			if i > 0 || !keepOne {
				p.start()
				continue
			}
			m := MembersChanged{Self: p.id}
			for _, o := range f.poolers {
				m.Peers = append(m.Peers, Peer{ID: o.id, Addr: fmt.Sprint(o.id), Zone: o.zone})
			}
			p.do(m)
		}
		f.messages = nil
		firstSent := 0.0
		for end := f.now + 4000; f.now < end && f.countEjecting("s1") < 6; f.advance(5, 300) {
			for _, p := range f.poolers[1:] {
				for _, a := range p.open {
					if a.server == "s1" && (firstSent == 0 || a.at < firstSent) {
						firstSent = a.at
					}
				}
			}
		}
		return f.now - firstSent
	}
	tick := Defaults().TickInterval
	bound := reportAfterWorks*workMs + (&Settings{ReportInterval: Defaults().ReportInterval, TickInterval: tick}).SpreadBound(delayMs) + tick
	if with := ejectionTime(true); with > bound {
		t.Errorf("%v ms until all poolers eject s1, want at most %v", with, bound)
	}
	if without := ejectionTime(false); without <= bound {
		t.Errorf("%v ms until all poolers eject s1 without earlier evidence, want more than the %v with it", without, bound)
	}
}

// TestStateSurvivesRestartOfOthers: all poolers restart except one. All learn the primary from it within CatchUpBound, without requests of
// their own.
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
	f.messages = nil
	f.advance(f.settings.CatchUpBound(delayMs), 0)
	for _, p := range f.poolers[1:] {
		if p.learned["s0Leads"] == (ServerReport{}) && p.learned[fmt.Sprint("s0", RolePrimary)] == (ServerReport{}) {
			t.Errorf("pooler %d learned no report of s0 as primary within CatchUpBound of its restart", p.id)
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
		if n := len(p.detector.Ejections()); n != f.settings.MaxEjected(4) {
			t.Errorf("pooler %d ejects %d of 4 servers, want %d", p.id, n, f.settings.MaxEjected(4))
		}
	}
	p := f.poolers[0]
	p.do(ServersDown{Servers: []string{"s0", "s1", "s2", "s3"}}) // its own module has marked all of them down
	if p.do(Tick{}); len(p.detector.Ejections()) > 0 {
		t.Errorf("shared evidence ejects %+v though all servers of the group are down, want none", p.detector.Ejections())
	}
}

// TestEjectionsShrinkWithTheGroup: two of a group of four are ejected. When the list drops one of the others, only one of three stays
// ejected.
func TestEjectionsShrinkWithTheGroup(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" && s != "s2" }
	f.advance(3000, 300)
	p := f.poolers[0]
	if n := len(p.detector.Ejections()); n != 2 {
		t.Fatalf("%d of 4 servers are ejected, want 2", n)
	}
	f.servers = slices.Delete(f.servers, 3, 4)
	if p.do(ServersListed{Servers: f.servers}); len(p.detector.Ejections()) != 1 {
		t.Errorf("%d of 3 servers are ejected, want 1", len(p.detector.Ejections()))
	}
}

// TestIsolatedPoolerForgetsAssessments: a pooler that receives nothing applies what it received for IsolationBound at most.
func TestIsolatedPoolerForgetsAssessments(t *testing.T) {
	f := newFleet(t, zones("a", 5)...)
	f.answers = func(_ *pooler, s string) bool { return s != "s1" }
	f.advance(2000, 300)
	p := f.poolers[0]
	f.cut = func(from, to *pooler) bool { return from == p || to == p }
	p.idle = true
	if f.advance(f.settings.IsolationBound()+f.settings.TickInterval, 300); p.ejects("s1") {
		t.Error("the isolated pooler still ejects s1 after IsolationBound")
	}
	if f.countEjecting("s1") < 4 {
		t.Errorf("%d poolers eject s1, want at least the 4 that are not isolated", f.countEjecting("s1"))
	}
}
