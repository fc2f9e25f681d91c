package main

import (
	"bufio"
	"context"
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

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// onLoop runs f on the pooler's event loop and waits for it.
func (w *clickhouseFixture) onLoop(f func()) {
	done := make(chan struct{})
	w.p.loop.Post(func() { f(); close(done) })
	<-done
}

// TestClickHouseSessions checks that a session stays with one server whatever connection its queries come by, that it runs one query at a
// time, and that users do not share sessions. When the server drains or dies the session is lost: one query gets an error, and the session
// then starts again elsewhere.
func TestClickHouseSessions(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 3, "")
	ask := func(sql, session string, more ...string) string {
		v := url.Values{"session_id": {session}}
		for i := 0; i+1 < len(more); i += 2 {
			v.Set(more[i], more[i+1])
		}
		s, code, _, err := w.query("POST", sql, "", v)
		if err != nil {
			t.Errorf("query %q in session %s: %v", sql, session, err)
		}
		return fmt.Sprint(s, " ", code)
	}
	got := make([]string, 6) // more sessions than servers, all at once, so that they spread over several servers
	for _, s := range w.servers {
		s.SlowRead(20 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range got {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[i] = ask("CREATE TEMPORARY TABLE x /* TEMP */", fmt.Sprint("k", i))
		}()
	}
	wg.Wait()
	for i := range 18 {
		got = append(got, ask("SELECT * FROM x /* NEEDS */", fmt.Sprint("k", i%6)))
	}
	for _, g := range got {
		if g != "200 " {
			t.Fatalf("status and exception code of each query of the sessions: got %q, want \"200 \" for all", got)
		}
	}
	used := map[string]map[string]bool{}
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			if used[r.Session] == nil {
				used[r.Session] = map[string]bool{}
			}
			used[r.Session][s.Name] = true
		}
	}
	where := map[string]bool{}
	for k, servers := range used {
		for name := range servers {
			where[name] = true
		}
		if len(servers) != 1 {
			t.Errorf("servers of session %s: got %v, want one", k, servers)
		}
	}
	if len(where) < 2 {
		t.Errorf("servers of all sessions: got %v, want at least 2", where)
	}
	// A session runs one query at a time, and each user has its own.
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"SELECT /* HANG */"}, "session_id": {"k0"}, "query_id": {"h"}}.Encode(), nil)
		req.SetBasicAuth("escritorio", "secret")
		if res, err := w.client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	w.waitFor("the query runs", func() bool { return len(w.runs("h")) == 1 })
	if g := ask("SELECT 1", "k0"); g != "500 373" {
		t.Errorf("query to a session that runs another: got %q, want \"500 373\"", g)
	}
	if s, _, _, _ := w.query("POST", "SELECT 1", "", url.Values{"session_id": {"k0"}, "user": {"outro"}}); s != 200 {
		t.Errorf("another user's session with the same ID: status is %d, want 200", s)
	}
	cancel()
	w.waitFor("the session is free again", func() bool { return w.p.clickhouse != nil && ask("SELECT 1", "k0") == "200 " })
	if g := ask("SELECT 1", "never", "session_check", "1"); g != "404 372" {
		t.Errorf("session_check for a session that does not exist: got %q, want \"404 372\"", g)
	}
	// The server of session k1 drains: the session is lost, one query gets the error, and it starts again elsewhere.
	home := ""
	for name := range used["k1"] {
		home = name
	}
	w.writeList(home)
	w.hup <- syscall.SIGHUP
	w.waitFor("the server drains", func() bool {
		got := false
		w.onLoop(func() { e, _ := w.p.sources.members.Entry(home); got = e.State == 1 })
		return got
	})
	if g := []string{ask("SELECT /* NEEDS */", "k1"), ask("SELECT 1 /* TEMP */", "k1"), ask("SELECT /* NEEDS */", "k1")}; !cmp.Equal(g, []string{"404 372", "200 ", "200 "}) {
		t.Errorf("queries to a session whose server drains: got %q, want one \"404 372\" and then \"200 \" twice", g)
	}
	// The server of another session dies.
	for k, servers := range used {
		if servers[home] || k == "k1" || k == "" {
			continue
		}
		for _, s := range w.servers {
			if servers[s.Name] {
				s.Stop()
			}
		}
		var g []string
		for range 4 {
			g = append(g, ask("SELECT 1", k))
		}
		if !strings.Contains(strings.Join(g, ","), "404 372") || g[3] != "200 " {
			t.Errorf("queries to a session whose server died: got %q, want a \"404 372\" and \"200 \" at the end", g)
		}
		break
	}
}

// TestClickHouseProgressHeaders checks that progress header fields reach the client while its query runs, however many there are. The
// answer has begun with the first field, so the deadline no longer applies.
func TestClickHouseProgressHeaders(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "(deadline 300ms) (aim 300ms)")
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "GET /?"+url.Values{"query": {"SELECT /* PROGRESS 200 */"}, "query_id": {"p"}, "send_progress_in_http_headers": {"1"}}.Encode()+" HTTP/1.1\r\nHost: h\r\n\r\n")
	in := bufio.NewReader(c)
	fields, early := 0, false
	for {
		l, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("reading the answer's header after %d progress fields: %v", fields, err)
		}
		if l == "\r\n" {
			break
		}
		if strings.HasPrefix(l, "X-ClickHouse-Progress") {
			if fields++; fields == 1 {
				r := w.runs("p")
				early = len(r) == 1 && !r[0].Ended
			}
		}
	}
	body, err := in.ReadString('\r')
	if err != nil || fields != 200 || !early || body != "2\r" {
		t.Errorf("progress fields: got %d, the first before the query's end: %v, body %q, error %v; want 200, true, \"2\\r\"", fields, early, body, err)
	}
	answer, err := w.rawRequest("GET /?" + url.Values{"query": {"SELECT /* PROGRESS 3 */"}, "send_progress_in_http_headers": {"1"}}.Encode() + " HTTP/1.0\r\n\r\n")
	if err != nil || !strings.HasSuffix(answer, "Connection: close\r\n\r\n1\n") || strings.Contains(answer, "Transfer-Encoding") || strings.Count(answer, "Progress") != 3 {
		t.Errorf("answer with progress fields to an HTTP/1.0 client: got %q, error %v, want 3 fields, Connection: close and body 1", answer, err)
	}
}

// holdUntilAllAsked makes servers hold reads without a staleness bound until each server has one, so that the reads overlap however slow
// the machine is. Reads that do not overlap may all go to one server.
func holdUntilAllAsked(servers []*clickhouseserver.Server) {
	asked, all := make([]sync.Once, len(servers)), make(chan struct{})
	var remaining atomic.Int32
	remaining.Store(int32(len(servers)))
	for i, server := range servers {
		server.Answer(func(_ http.ResponseWriter, r *http.Request, run *clickhouseserver.Run, _ []byte) bool {
			if !strings.HasPrefix(run.ID, "a") {
				return false
			}
			asked[i].Do(func() {
				if remaining.Add(-1) == 0 {
					close(all)
				}
			})
			select {
			case <-all:
			case <-r.Context().Done():
			}
			return false
		})
	}
}

// TestClickHouseStalenessBounds checks that reads with a staleness bound go only to servers whose data is known to be that recent, whether
// health checks report the lag in advance or the frontend asks before each read, and that they are refused when no server qualifies.
// Writes and reads without a bound go to any server.
func TestClickHouseStalenessBounds(t *testing.T) {
	t.Parallel()
	for _, policy := range []decide.StaleReadPolicy{decide.StaleReadsAnswered, decide.StaleReadsRefused} {
		w := startClickHouseAs(t, 3, `(deadline 2s) (aim 1s) (class "mes" (path "/mes") (bound 3s) (aim 1s) (deadline 1500ms))`, func(s []*clickhouseserver.Server) {
			s[1].SetLag(60)
			s[2].SetLag(-1)
			holdUntilAllAsked(s)
		}, func(c *config.Config) { c.Settings.StaleReads, c.Settings.MayCheckHealth = policy, true })
		ask := func(path, sql, id string) int {
			res, err := w.client.Get("http://" + w.addr + path + "?" + url.Values{"query": {sql}, "query_id": {id}}.Encode())
			if err != nil {
				t.Errorf("query %s at path %s: %v", id, path, err)
				return 0
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			return res.StatusCode
		}
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if s := ask("/", "SELECT /* SLOW 5 */", fmt.Sprint("a", i)); s != 200 {
					t.Errorf("%v: read without a bound: status is %d, want 200", policy, s)
				}
			}()
		}
		for i := range 20 {
			if s := ask("/mes", "SELECT 1", fmt.Sprint("b", i)); s != 200 {
				t.Errorf("%v: read with a bound: status is %d, want 200", policy, s)
			}
		}
		wg.Wait()
		for i, s := range w.servers[1:] {
			unbounded := 0
			for _, r := range s.Runs() {
				if strings.HasPrefix(r.ID, "b") {
					t.Errorf("%v: a read with a bound of 3 s ran at a server with a lag of %v s (-1: unknown)", policy, []int{60, -1}[i])
				} else {
					unbounded++
				}
			}
			if unbounded == 0 {
				t.Errorf("%v: no read without a bound went to server %d", policy, i+1)
			}
		}
		w.servers[0].SetLag(300)
		time.Sleep(3100 * time.Millisecond) // until the earlier lag reports are older than the bound of 3 s; a longer sleep changes nothing
		if s := ask("/mes", "SELECT 1", "late"); s != 503 {
			t.Errorf("%v: read with a bound, all servers behind: status is %d, want 503", policy, s)
		}
		if status, text := w.get("/replicas_status?verbose=1"); status != 200 || !strings.Contains(text, "Absolute delay: ") {
			t.Errorf("/replicas_status?verbose=1: got %d %q, want 200 and a text with \"Absolute delay: \"", status, text)
		}
		if status, text := w.get("/replicas_status"); status != 200 || text != "Ok.\n" {
			t.Errorf("/replicas_status: got %d %q, want 200 \"Ok.\\n\"", status, text)
		}
	}
}

// get sends a GET for the path and returns the status and body.
func (w *clickhouseFixture) get(path string) (int, string) {
	res, err := w.client.Get("http://" + w.addr + path)
	if err != nil {
		w.t.Fatal(err)
	}
	b, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, string(b)
}

// TestClickHouseSmuggling checks that a request whose length two parsers could read differently is refused and its connection closed, and
// that neither it nor the request behind it reaches a server.
func TestClickHouseSmuggling(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "")
	const host = " HTTP/1.1\r\nHost: h\r\n"
	nextRequest := "GET /?query=SELECT+2 HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct{ text, status string }{
		{"POST /?query=INSERT" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: 5, 5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: -5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: -0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: +5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: 0x5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: 99999999999999999999\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Content-Length: \r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Content-Length : 5\r\n\r\nhello", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "501"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + " Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "X: a\r\n\tb\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "X: a\rTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "X: a\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "X: a\x00b\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "No colon\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + ": no name\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Host: other\r\n\r\n", "400"},
		{"POST /?query=INSERT HTTP/1.1\r\n\r\n", "400"},
		{"POST /?query=INSERT HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT HTTP/2.0\r\nHost: h\r\n\r\n", "400"},
		{"POST  /?query=INSERT HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		{"POST /?query=INSERT x HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n5;a=\"\n\"\r\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n-1\r\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n5_0\r\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n fffffffffffffffff\r\nhello\r\n0\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\nbad trailer\r\n\r\n", "400"},
		{"POST /?query=INSERT" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n folded: x\r\n\r\n", "400"},
		{"\r\nGET /?query=SELECT+1" + host + "\r\n", "400"},
		{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", "400"}, // TLS
		{"\x00\x00\x00\x08\x04\xd2\x16\x2f\r\n\r\n", "400"},             // PostgreSQL
		{"GET /?query=SELECT" + host + strings.Repeat("A: b\r\n", 200) + "\r\n", "431"},
		{"GET /?query=" + strings.Repeat("x", 1<<17) + host + "\r\n", "431"},
		{"GET http://other/?query=SELECT+1" + host + "\r\n", "400"},
		{"CONNECT other:80" + host + "\r\n", "400"},
	} {
		answer, err := w.rawRequest(c.text + nextRequest)
		if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 "+c.status+" ") || strings.Count(answer, "HTTP/1.1 ") != 1 {
			t.Errorf("request %.90q: answer is %.120q, error %v, want one answer with status %s", c.text, answer, err, c.status)
		}
	}
	if r := w.runs(""); len(r) != 0 {
		t.Errorf("requests that the server received: got %+v, want none", r)
	}
}

// TestClickHouseSlowClients checks that clients that stop in the middle of a request, and one that reads nothing, are disconnected when
// their time is over, that others are served meanwhile, and that the buffered bytes stay bounded.
func TestClickHouseSlowClients(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "(head 400ms) (stall 400ms)", func(c *config.Config) { c.Limits.MemoryMB = 32 })
	var open []net.Conn
	for i := range 150 {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, []string{"GET /?qu", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nSEL", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9"}[i%3])
		open = append(open, c)
	}
	stuck, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stuck.Close() }()
	_, _ = io.WriteString(stuck, "GET /?query=SELECT+/*+ROWS+100000+*/&query_id=stuck HTTP/1.1\r\nHost: h\r\n\r\n")
	w.waitFor("the query runs", func() bool { return len(w.runs("stuck")) == 1 })
	for range 20 {
		if s, _, _, err := w.query("GET", "SELECT 1", "", nil); s != 200 || err != nil {
			t.Errorf("another client's query: status is %d, error %v, want 200", s, err)
		}
	}
	w.onLoop(func() {
		if n := w.p.clickhouse.Buffered() + w.p.clickhouse.Unsent(); n > 4<<20 {
			t.Errorf("buffered bytes: got %d, want at most %d", n, 4<<20)
		}
	})
	for _, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, syscall.ETIMEDOUT) {
			t.Errorf("connection of a client that stopped within a request is not closed within %v: %v", testTimeout, err)
		}
	}
	w.waitFor("the query of the client that reads nothing is cancelled", func() bool { return w.runs("stuck")[0].Cancelled })
}
