package decide

import (
	"fmt"
	"testing"
)

// TestReadsLeaveThePrimaryToWrites: behind a primary that answers late, reads that are worth a little more for their work do not keep out the
// writes that nobody else can take.
func TestReadsLeaveThePrimaryToWrites(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) {
		s.Peers = 1 << 20
		s.Classes[classWriteOnce].PriorityWeight = 1 // as much as a read, for twice the work
	})
	h.r.classes[classWriteOnce].averageWork = 2 * h.r.classes[classBounded].averageWork
	p, in := h.r.servers["p"], map[int]int{}
	for i := range 500 {
		c := &h.r.classes[classBounded]
		if i%5 == 0 {
			c = &h.r.classes[classWriteOnce]
		}
		h.r.countUrgency(&request{group: p.group, class: c, weight: c.PriorityWeight, relativeWork: 1, objectiveAt: h.now})
	}
	for _, c := range h.r.backlogsOf(p) {
		c.throttle, c.updatedAt, c.cutoffAt = 0.4, h.now, never // two thirds of what is asked are let in
	}
	for luck := 0.005; luck < 1; luck += 0.01 {
		for _, no := range []int{classBounded, classWriteOnce} {
			c := &h.r.classes[no]
			if h.r.admits(p, &request{group: p.group, class: c, weight: c.PriorityWeight, relativeWork: 1, objectiveAt: h.now, admissionDraw: luck}) {
				in[no]++
			}
		}
	}
	if in[classWriteOnce] != 100 || in[classBounded] == 0 || in[classBounded] == 100 {
		t.Errorf("let in %v of 100 each: want all writes (%d) and a part of the reads (%d)", fmt.Sprint(in), classWriteOnce, classBounded)
	}
}
