package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/fake/sortedtable"
)

// scatterFixture is groups of fake servers with a scattered table, and a pooler.
type scatterFixture struct {
	t     testing.TB
	fleet *database.Fleet
	pool  *pooler
	addr  string
}

const scatterSettings = `(pooling (listen "127.0.0.1:0")
	(class "office" (needs primary) (aim 5s) (deadline 60s))
	(class "reports" (needs session) (aim 5s) (deadline 60s))
	(pool (class "office") (reads "reports") (connections 4)))
 (scatter (key %q)
	(read "visits" (class "reports") (shards ("north" 0) ("east" 1) ("south" 2) ("west" 3))
		(order ("place" int8 (desc)) ("name" text)) (own ("id" int8)) %s))`

// putVisits inserts n rows into each of four shards and returns them. There are few places and names, so that many rows have equal keys.
func putVisits(f *database.Fleet, n int) (all []sortedtable.Row) {
	f.Scatter(&database.Table{Name: "visits", Columns: sortedtable.Table{"id", "place", "name"}, Types: sortedtable.Row{int64(0), int64(0), ""}})
	for g := range 4 {
		for k := range n {
			r := sortedtable.Row{int64(g*100000 + k), int64(k % 5), []string{"ana", "bo", "Éva", ""}[k%4]}
			if k%7 == 0 {
				r[1] = nil
			}
			f.Put("visits", g, r, true)
			all = append(all, r)
		}
	}
	return all
}

func newScatterFixture(t testing.TB, more string, change ...func(*database.Config)) *scatterFixture {
	t.Helper()
	return newScatterFixtureWith(t, more, func(*config.Config) {}, change...)
}

// newScatterFixtureWith is newScatterFixture that may also alter the configuration of the decision module.
func newScatterFixtureWith(t testing.TB, more string, module func(*config.Config), change ...func(*database.Config)) *scatterFixture {
	t.Helper()
	fc := database.Defaults(3, 3, 3, 3)
	fc.DetectionDelay, fc.ElectionDelay, fc.ListDelay, fc.RoleDelay = database.Range{100, 150}, database.Range{100, 150}, database.Range{30, 60}, database.Range{100, 200}
	fc.ReportInterval, fc.MaxConnections = database.Range{20, 40}, 2000
	for _, f := range change {
		f(&fc)
	}
	f := database.New(fc, clock.System(), slog.New(slog.DiscardHandler))
	if err := f.Start(); err != nil {
		t.Fatalf("starting the fake servers: %v", err)
	}
	t.Cleanup(f.Close)
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("a key for cursors in tests\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := settings.Parse("test", fmt.Appendf(nil, scatterSettings, key, more), os.Getenv)
	if err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	cfg := testConfig(t, "", nil, func(c *config.Config) {
		c.DiscoveryAddress, c.InitialList = f.Discovery(), f.List()
		c.Limits.Sockets = 8000
		c.Settings.MayCheckHealth, c.Settings.DrainGrace = true, clock.ToDuration(fc.GraceMs)
		c.Settings.SlowStartFrom, c.Settings.SlowStartTime = 0.15, time.Second
		c.Settings.SlowStartMultiple, c.Settings.SlowStartSpan = 2.5, 1500*time.Millisecond
		c.ConnectTimeoutMs = 2000
	})
	if err := set.Scatter.Check(&set.Pooling, &set.Cluster); err != nil {
		t.Fatalf("checking the scatter settings: %v", err)
	}
	set.Pooling.AddClasses(cfg)
	module(cfg)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	if os.Getenv("POOL_LOG") != "" {
		p.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	if err := p.openScatter(set.Scatter, set.Cluster); err != nil {
		t.Fatalf("opening the scatter frontend: %v", err)
	}
	checks := invariant.New(func(b invariant.Breach) { t.Errorf("breach of an invariant: %v", b) })
	p.scatter.Check(checks)
	p.openPooling(set.Pooling)
	launch(t, p)
	at := make(chan string, 1)
	p.loop.Post(func() { at <- p.poolingAddr })
	return &scatterFixture{t, f, p, <-at}
}

// reader is a client that reads pages.
type reader struct {
	c       *pgx.Conn
	cursor  string
	missing string // the missing shards of the last page, from the warning
}

func (w *scatterFixture) reader() *reader {
	w.t.Helper()
	r := &reader{}
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://office@%s/obra?sslmode=disable", w.addr))
	if err != nil {
		w.t.Fatalf("parsing the client's URL: %v", err)
	}
	cfg.OnNotice = func(_ *pgconn.PgConn, n *pgconn.Notice) { r.missing = n.Message }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r.c, err = pgx.ConnectConfig(ctx, cfg); err != nil {
		w.t.Fatalf("connecting a client: %v", err)
	}
	w.t.Cleanup(func() { _ = r.c.Close(context.Background()) })
	return r
}

const visitsSQL = "SELECT id, place, name FROM visits WHERE true /*after*/ /*order*/ "

// readPage reads a page by a simple query, in text format.
func (r *reader) readPage(rows int, more string) (ids []int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r.missing = ""
	sql := visitsSQL + fmt.Sprintf("/* scatter=visits,page=%d,cursor=%s%s */", rows, r.cursor, more)
	res, err := r.c.PgConn().Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	for _, x := range res[0].Rows {
		var id int64
		_, _ = fmt.Sscan(string(x[0]), &id)
		ids = append(ids, id)
	}
	r.cursor = r.c.PgConn().ParameterStatus("scatter_cursor")
	return ids, nil
}

// readAll reads pages until the last one.
func (r *reader) readAll(t testing.TB, rows int) (ids []int64) {
	t.Helper()
	for {
		got, err := r.readPage(rows, "")
		if err != nil {
			t.Fatalf("reading pages of %d rows, after %d rows: %v", rows, len(ids), err)
		}
		if ids = append(ids, got...); r.cursor == "" {
			return ids
		}
	}
}

// sortedIDs returns the ids of the rows in the requested order; rows with equal keys are ordered by the name of their shard.
func sortedIDs(rows []sortedtable.Row) (ids []int64) {
	shard := []int{1, 0, 2, 3} // east, north, south, west, by group
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b sortedtable.Row) int {
		switch x, y := a[1], b[1]; {
		case x == nil && y == nil:
		case x == nil || y == nil:
			if x == nil {
				return -1
			}
			return 1
		default:
			if c := -sortedtable.Compare(x, y); c != 0 {
				return c
			}
		}
		if c := sortedtable.Compare(a[2], b[2]); c != 0 {
			return c
		}
		return int(int64(shard[a[0].(int64)/100000])*1e9+a[0].(int64)) - int(int64(shard[b[0].(int64)/100000])*1e9+b[0].(int64))
	})
	for _, r := range rows {
		ids = append(ids, r[0].(int64))
	}
	return ids
}

// TestScatterPages: pages of several sizes add up to the sorted list, by simple queries and in a driver's query modes with the cursor as a
// parameter.
func TestScatterPages(t *testing.T) {
	t.Parallel()
	w := newScatterFixture(t, "(whole)")
	want := sortedIDs(putVisits(w.fleet, 60))
	for _, n := range []int{7, 50, 240, 1000} {
		if diff := cmp.Diff(want, w.reader().readAll(t, n)); diff != "" {
			t.Fatalf("rows in pages of %d, -want +got:\n%s", n, diff)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
		r, got := w.reader(), []int64(nil)
		for {
			rows, err := r.c.Query(ctx, "SELECT id, place, name FROM visits WHERE $1::text IS NOT NULL /*after*/ /*order*/ /* scatter=visits,page=33,cursor=$1 */", []any{mode, r.cursor}...)
			if err != nil {
				t.Fatalf("query for a page, query mode %v: %v", mode, err)
			}
			ids, err := pgx.CollectRows(rows, func(row pgx.CollectableRow) (id int64, err error) {
				var place *int64
				var name string
				err = row.Scan(&id, &place, &name)
				return id, err
			})
			if err != nil {
				t.Fatalf("rows of a page, query mode %v: %v", mode, err)
			}
			got = append(got, ids...)
			if r.cursor = r.c.PgConn().ParameterStatus("scatter_cursor"); r.cursor == "" {
				break
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("rows of all pages, query mode %v, -want +got:\n%s", mode, diff)
		}
	}
	if n := w.onLoop(func() int { return w.pool.scatter.Running() }); n != 0 {
		t.Errorf("pages that run after the last one was read: got %d, want 0", n)
	}
}

func (w *scatterFixture) onLoop(do func() int) int {
	n := make(chan int, 1)
	w.pool.loop.Post(func() { n <- do() })
	return <-n
}

// TestScatterErrors: each fault gets one clear error with its SQLSTATE, and the connection stays usable.
func TestScatterErrors(t *testing.T) {
	t.Parallel()
	w := newScatterFixture(t, "(whole) (most-page 500) (at-once 1)")
	putVisits(w.fleet, 30)
	r := w.reader()
	if _, err := r.readPage(10, ""); err != nil {
		t.Fatalf("first page: %v", err)
	}
	good := r.cursor
	for name, c := range map[string]struct{ cursor, sql, code string }{
		"forged":            {"AQBxAAAAAAAA", "", "22023"},
		"cut":               {good[:len(good)-8], "", "22023"},
		"another statement": {good, "SELECT id, place, name FROM visits WHERE 1 = 1 /*after*/ /*order*/ /* scatter=visits,page=5,cursor=%s */", "22023"},
		"no such scatter":   {"", "SELECT id FROM visits WHERE true /*after*/ /*order*/ /* scatter=none%s */", "42704"},
		"too large a page":  {"", "SELECT id FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits,page=501%s */", "22023"},
		"no mark":           {"", "SELECT id FROM visits /*order*/ /* scatter=visits%s */", "42601"},
		"no such column":    {"", "SELECT id, place FROM other WHERE true /*after*/ /*order*/ /* scatter=visits%s */", "42804"},
		"a server's error":  {"", "SELECT SYNTAX ERROR FROM nothing WHERE true /*after*/ /*order*/ /* scatter=visits%s */", "58000"},
	} {
		w.fleet.Scatter(&database.Table{Name: "other", Columns: sortedtable.Table{"id", "place"}, Types: sortedtable.Row{int64(0), int64(0)}})
		sql := fmt.Sprintf(c.sql, c.cursor)
		if c.sql == "" {
			sql = visitsSQL + fmt.Sprintf("/* scatter=visits,page=10,cursor=%s */", c.cursor)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := r.c.PgConn().Exec(ctx, sql).ReadAll()
		cancel()
		if got := sqlState(err); got != c.code {
			t.Errorf("%s: SQLSTATE is %q, want %q; error: %v", name, got, c.code, err)
		}
	}
	r.cursor = good
	if _, err := r.readPage(10, ""); err != nil {
		t.Errorf("valid page after the errors: %v", err)
	}
	// A page beyond the number that may run at a time is rejected as a whole: no server is asked for it.
	w.fleet.OnStatement(func(string, string) database.ReadBehavior { return database.ReadBehavior{Each: 50 * time.Millisecond} })
	first := make(chan error, 1)
	other := w.reader()
	go func() { _, err := other.readPage(20, ""); first <- err }()
	waitUntil(t, "the first page runs", func() bool { _, running, _, _ := w.fleet.Reads(); return running == 4 })
	before, _, _, _ := w.fleet.Reads()
	r.cursor = ""
	if _, err := r.readPage(10, ""); sqlState(err) != "53300" {
		t.Errorf("second page while the first runs: error is %v, want SQLSTATE 53300", err)
	}
	if now, running, _, _ := w.fleet.Reads(); running != 4 || len(now) != len(before) {
		t.Errorf("after the rejected page %d statements run and %d were received, want 4 and %d", running, len(now), len(before))
	}
	if err := <-first; err != nil {
		t.Errorf("first page: %v", err)
	}
}

// TestScatterMisbehavingShards: one shard has a silent server, one is slowed by a factor of 100, and one sends rows without end. The page
// waits for the slow shard, is read from another server instead of the silent one, and the endless statement is cancelled, as seen by the
// servers.
func TestScatterMisbehavingShards(t *testing.T) {
	t.Parallel()
	w := newScatterFixture(t, "(whole) (silent 300ms)")
	want := sortedIDs(putVisits(w.fleet, 60))[:40]
	silent := ""
	w.fleet.OnStatement(func(server, _ string) database.ReadBehavior { // under the fleet's lock
		switch {
		case server[:4] == "s-0-" && (silent == "" || silent == server):
			silent = server
			return database.ReadBehavior{Silent: true}
		case server[:4] == "s-1-":
			return database.ReadBehavior{Each: 20 * time.Millisecond}
		case server[:4] == "s-2-":
			return database.ReadBehavior{Endless: true}
		}
		return database.ReadBehavior{}
	})
	r := w.reader()
	got, err := r.readPage(40, "")
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatalf("page of 40 rows: error %v, rows -want +got:\n%s", err, diff)
	}
	waitUntil(t, "no statement runs", func() bool { _, running, _, _ := w.fleet.Reads(); return running == 0 })
	reads, _, _, hits := w.fleet.Reads()
	if hits < 2 {
		t.Errorf("cancelled statements: got %d, want at least 2; statements: %+v", hits, reads)
	}
	for _, x := range reads {
		if x.Rows > 100000 { // what the sockets of both ends and the pooler may buffer; without flow control about 500,000 are sent in the 0.8 s of the slow shard
			t.Errorf("server %s sent %d rows for a page of 40, want at most 100,000", x.Server, x.Rows)
		}
	}
}

// TestScatterServerFailsEarly: in each group one server breaks its connection after its third row, within about 10 ms. The remaining rows are
// read from the position after that row, both for a class that the module never retries, as the classes of pools are, and for one that it
// retries.
func TestScatterServerFailsEarly(t *testing.T) {
	t.Parallel()
	for _, effect := range []decide.Idempotency{decide.NotIdempotent, decide.Idempotent} {
		w := newScatterFixtureWith(t, "(whole)", func(c *config.Config) {
			c.Settings.Classes[slices.Index(c.Classes, "reports")].Idempotency = effect
		})
		want := sortedIDs(putVisits(w.fleet, 60))
		bad, asked := map[string]string{}, map[string]int{}                  // by group
		w.fleet.OnStatement(func(server, sql string) database.ReadBehavior { // under the fleet's lock
			g := server[:4]
			if asked[g]++; asked[g] == 1 {
				bad[g] = server
			}
			if behind := strings.Contains(sql, " AND ("); behind != (asked[g] > 1) {
				t.Errorf("%v: statement of attempt %d at %s has a start position: %v, want one from the second attempt on: %s", effect, asked[g], server, behind, sql)
			}
			if bad[g] == server {
				return database.ReadBehavior{Each: 3 * time.Millisecond, DieAt: 4}
			}
			return database.ReadBehavior{}
		})
		got, err := w.reader().readPage(240, "")
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatalf("%v: page of 240 rows: error %v, rows -want +got:\n%s", effect, err, diff)
		}
		if len(asked) != 4 || asked["s-0-"] < 2 {
			t.Errorf("attempts by group: got %v, want 4 groups and a second attempt in s-0-", asked)
		}
	}
}

// TestScatterPartialPages: a whole group is silent. The page has the rows of the other groups and names the missing shard, and the cursor
// keeps that shard's position, so that its rows follow once it is back. If complete pages are required, the page fails in time.
func TestScatterPartialPages(t *testing.T) {
	t.Parallel()
	for _, setting := range []string{"(partial 1)", "(whole)"} {
		w := newScatterFixture(t, setting+" (silent 200ms) (again 1) (wait 3s)")
		want := sortedIDs(putVisits(w.fleet, 30))
		w.fleet.OnStatement(func(server, _ string) database.ReadBehavior {
			return database.ReadBehavior{Silent: strings.HasPrefix(server, "s-2-")}
		})
		r := w.reader()
		got, err := r.readPage(40, "")
		if setting == "(whole)" {
			if sqlState(err) != "58000" || !strings.Contains(err.Error(), `"south"`) {
				t.Errorf("page that must be complete, with a shard silent: error is %v, want SQLSTATE 58000 that names \"south\"", err)
			}
			continue
		}
		if err != nil || len(got) != 40 || !strings.HasSuffix(r.missing, ": south") {
			t.Fatalf("partial page: got %d rows, warning %q, error %v, want 40 rows and a warning that names south", len(got), r.missing, err)
		}
		w.fleet.OnStatement(nil)
		got = append(got, r.readAll(t, 40)...)
		slices.Sort(got)
		slices.Sort(want)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("rows of all pages after the shard is back: got %d, want %d, -want +got:\n%s", len(got), len(want), diff)
		}
	}
}

// TestScatterClientsLeaveOrCancel: clients that disconnect or cancel within a page leave no running statement and no page in memory.
func TestScatterClientsLeaveOrCancel(t *testing.T) {
	t.Parallel()
	w := newScatterFixture(t, "(whole)")
	putVisits(w.fleet, 60)
	w.fleet.OnStatement(func(string, string) database.ReadBehavior { return database.ReadBehavior{Each: 30 * time.Millisecond} })
	for i := range 6 {
		r := w.reader()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := r.c.PgConn().Exec(ctx, visitsSQL+"/* scatter=visits,page=200 */").ReadAll()
			done <- err
		}()
		waitUntil(t, "the page runs", func() bool { _, running, _, _ := w.fleet.Reads(); return running == 4 })
		if i%2 == 0 {
			cancel() // the driver closes the connection
		} else if err := r.c.PgConn().CancelRequest(context.Background()); err != nil {
			t.Fatalf("cancel request: %v", err)
		}
		err := <-done
		cancel()
		if i%2 == 1 && sqlState(err) != "57014" {
			t.Errorf("cancelled page: error is %v, want SQLSTATE 57014", err)
		}
		waitUntil(t, "no statement runs and no page is held", func() bool {
			_, running, _, _ := w.fleet.Reads()
			return running == 0 && w.onLoop(func() int { return w.pool.scatter.Running() + w.pool.scatter.HeldBytes() }) == 0
		})
	}
	if reads, _, _, hits := w.fleet.Reads(); hits < 20 {
		t.Errorf("cancelled statements: got %d of %d, want at least 20", hits, len(reads))
	}
}

// TestScatterSlowReader: a client that does not read makes the shards wait. The buffered bytes stay within their bound, and all rows arrive
// when the client reads on.
func TestScatterSlowReader(t *testing.T) {
	t.Parallel()
	w := newScatterFixture(t, "(whole) (memory 64k) (most-page 20000)")
	w.fleet.Scatter(&database.Table{Name: "visits", Columns: sortedtable.Table{"id", "place", "name"}, Types: sortedtable.Row{int64(0), int64(0), ""}})
	const n = 3000
	pad := strings.Repeat("x", 1000)
	for g := range 4 {
		for k := range n {
			w.fleet.Put("visits", g, sortedtable.Row{int64(g*100000 + k), int64(k), pad}, true)
		}
	}
	r := w.reader()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res := r.c.PgConn().Exec(ctx, visitsSQL+"/* scatter=visits,page=20000 */")
	if !res.NextResult() {
		t.Fatalf("the page has no result: %v", res.Close())
	}
	rows, rest, most := res.ResultReader(), 0, 0
	for rows.NextRow() {
		if rest++; rest == 100 {
			for range 30 {
				time.Sleep(10 * time.Millisecond)
				most = max(most, w.onLoop(w.pool.scatter.HeldBytes))
			}
		}
	}
	if _, err := rows.Close(); err != nil || rest != 4*n {
		t.Errorf("rows of the page: got %d, error %v, want %d", rest, err, 4*n)
	}
	bound := w.pool.scatter.MaxHeldBytes("visits")
	if most == 0 || most > bound {
		t.Errorf("buffered bytes: got %d, want 1 to %d", most, bound)
	}
	t.Logf("buffered %d of at most %d bytes of a page of 12 MB", most, bound)
}
