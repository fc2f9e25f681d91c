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

// TestPooledStopNewClient checks that a client that connects during the shutdown gets an error message; its connection is not reset.
func TestPooledStopNewClient(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2)")
	busy := s.client()
	busy.send(simpleQuery("SELECT 1"))
	q := nextQueryContaining(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.waitUntilOnLoop("the pooler is stopping", func() bool { return s.p.lifecycle.State() == lifecycle.Stopping })
	c := dial(t, s.addr)
	c.send(append(appendStartup("tablet", "obra"), simpleQuery("SELECT 2")...))
	c.want("E$ 57P03")
	q.send(row("1"))
	busy.want("TDCZ 1")
	busy.want("E$ 57P01")
}

// TestPooledFinalAnswersAtExit checks that requests still open when the shutdown time is over get a final error that says whether they may
// have been committed.
func TestPooledFinalAnswersAtExit(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2) (queue 9)")
	open, writing, waiting := s.client(), s.client(), s.client()
	open.send(simpleQuery("BEGIN"))
	nextQueryContaining(t, queries, "BEGIN").send(append(pgwire.AppendComplete(nil, "BEGIN"), 'Z', 0, 0, 0, 5, 'T'))
	open.want("CZ")
	writing.send(simpleQuery("INSERT 1"))
	nextQueryContaining(t, queries, "INSERT 1")
	waiting.send(simpleQuery("INSERT 2"))
	s.waitUntilOnLoop("the second write waits", func() bool { return s.p.core.OpenRequests() == 1 })
	s.stop <- syscall.SIGTERM
	writing.want("E$ 08007")
	waiting.want("E$ 57P01")
	open.want("E$ 57P01")
	if err := <-s.done; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}

// TestClickHouseFinalAnswersAtExit checks that queries still open when the shutdown time is over are answered, and that an answer that has
// begun is broken off with a reset, so that its client does not take it for complete.
func TestClickHouseFinalAnswersAtExit(t *testing.T) {
	t.Parallel()
	raw, err := clickhouseserver.StartRaw(func(conn net.Conn, in *bufio.Reader, head string) {
		if strings.Contains(head, "stream") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nv\n") // delimited by the connection's end
		}
		_, _ = in.ReadByte()
	})
	if err != nil {
		t.Fatalf("starting the raw server: %v", err)
	}
	t.Cleanup(raw.Stop)
	w := startClickHouse(t, 0, "")
	w.servers = []*clickhouseserver.Server{{Name: "raw", Addr: raw.Addr}}
	w.writeList()
	w.hup <- syscall.SIGHUP
	w.waitForSummary("1 servers, 0 removals held back")
	streaming, hanging := dial(t, w.addr), dial(t, w.addr)
	streaming.send([]byte("GET /?query=SELECT+1&query_id=stream HTTP/1.0\r\n\r\n"))
	for line := ""; line != "v\n"; {
		if line, err = streaming.in.ReadString('\n'); err != nil {
			t.Fatalf("reading the start of the streamed answer: %v", err)
		}
	}
	hanging.send([]byte(getRequest("hang", "SELECT 2")))
	w.waitFor("only the query without an answer is open", func() (is bool) {
		w.onLoop(func() { is = w.p.core.OpenRequests() == 1 })
		return is
	})
	w.terminate()
	if _, err := streaming.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the incomplete answer ends with error %v, want a reset", err)
	}
	hanging.wantHTTP("502 210 close=true")
}

// TestClickHouseStopNewClient checks that a client that connects during the shutdown gets an error in answer to its query; its connection
// is not reset.
func TestClickHouseStopNewClient(t *testing.T) {
	w := startClickHouse(t, 1, "")
	w.terminate()
	c := dial(t, w.addr)
	c.send([]byte(getRequest("a", "SELECT 1")))
	c.wantHTTP("503 202 close=true")
	c.wantEnd()
	if n := len(w.runs("")); n != 0 {
		t.Errorf("queries at the server: got %d, want none", n)
	}
}
