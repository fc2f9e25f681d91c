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

// manualLoop is a loop whose time tests set.
type manualLoop struct {
	stub
	now    float64
	timers []func()
}

func (h *manualLoop) Now() float64 { return h.now }
func (h *manualLoop) At(_ float64, do func()) *timers.Timer {
	h.timers = append(h.timers, do)
	return nil
}

// rejectedClient records the waits that it is advised.
type rejectedClient struct {
	stub
	waits []float64
}

func (e *rejectedClient) Rejected(wait float64) { e.waits = append(e.waits, wait) }

// fakeLeases expire at a time, by a function.
type fakeLeases struct {
	due float64
	end func()
}

func (l *fakeLeases) Due() float64 { return l.due }
func (l *fakeLeases) Expire()      { l.due = 1e12; l.end() }

// TestLimitAllowsOnlyWhatWasAssigned: of a limit of the whole fleet a pooler may use nothing until a part is assigned,
// then that part, and a lease that is over ends before the request that comes then. Requests beyond it are rejected at
// once, with the time to wait.
func TestLimitAllowsOnlyWhatWasAssigned(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Tenants: []string{"a", "b"},
		Settings: decide.Settings{Peers: 4, Tick: time.Millisecond, MaxAttempts: 8,
			MaxRetryAfter: 2 * time.Second, Tenants: make([]decide.Tenant, 2),
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	l, servers, client, lease := &manualLoop{now: 1e6}, &countingServers{}, &rejectedClient{}, &fakeLeases{due: 1e12}
	c := New(l, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, l)
	c.SetLimits([]Limit{{Name: "x", Kind: LimitTenantRequests, Tenant: "a", Amount: 100, Hard: true}}, lease)
	n := 0
	ask := func(tenant string, times int) (let int) {
		t.Helper()
		before := len(client.waits)
		for range times {
			n++
			if _, err := c.Submit(platform.Request{ID: fmt.Sprint(n), Class: "read", Tenant: tenant, Deadline: l.now + 9000,
				Query: stub{}}, client); err != nil {
				t.Fatal(err)
			}
		}
		return times - (len(client.waits) - before)
	}
	if got := ask("a", 3); got != 0 {
		t.Errorf("%d were admitted before a part was assigned", got)
	}
	if got := ask("b", 3); got != 3 {
		t.Errorf("%d of another tenant", got)
	}
	c.SetAllowance("x", 10, 4)
	if got := ask("a", 3); got != 0 {
		t.Errorf("%d were admitted by a bucket that begins empty", got)
	}
	if w := client.waits[len(client.waits)-1]; w < 99 || w > 101 { // one in 100 ms
		t.Errorf("advice %v", w)
	}
	l.now += 1000
	if got := ask("a", 9); got != 4 { // the burst
		t.Errorf("%d after a second", got)
	}
	c.SetAllowance("x", 1000, 400)
	l.now += 5
	if got := ask("a", 9); got != 5 {
		t.Errorf("%d in the 5 ms after a thousand a second were assigned", got)
	}
	l.now += 1000
	lease.due, lease.end = l.now, func() { c.SetAllowance("x", 0, 0) }
	if got := ask("a", 9); got != 0 {
		t.Errorf("%d by a lease that was over", got)
	}
	c.SetLimits(nil, nil)
	if got := ask("a", 9); got != 9 {
		t.Errorf("%d of 9 without the limit", got)
	}
	if d, ok := c.Demand("x"); ok {
		t.Errorf("a demand of %v for no limit", d)
	}
}

// TestLimitedHealthChecksWaitForTheirTurn: health checks wait for their turn while they are limited, and run at once
// when the limit is lifted.
func TestLimitedHealthChecksWaitForTheirTurn(t *testing.T) {
	l := &manualLoop{now: 1e6}
	c := New(l, slog.New(slog.DiscardHandler), &config.Config{})
	c.Start(&countingServers{}, l)
	c.SetLimits([]Limit{{Name: "p", Kind: LimitHealthChecks}}, nil)
	done := 0
	check := func() { c.limits.use(LimitHealthChecks, "").run(func() { done++ }) }
	for range 5 {
		check()
	}
	if done != 0 {
		t.Fatalf("%d before a part was assigned", done)
	}
	c.SetAllowance("p", 10, 2)
	l.now += 100
	timers := l.timers
	l.timers = nil
	for _, f := range timers {
		f()
	}
	if done != 1 {
		t.Errorf("%d after 100 ms at ten a second", done)
	}
	l.now += 10000
	c.SetAllowance("p", 20, 2)
	if done != 3 {
		t.Errorf("%d with a burst of 2", done)
	}
	if d, ok := c.Demand("p"); !ok || d > 0.3 {
		t.Errorf("a demand of %v long after", d)
	}
	c.SetLimits(nil, nil)
	if done != 5 {
		t.Errorf("%d once there is no limit", done)
	}
}
