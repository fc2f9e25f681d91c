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

// harness is a judge with two sources, and the list as its reader has it.
type harness struct {
	t          *testing.T
	reconciler *Reconciler
	now        float64
	list       map[string]Entry
	decisions  []Decision
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	set := Defaults("consul", "static")
	if change != nil {
		change(&set)
	}
	return &harness{t: t, reconciler: New(set), now: 1e6, list: map[string]Entry{}}
}

func (r *harness) takeChanges() []Decision {
	out, said := r.reconciler.TakeChanges()
	for _, entry := range out {
		if entry.State == StateRemoved {
			delete(r.list, entry.ID)
		} else {
			r.list[entry.ID] = entry
		}
	}
	r.decisions = append(r.decisions, said...)
	return said
}

func (r *harness) observe(src string, whole bool, claims ...Observation) []Decision {
	r.reconciler.Observe(r.now, src, &Report{Full: whole, Observations: claims})
	return r.takeChanges()
}

func (r *harness) selfReport(id string, role Role) []Decision {
	r.reconciler.ObserveServer(r.now, id, SelfReport{Role: role, Position: r.now})
	return r.takeChanges()
}

// pass lets time go by and calls Tick as it asks for.
func (r *harness) pass(ms float64) []Decision {
	end, n := r.now+ms, len(r.decisions)
	for next := r.reconciler.Tick(r.now); next != 0 && next < end; next = r.reconciler.Tick(r.now) {
		r.now = max(next, r.now+1)
	}
	r.now = end
	r.reconciler.Tick(end)
	r.takeChanges()
	return r.decisions[n:]
}

// summary is the list in short: each server's state, with a star for the primary.
func (r *harness) summary() string {
	var parts []string
	for _, entry := range r.list {
		p := entry.ID + " " + entry.State.String()
		if entry.Primary {
			p += "*"
		}
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (r *harness) wantList(list string) {
	r.t.Helper()
	if diff := cmp.Diff(list, r.summary()); diff != "" {
		r.t.Fatalf("%s\n%+v", diff, r.decisions)
	}
}

func (r *harness) wantDecisions(said []Decision, what ...DecisionKind) {
	r.t.Helper()
	var got []DecisionKind
	for _, s := range said {
		got = append(got, s.Kind)
		if s.Reason == "" || s.At == 0 {
			r.t.Errorf("no reason or time: %+v", s)
		}
	}
	if diff := cmp.Diff(what, got); diff != "" {
		r.t.Fatalf("%s\n%+v", diff, said)
	}
}

func at(id string, group int) Observation {
	return Observation{ID: id, Address: "10.0.0." + id + ":5432", Group: group, Weight: 1}
}

func role(c Observation, r Role) Observation     { c.Role = r; return c }
func health(c Observation, h Health) Observation { c.Health = h; return c }
func started(c Observation, ms float64) Observation {
	c.Started = ms
	return c
}

// TestSelfReportsDecideOnThePrimary checks that a source's primary counts only while no server's self-report contradicts it.
func TestSelfReportsDecideOnThePrimary(t *testing.T) {
	r := newHarness(t, nil)
	three := []Observation{role(at("1", 0), Primary), role(at("2", 0), Replica), role(at("3", 0), Replica)}
	r.wantDecisions(r.observe("consul", true, three...), Added, Added, Added)
	r.wantList("1 serving*, 2 serving, 3 serving")
	r.wantDecisions(r.selfReport("1", Replica), Rejected, NoPrimary) // it was replaced; the catalogue does not know yet
	r.wantList("1 serving, 2 serving, 3 serving")
	r.selfReport("2", Primary)
	r.wantList("1 serving, 2 serving*, 3 serving")
	r.observe("consul", true, three...)
	r.wantList("1 serving, 2 serving*, 3 serving")
	r.wantDecisions(r.selfReport("3", Primary), MultiplePrimaries)
	r.wantList("1 serving, 2 serving, 3 serving")
	r.selfReport("2", Replica)
	r.wantList("1 serving, 2 serving, 3 serving*")
	// The same server under another id, and called the primary: it keeps its name, and its word.
	r.reconciler.Observe(r.now, "consul", &Report{Observations: []Observation{role(Observation{ID: "1b", Address: at("1", 0).Address}, Primary)}, Removed: []string{"1"}})
	r.takeChanges()
	r.wantList("1 serving, 2 serving, 3 serving*")
	if entry, ok := r.reconciler.Entry("1"); !ok || entry.Address != at("1", 0).Address || r.reconciler.Len() != 3 {
		t.Errorf("%+v %v", entry, ok)
	}
	r.selfReport("1", Replica)
	// A later process under the first id is another server; the list has both by names of their own.
	later := started(role(at("1", 0), Replica), 9e5)
	later.Address = "10.3.3.3:5432"
	r.observe("consul", false, later)
	r.wantList("1 serving, 1#2 serving, 2 serving, 3 serving*")

	// Its word is too old to count, and then it says the same again.
	expired := newHarness(t, nil)
	expired.observe("consul", true, role(at("1", 0), Primary))
	expired.selfReport("1", Replica)
	expired.pass(31000)
	expired.observe("consul", false, at("2", 0))
	expired.wantList("1 serving*, 2 serving")
	expired.selfReport("1", Replica)
	expired.wantList("1 serving, 2 serving")

	trusting := newHarness(t, func(s *Settings) { s.TrustSourceRoles = true })
	trusting.observe("consul", true, three...)
	trusting.selfReport("1", Replica)
	trusting.wantList("1 serving*, 2 serving, 3 serving")
}

// TestMaintenanceDrainsAndCriticalNeedsResponses checks that maintenance drains a server whichever source reports it, and that
// a critical server is used only while it responds.
func TestMaintenanceDrainsAndCriticalNeedsResponses(t *testing.T) {
	r := newHarness(t, nil)
	r.observe("consul", true, at("1", 0), health(at("2", 0), Warning), health(at("3", 0), Critical))
	r.wantList("1 serving, 2 serving, 3 draining")
	r.selfReport("3", Replica)
	r.wantList("1 serving, 2 serving, 3 serving")
	r.pass(25000)
	r.wantList("1 serving, 2 serving, 3 serving")
	r.pass(10000) // it does not answer any more
	r.wantList("1 serving, 2 serving, 3 draining")
	r.observe("static", true, at("1", 0))
	r.wantDecisions(r.observe("static", false, health(at("1", 0), Maintenance)), Drained)
	r.wantList("1 draining, 2 serving, 3 draining")
	r.observe("static", false, at("1", 0))
	r.wantList("1 serving, 2 serving, 3 draining")

	strict := newHarness(t, func(s *Settings) { s.Critical = CriticalDrain })
	strict.observe("consul", true, at("1", 0), at("2", 0), health(at("3", 0), Critical))
	strict.selfReport("3", Replica)
	strict.wantList("1 serving, 2 serving, 3 draining")
	strict.observe("consul", false, health(at("2", 0), Critical), health(at("1", 0), Critical))
	strict.reconciler.markDirty("3")
	strict.observe("consul", false, health(at("1", 0), Critical))
	if n := strings.Count(strict.summary(), "serving"); n == 0 {
		t.Errorf("all are critical, and none is used: %s", strict.summary())
	}
	loose := newHarness(t, func(s *Settings) { s.Critical = CriticalIgnore })
	loose.observe("consul", true, health(at("1", 0), Critical))
	loose.wantList("1 serving")
}

// TestMassRemovalsAreHeldBack checks that an empty report removes nothing at first, that single removals count at once, and
// that operators or time release those held back.
func TestMassRemovalsAreHeldBack(t *testing.T) {
	eight := func() (out []Observation) {
		for i := range 8 {
			out = append(out, at(fmt.Sprint(i), i/4))
		}
		return out
	}
	for name, c := range map[string]struct {
		do   func(r *harness)
		want string
	}{
		"an empty answer": {func(r *harness) {
			r.wantDecisions(r.observe("consul", true), slices.Repeat([]DecisionKind{RemovalHeldBack}, 8)...)
		},
			"0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that was a mistake": {func(r *harness) {
			r.observe("consul", true)
			r.observe("consul", true, eight()...)
			r.pass(700000)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that stays so": {func(r *harness) {
			r.observe("consul", true)
			if said := r.pass(700000); len(said) != 16 || said[0].Kind != RemovalAccepted {
				t.Errorf("%+v", said)
			}
		}, ""},
		"...that the operators accept": {func(r *harness) {
			r.observe("consul", true)
			r.reconciler.Override(r.now, Override{AcceptHeldRemovals: true})
			r.takeChanges()
		}, ""},
		"two of eight": {func(r *harness) { r.wantDecisions(r.observe("consul", true, eight()[2:]...), Removed, Removed) },
			"2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other": {func(r *harness) {
			for i := 1; i < 8; i++ {
				r.observe("consul", true, eight()[i:]...)
				r.now += 1000
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other, slowly": {func(r *harness) {
			for i := 1; i < 4; i++ {
				r.observe("consul", true, eight()[i:]...)
				r.pass(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"a group's last": {func(r *harness) {
			for i := 1; i < 5; i++ {
				r.observe("consul", true, eight()[i:]...)
				r.pass(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"pinned by the operators": {func(r *harness) {
			r.reconciler.Override(r.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			r.observe("consul", true, eight()[1:]...)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 draining"},
		"pinned no more": {func(r *harness) {
			r.reconciler.Override(r.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			r.observe("consul", true, eight()[1:]...)
			r.reconciler.Override(r.now, Override{})
			r.takeChanges()
		}, "1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, nil)
			r.observe("consul", true, eight()...)
			c.do(r)
			r.wantList(c.want)
		})
	}
}

// TestSourcesCountByRankAgeAndRetention checks that the first source by rank wins unless its report is stale, and that a lost
// source counts for its retention, or while its servers respond.
func TestSourcesCountByRankAgeAndRetention(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.SourceRetentionMs = 60000 })
	other := at("1", 0)
	other.Address, other.Zone = "10.9.9.9:5432", "b"
	r.observe("static", true, other, at("2", 0))
	r.wantDecisions(r.observe("consul", true, at("1", 0)), ConflictingAddresses, Moved)
	if a := r.list["1"].Address; a != at("1", 0).Address {
		t.Errorf("at %s", a)
	}
	r.reconciler.Observe(r.now, "consul", &Report{Full: true, Observations: []Observation{at("1", 0)}, AgeMs: 3600000})
	r.takeChanges()
	if a := r.list["1"].Address; a != other.Address {
		t.Errorf("an hour old, it still has it at %s", a)
	}
	r.reconciler.Observe(r.now, "consul", &Report{Full: true, Observations: []Observation{at("1", 0), at("3", 1), at("4", 1)}})
	r.takeChanges()
	r.wantList("1 serving, 2 serving, 3 serving, 4 serving")
	r.reconciler.SourceLost(r.now, "consul", "refused")
	r.reconciler.SourceLost(r.now, "consul", "refused")
	r.wantDecisions(r.takeChanges(), SourceLost)
	r.pass(45000)
	r.selfReport("3", Primary)
	r.pass(20000)
	if said := r.decisions[len(r.decisions)-1]; said.Kind != Removed || said.Server != "4" {
		t.Errorf("%+v", said)
	}
	r.wantList("1 serving, 2 serving, 3 serving*")
	r.pass(60000)
	r.wantList("1 serving, 2 serving")
	r.wantDecisions(r.observe("consul", false), SourceRecovered, ConflictingAddresses, Moved, Added, Added, NoPrimary)
	r.wantList("1 serving, 2 serving, 3 serving, 4 serving")
}

// TestConflictsMovesAndRegressions checks two addresses of one id, two ids of one address, moves between groups, and starts and
// generations that go back.
func TestConflictsMovesAndRegressions(t *testing.T) {
	r := newHarness(t, nil)
	a, b := at("1", 0), at("1", 0)
	b.Address, b.Started = "10.7.7.7:5432", 5e5
	r.observe("consul", true, a, b, at("2", 0))
	if entry := r.list["1"]; entry.Address != b.Address || entry.Started != b.Started {
		t.Errorf("%+v", entry)
	}
	r.wantDecisions(r.observe("consul", true, a, b, at("2", 0)))
	r.wantDecisions(r.observe("consul", true, started(b, 4e5), at("2", 0)), Regressed)
	r.wantDecisions(r.observe("consul", true, started(b, 4e5), at("2", 0)))
	r.wantDecisions(r.observe("consul", true, started(b, 9e5), at("2", 0)), Restarted)
	moved := at("2", 7)
	r.observe("consul", true, started(b, 9e5), moved, at("3", 7))
	if entry := r.list["2"]; entry.Group != 7 {
		t.Errorf("%+v", entry)
	}
	twin := at("9", 7)
	twin.Address = moved.Address
	r.wantDecisions(r.observe("consul", false, twin), DuplicateAddress)
	if _, ok := r.list["9"]; ok {
		t.Error("one process is listed twice")
	}
	r.observe("consul", false, started(twin, 9.5e5))
	if _, ok := r.list["2"]; ok || r.list["9"].Address != twin.Address {
		t.Errorf("%s", r.summary())
	}
	if r.reconciler.Observe(r.now, "static", &Report{Full: true, Generation: 7}) || !r.reconciler.Observe(r.now, "static", &Report{Generation: 3, Observations: []Observation{at("5", 0)}}) {
		t.Error("changes that go back are not asked about")
	}
	if r.takeChanges(); r.list["5"].ID != "" {
		t.Error("changes that go back were taken")
	}
	if r.reconciler.Observe(r.now, "static", &Report{Full: true, Generation: 3, Observations: []Observation{at("5", 0)}}); r.reconciler.Observe(r.now, "nobody", &Report{}) {
		t.Error("a source that nobody named is asked")
	}
	if r.takeChanges(); r.list["5"].ID == "" {
		t.Error("a source that began anew is not heard")
	}
}

// TestFlappingServerDrainsUntilStable checks that a server that flaps is not used until it has been stable.
func TestFlappingServerDrainsUntilStable(t *testing.T) {
	r := newHarness(t, nil)
	r.observe("consul", true, at("1", 0), at("2", 0))
	for i := range 8 {
		r.now += 1000
		r.observe("consul", false, health(at("1", 0), []Health{Maintenance, Passing}[i%2]))
	}
	r.wantList("1 draining, 2 serving")
	if said := r.pass(30000); len(said) == 0 || said[0].Kind != Stabilized {
		t.Errorf("%+v", said)
	}
	r.wantList("1 serving, 2 serving")
	r = newHarness(t, func(s *Settings) { s.MassRemovalFraction = 0 })
	r.observe("consul", true, at("1", 0), at("2", 0))
	for range 4 {
		r.reconciler.Observe(r.now, "consul", &Report{Removed: []string{"1"}})
		r.observe("consul", false, at("1", 0))
		r.now += 1000
	}
	r.wantList("1 draining, 2 serving")
	r.reconciler.Observe(r.now, "consul", &Report{Removed: []string{"1"}})
	r.takeChanges()
	r.pass(200000)
	if r.wantList("2 serving"); len(r.reconciler.servers) != 1 || len(r.reconciler.selfReports) != 0 {
		t.Errorf("%d servers and %d words are kept", len(r.reconciler.servers), len(r.reconciler.selfReports))
	}
}

// TestRetiredSourceLeavesWhatOthersKnow checks that a retired source leaves the servers that others know, and that its removals
// are held back where they know none.
func TestRetiredSourceLeavesWhatOthersKnow(t *testing.T) {
	three := []Observation{at("1", 0), at("2", 0), at("3", 1)}
	r := newHarness(t, nil)
	r.observe("static", true, three...)
	r.observe("consul", true)
	r.reconciler.RetireSource(r.now, "static")
	r.wantDecisions(r.takeChanges(), RemovalHeldBack, RemovalHeldBack, RemovalHeldBack)
	r.wantList("1 serving, 2 serving, 3 serving")
	r.observe("consul", true, three[0], three[2])
	r.pass(700000)
	r.wantList("1 serving, 3 serving")

	r = newHarness(t, nil)
	r.observe("static", true, three...)
	r.observe("consul", true, three[0], three[2])
	r.reconciler.RetireSource(r.now, "static")
	r.wantDecisions(r.takeChanges(), Removed)
	r.wantList("1 serving, 3 serving")
}

// TestRemovalsBeforeALossAreForgotten checks that what a source removed before a long loss does not remove what another has
// reported since.
func TestRemovalsBeforeALossAreForgotten(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.SourceRetentionMs, s.MassRemovalFraction = 5000, 0 })
	r.observe("consul", true, at("1", 0), at("2", 0))
	r.observe("consul", true, at("2", 0))
	r.observe("static", true, at("1", 0))
	r.wantList("2 serving") // the first by rank has dropped it
	r.reconciler.SourceLost(r.now, "consul", "gone")
	r.pass(6000)
	r.wantList("1 serving")
	r.observe("consul", true, at("2", 0))
	r.wantList("1 serving, 2 serving")
}

// TestEntryIsNotTransferredToAnotherAddress checks that a server that moves with its address to another group does not keep its
// old entry by way of another id that moves too.
func TestEntryIsNotTransferredToAnotherAddress(t *testing.T) {
	r := newHarness(t, nil)
	moved := func(id string, group int) Observation {
		c := at(id, group)
		c.Address = at("0", 0).Address
		return c
	}
	r.observe("static", true, started(moved("2", 0), 1000), moved("0", 0))
	r.wantList("2 serving")
	r.observe("consul", true, moved("0", 1), health(moved("2", 1), Maintenance))
	r.wantList("2 draining")
	if entry := r.list["2"]; entry.Group != 1 {
		t.Errorf("%+v", entry)
	}
}

// TestInvariantsOfAnySequenceOfInputs checks, after any sequence of inputs, that the changes add up to the list, no address is
// listed twice, no group has two primaries, no primary has lately reported to be a replica, one empty report never empties the
// list, and no server serves that a source has in maintenance.
func TestInvariantsOfAnySequenceOfInputs(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		set := Defaults("a", "b")
		set.SourceRetentionMs = 5000
		r := &harness{t: t, reconciler: New(set), now: 1e6, list: map[string]Entry{}}
		observations := map[string]map[string]Observation{"a": {}, "b": {}}
		denied := map[string]float64{}
		draw := func(rt *rapid.T) Observation {
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
		reported := false
		rt.Repeat(map[string]func(*rapid.T){
			"changes": func(rt *rapid.T) {
				c, src := draw(rt), source.Draw(rt, "source")
				observations[src][c.ID] = c
				r.observe(src, false, c)
				reported = true
			},
			"whole": func(rt *rapid.T) {
				src := source.Draw(rt, "source")
				clear(observations[src])
				var all []Observation
				for range rapid.IntRange(0, 5).Draw(rt, "claims") {
					c := draw(rt)
					if _, ok := observations[src][c.ID]; !ok {
						observations[src][c.ID] = c
						all = append(all, c)
					}
				}
				was := len(r.list)
				r.observe(src, true, all...)
				reported = reported || len(all) > 0
				if was > 1 && len(all) == 0 && len(r.list) == 0 {
					rt.Fatalf("an empty answer emptied the list: %+v", r.decisions)
				}
			},
			"removed": func(rt *rapid.T) {
				src, id := source.Draw(rt, "source"), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))
				delete(observations[src], id)
				r.reconciler.Observe(r.now, src, &Report{Removed: []string{id}})
				r.takeChanges()
			},
			"lost": func(rt *rapid.T) { r.reconciler.SourceLost(r.now, source.Draw(rt, "source"), "gone"); r.takeChanges() },
			"told": func(rt *rapid.T) {
				id, role := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), Role(rapid.IntRange(1, 2).Draw(rt, "role"))
				if entry, ok := r.list[id]; ok {
					if denied[entry.Address] = 0; role == Replica {
						denied[entry.Address] = r.now
					}
					r.selfReport(id, role)
				}
			},
			"override": func(rt *rapid.T) {
				r.reconciler.Override(r.now, Override{AcceptHeldRemovals: rapid.Bool().Draw(rt, "accept")})
				r.takeChanges()
			},
			"time": func(rt *rapid.T) { r.pass(float64(rapid.IntRange(1, 9000).Draw(rt, "ms"))) },
			"": func(rt *rapid.T) {
				var want []Entry
				for _, id := range sortedKeys(r.list) {
					want = append(want, r.list[id])
				}
				if diff := cmp.Diff(want, r.reconciler.List()); diff != "" {
					rt.Fatalf("its changes do not come to its list: %s", diff)
				}
				addrs, leads := map[string]string{}, map[int]string{}
				for _, entry := range want {
					if other := addrs[entry.Address]; other != "" {
						rt.Fatalf("%s is listed as %s and as %s", entry.Address, other, entry.ID)
					}
					addrs[entry.Address] = entry.ID
					if entry.Primary {
						if leads[entry.Group] != "" || entry.State != StateServing {
							rt.Fatalf("primaries of group %d: %s and %s", entry.Group, leads[entry.Group], entry.ID)
						}
						leads[entry.Group] = entry.ID
						if at := denied[entry.Address]; at != 0 && r.now-at < set.SelfReportTTLMs && r.reconciler.selfReports[entry.Address] != nil && r.reconciler.selfReports[entry.Address].role == Replica {
							rt.Fatalf("%s is called the primary, and has said that it is none", entry.ID)
						}
					}
					for src, all := range observations {
						c, ok := all[entry.ID]
						if source := r.reconciler.sourcesByName[src]; ok && r.reconciler.listedByID[entry.ID].id == entry.ID && source.observations[entry.ID] != nil && c.Health == Maintenance && source.lostAt == 0 && source.heldRemovals[entry.ID] == 0 && entry.State == StateServing {
							rt.Fatalf("%s serves, and %s has it in maintenance", entry.ID, src)
						}
					}
				}
				if n := len(r.reconciler.servers); n > 6 {
					rt.Fatalf("%d servers are kept", n)
				}
			},
		})
	})
}

// BenchmarkChanges measures a report of changes of a tenth of 2,000 servers.
func BenchmarkChanges(b *testing.B) {
	r := New(Defaults("consul"))
	var all []Observation
	for i := range 2000 {
		all = append(all, Observation{ID: fmt.Sprint("s-", i), Address: fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), Group: i / 4, Weight: 1})
	}
	r.Observe(1, "consul", &Report{Full: true, Observations: all})
	r.TakeChanges()
	now := 2.0
	b.ResetTimer()
	for b.Loop() {
		now += 1000
		report := Report{}
		for i := range 200 {
			c := all[(i*10+int(now/1000))%len(all)]
			c.Weight = now
			report.Observations = append(report.Observations, c)
		}
		r.Observe(now, "consul", &report)
		r.Tick(now)
		r.TakeChanges()
	}
}
