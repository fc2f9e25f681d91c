package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/testkit/fake/database"
)

// TestPooledTakeover: a prepared statement is used again after its server was replaced. The client does not notice, and the new server
// prepares the statement exactly once on each connection.
func TestPooledTakeover(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	c := w.connect("")
	for i := range 10 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
	}
	before := w.fleet.Watched()
	if before.Preparations != 1 {
		t.Errorf("preparations of one statement over one connection: got %d, want 1", before.Preparations)
	}
	old := w.fleet.Primary(0)
	if err := w.fleet.Kill(old); err != nil {
		t.Fatalf("killing %s: %v", old, err)
	}
	waitUntil(t, "takeover", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	waitUntil(t, "the pooler follows", func() bool {
		if c.IsClosed() {
			t.Fatal("the client's connection was closed though it was idle")
		}
		return execSQLState(c, putKV, "ana", "new") == ""
	})
	for i := range 10 {
		w.exec(c, putKV, "ana", fmt.Sprint(i))
	}
	seen := w.fleet.Watched()
	if seen.Twice > 0 || seen.Preparations > seen.Sessions {
		t.Errorf("preparations: got %d over %d connections, %d of them twice, want at most one per connection", seen.Preparations, seen.Sessions, seen.Twice)
	}
	if v := w.value(c, getKV, "ana"); v != "9" {
		t.Errorf("value of ana is %q, want \"9\"", v)
	}
}

// breakConnectionAt closes the server connection, once, at the first statement for which at returns true.
func breakConnectionAt(f *database.Fleet, at func(sql string) bool) {
	var broke atomic.Bool
	f.Before(func(_, sql string) bool { return !at(sql) || !broke.CompareAndSwap(false, true) })
}

// TestPooledServerDies: the server's connection breaks at each point of a transaction. The client gets an error that says whether the
// transaction may have run, and nothing is run a second time.
func TestPooledServerDies(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	has := func(part string) func(string) bool {
		return func(sql string) bool { return strings.Contains(sql, part) }
	}
	for name, c := range map[string]struct {
		at   func(string) bool
		do   func(w *pooledFixture, c *pgx.Conn) error
		want string
	}{
		"a write by itself": {has("INSERT"), func(_ *pooledFixture, c *pgx.Conn) error {
			_, err := c.Exec(ctx, putKV, "k", "v")
			return err
		}, "08007"},
		"between BEGIN and COMMIT": {has("INSERT"), func(_ *pooledFixture, c *pgx.Conn) error {
			tx, err := c.Begin(ctx)
			if err == nil {
				_, err = tx.Exec(ctx, putKV, "k", "v")
			}
			return err
		}, "08006"},
		"during COMMIT": {has("commit"), func(_ *pooledFixture, c *pgx.Conn) error {
			tx, err := c.Begin(ctx)
			if err == nil {
				_, err = tx.Exec(ctx, putKV, "k", "v")
			}
			if err == nil {
				err = tx.Commit(ctx)
			}
			return err
		}, "08007"},
		"during COPY": {has("(copy data)"), func(_ *pooledFixture, c *pgx.Conn) error {
			_, err := c.PgConn().CopyFrom(ctx, strings.NewReader(strings.Repeat("k\tv\n", 1000)), "COPY kv (name, content) FROM STDIN")
			return err
		}, "08007"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
			conn := w.connect("")
			w.exec(conn, putKV, "warm", "x")
			breakConnectionAt(w.fleet, c.at)
			before := w.fleet.Watched().Statements
			if got := sqlState(c.do(w, conn)); got != c.want {
				t.Errorf("SQLSTATE that the client gets: got %q, want %q", got, c.want)
			}
			time.Sleep(30 * time.Millisecond) // time for a second attempt, which must not happen
			w.fleet.Before(nil)
			if n := w.fleet.Watched().Statements - before; n > 3 {
				t.Errorf("statements that ran: got %d, want at most 3", n)
			}
			again := w.connect("")
			if v, err := w.rows(again, getKV, "k"); err != nil || v != 0 {
				t.Errorf("rows of an uncommitted transaction: got %d, error %v, want none", v, err)
			}
		})
	}
}

// TestPooledDrain: a server drains while a transaction is open on it. The transaction may end within the grace period; after it nothing is
// sent to the server, and the client gets an error at once.
func TestPooledDrain(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 4)"), func(c *database.Config) { c.GraceMs = 3000 }) // long enough on a busy machine
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	committing, idle := w.connect(""), w.connect("")
	var txs []pgx.Tx
	for _, c := range []*pgx.Conn{committing, idle} {
		tx, err := c.Begin(ctx)
		if err != nil {
			t.Fatalf("BEGIN before the drain: %v", err)
		}
		if _, err := tx.Exec(ctx, putKV, "k", "v"); err != nil {
			t.Fatalf("write in a transaction before the drain: %v", err)
		}
		txs = append(txs, tx)
	}
	old := w.fleet.Primary(0)
	if err := w.fleet.Drain(old); err != nil {
		t.Fatalf("draining %s: %v", old, err)
	}
	waitUntil(t, "the list shows the drain", func() bool {
		for _, e := range w.fleet.List().Instances {
			if e.ID == old && e.Lifecycle == "draining" {
				return true
			}
		}
		return false
	})
	if err := txs[0].Commit(ctx); err != nil {
		t.Errorf("COMMIT within the grace period: %v", err)
	}
	var pe *pgconn.PgError
	if _, err := idle.PgConn().ReceiveMessage(ctx); !errors.As(err, &pe) || pe.Code != "57P01" { // without sending a statement
		t.Errorf("client in an open transaction after the grace period: got %v, want SQLSTATE 57P01", err)
	}
	waitUntil(t, "another server takes over", func() bool { return execSQLState(committing, putKV, "k", "new") == "" })
	if n := w.fleet.Watched().DuringDrain; n > 0 {
		t.Errorf("messages sent to a server after its grace period: got %d, want none", n)
	}
}

// TestPooledConnectionStorm: 2,000 clients connect at once to a pool of 20 while the group has no primary. None waits forever, queued
// clients are served in order, and the new primary is not dialled for all of them at once.
func TestPooledConnectionStorm(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 20) (dials 2) (wait 30s) (queue 5000)"))
	warm := w.connect("")
	w.exec(warm, putKV, "k", "v")
	old := w.fleet.Primary(0)
	_ = w.fleet.Kill(old)
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	const clients = 2000
	var wg sync.WaitGroup
	var served, refused, other atomic.Int64
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", w.addr))
			for try := 0; err == nil && try < 200; try++ {
				_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k%d', 'v')", n)).ReadAll()
				switch sqlState(err) {
				case "":
					served.Add(1)
					_ = c.Close(ctx)
					return
				case "53300", "08007", "57P01":
					refused.Add(1)
					if err = nil; c.IsClosed() {
						c, err = pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", w.addr))
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			other.Add(1)
			if err != nil {
				t.Errorf("client %d: got %v, want an answer or SQLSTATE 53300, 08007 or 57P01", n, err)
			}
		}()
	}
	wg.Wait()
	if served.Load() != clients {
		t.Errorf("served clients: got %d of %d, with %d refusals and %d not served", served.Load(), clients, refused.Load(), other.Load())
	}
	seen := w.fleet.Watched()
	if len(w.fleet.PushedOver()) > 0 || seen.MostOpen > 3*20 {
		t.Errorf("overloaded servers: got %v, want none; connections at once: got %d, want at most %d", w.fleet.PushedOver(), seen.MostOpen, 3*20)
	}
	t.Logf("%d served, %d refusals, %d connections begun", served.Load(), refused.Load(), seen.Sessions)
}

// TestPooledClientsServedAfterTakeover: connected clients that have run a statement write just as the primary dies. Each gets an answer,
// and all are served once another server has taken over.
func TestPooledClientsServedAfterTakeover(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 50) (dials 16) (wait 60s) (queue 100000)"), func(c *database.Config) {
		c.DetectionDelay, c.ElectionDelay, c.ColdMs = database.Range{400, 500}, database.Range{400, 500}, 1000
	})
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	const clients = 300
	var conns []*pgconn.PgConn
	for i := range clients {
		c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable&application_name=app%d", w.addr, i%7))
		if err != nil {
			t.Fatalf("connecting client %d: %v", i, err)
		}
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	write := func() {
		for i, c := range conns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					if _, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('t%d', 'v')", i)).ReadAll(); err == nil {
						return
					}
					if c.IsClosed() {
						c, _ = pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", w.addr))
						if c == nil {
							break
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				t.Errorf("the write of client %d was not served in time", i)
			}()
		}
		wg.Wait()
	}
	write()
	_ = w.fleet.Kill(w.fleet.Primary(0))
	write()
}
