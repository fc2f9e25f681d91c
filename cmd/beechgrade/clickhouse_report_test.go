package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// clickhouseRequest is a request that a scripted ClickHouse server has received and not yet answered.
type clickhouseRequest struct {
	server, path, query string
	conn                net.Conn
}

// answer sends an answer with the given body.
func (r clickhouseRequest) answer(t testing.TB, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatalf("sending an answer of %s: %v", r.server, err)
	}
}

// upToDateReport is a server's report that it has no replication lag.
const upToDateReport = "default.x:\tAbsolute delay: 0. Relative delay: 0.\n"

// scriptClickHouse replaces the servers by ones that pass each request that they receive to the test.
func scriptClickHouse(t testing.TB, requests chan<- clickhouseRequest) func([]*clickhouseserver.Server) {
	serve := func(name string, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				_ = c.Close()
				return
			}
			requests <- clickhouseRequest{name, r.URL.Path, r.URL.Query().Get("query_id"), c}
		}
	}
	return func(servers []*clickhouseserver.Server) {
		for _, s := range servers {
			l := listen(t)
			s.Addr = l.Addr().String()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serve(s.Name, c)
				}
			}()
		}
	}
}

// waitForTCPState waits until the TCP_INFO of a connection satisfies holds.
func waitForTCPState(t testing.TB, c net.Conn, what string, holds func(*unix.TCPInfo) bool) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatalf("raw connection: %v", err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		var failed error
		if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || failed != nil {
			t.Fatalf("TCP_INFO of the connection: %v", errors.Join(err, failed))
		}
		if holds(info) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}

const tcpFinWait2 = 5 // Linux's TCP_FIN_WAIT2: the peer has acknowledged this end's FIN

// TestClickHouseQueryWithheldAfterStalenessReport checks that a query is not sent to a server whose staleness report arrives when the
// query's client has closed its connection, or when the server drains or has left the endpoint list. If the client still waits, the query
// is sent to another server.
func TestClickHouseQueryWithheldAfterStalenessReport(t *testing.T) {
	clientCloses := func(w *clickhouseFixture, client *clickhouseClient, held clickhouseRequest) (release func()) {
		resume := blockLoop(w.p)
		held.answer(w.t, upToDateReport) // the loop reads this first
		waitForTCPState(w.t, held.conn, "the report has arrived", func(i *unix.TCPInfo) bool { return i.Unacked == 0 })
		if err := client.CloseWrite(); err != nil {
			w.t.Fatalf("closing the client's side of the connection: %v", err)
		}
		waitForTCPState(w.t, client.TCPConn, "the close has arrived", func(i *unix.TCPInfo) bool { return i.State == tcpFinWait2 })
		return resume
	}
	listChanges := func(cycle string, matches func(state uint8, listed bool) bool) func(*clickhouseFixture, *clickhouseClient, clickhouseRequest) func() {
		return func(w *clickhouseFixture, _ *clickhouseClient, held clickhouseRequest) func() {
			w.writeListWith(held.server, cycle)
			w.hup <- syscall.SIGHUP
			w.waitFor("the pooler has the new list", func() (ok bool) {
				w.onLoop(func() { e, listed := w.p.sources.members.Entry(held.server); ok = matches(uint8(e.State), listed) })
				return ok
			})
			return func() { held.answer(w.t, upToDateReport) }
		}
	}
	for name, c := range map[string]struct {
		whileHeld    func(*clickhouseFixture, *clickhouseClient, clickhouseRequest) (release func())
		clientLeaves bool
	}{
		"its client closes": {clientCloses, true},
		"its server drains": {listChanges("draining", func(state uint8, listed bool) bool { return listed && state == 1 }), false},
		"its server leaves": {listChanges("", func(_ uint8, listed bool) bool { return !listed }), false},
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan clickhouseRequest, 100)
			next := func() clickhouseRequest {
				t.Helper()
				select {
				case a := <-requests:
					return a
				case <-time.After(testTimeout):
					t.Fatalf("no server received a request within %v", testTimeout)
					return clickhouseRequest{}
				}
			}
			w := startClickHouseAs(t, 3, `(class "mes" (path "/mes") (bound 3s) (aim 5s) (deadline 15s))`, scriptClickHouse(t, requests),
				func(c *config.Config) {
					c.Settings.StaleReads, c.Settings.MayCheckHealth = decide.StaleReadsRefused, false
				})
			first := w.sendBoundedRead("first")
			held := next()
			if held.path != "/replicas_status" {
				t.Fatalf("the first request is for path %q, want /replicas_status", held.path)
			}
			c.whileHeld(w, first, held)()
			waiting := first
			want := "first"
			if c.clientLeaves {
				waiting, want = w.sendBoundedRead("last"), "last"
			}
			for {
				a := next()
				switch {
				case a.path == "/replicas_status":
					a.answer(t, upToDateReport)
				case a.query == want && (c.clientLeaves || a.server != held.server):
					a.answer(t, "1\n")
					if answer, err := waiting.read(); err != nil || answer != "200 1\n" {
						t.Errorf("answer to query %s is %q, error %v, want \"200 1\\n\"", want, answer, err)
					}
					return
				default:
					t.Fatalf("query %q was sent to %s; %s had reported its staleness for query %s", a.query, a.server, held.server, "first")
				}
			}
		})
	}
}

// clickhouseClient is a client's connection to the ClickHouse frontend.
type clickhouseClient struct{ *net.TCPConn }

// sendBoundedRead opens a connection and sends a read with a staleness bound.
func (w *clickhouseFixture) sendBoundedRead(id string) *clickhouseClient {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, "GET /mes?"+url.Values{"query": {"SELECT 1"}, "query_id": {id}}.Encode()+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		w.t.Fatalf("sending query %s: %v", id, err)
	}
	return &clickhouseClient{c.(*net.TCPConn)}
}

// read reads an answer and returns its status and body.
func (c *clickhouseClient) read() (string, error) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return fmt.Sprintf("%d %s", res.StatusCode, b), err
}

// writeListWith writes the endpoint list with the named server in the given lifecycle state, or without it for an empty state.
func (w *clickhouseFixture) writeListWith(name, lifecycleState string) {
	w.t.Helper()
	var parts []string
	for _, s := range w.servers {
		state := "up"
		if s.Name == name {
			state = lifecycleState
		}
		if state != "" {
			parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"cell":%d,"lifecycle":%q,"weight":1}`, s.Name, s.Addr, clickhouseGroup, state))
		}
	}
	if err := os.WriteFile(w.listFile, []byte(`{"instances":[`+strings.Join(parts, ",")+`]}`), 0o600); err != nil {
		w.t.Fatal(err)
	}
}
