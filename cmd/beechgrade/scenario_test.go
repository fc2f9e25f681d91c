package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// TestAnswersInCommandOrder: startup and queries arrive in pieces or several at once. A request is sent without waiting for the answers to
// earlier ones, but its answer waits: answers come in the order of the commands. Server connections are reused.
func TestAnswersInCommandOrder(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := dial(t, pooler)
	c.send([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	if b, _ := c.in.ReadByte(); b != 'N' {
		t.Fatalf("the answer to SSLRequest is %q, want 'N'", b)
	}
	for _, b := range append(pgwire.AppendStartup(nil, "backend", "store"), query("1", "read", 9000)...) {
		c.send([]byte{b})
	}
	c.want("RSSSSZ")
	c.send(append(append(query("2", "read", 9000), pgwire.AppendQuery(nil, "")...), query("3", "reads", 9000)...))
	asked := map[string]receivedQuery{}
	for n := range 2 {
		q := next(t, queries)
		var id string
		var wait int
		_, err := fmt.Sscanf(strings.ReplaceAll(q.sql, ",", " "), "SELECT content FROM kv WHERE name = 'k' /* id=%s c=read d=%d cluster=0 */", &id, &wait)
		if err != nil || wait <= 0 || wait > 9000 || q.conn > 2 {
			t.Fatalf("query %d at the server is %q on connection %d, error %v, want a read with d of 1 to 9000 on connection 1 or 2", n, q.sql, q.conn, err)
		}
		asked[id] = q
	}
	asked["2"].send(row("v2"))
	asked["1"].send(row("v1"))
	for _, want := range []string{"TDCZ v1", "TDCZ v2", "IZ", "EZ 42601"} {
		c.want(want)
	}
	c.send(query("4", "read", 9000))
	if q := next(t, queries); q.conn > 2 {
		t.Errorf("the last request came on connection %d, want 1 or 2", q.conn)
	}
}

// TestPipelinedCommands: a client that pipelines more commands than are read at a time gets all answers in order; the time of a command
// that had to wait counts from its arrival. Unreadable input ends the connection once the commands before it are answered.
func TestPipelinedCommands(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	var all []byte
	for n := range 40 {
		all = append(all, query(fmt.Sprint(n), "read", 9000)...)
	}
	c.send(append(all, "? noise"...))
	go func() {
		for q := range queries {
			if at := strings.Index(q.sql, "id="); at >= 0 {
				q.send(row(strings.Split(q.sql[at+3:], ",")[0]))
			}
		}
	}()
	for n := range 40 {
		c.want(fmt.Sprint("TDCZ ", n))
	}
	c.want("E$ 08P01")
}

// TestBrokenWriteIsNotResent: a write whose connection breaks after its last byte gets one answer, which does not ask the client to retry;
// the write is not sent a second time.
func TestBrokenWriteIsNotResent(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	c.send(query("1", "write", 9000))
	_ = next(t, queries).Close()
	c.want("EZ 58000")
	if q := next(t, queries); q.sql != "(gone)" || len(queries) != 0 {
		t.Errorf("after the broken write the server got %q, want only the end of its connection", q.sql)
	}
}

// TestWriteToUnreachableServerDidNotRun: a connection that breaks, or does not come up, before the query is written proves that the write
// did not run, so the error to the client says that a retry is safe.
func TestWriteToUnreachableServerDidNotRun(t *testing.T) {
	for name, then := range map[string]func(net.Conn){
		"breaks": func(c net.Conn) { _ = c.Close() }, "never comes up": func(net.Conn) {}} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = c.Close() })
					then(c)
				}
			}()
			pooler, _, _ := startPooler(t, l.Addr().String(), nil, func(c *config.Config) { c.ConnectTimeoutMs = 50 })
			c := client(t, pooler)
			c.send(query("1", "write", 400))
			c.want("EZ 53300")
		})
	}
}

// TestMalformedAnswer: an answer that is not complete and valid is never passed on, however it begins. The write may have run, so its client
// gets the error that the outcome is unknown, and the connection is not used again.
func TestMalformedAnswer(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	good := string(row("v"))
	for n, bad := range []string{"\xbf noise", strings.Replace(good, "D\x00", "q\x00", 1), good[:len(good)-6] + "Z\x00\x00\x00\x05T",
		strings.Replace(good, "D\x00\x00\x00\x0b", "D\xc0\x00\x00\x0b", 1), strings.Replace(good, "D\x00\x00\x00\x0b", "D\x00\x00\x00\x02", 1)} {
		c.send(query(fmt.Sprint(n), "write", 9000))
		q := next(t, queries)
		q.send([]byte(bad))
		c.want("EZ 58000")
		if gone := next(t, queries); gone.sql != "(gone)" || q.conn != n+1 {
			t.Fatalf("after the malformed answer %q the server got %q, and the write came on connection %d; want its connection closed, and connection %d", bad, gone.sql, q.conn, n+1)
		}
	}
}

// TestTruncatedAnswer: an answer that stops within a message, on a connection that stays open, is not waited for. A read is retried at
// once; a write fails, long before its deadline.
func TestTruncatedAnswer(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	for n, class := range []string{"read", "write"} {
		c.send(query("1", class, 19000))
		q := next(t, queries)
		q.send(row("v")[:20])
		gone := next(t, queries)
		if n == 0 { // the server may notice the close before or after the retry
			again := next(t, queries)
			if gone.sql != "(gone)" {
				gone, again = again, gone
			}
			again.send(row("v"))
			c.want("TDCZ v")
		}
		if gone.sql != "(gone)" || gone.conn != q.conn {
			t.Fatalf("after the truncated answer on connection %d the server got %q on connection %d, want that connection closed", q.conn, gone.sql, gone.conn)
		}
	}
	c.want("EZ 58000")
}

// TestDataAfterAnswerClosesConnection: bytes that a server sends after its answer would be taken for the answer to the next request, so the
// connection is not used again, whether they come at once, while another request waits for the connection, or while it is idle.
func TestDataAfterAnswerClosesConnection(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	for n, extra := range []string{string(row("v")), "\xbf", "S"} {
		c.send(query("1", "read", 9000))
		q := next(t, queries)
		q.send(append(row("v"), extra...))
		c.want("TDCZ v")
		c.send(query("2", "read", 9000))
		if gone := next(t, queries); gone.sql == "(gone)" {
			q = next(t, queries)
		} else {
			q = gone
			next(t, queries)
		}
		if q.sql == "(gone)" || q.conn != 2*n+2 {
			t.Fatalf("query after an answer with extra bytes %q: got %q on connection %d, want a read on connection %d", extra, q.sql, q.conn, 2*n+2)
		}
		q.send(row("w"))
		c.want("TDCZ w")
		q.send([]byte(extra))
		if gone := next(t, queries); gone.sql != "(gone)" {
			t.Fatalf("after extra bytes %q on an idle connection the server got %q, want the connection closed", extra, gone.sql)
		}
	}
}

// TestProbeFindsThePrimary: while no primary is known, a write waits until a health check reports the role.
func TestProbeFindsThePrimary(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) {
		c.InitialList.Instances[0].Role, c.Settings.MayCheckHealth = "replica", true
	})
	c := client(t, pooler)
	c.send(query("1", "write", 9000))
	q := next(t, queries)
	if q.sql != "SHOW load" {
		t.Fatalf("first query at the server is %q, want SHOW load", q.sql)
	}
	q.send(row(fmt.Sprintf("x0=%d.25,x1=1", time.Now().Unix()-1)))
	q = next(t, queries)
	if !strings.Contains(q.sql, "id=1,") || q.conn != 1 {
		t.Fatalf("query after the health check is %q on connection %d, want id=1 on connection 1", q.sql, q.conn)
	}
	q.send(row("v"))
	c.want("TDCZ v")
}
