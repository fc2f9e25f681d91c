package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestRetryFollowsIdempotency: whether a request is sent again after an attempt depends on the attempt's result and the
// request's idempotency.
func TestRetryFollowsIdempotency(t *testing.T) {
	retry, fail := "sent again", "failed"
	for _, c := range []struct {
		res                                Result
		idempotent, withKey, notIdempotent string
	}{
		{Failed, retry, retry, fail},
		{TimedOut, retry, retry, fail},
		{Reset, retry, retry, fail},
		{Cancelled, retry, retry, fail},
		{Overloaded, retry, retry, retry},
		{Unreachable, retry, retry, retry},
		{Misdirected, retry, retry, retry},
	} {
		for class, want := range map[int]string{classAny: c.idempotent, classKeyedWrite: c.withKey, classWriteOnce: c.notIdempotent} {
			h := newGroupOfThree(t, nil)
			first := actionsOf(Send, h.request("1", class))
			if len(first) != 1 {
				t.Fatalf("the first attempt was not sent: sends %+v, want one", first)
			}
			h.now += 5 * ms
			out := h.end("1", 0, first[0].Server, c.res)
			for range 40 { // the primary reports again, as some results put its role in doubt
				h.report("p", RolePrimary, h.now)
				out = append(append(out, h.out...), h.advance(tickInterval)...)
			}
			got := "waits"
			switch {
			case len(actionsOf(Send, out)) > 0:
				got = retry
			case len(actionsOf(Fail, out)) > 0:
				got = fail
			case len(actionsOf(Reject, out)) > 0:
				got = "rejected"
			}
			if got != want {
				t.Errorf("result %d, class %d: %s, want %s", c.res, class, got, want)
			}
		}
	}
}

// TestKeyedRequestIsRetriedOnlyWithinItsWindow: a request with an idempotency key is sent again just before its key window
// ends, and not at the end.
func TestKeyedRequestIsRetriedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{1990 * ms, true}, {1995 * ms, false}} {
		h := newGroupOfThree(t, nil)
		h.request("1", classKeyedWrite)
		h.now += c.after
		out := h.end("1", 0, "p", Failed)
		if got := len(actionsOf(Send, out)) == 1; got != c.want {
			t.Errorf("after %v: sent %v, want %v", c.after, got, c.want)
		}
		if !c.want && len(actionsOf(Fail, out)) != 1 {
			t.Errorf("after %v: a keyed request that may have run must be failed, not rejected: %+v", c.after, out)
		}
	}
}

// TestAttemptIsCancelledBeforeRetryWithoutDuplicates: where duplicates are not allowed, the attempt at an ejected server is cancelled
// before the request is sent elsewhere.
func TestAttemptIsCancelledBeforeRetryWithoutDuplicates(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.MayDuplicate = false })
	first := actionsOf(Send, h.request("1", classAny))[0].Server
	h.r.eject(h.r.servers[first])
	out := h.advance(100 * ms)
	h.wantNone(Send, out)
	if len(actionsOf(Cancel, out)) != 1 {
		t.Fatalf("want the first attempt cancelled: %+v", out)
	}
	out = h.end("1", 0, first, Cancelled)
	if got := actionsOf(Send, out); len(got) != 1 || got[0].Server == first {
		t.Fatalf("want the request sent to another server: %+v", out)
	}
}

// TestOneFinalAnswerBeforeTheDeadline: each request has exactly one final answer before its deadline.
func TestOneFinalAnswerBeforeTheDeadline(t *testing.T) {
	for class, want := range map[int]ActionKind{classAny: Reject, classWriteOnce: Fail, classKeyedWrite: Fail} {
		h := newGroupOfThree(t, nil)
		h.handle(&Request{ID: "1", Class: class, Deadline: h.now + 200*ms})
		out := h.advance(200 * ms)
		if got := finalAnswers(out); len(got) != 1 || got[0].Kind != want {
			t.Fatalf("class %d: final answers %+v, want one of kind %v", class, got, want)
		}
		h.wantNone(Send, h.end("1", 0, "p", TimedOut))
		h.wantNone(Send, h.advance(time.Second))
	}
}

// TestRequestIsRejectedOnceItsObjectiveHasPassed: a request without late weight that no server can take is rejected
// once its objective has passed, with the longest retry-after time.
func TestRequestIsRejectedOnceItsObjectiveHasPassed(t *testing.T) {
	h := newHarness(t, testSettings()) // no servers
	if got := finalAnswers(append(h.request("1", classBounded), h.advance(410*ms)...)); len(got) != 1 || got[0].Kind != Reject {
		t.Fatalf("want a rejection once the objective has passed: %+v", got)
	} else if got[0].Wait != time.Second { // there was no capacity until the objective, so an early retry is useless
		t.Fatalf("retry after %v, want the longest time, 1 s", got[0].Wait)
	}
}

// TestClientRetriesWaitBehindFirstAttempts: of two waiting requests, a client's first attempt is sent before a client's
// retry.
func TestClientRetriesWaitBehindFirstAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := 0; h.r.hasCapacity(h.r.servers["p"], &request{class: &h.r.classes[classAny]}); i++ {
		h.request(RequestID(fmt.Sprint("fill", i)), classAny)
	}
	h.handle(&Request{ID: "retry", Class: classAny, Deadline: h.now + time.Second, ClientRetry: true})
	h.request("first", classAny)
	h.now += 10 * ms
	if got := actionsOf(Send, h.end("fill0", 0, "p", OK)); len(got) == 0 || got[0].ID != "first" {
		t.Errorf("sends once capacity is free: %+v, want the client's first attempt to be the first", got)
	}
}

// TestRequestThatReachedNoServerHasHalfItsTime guards against holding a write for a missing primary until it is too late
// for its client to retry. Waiting for the second half of the deadline gains nothing, and a late rejection without an
// attempt costs 0.3 of the weight. A request whose connection failed has not reached a server; one that was misdirected
// has.
func TestRequestThatReachedNoServerHasHalfItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		most   time.Duration
		least  time.Duration
	}{
		"never sent":  {OK, 1500 * ms, 1400 * ms},
		"unreachable": {Unreachable, 1500 * ms, 1400 * ms},
		"seen":        {Misdirected, 3000 * ms, 2900 * ms},
	} {
		h := newGroupOfThree(t, func(s *Settings) { s.MayCheckHealth = false })
		began := h.now
		if c.result == OK {
			h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: Removed}}})
			h.request("w", classWriteOnce)
		} else {
			h.wantSend(h.request("w", classWriteOnce), "w", "p")
			h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: Removed}}})
			h.end("w", 0, "p", c.result)
		}
		for len(finalAnswers(h.advance(10*ms))) == 0 && h.now-began < 4*time.Second {
		}
		if took := h.now - began; took < c.least || took > c.most {
			t.Errorf("%s: given up after %v, want %v to %v", name, took, c.least, c.most)
		}
	}
}
