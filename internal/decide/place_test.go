package decide

import (
	"testing"
	"time"
)

// TestPrimaryIsCheckedOnceForEachSessionRead: session reads, one after the other, with positions that only other poolers have heard of. The members that cost least are asked
// where they stand and are behind; the primary, which costs more, is asked then, once for each read. As it had been asked for the read before, it was not
// asked again for half of the least target, and the read was held.
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
		writes := []RequestID{id + "a", id + "b", id + "c"} // which make the primary dearer than the others
		for _, w := range writes {
			h.request(w, classWriteOnce)
		}
		from, asked, sent := h.now, 0, ServerID("")
		acts := h.handle(&Request{ID: id, Class: classSession, Deadline: h.now + 10*time.Second, SinceCommit: 4 * ms})
		for sent == "" && h.now-from < 300*ms {
			var next []Action
			for _, a := range actionsOf(HealthCheck, acts) {
				role, at := RoleReplica, from-5*ms
				if a.Server == "p" {
					role, at = RolePrimary, h.now
					asked++
				}
				next = append(next, h.report(a.Server, role, at)...)
			}
			if s := actionsOf(Send, next); len(s) > 0 {
				sent = s[0].Server
			}
			acts = append(next, h.advance(tickInterval)...)
		}
		if sent != "p" || asked != 1 {
			t.Errorf("read %s: sent to %q within %v; the primary was asked %d times", id, sent, h.now-from, asked)
		}
		for _, x := range append(writes, id) {
			h.end(x, 0, "p", OK)
		}
	}
}
