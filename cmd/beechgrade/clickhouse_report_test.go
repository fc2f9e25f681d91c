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

// clickhouseRequest is a request that came to a scripted ClickHouse server, and waits for its answer there.
type clickhouseRequest struct {
	server, path, query string
	conn                net.Conn
}

// answer writes an answer.
func (a clickhouseRequest) answer(t testing.TB, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
}

// upToDate is a server's report that it is not behind.
const upToDate = "default.x:\tAbsolute delay: 0. Relative delay: 0.\n"

// scriptClickHouse has servers hand the requests that they get to the test.
func scriptClickHouse(t testing.TB, asked chan<- clickhouseRequest) func([]*clickhouseserver.Server) {
	serve := func(name string, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				_ = c.Close()
				return
			}
			asked <- clickhouseRequest{name, r.URL.Path, r.URL.Query().Get("query_id"), c}
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

// untilTCP waits until the system tells of a connection what the function looks for.
func untilTCP(t testing.TB, c net.Conn, what string, holds func(*unix.TCPInfo) bool) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		var failed error
		if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || failed != nil {
			t.Fatal(errors.Join(err, failed))
		}
		if holds(info) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

const tcpFinWait2 = 5 // Linux's name for a connection whose own end has been acknowledged

// TestClickHouseReportThenNothing: a server reports how far behind it is; before the pooler reads that report the query's client has closed
// its connection, or the server drains or has left the list. The query does not go out there. Where its client waits still, it goes
// out elsewhere.
func TestClickHouseReportThenNothing(t *testing.T) {
	leaves := func(w *clickhouseWorld, p *clickhouseClient, held clickhouseRequest) (release func()) {
		resume := standstill(w.p)
		held.answer(w.t, upToDate) // the loop finds this first
		untilTCP(w.t, held.conn, "the report has arrived", func(i *unix.TCPInfo) bool { return i.Unacked == 0 })
		if err := p.CloseWrite(); err != nil {
			w.t.Fatal(err)
		}
		untilTCP(w.t, p.TCPConn, "the close has arrived", func(i *unix.TCPInfo) bool { return i.State == tcpFinWait2 })
		return resume
	}
	listed := func(cycle string, is func(state uint8, there bool) bool) func(*clickhouseWorld, *clickhouseClient, clickhouseRequest) func() {
		return func(w *clickhouseWorld, _ *clickhouseClient, held clickhouseRequest) func() {
			w.writeAs(held.server, cycle)
			w.hup <- syscall.SIGHUP
			w.wait("the list is taken", func() (ok bool) {
				w.onLoop(func() { e, there := w.p.sources.members.Entry(held.server); ok = is(uint8(e.State), there) })
				return ok
			})
			return func() { held.answer(w.t, upToDate) }
		}
	}
	for name, c := range map[string]struct {
		then   func(*clickhouseWorld, *clickhouseClient, clickhouseRequest) (release func())
		leaves bool
	}{
		"its client closes": {leaves, true},
		"its server drains": {listed("draining", func(state uint8, there bool) bool { return there && state == 1 }), false},
		"its server leaves": {listed("", func(_ uint8, there bool) bool { return !there }), false},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan clickhouseRequest, 100)
			next := func() clickhouseRequest {
				t.Helper()
				select {
				case a := <-asked:
					return a
				case <-time.After(testTimeout):
					t.Fatal("no server is asked")
					return clickhouseRequest{}
				}
			}
			w := startClickHouseAs(t, 3, `(class "mes" (path "/mes") (bound 3s) (aim 5s) (deadline 15s))`, scriptClickHouse(t, asked),
				func(c *config.Config) {
					c.Settings.StaleReads, c.Settings.MayCheckHealth = decide.StaleReadsRefused, false
				})
			first := w.ask("first")
			held := next()
			if held.path != "/replicas_status" {
				t.Fatalf("asked %q", held.path)
			}
			c.then(w, first, held)()
			waits := first
			want := "first"
			if c.leaves {
				waits, want = w.ask("last"), "last"
			}
			for {
				a := next()
				switch {
				case a.path == "/replicas_status":
					a.answer(t, upToDate)
				case a.query == want && (c.leaves || a.server != held.server):
					a.answer(t, "1\n")
					if answer, err := waits.read(); err != nil || answer != "200 1\n" {
						t.Errorf("answered %q, %v", answer, err)
					}
					return
				default:
					t.Fatalf("query %q at %s, where %s had been asked for %s", a.query, a.server, held.server, "first")
				}
			}
		})
	}
}

// clickhouseClient is a client's connection to the ClickHouse front.
type clickhouseClient struct{ *net.TCPConn }

// ask opens a connection and puts a read with a bound.
func (w *clickhouseWorld) ask(id string) *clickhouseClient {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, "GET /mes?"+url.Values{"query": {"SELECT 1"}, "query_id": {id}}.Encode()+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		w.t.Fatal(err)
	}
	return &clickhouseClient{c.(*net.TCPConn)}
}

// read reads an answer.
func (p *clickhouseClient) read() (string, error) {
	res, err := http.ReadResponse(bufio.NewReader(p), nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return fmt.Sprintf("%d %s", res.StatusCode, b), err
}

// writeAs writes the list with one server in another state, or without it.
func (w *clickhouseWorld) writeAs(name, cycle string) {
	w.t.Helper()
	var parts []string
	for _, s := range w.servers {
		state := "up"
		if s.Name == name {
			state = cycle
		}
		if state != "" {
			parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"cell":%d,"lifecycle":%q,"weight":1}`, s.Name, s.Addr, houseGroup, state))
		}
	}
	if err := os.WriteFile(w.list, []byte(`{"instances":[`+strings.Join(parts, ",")+`]}`), 0o600); err != nil {
		w.t.Fatal(err)
	}
}
