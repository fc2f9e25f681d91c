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

// TestPooledBegun: a transaction has only begun when its server dies, is drained, or hands over without the pooler's
// hearing of it. It begins again elsewhere, and its client hears nothing of that; its write runs once.
func TestPooledBegun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()
	another := func(w *pooledWorld, old string) {
		within(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	}
	settle := func(w *pooledWorld) { // until the pooler has found the new primary
		c := w.connect("")
		within(t, "the pooler follows", func() bool { return try(c, putKV, "other", "v") == "" })
	}
	for name, trouble := range map[string]func(w *pooledWorld, old string){
		"its server dies": func(w *pooledWorld, old string) {
			if err := w.fleet.Kill(old); err != nil {
				t.Fatal(err)
			}
			another(w, old)
			settle(w)
		},
		"its server drains": func(w *pooledWorld, old string) {
			if err := w.fleet.Drain(old); err != nil {
				t.Fatal(err)
			}
			another(w, old)
			settle(w)
			time.Sleep(time.Second) // the grace is over
		},
		"its server hands over and the list says nothing": func(w *pooledWorld, old string) {
			w.fleet.DelayList(60000)
			if err := w.fleet.Drain(old); err != nil {
				t.Fatal(err)
			}
			another(w, old)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := pooled(t, fmt.Sprintf(usual, "(connections 3)"))
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
				t.Fatal(err)
			}
			trouble(w, w.fleet.Primary(0))
			if _, err := tx.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('mine', 'x')"); err != nil {
				t.Fatalf("the transaction's first statement: %v", err)
			}
			if err := tx.Commit(ctx); err != nil {
				t.Fatalf("commit: %v", err)
			}
			if v := w.value(c, getKV, "mine"); v != "x" || ran.Load() != 1 {
				t.Errorf("read %q; the write ran %d times", v, ran.Load())
			}
			if late := w.fleet.Watched().DuringDrain; late > 0 {
				t.Errorf("%d messages to a server that drains, behind the grace", late)
			}
		})
	}
}

// TestPooledBegunPipeline: BEGIN and the first statement come in one pipeline, as some drivers send them, at a server that
// has handed over. Both are asked of the new primary, and the client has one answer to each.
func TestPooledBegunPipeline(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()
	w := pooled(t, fmt.Sprintf(usual, "(connections 3)"))
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	old := w.fleet.Primary(0)
	w.fleet.DelayList(60000)
	if err := w.fleet.Drain(old); err != nil {
		t.Fatal(err)
	}
	within(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	p := c.PgConn().StartPipeline(ctx)
	p.SendQueryParams("begin", nil, nil, nil, nil)
	p.SendQueryParams(putKV, [][]byte{[]byte("mine"), []byte("x")}, nil, nil, nil)
	p.SendQueryParams("commit", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := p.Close(); err != nil {
		t.Fatalf("the pipeline: %v", err)
	}
	if v := w.value(c, getKV, "mine"); v != "x" {
		t.Errorf("read %q", v)
	}
}

// TestPooledBegunNot: what has done more than begin does not begin again, and what was declared READ ONLY hears of its
// write.
func TestPooledBegunNot(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()
	w := pooled(t, fmt.Sprintf(usual, "(connections 3)"))
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	w.exec(c, "BEGIN READ ONLY")
	if code := try(c, "INSERT INTO kv (name, content) VALUES ('k', 'x')"); code != "25006" {
		t.Errorf("a write in a transaction that is READ ONLY: %q", code)
	}
	w.exec(c, "ROLLBACK")
	w.exec(c, "BEGIN")
	w.exec(c, "INSERT INTO kv (name, content) VALUES ('k', 'y')")
	if err := w.fleet.Kill(w.fleet.Primary(0)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('k', 'z')")
	if code := state(err); code != "08006" && !strings.HasPrefix(code, "broken") {
		t.Errorf("its server died within it: %q", code)
	}
	if !c.IsClosed() {
		t.Error("the connection of a transaction that was lost is still open")
	}
}

// TestPooledLarge: a row and a copy's data far beyond what the pooler keeps of one message pass through it in parts.
func TestPooledLarge(t *testing.T) {
	t.Parallel()
	w := pooled(t, strings.Replace(fmt.Sprintf(usual, "(connections 2)"), "(pooling ", "(pooling (most-answer 64k) (most-message 64k) ", 1))
	c := dial(t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, _ := c.message(); typ != 'Z'; typ, _ = c.message() {
	}
	const size = 1 << 20
	c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, 40)", size)))
	got := 0
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			t.Fatal("the connection ended")
		}
		if typ == 'D' && len(body) == size+6 && strings.Count(string(body[6:]), "x") == size {
			got++
		}
	}
	if got != 40 {
		t.Errorf("%d of 40 rows came whole", got)
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
			t.Fatalf("the copy ended with %q %q", typ, body)
		case typ == 'C' && string(body) != fmt.Sprintf("COPY %d\x00", len(data)-5):
			t.Errorf("the copy: %q", body)
		}
	}
}

// TestPooledLargeBroken: the server's connection ends within a row that comes in parts. Nothing is put into the row's
// place: the client's connection ends within it.
func TestPooledLargeBroken(t *testing.T) {
	t.Parallel()
	w := pooled(t, fmt.Sprintf(usual, "(connections 2)"))
	c := dial(t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, _ := c.message(); typ != 'Z'; typ, _ = c.message() {
	}
	const size = 1 << 20
	c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, 400)", size)))
	within(t, "rows are on their way", func() bool { return w.fleet.Streamed() > 0 })
	if err := w.fleet.Kill(w.fleet.Primary(0)); err != nil {
		t.Fatal(err)
	}
	for typ, body := c.message(); typ != 0; typ, body = c.message() { // message returns type 0 where one is not whole
		if typ == 'D' && strings.Count(string(body[6:]), "x") != size {
			t.Fatal("something else was put into a row's place")
		}
		if typ == 'Z' {
			t.Fatal("the result counts as whole")
		}
	}
}

// answers are what a server says to some messages, as far as it must be the same through the pooler.
func answers(c *peer, ends int) (out []string) {
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

// TestPooledLikeAServer: whatever a client sends, in whatever state, it is answered through the pooler as by the server
// itself.
func TestPooledLikeAServer(t *testing.T) {
	w := pooled(t, fmt.Sprintf(usual, "(connections 4)"), func(c *database.Config) { c.Groups = []int{1} })
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
		var told []string
		ends := 0
		add := func(what string, b []byte) {
			sent, told = append(sent, b...), append(told, what)
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
		ends += 2 // more than there are: both are read to their end
		var got [2][]string
		for i, addr := range []string{direct, w.addr} {
			c := dial(w.t, addr)
			c.send(appendStartup("tablet", "obra"))
			answers(c, 1)
			c.send(sent)
			got[i] = answers(c, ends)
			_ = c.Close()
		}
		if diff := cmp.Diff(got[0], got[1]); diff != "" {
			t.Fatalf("%q\n(-direct +pooled)\n%s", told, diff)
		}
	})
}

// TestPooledRecords: the records of a takeover tell of the sessions, of the connections that changed hands, and of the
// transaction that began again.
func TestPooledRecords(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	w := pooled(t, fmt.Sprintf(usual, "(connections 2)")+fmt.Sprintf("(record (on) (dir %q))", dir))
	a, b := w.connect("&application_name=a"), w.connect("&application_name=b")
	for range 3 {
		w.exec(a, putKV, "k", "v")
		w.exec(b, putKV, "k", "v")
	}
	w.exec(a, "BEGIN")
	old := w.fleet.Primary(0)
	if err := w.fleet.Kill(old); err != nil {
		t.Fatal(err)
	}
	within(t, "another primary", func() bool { p := w.fleet.Primary(0); return p != "" && p != old })
	within(t, "the pooler follows", func() bool { return try(b, putKV, "k", "v") == "" })
	w.exec(a, "INSERT INTO kv (name, content) VALUES ('k', 'w')")
	w.exec(a, "COMMIT")
	_ = a.Close(context.Background())
	within(t, "the client has gone", func() bool {
		n := make(chan int, 1)
		w.pool.loop.Post(func() { n <- w.pool.pooling.Sessions() })
		return <-n == 1
	})
	w.endRecords()
	set, err := records.Open(false, dir)
	if err != nil {
		t.Fatal(err)
	}
	m := incident.New()
	if err := set.Read(m); err != nil {
		t.Fatal(err)
	}
	m.Finish()
	v := m.View()
	if len(v.Pools) != 1 {
		t.Fatalf("%d pools", len(v.Pools))
	}
	p := v.Pools[0]
	if p.Name != "obra/tablet" || p.Sessions != 2 || p.Ended != 1 || p.Again != 1 || p.Hands < 8 || p.Changed == 0 || p.Moved < 2 || p.Carried < 2 || p.MostClients != 2 {
		t.Errorf("%+v", p)
	}
}
