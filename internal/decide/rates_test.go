package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestAnswersChangeTheRateOfTheKind: answers of one server change the rate of its kind, in every group, and of no other
// kind.
func TestAnswersChangeTheRateOfTheKind(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "a", Kind: 0}, Endpoint{Server: "b", Kind: 1}, Endpoint{Server: "c", Kind: 1},
		Endpoint{Server: "d", Kind: 1, Group: 5})
	if got := h.r.warmRate(h.r.servers["a"]); got != initialKindRate {
		t.Errorf("warm rate before any answer is %v, want %v", got, initialKindRate)
	}
	// b's answers take half the expected service, one per refresh of the rates.
	for i := range 10 {
		id := RequestID(fmt.Sprint("q", i))
		b := h.r.servers["b"]
		req := &request{id: id, class: &h.r.classes[classAny], group: b.group, weight: 1, relativeWork: 1, deadline: h.now + time.Second}
		h.r.requests[id] = req
		a := &attempt{request: req, sentAt: h.now, serviceAtSend: b.virtualService}
		b.openAttempts, req.attempts, req.openAttempts = append(b.openAttempts, a), append(req.attempts, a), 1
		h.r.openAttempts++
		b.group.openAttempts++
		b.virtualService += req.expectedWork() / h.r.warmRate(b) / 2
		b.virtualServiceAt = h.now
		h.end(id, 0, "b", OK)
		h.advance(rateRefreshInterval)
	}
	a, b, c, d := h.r.warmRate(h.r.servers["a"]), h.r.warmRate(h.r.servers["b"]), h.r.warmRate(h.r.servers["c"]), h.r.warmRate(h.r.servers["d"])
	if a != initialKindRate || c <= 1.2 || d != c || b < c {
		t.Errorf("rates %v %v %v %v: want the rate of b's kind to follow b in every group, and that of no other kind", a, b, c, d)
	}
}

// TestColdAnswersDoNotRaiseTheRate: a server that started earlier than the router knows answers faster than a server that
// is as cold as assumed. Its rate must not rise because of that: it would later, while still cold, get more requests than
// it can serve.
func TestColdAnswersDoNotRaiseTheRate(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s, sent := h.r.servers["p"], 0
	rounds := func(name string, n int) {
		for i := range n {
			id := RequestID(fmt.Sprint(name, i))
			out := append([]Action{}, h.request(id, classWriteOnce)...)
			for len(actionsOf(Send, out)) == 0 && len(finalAnswers(out)) == 0 {
				out = append(out, h.advance(tickInterval)...)
			}
			h.advance(60 * ms) // the time of a warm server that is a little faster than average
			if len(actionsOf(Send, out)) == 1 {
				sent++
				h.end(id, 0, "p", OK)
			}
			h.advance(140 * ms)
		}
	}
	s.startedAt = h.now
	was, work := h.r.warmRate(s), h.r.classes[classWriteOnce].averageWork
	rounds("cold", 20)
	if now := h.r.warmRate(s); sent < 10 || now > 1.001*was || h.r.classes[classWriteOnce].averageWork != work {
		t.Errorf("after %d answers of a cold server its rate went from %v to %v, want no increase", sent, was, now)
	}
	h.advance(10 * time.Second)
	rounds("warm", 20)
	if now := h.r.warmRate(s); now <= 1.05*was {
		t.Errorf("rate of a warm server with fast answers is %v, want more than 1.05 times the rate before, %v", now, was)
	}
}

// TestOvertakenAttemptDoesNotLowerTheRate: a server's rate follows its answers, not an unanswered attempt that was
// overtaken by them.
func TestOvertakenAttemptDoesNotLowerTheRate(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.handle(&Request{ID: "stuck", Class: classWriteOnce, Deadline: h.now + time.Minute})
	for i := range 100 {
		id := RequestID(fmt.Sprint(i))
		h.request(id, classWriteOnce)
		h.advance(80 * ms)
		h.end(id, 0, "p", OK)
	}
	if got := h.r.serviceRate(h.r.servers["p"]); got < 0.7 {
		t.Errorf("service rate after answers that overtook an open attempt is %v, want at least 0.7", got)
	}
}

// TestWorkHintScalesTheClassAverage: a request's work is its class's average, scaled by its hint against the average
// hint.
func TestWorkHintScalesTheClassAverage(t *testing.T) {
	h := newGroupOfThree(t, nil)
	deadline := h.now + time.Second
	h.handle(&Request{ID: "1", Class: classAny, Deadline: deadline, WorkHint: 10 * ms})
	h.handle(&Request{ID: "2", Class: classAny, Deadline: deadline, WorkHint: 30 * ms})
	h.handle(&Request{ID: "3", Class: classAny, Deadline: deadline})
	avg := h.r.classes[classAny].averageWork
	// The second hint of 30 ms raises the average hint to 20 ms, so its request has 1.5 times the average work.
	if a, b, c := h.r.requests["1"].expectedWork(), h.r.requests["2"].expectedWork(),
		h.r.requests["3"].expectedWork(); math.Abs(a-avg)+math.Abs(b-1.5*avg)+math.Abs(c-avg) > 1e-9 {
		t.Errorf("expected work of requests 1 to 3: got %v, %v, %v, want %v, %v, %v", a, b, c, avg, 1.5*avg, avg)
	}
}
