package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/config"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/database"
)

// pooledFixture is a fleet of fake servers, and a pooler with the pooling frontend.
type pooledFixture struct {
	t     testing.TB
	fleet *database.Fleet
	pool  *pooler
	addr  string

	endRecords func()
}

// transactionPoolSettings are the settings of a pool in transaction mode.
const transactionPoolSettings = `(pooling (listen "127.0.0.1:0")
	(class "office" (needs primary) (aim 5s) (deadline 60s))
	(class "office-reads" (needs session) (aim 5s) (deadline 60s))
	(pool (class "office") (reads "office-reads") %s))`

// newPooledFixture starts the fleet and the pooler. change may alter the fleet's configuration.
func newPooledFixture(t testing.TB, poolForms string, change ...func(*database.Config)) *pooledFixture {
	t.Helper()
	fc := database.Defaults(3)
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
	set, err := settings.Parse("test", []byte(poolForms), os.Getenv)
	if err != nil {
		t.Fatalf("parsing the pool's settings: %v", err)
	}
	cfg := testConfig(t, "", nil, func(c *config.Config) {
		c.DiscoveryAddress, c.InitialList = f.Discovery(), f.List()
		c.Limits.Sockets = 8000
		c.Settings.MayCheckHealth, c.Settings.DrainGrace = true, clock.ToDuration(fc.GraceMs)
		c.Settings.SlowStartFrom, c.Settings.SlowStartTime = 0.15, time.Second
		c.Settings.SlowStartMultiple, c.Settings.SlowStartSpan = 2.5, 1500*time.Millisecond
		c.ConnectTimeoutMs = 2000
	})
	if err := set.Pooling.Check(cfg.Classes); err != nil {
		t.Fatalf("checking the pool's settings: %v", err)
	}
	set.Pooling.AddClasses(cfg)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	if os.Getenv("POOL_LOG") != "" {
		p.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	p.openPooling(set.Pooling)
	end := p.openRecorder(set.Record)
	launch(t, p)
	at := make(chan string, 1)
	p.loop.Post(func() { at <- p.poolingAddr })
	var once sync.Once
	return &pooledFixture{t, f, p, <-at, func() {
		once.Do(func() {
			done := make(chan struct{})
			p.loop.Post(func() { end(); close(done) })
			<-done
		})
	}}
}

// connect opens a connection with a real driver.
func (w *pooledFixture) connect(more string) *pgx.Conn {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable%s", w.addr, more))
	if err != nil {
		w.t.Fatalf("connecting a client: %v", err)
	}
	w.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// exec runs a statement that must succeed.
func (w *pooledFixture) exec(c *pgx.Conn, sql string, args ...any) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := c.Exec(ctx, sql, args...); err != nil {
		w.t.Fatalf("statement %q: %v", sql, err)
	}
}

// value reads one value.
func (w *pooledFixture) value(c *pgx.Conn, sql string, args ...any) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var v string
	if err := c.QueryRow(ctx, sql, args...).Scan(&v); err != nil {
		w.t.Fatalf("value of query %q: %v", sql, err)
	}
	return v
}

const (
	putKV = "INSERT INTO kv (name, content) VALUES ($1, $2)"
	getKV = "SELECT content FROM kv WHERE name = $1"
)

// waitUntil waits until a check holds.
func waitUntil(t testing.TB, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}

// execSQLState runs a statement and returns its SQLSTATE, which is empty if it succeeded.
func execSQLState(c *pgx.Conn, sql string, args ...any) string {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.Exec(ctx, sql, args...)
	return sqlState(err)
}

func sqlState(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pe):
		return pe.Code
	}
	return "broken: " + err.Error()
}

// rows counts a query's rows.
func (w *pooledFixture) rows(c *pgx.Conn, sql string, args ...any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
