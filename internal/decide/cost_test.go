package decide

import (
	"fmt"
	"math"
	"testing"
)

// TestCostFollowsEquation2 checks equation 2 by examples computed by hand: rate 1, full-rate concurrency 4, average work
// 0.08. Each of n requests gets a share of (1+(n/4)^4)^(-1/4): 0.9990 for n = 1, 0.9864 for 2, 0.8409 for 4, 0.7347 for 5.
// The new request takes 0.08 divided by its share, and the share of each request in flight falls to the same value.
func TestCostFollowsEquation2(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		want     float64
	}{
		{0, 0.08 / 0.9990},
		{3, 0.08/0.8409 + 3*(0.08/0.8409-0.08/0.9330)},
		{4, 0.08/0.7347 + 4*(0.08/0.7347-0.08/0.8409)},
	} {
		h := newGroupOfThree(t, nil)
		s := h.r.servers["a"]
		cl := &h.r.classes[classAny]
		req := &request{class: cl, weight: 1, relativeWork: 1}
		for range c.inFlight {
			s.openAttempts = append(s.openAttempts, &attempt{request: req})
		}
		got := h.r.cost(s, req).seconds
		if math.Abs(got-c.want) > 1e-3 {
			t.Errorf("%d in flight: cost %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// TestCostScalesSlowdownByRelativeWeight: the slowdown of each request in flight is scaled by its weight relative to that
// of the new request.
func TestCostScalesSlowdownByRelativeWeight(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["p"]
	read := &request{class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
	heavy := &request{class: &h.r.classes[classAny], weight: 4, relativeWork: 1}
	for range 4 {
		s.openAttempts = append(s.openAttempts, &attempt{request: heavy})
	}
	if got := h.r.cost(s, read).seconds; math.Abs(got-(0.08/0.7347+4*4*(0.08/0.7347-0.08/0.8409))) > 2e-3 {
		t.Errorf("cost of a read behind four requests of weight 4 is %v, want about 0.329: their slowdown must be scaled by their weight", got)
	}
}

// TestSharesAreFrozenAfterAPick: the estimated share of a server's rate is kept for freezeTime after a request was sent
// there.
func TestSharesAreFrozenAfterAPick(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["a"]
	for i := range 5 {
		req := &request{id: RequestID(fmt.Sprint(i)), class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
		s.openAttempts = append(s.openAttempts, &attempt{request: req})
	}
	s.frozenShare, s.frozenUntil = 0.8, h.now+freezeTime
	req := &request{class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
	s.openAttempts = s.openAttempts[:3] // two attempts ended: shares stay as they were at the pick
	frozenCost := h.r.cost(s, req).seconds
	h.now += freezeTime + ms
	h.r.now = h.now
	share := h.r.cost(s, req).share
	if share <= 0.8 || frozenCost <= 0 {
		t.Errorf("share after the freeze is %v, want more than 0.8", share)
	}
	s.frozenUntil = h.now + freezeTime
	if share = h.r.cost(s, req).share; share != 0.8 {
		t.Errorf("share during the freeze is %v, want 0.8", share)
	}
}

// TestReadGoesToTheServerOfLeastCost: fails if reads do not spread to the least loaded member that may serve them.
func TestReadGoesToTheServerOfLeastCost(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.r.servers["p"].relativeRate, h.r.servers["a"].relativeRate, h.r.servers["b"].relativeRate = 0.5, 1, 2
	h.wantSend(h.request("1", classBounded), "1", "b")
	for i := 2; i <= 4; i++ {
		h.request(RequestID(fmt.Sprint(i)), classBounded)
	}
	// Requests at b now slow each other, while a would serve one at its full rate.
	h.r.servers["b"].relativeRate = 1
	h.wantSend(h.request("5", classBounded), "5", "a")
}

// TestReadsSpreadOverTheMembers: one of many routers must not send all its reads to the same server, though it has no
// others in flight and observes little load. Fails if the other routers are not assumed to send as this one does.
func TestReadsSpreadOverTheMembers(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = 200, StaleReadsRefused })
	got := map[ServerID]int{}
	for i := range 60 {
		id := RequestID(fmt.Sprint(i))
		sent := actionsOf(Send, h.request(id, classAny))
		if len(sent) != 1 {
			t.Fatalf("read %d: sends %+v, want one", i, sent)
		}
		got[sent[0].Server]++
		h.now += 80 * ms
		h.end(id, 0, sent[0].Server, OK)
		h.now += 220 * ms
	}
	for _, s := range []ServerID{"p", "a", "b"} {
		if got[s] < 12 || got[s] > 28 {
			t.Errorf("reads by server: %v, want 12 to 28 of 60 at each", got)
		}
	}
}

// TestFailingServerIsNotTheCheapest: a server that fails requests quickly is idle, and an idle server costs least. Fails
// if failures do not raise the cost.
func TestFailingServerIsNotTheCheapest(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.r.servers["a"].relativeRate = 1.5
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		sent := actionsOf(Send, h.request(id, classAny))
		h.now += 5 * ms
		if i == 0 {
			h.wantSend(h.end(id, 0, sent[0].Server, Failed), id, "")
		}
		if i > 0 && sent[0].Server == "a" {
			t.Errorf("read %d went to the server that failed", i)
		}
	}
}
