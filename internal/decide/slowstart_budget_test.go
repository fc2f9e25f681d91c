package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestColdServerStaysWithinItsBudget: the work sent to a cold server within a span stays within this router's share of the
// budget.
func TestColdServerStaysWithinItsBudget(t *testing.T) {
	for _, peers := range []int{1, 3} {
		settings := testSettings()
		settings.Peers = peers
		h := newHarness(t, settings, Endpoint{Server: "a", Started: start})
		h.report("a", RoleReplica, h.now)
		sent := 0
		for i := range 200 {
			id := RequestID(fmt.Sprint(i))
			for _, a := range append(h.request(id, classAny), h.advance(5*ms)...) {
				if a.Kind == Send {
					sent++
					h.end(a.ID, 0, "a", Overloaded)
					h.r.servers["a"].overloadedUntil = 0
				}
			}
		}
		work := float64(sent) * h.r.classes[classAny].averageWork
		most := settings.SlowStartMultiple * 0.3 * fullRateConcurrency * initialKindRate / float64(peers)
		if sent == 0 || work > most {
			t.Errorf("%d routers: %d sends, %v of work, want some and at most %v", peers, sent, work, most)
		}
	}
}

// TestServerIsColdAfterAnOutage: a server that refused connections for a while has probably restarted, and counts as cold.
func TestServerIsColdAfterAnOutage(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := actionsOf(Send, h.request("1", classAny))[0].Server
	h.end("1", 0, s, Unreachable)
	h.handle(&HealthCheckResult{Server: s, Result: Unreachable})
	h.now += restartOutage + ms
	h.report(s, RoleReplica, h.now)
	if w := h.r.warmUpFactor(h.r.servers[s]); w > 0.3 {
		t.Errorf("warm-up factor %v after an outage, want at most 0.3", w)
	}
}

// TestManyRoutersTogetherKeepTheSlowStartBudget: the share of each of many routers is less than one request, yet the sum
// of what they send must neither be zero nor exceed the budget. Fails if a router only sends what fits into its share.
func TestManyRoutersTogetherKeepTheSlowStartBudget(t *testing.T) {
	const routers = 200
	settings := testSettings()
	settings.Peers = routers
	var all []*harness
	for i := range routers {
		h := &harness{t: t, r: New(settings, uint64(i+1)), now: start}
		h.handle(&EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p", Primary: true}}})
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", Started: start}}})
		all = append(all, h)
	}
	work := all[0].r.classes[classAny].averageWork
	allowed := settings.SlowStartMultiple * settings.SlowStartFrom * fullRateConcurrency * initialKindRate // work per second just after the start
	var sent []float64                                                                                     // work by tenth of a second
	for step := range 30 {
		n := 0
		for i, h := range all {
			h.now = start + Time(step)*100*ms
			n += len(actionsOf(Send, h.handle(&Request{ID: RequestID(fmt.Sprint(i, "-", step)), Class: classAny, Deadline: h.now + time.Second})))
		}
		sent = append(sent, float64(n)*work)
	}
	for i := 0; i+10 <= len(sent); i++ {
		sum := 0.0
		for _, w := range sent[i : i+10] {
			sum += w
		}
		if most := allowed * (1 + 4*float64(i+10)/100); sum > most {
			t.Errorf("%.2f of work in the second from %d ms, allowed %.2f", sum, i*100, most)
		}
		if i == 0 && sum == 0 {
			t.Error("nothing at all was sent to the cold server in its first second")
		}
	}
}
