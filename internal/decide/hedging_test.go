package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestOvertakenAttemptIsPresumedLostAndHedged: an attempt that later ones overtake is presumed lost and its request
// sent again; the server stays in use.
func TestOvertakenAttemptIsPresumedLostAndHedged(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.request("stuck", classKeyedWrite)
	var hedgedOnce bool
	for i := range 30 {
		id := RequestID(fmt.Sprint(i))
		h.request(id, classKeyedWrite)
		for _, a := range h.advance(20 * ms) {
			hedgedOnce = hedgedOnce || a.Kind == Send && a.ID == "stuck"
		}
		h.end(id, 0, "p", OK)
	}
	if !hedgedOnce {
		t.Error("the lost attempt was never sent again")
	}
	if n := len(h.r.servers["p"].openAttempts) - h.r.servers["p"].lostAttempts; n > 1 {
		t.Errorf("load %v: lost attempts still count", n)
	}
}

// TestLossesShortenTheTimeToHedging: where many attempts are never answered, one that others overtake is hedged while
// its answer may still be in time; where none is lost, or others wait for capacity, not yet. A hedge at six times the
// work came too late.
func TestLossesShortenTheTimeToHedging(t *testing.T) {
	hedged := func(lose, wait bool) bool {
		h := newGroupOfThree(t, nil)
		n := 0
		one := func(res Result) {
			id := RequestID(fmt.Sprint("n", n))
			n++
			s := actionsOf(Send, h.request(id, classAny))[0].Server
			h.advance(40 * ms)
			if st := h.r.servers[s]; res == Cancelled {
				a := st.openAttempts[0]
				a.overtakenBy, a.serviceAtSend, a.presumedLost, st.lostAttempts = minOvertakesForLoss, a.serviceAtSend-10, true, 1
			}
			h.handle(&Outcome{ID: id, Server: s, Result: res, Final: true})
		}
		for i := range 400 {
			if lose && i%10 == 9 {
				one(Cancelled)
			} else {
				one(OK)
			}
		}
		q := actionsOf(Send, h.request("slow", classAny))[0]
		s := h.r.servers[q.Server]
		a := s.openAttempts[0]
		a.overtakenBy, a.serviceAtSend = minOvertakesForLoss, a.serviceAtSend-4*a.request.expectedWork()/h.r.warmRate(s) // four times its work
		if wait {
			r := &request{id: "w", class: &h.r.classes[classKeyedWrite], group: s.group, deadline: never, weight: 1, relativeWork: 1}
			s.group.waiting = append(s.group.waiting, r)
		}
		h.r.actions = nil
		h.r.hedgeStuckRequests(s.group)
		return len(actionsOf(Send, h.r.actions)) > 0
	}
	if !hedged(true, false) {
		t.Error("an attempt that is probably lost was not hedged")
	}
	if hedged(false, false) {
		t.Error("hedged where nothing was ever lost")
	}
	if hedged(true, true) {
		t.Error("hedged while others wait for capacity")
	}
}

// TestAttemptThatNoneOvertookIsNotPresumedLost: attempts at a slow server that none overtook are not presumed lost.
func TestAttemptThatNoneOvertookIsNotPresumedLost(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := range 3 {
		h.request(RequestID(fmt.Sprint(i)), classWriteOnce)
	}
	h.advance(time.Second)
	if h.r.servers["p"].lostAttempts != 0 {
		t.Error("nothing was overtaken, so nothing may be written off")
	}
}
