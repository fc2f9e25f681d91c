package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"beechgrade/internal/backend"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/platform"
)

// stub is a loop, directory, client and query that do nothing.
type stub struct{}

func (stub) Now() float64                       { return 1e6 }
func (stub) At(float64, func()) *timers.Timer   { return nil }
func (stub) Watch()                             {}
func (stub) Fetch()                             {}
func (stub) Served([]byte)                      {}
func (stub) Rejected(float64)                   {}
func (stub) Failed()                            {}
func (stub) AppendQuery(b []byte, _ int) []byte { return b }

// manualClock is a loop whose time is set by tests.
type manualClock struct {
	stub
	now float64
}

func (loop *manualClock) Now() float64 { return loop.now }

// countingServers count the attempts that are started.
type countingServers struct{ started int }

func (*countingServers) SetAddress(string, string)                   {}
func (*countingServers) CloseIdle(string)                            {}
func (*countingServers) Forget(string)                               {}
func (*countingServers) Retain(map[string]bool)                      {}
func (*countingServers) Recall(string, func(backend.AttemptID) bool) {}
func (*countingServers) CheckHealth(string)                          {}
func (*countingServers) Cancel(slotmap.Ref)                          {}
func (servers *countingServers) Start(string, backend.Query, float64, backend.SendConditions, backend.AttemptID) slotmap.Ref {
	servers.started++
	return slotmap.Ref{}
}

// TestPeersShareTheSlowStartBudget: the slow-start budget is divided by the number of poolers that may be sending if it is known, and
// by the settings' number once it is not known any more.
func TestPeersShareTheSlowStartBudget(t *testing.T) {
	sent := func(peerCounts ...int) int {
		cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
			SlowStartMultiple: 3, SlowStartSpan: 1500 * time.Millisecond, SlowStartFrom: 0.5, SlowStartTime: 18 * time.Second,
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
			InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5",
				Lifecycle: "up", StartedAtMs: 998000, Weight: 1}}}}
		loop := &manualClock{now: 1e6 - 1500} // a process sends nothing to a cold server in the first SlowStartSpan after its start
		c, servers := New(loop, slog.New(slog.DiscardHandler), cfg), &countingServers{}
		c.Start(servers, stub{})
		for _, n := range peerCounts {
			c.SetPeers(n)
		}
		loop.now = 1e6
		for i := range 40 {
			if _, err := c.Submit(platform.Request{ID: fmt.Sprint(i), Class: "read", Deadline: 1e6 + 9000, Query: stub{}}, stub{}); err != nil {
				t.Fatalf("submit request %d: %v", i, err)
			}
		}
		return servers.started
	}
	alone, oneOfMany, aloneAgain := sent(), sent(40), sent(40, 0)
	if oneOfMany >= alone || alone == 0 {
		t.Errorf("sends of a pooler that is one of 40: %d, want fewer than alone, %d, and some alone", oneOfMany, alone)
	}
	if aloneAgain != alone {
		t.Errorf("the pooler sends %d once the number of peers is unknown again, want %d", aloneAgain, alone)
	}
}
