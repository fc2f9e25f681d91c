package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/clock"
	"beechgrade/internal/config"
	"beechgrade/internal/kit/fleet"
	"beechgrade/internal/operate"
)

// pooledWorld is a fleet of stand-ins and a pooler before it, with the second front.
type pooledWorld struct {
	t     *testing.T
	fleet *fleet.Fleet
	pool  *pooler
	addr  string
}

// usual are settings of a pool by transaction.
const usual = `(pooling (listen "127.0.0.1:0")
	(class "office" (needs primary) (aim 5s) (deadline 60s))
	(class "office-reads" (needs session) (aim 5s) (deadline 60s))
	(pool (class "office") (reads "office-reads") %s))`

// pooled starts both. change may change the fleet.
func pooled(t *testing.T, settings string, change ...func(*fleet.Config)) *pooledWorld {
	t.Helper()
	fc := fleet.Defaults(3)
	fc.Detect, fc.Elect, fc.List, fc.Roles = fleet.Range{100, 150}, fleet.Range{100, 150}, fleet.Range{30, 60}, fleet.Range{100, 200}
	fc.Report, fc.Conns = fleet.Range{20, 40}, 2000
	for _, f := range change {
		f(&fc)
	}
	f := fleet.New(fc, clock.System(), slog.New(slog.DiscardHandler))
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	set, err := operate.Parse("test", []byte(settings), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "", nil, func(c *config.Config) {
		c.Discovery, c.Known = f.Discovery(), f.List()
		c.Limits.Sockets = 8000
		c.Settings.MayProbe, c.Settings.DrainGrace, c.Settings.ColdFrom, c.Settings.ColdTime = true, 250*time.Millisecond, 0.15, time.Second
		c.Settings.FallMultiple, c.Settings.FallSpan = 2.5, 1500*time.Millisecond
		c.ConnectTimeoutMs = 2000
	})
	if err := set.Pooling.Check(cfg.Classes); err != nil {
		t.Fatal(err)
	}
	set.Pooling.AddClasses(cfg)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	if os.Getenv("POOL_LOG") != "" {
		p.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	p.usePooling(set.Pooling)
	launch(t, p)
	at := make(chan string, 1)
	p.loop.Post(func() { at <- p.pooledAddr })
	return &pooledWorld{t, f, p, <-at}
}

// connect opens a connection with a real driver.
func (w *pooledWorld) connect(more string) *pgx.Conn {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable%s", w.addr, more))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// exec runs a statement that must go well.
func (w *pooledWorld) exec(c *pgx.Conn, sql string, args ...any) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := c.Exec(ctx, sql, args...); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
}

// value reads one value.
func (w *pooledWorld) value(c *pgx.Conn, sql string, args ...any) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var v string
	if err := c.QueryRow(ctx, sql, args...).Scan(&v); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
	return v
}

const (
	putKV = "INSERT INTO kv (name, content) VALUES ($1, $2)"
	getKV = "SELECT content FROM kv WHERE name = $1"
)

// TestPooledDriver serves a real driver: its statement cache, simple queries, transactions, errors, batches and COPY.
func TestPooledDriver(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 3)"))
	c := w.connect("")
	for i := range 5 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
		if v := w.value(c, getKV, "ana"); v != fmt.Sprint(i) {
			t.Errorf("read %q, wrote %d", v, i)
		}
	}
	seen := w.fleet.Watched()
	if seen.Twice > 0 || seen.Preparations > 6 {
		t.Errorf("prepared %d times, %d of them twice on one connection", seen.Preparations, seen.Twice)
	}
}

// within waits until a check holds.
func within(t *testing.T, what string, check func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// try runs a statement and returns its SQLSTATE, empty where it went well.
func try(c *pgx.Conn, sql string, args ...any) string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := c.Exec(ctx, sql, args...)
	return state(err)
}

func state(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pe):
		return pe.Code
	}
	return "broken: " + err.Error()
}

// TestPooledTakeover: a prepared statement is used again after its server was replaced. The client sees nothing of it,
// and the new server is asked to prepare it exactly once on each connection.
func TestPooledTakeover(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 2)"))
	c := w.connect("")
	for i := range 10 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
	}
	before := w.fleet.Watched()
	if before.Preparations != 1 {
		t.Errorf("one statement over one connection was prepared %d times", before.Preparations)
	}
	old := w.fleet.Primary(0)
	if err := w.fleet.Kill(old); err != nil {
		t.Fatal(err)
	}
	within(t, "takeover", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	within(t, "the pooler follows", func() bool {
		if c.IsClosed() {
			t.Fatal("the client's connection was closed though it was idle")
		}
		return try(c, putKV, "ana", "new") == ""
	})
	for i := range 10 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
	}
	seen := w.fleet.Watched()
	if seen.Twice > 0 || seen.Preparations > seen.Sessions {
		t.Errorf("%d preparations over %d connections, %d of them twice", seen.Preparations, seen.Sessions, seen.Twice)
	}
	if v := w.value(c, getKV, "ana"); v != "9" {
		t.Errorf("read %q", v)
	}
}

// TestPooledOwnWrites: replicas are far behind, and each session's reads see its last write all the same.
func TestPooledOwnWrites(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 8)"), func(c *fleet.Config) { c.Apply = 20 })
	_ = w.fleet.Lag("s-0-1", 10)
	_ = w.fleet.Lag("s-0-2", 3)
	done := make(chan string, 4)
	for n := range 4 {
		c := w.connect("")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for i := range 40 {
				key, want, got := fmt.Sprint("foreman", n), fmt.Sprint(i), ""
				if _, err := c.Exec(ctx, putKV, key, want); err != nil {
					done <- err.Error()
					return
				}
				if err := c.QueryRow(ctx, getKV, key).Scan(&got); err != nil || got != want {
					done <- fmt.Sprintf("%s read %q, wrote %q: %v", key, got, want, err)
					return
				}
			}
			done <- ""
		}()
	}
	for range 4 {
		if s := <-done; s != "" {
			t.Error(s)
		}
	}
}

// breakAt has the connection break at the statement that a check picks, once.
func breakAt(f *fleet.Fleet, at func(sql string) bool) {
	var broke atomic.Bool
	f.Before(func(_, sql string) bool { return !at(sql) || !broke.CompareAndSwap(false, true) })
}

// TestPooledServerDies: the server's connection breaks at each point of a transaction. The client hears what may have
// become of it, and nothing is done a second time.
func TestPooledServerDies(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()
	has := func(part string) func(string) bool {
		return func(sql string) bool { return strings.Contains(sql, part) }
	}
	for name, c := range map[string]struct {
		at   func(string) bool
		do   func(w *pooledWorld, c *pgx.Conn) error
		want string
	}{
		"a write by itself": {has("INSERT"), func(_ *pooledWorld, c *pgx.Conn) error {
			_, err := c.Exec(ctx, putKV, "k", "v")
			return err
		}, "08007"},
		"between BEGIN and COMMIT": {has("INSERT"), func(_ *pooledWorld, c *pgx.Conn) error {
			tx, err := c.Begin(ctx)
			if err == nil {
				_, err = tx.Exec(ctx, putKV, "k", "v")
			}
			return err
		}, "08006"},
		"during COMMIT": {has("commit"), func(_ *pooledWorld, c *pgx.Conn) error {
			tx, err := c.Begin(ctx)
			if err == nil {
				_, err = tx.Exec(ctx, putKV, "k", "v")
			}
			if err == nil {
				err = tx.Commit(ctx)
			}
			return err
		}, "08007"},
		"during COPY": {has("(copy data)"), func(_ *pooledWorld, c *pgx.Conn) error {
			_, err := c.PgConn().CopyFrom(ctx, strings.NewReader(strings.Repeat("k\tv\n", 1000)), "COPY kv (name, content) FROM STDIN")
			return err
		}, "08007"},
	} {
		t.Run(name, func(t *testing.T) {
			w := pooled(t, fmt.Sprintf(usual, "(connections 2)"))
			conn := w.connect("")
			w.exec(conn, putKV, "warm", "x")
			breakAt(w.fleet, c.at)
			before := w.fleet.Watched().Statements
			if got := state(c.do(w, conn)); got != c.want {
				t.Errorf("the client hears %q, want %s", got, c.want)
			}
			time.Sleep(30 * time.Millisecond) // for a second try that must not be
			w.fleet.Before(nil)
			if n := w.fleet.Watched().Statements - before; n > 3 {
				t.Errorf("%d statements ran", n)
			}
			again := w.connect("")
			if v, err := w.rows(again, getKV, "k"); err != nil || v != 0 {
				t.Errorf("%d rows of what was not committed: %v", v, err)
			}
		})
	}
}

// rows counts a query's rows.
func (w *pooledWorld) rows(c *pgx.Conn, sql string, args ...any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := c.Query(ctx, sql, args...)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	n := 0
	for r.Next() {
		n++
	}
	return n, r.Err()
}

// TestPooledDrain: a server drains while a transaction is open on it. The transaction may end within the grace; behind
// it nothing more is sent there, and the client hears at once.
func TestPooledDrain(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 4)"))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	quick, slow := w.connect(""), w.connect("")
	var txs []pgx.Tx
	for _, c := range []*pgx.Conn{quick, slow} {
		tx, err := c.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, putKV, "k", "v"); err != nil {
			t.Fatal(err)
		}
		txs = append(txs, tx)
	}
	old := w.fleet.Primary(0)
	if err := w.fleet.Drain(old); err != nil {
		t.Fatal(err)
	}
	within(t, "discovery tells of the drain", func() bool {
		for _, e := range w.fleet.List().Instances {
			if e.ID == old && e.Lifecycle == "draining" {
				return true
			}
		}
		return false
	})
	if err := txs[0].Commit(ctx); err != nil {
		t.Errorf("within the grace: %v", err)
	}
	var pe *pgconn.PgError
	if _, err := slow.PgConn().ReceiveMessage(ctx); !errors.As(err, &pe) || pe.Code != "57P01" { // without asking
		t.Errorf("behind the grace the client hears %v", err)
	}
	within(t, "another server takes over", func() bool { return try(quick, putKV, "k", "new") == "" })
	if n := w.fleet.Watched().DuringDrain; n > 0 {
		t.Errorf("%d messages were sent to a server behind the grace", n)
	}
}

// TestPooledCancel: cancels that come as connections change hands never hit another client's query.
func TestPooledCancel(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 2)"))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	hit := w.connect("")
	failed := make(chan error, 1)
	go func() {
		_, err := hit.Exec(ctx, "SELECT pg_sleep(30) /* want application_name= */")
		failed <- err
	}()
	within(t, "it runs", func() bool { return w.fleet.Watched().Statements > 0 })
	for try := 0; try < 200; try++ {
		_ = hit.PgConn().CancelRequest(ctx)
		select {
		case err := <-failed:
			if state(err) != "57014" {
				t.Errorf("cancelled: %v", err)
			}
			try = 1000
		case <-time.After(20 * time.Millisecond):
		}
	}
	// One client cancels queries that are over while others run theirs on the same connections.
	stop := make(chan struct{})
	bad := make(chan string, 8)
	for n := range 3 {
		c := w.connect("")
		go func() {
			for {
				select {
				case <-stop:
					bad <- ""
					return
				default:
				}
				if _, err := c.Exec(ctx, fmt.Sprintf("SELECT pg_sleep(0.00%d)", 1+n)); err != nil {
					bad <- fmt.Sprintf("another client's query: %v", err)
					return
				}
			}
		}()
	}
	for range 150 {
		go func() { _ = hit.PgConn().CancelRequest(ctx) }()
		if _, err := hit.Exec(ctx, "SELECT pg_sleep(0.001)"); err != nil && state(err) != "57014" {
			t.Errorf("the canceller's own query: %v", err)
			break
		}
	}
	close(stop)
	for range 3 {
		if s := <-bad; s != "" {
			t.Error(s)
		}
	}
}
