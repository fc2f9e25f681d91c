package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestOvertakenAttemptIsPresumedLostAndHedged: an attempt that is overtaken by several later ones is presumed lost and
// its request is sent again. It no longer counts as load, and the server stays in use.
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
		t.Errorf("%d attempts count as load, want at most 1: lost attempts still count", n)
	}
}

// TestHigherLossRateHedgesEarlier: where many attempts are never answered, an overtaken attempt is hedged early enough
// for an answer in time: a hedge at six times the expected work came too late. Where no attempts are lost, or other
// requests wait for capacity, it is not hedged that early.
func TestHigherLossRateHedgesEarlier(t *testing.T) {
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
		t.Error("hedged where no attempts are lost")
	}
	if hedged(true, true) {
		t.Error("hedged while other requests wait for capacity")
	}
}

// TestAttemptNotOvertakenIsNotPresumedLost: attempts at a slow server that were not overtaken are not presumed lost.
func TestAttemptNotOvertakenIsNotPresumedLost(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := range 3 {
		h.request(RequestID(fmt.Sprint(i)), classWriteOnce)
	}
	h.advance(time.Second)
	if h.r.servers["p"].lostAttempts != 0 {
		t.Errorf("%d attempts that were not overtaken are presumed lost, want none", h.r.servers["p"].lostAttempts)
	}
}
