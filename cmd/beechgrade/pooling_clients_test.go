package main

import (
	"context"
	"database/sql"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/fake/database"
)

// TestPooledCancel: cancel requests that arrive while connections change hands never cancel another client's query.
func TestPooledCancel(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"), func(c *database.Config) { c.CancelMs = 4 }) // cancel requests are delayed on their way
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	hit := w.connect("")
	failed := make(chan error, 1)
	go func() {
		_, err := hit.Exec(ctx, "SELECT pg_sleep(30) /* want application_name= */")
		failed <- err
	}()
	waitUntil(t, "the query runs", func() bool { return w.fleet.Watched().Statements > 0 })
	for try := 0; try < 200; try++ {
		_ = hit.PgConn().CancelRequest(ctx)
		select {
		case err := <-failed:
			if sqlState(err) != "57014" {
				t.Errorf("cancelled query: error is %v, want SQLSTATE 57014", err)
			}
			try = 1000
		case <-time.After(20 * time.Millisecond):
		}
	}
	// One client cancels queries that have ended, while other clients run queries on the same connections.
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
		go func() { // the cancel request is sent while the query runs, and arrives after it has ended
			time.Sleep(4 * time.Millisecond)
			_ = hit.PgConn().CancelRequest(ctx)
		}()
		if _, err := hit.Exec(ctx, "SELECT pg_sleep(0.007)"); err != nil && sqlState(err) != "57014" {
			t.Errorf("the cancelling client's own query: error is %v, want none or SQLSTATE 57014", err)
			break
		}
	}
	close(stop)
	for range 3 {
		if s := <-bad; s != "" {
			t.Errorf("while cancel requests arrive: %s", s)
		}
	}
}

// TestPooledSlowReader: a client asks for a large result and does not read it. The unread part stays with the server: the pooler buffers
// little, and other clients are served.
func TestPooledSlowReader(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	c := dial(t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, _ := c.message(); typ != 'Z'; typ, _ = c.message() {
	}
	const rows, size = 4000, 32 << 10 // 128 MB
	c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, %d)", size, rows)))
	last := -1
	waitUntil(t, "the server is blocked", func() bool {
		now := w.fleet.Streamed()
		still := now > 0 && now == last
		last = now
		time.Sleep(100 * time.Millisecond)
		return still
	})
	if last > 64<<20 {
		t.Errorf("bytes read from the server for a client that reads nothing: got %d, want at most %d", last, 64<<20)
	}
	other := w.connect("")
	w.exec(other, putKV, "k", "v")
	got := 0
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			t.Fatalf("the connection ended after %d of %d rows", got, rows)
		}
		if typ == 'D' && len(body) == size+6 {
			got++
		}
	}
	if got != rows {
		t.Errorf("rows that arrived: got %d, want %d", got, rows)
	}
}

func appendStartup(user, database string) []byte { return pgwire.AppendStartup(nil, user, database) }

// TestPooledClientLeavesInTransaction: a client disconnects within a transaction. Its work is rolled back before another client gets its
// server connection.
func TestPooledClientLeavesInTransaction(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 1)"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range 5 {
		c := w.connect("")
		tx, err := c.Begin(ctx)
		if err == nil {
			_, err = tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('gone', 'x')")
		}
		if err != nil {
			t.Fatalf("round %d: write in a transaction: %v", i, err)
		}
		_ = c.PgConn().Conn().Close()
		next := w.connect("")
		if n, err := w.rows(next, getKV, "gone"); n != 0 || err != nil {
			t.Errorf("round %d: rows of an abandoned transaction: got %d, error %v, want none", i, n, err)
		}
		w.exec(next, putKV, "there", "v")
	}
	if seen := w.fleet.Watched(); seen.MostOpen > 4 {
		t.Errorf("server connections open at once: got %d, want at most 4", seen.MostOpen)
	}
}

// TestPooledMalformedInput: malformed bytes in each state of a connection end it with an error, and none of them reach a server.
func TestPooledMalformedInput(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	started := appendStartup("tablet", "obra")
	begin := append(started[:len(started):len(started)], pgwire.AppendQuery(nil, "BEGIN")...)
	for name, b := range map[string][]byte{
		"before the startup":         {0, 0, 0, 1, 2, 3, 4, 5},
		"a huge startup":             {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"after the startup":          append(started[:len(started):len(started)], "GET / HTTP/1.1\r\n\r\n"...),
		"a length below the minimum": append(started[:len(started):len(started)], 'Q', 0, 0, 0, 2),
		"a length above the maximum": append(started[:len(started):len(started)], 'Q', 0x7f, 0, 0, 0),
		"an unterminated text":       append(started[:len(started):len(started)], 'Q', 0, 0, 0, 6, 'a', 'b'),
		"an unterminated Parse":      append(started[:len(started):len(started)], 'P', 0, 0, 0, 6, 'a', 'b'),
		"an unterminated Bind":       append(started[:len(started):len(started)], 'B', 0, 0, 0, 6, 'a', 'b'),
		"within a transaction":       append(begin[:len(begin):len(begin)], 'q', 0, 0, 0, 4),
		"Describe without a target":  append(begin[:len(begin):len(begin)], 'D', 0, 0, 0, 4),
	} {
		c := dial(t, w.addr)
		c.send(b)
		code := ""
		for typ, body := c.message(); typ != 0; typ, body = c.message() {
			if typ == 'E' {
				code = pgwire.ErrorCode(body)
			}
		}
		if code != "08P01" {
			t.Errorf("malformed input, %s: SQLSTATE at the end is %q, want 08P01", name, code)
		}
	}
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	if code := execSQLState(c, "SYNTAX"); code != "42601" {
		t.Errorf("syntax error: SQLSTATE is %q, want 42601", code)
	}
}

// TestPooledDriverFeatures uses a driver as programs do: batches, CopyFrom, read-only transactions, errors within a batch, contexts that
// end, and database/sql with several connections.
func TestPooledDriverFeatures(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := w.connect("")
	b := &pgx.Batch{}
	for i := range 10 {
		b.Queue(putKV, fmt.Sprint("b", i), "v")
		b.Queue(getKV, fmt.Sprint("b", i))
	}
	r := c.SendBatch(ctx, b)
	for i := range 10 {
		var v string
		if _, err := r.Exec(); err != nil {
			t.Fatalf("write %d of a batch: %v", i, err)
		}
		if err := r.QueryRow().Scan(&v); err != nil || v != "v" {
			t.Fatalf("read %d of a batch: got %q, error %v, want \"v\"", i, v, err)
		}
	}
	if err := r.Close(); err != nil {
		t.Errorf("end of the batch: %v", err)
	}
	b = &pgx.Batch{}
	b.Queue("INSERT INTO kv (name, content) VALUES ('undone', 'v')")
	b.Queue("NONSENSE")
	b.Queue("INSERT INTO kv (name, content) VALUES ('undone', 'v')")
	if err := c.SendBatch(ctx, b).Close(); sqlState(err) != "42601" {
		t.Errorf("error within a batch: got %v, want SQLSTATE 42601", err)
	}
	if n, err := w.rows(c, getKV, "undone"); n != 0 || err != nil {
		t.Errorf("rows of a batch that failed: got %d, error %v, want none", n, err)
	}
	if n, err := c.CopyFrom(ctx, pgx.Identifier{"kv"}, []string{"content"}, pgx.CopyFromRows([][]any{{"x"}, {"y"}})); err != nil || n == 0 {
		t.Errorf("CopyFrom: got %d rows, error %v, want at least 1", n, err)
	}
	tx, err := c.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		t.Fatalf("BEGIN of a read-only transaction: %v", err)
	}
	if _, err := tx.Exec(ctx, putKV, "k", "v"); sqlState(err) != "25006" {
		t.Errorf("write within a read-only transaction: error is %v, want SQLSTATE 25006", err)
	}
	if err := tx.Rollback(ctx); err != nil {
		t.Errorf("ROLLBACK of the read-only transaction: %v", err)
	}
	short, end := context.WithTimeout(ctx, 50*time.Millisecond)
	_, err = c.Exec(short, "SELECT pg_sleep(30)")
	end()
	if err == nil {
		t.Error("a query whose context has ended succeeded, want an error")
	}
	db, err := sql.Open("pgx", fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", w.addr))
	if err != nil {
		t.Fatalf("opening database/sql: %v", err)
	}
	defer func() { _ = db.Close() }()
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := db.Conn(ctx) // a session sees its own writes, but two statements of db may run in two sessions
			if err != nil {
				t.Errorf("connection %d of database/sql: %v", n, err)
				return
			}
			defer func() { _ = c.Close() }()
			for i := range 20 {
				key, v := fmt.Sprint("sql", n), ""
				if _, err := c.ExecContext(ctx, putKV, key, fmt.Sprint(i)); err != nil {
					t.Errorf("write %d of key %s over database/sql: %v", i, key, err)
					return
				}
				if err := c.QueryRowContext(ctx, getKV, key).Scan(&v); err != nil || v != fmt.Sprint(i) {
					t.Errorf("read of key %s over database/sql: got %q, error %v, want \"%d\"", key, v, err, i)
					return
				}
			}
		}()
	}
	wg.Wait()
	if seen := w.fleet.Watched(); seen.Twice > 0 || seen.MostOpen > 4 {
		t.Errorf("statements prepared twice: got %d, want none; connections at once: got %d, want at most 4", seen.Twice, seen.MostOpen)
	}
}
