package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestBoundedReadAtTheBoundary: a position exactly as old as the bound covers a bounded read, and an older one does not.
func TestBoundedReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{300 * ms, true}, {301 * ms, false}} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now-c.age)
		if got := len(actionsOf(Send, h.request("1", classBounded))) == 1; got != c.want {
			t.Errorf("position %v old: sent %v, want %v", c.age, got, c.want)
		}
	}
}

// TestSessionReadAtTheBoundary: a position at the session's commit covers its read, and an earlier one does not.
func TestSessionReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		token time.Duration
		want  bool
	}{{0, true}, {100 * ms, true}, {99 * ms, false}} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now-100*ms)
		got := h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + time.Second, SinceCommit: c.token})
		if sent := len(actionsOf(Send, got)) == 1; sent != c.want {
			t.Errorf("commit %v ago: sent %v, want %v", c.token, sent, c.want)
		}
	}
}

// TestSessionReadCoversRememberedCommit: a session's read goes to a server that has its last write; sessions that were
// dropped count as having written at the latest of the dropped commits.
func TestSessionReadCoversRememberedCommit(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.TrackCommits = true })
	h.handle(&Request{ID: "w", Class: classKeyedWrite, Deadline: h.now + time.Second, Session: "s"})
	h.now += 50 * ms
	h.handle(&Outcome{ID: "w", Server: "p", Final: true, Reported: Report{Role: RolePrimary, Position: h.now, HasPosition: true}})
	got := h.handle(&Request{ID: "r", Class: classSession, Deadline: h.now + time.Second, Session: "s"})
	got = append(append(got, h.report("a", RoleReplica, h.now-51*ms)...), h.report("b", RoleReplica, h.now-51*ms)...)
	h.wantSend(append(got, h.advance(2*tickInterval)...), "r", "p")
	for i := range maxRememberedSessions + 1 {
		h.r.rememberCommit(fmt.Sprint(i), h.now)
		h.r.rememberCommit(fmt.Sprint("more", i), h.now)
	}
	if n := len(h.r.sessionCommits); n > maxRememberedSessions {
		t.Errorf("the commits of %d sessions are kept, want at most %d", n, maxRememberedSessions)
	}
	if h.r.forgottenCommit != h.now {
		t.Errorf("forgottenCommit is %v, want %v: dropping sessions must raise it to their latest commit", h.r.forgottenCommit, h.now)
	}
}

// TestUnprovenReplicaGetsNoReadUnlessItRefusesStaleReads: a replica that would answer from old data gets no read on an estimate of
// its position.
func TestUnprovenReplicaGetsNoReadUnlessItRefusesStaleReads(t *testing.T) {
	for _, c := range []struct {
		behind StaleReadPolicy
		want   bool
	}{{StaleReadsAnswered, false}, {StaleReadsRefused, true}, {StaleReadsWait, true}} {
		settings := testSettings()
		settings.StaleReads = c.behind
		h := newHarness(t, settings, Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now)
		h.now += 350 * ms
		if got := len(actionsOf(Send, h.request("1", classBounded))) == 1; got != c.want {
			t.Errorf("stale-read policy %d: sent %v, want %v", c.behind, got, c.want)
		}
	}
}

// TestPositionIgnoresOlderAndFutureReports: neither an older report nor one from the future changes a position.
func TestPositionIgnoresOlderAndFutureReports(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.report("a", RoleReplica, h.now-time.Second)
	if h.r.servers["a"].position != start {
		t.Errorf("position after an older report is %v, want it unchanged at %v", h.r.servers["a"].position, start)
	}
	h.report("a", RoleReplica, h.now+time.Hour)
	if h.r.servers["a"].position != start {
		t.Errorf("position after a report ahead of the clock is %v, want it unchanged at %v", h.r.servers["a"].position, start)
	}
}

// TestReadTriesEveryMemberBeforeRepeatingOne: members fail one after the other. Fails if a read returns to a member
// before all were tried, or if no health checks are sent for it after a failure.
func TestReadTriesEveryMemberBeforeRepeatingOne(t *testing.T) {
	h := newGroupOfThree(t, nil)
	seen := map[ServerID]bool{}
	sent := actionsOf(Send, h.request("1", classAny))
	for i := range 3 {
		if len(sent) != 1 || seen[sent[0].Server] {
			t.Fatalf("attempt %d: sends %+v, want one to a server other than those tried before: %v", i, sent, seen)
		}
		seen[sent[0].Server] = true
		h.now += 5 * ms
		sent = actionsOf(Send, h.end("1", i, sent[0].Server, Failed))
	}
	h = newHarness(t, testSettings(), Endpoint{Server: "p"}, Endpoint{Server: "a"}, Endpoint{Server: "b"})
	h.report("p", RolePrimary, h.now)
	h.r.servers["p"].failureAtLast, h.r.servers["p"].failureAt = 0.95, h.now
	checked := actionsOf(HealthCheck, h.request("2", classBounded))
	if len(checked) != 1 || checked[0].Server == "p" {
		t.Fatalf("checked %+v, want one replica", checked)
	}
	h.now += 5 * ms
	sent = actionsOf(Send, h.report(checked[0].Server, RoleReplica, h.now))
	if len(sent) != 1 {
		t.Fatalf("sends after the report of the checked replica: %+v, want one", sent)
	}
	h.now += 310 * ms // the reported position is too old by now
	h.r.servers["p"].failureAt = h.now
	if next := actionsOf(HealthCheck, h.end("2", 0, sent[0].Server, Failed)); len(next) == 0 {
		t.Error("after a failure no other server is checked")
	}
}

// TestReadIsNotSentAgainToReplicasThatAreBehind: every replica refuses a session read as its data is too old. Fails if
// the read returns to one of them before it can have caught up.
func TestReadIsNotSentAgainToReplicasThatAreBehind(t *testing.T) {
	settings := testSettings()
	settings.StaleReads = StaleReadsRefused
	h := newHarness(t, settings, Endpoint{Server: "a"}, Endpoint{Server: "b"})
	out := h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + time.Second, SinceCommit: 50 * ms})
	for i := range 2 {
		sent := actionsOf(Send, out)
		if len(sent) != 1 {
			t.Fatalf("attempt %d: sends %+v, want one", i, sent)
		}
		h.now += 5 * ms
		out = h.handle(&Outcome{ID: "1", Attempt: i, Server: sent[0].Server, Result: Misdirected,
			Reported: Report{Role: RoleReplica, Position: h.now - 2*time.Second, HasPosition: true}})
	}
	h.wantNone(Send, append(out, h.advance(100*ms)...))
}
