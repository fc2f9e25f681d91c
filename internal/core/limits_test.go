package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/platform"
)

// manualLoop is a loop whose time is set by tests. It collects timers and does not run them.
type manualLoop struct {
	stub
	now    float64
	timers []func()
}

func (loop *manualLoop) Now() float64 { return loop.now }
func (loop *manualLoop) At(_ float64, do func()) *timers.Timer {
	loop.timers = append(loop.timers, do)
	return nil
}

// rejectedClient records the retry delays of the rejections that it receives.
type rejectedClient struct {
	stub
	waits []float64
}

func (client *rejectedClient) Rejected(wait float64) { client.waits = append(client.waits, wait) }

// fakeLeases are leases that end at the time due, by the function end.
type fakeLeases struct {
	due float64
	end func()
}

func (leases *fakeLeases) Due() float64 { return leases.due }
func (leases *fakeLeases) Expire()      { leases.due = 1e12; leases.end() }

// TestLimitAllowsOnlyWhatWasAssigned: a pooler may use nothing of a fleet-wide limit until a part is assigned, then that part. A lease
// that is over ends before a request uses it. Requests beyond the part are rejected at once, with a retry delay.
func TestLimitAllowsOnlyWhatWasAssigned(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Tenants: []string{"a", "b"},
		Settings: decide.Settings{Peers: 4, Tick: time.Millisecond, MaxAttempts: 8,
			MaxRetryAfter: 2 * time.Second, Tenants: make([]decide.Tenant, 2),
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	loop, servers, client, leases := &manualLoop{now: 1e6}, &countingServers{}, &rejectedClient{}, &fakeLeases{due: 1e12}
	c := New(loop, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, loop)
	c.SetLimits([]Limit{{Name: "x", Kind: LimitTenantRequests, Tenant: "a", Amount: 100, Hard: true}}, leases)
	n := 0
	submit := func(tenant string, times int) (admitted int) {
		t.Helper()
		before := len(client.waits)
		for range times {
			n++
			if _, err := c.Submit(platform.Request{ID: fmt.Sprint(n), Class: "read", Tenant: tenant, Deadline: loop.now + 9000,
				Query: stub{}}, client); err != nil {
				t.Fatalf("submit request %d of tenant %s: %v", n, tenant, err)
			}
		}
		return times - (len(client.waits) - before)
	}
	if got := submit("a", 3); got != 0 {
		t.Errorf("%d requests were admitted before a part was assigned, want none", got)
	}
	if got := submit("b", 3); got != 3 {
		t.Errorf("%d of 3 requests of another tenant were admitted, want all", got)
	}
	c.SetAllowance("x", 10, 4)
	if got := submit("a", 3); got != 0 {
		t.Errorf("%d requests were admitted by a bucket that begins empty, want none", got)
	}
	if wait := client.waits[len(client.waits)-1]; wait < 99 || wait > 101 { // one request in 100 ms
		t.Errorf("rejected with a retry delay of %v ms, want 100", wait)
	}
	loop.now += 1000
	if got := submit("a", 9); got != 4 { // the burst
		t.Errorf("%d requests were admitted after a second, want the burst of 4", got)
	}
	c.SetAllowance("x", 1000, 400)
	loop.now += 5
	if got := submit("a", 9); got != 5 {
		t.Errorf("%d requests were admitted 5 ms after a rate of 1000 a second was assigned, want 5", got)
	}
	loop.now += 1000
	leases.due, leases.end = loop.now, func() { c.SetAllowance("x", 0, 0) }
	if got := submit("a", 9); got != 0 {
		t.Errorf("%d requests were admitted by a lease that was over, want none", got)
	}
	c.SetLimits(nil, nil)
	if got := submit("a", 9); got != 9 {
		t.Errorf("%d of 9 requests were admitted without the limit, want all", got)
	}
	if demand, ok := c.Demand("x"); ok {
		t.Errorf("a demand of %v is reported without the limit, want none", demand)
	}
}

// TestLimitedHealthChecksWaitForTheirTurn: limited health checks wait for their turn, and those that still wait run at once
// when the limit is removed.
func TestLimitedHealthChecksWaitForTheirTurn(t *testing.T) {
	loop := &manualLoop{now: 1e6}
	c := New(loop, slog.New(slog.DiscardHandler), &config.Config{})
	c.Start(&countingServers{}, loop)
	c.SetLimits([]Limit{{Name: "p", Kind: LimitHealthChecks}}, nil)
	done := 0
	check := func() { c.limits.use(LimitHealthChecks, "").run(func() { done++ }) }
	for range 5 {
		check()
	}
	if done != 0 {
		t.Fatalf("%d actions ran before a part was assigned, want none", done)
	}
	c.SetAllowance("p", 10, 2)
	loop.now += 100
	timers := loop.timers
	loop.timers = nil
	for _, f := range timers {
		f()
	}
	if done != 1 {
		t.Errorf("%d actions ran in 100 ms at ten a second, want 1", done)
	}
	loop.now += 10000
	c.SetAllowance("p", 20, 2)
	if done != 3 {
		t.Errorf("%d actions ran in all, want 3 with a burst of 2", done)
	}
	if demand, ok := c.Demand("p"); !ok || demand > 0.3 {
		t.Errorf("demand 10 s after the last use: got %v, reported %v; want at most 0.3, true", demand, ok)
	}
	c.SetLimits(nil, nil)
	if done != 5 {
		t.Errorf("%d actions ran in all, want 5 once the limit is removed", done)
	}
}
