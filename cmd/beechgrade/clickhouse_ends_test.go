package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/config"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// TestClickHouseCancelPhases checks that a client that disconnects is released at once in every phase: while its query waits in its
// user's queue, for capacity, for a connection or for its answer, and during the answer. A query that had not been sent does not run.
func TestClickHouseCancelPhases(t *testing.T) {
	fullListener, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0) // with its backlog full, so that connection attempts hang
	if err != nil {
		t.Fatalf("socket that accepts nothing: %v", err)
	}
	defer func() { _ = unix.Close(fullListener) }()
	if err := errors.Join(unix.Bind(fullListener, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fullListener, 0)); err != nil {
		t.Fatalf("listening on the socket that accepts nothing: %v", err)
	}
	sa, _ := unix.Getsockname(fullListener)
	fullListenerAddr := fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	for range 2 {
		c, err := net.DialTimeout("tcp", fullListenerAddr, 100*time.Millisecond)
		if err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	for _, c := range []struct {
		phase, settings, sql string
		ready                func(w *clickhouseFixture) bool
		prepare              func(w *clickhouseFixture)
		runs                 int
	}{
		{phase: "queued", settings: `(user "default" (queries 1) (queue 5) (wait 15s))`, sql: "SELECT 1", prepare: func(w *clickhouseFixture) {
			go func() {
				if res, err := w.client.Get("http://" + w.addr + "/?query=SELECT+/*+HANG+*/&query_id=first"); err == nil {
					_ = res.Body.Close()
				}
			}()
			w.waitFor("the first query runs", func() bool { return len(w.runs("first")) == 1 })
		}, ready: func(w *clickhouseFixture) (is bool) {
			w.onLoop(func() { is = w.p.clickhouse.Waiting() == 1 })
			return is
		}},
		{phase: "waiting for capacity", sql: "SELECT 1", prepare: func(w *clickhouseFixture) { w.servers[0].RejectConnections(true) },
			ready: func(w *clickhouseFixture) (is bool) {
				w.onLoop(func() { is = w.p.core.OpenRequests() == 1 })
				return is
			}},
		{phase: "connecting", sql: "SELECT 1", prepare: func(w *clickhouseFixture) {
			w.servers[0].Addr = fullListenerAddr
			w.writeList()
			w.hup <- syscall.SIGHUP
			w.waitFor("the pooler has the new address", func() (is bool) {
				w.onLoop(func() { e, _ := w.p.sources.members.Entry("h0"); is = e.Address == fullListenerAddr })
				return is
			})
		}, ready: func(w *clickhouseFixture) (is bool) {
			w.onLoop(func() { is = w.p.core.OpenRequests() == 1 && w.p.clickhouse.Conns() == 1 })
			return is
		}},
		{phase: "sent", sql: "SELECT /* HANG */", ready: func(w *clickhouseFixture) bool { return len(w.runs("q")) == 1 }, runs: 1},
		{phase: "streaming", sql: "SELECT /* SLOW 100000 */", ready: func(w *clickhouseFixture) bool { return len(w.runs("q")) == 1 }, runs: 1},
	} {
		t.Run(c.phase, func(t *testing.T) {
			w := startClickHouse(t, 1, c.settings)
			if c.prepare != nil {
				c.prepare(w)
			}
			w.t = t
			sessions := 0
			w.onLoop(func() { sessions = w.p.clickhouse.Clients() })
			conn, err := net.Dial("tcp", w.addr)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "GET /?"+url.Values{"query": {c.sql}, "query_id": {"q"}}.Encode()+" HTTP/1.1\r\nHost: h\r\n\r\n")
			w.waitFor(c.phase, func() bool { return c.ready(w) })
			if c.phase == "streaming" {
				_, _ = bufio.NewReader(conn).ReadString('\n')
			}
			open := 0
			w.onLoop(func() { open = w.p.core.OpenRequests() })
			_ = conn.Close()
			w.waitFor("the query is released in the loop iteration that ends its session", func() (is bool) {
				w.onLoop(func() {
					if w.p.clickhouse.Clients() > sessions {
						return
					}
					if is = true; c.phase != "queued" && c.phase != "streaming" && w.p.core.OpenRequests() >= open {
						t.Errorf("open queries after the client has disconnected: got %d, want fewer than the %d before", w.p.core.OpenRequests(), open)
					}
					if w.p.clickhouse.Waiting() != 0 {
						t.Error("the client has disconnected, and its query still waits in the queue")
					}
				})
				return is
			})
			if c.runs > 0 {
				w.waitFor("the server sees the cancellation", func() bool { r := w.runs("q"); return len(r) == 1 && r[0].Cancelled })
			} else if c.phase == "waiting for capacity" {
				sent := uint64(0) // attempts under way when the client disconnected must not reach a server that accepts them
				w.onLoop(func() { sent = w.p.core.Metrics().Attempts })
				w.waitFor("all attempts were rejected", func() bool { return uint64(w.servers[0].Rejected()) == sent })
				w.servers[0].RejectConnections(false)
				if s, _, _, err := w.query("GET", "SELECT 1", "", withQueryID("next")); s != 200 || err != nil {
					t.Errorf("query after the disconnected one: status is %d, error %v, want 200", s, err)
				}
			}
			if n := len(w.runs("q")); n != c.runs {
				t.Errorf("runs of the query: got %d, want %d", n, c.runs)
			}
		})
	}
}

// TestClickHouseHedgedReads checks that the client gets exactly one complete answer when a read is hedged and both servers answer at the
// same moment.
func TestClickHouseHedgedReads(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "", func(c *config.Config) { c.Settings.MayCheckHealth = true })
	for i := range 20 { // so that the pooler knows how long a query takes
		if s, _, _, err := w.query("GET", "SELECT 1", "", withQueryID(fmt.Sprint("w", i))); s != 200 || err != nil {
			t.Fatalf("warm-up query %d: status is %d, error %v, want 200", i, s, err)
		}
	}
	answers := make([]string, 24)
	copied := map[string]chan struct{}{}
	for i := range answers {
		copied[fmt.Sprint("q", i)] = make(chan struct{})
	}
	for k, s := range w.servers {
		s.Answer(func(rw http.ResponseWriter, r *http.Request, run *clickhouseserver.Run, _ []byte) bool {
			c := copied[run.ID]
			switch {
			case c == nil:
				return false
			case k == 0: // holds the query until the other server has it too
				select {
				case <-c:
				case <-r.Context().Done():
				}
			default:
				close(c)
			}
			_, _ = fmt.Fprintf(rw, "%s %s", s.Name, run.ID)
			return true
		})
	}
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, _, text, err := w.query("GET", "SELECT 2", "", withQueryID(fmt.Sprint("q", i)))
			answers[i] = fmt.Sprint(s, " ", text, " ", err)
		}()
	}
	wg.Wait()
	both := 0
	for i, a := range answers {
		q := fmt.Sprint("q", i)
		if a != "200 h0 "+q+" <nil>" && a != "200 h1 "+q+" <nil>" {
			t.Errorf("answer to hedged read %s is %q, want one complete answer of h0 or h1", q, a)
		}
		if len(w.runs(q)) == 2 {
			both++
		}
	}
	if both == 0 {
		t.Error("no query reached both servers, so no read was hedged")
	}
	if s, _, _, err := w.query("GET", "SELECT 1", "", nil); s != 200 || err != nil {
		t.Errorf("query after the hedged reads: status is %d, error %v, want 200", s, err)
	}
}

// TestClickHouseServerDiesDuringAnswer checks that, wherever in its answer a server dies, the client gets one final result that it can distinguish
// from a complete answer. The read is retried only if no valid header of the answer had arrived.
func TestClickHouseServerDiesDuringAnswer(t *testing.T) {
	for _, c := range []struct{ name, answer, want string }{
		{"before anything", "", "503 202"},
		{"within the header", "HTTP/1.1 200 OK\r\nContent-Ty", "503 202"},
		{"after the header", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "broken"},
		{"within a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", "broken"},
		{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123", "broken"},
		{"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "broken"},
		{"before the trailer's end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n", "broken"},
		{"with a malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "broken"},
		{"with no HTTP", "SSH-2.0-x\r\n\r\n", "503 202"},
		{"with two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "503 202"},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n", "200 1\n"},
		{"whole, delimited by the connection's end", "HTTP/1.1 200 OK\r\n\r\n1\n", "200 1\n"},
	} {
		for _, minor := range []int{1, 0} {
			t.Run(fmt.Sprintf("%s, HTTP/1.%d", c.name, minor), func(t *testing.T) {
				var requests atomic.Int64
				s, err := clickhouseserver.StartRaw(func(conn net.Conn, _ *bufio.Reader, _ string) {
					requests.Add(1)
					_, _ = io.WriteString(conn, c.answer)
				})
				if err != nil {
					t.Fatalf("starting the raw server: %v", err)
				}
				defer s.Stop()
				w := startClickHouse(t, 0, "(deadline 600ms) (aim 600ms)")
				w.servers = []*clickhouseserver.Server{{Name: "raw", Addr: s.Addr}}
				w.writeList()
				w.hup <- syscall.SIGHUP
				w.waitForSummary("1 servers, 0 removals held back")
				w.servers = nil
				answer, err := w.rawRequest(fmt.Sprintf("GET /?query=SELECT+1 HTTP/1.%d\r\nHost: h\r\nConnection: close\r\n\r\n", minor))
				got := "broken"
				if err == nil {
					if res, e := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil); e == nil {
						if b, e := io.ReadAll(res.Body); e == nil {
							got = fmt.Sprint(res.StatusCode, " ", res.Header.Get("X-ClickHouse-Exception-Code"))
							if res.StatusCode == 200 {
								got = "200 " + string(b)
							}
						}
					}
				}
				if got != c.want {
					t.Errorf("result is %q, want %q; answer %q, error %v", got, c.want, answer, err)
				}
				if n := requests.Load(); (c.want == "503 202") != (n > 1) {
					t.Errorf("requests at the server: got %d for an expected result %q, want more than one only for \"503 202\"", n, c.want)
				}
			})
		}
	}
}
