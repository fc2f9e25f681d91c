package decide

import (
	"testing"
	"time"
)

// TestPrimaryIsCheckedOnceForEachSessionRead: session reads one after the other, with positions that only other poolers
// know. The members of least cost are checked and are behind; then the primary, which costs more, is checked once for
// each read. Seen: it had been checked for the read before, was not checked again for half of the shortest objective,
// and the read waited.
func TestPrimaryIsCheckedOnceForEachSessionRead(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective, set.Classes[i].Deadline = 5*time.Second, 10*time.Second
	}
	h := newHarness(t, set, Endpoint{Server: "p", Capacity: 1}, Endpoint{Server: "a", Capacity: 8}, Endpoint{Server: "b", Capacity: 8})
	h.report("p", RolePrimary, h.now)
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	for _, id := range []RequestID{"1", "2", "3"} {
		for range 30 { // replicas keep the primary's pace, so they may well have what is wanted
			h.now += 50 * ms
			h.report("a", RoleReplica, h.now-2*ms)
			h.report("b", RoleReplica, h.now-2*ms)
		}
		h.now += 20 * ms
		writes := []RequestID{id + "a", id + "b", id + "c"} // which make the primary cost more than the others
		for _, w := range writes {
			h.request(w, classWriteOnce)
		}
		from, checks, sent := h.now, 0, ServerID("")
		acts := h.handle(&Request{ID: id, Class: classSession, Deadline: h.now + 10*time.Second, SinceCommit: 4 * ms})
		for sent == "" && h.now-from < 300*ms {
			var next []Action
			for _, a := range actionsOf(HealthCheck, acts) {
				role, at := RoleReplica, from-5*ms
				if a.Server == "p" {
					role, at = RolePrimary, h.now
					checks++
				}
				next = append(next, h.report(a.Server, role, at)...)
			}
			if s := actionsOf(Send, next); len(s) > 0 {
				sent = s[0].Server
			}
			acts = append(next, h.advance(tickInterval)...)
		}
		if sent != "p" || checks != 1 {
			t.Errorf("read %s: sent to %q within %v; the primary was checked %d times", id, sent, h.now-from, checks)
		}
		for _, x := range append(writes, id) {
			h.end(x, 0, "p", OK)
		}
	}
}
