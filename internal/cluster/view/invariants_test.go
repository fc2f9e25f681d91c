package view

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestInvariantsHold: the invariants hold while processes start, end, are cut off, take each other's names and addresses, are paused and
// receive old and false records, in any order.
func TestInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		f, c := &testCluster{now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}, invariant.Test(t)
		join := func(name, addr string) {
			s := Defaults()
			s.SeedAddresses, s.RandomSeed, s.ExpectedPoolers, s.Retention, s.SendingTimeout = []string{"at-0"}, uint64(len(f.views)), 4, 20000, 5000
			v := New(s, Record{ID: NewID(f.now, uint64(len(f.views)+1)), Name: name, Addr: addr}, f.now)
			v.CheckInvariants(c, 1)
			f.views = append(f.views, v)
		}
		for i := range 4 {
			join(fmt.Sprint("p", i), fmt.Sprint("at-", i))
		}
		who := func(t *rapid.T) int { return rapid.IntRange(0, len(f.views)-1).Draw(t, "who") }
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { f.advance(rapid.Float64Range(50, 4000).Draw(t, "ms")) },
			"stand": func(t *rapid.T) { f.now += rapid.Float64Range(100, 30000).Draw(t, "ms") },
			"cut":   func(t *rapid.T) { i := who(t); f.cut[i] = !f.cut[i] },
			"kill":  func(t *rapid.T) { f.dead[who(t)] = true },
			"join": func(t *rapid.T) { // with the name and the address of another, perhaps
				if len(f.views) < 12 {
					join(fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "name")), fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "at")))
				}
			},
			"drain": func(t *rapid.T) { f.handle(who(t), SetDraining{Draining: rapid.Bool().Draw(t, "on")}) },
			"leave": func(t *rapid.T) { i := who(t); f.handle(i, Leave{}); f.dead[i] = true },
			"word": func(t *rapid.T) { // of anybody, old, new or false
				from, of := f.views[who(t)], f.views[who(t)]
				record := of.Self()
				record.Incarnation = rapid.Uint32Range(0, 5).Draw(t, "inc")
				record.State = State(rapid.IntRange(0, int(Left)).Draw(t, "state"))
				record.Addr = fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "at"))
				f.handle(who(t), Received{&Message{Kind: Gossip, From: from.Self().ID, Records: []Record{record}}})
			},
			"": func(*rapid.T) {},
		})
	})
}

// TestInvariantsDetectBrokenState: each invariant fails for a state in which one line was broken.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, poke := range map[string]func(v *View, other *member){
		"view: this process is alive in its own view":           func(v *View, _ *member) { delete(v.members, v.self.ID) },
		"view: each member is filed by its ID":                  func(_ *View, peer *member) { peer.ID++ },
		"view: a suspicion has an end":                          func(_ *View, peer *member) { peer.State, peer.suspicionEnds = Suspect, 0 },
		"view: members that failed or left have the time of it": func(_ *View, peer *member) { peer.unavailableSince = 1 },
		"view: suspects are counted":                            func(v *View, _ *member) { v.suspectCount++ },
		"view: the ring has each running member once, in order": func(v *View, _ *member) { slices.Reverse(v.ring) },
		"view: members to reconnect to have failed":             func(v *View, peer *member) { v.failed = append(v.failed, peer) },
		"view: all failed members are to be reconnected to":     func(_ *View, peer *member) { peer.State = Failed },
		"view: nothing refers to removed members":               func(v *View, peer *member) { delete(v.members, peer.ID) },
		"view: each pending probe has an end":                   func(v *View, peer *member) { v.probes[1<<31] = &probe{member: peer} },
		"view: the number of members is bounded": func(v *View, peer *member) {
			for i := range ID(MaxRecords) {
				v.members[1<<40+i] = peer
			}
		},
	} {
		f := newTestCluster(t, "a", "b", "c", "d")
		f.advance(8000)
		v, c := f.views[0], invariant.New(nil)
		if v.checkState(c); len(c.Breaches()) > 0 {
			t.Errorf("without: %v", c.Breaches())
		}
		poke(v, v.members[f.views[1].self.ID])
		v.checkState(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == name }) {
			t.Errorf("%q is not seen: %v", name, c.Breaches())
		}
	}
}
