package main

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
)

// writeList writes one line of the endpoint list.
func writeList(w http.ResponseWriter, generation int, addr, lifecycle string) {
	_, _ = fmt.Fprintf(w, `{"generation":%d,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":%q,"role":"primary"}]}`+"\n",
		generation, addr, lifecycle)
	w.(http.Flusher).Flush()
}

// TestPushedList: if lists are pushed, the pooler need not ask for them, but the agent's list is binding. A watch is open all the same,
// continues from the last generation received when the agent closes it or falls silent, and its failures are not counted against any server.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	froms, then := make(chan string, 99), make(chan string)
	pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
		froms <- r.URL.Query().Get("from")
		select {
		case state := <-then:
			gen := map[string]int{"draining": 5, "up": 6}[state]
			writeList(w, gen, addr, state)
			<-then // the agent ends the watch
		case <-r.Context().Done():
		}
	}, func(c *config.Config) { c.Settings.WatchList = false })
	ask := func(id, want string) {
		t.Helper()
		c := client(t, pooler)
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			c.send(query(id, "read", 100))
			select {
			case q := <-queries:
				q.send(row("v"))
			case <-time.After(300 * time.Millisecond):
			}
			if got := c.answer(); got == want {
				return
			} else if time.Now().After(end) {
				t.Fatalf("read while the server is %s: got %q, want %q", id, got, want)
			}
		}
	}
	for _, step := range []struct{ from, state, answer string }{{"4", "draining", "EZ 53300"}, {"5", "up", "TDCZ v"}} {
		if got := <-froms; got != step.from {
			t.Fatalf("the watch starts from generation %s, want %s", got, step.from)
		}
		then <- step.state
		ask(step.state, step.answer)
		then <- "end"
	}
	if got := <-froms; got != "6" {
		t.Errorf("after its second end the watch starts from generation %s, want 6", got)
	}
}

// TestTenantShares: a tenant beyond its share waits behind one within its share if there is no room for both, though its request came
// first. A request without a tenant or with an unknown one is rejected at once, and its client can continue.
func TestTenantShares(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	p := newPooler(testConfig(t, addr, nil, func(c *config.Config) {
		c.Tenants = []string{"greedy", "modest"}
		c.Settings.Tenants = []decide.Tenant{{RateLimit: 1e-6}, {RateLimit: 1e6}}
		c.Settings.OverQuotaWeight = 0.2
	}), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	open := func(n int) { // waits until the pooler has n open requests
		t.Helper()
		waitUntil(t, fmt.Sprint(n, " requests"), func() bool {
			got := make(chan int)
			p.loop.Post(func() { got <- p.core.OpenRequests() })
			return <-got == n
		})
	}
	send := func(c *peer, id, tenant string) {
		c.send(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s,c=read%s,d=9000,cluster=0 */", id, tenant)))
	}
	c := client(t, pooler)
	for n, tenant := range []string{"", ",t=nobody", ",t="} {
		send(c, fmt.Sprint("x", n), tenant)
		c.want("EZ 42601")
	}
	var first receivedQuery
	for n := range 4 { // as many as may be sent at once; the token bucket holds as many
		send(client(t, pooler), fmt.Sprint("a", n), ",t=greedy")
		first = next(t, queries)
	}
	send(client(t, pooler), "over", ",t=greedy")
	open(5)
	send(c, "within", ",t=modest")
	open(6)
	if len(queries) != 0 {
		t.Fatalf("query at the server beyond its limit: got %q, want none", (<-queries).sql)
	}
	first.send(row("v"))
	if q := next(t, queries); !strings.Contains(q.sql, "id=within,c=read,t=modest,") {
		t.Errorf("first query after a free slot is %q, want id=within of the tenant modest", q.sql)
	} else {
		q.send(row("v"))
		c.want("TDCZ v")
	}
}

// TestLoadReportsInAnswers: a load report in an answer states the role of its server. A report that cannot be parsed, or whose time is in
// the future, is ignored, and does not affect the answer.
func TestLoadReportsInAnswers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ report, write string }{{"x0=%d,x1=1", "TDCZ w"}, {"x0=%d,x1=yes", "EZ 53300"},
		{"x1=1", "EZ 53300"}, {"x0=9%d,x1=1", "EZ 53300"}, {"=,,\xff%d", "EZ 53300"}} {
		addr, queries := server(t)
		pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) { c.Settings.ListShowsRole = false })
		c := client(t, pooler)
		c.send(query("1", "read", 9000))
		report := tc.report
		if strings.Contains(report, "%d") {
			report = fmt.Sprintf(report, time.Now().Unix()-1)
		}
		answer := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("v")), "SELECT 1")
		next(t, queries).send(pgwire.AppendReady(pgwire.AppendParameter(answer, "load", report)))
		c.want("TDCZ v")
		c.send(query("2", "write", 300))
		if tc.write == "TDCZ w" {
			next(t, queries).send(row("w"))
		}
		c.want(tc.write)
	}
}

// keyedInsert returns a write with an idempotency key, or without one if key is empty.
func keyedInsert(id, key string) []byte {
	if key != "" {
		key = ",k=" + key
	}
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '') RETURNING content /* id=%s,c=write%s,d=9000,cluster=0 */", id, key))
}

// withKeyWindow makes writes idempotent by key, with a window of d and a maximum number of attempts.
func withKeyWindow(d time.Duration, attempts int) func(*config.Config) {
	return func(c *config.Config) {
		w := &c.Settings.Classes[1]
		w.Idempotency, w.KeyScope, w.KeyWindow, c.Settings.MaxAttempts = decide.IdempotentWithKey, decide.ScopeGroup, d, attempts
	}
}

// TestKeyWindowAppliesToClientRetries: a client retries with the same key under a new id. The retry is held to the window of the first
// request: it is sent within the window, and fails at once after it, when servers may have forgotten the key. A request without a key
// cannot be recognised.
func TestKeyWindowAppliesToClientRetries(t *testing.T) {
	t.Parallel()
	for _, withinWindow := range []bool{true, false} {
		addr, queries := server(t)
		window := testTimeout
		if !withinWindow {
			window = time.Millisecond
		}
		pooler, _, _ := startPooler(t, addr, nil, withKeyWindow(window, 1))
		c := client(t, pooler)
		c.send(keyedInsert("0", ""))
		c.want("EZ 42601")
		c.send(keyedInsert("1", "key"))
		_ = next(t, queries).Close()
		c.want("EZ 58000")
		if gone := next(t, queries); gone.sql != "(gone)" {
			t.Fatalf("query at the server after its connection broke: got %q, want none", gone.sql)
		}
		time.Sleep(5 * time.Millisecond)
		c.send(keyedInsert("2", "key"))
		if withinWindow {
			next(t, queries).send(row("v"))
			c.want("TDCZ v")
		} else {
			c.want("EZ 58000")
		}
		c.send(keyedInsert("3", "other"))
		if q := next(t, queries); !strings.Contains(q.sql, "id=3,c=write,k=other,") {
			t.Fatalf("query at the server is %q, want id=3 with the key other", q.sql)
		} else {
			q.send(row("w"))
		}
		c.want("TDCZ w")
	}
}

// TestKeyWindowOnASlowConnect: a keyed write is to be retried within its window, but the connection for it comes up only after the window.
// The write is given up unsent when the window ends, long before the client's deadline.
func TestKeyWindowOnASlowConnect(t *testing.T) {
	t.Parallel()
	l := listen(t)
	conns := make(chan *peer)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- newPeer(t, c)
		}
	}()
	welcome := func(p *peer) {
		head, err := p.in.Peek(4)
		if err != nil {
			t.Fatalf("reading the pooler's startup message: %v", err)
		}
		_, _ = p.in.Discard(int(binary.BigEndian.Uint32(head)))
		p.send(pgwire.AppendStartupResponse(nil))
	}
	pooler, _, _ := startPooler(t, l.Addr().String(), nil, withKeyWindow(400*time.Millisecond, 8))
	c := client(t, pooler)
	c.send(keyedInsert("1", "key"))
	first := <-conns
	welcome(first)
	if typ, _ := first.message(); typ != 'Q' {
		t.Fatalf("first message at the server has type %q, want 'Q'", typ)
	}
	_ = first.Close()
	slow := <-conns
	began := time.Now()
	c.want("EZ 58000")
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the write was given up after %v, want at most 4 s", took)
	}
	welcome(slow)
	_ = slow.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if typ, body := slow.message(); typ != 0 {
		t.Errorf("message at the server after the key's window: got %q %q, want none", typ, body)
	}
}
