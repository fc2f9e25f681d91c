package main

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// reset closes a connection with a TCP reset, after the bytes that were sent on it.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// TestServerClosesAfterAnswer: the loop is blocked while a server answers and its connection then breaks, so that the loop sees both at once.
// A complete answer counts, whatever follows it; if the answer is truncated, the request may have run.
func TestServerClosesAfterAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		class  string
		answer []byte
		want   string
		again  bool // the request is sent once more
	}{
		"a complete answer to a write": {"write", row("v"), "TDCZ v", false},
		"a complete answer to a read":  {"read", row("v"), "TDCZ v", false},
		"a truncated write answer":     {"write", row("v")[:len(row("v"))-6], "EZ 58000", false},
		"no byte of a write answer":    {"write", nil, "EZ 58000", false},
		"a truncated read answer":      {"read", row("v")[:20], "TDCZ w", true},
		"a rejected write":             {"write", errorAnswer("53300"), "TDCZ w", true},
	} {
		for how, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { _ = c.Close() }, "reset": reset} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				addr, queries := server(t)
				p := newPooler(testConfig(t, addr, nil), slog.New(slog.DiscardHandler))
				pooler, _, _, _ := launch(t, p)
				c := client(t, pooler)
				c.send(query("1", tc.class, 9000))
				q := nextQuery(t, queries)
				resume := blockLoop(p)
				q.send(tc.answer)
				leave(q.Conn)
				time.Sleep(networkDelay) // until both have reached the pooler's socket
				resume()
				if tc.again {
					nextQuery(t, queries).send(row("w"))
				}
				c.want(tc.want)
				last := client(t, pooler)
				last.send(query("last", "read", 9000))
				if got := nextQuery(t, queries); !strings.Contains(got.sql, "id=last,") {
					t.Errorf("query at the server is %q, want only the one with id=last", got.sql)
				} else {
					got.send(row("v"))
				}
				last.want("TDCZ v")
			})
		}
	}
}

// TestServerClosesIdleConnection: the loop is blocked while a request arrives and its server closes the idle connection on which the request
// would be sent. A write is sent on another connection, and is not taken to have run.
func TestServerClosesIdleConnection(t *testing.T) {
	for how, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { _ = c.Close() }, "reset": reset,
		"fatal error": func(c net.Conn) { _, _ = c.Write(pgwire.AppendError(nil, "FATAL", "57P01", "ends", "")) }} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			addr, queries := server(t)
			p := newPooler(testConfig(t, addr, nil), slog.New(slog.DiscardHandler))
			pooler, _, _, _ := launch(t, p)
			c := client(t, pooler)
			c.send(query("1", "read", 9000))
			idle := nextQuery(t, queries)
			idle.send(row("v"))
			c.want("TDCZ v")
			resume := blockLoop(p)
			c.send(query("2", "write", 9000)) // the loop reads this first
			time.Sleep(networkDelay)
			leave(idle.Conn)
			time.Sleep(networkDelay)
			resume()
			q := nextQuery(t, queries)
			if q.conn != 2 {
				t.Errorf("the write came on connection %d, want 2", q.conn)
			}
			q.send(row("w"))
			c.want("TDCZ w")
		})
	}
}
