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

// hand is a loop whose time tests set.
type hand struct {
	still
	now float64
	at  []func()
}

func (h *hand) Now() float64 { return h.now }
func (h *hand) At(_ float64, do func()) *timers.Timer {
	h.at = append(h.at, do)
	return nil
}

// ends counts how requests end.
type ends struct {
	still
	refused []float64
}

func (e *ends) Rejected(wait float64) { e.refused = append(e.refused, wait) }

// leases end at a time, and are taken back by a function.
type leases struct {
	due float64
	end func()
}

func (l *leases) Due() float64 { return l.due }
func (l *leases) Expire()      { l.due = 1e12; l.end() }

// TestLimitAllowsOnlyWhatWasAssigned: of a limit that holds for the whole fleet a pooler may use nothing until it is told, then what it is told, and a lease
// that is over is so before a request that comes then is looked at. What is beyond is refused at once, and told when to come again.
func TestLimitAllowsOnlyWhatWasAssigned(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Tenants: []string{"a", "b"}, Settings: decide.Settings{Peers: 4, Tick: time.Millisecond, MaxAttempts: 8,
		MaxRetryAfter: 2 * time.Second, Tenants: make([]decide.Tenant, 2),
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	l, servers, client, lease := &hand{now: 1e6}, &counting{}, &ends{}, &leases{due: 1e12}
	c := New(l, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, l)
	c.SetLimits([]Limit{{Name: "x", Kind: LimitTenantRequests, Tenant: "a", Amount: 100, Hard: true}}, lease)
	n := 0
	ask := func(tenant string, times int) (let int) {
		t.Helper()
		before := len(client.refused)
		for range times {
			n++
			if _, err := c.Submit(platform.Request{ID: fmt.Sprint(n), Class: "read", Tenant: tenant, Deadline: l.now + 9000, Query: still{}}, client); err != nil {
				t.Fatal(err)
			}
		}
		return times - (len(client.refused) - before)
	}
	if got := ask("a", 3); got != 0 {
		t.Errorf("%d were let in before anything was told", got)
	}
	if got := ask("b", 3); got != 3 {
		t.Errorf("%d of another tenant", got)
	}
	c.Allow("x", 10, 4)
	if got := ask("a", 3); got != 0 {
		t.Errorf("%d were let in by a bucket that is to begin empty", got)
	}
	if w := client.refused[len(client.refused)-1]; w < 99 || w > 101 { // one in 100 ms
		t.Errorf("advice %v", w)
	}
	l.now += 1000
	if got := ask("a", 9); got != 4 { // the burst
		t.Errorf("%d after a second", got)
	}
	c.Allow("x", 1000, 400)
	l.now += 5
	if got := ask("a", 9); got != 5 {
		t.Errorf("%d in the 5 ms after it was told of a thousand a second", got)
	}
	l.now += 1000
	lease.due, lease.end = l.now, func() { c.Allow("x", 0, 0) }
	if got := ask("a", 9); got != 0 {
		t.Errorf("%d by a lease that was over", got)
	}
	c.SetLimits(nil, nil)
	if got := ask("a", 9); got != 9 {
		t.Errorf("%d of 9 without the limit", got)
	}
	if d, ok := c.Demand("x"); ok {
		t.Errorf("a demand of %v of what is no limit", d)
	}
}

// TestLimitedProbesWaitForTheirTurn: probes wait for their turn where they are limited, and go at once where they are no more.
func TestLimitedProbesWaitForTheirTurn(t *testing.T) {
	l := &hand{now: 1e6}
	c := New(l, slog.New(slog.DiscardHandler), &config.Config{})
	c.Start(&counting{}, l)
	c.SetLimits([]Limit{{Name: "p", Kind: LimitHealthChecks}}, nil)
	done := 0
	probe := func() { c.limits.use(LimitHealthChecks, "").run(func() { done++ }) }
	for range 5 {
		probe()
	}
	if done != 0 {
		t.Fatalf("%d before anything was told", done)
	}
	c.Allow("p", 10, 2)
	l.now += 100
	timers := l.at
	l.at = nil
	for _, f := range timers {
		f()
	}
	if done != 1 {
		t.Errorf("%d after 100 ms at ten a second", done)
	}
	l.now += 10000
	c.Allow("p", 20, 2)
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
