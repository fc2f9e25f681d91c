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

// onLoop runs a function on the pooler's loop, and waits for it.
func (w *clickhouseWorld) onLoop(f func()) {
	done := make(chan struct{})
	w.p.loop.Post(func() { f(); close(done) })
	<-done
}

// TestClickHouseSessions: a session stays with one server, whatever connection it comes by; one query at a time; where its server
// drains or dies it is lost, which is said once, and begins anew; nothing of one user is another's.
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
			t.Error(err)
		}
		return fmt.Sprint(s, " ", code)
	}
	got := make([]string, 6) // more than servers, and all at once, so that they go to several
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
			t.Fatalf("%q", got)
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
			t.Errorf("session %s was at %v", k, servers)
		}
	}
	if len(where) < 2 {
		t.Errorf("all sessions are at %v", where)
	}
	// One at a time, and each user's own.
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"SELECT /* HANG */"}, "session_id": {"k0"}, "query_id": {"h"}}.Encode(), nil)
		req.SetBasicAuth("escritorio", "secret")
		if res, err := w.client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	w.wait("it runs", func() bool { return len(w.runs("h")) == 1 })
	if g := ask("SELECT 1", "k0"); g != "500 373" {
		t.Errorf("a locked session: %s", g)
	}
	if s, _, _, _ := w.query("POST", "SELECT 1", "", url.Values{"session_id": {"k0"}, "user": {"outro"}}); s != 200 {
		t.Errorf("another user's of that name: %d", s)
	}
	cancel()
	w.wait("it is free again", func() bool { return w.p.clickhouse != nil && ask("SELECT 1", "k0") == "200 " })
	if g := ask("SELECT 1", "never", "session_check", "1"); g != "404 372" {
		t.Errorf("a session that should be there: %s", g)
	}
	// Its server drains: lost, once, and anew elsewhere.
	home := ""
	for name := range used["k1"] {
		home = name
	}
	w.write(home)
	w.hup <- syscall.SIGHUP
	w.wait("it drains", func() bool {
		got := false
		w.onLoop(func() { e, _ := w.p.sources.members.Entry(home); got = e.State == 1 })
		return got
	})
	if g := []string{ask("SELECT /* NEEDS */", "k1"), ask("SELECT 1 /* TEMP */", "k1"), ask("SELECT /* NEEDS */", "k1")}; !cmp.Equal(g, []string{"404 372", "200 ", "200 "}) {
		t.Errorf("%q", g)
	}
	// Another's server dies.
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
			t.Errorf("its server died: %q", g)
		}
		break
	}
}

// TestClickHouseProgress: fields of progress reach the client while its query runs, however many there are; the answer has begun
// with the first, so that the deadline holds no more.
func TestClickHouseProgress(t *testing.T) {
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
			t.Fatalf("after %d fields: %v", fields, err)
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
		t.Errorf("%d fields, before its end: %v, %q %v", fields, early, body, err)
	}
	answer, err := w.raw("GET /?" + url.Values{"query": {"SELECT /* PROGRESS 3 */"}, "send_progress_in_http_headers": {"1"}}.Encode() + " HTTP/1.0\r\n\r\n")
	if err != nil || !strings.HasSuffix(answer, "Connection: close\r\n\r\n1\n") || strings.Contains(answer, "Transfer-Encoding") || strings.Count(answer, "Progress") != 3 {
		t.Errorf("%q %v", answer, err)
	}
}

// holdUntilAllAsked has servers hold reads without a bound until each has one, so that they overlap however slow the machine is: one after the other
// they might all go to one server, and rightly so.
func holdUntilAllAsked(servers []*clickhouseserver.Server) {
	asked, all := make([]sync.Once, len(servers)), make(chan struct{})
	var left atomic.Int32
	left.Store(int32(len(servers)))
	for i, server := range servers {
		server.Answer(func(_ http.ResponseWriter, r *http.Request, run *clickhouseserver.Run, _ []byte) bool {
			if !strings.HasPrefix(run.ID, "a") {
				return false
			}
			asked[i].Do(func() {
				if left.Add(-1) == 0 {
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

// TestClickHouseBounds: reads with a bound go only to servers whose data is known to be so new, whether the module asks for that
// ahead or the front does before each; where none is, they are refused; writes and reads without one go anywhere.
func TestClickHouseBounds(t *testing.T) {
	t.Parallel()
	for _, behind := range []decide.StaleReadPolicy{decide.StaleReadsAnswered, decide.StaleReadsRefused} {
		w := startClickHouseAs(t, 3, `(deadline 2s) (aim 1s) (class "mes" (path "/mes") (bound 3s) (aim 1s) (deadline 1500ms))`, func(s []*clickhouseserver.Server) {
			s[1].SetLag(60)
			s[2].SetLag(-1)
			holdUntilAllAsked(s)
		}, func(c *config.Config) { c.Settings.StaleReads, c.Settings.MayCheckHealth = behind, true })
		ask := func(path, sql, id string) int {
			res, err := w.client.Get("http://" + w.addr + path + "?" + url.Values{"query": {sql}, "query_id": {id}}.Encode())
			if err != nil {
				t.Error(err)
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
					t.Errorf("%v: without a bound: %d", behind, s)
				}
			}()
		}
		for i := range 20 {
			if s := ask("/mes", "SELECT 1", fmt.Sprint("b", i)); s != 200 {
				t.Errorf("%v: %d", behind, s)
			}
		}
		wg.Wait()
		for i, s := range w.servers[1:] {
			free := 0
			for _, r := range s.Runs() {
				if strings.HasPrefix(r.ID, "b") {
					t.Errorf("%v: a read with a bound of 10 s at a server that is %v s behind", behind, []int{60, -1}[i])
				} else {
					free++
				}
			}
			if free == 0 {
				t.Errorf("%v: none without one went to server %d", behind, i+1)
			}
		}
		w.servers[0].SetLag(300)
		time.Sleep(3100 * time.Millisecond) // until what was told before is older than the bound; longer changes nothing
		if s := ask("/mes", "SELECT 1", "late"); s != 503 {
			t.Errorf("%v: all are behind: %d", behind, s)
		}
		if status, text := w.get("/replicas_status?verbose=1"); status != 200 || !strings.Contains(text, "Absolute delay: ") {
			t.Errorf("%d %q", status, text)
		}
		if status, text := w.get("/replicas_status"); status != 200 || text != "Ok.\n" {
			t.Errorf("%d %q", status, text)
		}
	}
}

func (w *clickhouseWorld) get(path string) (int, string) {
	res, err := w.client.Get("http://" + w.addr + path)
	if err != nil {
		w.t.Fatal(err)
	}
	b, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, string(b)
}

// TestClickHouseSmuggling: what two readers could read as two messages is refused, and its connection closed; none of it reaches a
// server, nor what stands behind it.
func TestClickHouseSmuggling(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "")
	const host = " HTTP/1.1\r\nHost: h\r\n"
	behind := "GET /?query=SELECT+2 HTTP/1.1\r\nHost: h\r\n\r\n"
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
		answer, err := w.raw(c.text + behind)
		if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 "+c.status+" ") || strings.Count(answer, "HTTP/1.1 ") != 1 {
			t.Errorf("%.90q: %.120q %v", c.text, answer, err)
		}
	}
	if r := w.runs(""); len(r) != 0 {
		t.Errorf("these came to the server: %+v", r)
	}
}

// TestClickHouseSlow: clients that send a byte now and then, and one that reads nothing, are ended in their time; others are served
// meanwhile, and what is held stays bounded.
func TestClickHouseSlow(t *testing.T) {
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
	w.wait("it runs", func() bool { return len(w.runs("stuck")) == 1 })
	for range 20 {
		if s, _, _, err := w.query("GET", "SELECT 1", "", nil); s != 200 || err != nil {
			t.Errorf("another: %d %v", s, err)
		}
	}
	w.onLoop(func() {
		if n := w.p.clickhouse.Buffered() + w.p.clickhouse.Unsent(); n > 4<<20 {
			t.Errorf("%d bytes are held", n)
		}
	})
	for _, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, syscall.ETIMEDOUT) {
			t.Error(err)
		}
	}
	w.wait("the one that reads nothing is ended", func() bool { return w.runs("stuck")[0].Cancelled })
}
