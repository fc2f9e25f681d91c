package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

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
