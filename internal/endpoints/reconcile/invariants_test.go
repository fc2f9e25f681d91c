package reconcile

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestInvariantsOfAnySequenceOfInputs checks that the following holds after any sequence of inputs: the changes add up to the list, no
// address is listed twice, no group has two primaries, no primary has recently reported itself as a replica, a single empty report
// does not empty the list, and no server that a source reports in maintenance is serving.
func TestInvariantsOfAnySequenceOfInputs(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		m := newInputModel(t)
		rt.Repeat(map[string]func(*rapid.T){
			"changes":  m.reportChange,
			"whole":    m.reportAll,
			"removed":  m.reportRemoval,
			"lost":     m.loseSource,
			"told":     m.reportSelf,
			"override": m.acceptRemovals,
			"time":     m.passTime,
			"":         m.check,
		})
	})
}

const (
	modelServers     = 6
	modelRetentionMs = 5000
)

// inputModel draws the inputs, and remembers what the sources and servers have reported.
type inputModel struct {
	*harness
	settings     Settings
	observations map[string]map[string]Observation // by source and id
	denied       map[string]float64                // by address: when its server reported itself as a replica; 0 if it last did not
}

func newInputModel(t *testing.T) *inputModel {
	t.Helper()
	settings := Defaults("a", "b")
	settings.SourceRetentionMs = modelRetentionMs
	return &inputModel{
		harness:      &harness{t: t, reconciler: New(settings), now: 1e6, list: map[string]Entry{}},
		settings:     settings,
		observations: map[string]map[string]Observation{"a": {}, "b": {}},
		denied:       map[string]float64{},
	}
}

func drawSource(rt *rapid.T) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "source") }

func drawID(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, modelServers-1).Draw(rt, "id")) }

func drawObservation(rt *rapid.T) Observation {
	drawn := observation(drawID(rt), rapid.IntRange(0, 1).Draw(rt, "group"))
	if rapid.IntRange(0, 9).Draw(rt, "other address") == 0 {
		drawn.Address = fmt.Sprintf("10.0.0.%d:5432", rapid.IntRange(0, modelServers-1).Draw(rt, "address"))
	}
	drawn.Health = Health(rapid.IntRange(0, 3).Draw(rt, "health"))
	drawn.Role = Role(rapid.IntRange(0, 2).Draw(rt, "role"))
	drawn.StartedAtMs = float64(rapid.IntRange(0, 3).Draw(rt, "started")) * 1000
	return drawn
}

func (m *inputModel) reportChange(rt *rapid.T) {
	drawn, source := drawObservation(rt), drawSource(rt)
	m.observations[source][drawn.ID] = drawn
	m.observe(source, false, drawn)
}

func (m *inputModel) reportAll(rt *rapid.T) {
	source := drawSource(rt)
	clear(m.observations[source])
	var all []Observation
	for range rapid.IntRange(0, 5).Draw(rt, "claims") {
		drawn := drawObservation(rt)
		if _, exists := m.observations[source][drawn.ID]; !exists {
			m.observations[source][drawn.ID] = drawn
			all = append(all, drawn)
		}
	}
	before := len(m.list)
	m.observe(source, true, all...)
	if before > 1 && len(all) == 0 && len(m.list) == 0 {
		rt.Fatalf("an empty report emptied the list: %+v", m.decisions)
	}
}

func (m *inputModel) reportRemoval(rt *rapid.T) {
	source, id := drawSource(rt), drawID(rt)
	delete(m.observations[source], id)
	m.reconciler.Observe(m.now, source, &Report{Removed: []string{id}})
	m.takeChanges()
}

func (m *inputModel) loseSource(rt *rapid.T) {
	m.reconciler.SourceLost(m.now, drawSource(rt), "gone")
	m.takeChanges()
}

func (m *inputModel) reportSelf(rt *rapid.T) {
	id, role := drawID(rt), Role(rapid.IntRange(1, 2).Draw(rt, "role"))
	entry, listed := m.list[id]
	if !listed {
		return
	}
	m.denied[entry.Address] = 0
	if role == Replica {
		m.denied[entry.Address] = m.now
	}
	m.selfReport(id, role)
}

func (m *inputModel) acceptRemovals(rt *rapid.T) {
	m.reconciler.Override(m.now, Override{AcceptHeldRemovals: rapid.Bool().Draw(rt, "accept")})
	m.takeChanges()
}

func (m *inputModel) passTime(rt *rapid.T) {
	m.advance(float64(rapid.IntRange(1, 9000).Draw(rt, "ms")))
}

// check checks the list after each input.
func (m *inputModel) check(rt *rapid.T) {
	var entries []Entry
	for _, id := range sortedKeys(m.list) {
		entries = append(entries, m.list[id])
	}
	if diff := cmp.Diff(entries, m.reconciler.List()); diff != "" {
		rt.Fatalf("the changes do not add up to the list (-changes +list):\n%s", diff)
	}
	idByAddress := map[string]string{}
	primaries := map[int]string{}
	for _, entry := range entries {
		if other := idByAddress[entry.Address]; other != "" {
			rt.Fatalf("%s is listed under the ids %s and %s", entry.Address, other, entry.ID)
		}
		idByAddress[entry.Address] = entry.ID
		if entry.Primary {
			if primaries[entry.Group] != "" || entry.State != StateServing {
				rt.Fatalf("primary of group %d: %s in state %v, and another: %q; want one that is serving", entry.Group, entry.ID, entry.State, primaries[entry.Group])
			}
			primaries[entry.Group] = entry.ID
			m.checkNotDenied(rt, &entry)
		}
		m.checkMaintenance(rt, &entry)
	}
	if n := len(m.reconciler.servers); n > modelServers {
		rt.Fatalf("%d servers are kept, want at most %d", n, modelServers)
	}
}

// checkNotDenied checks that a primary has not recently reported itself as a replica.
func (m *inputModel) checkNotDenied(rt *rapid.T, entry *Entry) {
	deniedAt := m.denied[entry.Address]
	deniedRecently := deniedAt != 0 && m.now-deniedAt < m.settings.SelfReportTTLMs
	report := m.reconciler.selfReports[entry.Address]
	if deniedRecently && report != nil && report.role == Replica {
		rt.Fatalf("%s is the primary in the list, but has reported itself as a replica", entry.ID)
	}
}

// checkMaintenance checks that a server is not serving while a reachable source reports it in maintenance.
func (m *inputModel) checkMaintenance(rt *rapid.T, entry *Entry) {
	for name, observations := range m.observations {
		reported, ok := observations[entry.ID]
		source := m.reconciler.sourcesByName[name]
		isOwnID := m.reconciler.listedByID[entry.ID].id == entry.ID
		isKnown := ok && isOwnID && source.observations[entry.ID] != nil
		isReachable := source.lostAt == 0 && source.heldRemovals[entry.ID] == 0
		if isKnown && isReachable && reported.Health == Maintenance && entry.State == StateServing {
			rt.Fatalf("%s is serving, but %s reports it in maintenance", entry.ID, name)
		}
	}
}
