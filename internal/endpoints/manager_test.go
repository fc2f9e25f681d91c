package endpoints

import (
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/eventloop/timers"
)

// harness is a manager on an event loop that the test drives, and the list that results from its changes.
type harness struct {
	*Manager
	now       float64
	scheduled []func()
	list      map[string]discovery.Instance
	failed    int
}

func (h *harness) Now() float64 { return h.now }
func (h *harness) At(_ float64, do func()) *timers.Timer {
	h.scheduled = append(h.scheduled, do)
	return nil
}
func (h *harness) Post(f func()) { f() }

// events applies the manager's changes to the harness's list.
type events struct{ harness *harness }

func (e events) Listed(list *discovery.List) {
	if list.Reset {
		clear(e.harness.list)
	}
	for _, instance := range list.Instances {
		if instance.Lifecycle == "removed" {
			delete(e.harness.list, instance.ID)
		} else {
			e.harness.list[instance.ID] = instance
		}
	}
}

func (e events) ListFailed() { e.harness.failed++ }

// listText describes the list: the lifecycle and role of each server.
func (h *harness) listText() string {
	var parts []string
	for id, instance := range h.list {
		parts = append(parts, strings.TrimSpace(id+" "+instance.Lifecycle+" "+instance.Role))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func newHarness(initial []discovery.Instance, sources ...string) *harness {
	h := &harness{now: 1e6, list: map[string]discovery.Instance{}}
	options := Options{Reconcile: reconcile.Defaults(sources...), Platform: slices.Contains(sources, SourcePlatform)}
	h.Manager = New(h, slog.New(slog.DiscardHandler), options, events{h}, &discovery.List{Instances: initial})
	for _, instance := range h.InitialList().Instances {
		h.list[instance.ID] = instance
	}
	return h
}

func up(id string) discovery.Instance {
	return discovery.Instance{ID: id, HostPort: id + ":5432", Lifecycle: "up", Weight: 1}
}

func observation(id string) reconcile.Observation {
	return reconcile.Observation{ID: id, Address: id + ":5432", Weight: 1}
}

// TestInitialListIsKeptUntilAllSourcesReported checks that the servers of the initial list are kept until every source has reported
// all its servers.
func TestInitialListIsKeptUntilAllSourcesReported(t *testing.T) {
	h := newHarness([]discovery.Instance{up("a"), up("b"), up("old")}, SourceConsul, SourceStatic)
	var got []string
	for _, step := range []func(){
		func() {},
		func() {
			h.Observe(SourceConsul, &reconcile.Report{Observations: []reconcile.Observation{observation("a")}, MoreToCome: true})
		},
		func() {
			h.Observe(SourceStatic, &reconcile.Report{Full: true, Observations: []reconcile.Observation{observation("c")}})
		},
		func() {
			h.Observe(SourceConsul, &reconcile.Report{Observations: []reconcile.Observation{observation("b")}})
		},
		func() { h.Observe(SourceConsul, &reconcile.Report{Removed: []string{"b"}}) },
	} {
		step()
		got = append(got, h.listText())
	}
	want := []string{
		"a up, b up, old up",
		"a up, b up, old up",
		"a up, b up, c up, old up",
		"a up, b up, c up",
		"a up, c up",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("list after each step (-want +got):\n%s", diff)
	}
}

// TestSelfReportsAndPlatformReachTheList checks that servers' self-reports decide on roles, and that changes and failures of the
// platform's discovery are passed on.
func TestSelfReportsAndPlatformReachTheList(t *testing.T) {
	h := newHarness(nil, SourcePlatform)
	a, b := up("a"), up("b")
	a.Role = "primary"
	h.Listed(&discovery.List{Generation: 5, Reset: true, Instances: []discovery.Instance{a, b}})
	h.ServerReported("b", true, false, 0)
	h.ServerReported("a", false, true, 0)
	if diff := cmp.Diff("a up, b up primary", h.listText()); diff != "" {
		t.Errorf("list after the servers' self-reports (-want +got):\n%s", diff)
	}
	b.Lifecycle = "draining"
	h.Listed(&discovery.List{Generation: 6, Instances: []discovery.Instance{b}})
	if diff := cmp.Diff("a up, b draining", h.listText()); diff != "" {
		t.Errorf("list after the change of b to draining (-want +got):\n%s", diff)
	}
	counting := &countingDiscovery{}
	h.SetDiscovery(counting)
	b.Lifecycle = "up"
	h.Listed(&discovery.List{Generation: 2, Instances: []discovery.Instance{b}}) // an earlier generation than the last
	if h.ListFailed(); h.failed != 1 || counting.fetches != 1 || h.listText() != "a up, b draining" {
		t.Errorf("after changes of an earlier generation: %d failures, %d fetches of the full list, list %q; want 1, 1, an unchanged list", h.failed, counting.fetches, h.listText())
	}
	h.Listed(&discovery.List{Generation: 2, Reset: true, Instances: []discovery.Instance{b}})
	if h.Summary() != "1 servers, 0 removals held back" || h.listText() != "b up primary" {
		t.Errorf("after a full list of an earlier generation: summary %q, list %q; want 1 server, b as the primary", h.Summary(), h.listText())
	}
}

type countingDiscovery struct{ fetches int }

func (f *countingDiscovery) Watch() {}
func (f *countingDiscovery) Fetch() { f.fetches++ }
