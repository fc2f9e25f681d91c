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

// TestChangesAreReported checks that registrations, changes, maintenance and removals are reported, with the health API and with the
// catalogue API, which reports no health.
func TestChangesAreReported(t *testing.T) {
	for _, catalog := range []bool{false, true} {
		s := startWatch(t, 1, func(options *Options) { options.CatalogOnly = catalog })
		s.waitUntil(t, "three instances", s.hasSize(3))
		changed := instance(1)
		changed.Maintenance, changed.Meta["role"], changed.Meta["started"], changed.Weight = true, "primary", "1700000000", 3
		s.catalog.Change("db", []consulserver.Instance{changed})
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
		s.waitUntil(t, "the change is reported", func() bool { return cmp.Equal(want, s.list["db-1"]) })
		s.catalog.Change("db", nil, "db-0")
		s.waitUntil(t, "the removal is reported", s.hasSize(2))
		if n, paths := s.agents[0].Queries(); n > 10 || !strings.Contains(paths[len(paths)-1], "index=") || !strings.Contains(paths[len(paths)-1], "wait=10000ms") {
			t.Errorf("%d queries, the last %q; want at most 10, the last with an index and a wait of 10000 ms", n, paths)
		}
	}
}

// TestFaultyAgentsChangeNothing checks that faulty responses change nothing, that their reason is noted, and that the next correct
// response is reported.
func TestFaultyAgentsChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		fault  consulserver.Fault
		reason string
	}{
		"status 500":        {consulserver.Fault{Status: 500}, "status 500"},
		"too many requests": {consulserver.Fault{Status: 429, RetryAfter: 1}, "status 429"},
		"truncated JSON":    {consulserver.Fault{Truncated: true}, "not whole"},
		"not JSON":          {consulserver.Fault{Garbage: true}, "not whole"},
		"100 MB response":   {consulserver.Fault{OversizeBytes: 100 << 20}, "too long"},
		"redirect":          {consulserver.Fault{Status: 301}, "status 301"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startWatch(t, 2, nil)
			s.waitUntil(t, "three instances", s.hasSize(3))
			s.setAllFaults(c.fault)
			s.catalog.Change("db", []consulserver.Instance{instance(3)})
			s.waitUntil(t, "the reason is noted", s.hasNote(c.reason))
			s.waitUntil(t, "the source is lost and the list kept", func() bool { return len(s.lost) == 1 && len(s.list) == 3 })
			s.setAllFaults(consulserver.Fault{})
			s.waitUntil(t, "the change is reported", s.hasSize(4))
			if read := s.source.BytesRead(); read > 20<<20 {
				t.Errorf("%d bytes were read, want at most 20 MiB", read)
			}
		})
	}
}

// TestEmptyListIsReported checks that an empty list is reported unchanged; holding removals back is up to the reconciler.
func TestEmptyListIsReported(t *testing.T) {
	s := startWatch(t, 1, func(options *Options) { options.WaitMs = 200 })
	s.waitUntil(t, "three instances", s.hasSize(3))
	s.setAllFaults(consulserver.Fault{Empty: true})
	s.waitUntil(t, "no instances", s.hasSize(0))
	s.setAllFaults(consulserver.Fault{})
	s.waitUntil(t, "three instances again", s.hasSize(3))
}

// TestOneFaultyAgentOfTwoHidesNothing checks that changes are reported while one of two agents is down, an hour behind, has an old
// index, or knows no leader.
func TestOneFaultyAgentOfTwoHidesNothing(t *testing.T) {
	for name, fault := range map[string]consulserver.Fault{
		"down":               {Status: 500},
		"an hour behind":     {Frozen: true, LastContact: time.Hour},
		"knows no leader":    {Leaderless: true, Frozen: true},
		"an old index alone": {Frozen: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startWatch(t, 2, func(options *Options) { options.WaitMs = 300 })
			s.waitUntil(t, "three instances", s.hasSize(3))
			_, queries := s.agents[0].Queries()
			first := s.agents[1]
			if len(queries) > 0 {
				first = s.agents[0] // the agent that is being queried
			}
			first.SetFault(fault)
			s.catalog.Change("db", []consulserver.Instance{instance(3)})
			if name == "an old index alone" {
				first.SetFault(consulserver.Fault{}) // the agent only lagged
			}
			s.waitUntil(t, "the change is reported", s.hasSize(4))
		})
	}
}

// TestHangingAgentIsReplaced checks that another agent is queried in bounded time after one that never responds.
func TestHangingAgentIsReplaced(t *testing.T) {
	s := startWatch(t, 2, func(options *Options) { options.WaitMs = 200 })
	s.waitUntil(t, "three instances", s.hasSize(3))
	s.agents[0].SetFault(consulserver.Fault{Hang: true})
	s.catalog.Change("db", []consulserver.Instance{instance(3)})
	s.waitUntil(t, "the change is reported", s.hasSize(4))
}

// TestIndexResetReloadsTheList checks that the list is read again after the index has gone back.
func TestIndexResetReloadsTheList(t *testing.T) {
	s := startWatch(t, 2, nil)
	s.waitUntil(t, "three instances", s.hasSize(3))
	for i := range 20 {
		s.catalog.Change("db", []consulserver.Instance{instance(3 + i%2)})
	}
	s.waitUntil(t, "five instances", s.hasSize(5))
	s.catalog.ResetIndex()
	s.waitUntil(t, "the index reset is noted", s.hasNote("index"))
	s.catalog.Change("db", nil, "db-4")
	s.waitUntil(t, "the later change is reported", s.hasSize(4))
}

// TestAgentWithoutIndexIsPolledSlowly checks that there are pauses between the queries at an agent that sends no index.
func TestAgentWithoutIndexIsPolledSlowly(t *testing.T) {
	s := startWatch(t, 1, nil)
	s.setAllFaults(consulserver.Fault{NoIndex: true})
	s.waitUntil(t, "three instances", s.hasSize(3))
	s.catalog.Change("db", nil, "db-1")
	s.waitUntil(t, "two instances", s.hasSize(2))
	if n, _ := s.agents[0].Queries(); n > 20 {
		t.Errorf("the agent was queried %d times, want at most 20", n)
	}
}

// TestNewTokenRetriesAtOnce checks that a denied query is repeated at once with a new token, and that notes contain no token.
func TestNewTokenRetriesAtOnce(t *testing.T) {
	s := startWatch(t, 1, nil)
	s.waitUntil(t, "three instances", s.hasSize(3))
	s.agents[0].RequireToken("new")
	s.source.SetToken("old\n")
	s.catalog.Change("db", []consulserver.Instance{instance(3)})
	s.waitUntil(t, "the denial is noted", s.hasNote("its token"))
	s.source.SetToken("new\n")
	s.waitUntil(t, "the change is reported", s.hasSize(4))
	if text := strings.Join(s.notes, " "); strings.Contains(text, "old") || strings.Contains(text, "new\n") {
		t.Errorf("a note contains a token: %s", text)
	}
}

// TestTLSNeedsAKnownAuthority checks that agents are queried over TLS only if the authority of their certificate is trusted.
func TestTLSNeedsAKnownAuthority(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		var proxy *httptest.Server
		s := startWatch(t, 1, func(options *Options) {
			target, err := url.Parse("http://" + options.Agents[0])
			if err != nil {
				t.Fatalf("parse the address of the agent: %v", err)
			}
			proxy = httptest.NewTLSServer(httputil.NewSingleHostReverseProxy(target))
			proxy.Config.ErrorLog = log.New(io.Discard, "", 0)
			t.Cleanup(func() { proxy.CloseClientConnections(); proxy.Close() })
			options.Agents[0] = proxy.Listener.Addr().String()
			options.TLS = &tls.Config{ServerName: "example.com"}
			if trusted {
				options.TLS.RootCAs = proxy.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
			}
		})
		if trusted {
			s.waitUntil(t, "three instances", s.hasSize(3))
		} else {
			s.waitUntil(t, "the certificate error is noted", s.hasNote("certificate"))
		}
	}
}

// TestUnusableInstancesAreNotedOnce checks that instances that cannot be used are noted once, and that the others are reported.
func TestUnusableInstancesAreNotedOnce(t *testing.T) {
	s := startWatch(t, 1, nil)
	invalidGroup, noPort := instance(7), instance(8)
	invalidGroup.Meta = map[string]string{"group": "seven"}
	noPort.Port = 0
	s.catalog.Change("db", []consulserver.Instance{invalidGroup, noPort, instance(3)})
	s.waitUntil(t, "the usable instances are reported", func() bool { return len(s.list) == 4 && s.hasNote("2 of 6 instances cannot be used")() })
	s.catalog.Change("db", []consulserver.Instance{instance(4)})
	s.waitUntil(t, "one more instance", s.hasSize(5))
	if n := strings.Count(strings.Join(s.notes, "\n"), "cannot be used"); n > 2 {
		t.Errorf("unusable instances are noted %d times, want at most 2", n)
	}
}

// TestServicesAreWatchedIndependently checks that a service without instances does not delay the others.
func TestServicesAreWatchedIndependently(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("db-", i))
	}
	s := startWatch(t, 1, func(options *Options) { options.Services = append(names, "db", "none") })
	for i, name := range names {
		registered := instance(i)
		registered.ID = name + "-" + registered.ID
		s.catalog.Change(name, []consulserver.Instance{registered})
	}
	s.waitUntil(t, "the instances of all services", s.hasSize(43))
}

// TestFakeServerSpeaksConsulsProtocol checks the fake Consul server with Consul's own client library.
func TestFakeServerSpeaksConsulsProtocol(t *testing.T) {
	s := startWatch(t, 1, nil)
	cfg := api.DefaultConfig()
	cfg.Address, cfg.Token = s.agents[0].Address, "t"
	s.agents[0].RequireToken("t")
	client, err := api.NewClient(cfg)
	if err != nil {
		t.Fatalf("create a client of Consul's library: %v", err)
	}
	entries, meta, err := client.Health().Service("db", "", false, nil)
	if err != nil || len(entries) != 3 || meta.LastIndex == 0 || !meta.KnownLeader || entries[1].Service.Meta["group"] != "0" || entries[1].Service.Port != 5432 {
		t.Fatalf("health query: %d entries, meta %+v, error %v; want 3 entries, the second of group 0 at port 5432, an index and a leader", len(entries), meta, err)
	}
	maintained := instance(2)
	maintained.Maintenance = true
	go s.catalog.Change("db", []consulserver.Instance{maintained})
	entries, next, err := client.Health().Service("db", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: testTimeout})
	if err != nil || next.LastIndex <= meta.LastIndex || entries[2].Checks.AggregatedStatus() != api.HealthMaint {
		t.Fatalf("blocking health query: meta %+v, error %v; want a higher index, and the third entry in maintenance", next, err)
	}
	nodes, _, err := client.Catalog().Service("db", "", nil)
	if err != nil || len(nodes) != 3 || nodes[0].ServicePort != 5432 {
		t.Fatalf("catalogue query: %d nodes, error %v; want 3, the first at port 5432", len(nodes), err)
	}
}
