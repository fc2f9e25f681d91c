package decide

import (
	"fmt"
	"testing"
	"time"
)

// hour is the size of a clock step by operator error.
const hour = time.Hour

// observeAnswer observes the answer to a health check by a server whose clock is ahead of the router's by ahead. The
// network delay is 2 ms in each direction.
func (clock *clockOffset) observeAnswer(now Time, ahead time.Duration) {
	clock.observe(now, now-4*ms, now-2*ms+ahead)
}

// TestClockOffset: reports of the primary show how far its clock is ahead. The estimate is raised at once, as reads
// would otherwise be too stale, and lowered only when several agree.
func TestClockOffset(t *testing.T) {
	near := func(t *testing.T, c *clockOffset, want time.Duration) {
		t.Helper()
		if off := c.ahead - want; off < 0 || off > 4*ms {
			t.Errorf("estimate %v, want %v to 4 ms (the round trip) more", c.ahead, want)
		}
	}
	for _, ahead := range []time.Duration{hour, -hour, 3 * time.Second, -3 * time.Second} {
		t.Run(ahead.String(), func(t *testing.T) {
			c, now := &clockOffset{}, start
			for range 12 {
				c.observeAnswer(now, ahead)
				now += 100 * ms
			}
			near(t, c, ahead)
			for range 12 {
				c.observeAnswer(now, 0) // another server, without an offset, has become the primary
				now += 100 * ms
			}
			near(t, c, 0)
		})
	}
	t.Run("differences that delays explain", func(t *testing.T) {
		c := &clockOffset{}
		for n := range 100 {
			c.observeAnswer(start+Time(n)*100*ms, time.Duration(n%5-2)*100*ms)
			c.observe(start, start-3*time.Second, start-3*time.Second) // an answer with a long round trip
			c.observe(start, never, start-20*time.Second)              // a load report of unknown age
		}
		if c.ahead != 0 {
			t.Errorf("estimate %v from differences that delays explain, want 0", c.ahead)
		}
	})
	t.Run("a primary whose clock stands still", func(t *testing.T) {
		c := &clockOffset{}
		for n := range 100 {
			now := start + Time(n)*200*ms
			c.observe(now, now-4*ms, start-10*time.Second)
		}
		if c.ahead != 0 {
			t.Errorf("estimate %v from the reports of one server whose clock stands still, want 0", c.ahead)
		}
	})
	t.Run("two servers that report to be the primary", func(t *testing.T) {
		c := &clockOffset{}
		for n := range 100 {
			c.observeAnswer(start+Time(n)*100*ms, time.Duration(n%2)*-hour)
		}
		if c.ahead != 0 {
			t.Errorf("estimate %v from the answers of two primaries that differ, want 0", c.ahead)
		}
	})
}

// TestReadsWithAFastRouterClock: this router's clock is an hour ahead of the servers'. Until reports agree on the offset,
// the primary serves bounded reads. From then on replicas that are up to date serve them too, replicas that are behind do
// not, and a server that has started recently by the servers' clock counts as cold. The test guards against sending no
// more health checks to a primary that seems an hour behind.
func TestReadsWithAFastRouterClock(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Capacity: 1},
		Endpoint{Server: "a", Capacity: 1, Started: start - hour - 100*ms}, Endpoint{Server: "b", Capacity: 1})
	if h.r.warmUpFactor(h.r.servers["a"]) != 1 {
		t.Fatal("before the offset is known, the server must count as warm")
	}
	position := map[ServerID]time.Duration{"p": 0, "a": 100 * ms, "b": second}
	served := map[ServerID]int{}
	for n := range 60 {
		out := append(h.advance(50*ms), h.request(RequestID(fmt.Sprint(n)), classBounded)...)
		for len(out) > 0 { // health checks are answered after 4 ms, requests at once
			a := out[0]
			out = out[1:]
			if a.Kind == HealthCheck {
				h.now += 4 * ms
				report := Report{Role: RoleReplica, Position: h.now - 2*ms - hour - position[a.Server], HasPosition: true}
				if a.Server == "p" {
					report.Role = RolePrimary
				}
				out = append(out, h.handle(&HealthCheckResult{Server: a.Server, Load: report})...)
			}
			if a.Kind == Send {
				served[a.Server]++
				out = append(out, h.end(a.ID, a.Attempt, a.Server, OK)...)
			}
		}
	}
	if served["a"] == 0 || served["b"] > 0 || served["a"]+served["p"] < 58 {
		t.Errorf("of 60 reads, served by server: %v; want at least 58 in all, some by a, none by b", served)
	}
	if h.r.warmUpFactor(h.r.servers["a"]) == 1 {
		t.Error("a server that started 3 s ago counts as warm")
	}
}
