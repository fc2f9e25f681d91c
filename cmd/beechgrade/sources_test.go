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

// sourcesWorld is a pooler that takes its list from stand-ins for Consul's agents.
type sourcesWorld struct {
	t       testing.TB
	p       *pooler
	addr    string
	hup     chan<- os.Signal
	catalog *consulserver.Catalog
	agent   *consulserver.Agent
}

// testLog is the log's end, or standard error where MEMBERS_LOG is set.
func testLog() *slog.Logger {
	if os.Getenv("MEMBERS_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.DiscardHandler)
}

// startSources starts one with more settings of (membership ...), and of (consul ...).
func startSources(t testing.TB, more, consulForms string, register func(c *consulserver.Catalog), change ...func(*config.Config)) *sourcesWorld {
	t.Helper()
	w := &sourcesWorld{t: t, catalog: consulserver.NewCatalog()}
	a, err := consulserver.Start(w.catalog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Stop)
	w.agent = a
	register(w.catalog)
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(membership %s (consul (agents %q) (services %q) (wait 1s) (map (role tag)) %s))`, more, a.Address, database.Service, consulForms)), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "", nil, append(change, func(c *config.Config) { c.InitialList = discovery.List{} })...)
	w.p = newPooler(cfg, testLog())
	w.p.openSources(set.Endpoints)
	first := *cfg
	w.p.load = func() (*config.Config, error) { return &first, nil }
	w.addr, w.hup, _, _ = launch(t, w.p)
	return w
}

// list is the list in short, as the loop has it.
func (w *sourcesWorld) list() string {
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

// until waits until the list is so.
func (w *sourcesWorld) until(want string) {
	w.t.Helper()
	got := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = w.list(); got == want {
			return
		}
	}
	w.t.Fatalf("the list is %q, want %q", got, want)
}

// at registers a scripted server.
func at(id, addr, tag string) consulserver.Instance {
	host, port, _ := net.SplitHostPort(addr)
	x := consulserver.Instance{ID: id, Node: "n-" + id, Address: host, Tags: []string{tag}, Meta: map[string]string{"group": "0"}}
	x.Port, _ = strconv.Atoi(port)
	return x
}

// pair is two scripted servers, registered, and what each is asked.
func pair(t testing.TB, more, consulForms string) (w *sourcesWorld, a, b <-chan asked) {
	addrA, a := server(t)
	addrB, b := server(t)
	w = startSources(t, more, consulForms, func(c *consulserver.Catalog) {
		c.Change(database.Service, []consulserver.Instance{at("a", addrA, "primary"), at("b", addrB, "replica")})
	})
	w.until("a serving, b serving")
	return w, a, b
}

// ask puts reads to the pooler one after the other, and counts who was asked.
func (w *sourcesWorld) ask(a, b <-chan asked, n int) (toA, toB int) {
	w.t.Helper()
	c := client(w.t, w.addr)
	for i := range n {
		c.send(query(fmt.Sprint("q", i), "read", 15000))
		for asked := false; !asked; {
			q, to := next2(w.t, a, b)
			if asked = q.sql != "(gone)"; asked { // else a connection that the pooler closed
				*[]*int{&toA, &toB}[to]++
				q.send(row("v"))
			}
		}
		c.want("TDCZ v")
	}
	return toA, toB
}

// next2 is what comes next to one of two servers, and to which.
func next2(t testing.TB, a, b <-chan asked) (q asked, to int) {
	t.Helper()
	select {
	case q = <-a:
	case q = <-b:
		to = 1
	case <-time.After(patience):
		t.Fatalf("nobody was asked in %v", patience)
	}
	return q, to
}

// TestMaintenance: once the pooler has been told that a server is in maintenance, of its service or its node, nothing more goes
// there, under load; and it does again once that is over and the other one is.
func TestMaintenance(t *testing.T) {
	t.Parallel()
	for _, node := range []bool{false, true} {
		w, a, b := pair(t, "", "")
		addr := map[string]string{"a": w.entry("a").Address, "b": w.entry("b").Address}
		maintain := func(id string, on bool) {
			x := at(id, addr[id], "replica")
			x.Maintenance, x.NodeDown = on && !node, on && node
			w.catalog.Change(database.Service, []consulserver.Instance{x})
		}
		for range 2 {
			w.ask(a, b, 10)
			maintain("b", true)
			w.until("a serving, b draining")
			if toA, toB := w.ask(a, b, 30); toA != 30 || toB != 0 {
				t.Errorf("%d reads went to a server in maintenance, %d to the other", toB, toA)
			}
			maintain("b", false)
			w.until("a serving, b serving")
			maintain("a", true)
			w.until("a draining, b serving")
			if toA, toB := w.ask(a, b, 30); toA != 0 || toB != 30 {
				t.Errorf("%d reads went to a server in maintenance, %d to the other", toA, toB)
			}
			maintain("a", false)
			w.until("a serving, b serving")
		}
	}
}

func (w *sourcesWorld) entry(id string) reconcile.Entry {
	got := make(chan reconcile.Entry, 1)
	w.p.loop.Post(func() {
		e, _ := w.p.sources.members.Entry(id)
		got <- e
	})
	return <-got
}

// held waits until so many removals are held back.
func (w *sourcesWorld) held(n int) {
	w.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		got := make(chan string, 1)
		w.p.loop.Post(func() { got <- w.p.sources.members.Summary() })
		switch sum := <-got; {
		case strings.HasSuffix(sum, fmt.Sprintf(" %d removals held back", n)):
			return
		case time.Now().After(end):
			w.t.Fatal(sum)
		}
	}
}

// TestDeregistered: everything deregistered at once, by mistake, takes nothing away; the operators' word on a reload does, and so
// do their pins.
func TestDeregistered(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "override.sexp")
	w, a, b := pair(t, fmt.Sprintf("(override %q)", file), "")
	was := []consulserver.Instance{at("a", w.entry("a").Address, "primary"), at("b", w.entry("b").Address, "replica")}
	w.catalog.Change(database.Service, nil, "a", "b")
	w.held(2)
	w.ask(a, b, 20)
	w.catalog.Change(database.Service, was)
	say := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.hup <- syscall.SIGHUP
	}
	say(`(pin "b" draining)`)
	w.until("a serving, b draining")
	say(`(pin "b" draning)`) // what cannot be read changes nothing
	say(``)
	w.until("a serving, b serving")
	w.catalog.Change(database.Service, nil, "a", "b")
	w.held(2)
	say(`(accept-removals)`)
	w.until("")
}

// TestTokenOnReload: a token that is denied keeps what is known, and one from a changed file is used after a reload.
func TestTokenOnReload(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("one\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w, a, b := pair(t, "", fmt.Sprintf("(token-file %q)", file))
	w.agent.RequireToken("two")
	e := w.entry("b")
	x := at("b", e.Address, "replica")
	x.Maintenance = true
	w.catalog.Change(database.Service, []consulserver.Instance{x})
	w.ask(a, b, 20)
	if err := os.WriteFile(file, []byte("two\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w.hup <- syscall.SIGHUP
	w.until("a serving, b draining")
}

// TestSavedList: a start without any source serves by the saved list, and by what the sources say once they are back; a torn or
// foreign file is a start without it.
func TestSavedList(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "members")
	w, a, b := pair(t, fmt.Sprintf("(snapshot %q)", file), "")
	w.ask(a, b, 2)
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if f, err := snapshot.Load(file); err == nil && f != nil && len(f.Entries) == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("it was not saved in %v", patience)
		}
	}
	b2, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		want string
	}{"whole": {string(b2), "a serving, b serving"}, "torn": {string(b2[:len(b2)-9]), ""}, "foreign": {"[]", ""}} {
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		n := startSources(t, fmt.Sprintf("(snapshot %q)", file), "", func(*consulserver.Catalog) {})
		n.agent.Stop()
		if got := n.list(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		if c.want != "" {
			n.ask(a, b, 4)
		}
	}
}

// TestStaticAndPlatform: a file in the platform's form and the platform's discovery are sources too; the first by rank wins.
func TestStaticAndPlatform(t *testing.T) {
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
		c.Change(database.Service, []consulserver.Instance{at("a", addrA, "primary")})
	})
	w.until("a serving, b serving")
	w.ask(a, b, 4)
	write("{")
	w.hup <- syscall.SIGHUP
	write(fmt.Sprintf(`{"instances":[{"instanceId":"b","hostPort":%q,"cell":0,"lifecycle":"draining","weight":1,"role":"replica"}]}`, addrB))
	w.hup <- syscall.SIGHUP
	w.until("a serving, b draining")
	if _, toB := w.ask(a, b, 10); toB != 0 {
		t.Errorf("%d reads of 10 to the server that drains", toB)
	}
}

// TestOldPrimaryInCatalogue: the catalogue names the old primary after a takeover, the old one still answers, and a check that
// passes is of a server that answers nothing. Writes go where the servers say, and none runs twice.
func TestOldPrimaryInCatalogue(t *testing.T) {
	t.Parallel()
	fc := database.Defaults(3)
	fc.DetectionDelay, fc.ElectionDelay, fc.ListDelay, fc.RoleDelay = database.Range{100, 150}, database.Range{100, 150}, database.Range{30, 60}, database.Range{1e6, 1e6}
	fc.ReportInterval, fc.Seed = database.Range{20, 40}, 3
	f := database.New(fc, clock.System(), slog.New(slog.DiscardHandler))
	w := startSources(t, "", "", func(c *consulserver.Catalog) {
		f.Register(c)
		if err := f.Start(); err != nil {
			t.Fatal(err)
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
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not so in %v: %s", patience, what)
			}
		}
	}
	until("a write is served", write)
	if err := f.Update(func(w *model.World) error { return w.Hang(first) }); err != nil {
		t.Fatal(err)
	}
	until("another took over", func() bool { p := f.Primary(0); return p != "" && p != first })
	if err := f.Update(func(w *model.World) error { return w.Unhang(first) }); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		until("a write is served after the takeover", write)
	}
	if e := w.entry(first); e.Primary {
		t.Errorf("the list has it as the primary: %+v", e)
	}
	if e := w.entry(f.Primary(0)); !e.Primary {
		t.Errorf("the list does not know the primary: %+v", e)
	}
	if diff := cmp.Diff([]string{}, f.RepeatedWrites(), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}
