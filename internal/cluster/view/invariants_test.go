package view

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestInvariants: processes that come, go, are cut off, take each other's names and addresses, stand still and hear old and false
// words, in any order.
func TestInvariants(t *testing.T) {
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

// TestMutants: each statement is seen to break by one line of state.
func TestMutants(t *testing.T) {
	for name, poke := range map[string]func(v *View, other *member){
		"view: it is in its own view, and there":              func(v *View, _ *member) { delete(v.members, v.self.ID) },
		"view: each is filed by its ID":                       func(_ *View, peer *member) { peer.ID++ },
		"view: a suspicion has an end":                        func(_ *View, peer *member) { peer.State, peer.suspicionEnds = Suspect, 0 },
		"view: those that are gone are so since then":         func(_ *View, peer *member) { peer.unavailableSince = 1 },
		"view: suspects are counted":                          func(v *View, _ *member) { v.suspectCount++ },
		"view: the ring holds those that run, in order, once": func(v *View, _ *member) { slices.Reverse(v.ring) },
		"view: those that are sought have failed":             func(v *View, peer *member) { v.failed = append(v.failed, peer) },
		"view: all that have failed are sought":               func(_ *View, peer *member) { peer.State = Failed },
		"view: nothing is kept of those that are forgotten":   func(v *View, peer *member) { delete(v.members, peer.ID) },
		"view: each probe that is out has its end":            func(v *View, peer *member) { v.probes[1<<31] = &probe{member: peer} },
		"view: no more than may be are known": func(v *View, peer *member) {
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
