package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"

	"beechgrade/internal/testkit/fake/database"
)

// TestPooledDriver checks writes and reads of a real driver with its statement cache.
func TestPooledDriver(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"))
	c := w.connect("")
	for i := range 5 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
		if v := w.value(c, getKV, "ana"); v != fmt.Sprint(i) {
			t.Errorf("value of ana is %q, want \"%d\"", v, i)
		}
	}
	seen := w.fleet.Watched()
	if seen.Twice > 0 || seen.Preparations > 6 {
		t.Errorf("preparations: got %d, %d of them twice on one connection, want at most 6 and none twice", seen.Preparations, seen.Twice)
	}
}

// TestPooledReadYourWrites: replicas lag far behind, and the reads of each session still see its last write.
func TestPooledReadYourWrites(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 8)"), func(c *database.Config) { c.ApplyMs = 2 })
	_ = w.fleet.SlowReplication("s-0-1", 5)
	_ = w.fleet.SlowReplication("s-0-2", 2)
	var replicaReads atomic.Int64 // reads that were not served by the primary
	w.fleet.Before(func(server, sql string) bool {
		if strings.HasPrefix(sql, "SELECT") && server != "s-0-0" {
			replicaReads.Add(1)
		}
		return true
	})
	done := make(chan string, 4)
	for n := range 4 {
		c := w.connect("")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			for i := range 40 {
				key, want, got := fmt.Sprint("foreman", n), fmt.Sprint(i), ""
				if _, err := c.Exec(ctx, putKV, key, want); err != nil {
					done <- err.Error()
					return
				}
				for range 3 { // soon after the write, and later
					if err := c.QueryRow(ctx, getKV, key).Scan(&got); err != nil || got != want {
						done <- fmt.Sprintf("%s read %q, wrote %q: %v", key, got, want, err)
						return
					}
					time.Sleep(time.Duration(10+i) * time.Millisecond)
				}
			}
			done <- ""
		}()
	}
	for range 4 {
		if s := <-done; s != "" {
			t.Errorf("a session's own writes: %s", s)
		}
	}
	if replicaReads.Load() == 0 {
		t.Error("no read was served by a replica, so the test shows nothing")
	}
}

// TestPooledSessionSettings runs 100,000 statements of 200 clients, each with settings of its own, over six connections, some of which keep
// breaking. Each statement names the settings that it expects, and the fake servers check them.
func TestPooledSessionSettings(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 6) (queue 1000)"), func(c *database.Config) { c.Groups = []int{1} })
	const clients, each = 200, 500
	rng := rand.New(rand.NewPCG(11, 0))
	breaks := map[int]bool{}
	for range 60 {
		breaks[rng.IntN(clients*each)] = true
	}
	var ran atomic.Int64
	w.fleet.Before(func(string, string) bool { return !breaks[int(ran.Add(1))] })
	ctx, cancel := context.WithTimeout(context.Background(), 5*testTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var served, broken atomic.Int64
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(12, uint64(n)))
			var c *pgconn.PgConn
			app, path := "", ""
			for i := range each {
				if c == nil || c.IsClosed() {
					var err error
					app, path = fmt.Sprintf("app-%d", n), "public"
					if c, err = pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable&application_name=%s", w.addr, app)); err != nil {
						t.Errorf("client %d: connecting before statement %d: %v", n, i, err)
						return
					}
				}
				wants := fmt.Sprintf(" /* want application_name=%s *//* want search_path=%s */", app, path)
				sql, then := "SELECT 1"+wants, func() {}
				switch rng.IntN(10) {
				case 0:
					v := fmt.Sprintf("p%d_%d", n, i)
					sql, then = "SET search_path TO '"+v+"'", func() { path = v }
				case 1:
					v := fmt.Sprintf("app-%d-%d", n, i)
					sql, then = "SELECT set_config('application_name', '"+v+"', false)", func() { app = v }
				case 2:
					sql = "BEGIN; SET LOCAL search_path TO 'local'; SELECT 1 /* want search_path=local */; COMMIT"
				case 3:
					sql = "BEGIN; SET search_path TO 'gone'; ROLLBACK"
				case 4:
					sql, then = "RESET search_path", func() { path = "public" }
				case 5:
					sql = "BEGIN; SAVEPOINT a; SET search_path TO 'x'; ROLLBACK TO a; COMMIT"
				}
				if strings.Contains(sql, "local") { // the other statements of this text run with other settings
					sql = "BEGIN; SET LOCAL search_path TO 'local'; COMMIT"
				}
				if _, err := c.Exec(ctx, sql).ReadAll(); err != nil {
					broken.Add(1)
					if !c.IsClosed() && sqlState(err) != "08007" && sqlState(err) != "53300" {
						t.Errorf("statement %q: got %v, want success, a closed connection, or SQLSTATE 08007 or 53300", sql, err)
						return
					}
					_ = c.Close(ctx)
					continue
				}
				served.Add(1)
				then()
			}
			_ = c.Close(ctx)
		}()
	}
	wg.Wait()
	seen := w.fleet.Watched()
	for i, m := range seen.Mismatches {
		if i < 5 {
			t.Errorf("statement under other session settings than its own: %v", m)
		}
	}
	if served.Load() < clients*each*9/10 || broken.Load() == 0 || seen.MostOpen > 7 {
		t.Errorf("statements: got %d served and %d broken over %d connections at once, want at least %d, at least 1, and at most 7", served.Load(), broken.Load(), seen.MostOpen, clients*each*9/10)
	}
	t.Logf("%d texts served, %d broken; %d statements ran, %d connections begun, %d under other settings", served.Load(), broken.Load(), seen.Statements,
		seen.Sessions, len(seen.Mismatches))
}

// TestPooledSessionStatePinsConnection: a client with session state that cannot be transferred is pinned to its connection, or refused, as
// configured; DISCARD ALL unpins it.
func TestPooledSessionStatePinsConnection(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	show := w.connect("&dbname=beechgrade&default_query_exec_mode=simple_protocol")
	pinned := func() (n int) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r, err := show.Query(ctx, "SHOW CLIENTS")
		if err != nil {
			t.Fatalf("SHOW CLIENTS: %v", err)
		}
		defer r.Close()
		for r.Next() {
			var f [5]string
			if err := r.Scan(&f[0], &f[1], &f[2], &f[3], &f[4]); err != nil {
				t.Fatalf("row of SHOW CLIENTS: %v", err)
			}
			if f[4] != "" {
				n++
			}
		}
		return n
	}
	a, b := w.connect(""), w.connect("")
	w.exec(a, "CREATE TEMP TABLE t (x int)")
	w.exec(b, "SELECT pg_advisory_lock(1)")
	if n := pinned(); n != 2 {
		t.Errorf("pinned clients: got %d, want 2", n)
	}
	c := w.connect("")
	got := make(chan string, 1)
	go func() { got <- execSQLState(c, putKV, "k", "v") }()
	w.exec(a, "DISCARD ALL")
	if code := <-got; code != "" {
		t.Errorf("write of another client after DISCARD ALL: SQLSTATE is %q, want success", code)
	}
	if n := pinned(); n != 1 {
		t.Errorf("pinned clients after DISCARD ALL of one: got %d, want 1", n)
	}
	strict := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2) (pins refuse)"))
	d := strict.connect("")
	if code := execSQLState(d, "LISTEN x"); code != "0A000" {
		t.Errorf("LISTEN where pins are refused: SQLSTATE is %q, want 0A000", code)
	}
	strict.exec(d, putKV, "k", "v")
}

// TestPooledSessionMode: in session mode a client keeps its connection, and moves with its settings and prepared statements when its server
// drains.
func TestPooledSessionMode(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, strings.Replace(fmt.Sprintf(transactionPoolSettings, "(mode session) (connections 4)"), `(reads "office-reads")`, "", 1))
	c := w.connect("")
	w.exec(c, "SET search_path TO 'mine'")
	w.exec(c, putKV, "k", "1")
	if n := w.fleet.Watched().Sessions; n != 1 {
		t.Errorf("server connections of one session: got %d, want 1", n)
	}
	old := w.fleet.Primary(0)
	_ = w.fleet.Drain(old)
	waitUntil(t, "the session has moved", func() bool {
		return w.fleet.Primary(0) != old && execSQLState(c, putKV+" /* want search_path=mine */", "k", "2") == ""
	})
	seen := w.fleet.Watched()
	if len(seen.Mismatches) > 0 || seen.DuringDrain > 0 || seen.Twice > 0 {
		t.Errorf("servers saw %+v, want no mismatch of settings, no message during a drain and no statement prepared twice", seen)
	}
	if v := w.value(c, "SHOW search_path"); v != "mine" {
		t.Errorf("search_path is %q, want \"mine\"", v)
	}
}
