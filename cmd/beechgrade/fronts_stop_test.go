package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// TestPooledStopNewClient: a client that comes while the pooler ends is told so; its connection is not reset.
func TestPooledStopNewClient(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2)")
	busy := s.client()
	busy.send(simpleQuery("SELECT 1"))
	q := nextQueryContaining(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.waitUntilOnLoop("it drains", func() bool { return s.p.lifecycle.State() == lifecycle.Stopping })
	c := dial(t, s.addr)
	c.send(append(appendStartup("tablet", "obra"), simpleQuery("SELECT 2")...))
	c.want("E$ 57P03")
	q.send(row("1"))
	busy.want("TDCZ 1")
	busy.want("E$ 57P01")
}

// TestPooledLastAnswers: what is still under way when the process ends in any case has its last word: whether it may have been committed.
func TestPooledLastAnswers(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2) (queue 9)")
	open, writes, waits := s.client(), s.client(), s.client()
	open.send(simpleQuery("BEGIN"))
	nextQueryContaining(t, queries, "BEGIN").send(append(pgwire.AppendComplete(nil, "BEGIN"), 'Z', 0, 0, 0, 5, 'T'))
	open.want("CZ")
	writes.send(simpleQuery("INSERT 1"))
	nextQueryContaining(t, queries, "INSERT 1")
	waits.send(simpleQuery("INSERT 2"))
	s.waitUntilOnLoop("it waits", func() bool { return s.p.core.OpenRequests() == 1 })
	s.stop <- syscall.SIGTERM
	writes.want("E$ 08007")
	waits.want("E$ 57P01")
	open.want("E$ 57P01")
	if err := <-s.done; err != nil {
		t.Error(err)
	}
}

// TestHouseLastWord: what is still under way when the process ends in any case has its answer, and one that has begun is broken off so that its client
// does not take it for whole.
func TestHouseLastWord(t *testing.T) {
	t.Parallel()
	raw, err := clickhouseserver.StartRaw(func(conn net.Conn, in *bufio.Reader, head string) {
		if strings.Contains(head, "stream") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nv\n") // up to its end
		}
		_, _ = in.ReadByte()
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(raw.Stop)
	w := startClickHouse(t, 0, "")
	w.servers = []*clickhouseserver.Server{{Name: "raw", Addr: raw.Addr}}
	w.write()
	w.hup <- syscall.SIGHUP
	w.until("1 servers, 0 removals held back")
	streams, hangs := dial(t, w.addr), dial(t, w.addr)
	streams.send([]byte("GET /?query=SELECT+1&query_id=stream HTTP/1.0\r\n\r\n"))
	for line := ""; line != "v\n"; {
		if line, err = streams.in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	hangs.send([]byte(get("hang", "SELECT 2")))
	w.wait("it runs", func() (is bool) {
		w.onLoop(func() { is = w.p.core.OpenRequests() == 1 })
		return is
	})
	w.stopping()
	if _, err := streams.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the answer that was cut ends with %v", err)
	}
	hangs.wantHTTP("502 210 close=true")
}

// TestClickHouseStopNewClient: a client that comes while the pooler ends is told so in answer to its query; its connection is not reset.
func TestClickHouseStopNewClient(t *testing.T) {
	w := startClickHouse(t, 1, "")
	w.stopping()
	c := dial(t, w.addr)
	c.send([]byte(get("a", "SELECT 1")))
	c.wantHTTP("503 202 close=true")
	c.wantEnd()
	if n := len(w.runs("")); n != 0 {
		t.Errorf("%d queries came to the server", n)
	}
}
