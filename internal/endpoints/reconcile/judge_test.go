package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// rig is a judge with two sources, and the list as its reader has it.
type rig struct {
	t    *testing.T
	j    *Judge
	now  float64
	list map[string]Entry
	said []Judgement
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	set := Defaults("consul", "static")
	if change != nil {
		change(&set)
	}
	return &rig{t: t, j: New(set), now: 1e6, list: map[string]Entry{}}
}

func (r *rig) take() []Judgement {
	out, said := r.j.Take()
	for _, e := range out {
		if e.State == Gone {
			delete(r.list, e.ID)
		} else {
			r.list[e.ID] = e
		}
	}
	r.said = append(r.said, said...)
	return said
}

func (r *rig) heard(src string, whole bool, claims ...Claim) []Judgement {
	r.j.Heard(r.now, src, &Report{Whole: whole, Claims: claims})
	return r.take()
}

func (r *rig) told(id string, role Role) []Judgement {
	r.j.Told(r.now, id, Word{Role: role, Position: r.now})
	return r.take()
}

// pass lets time go by and calls Tick as it asks for.
func (r *rig) pass(ms float64) []Judgement {
	end, n := r.now+ms, len(r.said)
	for next := r.j.Tick(r.now); next != 0 && next < end; next = r.j.Tick(r.now) {
		r.now = max(next, r.now+1)
	}
	r.now = end
	r.j.Tick(end)
	r.take()
	return r.said[n:]
}

// sum is the list in short: each server's state, with a star for the primary.
func (r *rig) sum() string {
	var parts []string
	for _, e := range r.list {
		p := e.ID + " " + e.State.String()
		if e.Primary {
			p += "*"
		}
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (r *rig) want(list string) {
	r.t.Helper()
	if diff := cmp.Diff(list, r.sum()); diff != "" {
		r.t.Fatalf("%s\n%+v", diff, r.said)
	}
}

func (r *rig) wantSaid(said []Judgement, what ...What) {
	r.t.Helper()
	var got []What
	for _, s := range said {
		got = append(got, s.What)
		if s.Why == "" || s.At == 0 {
			r.t.Errorf("no reason or time: %+v", s)
		}
	}
	if diff := cmp.Diff(what, got); diff != "" {
		r.t.Fatalf("%s\n%+v", diff, said)
	}
}

func at(id string, group int) Claim {
	return Claim{ID: id, Address: "10.0.0." + id + ":5432", Group: group, Weight: 1}
}

func role(c Claim, r Role) Claim     { c.Role = r; return c }
func health(c Claim, h Health) Claim { c.Health = h; return c }
func started(c Claim, ms float64) Claim {
	c.Started = ms
	return c
}

// TestRoles: a source's word on the primary counts only while no server's own speaks against it.
func TestRoles(t *testing.T) {
	r := newRig(t, nil)
	three := []Claim{role(at("1", 0), Primary), role(at("2", 0), Replica), role(at("3", 0), Replica)}
	r.wantSaid(r.heard("consul", true, three...), Added, Added, Added)
	r.want("1 serving*, 2 serving, 3 serving")
	r.wantSaid(r.told("1", Replica), NotBelieved, NoPrimary) // it was replaced; the catalogue does not know yet
	r.want("1 serving, 2 serving, 3 serving")
	r.told("2", Primary)
	r.want("1 serving, 2 serving*, 3 serving")
	r.heard("consul", true, three...)
	r.want("1 serving, 2 serving*, 3 serving")
	r.wantSaid(r.told("3", Primary), TwoPrimaries)
	r.want("1 serving, 2 serving, 3 serving")
	r.told("2", Replica)
	r.want("1 serving, 2 serving, 3 serving*")
	// The same server under another id, and called the primary: it keeps its name, and its word.
	r.j.Heard(r.now, "consul", &Report{Claims: []Claim{role(Claim{ID: "1b", Address: at("1", 0).Address}, Primary)}, Removed: []string{"1"}})
	r.take()
	r.want("1 serving, 2 serving, 3 serving*")
	if e, ok := r.j.Entry("1"); !ok || e.Address != at("1", 0).Address || r.j.Len() != 3 {
		t.Errorf("%+v %v", e, ok)
	}
	r.told("1", Replica)
	// A later process under the first id is another server; the list has both by names of their own.
	later := started(role(at("1", 0), Replica), 9e5)
	later.Address = "10.3.3.3:5432"
	r.heard("consul", false, later)
	r.want("1 serving, 1#2 serving, 2 serving, 3 serving*")

	// Its word is too old to count, and then it says the same again.
	again := newRig(t, nil)
	again.heard("consul", true, role(at("1", 0), Primary))
	again.told("1", Replica)
	again.pass(31000)
	again.heard("consul", false, at("2", 0))
	again.want("1 serving*, 2 serving")
	again.told("1", Replica)
	again.want("1 serving, 2 serving")

	mutant := newRig(t, func(s *Settings) { s.TrustRoles = true })
	mutant.heard("consul", true, three...)
	mutant.told("1", Replica)
	mutant.want("1 serving*, 2 serving, 3 serving")
}

// TestHealth: maintenance drains at once whoever says it, a critical server is used only for its answers.
func TestHealth(t *testing.T) {
	r := newRig(t, nil)
	r.heard("consul", true, at("1", 0), health(at("2", 0), Warning), health(at("3", 0), Critical))
	r.want("1 serving, 2 serving, 3 draining")
	r.told("3", Replica)
	r.want("1 serving, 2 serving, 3 serving")
	r.pass(25000)
	r.want("1 serving, 2 serving, 3 serving")
	r.pass(10000) // it does not answer any more
	r.want("1 serving, 2 serving, 3 draining")
	r.heard("static", true, at("1", 0))
	r.wantSaid(r.heard("static", false, health(at("1", 0), Maintenance)), Drained)
	r.want("1 draining, 2 serving, 3 draining")
	r.heard("static", false, at("1", 0))
	r.want("1 serving, 2 serving, 3 draining")

	strict := newRig(t, func(s *Settings) { s.Critical = Drains })
	strict.heard("consul", true, at("1", 0), at("2", 0), health(at("3", 0), Critical))
	strict.told("3", Replica)
	strict.want("1 serving, 2 serving, 3 draining")
	strict.heard("consul", false, health(at("2", 0), Critical), health(at("1", 0), Critical))
	strict.j.touch("3")
	strict.heard("consul", false, health(at("1", 0), Critical))
	if n := strings.Count(strict.sum(), "serving"); n == 0 {
		t.Errorf("all are critical, and none is used: %s", strict.sum())
	}
	loose := newRig(t, func(s *Settings) { s.Critical = Ignore })
	loose.heard("consul", true, health(at("1", 0), Critical))
	loose.want("1 serving")
}

// TestMassRemoval: one empty answer takes nothing away; single servers go at once, the operators' word lets all go, and so
// does time.
func TestMassRemoval(t *testing.T) {
	eight := func() (out []Claim) {
		for i := range 8 {
			out = append(out, at(fmt.Sprint(i), i/4))
		}
		return out
	}
	for name, c := range map[string]struct {
		do   func(r *rig)
		want string
	}{
		"an empty answer": {func(r *rig) { r.wantSaid(r.heard("consul", true), slices.Repeat([]What{HeldRemoval}, 8)...) },
			"0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that was a mistake": {func(r *rig) {
			r.heard("consul", true)
			r.heard("consul", true, eight()...)
			r.pass(700000)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that stays so": {func(r *rig) {
			r.heard("consul", true)
			if said := r.pass(700000); len(said) != 16 || said[0].What != Released {
				t.Errorf("%+v", said)
			}
		}, ""},
		"...that the operators accept": {func(r *rig) {
			r.heard("consul", true)
			r.j.Override(r.now, Override{AcceptRemovals: true})
			r.take()
		}, ""},
		"two of eight": {func(r *rig) { r.wantSaid(r.heard("consul", true, eight()[2:]...), Removed, Removed) },
			"2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other": {func(r *rig) {
			for i := 1; i < 8; i++ {
				r.heard("consul", true, eight()[i:]...)
				r.now += 1000
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other, slowly": {func(r *rig) {
			for i := 1; i < 4; i++ {
				r.heard("consul", true, eight()[i:]...)
				r.pass(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"a group's last": {func(r *rig) {
			for i := 1; i < 5; i++ {
				r.heard("consul", true, eight()[i:]...)
				r.pass(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"pinned by the operators": {func(r *rig) {
			r.j.Override(r.now, Override{Pins: []Pin{{"0", Serving}, {"7", Draining}}})
			r.heard("consul", true, eight()[1:]...)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 draining"},
		"pinned no more": {func(r *rig) {
			r.j.Override(r.now, Override{Pins: []Pin{{"0", Serving}, {"7", Draining}}})
			r.heard("consul", true, eight()[1:]...)
			r.j.Override(r.now, Override{})
			r.take()
		}, "1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			r.heard("consul", true, eight()...)
			c.do(r)
			r.want(c.want)
		})
	}
}

// TestSources: the first by rank wins, but not with old news; a lost one counts for as long as it is kept, and what answers
// stays even then.
func TestSources(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Keep = 60000 })
	other := at("1", 0)
	other.Address, other.Zone = "10.9.9.9:5432", "b"
	r.heard("static", true, other, at("2", 0))
	r.wantSaid(r.heard("consul", true, at("1", 0)), TwoAddresses, Moved)
	if a := r.list["1"].Address; a != at("1", 0).Address {
		t.Errorf("at %s", a)
	}
	r.j.Heard(r.now, "consul", &Report{Whole: true, Claims: []Claim{at("1", 0)}, Age: 3600000})
	r.take()
	if a := r.list["1"].Address; a != other.Address {
		t.Errorf("an hour old, it still has it at %s", a)
	}
	r.j.Heard(r.now, "consul", &Report{Whole: true, Claims: []Claim{at("1", 0), at("3", 1), at("4", 1)}})
	r.take()
	r.want("1 serving, 2 serving, 3 serving, 4 serving")
	r.j.Lost(r.now, "consul", "refused")
	r.j.Lost(r.now, "consul", "refused")
	r.wantSaid(r.take(), SourceLost)
	r.pass(45000)
	r.told("3", Primary)
	r.pass(20000)
	if said := r.said[len(r.said)-1]; said.What != Removed || said.Server != "4" {
		t.Errorf("%+v", said)
	}
	r.want("1 serving, 2 serving, 3 serving*")
	r.pass(60000)
	r.want("1 serving, 2 serving")
	r.wantSaid(r.heard("consul", false), SourceBack, TwoAddresses, Moved, Added, Added, NoPrimary)
	r.want("1 serving, 2 serving, 3 serving, 4 serving")
}

// TestOddities: two addresses, two ids, groups that change, starts and generations that go back.
func TestOddities(t *testing.T) {
	r := newRig(t, nil)
	a, b := at("1", 0), at("1", 0)
	b.Address, b.Started = "10.7.7.7:5432", 5e5
	r.heard("consul", true, a, b, at("2", 0))
	if e := r.list["1"]; e.Address != b.Address || e.Started != b.Started {
		t.Errorf("%+v", e)
	}
	r.wantSaid(r.heard("consul", true, a, b, at("2", 0)))
	r.wantSaid(r.heard("consul", true, started(b, 4e5), at("2", 0)), WentBack)
	r.wantSaid(r.heard("consul", true, started(b, 4e5), at("2", 0)))
	r.wantSaid(r.heard("consul", true, started(b, 9e5), at("2", 0)), Restarted)
	moved := at("2", 7)
	r.heard("consul", true, started(b, 9e5), moved, at("3", 7))
	if e := r.list["2"]; e.Group != 7 {
		t.Errorf("%+v", e)
	}
	twin := at("9", 7)
	twin.Address = moved.Address
	r.wantSaid(r.heard("consul", false, twin), TwoIDs)
	if _, ok := r.list["9"]; ok {
		t.Error("one process is listed twice")
	}
	r.heard("consul", false, started(twin, 9.5e5))
	if _, ok := r.list["2"]; ok || r.list["9"].Address != twin.Address {
		t.Errorf("%s", r.sum())
	}
	if r.j.Heard(r.now, "static", &Report{Whole: true, Generation: 7}) || !r.j.Heard(r.now, "static", &Report{Generation: 3, Claims: []Claim{at("5", 0)}}) {
		t.Error("changes that go back are not asked about")
	}
	if r.take(); r.list["5"].ID != "" {
		t.Error("changes that go back were taken")
	}
	if r.j.Heard(r.now, "static", &Report{Whole: true, Generation: 3, Claims: []Claim{at("5", 0)}}); r.j.Heard(r.now, "nobody", &Report{}) {
		t.Error("a source that nobody named is asked")
	}
	if r.take(); r.list["5"].ID == "" {
		t.Error("a source that began anew is not heard")
	}
}

// TestFlapping: what comes and goes is not used until it keeps still.
func TestFlapping(t *testing.T) {
	r := newRig(t, nil)
	r.heard("consul", true, at("1", 0), at("2", 0))
	for i := range 8 {
		r.now += 1000
		r.heard("consul", false, health(at("1", 0), []Health{Maintenance, Passing}[i%2]))
	}
	r.want("1 draining, 2 serving")
	if said := r.pass(30000); len(said) == 0 || said[0].What != Settled {
		t.Errorf("%+v", said)
	}
	r.want("1 serving, 2 serving")
	r = newRig(t, func(s *Settings) { s.MassPart = 0 })
	r.heard("consul", true, at("1", 0), at("2", 0))
	for range 4 {
		r.j.Heard(r.now, "consul", &Report{Removed: []string{"1"}})
		r.heard("consul", false, at("1", 0))
		r.now += 1000
	}
	r.want("1 draining, 2 serving")
	r.j.Heard(r.now, "consul", &Report{Removed: []string{"1"}})
	r.take()
	r.pass(200000)
	if r.want("2 serving"); len(r.j.servers) != 1 || len(r.j.words) != 0 {
		t.Errorf("%d servers and %d words are kept", len(r.j.servers), len(r.j.words))
	}
}

// TestRetired: a source whose place others take leaves what they know; that they know nothing takes nothing away at first.
func TestRetired(t *testing.T) {
	three := []Claim{at("1", 0), at("2", 0), at("3", 1)}
	r := newRig(t, nil)
	r.heard("static", true, three...)
	r.heard("consul", true)
	r.j.Retire(r.now, "static")
	r.wantSaid(r.take(), HeldRemoval, HeldRemoval, HeldRemoval)
	r.want("1 serving, 2 serving, 3 serving")
	r.heard("consul", true, three[0], three[2])
	r.pass(700000)
	r.want("1 serving, 3 serving")

	r = newRig(t, nil)
	r.heard("static", true, three...)
	r.heard("consul", true, three[0], three[2])
	r.j.Retire(r.now, "static")
	r.wantSaid(r.take(), Removed)
	r.want("1 serving, 3 serving")
}

// TestOldDrops: what a source dropped before it was lost does not take away what another has said meanwhile.
func TestOldDrops(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Keep, s.MassPart = 5000, 0 })
	r.heard("consul", true, at("1", 0), at("2", 0))
	r.heard("consul", true, at("2", 0))
	r.heard("static", true, at("1", 0))
	r.want("2 serving") // the first by rank has dropped it
	r.j.Lost(r.now, "consul", "gone")
	r.pass(6000)
	r.want("1 serving")
	r.heard("consul", true, at("2", 0))
	r.want("1 serving, 2 serving")
}

// TestHeirElsewhere: a server that moves with its address to another group is not kept where it was by one that has moved too.
func TestHeirElsewhere(t *testing.T) {
	r := newRig(t, nil)
	moved := func(id string, group int) Claim {
		c := at(id, group)
		c.Address = at("0", 0).Address
		return c
	}
	r.heard("static", true, started(moved("2", 0), 1000), moved("0", 0))
	r.want("2 serving")
	r.heard("consul", true, moved("0", 1), health(moved("2", 1), Maintenance))
	r.want("2 draining")
	if e := r.list["2"]; e.Group != 1 {
		t.Errorf("%+v", e)
	}
}

// TestStateMachine holds the judge to what must be so whatever its sources say: the changes that it gives come to the list
// that it has; no address is listed twice; no group has two primaries, and no primary has said lately that it is none; an
// empty list never follows from one answer; and nothing that says maintenance serves.
func TestStateMachine(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		set := Defaults("a", "b")
		set.Keep = 5000
		r := &rig{t: t, j: New(set), now: 1e6, list: map[string]Entry{}}
		claims := map[string]map[string]Claim{"a": {}, "b": {}}
		denied := map[string]float64{}
		draw := func(rt *rapid.T) Claim {
			c := at(fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), rapid.IntRange(0, 1).Draw(rt, "group"))
			if rapid.IntRange(0, 9).Draw(rt, "other address") == 0 {
				c.Address = fmt.Sprintf("10.0.0.%d:5432", rapid.IntRange(0, 5).Draw(rt, "address"))
			}
			c.Health = Health(rapid.IntRange(0, 3).Draw(rt, "health"))
			c.Role = Role(rapid.IntRange(0, 2).Draw(rt, "role"))
			c.Started = float64(rapid.IntRange(0, 3).Draw(rt, "started")) * 1000
			return c
		}
		source := rapid.SampledFrom([]string{"a", "b"})
		heard := false
		rt.Repeat(map[string]func(*rapid.T){
			"changes": func(rt *rapid.T) {
				c, src := draw(rt), source.Draw(rt, "source")
				claims[src][c.ID] = c
				r.heard(src, false, c)
				heard = true
			},
			"whole": func(rt *rapid.T) {
				src := source.Draw(rt, "source")
				clear(claims[src])
				var all []Claim
				for range rapid.IntRange(0, 5).Draw(rt, "claims") {
					c := draw(rt)
					if _, ok := claims[src][c.ID]; !ok {
						claims[src][c.ID] = c
						all = append(all, c)
					}
				}
				was := len(r.list)
				r.heard(src, true, all...)
				heard = heard || len(all) > 0
				if was > 1 && len(all) == 0 && len(r.list) == 0 {
					rt.Fatalf("an empty answer emptied the list: %+v", r.said)
				}
			},
			"removed": func(rt *rapid.T) {
				src, id := source.Draw(rt, "source"), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))
				delete(claims[src], id)
				r.j.Heard(r.now, src, &Report{Removed: []string{id}})
				r.take()
			},
			"lost": func(rt *rapid.T) { r.j.Lost(r.now, source.Draw(rt, "source"), "gone"); r.take() },
			"told": func(rt *rapid.T) {
				id, role := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), Role(rapid.IntRange(1, 2).Draw(rt, "role"))
				if e, ok := r.list[id]; ok {
					if denied[e.Address] = 0; role == Replica {
						denied[e.Address] = r.now
					}
					r.told(id, role)
				}
			},
			"override": func(rt *rapid.T) {
				r.j.Override(r.now, Override{AcceptRemovals: rapid.Bool().Draw(rt, "accept")})
				r.take()
			},
			"time": func(rt *rapid.T) { r.pass(float64(rapid.IntRange(1, 9000).Draw(rt, "ms"))) },
			"": func(rt *rapid.T) {
				var want []Entry
				for _, id := range sorted(r.list) {
					want = append(want, r.list[id])
				}
				if diff := cmp.Diff(want, r.j.List()); diff != "" {
					rt.Fatalf("its changes do not come to its list: %s", diff)
				}
				addrs, leads := map[string]string{}, map[int]string{}
				for _, e := range want {
					if other := addrs[e.Address]; other != "" {
						rt.Fatalf("%s is listed as %s and as %s", e.Address, other, e.ID)
					}
					addrs[e.Address] = e.ID
					if e.Primary {
						if leads[e.Group] != "" || e.State != Serving {
							rt.Fatalf("primaries of group %d: %s and %s", e.Group, leads[e.Group], e.ID)
						}
						leads[e.Group] = e.ID
						if at := denied[e.Address]; at != 0 && r.now-at < set.WordFor && r.j.words[e.Address] != nil && r.j.words[e.Address].role == Replica {
							rt.Fatalf("%s is called the primary, and has said that it is none", e.ID)
						}
					}
					for src, all := range claims {
						c, ok := all[e.ID]
						if s := r.j.byName[src]; ok && r.j.named[e.ID].id == e.ID && s.claims[e.ID] != nil && c.Health == Maintenance && s.lostAt == 0 && s.held[e.ID] == 0 && e.State == Serving {
							rt.Fatalf("%s serves, and %s has it in maintenance", e.ID, src)
						}
					}
				}
				if n := len(r.j.servers); n > 6 {
					rt.Fatalf("%d servers are kept", n)
				}
			},
		})
	})
}

// BenchmarkChanges is a tenth of 2,000 servers that change, as one report of changes.
func BenchmarkChanges(b *testing.B) {
	j := New(Defaults("consul"))
	var all []Claim
	for i := range 2000 {
		all = append(all, Claim{ID: fmt.Sprint("s-", i), Address: fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), Group: i / 4, Weight: 1})
	}
	j.Heard(1, "consul", &Report{Whole: true, Claims: all})
	j.Take()
	now := 2.0
	b.ResetTimer()
	for b.Loop() {
		now += 1000
		r := Report{}
		for i := range 200 {
			c := all[(i*10+int(now/1000))%len(all)]
			c.Weight = now
			r.Claims = append(r.Claims, c)
		}
		j.Heard(now, "consul", &r)
		j.Tick(now)
		j.Take()
	}
}
