package decide

import (
	"fmt"
	"testing"
)

// leads is what a server says of itself that is the primary.
func leads(at Time) Report { return Report{Role: RolePrimary, Position: at, HasPosition: true} }

// TestAnswersReadLateAreAsOldAsTheyAre: a router stood still, and the primary was replaced meanwhile. What the old one said before that waits in the
// process's sockets and is read after the first request that comes: it is as old as it is, not news.
func TestAnswersReadLateAreAsOldAsTheyAre(t *testing.T) {
	for _, class := range []int{cBounded, cSession} {
		g := trio(t, nil)
		g.now += 400 * ms
		g.ask("old", cWrite)
		g.wantSend(g.out, "old", "p")
		g.now += 10 * ms
		probed := g.r.servers["p"]
		probed.probing, probed.probeAt = true, g.now
		said := g.now
		g.now += 3 * time3 // it stood still
		g.do(&Request{ID: "1", Class: class, Deadline: g.now + 2*time3, SinceOwn: 1})
		g.wantNone(Send, g.out)
		g.wantNone(Send, g.do(&Outcome{ID: "old", Server: "p", Result: OK, Final: true, Reported: leads(said)}))
		g.wantNone(Send, g.do(&ProbeResult{Server: "p", Load: leads(said)}))
		g.wantNone(Send, g.pass(100*ms))
		if got := g.r.servers["p"].roleAt; got > said {
			t.Errorf("its word of %v counts as of %v", said, got)
		}
	}
}

const time3 = 1000 * ms

// TestWaitingReadNeedsAReportWithinItsBound: a read that has waited for longer than its bound is not sent by a word that came soon after it.
func TestWaitingReadNeedsAReportWithinItsBound(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p", Size: 1})
	g.report("p", RolePrimary, g.now)
	g.now += 2 * time3
	g.wantNone(Send, g.ask("1", cBounded))
	g.wantSend(append(g.report("p", RolePrimary, g.now-100*ms), g.pass(40*ms)...), "1", "p")
	g.now += 1200 * ms // its connection never came up; meanwhile another took over
	g.wantNone(Send, append(g.do(&Outcome{ID: "1", Server: "p", Result: Skipped}), g.pass(tickEvery)...))
}

// TestReadIsWrittenInTime: what is known of a server suffices for a read up to a time, and it may wait for a connection for no longer.
func TestReadIsWrittenInTime(t *testing.T) {
	g := trio(t, nil)
	g.now += 100 * ms
	g.wantSend(g.ask("1", cBounded), "1", "")
	if by, want := g.out[0].By, start+300*ms+1; by != want { // later than that it is too late
		t.Errorf("by %v, want %v", by-start, want-start)
	}
	g.ask("2", cAny)
	if a := of(Send, g.out)[0]; a.By < never2 {
		t.Errorf("any read has an end: %v", a.By)
	}
	g.do(&Request{ID: "3", Class: cSession, Deadline: g.now + time3, SinceOwn: 50 * ms})
	if got := of(Send, g.out); len(got) > 0 && got[0].By < never2 {
		t.Errorf("a session's read has an end: %v", got[0].By)
	}
}

const never2 = 1 << 62

// TestCommitAheadOfTheClockIsNotCoveredNow: a commit may lie ahead of this clock, where a server's is fast or was set. What a replica had by now is not enough.
func TestCommitAheadOfTheClockIsNotCoveredNow(t *testing.T) {
	g := trio(t, nil)
	g.now += 10 * ms
	g.do(&Request{ID: "1", Class: cSession, Deadline: g.now + time3, SinceOwn: -40 * ms})
	g.report("a", RoleReplica, g.now)
	g.now += 10 * ms
	for _, a := range of(Send, append(g.report("a", RoleReplica, g.now), g.pass(tickEvery)...)) {
		t.Errorf("sent to %s, which is known not to have it", a.Server)
	}
	g.now += 40 * ms
	g.wantSend(append(g.report("a", RoleReplica, g.now), g.pass(40*ms)...), "1", "a")
}

// TestWriteWithoutAPositionCountsAsCommittedNow: a session's write whose answer told no position was committed by now at the latest.
func TestWriteWithoutAPositionCountsAsCommittedNow(t *testing.T) {
	g := trio(t, func(s *Settings) { s.TrackCommits = true })
	g.do(&Request{ID: "w", Class: cWrite, Session: "s", Deadline: g.now + time3})
	g.now += 50 * ms
	g.do(&Outcome{ID: "w", Server: "p", Result: OK, Final: true})
	g.do(&Request{ID: "r", Class: cSession, Session: "s", Deadline: g.now + time3})
	for _, a := range of(Send, g.out) {
		t.Errorf("sent to %s", a.Server)
	}
}

// TestReplicaReportDoesNotConfirmThePrimary: a probe sent for a read is answered, but with a report from before the server was last heard to lead, which says
// replica. That is no word that it still leads.
func TestReplicaReportDoesNotConfirmThePrimary(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p", Size: 1})
	g.now += 40 * ms
	g.report("p", RolePrimary, g.now)
	g.now += 300 * ms
	g.do(&Request{ID: "1", Class: cSession, Deadline: g.now + time3, SinceOwn: 5 * ms})
	g.wantNone(Send, g.out)
	for _, a := range of(Send, append(g.report("p", RoleReplica, g.now-310*ms), g.pass(10*ms)...)) {
		if a.Server == "p" {
			t.Error("sent to p, which did not say that it leads")
		}
	}
}

// TestSubscribesInTime: however many routers there are, each subscribes anew before what changed without it counts as told.
func TestSubscribesInTime(t *testing.T) {
	for seed := range uint64(50) {
		set := testSettings()
		set.AskList, set.AskEvery, set.Peers = true, 2*time3, 1000
		r := New(set, seed)
		now, asked := Time(start), 0
		out := r.Handle(now, &List{Kind: ListRestored, Entries: []Entry{{Server: "p"}}}, nil)
		for failed := now; now < start+10*time3; now += tickEvery {
			if len(of(Subscribe, out)) > 0 {
				if asked++; now-failed > 1200*ms+tickEvery {
					t.Fatalf("seed %d: %v without a subscription", seed, now-failed)
				}
				failed = now + 300*ms // so long it held
			}
			var ev Event = &Timer{}
			if now == failed && asked > 0 {
				ev = &List{Kind: ListFailed}
			}
			out = r.Handle(now+tickEvery, ev, nil)
		}
		if asked < 5 {
			t.Errorf("seed %d: subscribed %d times", seed, asked)
		}
	}
}

// TestReadsByASlowClock: this router's clock is behind the servers', as that of a process that began behind a step. A replica that is 3.1 s behind
// its primary looks 0.1 s old by this clock, and must not get a read whose bound is 0.3 s.
func TestReadsByASlowClock(t *testing.T) {
	const behind = 3 * time3
	g := newRig(t, testSettings(), Entry{Server: "p", Size: 1}, Entry{Server: "a", Size: 1})
	for n := range 20 {
		g.now += 100 * ms
		g.report("p", RolePrimary, g.now+behind)
		g.report("a", RoleReplica, g.now-100*ms)
		for _, a := range of(Send, g.ask(RequestID(fmt.Sprint(n)), cBounded)) {
			if a.Server == "a" {
				t.Fatalf("read %d goes to the replica, which is %v behind", n, behind+100*ms)
			}
		}
	}
}
