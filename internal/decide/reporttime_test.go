package decide

import (
	"fmt"
	"testing"
	"time"
)

// primaryReport is a primary's report of that time.
func primaryReport(at Time) Report { return Report{Role: RolePrimary, Position: at, HasPosition: true} }

// TestReportsReadLateCountAsOfTheirTime: a router was paused, and the primary was replaced meanwhile. Reports of the
// old one from before wait in the process's sockets and are read after the first request that comes: they count as of
// their time, not as of now.
func TestReportsReadLateCountAsOfTheirTime(t *testing.T) {
	for _, class := range []int{classBounded, classSession} {
		h := newGroupOfThree(t, nil)
		h.now += 400 * ms
		h.request("old", classKeyedWrite)
		h.wantSend(h.out, "old", "p")
		h.now += 10 * ms
		primary := h.r.servers["p"]
		primary.healthCheckPending, primary.healthCheckSentAt = true, h.now
		reportedAt := h.now
		h.now += 3 * second // it was paused
		h.handle(&Request{ID: "1", Class: class, Deadline: h.now + 2*second, SinceCommit: 1})
		h.wantNone(Send, h.out)
		h.wantNone(Send, h.handle(&Outcome{ID: "old", Server: "p", Result: OK, Final: true, Reported: primaryReport(reportedAt)}))
		h.wantNone(Send, h.handle(&HealthCheckResult{Server: "p", Load: primaryReport(reportedAt)}))
		h.wantNone(Send, h.advance(100*ms))
		if got := h.r.servers["p"].roleAt; got > reportedAt {
			t.Errorf("its report of %v counts as of %v", reportedAt, got)
		}
	}
}

const second = 1000 * ms

// TestWaitingReadNeedsAReportWithinItsBound: a read that has waited for longer than its staleness bound is not sent by
// a report that came soon after it.
func TestWaitingReadNeedsAReportWithinItsBound(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Capacity: 1})
	h.report("p", RolePrimary, h.now)
	h.now += 2 * second
	h.wantNone(Send, h.request("1", classBounded))
	h.wantSend(append(h.report("p", RolePrimary, h.now-100*ms), h.advance(40*ms)...), "1", "p")
	h.now += 1200 * ms // its connection never came up; meanwhile another took over
	h.wantNone(Send, append(h.handle(&Outcome{ID: "1", Server: "p", Result: NotSent}), h.advance(tickInterval)...))
}

// TestReadIsWrittenInTime: a server's position covers a read up to a time, and the attempt may wait for a connection
// for no longer.
func TestReadIsWrittenInTime(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.now += 100 * ms
	h.wantSend(h.request("1", classBounded), "1", "")
	if by, want := h.out[0].WriteBefore, start+300*ms+1; by != want { // later than that it is too late
		t.Errorf("by %v, want %v", by-start, want-start)
	}
	h.request("2", classAny)
	if a := actionsOf(Send, h.out)[0]; a.WriteBefore < noLimit {
		t.Errorf("any read has an end: %v", a.WriteBefore)
	}
	h.handle(&Request{ID: "3", Class: classSession, Deadline: h.now + second, SinceCommit: 50 * ms})
	if got := actionsOf(Send, h.out); len(got) > 0 && got[0].WriteBefore < noLimit {
		t.Errorf("a session's read has an end: %v", got[0].WriteBefore)
	}
}

const noLimit = 1 << 62

// TestCommitAheadOfTheClockIsNotCoveredNow: a commit may lie ahead of this clock, where a server's is fast or was set.
// The position that a replica has by now does not cover it.
func TestCommitAheadOfTheClockIsNotCoveredNow(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.now += 10 * ms
	h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + second, SinceCommit: -40 * ms})
	h.report("a", RoleReplica, h.now)
	h.now += 10 * ms
	for _, a := range actionsOf(Send, append(h.report("a", RoleReplica, h.now), h.advance(tickInterval)...)) {
		t.Errorf("sent to %s, which is known not to have it", a.Server)
	}
	h.now += 40 * ms
	h.wantSend(append(h.report("a", RoleReplica, h.now), h.advance(40*ms)...), "1", "a")
}

// TestWriteWithoutAPositionCountsAsCommittedNow: a session's write whose answer had no position was committed by now at
// the latest.
func TestWriteWithoutAPositionCountsAsCommittedNow(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.TrackCommits = true })
	h.handle(&Request{ID: "w", Class: classKeyedWrite, Session: "s", Deadline: h.now + second})
	h.now += 50 * ms
	h.handle(&Outcome{ID: "w", Server: "p", Result: OK, Final: true})
	h.handle(&Request{ID: "r", Class: classSession, Session: "s", Deadline: h.now + second})
	for _, a := range actionsOf(Send, h.out) {
		t.Errorf("sent to %s", a.Server)
	}
}

// TestReplicaReportDoesNotConfirmThePrimary: a health check sent for a read is answered with a report, from before the
// server last was known as the primary, which says replica. It does not confirm the primary.
func TestReplicaReportDoesNotConfirmThePrimary(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Capacity: 1})
	h.now += 40 * ms
	h.report("p", RolePrimary, h.now)
	h.now += 300 * ms
	h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + second, SinceCommit: 5 * ms})
	h.wantNone(Send, h.out)
	for _, a := range actionsOf(Send, append(h.report("p", RoleReplica, h.now-310*ms), h.advance(10*ms)...)) {
		if a.Server == "p" {
			t.Error("sent to p, which did not report that it is the primary")
		}
	}
}

// TestSubscribesInTime: however many routers there are, each renews its subscription before changes that it missed
// count as known.
func TestSubscribesInTime(t *testing.T) {
	for seed := range uint64(50) {
		set := testSettings()
		set.WatchList, set.ListStaleAfter, set.Peers = true, 2*second, 1000
		r := New(set, seed)
		now, subscribed := Time(start), 0
		out := r.Handle(now, &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p"}}}, nil)
		for failed := now; now < start+10*second; now += tickInterval {
			if len(actionsOf(Subscribe, out)) > 0 {
				if subscribed++; now-failed > 1200*ms+tickInterval {
					t.Fatalf("seed %d: %v without a subscription", seed, now-failed)
				}
				failed = now + 300*ms // it was open for so long
			}
			var ev Event = &Timer{}
			if now == failed && subscribed > 0 {
				ev = &EndpointList{Kind: ListFailed}
			}
			out = r.Handle(now+tickInterval, ev, nil)
		}
		if subscribed < 5 {
			t.Errorf("seed %d: subscribed %d times", seed, subscribed)
		}
	}
}

// TestReadsByASlowClock: this router's clock is behind the servers', as that of a process that began before a clock
// step. A replica that is 3.1 s behind its primary seems 0.1 s old by this clock, and must not get a read whose bound
// is 0.3 s.
func TestReadsByASlowClock(t *testing.T) {
	const behind = 3 * second
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Capacity: 1}, Endpoint{Server: "a", Capacity: 1})
	for n := range 20 {
		h.now += 100 * ms
		h.report("p", RolePrimary, h.now+behind)
		h.report("a", RoleReplica, h.now-100*ms)
		for _, a := range actionsOf(Send, h.request(RequestID(fmt.Sprint(n)), classBounded)) {
			if a.Server == "a" {
				t.Fatalf("read %d goes to the replica, which is %v behind", n, behind+100*ms)
			}
		}
	}
}

// TestRoleReportReadLateCountsAsOfItsTime: a process that was paused reads the answers that came meanwhile when it
// continues. That a server was the primary then does not cover a read now: it may have been replaced.
func TestRoleReportReadLateCountsAsOfItsTime(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Capacity: 1})
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("w", classKeyedWrite), "w", "p")
	sent := h.now
	h.now += 5 * time.Second
	h.handle(&Outcome{ID: "w", Server: "p", Result: OK, Final: true, Reported: Report{Role: RolePrimary, Position: sent + ms, HasPosition: true}})
	h.wantNone(Send, h.request("r", classBounded))
	h.now += ms
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("r2", classBounded), "r2", "p")
}

// TestProbeSentBeforeAReadDoesNotQualifyIt: the result of a health check that was sent before a read arrived does not
// cover the read, however late it is read; the read waits for a check of its own.
func TestProbeSentBeforeAReadDoesNotQualifyIt(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.advance(time.Second)
	if len(actionsOf(HealthCheck, h.request("r", classBounded))) == 0 {
		t.Fatal("no health check")
	}
	checkedAt := h.now
	h.now += 5 * time.Second
	h.handle(&Abandoned{ID: "r"})
	h.request("r2", classBounded)
	h.wantNone(Send, h.report("p", RolePrimary, checkedAt))
	h.now += ms
	h.report("p", RolePrimary, h.now)
}
