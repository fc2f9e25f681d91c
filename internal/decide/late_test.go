package decide

import (
	"testing"
	"time"
)

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
