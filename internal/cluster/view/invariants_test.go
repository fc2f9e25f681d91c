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
		f, c := &few{now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}, invariant.Test(t)
		join := func(name, addr string) {
			s := Defaults()
			s.Seeds, s.Seed, s.Expect, s.Forget, s.Hold = []string{"at-0"}, uint64(len(f.views)), 4, 20000, 5000
			v := New(s, Record{ID: NewID(f.now, uint64(len(f.views)+1)), Name: name, Addr: addr}, f.now)
			v.Check(c, 1)
			f.views = append(f.views, v)
		}
		for i := range 4 {
			join(fmt.Sprint("p", i), fmt.Sprint("at-", i))
		}
		who := func(t *rapid.T) int { return rapid.IntRange(0, len(f.views)-1).Draw(t, "who") }
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { f.pass(rapid.Float64Range(50, 4000).Draw(t, "ms")) },
			"stand": func(t *rapid.T) { f.now += rapid.Float64Range(100, 30000).Draw(t, "ms") },
			"cut":   func(t *rapid.T) { i := who(t); f.cut[i] = !f.cut[i] },
			"kill":  func(t *rapid.T) { f.dead[who(t)] = true },
			"join": func(t *rapid.T) { // with the name and the address of another, perhaps
				if len(f.views) < 12 {
					join(fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "name")), fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "at")))
				}
			},
			"drain": func(t *rapid.T) { f.do(who(t), Drain{On: rapid.Bool().Draw(t, "on")}) },
			"leave": func(t *rapid.T) { i := who(t); f.do(i, Leave{}); f.dead[i] = true },
			"word": func(t *rapid.T) { // of anybody, old, new or false
				from, of := f.views[who(t)], f.views[who(t)]
				r := of.Self()
				r.Inc = rapid.Uint32Range(0, 5).Draw(t, "inc")
				r.State = State(rapid.IntRange(0, int(Left)).Draw(t, "state"))
				r.Addr = fmt.Sprint("at-", rapid.IntRange(0, 5).Draw(t, "at"))
				f.do(who(t), Heard{&Message{Kind: Gossip, From: from.Self().ID, Records: []Record{r}}})
			},
			"": func(*rapid.T) {},
		})
	})
}

// TestMutants: each statement is seen to break by one line of state.
func TestMutants(t *testing.T) {
	for name, poke := range map[string]func(v *View, other *member){
		"view: it is in its own view, and there":              func(v *View, _ *member) { delete(v.all, v.self.ID) },
		"view: each is filed by its ID":                       func(_ *View, m *member) { m.ID++ },
		"view: a suspicion has an end":                        func(_ *View, m *member) { m.State, m.deadline = Suspect, 0 },
		"view: those that are gone are so since then":         func(_ *View, m *member) { m.goneAt = 1 },
		"view: suspects are counted":                          func(v *View, _ *member) { v.suspects++ },
		"view: the ring holds those that run, in order, once": func(v *View, _ *member) { slices.Reverse(v.ring) },
		"view: those that are sought have failed":             func(v *View, m *member) { v.lost = append(v.lost, m) },
		"view: all that have failed are sought":               func(_ *View, m *member) { m.State = Failed },
		"view: nothing is kept of those that are forgotten":   func(v *View, m *member) { delete(v.all, m.ID) },
		"view: each probe that is out has its end":            func(v *View, m *member) { v.tries[1<<31] = &try{m: m} },
		"view: no more than may be are known": func(v *View, m *member) {
			for i := range ID(MostRecords) {
				v.all[1<<40+i] = m
			}
		},
	} {
		f := newFew(t, "a", "b", "c", "d")
		f.pass(8000)
		v, c := f.views[0], invariant.New(nil)
		if v.look(c); len(c.Broken()) > 0 {
			t.Errorf("without: %v", c.Broken())
		}
		poke(v, v.all[f.views[1].self.ID])
		v.look(c)
		if !slices.ContainsFunc(c.Broken(), func(b invariant.Breach) bool { return b.Name == name }) {
			t.Errorf("%q is not seen: %v", name, c.Broken())
		}
	}
}
