package consul

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/consul/api"
	"pgregory.net/rapid"

	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/consulserver"
)

const patience = 20 * time.Second

// recordingSink is a sink that a test can wait for.
type recordingSink struct {
	mu      sync.Mutex
	list    map[string]reconcile.Observation
	notes   []string
	lost    []string
	changed chan struct{}
}

func (sink *recordingSink) Observe(_ string, r *reconcile.Report) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, c := range r.Observations {
		sink.list[c.ID] = c
	}
	for _, id := range r.Removed {
		delete(sink.list, id)
	}
	sink.signal()
}

func (sink *recordingSink) SourceLost(_, why string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.lost = append(sink.lost, why)
	sink.signal()
}

func (sink *recordingSink) Note(_ string, w reconcile.DecisionKind, why string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.notes = append(sink.notes, string(w)+": "+why)
	sink.signal()
}

func (sink *recordingSink) signal() {
	select {
	case sink.changed <- struct{}{}:
	default:
	}
}

// waitUntil waits until something holds of what was heard.
func (sink *recordingSink) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.After(patience); ; {
		sink.mu.Lock()
		is := ok()
		sink.mu.Unlock()
		if is {
			return
		}
		select {
		case <-sink.changed:
		case <-end:
			sink.mu.Lock()
			defer sink.mu.Unlock()
			t.Fatalf("not so: %s; list %v, notes %q, lost %q", what, sink.list, sink.notes, sink.lost)
		}
	}
}

func (sink *recordingSink) hasNote(part string) func() bool {
	return func() bool { return strings.Contains(strings.Join(sink.notes, "\n"), part) }
}

func instance(i int) consulserver.Instance {
	return consulserver.Instance{ID: fmt.Sprint("db-", i), Node: fmt.Sprint("n", i), Address: fmt.Sprint("10.0.0.", i), Port: 5432, Meta: map[string]string{"group": fmt.Sprint(i / 3), "role": "replica"}}
}

type testSetup struct {
	catalog *consulserver.Catalog
	agents  []*consulserver.Agent
	src     *Source
	*recordingSink
}

// startWatch starts agents before a catalogue of three instances, and a source that watches them.
func startWatch(t *testing.T, agents int, change func(*Options)) *testSetup {
	w := &testSetup{catalog: consulserver.NewCatalog(), recordingSink: &recordingSink{list: map[string]reconcile.Observation{}, changed: make(chan struct{}, 1)}}
	opt := Options{Name: "consul", Services: []string{"db"}, WaitMs: 30000, MaxStaleMs: 10000, MaxResponseBytes: 1 << 20, Mapping: DefaultMapping(), Seed: 1}
	for range agents {
		a, err := consulserver.Start(w.catalog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Stop)
		w.agents = append(w.agents, a)
		opt.Agents = append(opt.Agents, a.Addr)
	}
	w.catalog.Change("db", []consulserver.Instance{instance(0), instance(1), instance(2)})
	if change != nil {
		change(&opt)
	}
	w.src = New(opt, func(f func()) { f() }, clock.System().Now, w.recordingSink, slog.New(slog.DiscardHandler))
	w.src.Start()
	t.Cleanup(w.src.Stop)
	return w
}

func (w *testSetup) setAllFaults(lie consulserver.Lie) {
	for _, a := range w.agents {
		a.Tell(lie)
	}
}

func (w *testSetup) hasSize(n int) func() bool { return func() bool { return len(w.list) == n } }

// TestChangesAreReported checks that registrations, changes, maintenance and removals are reported, by the health API and by
// the catalogue, which has no health.
func TestChangesAreReported(t *testing.T) {
	for _, catalog := range []bool{false, true} {
		w := startWatch(t, 1, func(o *Options) { o.CatalogOnly = catalog })
		w.waitUntil(t, "three", w.hasSize(3))
		x := instance(1)
		x.Maintenance, x.Meta["role"], x.Meta["started"], x.Weight = true, "primary", "1700000000", 3
		w.catalog.Change("db", []consulserver.Instance{x})
		want := reconcile.Observation{ID: "db-1", Address: "10.0.0.1:5432", Zone: "dc1", Weight: 3, StartedAtMs: 1.7e12, Health: reconcile.Maintenance, Role: reconcile.Primary}
		if catalog {
			want.Health = reconcile.Passing
		}
		w.waitUntil(t, "the change", func() bool { return cmp.Equal(want, w.list["db-1"]) })
		w.catalog.Change("db", nil, "db-0")
		w.waitUntil(t, "the removal", w.hasSize(2))
		if n, paths := w.agents[0].Queries(); n > 10 || !strings.Contains(paths[len(paths)-1], "index=") || !strings.Contains(paths[len(paths)-1], "wait=10000ms") {
			t.Errorf("%d queries, the last %q", n, paths)
		}
	}
}

// TestFaultyAgentsChangeNothing checks that faulty responses change nothing and are noted with their reason, and that the next
// correct one is reported.
func TestFaultyAgentsChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		lie consulserver.Lie
		why string
	}{
		"a storm of 500s":     {consulserver.Lie{Status: 500}, "status 500"},
		"slow down":           {consulserver.Lie{Status: 429, RetryAfter: 1}, "status 429"},
		"cut off in mid-JSON": {consulserver.Lie{Cut: true}, "not whole"},
		"no JSON":             {consulserver.Lie{Garbage: true}, "not whole"},
		"100 MB":              {consulserver.Lie{Huge: 100 << 20}, "too long"},
		"elsewhere":           {consulserver.Lie{Status: 301}, "status 301"},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWatch(t, 2, nil)
			w.waitUntil(t, "three", w.hasSize(3))
			w.setAllFaults(c.lie)
			w.catalog.Change("db", []consulserver.Instance{instance(3)})
			w.waitUntil(t, "its reason", w.hasNote(c.why))
			w.waitUntil(t, "that nobody answers", func() bool { return len(w.lost) == 1 && len(w.list) == 3 })
			w.setAllFaults(consulserver.Lie{})
			w.waitUntil(t, "the truth", w.hasSize(4))
			if read := w.src.BytesRead(); read > 20<<20 {
				t.Errorf("%d bytes were read", read)
			}
		})
	}
}

// TestEmptyListIsReported checks that an empty list is reported as it is; the reconciler decides what to make of it.
func TestEmptyListIsReported(t *testing.T) {
	w := startWatch(t, 1, func(o *Options) { o.WaitMs = 200 })
	w.waitUntil(t, "three", w.hasSize(3))
	w.setAllFaults(consulserver.Lie{Empty: true})
	w.waitUntil(t, "none", w.hasSize(0))
	w.setAllFaults(consulserver.Lie{})
	w.waitUntil(t, "three again", w.hasSize(3))
}

// TestOneFaultyAgentOfTwoHidesNothing checks that changes are reported while one of two agents is down, an hour behind, or
// knows no leader.
func TestOneFaultyAgentOfTwoHidesNothing(t *testing.T) {
	for name, lie := range map[string]consulserver.Lie{
		"down":               {Status: 500},
		"an hour behind":     {Frozen: true, Contact: time.Hour},
		"knows no leader":    {Leaderless: true, Frozen: true},
		"an old index alone": {Frozen: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWatch(t, 2, func(o *Options) { o.WaitMs = 300 })
			w.waitUntil(t, "three", w.hasSize(3))
			_, asked := w.agents[0].Queries()
			first := w.agents[1]
			if len(asked) > 0 {
				first = w.agents[0] // the one that is asked now
			}
			first.Tell(lie)
			w.catalog.Change("db", []consulserver.Instance{instance(3)})
			if name == "an old index alone" {
				first.Tell(consulserver.Lie{}) // it lags, no more
			}
			w.waitUntil(t, "what changed", w.hasSize(4))
		})
	}
}

// TestHangingAgentIsReplaced checks that an agent that never responds is left for another in bounded time.
func TestHangingAgentIsReplaced(t *testing.T) {
	w := startWatch(t, 2, func(o *Options) { o.WaitMs = 200 })
	w.waitUntil(t, "three", w.hasSize(3))
	w.agents[0].Tell(consulserver.Lie{Hang: true})
	w.catalog.Change("db", []consulserver.Instance{instance(3)})
	w.waitUntil(t, "what changed", w.hasSize(4))
}

// TestIndexResetReloadsTheList checks that the list is read again after an index that went back.
func TestIndexResetReloadsTheList(t *testing.T) {
	w := startWatch(t, 2, nil)
	w.waitUntil(t, "three", w.hasSize(3))
	for i := range 20 {
		w.catalog.Change("db", []consulserver.Instance{instance(3 + i%2)})
	}
	w.waitUntil(t, "five", w.hasSize(5))
	w.catalog.Reset()
	w.waitUntil(t, "that it was noticed", w.hasNote("index"))
	w.catalog.Change("db", nil, "db-4")
	w.waitUntil(t, "what changed since", w.hasSize(4))
}

// TestAgentWithoutIndexIsPolledSlowly checks that an agent that sends no index is queried with pauses.
func TestAgentWithoutIndexIsPolledSlowly(t *testing.T) {
	w := startWatch(t, 1, nil)
	w.setAllFaults(consulserver.Lie{NoIndex: true})
	w.waitUntil(t, "three", w.hasSize(3))
	w.catalog.Change("db", nil, "db-1")
	w.waitUntil(t, "two", w.hasSize(2))
	if n, _ := w.agents[0].Queries(); n > 20 {
		t.Errorf("it was asked %d times", n)
	}
}

// TestNewTokenRetriesAtOnce checks that a denied query is repeated at once with a new token, and that notes hold no token.
func TestNewTokenRetriesAtOnce(t *testing.T) {
	w := startWatch(t, 1, nil)
	w.waitUntil(t, "three", w.hasSize(3))
	w.agents[0].Need("new")
	w.src.SetToken("old\n")
	w.catalog.Change("db", []consulserver.Instance{instance(3)})
	w.waitUntil(t, "that it is denied", w.hasNote("its token"))
	w.src.SetToken("new\n")
	w.waitUntil(t, "what changed", w.hasSize(4))
	if text := strings.Join(w.notes, " "); strings.Contains(text, "old") || strings.Contains(text, "new\n") {
		t.Errorf("a token was told: %s", text)
	}
}

// TestTLSNeedsAKnownAuthority checks that agents over TLS are queried only where their authority is known.
func TestTLSNeedsAKnownAuthority(t *testing.T) {
	for _, known := range []bool{true, false} {
		var proxy *httptest.Server
		w := startWatch(t, 1, func(o *Options) {
			to, err := url.Parse("http://" + o.Agents[0])
			if err != nil {
				t.Fatal(err)
			}
			proxy = httptest.NewTLSServer(httputil.NewSingleHostReverseProxy(to))
			proxy.Config.ErrorLog = log.New(io.Discard, "", 0)
			t.Cleanup(func() { proxy.CloseClientConnections(); proxy.Close() })
			o.Agents[0] = proxy.Listener.Addr().String()
			o.TLS = &tls.Config{ServerName: "example.com"}
			if known {
				o.TLS.RootCAs = proxy.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
			}
		})
		if known {
			w.waitUntil(t, "three", w.hasSize(3))
		} else {
			w.waitUntil(t, "that it is not believed", w.hasNote("certificate"))
		}
	}
}

// TestUnusableInstancesAreNotedOnce checks that instances that cannot be used are noted once and hide no others.
func TestUnusableInstancesAreNotedOnce(t *testing.T) {
	w := startWatch(t, 1, nil)
	x, y := instance(7), instance(8)
	x.Meta = map[string]string{"group": "seven"}
	y.Port = 0
	w.catalog.Change("db", []consulserver.Instance{x, y, instance(3)})
	w.waitUntil(t, "the others", func() bool { return len(w.list) == 4 && w.hasNote("2 of 6 instances cannot be used")() })
	w.catalog.Change("db", []consulserver.Instance{instance(4)})
	w.waitUntil(t, "one more", w.hasSize(5))
	if n := strings.Count(strings.Join(w.notes, "\n"), "cannot be used"); n > 2 {
		t.Errorf("told %d times", n)
	}
}

// TestServicesAreWatchedIndependently checks that a service without instances does not delay the others.
func TestServicesAreWatchedIndependently(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("db-", i))
	}
	w := startWatch(t, 1, func(o *Options) { o.Services = append(names, "db", "none") })
	for i, n := range names {
		x := instance(i)
		x.ID = n + "-" + x.ID
		w.catalog.Change(n, []consulserver.Instance{x})
	}
	w.waitUntil(t, "all", w.hasSize(43))
}

// TestFakeServerSpeaksConsulsProtocol checks the fake server against Consul's own client library.
func TestFakeServerSpeaksConsulsProtocol(t *testing.T) {
	w := startWatch(t, 1, nil)
	cfg := api.DefaultConfig()
	cfg.Address, cfg.Token = w.agents[0].Addr, "t"
	w.agents[0].Need("t")
	client, err := api.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	entries, meta, err := client.Health().Service("db", "", false, nil)
	if err != nil || len(entries) != 3 || meta.LastIndex == 0 || !meta.KnownLeader || entries[1].Service.Meta["group"] != "0" || entries[1].Service.Port != 5432 {
		t.Fatalf("%v, %+v, %v", entries, meta, err)
	}
	x := instance(2)
	x.Maintenance = true
	go w.catalog.Change("db", []consulserver.Instance{x})
	entries, next, err := client.Health().Service("db", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: patience})
	if err != nil || next.LastIndex <= meta.LastIndex || entries[2].Checks.AggregatedStatus() != api.HealthMaint {
		t.Fatalf("%+v, %v", next, err)
	}
	nodes, _, err := client.Catalog().Service("db", "", nil)
	if err != nil || len(nodes) != 3 || nodes[0].ServicePort != 5432 {
		t.Fatalf("%v, %v", nodes, err)
	}
}

// TestMappingOfInstances checks the places that fields may come from, and which instances cannot be used.
func TestMappingOfInstances(t *testing.T) {
	x := Instance{Node: "n", NodeAddress: "10.1.1.1", Datacenter: "recife", NodeMeta: map[string]string{"rack": "r2"}, ID: "i", Service: "obra-2", Port: 5432,
		Tags: []string{"Master", "cell=4", "v1"}, Meta: map[string]string{"w": "2.5", "up": "2023-11-14T22:13:20Z"}, Weights: Weights{Passing: 7, Warning: 2}}
	m := DefaultMapping()
	m.Group, m.Role, m.Zone, m.Kind, m.Weight, m.Started = FieldSource{"tag", "cell="}, FieldSource{Kind: "tag"}, FieldSource{"node-meta", "rack"}, FieldSource{"const", "k"}, FieldSource{"meta", "w"}, FieldSource{"meta", "up"}
	c, err := m.Observation(&x)
	if diff := cmp.Diff(reconcile.Observation{ID: "i", Address: "10.1.1.1:5432", Group: 4, Zone: "r2", Kind: "k", Weight: 2.5, StartedAtMs: 1.7e12, Role: reconcile.Primary}, c); err != nil || diff != "" {
		t.Error(err, diff)
	}
	m = DefaultMapping()
	m.Group, m.GroupNumbers, m.Role = FieldSource{Kind: "service"}, map[string]string{"obra-2": "9"}, FieldSource{"tag", "v"}
	if c, err = m.Observation(&x); err != nil || c.Group != 9 || c.Weight != 7 || c.Zone != "recife" || c.Role != reconcile.RoleUnknown {
		t.Errorf("%+v %v", c, err)
	}
	x.Health = reconcile.Warning
	if c, _ = m.Observation(&x); c.Weight != 2 {
		t.Errorf("weight %v", c.Weight)
	}
	for text, want := range map[string]float64{"1700000000": 1.7e12, "1700000000000": 1.7e12, "-1": 0, "soon": 0, "NaN": 0, "1e300": 0} {
		if got := parseStart(text); got != want {
			t.Errorf("%s: %v", text, got)
		}
	}
	m.GroupNumbers = nil
	if _, err := m.Observation(&x); !errors.Is(err, ErrNoGroup) {
		t.Error(err)
	}
	x.Port = 70000
	if _, err := m.Observation(&x); !errors.Is(err, ErrNoAddress) {
		t.Error(err)
	}
}

// TestWatchKeepsQuerying checks that whatever responses come, the next query is due in bounded time at an existing agent, and
// that a lower index is never accepted silently.
func TestWatchKeepsQuerying(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(rt, "agents")
		w := NewWatch(n, 20000, 10000, func() float64 { return rapid.Float64Range(0, 1).Draw(rt, "random") })
		now, known := 1e6, uint64(0)
		for range 60 {
			q, at := w.Next(now)
			if q.Agent < 0 || q.Agent >= n || at < now || at > now+1.25*maxBackoffMs+3600e3 || q.TimeoutMs() > 30000 {
				rt.Fatalf("%+v at %v", q, at-now)
			}
			now = at
			a := Response{Status: rapid.SampledFrom([]int{200, 200, 200, 403, 500}).Draw(rt, "status"), Index: uint64(rapid.IntRange(0, 9).Draw(rt, "index")),
				Leaderless: rapid.IntRange(0, 4).Draw(rt, "leaderless") == 0, LastContactMs: float64(rapid.SampledFrom([]int{0, 50, 3600000}).Draw(rt, "contact"))}
			v := w.HandleResponse(now, q, a)
			if v.Accepted && a.Status != 200 || !v.Accepted && v.Reason == "" {
				rt.Fatalf("%+v: %+v", a, v)
			}
			if v.Accepted && a.Index < known && v.Reason == "" {
				rt.Fatalf("index %d after %d was taken in silence", a.Index, known)
			}
			if v.Accepted {
				known = w.index
			}
		}
	})
}

// FuzzParse checks that any response is read completely or not at all, in bounded memory.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`[]`, `null`, `[{"Node":{"Node":"a","Address":"1.2.3.4"},"Service":{"ID":"x","Port":5432,"Tags":null,"Meta":{"group":"1"}},"Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]}]`,
		`[{"Node":"a","ServiceID":"x","ServicePort":1}]`, `[{`, `[] x`, `{"a":1}`, `[1,2]`, "[{\"Checks\":[{\"Status\":\"warning\"}]}]\n"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, health bool) {
		list, err := Parse(bytes.NewReader(b), health)
		if err != nil && list != nil || len(list) > len(b) {
			t.Errorf("%d instances, %v", len(list), err)
		}
		m := DefaultMapping()
		for i := range list {
			if c, err := m.Observation(&list[i]); err == nil && (c.ID == "" || c.Address == "" || c.Weight <= 0) {
				t.Errorf("%+v", c)
			}
		}
		if err == nil && len(b) > 1 { // what is cut off is not taken for whole
			text := bytes.TrimSpace(b)
			if _, err := Parse(bytes.NewReader(text[:len(text)-1]), health); err == nil && text[len(text)-1] == ']' {
				t.Errorf("cut off, it was taken: %q", text)
			}
		}
	})
}

// BenchmarkParse measures a full response of 2,000 instances.
func BenchmarkParse(b *testing.B) {
	c := consulserver.NewCatalog()
	var all []consulserver.Instance
	for i := range 2000 {
		all = append(all, instance(i))
	}
	c.Change("db", all)
	a, err := consulserver.Start(c)
	if err != nil {
		b.Fatal(err)
	}
	defer a.Stop()
	src := New(Options{Agents: []string{a.Addr}, MaxResponseBytes: 16 << 20}, nil, nil, nil, slog.New(slog.DiscardHandler))
	res, err := src.client.Get(src.url("db", Query{}))
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if list, err := Parse(bytes.NewReader(body), true); err != nil || len(list) != 2000 {
			b.Fatal(err)
		}
	}
}
