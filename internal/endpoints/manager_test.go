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

// harness is members on a loop that a test drives; it is discovery.Events too.
type harness struct {
	*Manager
	now       float64
	scheduled []func()
	list      map[string]discovery.Instance
	failed    int
}

func (r *harness) Now() float64 { return r.now }
func (r *harness) At(_ float64, do func()) *timers.Timer {
	r.scheduled = append(r.scheduled, do)
	return nil
}
func (r *harness) Post(f func()) { f() }

type events struct{ r *harness }

func (e events) Listed(l *discovery.List) {
	if l.Reset {
		clear(e.r.list)
	}
	for _, n := range l.Instances {
		if n.Lifecycle == "removed" {
			delete(e.r.list, n.ID)
		} else {
			e.r.list[n.ID] = n
		}
	}
}
func (e events) ListFailed() { e.r.failed++ }

func (r *harness) listed() string {
	var out []string
	for id, n := range r.list {
		out = append(out, strings.TrimSpace(id+" "+n.Lifecycle+" "+n.Role))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func newHarness(known []discovery.Instance, sources ...string) *harness {
	r := &harness{now: 1e6, list: map[string]discovery.Instance{}}
	r.Manager = New(r, slog.New(slog.DiscardHandler), Options{Reconcile: reconcile.Defaults(sources...), Platform: slices.Contains(sources, SourcePlatform)}, events{r}, &discovery.List{Instances: known})
	for _, n := range r.InitialList().Instances {
		r.list[n.ID] = n
	}
	return r
}

func up(id string) discovery.Instance {
	return discovery.Instance{ID: id, HostPort: id + ":5432", Lifecycle: "up", Weight: 1}
}

func claim(id string) reconcile.Observation {
	return reconcile.Observation{ID: id, Address: id + ":5432", Weight: 1}
}

// TestInitialListStandsUntilAllSourcesReported checks that the initial list stands until each source has reported all that it
// has.
func TestInitialListStandsUntilAllSourcesReported(t *testing.T) {
	r := newHarness([]discovery.Instance{up("a"), up("b"), up("old")}, SourceConsul, SourceStatic)
	var got []string
	for _, step := range []func(){
		func() {},
		func() {
			r.Observe(SourceConsul, &reconcile.Report{Observations: []reconcile.Observation{claim("a")}, MoreToCome: true})
		},
		func() {
			r.Observe(SourceStatic, &reconcile.Report{Full: true, Observations: []reconcile.Observation{claim("c")}})
		},
		func() { r.Observe(SourceConsul, &reconcile.Report{Observations: []reconcile.Observation{claim("b")}}) },
		func() { r.Observe(SourceConsul, &reconcile.Report{Removed: []string{"b"}}) },
	} {
		step()
		got = append(got, r.listed())
	}
	if diff := cmp.Diff([]string{"a up, b up, old up", "a up, b up, old up", "a up, b up, c up, old up", "a up, b up, c up", "a up, c up"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestSelfReportsAndPlatformReachTheList checks that servers' self-reports decide on roles, and that the platform's changes and
// failures are passed on.
func TestSelfReportsAndPlatformReachTheList(t *testing.T) {
	r := newHarness(nil, SourcePlatform)
	a, b := up("a"), up("b")
	a.Role = "primary"
	r.Listed(&discovery.List{Generation: 5, Reset: true, Instances: []discovery.Instance{a, b}})
	r.ServerReported("b", true, false, 0)
	r.ServerReported("a", false, true, 0)
	if diff := cmp.Diff("a up, b up primary", r.listed()); diff != "" {
		t.Error(diff)
	}
	b.Lifecycle = "draining"
	r.Listed(&discovery.List{Generation: 6, Instances: []discovery.Instance{b}})
	if diff := cmp.Diff("a up, b draining", r.listed()); diff != "" {
		t.Error(diff)
	}
	asked := &countingDiscovery{}
	r.SetDiscovery(asked)
	b.Lifecycle = "up"
	r.Listed(&discovery.List{Generation: 2, Instances: []discovery.Instance{b}}) // changes that go back
	if r.ListFailed(); r.failed != 1 || asked.n != 1 || r.listed() != "a up, b draining" {
		t.Errorf("%d failures, %d asked for the whole list; %s", r.failed, asked.n, r.listed())
	}
	r.Listed(&discovery.List{Generation: 2, Reset: true, Instances: []discovery.Instance{b}})
	if r.Summary() != "1 servers, 0 removals held back" || r.listed() != "b up primary" {
		t.Errorf("%s; %s", r.Summary(), r.listed())
	}
}

type countingDiscovery struct{ n int }

func (f *countingDiscovery) Watch() {}
func (f *countingDiscovery) Fetch() { f.n++ }
