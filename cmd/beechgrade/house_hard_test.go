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

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/kit/standin/house"
)

// raw puts a raw request, and reads its answer up to the connection's end.
func (w *houseWorld) raw(text string) (answer string, err error) {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// onLoop runs a function on the pooler's loop, and waits for it.
func (w *houseWorld) onLoop(f func()) {
	done := make(chan struct{})
	w.p.loop.Post(func() { f(); close(done) })
	<-done
}

// filler is a body of so many bytes, each piece of it another.
type filler struct {
	left int64
	sum  *xxhash.Digest
	then error // in place of its end
}

func (f *filler) Read(p []byte) (int, error) {
	if f.left == 0 {
		if f.then != nil {
			return 0, f.then
		}
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), f.left))
	for i := range n {
		p[i] = byte((f.left - int64(i)) * 7 >> 3)
	}
	f.left -= int64(n)
	_, _ = f.sum.Write(p[:n])
	return n, nil
}

func (w *houseWorld) upload(id string, f *filler, length int64) (status int, code string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT INTO t FORMAT TSV"}, "query_id": {id}}.Encode(), f)
	if err != nil {
		return 0, "", err
	}
	req.ContentLength = length // -1 for chunks
	res, err := w.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("X-ClickHouse-Exception-Code"), err
}

// TestHouseUploads: a body far beyond the memory passes whole, by length and in chunks, to a server that reads slowly too, and
// with a bound on what is held; one that is longer than any may be is refused, before its end or once that shows.
func TestHouseUploads(t *testing.T) {
	w := houses(t, 2, "(hold 64k) (most-body 40m)", func(c *config.Config) { c.Limits.MemoryMB = 16 })
	w.servers[0].SlowRead(time.Millisecond)
	w.servers[1].SlowRead(time.Millisecond)
	var most atomic.Int64
	stop, looked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(looked)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				w.onLoop(func() { most.Store(max(most.Load(), int64(w.p.house.Unsent()+w.p.house.Held()))) })
			}
		}
	}()
	for i, length := range []int64{32 << 20, -1} {
		f, id := &filler{left: 32 << 20, sum: xxhash.New()}, fmt.Sprint("u", i)
		if s, _, err := w.upload(id, f, length); s != 200 || err != nil {
			t.Errorf("%d %v", s, err)
		}
		if r := w.runs(id); len(r) != 1 || !r[0].Kept || r[0].Bytes != 32<<20 || r[0].Sum != f.sum.Sum64() {
			t.Errorf("%+v", r)
		}
	}
	close(stop)
	<-looked
	if n := most.Load(); n > 4<<20 || n == 0 {
		t.Errorf("%d bytes were held for one body", n)
	}
	for i, length := range []int64{41 << 20, -1} {
		id := fmt.Sprint("l", i)
		if s, code, err := w.upload(id, &filler{left: 41 << 20, sum: xxhash.New()}, length); err == nil && (s != 413 || code != "36") {
			t.Errorf("too long: %d %s", s, code)
		}
		w.wait("nothing of it stays", func() bool {
			for _, r := range w.runs(id) {
				if r.Kept {
					t.Fatalf("%+v", r)
				}
			}
			return len(w.runs(id)) <= 1
		})
	}
}

// TestHouseUploadBreaks: a body that breaks off is broken off at its server too, and never made whole by another; where the
// server breaks, the client is told once, and nothing is sent again; one whose rest does not come is answered.
func TestHouseUploadBreaks(t *testing.T) {
	w := houses(t, 1, "(hold 16k) (head 300ms)")
	if s, _, err := w.upload("c", &filler{left: 4 << 20, sum: xxhash.New(), then: errors.New("it is broken")}, 8<<20); err == nil {
		t.Errorf("%d", s)
	}
	w.wait("the server has seen its end", func() bool { r := w.runs("c"); return len(r) == 1 && r[0].Bytes > 0 })
	if r := w.runs("c"); r[0].Kept {
		t.Errorf("half a body was taken for whole: %+v", r)
	}
	answer, err := w.raw("POST /?query=INSERT&query_id=s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000))
	if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 408 ") || !strings.Contains(answer, "Code: 159") {
		t.Errorf("%q %v", answer, err)
	}
	w.wait("the server has seen its end", func() bool { r := w.runs("s"); return len(r) == 1 && r[0].Bytes > 0 && !r[0].Kept })
	got := make(chan string, 1)
	began := make(chan struct{})
	go func() {
		r, pipe := io.Pipe()
		go func() {
			_, _ = pipe.Write(make([]byte, 1<<20))
			close(began)
			for {
				if _, err := pipe.Write(make([]byte, 1<<10)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		res, err := w.client.Post("http://"+w.addr+"/?query=INSERT&query_id=d", "text/plain", r)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- fmt.Sprint(res.StatusCode, " ", res.Header.Get("X-ClickHouse-Exception-Code"))
		_ = res.Body.Close()
	}()
	<-began
	w.wait("it runs", func() bool { return len(w.runs("d")) == 1 })
	w.servers[0].Stop()
	if g := <-got; g != "502 210" {
		t.Errorf("the server died: %s", g)
	}
	if n := len(w.runs("d")); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// TestHouseEarly: a server that answers before it has read a body gives the one answer, and the connection ends behind it.
func TestHouseEarly(t *testing.T) {
	w := houses(t, 2, "(hold 16k)")
	for i := range 4 {
		req, _ := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT /* EARLY 241 */"}, "query_id": {fmt.Sprint("e", i)}}.Encode(), &filler{left: 1 << 20, sum: xxhash.New()})
		req.ContentLength = 1 << 20
		res, err := w.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _ = res.Body.Close(); res.StatusCode != 500 || res.Header.Get("X-ClickHouse-Exception-Code") != "241" {
			t.Errorf("%v", res)
		}
		if n := len(w.runs(fmt.Sprint("e", i))); n != 1 {
			t.Errorf("it ran %d times", n)
		}
	}
}

// TestHouseSessions: a session stays with one server, whatever connection it comes by; one query at a time; where its server
// drains or dies it is lost, which is said once, and begins anew; nothing of one user is another's.
func TestHouseSessions(t *testing.T) {
	w := houses(t, 3, "")
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
	w.wait("it is free again", func() bool { return w.p.house != nil && ask("SELECT 1", "k0") == "200 " })
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

// TestHouseProgress: fields of progress reach the client while its query runs, however many there are; the answer has begun
// with the first, so that the deadline holds no more.
func TestHouseProgress(t *testing.T) {
	w := houses(t, 1, "(deadline 300ms) (aim 300ms)")
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
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

// TestHouseBounds: reads with a bound go only to servers whose data is known to be so new, whether the module asks for that
// ahead or the front does before each; where none is, they are refused; writes and reads without one go anywhere.
func TestHouseBounds(t *testing.T) {
	for _, behind := range []decide.Behind{decide.BehindAnswers, decide.BehindRefuses} {
		w := housesAs(t, 3, `(deadline 2s) (aim 1s) (class "mes" (path "/mes") (bound 3s) (aim 1s) (deadline 1500ms))`, func(s []*house.Server) { s[1].Lag(60); s[2].Lag(-1) }, func(c *config.Config) { c.Settings.Behind, c.Settings.MayProbe = behind, true })
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
		w.servers[0].Lag(300)
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

func (w *houseWorld) get(path string) (int, string) {
	res, err := w.client.Get("http://" + w.addr + path)
	if err != nil {
		w.t.Fatal(err)
	}
	b, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, string(b)
}

// TestHouseSmuggling: what two readers could read as two messages is refused, and its connection closed; none of it reaches a
// server, nor what stands behind it.
func TestHouseSmuggling(t *testing.T) {
	w := houses(t, 1, "")
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

// TestHouseSlow: clients that send a byte now and then, and one that reads nothing, are ended in their time; others are served
// meanwhile, and what is held stays bounded.
func TestHouseSlow(t *testing.T) {
	w := houses(t, 1, "(head 400ms) (stall 400ms)", func(c *config.Config) { c.Limits.MemoryMB = 32 })
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
		if n := w.p.house.Held() + w.p.house.Unsent(); n > 4<<20 {
			t.Errorf("%d bytes are held", n)
		}
	})
	for _, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, syscall.ETIMEDOUT) {
			t.Error(err)
		}
	}
	w.wait("the one that reads nothing is ended", func() bool { return w.runs("stuck")[0].Cancelled })
}

// TestHouseCancelPhases: a client that goes is forgotten at once in every phase: while it waits behind its user's others, for
// room, for a connection, for its answer, and in its midst; its query does not run where it had not been sent.
func TestHouseCancelPhases(t *testing.T) {
	deaf, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0) // a listener whose queue is full: connections hang
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(deaf) }()
	if err := errors.Join(unix.Bind(deaf, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(deaf, 0)); err != nil {
		t.Fatal(err)
	}
	sa, _ := unix.Getsockname(deaf)
	deafAddr := fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	for range 2 {
		c, err := net.DialTimeout("tcp", deafAddr, 100*time.Millisecond)
		if err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	for _, c := range []struct {
		phase, settings, sql string
		ready                func(w *houseWorld) bool
		prepare              func(w *houseWorld)
		runs                 int
	}{
		{phase: "queued", settings: `(user "default" (queries 1) (queue 5) (wait 15s))`, sql: "SELECT 1", prepare: func(w *houseWorld) {
			go func() {
				if res, err := w.client.Get("http://" + w.addr + "/?query=SELECT+/*+HANG+*/&query_id=first"); err == nil {
					_ = res.Body.Close()
				}
			}()
			w.wait("the first runs", func() bool { return len(w.runs("first")) == 1 })
		}, ready: func(w *houseWorld) (is bool) { w.onLoop(func() { is = w.p.house.Waiting() == 1 }); return is }},
		{phase: "held for room", sql: "SELECT 1", prepare: func(w *houseWorld) { w.servers[0].Full(true) },
			ready: func(w *houseWorld) (is bool) { w.onLoop(func() { is = w.p.core.Open() == 1 }); return is }},
		{phase: "connecting", sql: "SELECT 1", prepare: func(w *houseWorld) {
			w.servers[0].Addr = deafAddr
			w.write()
			w.hup <- syscall.SIGHUP
			w.wait("it is there", func() (is bool) {
				w.onLoop(func() { e, _ := w.p.sources.members.Entry("h0"); is = e.Address == deafAddr })
				return is
			})
		}, ready: func(w *houseWorld) (is bool) {
			w.onLoop(func() { is = w.p.core.Open() == 1 && w.p.house.Conns() == 1 })
			return is
		}},
		{phase: "sent", sql: "SELECT /* HANG */", ready: func(w *houseWorld) bool { return len(w.runs("q")) == 1 }, runs: 1},
		{phase: "streaming", sql: "SELECT /* SLOW 100000 */", ready: func(w *houseWorld) bool { return len(w.runs("q")) == 1 }, runs: 1},
	} {
		t.Run(c.phase, func(t *testing.T) {
			w := houses(t, 1, c.settings)
			if c.prepare != nil {
				c.prepare(w)
			}
			w.t = t
			sessions := 0
			w.onLoop(func() { sessions = w.p.house.Sessions() })
			conn, err := net.Dial("tcp", w.addr)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "GET /?"+url.Values{"query": {c.sql}, "query_id": {"q"}}.Encode()+" HTTP/1.1\r\nHost: h\r\n\r\n")
			w.wait(c.phase, func() bool { return c.ready(w) })
			if c.phase == "streaming" {
				_, _ = bufio.NewReader(conn).ReadString('\n')
			}
			open := 0
			w.onLoop(func() { open = w.p.core.Open() })
			_ = conn.Close()
			w.wait("it is forgotten in the turn in which it goes", func() (is bool) {
				w.onLoop(func() {
					if w.p.house.Sessions() > sessions {
						return
					}
					if is = true; c.phase != "queued" && c.phase != "streaming" && w.p.core.Open() >= open {
						t.Errorf("it has gone, and %d queries are open of %d", w.p.core.Open(), open)
					}
					if w.p.house.Waiting() != 0 {
						t.Error("it has gone, and waits")
					}
				})
				return is
			})
			if c.runs > 0 {
				w.wait("the server sees it", func() bool { r := w.runs("q"); return len(r) == 1 && r[0].Cancelled })
			} else if c.phase == "held for room" {
				sent := uint64(0) // what was on its way when the client went must not come to a server that has room
				w.onLoop(func() { sent = w.p.core.Figures().Tries })
				w.wait("all that was sent was turned away", func() bool { return uint64(w.servers[0].Turned()) == sent })
				w.servers[0].Full(false)
				if s, _, _, err := w.query("GET", "SELECT 1", "", id("next")); s != 200 || err != nil {
					t.Errorf("the next: %d %v", s, err)
				}
			}
			if n := len(w.runs("q")); n != c.runs {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// TestHouseCopies: reads that one server keeps are copied to the other, and both answer at the same moment: the client has one
// answer, whole, of one of them.
func TestHouseCopies(t *testing.T) {
	w := houses(t, 2, "", func(c *config.Config) { c.Settings.MayProbe = true })
	for i := range 20 { // so that it is known how long one takes
		if s, _, _, err := w.query("GET", "SELECT 1", "", id(fmt.Sprint("w", i))); s != 200 || err != nil {
			t.Fatal(s, err)
		}
	}
	answers := make([]string, 24)
	copied := map[string]chan struct{}{}
	for i := range answers {
		copied[fmt.Sprint("q", i)] = make(chan struct{})
	}
	for k, s := range w.servers {
		s.Answer(func(rw http.ResponseWriter, r *http.Request, x *house.Run, _ []byte) bool {
			c := copied[x.ID]
			switch {
			case c == nil:
				return false
			case k == 0: // it keeps the query until the other one has it too
				select {
				case <-c:
				case <-r.Context().Done():
				}
			default:
				close(c)
			}
			_, _ = fmt.Fprintf(rw, "%s %s", s.Name, x.ID)
			return true
		})
	}
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, _, text, err := w.query("GET", "SELECT 2", "", id(fmt.Sprint("q", i)))
			answers[i] = fmt.Sprint(s, " ", text, " ", err)
		}()
	}
	wg.Wait()
	both := 0
	for i, a := range answers {
		q := fmt.Sprint("q", i)
		if a != "200 h0 "+q+" <nil>" && a != "200 h1 "+q+" <nil>" {
			t.Errorf("%s: %q", q, a)
		}
		if len(w.runs(q)) == 2 {
			both++
		}
	}
	if both == 0 {
		t.Error("no query came to both")
	}
	if s, _, _, err := w.query("GET", "SELECT 1", "", nil); s != 200 || err != nil {
		t.Errorf("afterwards: %d %v", s, err)
	}
}

// TestHouseDies: wherever in its answer a server dies, the client has one final answer, which it can tell from a whole one; a read
// is tried elsewhere only where none of it had come.
func TestHouseDies(t *testing.T) {
	for _, c := range []struct{ name, says, want string }{
		{"before anything", "", "503 202"},
		{"within the head", "HTTP/1.1 200 OK\r\nContent-Ty", "503 202"},
		{"after the head", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "broken"},
		{"within a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", "broken"},
		{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123", "broken"},
		{"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "broken"},
		{"before the trailer's end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n", "broken"},
		{"with a chunk that is none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "broken"},
		{"with no HTTP", "SSH-2.0-x\r\n\r\n", "503 202"},
		{"with two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "503 202"},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n", "200 1\n"},
		{"whole, up to its end", "HTTP/1.1 200 OK\r\n\r\n1\n", "200 1\n"},
	} {
		for _, minor := range []int{1, 0} {
			t.Run(fmt.Sprintf("%s, HTTP/1.%d", c.name, minor), func(t *testing.T) {
				var came atomic.Int64
				s, err := house.StartRaw(func(conn net.Conn, _ *bufio.Reader, _ string) {
					came.Add(1)
					_, _ = io.WriteString(conn, c.says)
				})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Stop()
				w := houses(t, 0, "(deadline 600ms) (aim 600ms)")
				w.servers = []*house.Server{{Name: "raw", Addr: s.Addr}}
				w.write()
				w.hup <- syscall.SIGHUP
				w.until("1 servers, 0 removals held back")
				w.servers = nil
				answer, err := w.raw(fmt.Sprintf("GET /?query=SELECT+1 HTTP/1.%d\r\nHost: h\r\nConnection: close\r\n\r\n", minor))
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
					t.Errorf("%q, want %q: %q %v", got, c.want, answer, err)
				}
				if n := came.Load(); (c.want == "503 202") != (n > 1) {
					t.Errorf("it was asked %d times", n)
				}
			})
		}
	}
}
