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
	settings := Defaults("consul", "static")
	if change != nil {
		change(&settings)
	}
	return &harness{t: t, reconciler: New(settings), now: 1e6, list: map[string]Entry{}}
}

func (h *harness) takeChanges() []Decision {
	changes, decisions := h.reconciler.TakeChanges()
	for _, entry := range changes {
		if entry.State == StateRemoved {
			delete(h.list, entry.ID)
		} else {
			h.list[entry.ID] = entry
		}
	}
	h.decisions = append(h.decisions, decisions...)
	return decisions
}

func (h *harness) observe(src string, whole bool, claims ...Observation) []Decision {
	h.reconciler.Observe(h.now, src, &Report{Full: whole, Observations: claims})
	return h.takeChanges()
}

func (h *harness) selfReport(id string, role Role) []Decision {
	h.reconciler.ObserveServer(h.now, id, SelfReport{Role: role, Position: h.now})
	return h.takeChanges()
}

// advance lets time go by and calls Tick as it asks for.
func (h *harness) advance(ms float64) []Decision {
	end, n := h.now+ms, len(h.decisions)
	for next := h.reconciler.Tick(h.now); next != 0 && next < end; next = h.reconciler.Tick(h.now) {
		h.now = max(next, h.now+1)
	}
	h.now = end
	h.reconciler.Tick(end)
	h.takeChanges()
	return h.decisions[n:]
}

// summary is the list in short: each server's state, with a star for the primary.
func (h *harness) summary() string {
	var parts []string
	for _, entry := range h.list {
		p := entry.ID + " " + entry.State.String()
		if entry.Primary {
			p += "*"
		}
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (h *harness) wantList(list string) {
	h.t.Helper()
	if diff := cmp.Diff(list, h.summary()); diff != "" {
		h.t.Fatalf("%s\n%+v", diff, h.decisions)
	}
}

func (h *harness) wantDecisions(decisions []Decision, kinds ...DecisionKind) {
	h.t.Helper()
	var got []DecisionKind
	for _, s := range decisions {
		got = append(got, s.Kind)
		if s.Reason == "" || s.AtMs == 0 {
			h.t.Errorf("no reason or time: %+v", s)
		}
	}
	if diff := cmp.Diff(kinds, got); diff != "" {
		h.t.Fatalf("%s\n%+v", diff, decisions)
	}
}

func observation(id string, group int) Observation {
	return Observation{ID: id, Address: "10.0.0." + id + ":5432", Group: group, Weight: 1}
}

func withRole(c Observation, r Role) Observation     { c.Role = r; return c }
func withHealth(c Observation, h Health) Observation { c.Health = h; return c }
func withStart(c Observation, ms float64) Observation {
	c.StartedAtMs = ms
	return c
}

// TestSelfReportsDecideOnThePrimary checks that a source's primary counts only while no server's self-report contradicts it.
func TestSelfReportsDecideOnThePrimary(t *testing.T) {
	h := newHarness(t, nil)
	three := []Observation{withRole(observation("1", 0), Primary), withRole(observation("2", 0), Replica), withRole(observation("3", 0), Replica)}
	h.wantDecisions(h.observe("consul", true, three...), Added, Added, Added)
	h.wantList("1 serving*, 2 serving, 3 serving")
	h.wantDecisions(h.selfReport("1", Replica), Rejected, NoPrimary) // it was replaced; the catalogue does not know yet
	h.wantList("1 serving, 2 serving, 3 serving")
	h.selfReport("2", Primary)
	h.wantList("1 serving, 2 serving*, 3 serving")
	h.observe("consul", true, three...)
	h.wantList("1 serving, 2 serving*, 3 serving")
	h.wantDecisions(h.selfReport("3", Primary), MultiplePrimaries)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.selfReport("2", Replica)
	h.wantList("1 serving, 2 serving, 3 serving*")
	// The same server under another id, and called the primary: it keeps its name, and its word.
	h.reconciler.Observe(h.now, "consul", &Report{Observations: []Observation{withRole(Observation{ID: "1b", Address: observation("1", 0).Address}, Primary)}, Removed: []string{"1"}})
	h.takeChanges()
	h.wantList("1 serving, 2 serving, 3 serving*")
	if entry, ok := h.reconciler.Entry("1"); !ok || entry.Address != observation("1", 0).Address || h.reconciler.Len() != 3 {
		t.Errorf("%+v %v", entry, ok)
	}
	h.selfReport("1", Replica)
	// A later process under the first id is another server; the list has both by names of their own.
	later := withStart(withRole(observation("1", 0), Replica), 9e5)
	later.Address = "10.3.3.3:5432"
	h.observe("consul", false, later)
	h.wantList("1 serving, 1#2 serving, 2 serving, 3 serving*")

	// Its word is too old to count, and then it says the same again.
	expired := newHarness(t, nil)
	expired.observe("consul", true, withRole(observation("1", 0), Primary))
	expired.selfReport("1", Replica)
	expired.advance(31000)
	expired.observe("consul", false, observation("2", 0))
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
	h := newHarness(t, nil)
	h.observe("consul", true, observation("1", 0), withHealth(observation("2", 0), Warning), withHealth(observation("3", 0), Critical))
	h.wantList("1 serving, 2 serving, 3 draining")
	h.selfReport("3", Replica)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.advance(25000)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.advance(10000) // it does not answer any more
	h.wantList("1 serving, 2 serving, 3 draining")
	h.observe("static", true, observation("1", 0))
	h.wantDecisions(h.observe("static", false, withHealth(observation("1", 0), Maintenance)), Drained)
	h.wantList("1 draining, 2 serving, 3 draining")
	h.observe("static", false, observation("1", 0))
	h.wantList("1 serving, 2 serving, 3 draining")

	strict := newHarness(t, func(s *Settings) { s.Critical = CriticalDrain })
	strict.observe("consul", true, observation("1", 0), observation("2", 0), withHealth(observation("3", 0), Critical))
	strict.selfReport("3", Replica)
	strict.wantList("1 serving, 2 serving, 3 draining")
	strict.observe("consul", false, withHealth(observation("2", 0), Critical), withHealth(observation("1", 0), Critical))
	strict.reconciler.markDirty("3")
	strict.observe("consul", false, withHealth(observation("1", 0), Critical))
	if n := strings.Count(strict.summary(), "serving"); n == 0 {
		t.Errorf("all are critical, and none is used: %s", strict.summary())
	}
	loose := newHarness(t, func(s *Settings) { s.Critical = CriticalIgnore })
	loose.observe("consul", true, withHealth(observation("1", 0), Critical))
	loose.wantList("1 serving")
}

// TestMassRemovalsAreHeldBack checks that an empty report removes nothing at first, that single removals count at once, and
// that operators or time release those held back.
func TestMassRemovalsAreHeldBack(t *testing.T) {
	eight := func() (out []Observation) {
		for i := range 8 {
			out = append(out, observation(fmt.Sprint(i), i/4))
		}
		return out
	}
	for name, c := range map[string]struct {
		do   func(h *harness)
		want string
	}{
		"an empty answer": {func(h *harness) {
			h.wantDecisions(h.observe("consul", true), slices.Repeat([]DecisionKind{RemovalHeldBack}, 8)...)
		},
			"0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that was a mistake": {func(h *harness) {
			h.observe("consul", true)
			h.observe("consul", true, eight()...)
			h.advance(700000)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that stays so": {func(h *harness) {
			h.observe("consul", true)
			if said := h.advance(700000); len(said) != 16 || said[0].Kind != RemovalAccepted {
				t.Errorf("%+v", said)
			}
		}, ""},
		"...that the operators accept": {func(h *harness) {
			h.observe("consul", true)
			h.reconciler.Override(h.now, Override{AcceptHeldRemovals: true})
			h.takeChanges()
		}, ""},
		"two of eight": {func(h *harness) { h.wantDecisions(h.observe("consul", true, eight()[2:]...), Removed, Removed) },
			"2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other": {func(h *harness) {
			for i := 1; i < 8; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.now += 1000
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other, slowly": {func(h *harness) {
			for i := 1; i < 4; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"a group's last": {func(h *harness) {
			for i := 1; i < 5; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"pinned by the operators": {func(h *harness) {
			h.reconciler.Override(h.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			h.observe("consul", true, eight()[1:]...)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 draining"},
		"pinned no more": {func(h *harness) {
			h.reconciler.Override(h.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			h.observe("consul", true, eight()[1:]...)
			h.reconciler.Override(h.now, Override{})
			h.takeChanges()
		}, "1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.observe("consul", true, eight()...)
			c.do(h)
			h.wantList(c.want)
		})
	}
}

// TestSourcesCountByRankAgeAndRetention checks that the first source by rank wins unless its report is stale, and that a lost
// source counts for its retention, or while its servers respond.
func TestSourcesCountByRankAgeAndRetention(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.SourceRetentionMs = 60000 })
	other := observation("1", 0)
	other.Address, other.Zone = "10.9.9.9:5432", "b"
	h.observe("static", true, other, observation("2", 0))
	h.wantDecisions(h.observe("consul", true, observation("1", 0)), ConflictingAddresses, Moved)
	if a := h.list["1"].Address; a != observation("1", 0).Address {
		t.Errorf("at %s", a)
	}
	h.reconciler.Observe(h.now, "consul", &Report{Full: true, Observations: []Observation{observation("1", 0)}, AgeMs: 3600000})
	h.takeChanges()
	if a := h.list["1"].Address; a != other.Address {
		t.Errorf("an hour old, it still has it at %s", a)
	}
	h.reconciler.Observe(h.now, "consul", &Report{Full: true, Observations: []Observation{observation("1", 0), observation("3", 1), observation("4", 1)}})
	h.takeChanges()
	h.wantList("1 serving, 2 serving, 3 serving, 4 serving")
	h.reconciler.SourceLost(h.now, "consul", "refused")
	h.reconciler.SourceLost(h.now, "consul", "refused")
	h.wantDecisions(h.takeChanges(), SourceLost)
	h.advance(45000)
	h.selfReport("3", Primary)
	h.advance(20000)
	if said := h.decisions[len(h.decisions)-1]; said.Kind != Removed || said.Server != "4" {
		t.Errorf("%+v", said)
	}
	h.wantList("1 serving, 2 serving, 3 serving*")
	h.advance(60000)
	h.wantList("1 serving, 2 serving")
	h.wantDecisions(h.observe("consul", false), SourceRecovered, ConflictingAddresses, Moved, Added, Added, NoPrimary)
	h.wantList("1 serving, 2 serving, 3 serving, 4 serving")
}

// TestConflictsMovesAndRegressions checks two addresses of one id, two ids of one address, moves between groups, and starts and
// generations that go back.
func TestConflictsMovesAndRegressions(t *testing.T) {
	h := newHarness(t, nil)
	a, b := observation("1", 0), observation("1", 0)
	b.Address, b.StartedAtMs = "10.7.7.7:5432", 5e5
	h.observe("consul", true, a, b, observation("2", 0))
	if entry := h.list["1"]; entry.Address != b.Address || entry.StartedAtMs != b.StartedAtMs {
		t.Errorf("%+v", entry)
	}
	h.wantDecisions(h.observe("consul", true, a, b, observation("2", 0)))
	h.wantDecisions(h.observe("consul", true, withStart(b, 4e5), observation("2", 0)), Regressed)
	h.wantDecisions(h.observe("consul", true, withStart(b, 4e5), observation("2", 0)))
	h.wantDecisions(h.observe("consul", true, withStart(b, 9e5), observation("2", 0)), Restarted)
	moved := observation("2", 7)
	h.observe("consul", true, withStart(b, 9e5), moved, observation("3", 7))
	if entry := h.list["2"]; entry.Group != 7 {
		t.Errorf("%+v", entry)
	}
	twin := observation("9", 7)
	twin.Address = moved.Address
	h.wantDecisions(h.observe("consul", false, twin), DuplicateAddress)
	if _, ok := h.list["9"]; ok {
		t.Error("one process is listed twice")
	}
	h.observe("consul", false, withStart(twin, 9.5e5))
	if _, ok := h.list["2"]; ok || h.list["9"].Address != twin.Address {
		t.Errorf("%s", h.summary())
	}
	if h.reconciler.Observe(h.now, "static", &Report{Full: true, Generation: 7}) || !h.reconciler.Observe(h.now, "static", &Report{Generation: 3, Observations: []Observation{observation("5", 0)}}) {
		t.Error("changes that go back are not asked about")
	}
	if h.takeChanges(); h.list["5"].ID != "" {
		t.Error("changes that go back were taken")
	}
	if h.reconciler.Observe(h.now, "static", &Report{Full: true, Generation: 3, Observations: []Observation{observation("5", 0)}}); h.reconciler.Observe(h.now, "nobody", &Report{}) {
		t.Error("a source that nobody named is asked")
	}
	if h.takeChanges(); h.list["5"].ID == "" {
		t.Error("a source that began anew is not heard")
	}
}

// TestFlappingServerDrainsUntilStable checks that a server that flaps is not used until it has been stable.
func TestFlappingServerDrainsUntilStable(t *testing.T) {
	h := newHarness(t, nil)
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	for i := range 8 {
		h.now += 1000
		h.observe("consul", false, withHealth(observation("1", 0), []Health{Maintenance, Passing}[i%2]))
	}
	h.wantList("1 draining, 2 serving")
	if said := h.advance(30000); len(said) == 0 || said[0].Kind != Stabilized {
		t.Errorf("%+v", said)
	}
	h.wantList("1 serving, 2 serving")
	h = newHarness(t, func(s *Settings) { s.MassRemovalFraction = 0 })
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	for range 4 {
		h.reconciler.Observe(h.now, "consul", &Report{Removed: []string{"1"}})
		h.observe("consul", false, observation("1", 0))
		h.now += 1000
	}
	h.wantList("1 draining, 2 serving")
	h.reconciler.Observe(h.now, "consul", &Report{Removed: []string{"1"}})
	h.takeChanges()
	h.advance(200000)
	if h.wantList("2 serving"); len(h.reconciler.servers) != 1 || len(h.reconciler.selfReports) != 0 {
		t.Errorf("%d servers and %d words are kept", len(h.reconciler.servers), len(h.reconciler.selfReports))
	}
}

// TestRetiredSourceLeavesWhatOthersKnow checks that a retired source leaves the servers that others know, and that its removals
// are held back where they know none.
func TestRetiredSourceLeavesWhatOthersKnow(t *testing.T) {
	three := []Observation{observation("1", 0), observation("2", 0), observation("3", 1)}
	h := newHarness(t, nil)
	h.observe("static", true, three...)
	h.observe("consul", true)
	h.reconciler.RetireSource(h.now, "static")
	h.wantDecisions(h.takeChanges(), RemovalHeldBack, RemovalHeldBack, RemovalHeldBack)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.observe("consul", true, three[0], three[2])
	h.advance(700000)
	h.wantList("1 serving, 3 serving")

	h = newHarness(t, nil)
	h.observe("static", true, three...)
	h.observe("consul", true, three[0], three[2])
	h.reconciler.RetireSource(h.now, "static")
	h.wantDecisions(h.takeChanges(), Removed)
	h.wantList("1 serving, 3 serving")
}

// TestRemovalsBeforeALossAreForgotten checks that what a source removed before a long loss does not remove what another has
// reported since.
func TestRemovalsBeforeALossAreForgotten(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.SourceRetentionMs, s.MassRemovalFraction = 5000, 0 })
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	h.observe("consul", true, observation("2", 0))
	h.observe("static", true, observation("1", 0))
	h.wantList("2 serving") // the first by rank has dropped it
	h.reconciler.SourceLost(h.now, "consul", "gone")
	h.advance(6000)
	h.wantList("1 serving")
	h.observe("consul", true, observation("2", 0))
	h.wantList("1 serving, 2 serving")
}

// TestEntryIsNotTransferredToAnotherAddress checks that a server that moves with its address to another group does not keep its
// old entry by way of another id that moves too.
func TestEntryIsNotTransferredToAnotherAddress(t *testing.T) {
	h := newHarness(t, nil)
	moved := func(id string, group int) Observation {
		c := observation(id, group)
		c.Address = observation("0", 0).Address
		return c
	}
	h.observe("static", true, withStart(moved("2", 0), 1000), moved("0", 0))
	h.wantList("2 serving")
	h.observe("consul", true, moved("0", 1), withHealth(moved("2", 1), Maintenance))
	h.wantList("2 draining")
	if entry := h.list["2"]; entry.Group != 1 {
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
		h := &harness{t: t, reconciler: New(set), now: 1e6, list: map[string]Entry{}}
		observations := map[string]map[string]Observation{"a": {}, "b": {}}
		denied := map[string]float64{}
		draw := func(rt *rapid.T) Observation {
			c := observation(fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), rapid.IntRange(0, 1).Draw(rt, "group"))
			if rapid.IntRange(0, 9).Draw(rt, "other address") == 0 {
				c.Address = fmt.Sprintf("10.0.0.%d:5432", rapid.IntRange(0, 5).Draw(rt, "address"))
			}
			c.Health = Health(rapid.IntRange(0, 3).Draw(rt, "health"))
			c.Role = Role(rapid.IntRange(0, 2).Draw(rt, "role"))
			c.StartedAtMs = float64(rapid.IntRange(0, 3).Draw(rt, "started")) * 1000
			return c
		}
		source := rapid.SampledFrom([]string{"a", "b"})
		reported := false
		rt.Repeat(map[string]func(*rapid.T){
			"changes": func(rt *rapid.T) {
				c, src := draw(rt), source.Draw(rt, "source")
				observations[src][c.ID] = c
				h.observe(src, false, c)
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
				was := len(h.list)
				h.observe(src, true, all...)
				reported = reported || len(all) > 0
				if was > 1 && len(all) == 0 && len(h.list) == 0 {
					rt.Fatalf("an empty answer emptied the list: %+v", h.decisions)
				}
			},
			"removed": func(rt *rapid.T) {
				src, id := source.Draw(rt, "source"), fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))
				delete(observations[src], id)
				h.reconciler.Observe(h.now, src, &Report{Removed: []string{id}})
				h.takeChanges()
			},
			"lost": func(rt *rapid.T) { h.reconciler.SourceLost(h.now, source.Draw(rt, "source"), "gone"); h.takeChanges() },
			"told": func(rt *rapid.T) {
				id, role := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), Role(rapid.IntRange(1, 2).Draw(rt, "role"))
				if entry, ok := h.list[id]; ok {
					if denied[entry.Address] = 0; role == Replica {
						denied[entry.Address] = h.now
					}
					h.selfReport(id, role)
				}
			},
			"override": func(rt *rapid.T) {
				h.reconciler.Override(h.now, Override{AcceptHeldRemovals: rapid.Bool().Draw(rt, "accept")})
				h.takeChanges()
			},
			"time": func(rt *rapid.T) { h.advance(float64(rapid.IntRange(1, 9000).Draw(rt, "ms"))) },
			"": func(rt *rapid.T) {
				var want []Entry
				for _, id := range sortedKeys(h.list) {
					want = append(want, h.list[id])
				}
				if diff := cmp.Diff(want, h.reconciler.List()); diff != "" {
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
						if at := denied[entry.Address]; at != 0 && h.now-at < set.SelfReportTTLMs && h.reconciler.selfReports[entry.Address] != nil && h.reconciler.selfReports[entry.Address].role == Replica {
							rt.Fatalf("%s is called the primary, and has said that it is none", entry.ID)
						}
					}
					for src, all := range observations {
						c, ok := all[entry.ID]
						if source := h.reconciler.sourcesByName[src]; ok && h.reconciler.listedByID[entry.ID].id == entry.ID && source.observations[entry.ID] != nil && c.Health == Maintenance && source.lostAt == 0 && source.heldRemovals[entry.ID] == 0 && entry.State == StateServing {
							rt.Fatalf("%s serves, and %s has it in maintenance", entry.ID, src)
						}
					}
				}
				if n := len(h.reconciler.servers); n > 6 {
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
