package view

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestInvariantsHold checks the invariants while processes start, end, are cut off, use each other's names and addresses, are paused and
// receive outdated and false records, in random order.
func TestInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		cluster, checks := &testCluster{now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}, invariant.Test(t)
		join := func(name, addr string) {
			settings := Defaults()
			settings.SeedAddresses, settings.RandomSeed, settings.ExpectedPoolers, settings.Retention, settings.SendingTimeout =
				[]string{"at-0"}, uint64(len(cluster.views)), 4, 20000, 5000
			v := New(settings, Record{ID: NewID(cluster.now, uint64(len(cluster.views)+1)), Name: name, Addr: addr}, cluster.now)
			v.CheckInvariants(checks, 1)
			cluster.views = append(cluster.views, v)
		}
		for i := range 4 {
			join(fmt.Sprint("p", i), fmt.Sprint("at-", i))
		}
		anyProcess := func(t *rapid.T) int { return rapid.IntRange(0, len(cluster.views)-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"advance":              func(t *rapid.T) { cluster.advance(rapid.Float64Range(50, 4000).Draw(t, "ms")) },
			"pause all":            func(t *rapid.T) { cluster.now += rapid.Float64Range(100, 30000).Draw(t, "ms") },
			"cut off or reconnect": func(t *rapid.T) { i := anyProcess(t); cluster.cut[i] = !cluster.cut[i] },
			"kill":                 func(t *rapid.T) { cluster.dead[anyProcess(t)] = true },
			"join": func(t *rapid.T) { // possibly with the name or the address of another process
				if len(cluster.views) < 12 {
					join(fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "name")), fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "addr")))
				}
			},
			"drain": func(t *rapid.T) { cluster.handle(anyProcess(t), SetDraining{Draining: rapid.Bool().Draw(t, "on")}) },
			"leave": func(t *rapid.T) { i := anyProcess(t); cluster.handle(i, Leave{}); cluster.dead[i] = true },
			"gossip": func(t *rapid.T) { // from any process about any process, outdated, new or false
				from, subject := cluster.views[anyProcess(t)], cluster.views[anyProcess(t)]
				record := subject.Self()
				record.Incarnation = rapid.Uint32Range(0, 5).Draw(t, "incarnation")
				record.State = State(rapid.IntRange(0, int(Left)).Draw(t, "state"))
				record.Addr = fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "addr"))
				cluster.handle(anyProcess(t), Received{&Message{Kind: Gossip, From: from.Self().ID, Records: []Record{record}}})
			},
			"": func(*rapid.T) {},
		})
	})
}

// TestInvariantsDetectBrokenState checks that each invariant is reported for a state that violates it.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, corrupt := range map[string]func(v *View, other *member){
		"view: this process is alive in its own view":                   func(v *View, _ *member) { delete(v.members, v.self.ID) },
		"view: each member is indexed by its ID":                        func(_ *View, peer *member) { peer.ID++ },
		"view: a suspicion has an end":                                  func(_ *View, peer *member) { peer.State, peer.suspicionEnds = Suspect, 0 },
		"view: members that failed or left have the time when they did": func(_ *View, peer *member) { peer.unavailableSince = 1 },
		"view: the count of suspects is correct":                        func(v *View, _ *member) { v.suspectCount++ },
		"view: the ring has each running member once, in order":         func(v *View, _ *member) { slices.Reverse(v.ring) },
		"view: only failed members are reconnected to":                  func(v *View, peer *member) { v.failed = append(v.failed, peer) },
		"view: all failed members are reconnected to":                   func(_ *View, peer *member) { peer.State = Failed },
		"view: nothing refers to removed members":                       func(v *View, peer *member) { delete(v.members, peer.ID) },
		"view: each pending probe is in the probe order":                func(v *View, peer *member) { v.probes[1<<31] = &probe{member: peer} },
		"view: the number of members is bounded": func(v *View, peer *member) {
			for i := range ID(MaxRecords) {
				v.members[1<<40+i] = peer
			}
		},
	} {
		cluster := newTestCluster(t, "a", "b", "c", "d")
		cluster.advance(8000)
		v, checks := cluster.views[0], invariant.New(nil)
		if v.checkState(checks); len(checks.Breaches()) > 0 {
			t.Errorf("intact state: got breaches %v, want none", checks.Breaches())
		}
		corrupt(v, v.members[cluster.views[1].self.ID])
		v.checkState(checks)
		if !slices.ContainsFunc(checks.Breaches(), func(b invariant.Breach) bool { return b.Name == name }) {
			t.Errorf("broken state: got breaches %v, want one of %q", checks.Breaches(), name)
		}
	}
}
