package consul

import (
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/consul/api"

	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/testkit/fake/consulserver"
)

// TestChangesAreReported checks that registrations, changes, maintenance and removals are reported, by the health API and by
// the catalogue, which has no health.
func TestChangesAreReported(t *testing.T) {
	for _, catalog := range []bool{false, true} {
		w := startWatch(t, 1, func(o *Options) { o.CatalogOnly = catalog })
		w.waitUntil(t, "three", w.hasSize(3))
		x := instance(1)
		x.Maintenance, x.Meta["role"], x.Meta["started"], x.Weight = true, "primary", "1700000000", 3
		w.catalog.Change("db", []consulserver.Instance{x})
		want := reconcile.Observation{
			ID:          "db-1",
			Address:     "10.0.0.1:5432",
			Zone:        "dc1",
			Weight:      3,
			StartedAtMs: 1.7e12,
			Health:      reconcile.Maintenance,
			Role:        reconcile.Primary,
		}
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
		fault  consulserver.Fault
		reason string
	}{
		"a storm of 500s":     {consulserver.Fault{Status: 500}, "status 500"},
		"slow down":           {consulserver.Fault{Status: 429, RetryAfter: 1}, "status 429"},
		"cut off in mid-JSON": {consulserver.Fault{Truncated: true}, "not whole"},
		"no JSON":             {consulserver.Fault{Garbage: true}, "not whole"},
		"100 MB":              {consulserver.Fault{OversizeBytes: 100 << 20}, "too long"},
		"elsewhere":           {consulserver.Fault{Status: 301}, "status 301"},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWatch(t, 2, nil)
			w.waitUntil(t, "three", w.hasSize(3))
			w.setAllFaults(c.fault)
			w.catalog.Change("db", []consulserver.Instance{instance(3)})
			w.waitUntil(t, "its reason", w.hasNote(c.reason))
			w.waitUntil(t, "that nobody answers", func() bool { return len(w.lost) == 1 && len(w.list) == 3 })
			w.setAllFaults(consulserver.Fault{})
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
	w.setAllFaults(consulserver.Fault{Empty: true})
	w.waitUntil(t, "none", w.hasSize(0))
	w.setAllFaults(consulserver.Fault{})
	w.waitUntil(t, "three again", w.hasSize(3))
}

// TestOneFaultyAgentOfTwoHidesNothing checks that changes are reported while one of two agents is down, an hour behind, or
// knows no leader.
func TestOneFaultyAgentOfTwoHidesNothing(t *testing.T) {
	for name, fault := range map[string]consulserver.Fault{
		"down":               {Status: 500},
		"an hour behind":     {Frozen: true, LastContact: time.Hour},
		"knows no leader":    {Leaderless: true, Frozen: true},
		"an old index alone": {Frozen: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWatch(t, 2, func(o *Options) { o.WaitMs = 300 })
			w.waitUntil(t, "three", w.hasSize(3))
			_, queries := w.agents[0].Queries()
			first := w.agents[1]
			if len(queries) > 0 {
				first = w.agents[0] // the one that is queried now
			}
			first.SetFault(fault)
			w.catalog.Change("db", []consulserver.Instance{instance(3)})
			if name == "an old index alone" {
				first.SetFault(consulserver.Fault{}) // it only lagged
			}
			w.waitUntil(t, "what changed", w.hasSize(4))
		})
	}
}

// TestHangingAgentIsReplaced checks that an agent that never responds is left for another in bounded time.
func TestHangingAgentIsReplaced(t *testing.T) {
	w := startWatch(t, 2, func(o *Options) { o.WaitMs = 200 })
	w.waitUntil(t, "three", w.hasSize(3))
	w.agents[0].SetFault(consulserver.Fault{Hang: true})
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
	w.catalog.ResetIndex()
	w.waitUntil(t, "that it was noticed", w.hasNote("index"))
	w.catalog.Change("db", nil, "db-4")
	w.waitUntil(t, "what changed since", w.hasSize(4))
}

// TestAgentWithoutIndexIsPolledSlowly checks that an agent that sends no index is queried with pauses.
func TestAgentWithoutIndexIsPolledSlowly(t *testing.T) {
	w := startWatch(t, 1, nil)
	w.setAllFaults(consulserver.Fault{NoIndex: true})
	w.waitUntil(t, "three", w.hasSize(3))
	w.catalog.Change("db", nil, "db-1")
	w.waitUntil(t, "two", w.hasSize(2))
	if n, _ := w.agents[0].Queries(); n > 20 {
		t.Errorf("it was queried %d times", n)
	}
}

// TestNewTokenRetriesAtOnce checks that a denied query is repeated at once with a new token, and that notes hold no token.
func TestNewTokenRetriesAtOnce(t *testing.T) {
	w := startWatch(t, 1, nil)
	w.waitUntil(t, "three", w.hasSize(3))
	w.agents[0].RequireToken("new")
	w.src.SetToken("old\n")
	w.catalog.Change("db", []consulserver.Instance{instance(3)})
	w.waitUntil(t, "that it is denied", w.hasNote("its token"))
	w.src.SetToken("new\n")
	w.waitUntil(t, "what changed", w.hasSize(4))
	if text := strings.Join(w.notes, " "); strings.Contains(text, "old") || strings.Contains(text, "new\n") {
		t.Errorf("a note holds a token: %s", text)
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
		t.Errorf("noted %d times", n)
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
	cfg.Address, cfg.Token = w.agents[0].Address, "t"
	w.agents[0].RequireToken("t")
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
