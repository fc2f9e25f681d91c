package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixedClock is a clock that shows the time to which it is set and fires no events.
type fixedClock struct{ ms float64 }

func (c *fixedClock) Now() float64                 { return c.ms }
func (c *fixedClock) After(float64, Event, uint64) {}

// noopWatcher is a Watcher that does nothing.
type noopWatcher struct{}

func (noopWatcher) Down(*Server)                {}
func (noopWatcher) FactRecorded(Fact)           {}
func (noopWatcher) Listed(*Entry, float64)      {}
func (noopWatcher) ListDown(bool)               {}
func (noopWatcher) Registered()                 {}
func (noopWatcher) Executed(*Server, *Job, Run) {}

// newTestWorld returns a world on a fixedClock, with a ship delay of 10 ms and an apply time of 20 ms.
func newTestWorld(groups ...int) (*World, *fixedClock) {
	clk := &fixedClock{1.7e12}
	cfg := Defaults(groups...)
	cfg.ShipDelay, cfg.ApplyMs = Range{10, 10}, 20
	return New(cfg, clk, noopWatcher{}), clk
}

// TestPositions guards against replicas that return writes which they cannot have applied yet: a position covers all
// commits up to it, and a read returns the value as of that position.
func TestPositions(t *testing.T) {
	world, clk := newTestWorld(2)
	group, primary, replica := world.Groups[0], world.Servers[0], world.Servers[1]
	type observation struct {
		Position float64
		Value    string
	}
	observe := func(s *Server, at float64) observation {
		clk.ms = 1.7e12 + at
		s.advance(clk.ms)
		return observation{s.position(clk.ms) - 1.7e12, string(s.Read("k"))}
	}
	clk.ms = 1.7e12 + 99.5
	if commit := group.Write(clk.ms, "k", []byte("a")); commit != 1.7e12+100 {
		t.Errorf("commit position is %v, want 100 (rounded up)", commit-1.7e12)
	}
	group.Write(1.7e12+105, "k", []byte("b"))
	for _, c := range []struct {
		at   float64
		want observation
	}{{105, observation{95, ""}}, {115, observation{99, ""}}, {129, observation{99, ""}}, {131, observation{104, "a"}}, {149, observation{104, "a"}}, {151, observation{141, "b"}}} {
		if diff := cmp.Diff(c.want, observe(replica, c.at)); diff != "" {
			t.Errorf("position and value at the replica at %v ms (-want +got):\n%s", c.at, diff)
		}
	}
	if diff := cmp.Diff(observation{151, "b"}, observe(primary, 151)); diff != "" {
		t.Errorf("position and value at the primary (-want +got):\n%s", diff)
	}
	group.Write(1.7e12+160, "k", []byte("c"))
	clk.ms = 1.7e12 + 165
	if err := world.Kill(primary.Name); err != nil {
		t.Fatalf("killing the primary %s: %v", primary.Name, err)
	}
	if diff := cmp.Diff(observation{165, "c"}, observe(replica, 900)); diff != "" {
		t.Errorf("the replica's position advanced without a primary (-want +got):\n%s", diff)
	}
	group.Primary = nil
	group.promote(clk.ms)
	if group.Primary != replica || observe(replica, 950).Position != 950 {
		t.Errorf("the replica did not take over as primary, or its position is not 950: %+v", observe(replica, 950))
	}
	group.Write(1.7e12+960, "k", []byte("d"))
	clk.ms = 1.7e12 + 2000
	if err := world.Revive(primary.Name); err != nil {
		t.Fatalf("restarting the old primary %s: %v", primary.Name, err)
	}
	if diff := cmp.Diff(observation{959, "c"}, observe(primary, 2000)); diff != "" {
		t.Errorf("the old primary did not resume from its frozen position (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(observation{2030, "d"}, observe(primary, 2040)); diff != "" {
		t.Errorf("the old primary did not catch up (-want +got):\n%s", diff)
	}
	if w := primary.Warmth(2000 + 1.7e12); w != world.Cfg.ColdShare {
		t.Errorf("the restarted server has a share of %v of its capacity, want %v", w, world.Cfg.ColdShare)
	}
}

// TestColdServerFailsUnderOverload guards against a cold server that withstands any amount of work: the model
// must make it fail once the work of the overload window exceeds its bound.
func TestColdServerFailsUnderOverload(t *testing.T) {
	world, clk := newTestWorld(1)
	s := world.Servers[0]
	s.Started = clk.ms
	sum, failed := 0.0, false
	for !failed && sum < 1e5 {
		failed = s.recordColdWork(clk.ms, 10)
		sum += 10
	}
	if want := 2.5 * 0.15 * 4 * 1500; !failed || sum < want || sum > want+20 {
		t.Errorf("cold server failed: %v, after %v ms of work; want a failure at %v ms or at most 20 ms above", failed, sum, want)
	}
	clk.ms += 60000
	if s.recordColdWork(clk.ms, 1e6) {
		t.Error("a warm server failed under overload")
	}
}
