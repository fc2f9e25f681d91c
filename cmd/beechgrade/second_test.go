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

// tell writes a line of the list.
func tell(w http.ResponseWriter, generation int, addr, lifecycle string) {
	_, _ = fmt.Fprintf(w, `{"generation":%d,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":%q,"role":"primary"}]}`+"\n",
		generation, addr, lifecycle)
	w.(http.Flusher).Flush()
}

// TestPushedList: where lists are pushed nobody is to ask for them, but what the agent holds counts as told: a watch is open
// all the same, goes on from what was heard when the agent closes it or goes silent, and its failures are nobody's.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	froms, then := make(chan string, 99), make(chan string)
	pooler, _, _ := start(t, addr, func(w http.ResponseWriter, r *http.Request) {
		froms <- r.URL.Query().Get("from")
		select {
		case state := <-then:
			gen := map[string]int{"draining": 5, "up": 6}[state]
			tell(w, gen, addr, state)
			<-then // the agent ends the watch
		case <-r.Context().Done():
		}
	}, func(c *config.Config) { c.Settings.WatchList = false })
	ask := func(id, want string) {
		t.Helper()
		c := client(t, pooler)
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			c.send(query(id, "read", 100))
			select {
			case q := <-queries:
				q.send(row("v"))
			case <-time.After(300 * time.Millisecond):
			}
			if got := c.answer(); got == want {
				return
			} else if time.Now().After(end) {
				t.Fatalf("%s: got %q, want %q", id, got, want)
			}
		}
	}
	for _, step := range []struct{ from, state, answer string }{{"4", "draining", "EZ 53300"}, {"5", "up", "TDCZ v"}} {
		if got := <-froms; got != step.from {
			t.Fatalf("watches from %s, want %s", got, step.from)
		}
		then <- step.state
		ask(step.state, step.answer)
		then <- "end"
	}
	if got := <-froms; got != "6" {
		t.Errorf("watches from %s after the second end", got)
	}
}

// TestTenants: one beyond its share waits behind one within, when there is no room for both, though it came first. One that
// does not exist, or is not named, gets one error at once, and its client can go on.
func TestTenants(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	p := newPooler(testConfig(t, addr, nil, func(c *config.Config) {
		c.Tenants = []string{"greedy", "modest"}
		c.Settings.Tenants = []decide.Tenant{{RateLimit: 1e-6}, {RateLimit: 1e6}}
		c.Settings.OverQuotaWeight = 0.2
	}), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	open := func(n int) { // waits until so many requests are with the pooler
		t.Helper()
		within(t, fmt.Sprint(n, " requests"), func() bool {
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
	var first asked
	for n := range 4 { // what may be sent at once; a bucket holds as many
		send(client(t, pooler), fmt.Sprint("a", n), ",t=greedy")
		first = next(t, queries)
	}
	send(client(t, pooler), "over", ",t=greedy")
	open(5)
	send(c, "within", ",t=modest")
	open(6)
	if len(queries) != 0 {
		t.Fatalf("asked %q with no room", (<-queries).sql)
	}
	first.send(row("v"))
	if q := next(t, queries); !strings.Contains(q.sql, "id=within,c=read,t=modest,") {
		t.Errorf("asked %q first", q.sql)
	} else {
		q.send(row("v"))
		c.want("TDCZ v")
	}
}

// TestReportsInAnswers: a load report in an answer tells its server's role. One that cannot be read, or lies ahead, tells
// nothing, and does the answer no harm.
func TestReportsInAnswers(t *testing.T) {
	t.Parallel()
	for _, story := range []struct{ report, write string }{{"x0=%d,x1=1", "TDCZ w"}, {"x0=%d,x1=yes", "EZ 53300"},
		{"x1=1", "EZ 53300"}, {"x0=9%d,x1=1", "EZ 53300"}, {"=,,\xff%d", "EZ 53300"}} {
		addr, queries := server(t)
		pooler, _, _ := start(t, addr, nil, func(c *config.Config) { c.Settings.ListShowsRole = false })
		c := client(t, pooler)
		c.send(query("1", "read", 9000))
		report := story.report
		if strings.Contains(report, "%d") {
			report = fmt.Sprintf(report, time.Now().Unix()-1)
		}
		answer := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("v")), "SELECT 1")
		next(t, queries).send(pgwire.AppendReady(pgwire.AppendParameter(answer, "load", report)))
		c.want("TDCZ v")
		c.send(query("2", "write", 300))
		if story.write == "TDCZ w" {
			next(t, queries).send(row("w"))
		}
		c.want(story.write)
	}
}

// keyed is a write with a key, or without one.
func keyed(id, key string) []byte {
	if key != "" {
		key = ",k=" + key
	}
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '') RETURNING content /* id=%s,c=write%s,d=9000,cluster=0 */", id, key))
}

// withWindow makes writes keyed, their repeats dropped for so long.
func withWindow(d time.Duration, attempts int) func(*config.Config) {
	return func(c *config.Config) {
		w := &c.Settings.Classes[1]
		w.Idempotency, w.KeyScope, w.KeyWindow, c.Settings.MaxAttempts = decide.IdempotentWithKey, decide.ScopeGroup, d, attempts
	}
}

// TestKeyWindowAtAClientsRetry: what a client asks again with its key, under a new id, is held to the window of the first: sent
// within it, and not behind it, where its servers may have forgotten the key; then it fails at once. What has no key cannot be
// known again.
func TestKeyWindowAtAClientsRetry(t *testing.T) {
	t.Parallel()
	for _, within := range []bool{true, false} {
		addr, queries := server(t)
		window := patience
		if !within {
			window = time.Millisecond
		}
		pooler, _, _ := start(t, addr, nil, withWindow(window, 1))
		c := client(t, pooler)
		c.send(keyed("0", ""))
		c.want("EZ 42601")
		c.send(keyed("1", "key"))
		_ = next(t, queries).Close()
		c.want("EZ 58000")
		if gone := next(t, queries); gone.sql != "(gone)" {
			t.Fatalf("asked %q", gone.sql)
		}
		time.Sleep(5 * time.Millisecond)
		c.send(keyed("2", "key"))
		if within {
			next(t, queries).send(row("v"))
			c.want("TDCZ v")
		} else {
			c.want("EZ 58000")
		}
		c.send(keyed("3", "other"))
		if q := next(t, queries); !strings.Contains(q.sql, "id=3,c=write,k=other,") {
			t.Fatalf("asked %q", q.sql)
		} else {
			q.send(row("w"))
		}
		c.want("TDCZ w")
	}
}

// TestKeyWindowOnASlowConnect: a keyed write is to go out once more within its window, but the connection for it comes up only
// behind that. It is given up unsent when the window ends, long before its client's time.
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
			t.Fatal(err)
		}
		_, _ = p.in.Discard(int(binary.BigEndian.Uint32(head)))
		p.send(pgwire.AppendStartupResponse(nil))
	}
	pooler, _, _ := start(t, l.Addr().String(), nil, withWindow(400*time.Millisecond, 8))
	c := client(t, pooler)
	c.send(keyed("1", "key"))
	first := <-conns
	welcome(first)
	if typ, _ := first.message(); typ != 'Q' {
		t.Fatalf("got %q", typ)
	}
	_ = first.Close()
	slow := <-conns
	began := time.Now()
	c.want("EZ 58000")
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("given up after %v", took)
	}
	welcome(slow)
	_ = slow.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if typ, body := slow.message(); typ != 0 {
		t.Errorf("the server was sent %q %q behind the window", typ, body)
	}
}
