package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/model"
)

// sourcesFixture is a pooler that takes its endpoint list from a fake Consul agent.
type sourcesFixture struct {
	t       testing.TB
	p       *pooler
	addr    string
	hup     chan<- os.Signal
	catalog *consulserver.Catalog
	agent   *consulserver.Agent
}

// testLog returns a logger that discards everything, or writes to standard error if MEMBERS_LOG is set.
func testLog() *slog.Logger {
	if os.Getenv("MEMBERS_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.DiscardHandler)
}

// startSources starts a pooler with additional settings in (membership ...) and in (consul ...).
func startSources(t testing.TB, more, consulForms string, register func(c *consulserver.Catalog), change ...func(*config.Config)) *sourcesFixture {
	t.Helper()
	w := &sourcesFixture{t: t, catalog: consulserver.NewCatalog()}
	a, err := consulserver.Start(w.catalog)
	if err != nil {
		t.Fatalf("starting the Consul agent: %v", err)
	}
	t.Cleanup(a.Stop)
	w.agent = a
	register(w.catalog)
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(membership %s (consul (agents %q) (services %q) (wait 1s) (map (role tag)) %s))`, more, a.Address, database.Service, consulForms)), os.Getenv)
	if err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	cfg := testConfig(t, "", nil, append(change, func(c *config.Config) { c.InitialList = discovery.List{} })...)
	w.p = newPooler(cfg, testLog())
	w.p.openSources(set.Endpoints)
	first := *cfg
	w.p.load = func() (*config.Config, error) { return &first, nil }
	w.addr, w.hup, _, _ = launch(t, w.p)
	return w
}

// listStates returns the states of the servers in the pooler's list.
func (w *sourcesFixture) listStates() string {
	got := make(chan string, 1)
	w.p.loop.Post(func() {
		var parts []string
		for _, id := range []string{"a", "b", "c"} {
			if e, ok := w.p.sources.members.Entry(id); ok {
				parts = append(parts, id+" "+e.State.String())
			}
		}
		got <- strings.Join(parts, ", ")
	})
	return <-got
}

// waitForList waits until listStates is as wanted.
func (w *sourcesFixture) waitForList(want string) {
	w.t.Helper()
	got := ""
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = w.listStates(); got == want {
			return
		}
	}
	w.t.Fatalf("the list is %q, want %q", got, want)
}

// consulInstance returns the registration of a scripted server.
func consulInstance(id, addr, tag string) consulserver.Instance {
	host, port, _ := net.SplitHostPort(addr)
	x := consulserver.Instance{ID: id, Node: "n-" + id, Address: host, Tags: []string{tag}, Meta: map[string]string{"group": "0"}}
	x.Port, _ = strconv.Atoi(port)
	return x
}

// startTwoServers registers two scripted servers, and returns the queries of each.
func startTwoServers(t testing.TB, more, consulForms string) (w *sourcesFixture, a, b <-chan receivedQuery) {
	addrA, a := server(t)
	addrB, b := server(t)
	w = startSources(t, more, consulForms, func(c *consulserver.Catalog) {
		c.Change(database.Service, []consulserver.Instance{consulInstance("a", addrA, "primary"), consulInstance("b", addrB, "replica")})
	})
	w.waitForList("a serving, b serving")
	return w, a, b
}

// countReads sends n reads one after the other, and counts how many each server received.
func (w *sourcesFixture) countReads(a, b <-chan receivedQuery, n int) (toA, toB int) {
	w.t.Helper()
	c := client(w.t, w.addr)
	for i := range n {
		c.send(query(fmt.Sprint("q", i), "read", 15000))
		for asked := false; !asked; {
			q, to := nextOfTwo(w.t, a, b)
			if asked = q.sql != "(gone)"; asked { // otherwise the pooler closed a connection
				*[]*int{&toA, &toB}[to]++
				q.send(row("v"))
			}
		}
		c.want("TDCZ v")
	}
	return toA, toB
}

// nextOfTwo returns the next query of either of two servers, and the server's index.
func nextOfTwo(t testing.TB, a, b <-chan receivedQuery) (q receivedQuery, to int) {
	t.Helper()
	select {
	case q = <-a:
	case q = <-b:
		to = 1
	case <-time.After(testTimeout):
		t.Fatalf("neither server received a query within %v", testTimeout)
	}
	return q, to
}

// TestServerInMaintenanceGetsNoRequests: once the pooler has learnt that a server is in maintenance, by its service or its node, nothing
// more is sent there under load; requests go there again once its maintenance is over and the other server's begins.
func TestServerInMaintenanceGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, node := range []bool{false, true} {
		w, a, b := startTwoServers(t, "", "")
		addr := map[string]string{"a": w.entry("a").Address, "b": w.entry("b").Address}
		maintain := func(id string, on bool) {
			x := consulInstance(id, addr[id], "replica")
			x.Maintenance, x.NodeDown = on && !node, on && node
			w.catalog.Change(database.Service, []consulserver.Instance{x})
		}
		for range 2 {
			w.countReads(a, b, 10)
			maintain("b", true)
			w.waitForList("a serving, b draining")
			if toA, toB := w.countReads(a, b, 30); toA != 30 || toB != 0 {
				t.Errorf("reads while b is in maintenance (node: %v): got %d at a and %d at b, want 30 and 0", node, toA, toB)
			}
			maintain("b", false)
			w.waitForList("a serving, b serving")
			maintain("a", true)
			w.waitForList("a draining, b serving")
			if toA, toB := w.countReads(a, b, 30); toA != 0 || toB != 30 {
				t.Errorf("reads while a is in maintenance (node: %v): got %d at a and %d at b, want 0 and 30", node, toA, toB)
			}
			maintain("a", false)
			w.waitForList("a serving, b serving")
		}
	}
}

func (w *sourcesFixture) entry(id string) reconcile.Entry {
	got := make(chan reconcile.Entry, 1)
	w.p.loop.Post(func() {
		e, _ := w.p.sources.members.Entry(id)
		got <- e
	})
	return <-got
}

// waitForHeldRemovals waits until n removals are held back.
func (w *sourcesFixture) waitForHeldRemovals(n int) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		got := make(chan string, 1)
		w.p.loop.Post(func() { got <- w.p.sources.members.Summary() })
		switch sum := <-got; {
		case strings.HasSuffix(sum, fmt.Sprintf(" %d removals held back", n)):
			return
		case time.Now().After(end):
			w.t.Fatalf("list after %v: got %q, want %d removals held back", testTimeout, sum, n)
		}
	}
}

// TestMassDeregistrationIsHeldBack: deregistering all servers at once, by mistake, removes none of them. An operator's acceptance on a
// reload does, and an operator's pins take effect too.
func TestMassDeregistrationIsHeldBack(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "override.sexp")
	w, a, b := startTwoServers(t, fmt.Sprintf("(override %q)", file), "")
	registered := []consulserver.Instance{consulInstance("a", w.entry("a").Address, "primary"), consulInstance("b", w.entry("b").Address, "replica")}
	w.catalog.Change(database.Service, nil, "a", "b")
	w.waitForHeldRemovals(2)
	w.countReads(a, b, 20)
	w.catalog.Change(database.Service, registered)
	writeOverride := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.hup <- syscall.SIGHUP
	}
	writeOverride(`(pin "b" draining)`)
	w.waitForList("a serving, b draining")
	writeOverride(`(pin "b" draning)`) // an invalid file changes nothing
	writeOverride(``)
	w.waitForList("a serving, b serving")
	w.catalog.Change(database.Service, nil, "a", "b")
	w.waitForHeldRemovals(2)
	writeOverride(`(accept-removals)`)
	w.waitForList("")
}

// TestTokenOnReload: if a token is denied, the known list is kept; after a reload the token from the changed file is used.
func TestTokenOnReload(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("one\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w, a, b := startTwoServers(t, "", fmt.Sprintf("(token-file %q)", file))
	w.agent.RequireToken("two")
	e := w.entry("b")
	x := consulInstance("b", e.Address, "replica")
	x.Maintenance = true
	w.catalog.Change(database.Service, []consulserver.Instance{x})
	w.countReads(a, b, 20)
	if err := os.WriteFile(file, []byte("two\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w.hup <- syscall.SIGHUP
	w.waitForList("a serving, b draining")
}

// TestStartFromSavedList: a pooler that starts while no source answers serves by the saved list. A truncated or foreign file is ignored.
func TestStartFromSavedList(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "members")
	w, a, b := startTwoServers(t, fmt.Sprintf("(snapshot %q)", file), "")
	w.countReads(a, b, 2)
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if f, err := snapshot.Load(file); err == nil && f != nil && len(f.Entries) == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the list of 2 servers was not saved within %v", testTimeout)
		}
	}
	saved, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		want string
	}{"whole": {string(saved), "a serving, b serving"}, "torn": {string(saved[:len(saved)-9]), ""}, "foreign": {"[]", ""}} {
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		restarted := startSources(t, fmt.Sprintf("(snapshot %q)", file), "", func(*consulserver.Catalog) {})
		restarted.agent.Stop()
		if got := restarted.listStates(); got != c.want {
			t.Errorf("list after a start from a saved file, %s: got %q, want %q", name, got, c.want)
		}
		if c.want != "" {
			restarted.countReads(a, b, 4)
		}
	}
}

// TestStaticFileAndPlatformSources: a file in the platform's format and the platform's discovery service are sources too; the source with
// the highest rank wins.
func TestStaticFileAndPlatformSources(t *testing.T) {
	t.Parallel()
	addrA, a := server(t)
	addrB, b := server(t)
	file := filepath.Join(t.TempDir(), "list.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(`{"instances":[{"instanceId":"b","hostPort":%q,"cell":0,"lifecycle":"up","weight":1,"role":"replica"}]}`, addrB))
	w := startSources(t, fmt.Sprintf("(static %q) (platform) (rank static consul platform)", file), "", func(c *consulserver.Catalog) {
		c.Change(database.Service, []consulserver.Instance{consulInstance("a", addrA, "primary")})
	})
	w.waitForList("a serving, b serving")
	w.countReads(a, b, 4)
	write("{")
	w.hup <- syscall.SIGHUP
	write(fmt.Sprintf(`{"instances":[{"instanceId":"b","hostPort":%q,"cell":0,"lifecycle":"draining","weight":1,"role":"replica"}]}`, addrB))
	w.hup <- syscall.SIGHUP
	w.waitForList("a serving, b draining")
	if _, toB := w.countReads(a, b, 10); toB != 0 {
		t.Errorf("reads at the draining server: got %d of 10, want none", toB)
	}
}

// TestConsulCatalogNamesOldPrimary: after a takeover the catalogue still names the old primary, whose check passes although it hung
// during the takeover, and which answers again. Writes go to the primary that the servers report, and none runs twice.
func TestConsulCatalogNamesOldPrimary(t *testing.T) {
	t.Parallel()
	fc := database.Defaults(3)
	fc.DetectionDelay, fc.ElectionDelay, fc.ListDelay, fc.RoleDelay = database.Range{100, 150}, database.Range{100, 150}, database.Range{30, 60}, database.Range{1e6, 1e6}
	fc.ReportInterval, fc.Seed = database.Range{20, 40}, 3
	f := database.New(fc, clock.System(), slog.New(slog.DiscardHandler))
	w := startSources(t, "", "", func(c *consulserver.Catalog) {
		f.Register(c)
		if err := f.Start(); err != nil {
			t.Fatalf("starting the fake servers: %v", err)
		}
		t.Cleanup(f.Close)
	}, func(c *config.Config) {
		c.Settings.MayCheckHealth, c.Settings.DrainGrace = true, 250*time.Millisecond
		c.ConnectTimeoutMs = 500
		c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].Deadline = 300*time.Millisecond, time.Second
	})
	first, n := f.Primary(0), 0
	write := func() bool {
		n++
		c := client(t, w.addr)
		c.send(pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '\\x76') RETURNING content /* id=w%d,c=write,d=1000,cluster=0 */", n)))
		return strings.HasPrefix(c.answer(), "TDCZ")
	}
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("condition not met within %v: %s", testTimeout, what)
			}
		}
	}
	waitFor("a write is served", write)
	if err := f.Update(func(w *model.World) error { return w.Hang(first) }); err != nil {
		t.Fatalf("making %s hang: %v", first, err)
	}
	waitFor("another took over", func() bool { p := f.Primary(0); return p != "" && p != first })
	if err := f.Update(func(w *model.World) error { return w.Unhang(first) }); err != nil {
		t.Fatalf("making %s answer again: %v", first, err)
	}
	for range 5 {
		waitFor("a write is served after the takeover", write)
	}
	if e := w.entry(first); e.Primary {
		t.Errorf("the list still has the old primary %s as primary: %+v", first, e)
	}
	if e := w.entry(f.Primary(0)); !e.Primary {
		t.Errorf("the list does not have the new primary as primary: %+v", e)
	}
	if diff := cmp.Diff([]string{}, f.RepeatedWrites(), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("writes that ran twice, -want +got:\n%s", diff)
	}
}
