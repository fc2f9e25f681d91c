package reconcile

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// harness is a reconciler with two sources, and the list that results from its changes.
type harness struct {
	t          *testing.T
	reconciler *Reconciler
	now        float64
	list       map[string]Entry
	decisions  []Decision
}

// newHarness returns a harness with the default settings. change, which may be nil, modifies them.
func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
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

func (h *harness) observe(source string, full bool, observations ...Observation) []Decision {
	h.reconciler.Observe(h.now, source, &Report{Full: full, Observations: observations})
	return h.takeChanges()
}

func (h *harness) selfReport(id string, role Role) []Decision {
	h.reconciler.ObserveServer(h.now, id, SelfReport{Role: role, Position: h.now})
	return h.takeChanges()
}

// advance moves the time forward and calls Tick whenever it is due. It returns the decisions made meanwhile.
func (h *harness) advance(ms float64) []Decision {
	end := h.now + ms
	before := len(h.decisions)
	for next := h.reconciler.Tick(h.now); next != 0 && next < end; next = h.reconciler.Tick(h.now) {
		h.now = max(next, h.now+1)
	}
	h.now = end
	h.reconciler.Tick(end)
	h.takeChanges()
	return h.decisions[before:]
}

// summary describes the list: the state of each server, with a star for the primary.
func (h *harness) summary() string {
	var parts []string
	for _, entry := range h.list {
		part := entry.ID + " " + entry.State.String()
		if entry.Primary {
			part += "*"
		}
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (h *harness) wantList(list string) {
	h.t.Helper()
	if diff := cmp.Diff(list, h.summary()); diff != "" {
		h.t.Fatalf("list (-want +got):\n%s\ndecisions so far: %+v", diff, h.decisions)
	}
}

func (h *harness) wantDecisions(decisions []Decision, kinds ...DecisionKind) {
	h.t.Helper()
	var got []DecisionKind
	for _, decision := range decisions {
		got = append(got, decision.Kind)
		if decision.Reason == "" || decision.AtMs == 0 {
			h.t.Errorf("decision without a reason or a time: %+v", decision)
		}
	}
	if diff := cmp.Diff(kinds, got); diff != "" {
		h.t.Fatalf("kinds of decisions (-want +got):\n%s\ndecisions: %+v", diff, decisions)
	}
}

func observation(id string, group int) Observation {
	return Observation{ID: id, Address: "10.0.0." + id + ":5432", Group: group, Weight: 1}
}

func withRole(observation Observation, role Role) Observation {
	observation.Role = role
	return observation
}

func withHealth(observation Observation, health Health) Observation {
	observation.Health = health
	return observation
}

func withStart(observation Observation, ms float64) Observation {
	observation.StartedAtMs = ms
	return observation
}
