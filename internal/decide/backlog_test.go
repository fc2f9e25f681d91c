package decide

import (
	"fmt"
	"testing"
	"time"
)

// requestOfA sends a read that only server a can serve.
func (h *harness) requestOfA(id RequestID) []Action {
	return h.handle(&Request{ID: id, Class: classAny, Deadline: h.now + 2*time.Second, OnlyServer: "a"})
}

// answerSlowly sends n reads to server a, one per second, whose answers each take the given time.
func (h *harness) answerSlowly(n int, took time.Duration) {
	for i := range n {
		id := RequestID(fmt.Sprint("slow", i, h.now))
		got := actionsOf(Send, h.requestOfA(id))
		h.advance(took)
		if len(got) == 1 {
			h.end(id, 0, got[0].Server, OK)
		}
		h.advance(time.Second - took)
	}
}

// TestOthersBacklogLowersAdmission: the requests of other routers that wait at a server show only in the times of this
// router's answers. A router that has no requests waiting there, and so continued to send its least urgent ones, would
// keep the server's queue full for all routers.
func TestOthersBacklogLowersAdmission(t *testing.T) {
	for peers, shed := range map[int]bool{1: false, 150: true} {
		h := newGroupOfThree(t, func(s *Settings) { s.Peers = peers })
		h.answerSlowly(3, 700*ms)
		sent := 0
		for i := range 40 {
			id := RequestID(fmt.Sprint("read", i))
			for range actionsOf(Send, h.requestOfA(id)) {
				sent++
			}
			h.handle(&Abandoned{ID: id})
			h.end(id, 0, "a", Cancelled)
		}
		if shed && sent > 20 || !shed && sent != 40 {
			t.Errorf("%d routers: %d of 40 reads were sent after slow answers; load must be shed: %v", peers, sent, shed)
		}
		h.advance(6 * throttleMemorySeconds)
		h.wantSend(h.requestOfA("later"), "later", "a")
	}
}

// TestMostUrgentRequestsAreAdmitted: requests with the least weight for their work are not admitted, and of a class at
// the cutoff a fraction is.
func TestMostUrgentRequestsAreAdmitted(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers = 1 << 20 })
	s := h.r.servers["a"]
	for i := range 300 {
		c := &h.r.classes[i%3*2] // bounded and any reads of weight 1, and writes of weight 4
		h.r.countUrgency(&request{group: s.group, class: c, weight: c.PriorityWeight, relativeWork: 1, objectiveAt: h.now})
	}
	for _, x := range []struct{ throttle, light, heavy float64 }{{0, 1, 1}, {0.41, 0.5, 1}, {1.1, 0, 1}, {1.8, 0, 0.5}} {
		for _, c := range h.r.backlogsOf(s) {
			c.throttle, c.updatedAt, c.cutoffAt = x.throttle, h.now, never
		}
		admitted := map[float64]float64{} // by weight, the fraction of draws that is admitted
		for draw := 0.005; draw < 1; draw += 0.01 {
			for _, index := range []int{classAny, classKeyedWrite} {
				c := &h.r.classes[index]
				if h.r.admits(s, &request{group: s.group, class: c, weight: c.PriorityWeight, relativeWork: 1,
					objectiveAt: h.now, admissionDraw: draw}) {
					admitted[c.PriorityWeight] += 0.01
				}
			}
		}
		if d := admitted[1] - x.light; d > 0.03 || d < -0.03 || admitted[4] < x.heavy-0.03 || admitted[4] > x.heavy+0.03 {
			t.Errorf("throttle %v: admitted %v of weight 1 and %v of weight 4, want %v and %v", x.throttle, admitted[1], admitted[4], x.light, x.heavy)
		}
	}
}
