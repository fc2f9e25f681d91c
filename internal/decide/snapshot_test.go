package decide

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMergeTakesNewerAndValidEvidence: a router adopts from another's snapshot only evidence that is newer than its own
// and within valid ranges.
func TestMergeTakesNewerAndValidEvidence(t *testing.T) {
	list := &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "a", Capacity: 1}, {Server: "b", Capacity: 1}}}
	settings := Settings{Peers: 1, Tick: time.Millisecond, MayCheckHealth: true,
		Classes: []Class{{LatencyObjective: time.Second, PriorityWeight: 1}}, SlowStartTime: 10 * time.Second, SlowStartFrom: 0.2}
	made := func() *Router {
		r := New(settings, 1)
		r.Handle(100*time.Second, list, nil)
		return r
	}
	old := made()
	old.Handle(101*time.Second, &HealthCheckResult{Server: "a", Result: OK,
		Load: Report{Role: RolePrimary, HasPosition: true, Position: 101 * time.Second}}, nil)
	old.Handle(102*time.Second, &HealthCheckResult{Server: "b", Result: OK,
		Load: Report{Role: RoleReplica, HasPosition: true, Position: 99 * time.Second}}, nil)
	old.servers["b"].startedAt, old.servers["b"].slowStartUsed, old.servers["b"].slowStartUsedAt = 98*time.Second, 3, 101*time.Second
	old.servers["b"].relativeRate, old.classes[0].averageWork, old.averageWork = 1.5, 0.04, 0.05
	snapshot := old.Snapshot()

	next := made()
	next.Merge(103*time.Second, snapshot)
	if diff := cmp.Diff(snapshot, next.Snapshot()); diff != "" {
		t.Errorf("snapshot after a merge into a new router (-want +got):\n%s", diff)
	}
	if p := next.primary(next.groups[0]); p == nil || p.id != "a" {
		t.Errorf("primary after the merge is %v, want a", p)
	}
	next.Handle(104*time.Second, &HealthCheckResult{Server: "a", Result: OK,
		Load: Report{Role: RoleReplica, HasPosition: true, Position: 104 * time.Second}}, nil)
	before := next.Snapshot()
	next.Merge(105*time.Second, snapshot) // the snapshot is older than the last report of a
	if diff := cmp.Diff(before.Servers[0], next.Snapshot().Servers[0]); diff != "" {
		t.Errorf("server a after the merge of an older snapshot (-want +got):\n%s", diff)
	}

	hostile := *snapshot
	hostile.AverageWork, hostile.ClassWork, hostile.KindRates = math.Inf(1), []float64{-1}, map[int]float64{0: 1e9}
	hostile.Servers = []ServerSnapshot{{ID: "a", Role: 9, RoleAt: 300 * time.Second, Position: 300 * time.Second,
		RelativeRate: -1, StartedAt: 300 * time.Second, SlowStartUsed: 1e9}, {ID: "c"}}
	other := made()
	want := other.Snapshot()
	other.Merge(103*time.Second, &hostile)
	if diff := cmp.Diff(want, other.Snapshot()); diff != "" {
		t.Errorf("snapshot after the merge of values out of range (-want +got):\n%s", diff)
	}
}

// TestProcessesShareTheSlowStartBudget: two processes that act as one router may together send a cold server as much work
// as a single process.
func TestProcessesShareTheSlowStartBudget(t *testing.T) {
	allowance := func(processes int) float64 {
		settings := Settings{Peers: 1, Processes: processes, Classes: []Class{{LatencyObjective: time.Second, PriorityWeight: 1}},
			SlowStartTime: 10 * time.Second, SlowStartFrom: 0.5,
			SlowStartMultiple: 2.5, SlowStartSpan: 1500 * time.Millisecond}
		r := New(settings, 1)
		r.Handle(100*time.Second, &EndpointList{Kind: ListRestored,
			Endpoints: []Endpoint{{Server: "a", Capacity: 1, Started: 100 * time.Second}}}, nil)
		s, req := r.servers["a"], &request{class: &r.classes[0], relativeWork: 1}
		sent := 0.0
		for s.slowStartUsed = 0; r.slowStartAllows(s, req); s.slowStartUsed += 0.01 {
			sent += 0.01
		}
		return sent + req.expectedWork() // the depth of the bucket
	}
	if one, two := allowance(1), allowance(2); one <= 0 || two < 0.45*one || two > 0.55*one {
		t.Errorf("a single process may send %.2f of work, each of two %.2f; want about half", one, two)
	}
}
