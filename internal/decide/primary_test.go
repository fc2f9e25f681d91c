package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestWritesPrecedeReadsAtThePrimary: at a primary with a backlog, reads with a little more weight for their work do not
// displace writes, which no other server can serve.
func TestWritesPrecedeReadsAtThePrimary(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) {
		s.Peers = 1 << 20
		s.Classes[classWriteOnce].PriorityWeight = 1 // as much as a read, for twice the work
	})
	h.r.classes[classWriteOnce].averageWork = 2 * h.r.classes[classBounded].averageWork
	p, admitted := h.r.servers["p"], map[int]int{}
	for i := range 500 {
		c := &h.r.classes[classBounded]
		if i%5 == 0 {
			c = &h.r.classes[classWriteOnce]
		}
		h.r.countUrgency(&request{group: p.group, class: c, weight: c.PriorityWeight, relativeWork: 1, objectiveAt: h.now})
	}
	for _, c := range h.r.backlogsOf(p) {
		c.throttle, c.updatedAt, c.cutoffAt = 0.4, h.now, never // admits two thirds of the demand
	}
	for draw := 0.005; draw < 1; draw += 0.01 {
		for _, index := range []int{classBounded, classWriteOnce} {
			c := &h.r.classes[index]
			if h.r.admits(p, &request{group: p.group, class: c, weight: c.PriorityWeight, relativeWork: 1, objectiveAt: h.now, admissionDraw: draw}) {
				admitted[index]++
			}
		}
	}
	if admitted[classWriteOnce] != 100 || admitted[classBounded] == 0 || admitted[classBounded] == 100 {
		t.Errorf("admitted %v of 100 each by class: want all writes (class %d) and some of the reads (class %d)", fmt.Sprint(admitted), classWriteOnce, classBounded)
	}
}

// TestWritesWaitForAPrimaryAndAreSentOnce: writes wait while no primary is known, and each is sent once when one appears.
func TestWritesWaitForAPrimaryAndAreSentOnce(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.request("0", classKeyedWrite)
	h.handle(&Outcome{ID: "0", Server: "p", Result: Misdirected, Reported: Report{Role: RoleReplica}})
	var out []Action
	for i := 1; i <= 3; i++ {
		out = append(out, h.request(RequestID(fmt.Sprint(i)), classWriteOnce)...)
	}
	out = append(out, h.advance(150*ms)...)
	h.wantNone(Send, out)
	if len(actionsOf(HealthCheck, out)) == 0 {
		t.Error("no server is checked while writes wait for a primary")
	}
	sent := map[RequestID]int{}
	for _, a := range actionsOf(Send, append(h.report("a", RolePrimary, h.now), h.advance(50*ms)...)) {
		if a.Server != "a" {
			t.Errorf("sent to %s, want only sends to a", a.Server)
		}
		sent[a.ID]++
	}
	if len(sent) != 4 {
		t.Errorf("requests sent once the primary is known, with their attempts: %v, want 4 requests", sent)
	}
	for id, n := range sent {
		if n != 1 {
			t.Errorf("request %s was sent %d times, want once", id, n)
		}
	}
}

// TestPrimaryReportCoversReadsUpToItsTime: a server that reported that it is the primary may have been replaced since. Its
// report covers reads up to the time of the report, and the role in the list covers none. Where servers answer no health
// checks, the report or the list's role has to suffice.
func TestPrimaryReportCoversReadsUpToItsTime(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.wantSend(h.request("1", classBounded), "1", "")
	h.end("1", 0, actionsOf(Send, h.out)[0].Server, OK)
	h.now += 2 * time.Second // p hung, was replaced as primary, and is back
	h.wantNone(Send, h.request("2", classBounded))
	if len(actionsOf(HealthCheck, h.out)) == 0 {
		t.Fatal("no server was checked")
	}
	h.wantNone(Send, h.report("p", RoleReplica, h.now-1900*ms))
	h.wantSend(h.report("a", RolePrimary, h.now), "2", "a")

	h = newGroupOfThree(t, nil) // health checks that are refused are repeated, at a bounded rate
	h.now += 2 * time.Second
	checked, acts := 0, h.request("1", classBounded)
	for range 30 {
		var next []Action
		for _, a := range actionsOf(HealthCheck, acts) {
			checked++
			next = append(next, h.handle(&HealthCheckResult{Server: a.Server, Result: Overloaded})...)
		}
		h.wantNone(Send, next)
		acts = append(next, h.advance(tickInterval)...)
	}
	if checked <= 2 || checked > 12 {
		t.Errorf("%d health checks in 0.3 s, want 3 to 12", checked)
	}
	h.wantSend(h.report("p", RolePrimary, h.now-200*ms), "1", "p")

	for _, checks := range []bool{true, false} {
		settings := testSettings()
		settings.ListShowsRole, settings.MayCheckHealth = true, checks
		h := newHarness(t, settings, Endpoint{Server: "p", Capacity: 1, Primary: true}, Endpoint{Server: "a", Capacity: 1})
		if sent := len(actionsOf(Send, h.request("1", classBounded))) > 0; sent == checks {
			t.Errorf("health checks allowed: %v; read sent by the list's role alone: %v, want it sent only without health checks", checks, sent)
		}
	}
}

// TestDemotionInAnAnswerOverridesOlderReports: a server whose answer states that it is a replica is not the primary, even
// if an older report that arrives later states that it is.
func TestDemotionInAnAnswerOverridesOlderReports(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.handle(&Request{ID: "1", Class: classKeyedWrite, Deadline: h.now + time.Second})
	h.now += 20 * ms
	h.handle(&Outcome{ID: "1", Server: "p", Result: Misdirected, Reported: Report{Role: RoleReplica}})
	h.report("p", RolePrimary, h.now-10*ms) // an older report must not undo it
	if h.r.primary(h.r.groupFor(0)) != nil {
		t.Error("an old report brought the demoted primary back")
	}
}
