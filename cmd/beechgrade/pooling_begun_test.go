package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
)

// TestPooledTransactionRestartsAfterBegin: a transaction has run nothing but BEGIN when its server dies, drains, or hands over while the
// endpoint list does not report it. The pooler begins the transaction again on another server without the client noticing, and its write
// runs once.
func TestPooledTransactionRestartsAfterBegin(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	another := func(w *pooledFixture, old string) {
		waitUntil(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	}
	settle := func(w *pooledFixture) { // waits until the pooler has found the new primary
		c := w.connect("")
		waitUntil(t, "the pooler follows", func() bool { return execSQLState(c, putKV, "other", "v") == "" })
	}
	for name, disrupt := range map[string]func(w *pooledFixture, old string){
		"its server dies": func(w *pooledFixture, old string) {
			if err := w.fleet.Kill(old); err != nil {
				t.Fatalf("killing %s: %v", old, err)
			}
			another(w, old)
			settle(w)
		},
		"its server drains": func(w *pooledFixture, old string) {
			if err := w.fleet.Drain(old); err != nil {
				t.Fatalf("draining %s: %v", old, err)
			}
			another(w, old)
			settle(w)
			time.Sleep(time.Second) // until the grace period is over
		},
		"its server hands over and the list does not report it": func(w *pooledFixture, old string) {
			w.fleet.DelayList(60000)
			if err := w.fleet.Drain(old); err != nil {
				t.Fatalf("draining %s: %v", old, err)
			}
			another(w, old)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"))
			var ran atomic.Int64
			w.fleet.Before(func(server, sql string) bool {
				if strings.Contains(sql, "'mine'") && server == w.fleet.Primary(0) {
					ran.Add(1)
				}
				return true
			})
			c := w.connect("")
			w.exec(c, putKV, "k", "v")
			tx, err := c.Begin(ctx)
			if err != nil {
				t.Fatalf("BEGIN: %v", err)
			}
			disrupt(w, w.fleet.Primary(0))
			if _, err := tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('mine', 'x')"); err != nil {
				t.Fatalf("first statement of the transaction: %v", err)
			}
			if err := tx.Commit(ctx); err != nil {
				t.Fatalf("COMMIT: %v", err)
			}
			if v := w.value(c, getKV, "mine"); v != "x" || ran.Load() != 1 {
				t.Errorf("written value is %q and the write ran %d times, want \"x\" and once", v, ran.Load())
			}
			if late := w.fleet.Watched().DuringDrain; late > 0 {
				t.Errorf("messages sent to a draining server after its grace period: got %d, want none", late)
			}
		})
	}
}

// TestPooledPipelinedBeginRestarts: BEGIN and the first statement come in one pipeline, as some drivers send them, to a server that has
// handed over. Both are sent to the new primary, and the client gets one answer to each.
func TestPooledPipelinedBeginRestarts(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"))
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	old := w.fleet.Primary(0)
	w.fleet.DelayList(60000)
	if err := w.fleet.Drain(old); err != nil {
		t.Fatalf("draining %s: %v", old, err)
	}
	waitUntil(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	p := c.PgConn().StartPipeline(ctx)
	p.SendQueryParams("begin", nil, nil, nil, nil)
	p.SendQueryParams(putKV, [][]byte{[]byte("mine"), []byte("x")}, nil, nil, nil)
	p.SendQueryParams("commit", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatalf("sync of the pipeline: %v", err)
	}
	if err := p.Close(); err != nil {
		t.Fatalf("answers to the pipeline: %v", err)
	}
	if v := w.value(c, getKV, "mine"); v != "x" {
		t.Errorf("value written in the pipeline is %q, want \"x\"", v)
	}
}

// TestPooledTransactionNotRestarted: a transaction that has run more than BEGIN is not restarted, and a write in a READ ONLY transaction
// gets the error.
func TestPooledTransactionNotRestarted(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"))
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	w.exec(c, "BEGIN READ ONLY")
	if code := execSQLState(c, "INSERT INTO kv (name, content) VALUES ('k', 'x')"); code != "25006" {
		t.Errorf("write in a READ ONLY transaction: SQLSTATE is %q, want 25006", code)
	}
	w.exec(c, "ROLLBACK")
	w.exec(c, "BEGIN")
	w.exec(c, "INSERT INTO kv (name, content) VALUES ('k', 'y')")
	if err := w.fleet.Kill(w.fleet.Primary(0)); err != nil {
		t.Fatalf("killing the primary within the transaction: %v", err)
	}
	_, err := c.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('k', 'z')")
	if code := sqlState(err); code != "08006" && !strings.HasPrefix(code, "broken") {
		t.Errorf("statement after the server died within the transaction: got %q, want SQLSTATE 08006 or a broken connection", code)
	}
	if !c.IsClosed() {
		t.Error("the client connection of a lost transaction is still open")
	}
}

// TestPooledLargeMessages: a row and COPY data far larger than what the pooler buffers of one message pass through it in parts.
func TestPooledLargeMessages(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, strings.Replace(fmt.Sprintf(transactionPoolSettings, "(connections 2)"), "(pooling ", "(pooling (most-answer 64k) (most-message 64k) ", 1))
	c := dial(t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, _ := c.message(); typ != 'Z'; typ, _ = c.message() {
	}
	const size = 1 << 20
	c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, 40)", size)))
	got := 0
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			t.Fatalf("the connection ended after %d of 40 rows", got)
		}
		if typ == 'D' && len(body) == size+6 && strings.Count(string(body[6:]), "x") == size {
			got++
		}
	}
	if got != 40 {
		t.Errorf("rows that arrived complete: got %d, want 40", got)
	}
	c.send(pgwire.AppendQuery(nil, "COPY kv FROM STDIN"))
	for typ, _ := c.message(); typ != 'G'; typ, _ = c.message() {
	}
	data := append([]byte{'d', 0, 0, 0, 0}, strings.Repeat("k\tv\n", 1<<20)...)
	binary.BigEndian.PutUint32(data[1:], uint32(len(data)-1))
	go func() {
		c.send(data)
		c.send([]byte{'c', 0, 0, 0, 4})
	}()
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		switch {
		case typ == 0 || typ == 'E':
			t.Fatalf("the copy ended with message %q %q, want CommandComplete and ReadyForQuery", typ, body)
		case typ == 'C' && string(body) != fmt.Sprintf("COPY %d\x00", len(data)-5):
			t.Errorf("command tag of the copy is %q, want COPY %d", body, len(data)-5)
		}
	}
}

// TestPooledLargeRowCutOff: the server's connection ends within a row that arrives in parts. The pooler puts nothing into the rest of the
// row: the client's connection ends within it.
func TestPooledLargeRowCutOff(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	c := dial(t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, _ := c.message(); typ != 'Z'; typ, _ = c.message() {
	}
	const size = 1 << 20
	c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, 400)", size)))
	waitUntil(t, "rows are on their way", func() bool { return w.fleet.Streamed() > 0 })
	if err := w.fleet.Kill(w.fleet.Primary(0)); err != nil {
		t.Fatalf("killing the primary within the result: %v", err)
	}
	for typ, body := c.message(); typ != 0; typ, body = c.message() { // message returns type 0 for an incomplete message
		if typ == 'D' && strings.Count(string(body[6:]), "x") != size {
			t.Fatalf("a row of %d bytes contains bytes that are not of the row", size)
		}
		if typ == 'Z' {
			t.Fatal("a truncated result ended with ReadyForQuery")
		}
	}
}

// readAnswers reads messages up to the given number of ReadyForQuery, or to the end of the connection. It returns only what must be the
// same with and without the pooler.
func readAnswers(c *peer, ends int) (out []string) {
	for ends > 0 {
		typ, body := c.message()
		switch typ {
		case 0:
			return append(out, "end")
		case 'S', 'N', 'K', 'R':
		case 'E':
			out = append(out, "E "+pgwire.ErrorCode(body))
		case 'C', 'D':
			out = append(out, fmt.Sprintf("%c %q", typ, body))
		case 'Z':
			out = append(out, "Z "+string(body))
			ends--
		default:
			out = append(out, string(typ))
		}
	}
	return out
}

// TestPooledAnswersMatchServer: whatever a client sends, in whatever state, the pooler answers as the server itself does.
func TestPooledAnswersMatchServer(t *testing.T) {
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 4)"), func(c *database.Config) { c.Groups = []int{1} })
	direct := ""
	for _, e := range w.fleet.List().Instances {
		direct = e.HostPort
	}
	types := []byte{0, 0}
	bind := func(portal, name string) []byte {
		return pgwire.AppendBind(nil, portal, name, []byte{0, 0, 0, 0, 0, 0})
	}
	one := func(typ byte, body string) []byte {
		b := append([]byte{typ, 0, 0, 0, 0}, body...)
		binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
		return b
	}
	sqls := []string{"BEGIN", "COMMIT", "ROLLBACK", "SELECT 1", "SHOW work_mem", "SET work_mem TO '5MB'", "SET LOCAL work_mem TO '6MB'", "SAVEPOINT a", "ROLLBACK TO a",
		"RESET work_mem", "SELECT content FROM kv WHERE name = 'k'", "SYNTAX ERROR", "", "BEGIN READ ONLY", "COPY kv TO STDOUT"}
	names := []string{"", "s1", "s2"}
	deterministic.Check(t, func(t *rapid.T) {
		var sent []byte
		var descriptions []string
		ends := 0
		add := func(what string, b []byte) {
			sent, descriptions = append(sent, b...), append(descriptions, what)
		}
		for range rapid.IntRange(1, 14).Draw(t, "messages") {
			sql, name := rapid.SampledFrom(sqls).Draw(t, "sql"), rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2:
				add("Q "+sql, pgwire.AppendQuery(nil, sql))
				ends++
			case 3, 4:
				add("P "+name+" "+sql, pgwire.AppendParse(nil, name, sql, types))
			case 5:
				add("B "+name, bind("", name))
			case 6:
				add("DS "+name, one('D', "S"+name+"\x00"))
			case 7:
				add("E", one('E', "\x00\x00\x00\x00\x00"))
			case 8:
				add("CS "+name, one('C', "S"+name+"\x00"))
			default:
				add("S", one('S', ""))
				ends++
			}
		}
		add("S", one('S', ""))
		add("X", one('X', ""))
		ends += 2 // more than there are, so that both connections are read to their end
		var got [2][]string
		for i, addr := range []string{direct, w.addr} {
			c := dial(w.t, addr)
			c.send(appendStartup("tablet", "obra"))
			readAnswers(c, 1)
			c.send(sent)
			got[i] = readAnswers(c, ends)
			_ = c.Close()
		}
		if diff := cmp.Diff(got[0], got[1]); diff != "" {
			t.Fatalf("answers to the messages %q, -direct +pooled:\n%s", descriptions, diff)
		}
	})
}

// TestPooledTakeoverRecords: the records of a takeover contain the sessions, the connections that changed hands, and the transaction that
// was begun again.
func TestPooledTakeoverRecords(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)")+fmt.Sprintf("(record (on) (dir %q))", dir))
	a, b := w.connect("&application_name=a"), w.connect("&application_name=b")
	for range 3 {
		w.exec(a, putKV, "k", "v")
		w.exec(b, putKV, "k", "v")
	}
	w.exec(a, "BEGIN")
	old := w.fleet.Primary(0)
	if err := w.fleet.Kill(old); err != nil {
		t.Fatalf("killing %s: %v", old, err)
	}
	waitUntil(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	waitUntil(t, "the pooler follows", func() bool { return execSQLState(b, putKV, "k", "v") == "" })
	w.exec(a, "INSERT INTO kv (name, content) VALUES ('k', 'w')")
	w.exec(a, "COMMIT")
	_ = a.Close(context.Background())
	waitUntil(t, "the client has gone", func() bool {
		n := make(chan int, 1)
		w.pool.loop.Post(func() { n <- w.pool.pooling.Sessions() })
		return <-n == 1
	})
	w.endRecords()
	set, err := records.Open(false, dir)
	if err != nil {
		t.Fatalf("opening the records: %v", err)
	}
	m := incident.New()
	if err := set.Read(m); err != nil {
		t.Fatalf("reading the records: %v", err)
	}
	m.Finish()
	v := m.View()
	if len(v.Pools) != 1 {
		t.Fatalf("pools in the records: got %d, want 1", len(v.Pools))
	}
	p := v.Pools[0]
	if p.Name != "obra/tablet" || p.Sessions != 2 || p.Ended != 1 || p.Again != 1 || p.Hands < 8 || p.Changed == 0 || p.Moved < 2 || p.Carried < 2 || p.MostClients != 2 {
		t.Errorf("pool in the records is %+v, want obra/tablet with 2 sessions and clients, 1 ended, 1 transaction begun again, and moved connections", p)
	}
}
