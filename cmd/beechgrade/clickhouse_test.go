package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// clickhouseWorld is a pooler before stand-ins for ClickHouse's servers, whose list is a file.
type clickhouseWorld struct {
	t       testing.TB
	p       *pooler
	addr    string
	hup     chan<- os.Signal
	list    string
	servers []*clickhouseserver.Server
	client  *http.Client
}

const houseGroup = 9

func startClickHouse(t testing.TB, n int, more string, change ...func(*config.Config)) *clickhouseWorld {
	return startClickHouseAs(t, n, more, nil, change...)
}

// startClickHouseAs has a function set the servers up before the pooler knows them.
func startClickHouseAs(t testing.TB, n int, more string, setUp func([]*clickhouseserver.Server), change ...func(*config.Config)) *clickhouseWorld {
	return startClickHouseOn(t, n, more, setUp, func(*pooler) {}, change...)
}

// startClickHouseOn has another function add to the pooler before it runs.
func startClickHouseOn(t testing.TB, n int, more string, setUp func([]*clickhouseserver.Server), add func(*pooler), change ...func(*config.Config)) *clickhouseWorld {
	t.Helper()
	w := &clickhouseWorld{t: t, list: filepath.Join(t.TempDir(), "list.json"), client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: patience}}
	t.Cleanup(w.client.CloseIdleConnections)
	for i := range n {
		s, err := clickhouseserver.Start(fmt.Sprint("h", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
		w.servers = append(w.servers, s)
	}
	if setUp != nil {
		setUp(w.servers)
	}
	w.write()
	if !strings.HasPrefix(more, "(deadline") {
		more = "(deadline 15s) (aim 5s) " + more
	}
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(clickhouse (listen "127.0.0.1:0") (group %d) %s) (membership (static %q))`, houseGroup, more, w.list)), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "", nil, append([]func(*config.Config){func(c *config.Config) {
		c.InitialList, c.Settings.DrainGrace = discovery.List{}, 250*time.Millisecond
		c.ConnectTimeoutMs = 2000
	}}, change...)...)
	set.ClickHouse.AddClasses(cfg)
	w.p = newPooler(cfg, testLog())
	w.p.openClickHouse(set.ClickHouse)
	w.p.openSources(set.Endpoints)
	add(w.p)
	first := *cfg
	w.p.load = func() (*config.Config, error) { return &first, nil }
	_, w.hup, _, _ = launch(t, w.p)
	at := make(chan string, 1)
	w.p.loop.Post(func() { at <- w.p.clickhouseAddr })
	w.addr = <-at
	w.until(fmt.Sprintf("%d servers, 0 removals held back", n))
	return w
}

// write writes the list; the servers named drain.
func (w *clickhouseWorld) write(drain ...string) {
	var parts []string
	for _, s := range w.servers {
		cycle := "up"
		for _, d := range drain {
			if d == s.Name {
				cycle = "draining"
			}
		}
		parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"cell":%d,"lifecycle":%q,"weight":1}`, s.Name, s.Addr, houseGroup, cycle))
	}
	if err := os.WriteFile(w.list, []byte(`{"instances":[`+strings.Join(parts, ",")+`]}`), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func (w *clickhouseWorld) until(sum string) {
	w.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		got := make(chan string, 1)
		w.p.loop.Post(func() { got <- w.p.sources.members.Summary() })
		x := <-got
		if x == sum {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%q, want %q", x, sum)
		}
	}
}

// query puts one query, and reads its answer: status, exception code, body.
func (w *clickhouseWorld) query(method, sql, body string, more url.Values) (status int, code, text string, err error) {
	v := url.Values{}
	if sql != "" {
		v.Set("query", sql)
	}
	for k := range more {
		v.Set(k, more.Get(k))
	}
	req, err := http.NewRequest(method, "http://"+w.addr+"/?"+v.Encode(), strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	req.SetBasicAuth("escritorio", "secret")
	res, err := w.client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("X-ClickHouse-Exception-Code"), string(b), err
}

// runs are the runs at all servers, of one query's id or of all.
func (w *clickhouseWorld) runs(id string) (out []clickhouseserver.Run) {
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			if id == "" || r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

func id(s string) url.Values { return url.Values{"query_id": {s}} }

// TestClickHouseServes: queries in each form that the interface has, and answers and exceptions as the server gave them.
func TestClickHouseServes(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "")
	for _, c := range []struct{ method, sql, body, status string }{
		{"GET", "SELECT 1", "", "200  1\n"},
		{"POST", "", "SELECT 1", "200  1\n"},
		{"POST", "INSERT INTO t FORMAT TSV", "1\t2\n", "200  1\n"},
		{"GET", "SELECT x /* FAIL 60 */", "", "404 60 Code: 60. DB::Exception: as asked"},
		{"POST", "DROP TABLE t /* FAIL 497 */", "", "500 497 Code: 497. DB::Exception: as asked"},
		{"GET", "", "", "200  Ok.\n"},
		{"HEAD", "SELECT 1", "", "200  "},
		{"DELETE", "SELECT 1", "", "501 1 Code: 1. DB::Exception: GET, HEAD, POST and PUT are taken. (UNSUPPORTED_METHOD) (beechgrade)\n"},
	} {
		status, code, text, err := w.query(c.method, c.sql, c.body, nil)
		if got := fmt.Sprintf("%d %s %s", status, code, text); err != nil || got != c.status {
			t.Errorf("%s %s: %q %v", c.method, c.sql, got, err)
		}
	}
	for _, r := range w.runs("") {
		if r.User != "escritorio" || !r.Ended {
			t.Errorf("%+v", r)
		}
	}
	if n := len(w.runs("")); n != 6 {
		t.Errorf("%d queries came to the server", n)
	}
}

// TestClickHousePipelined: requests sent at once are answered in their order, chunked bodies are passed on, and what is not HTTP as
// it should be ends the connection with its reason.
func TestClickHousePipelined(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "(most-body 64k)")
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, "GET /?query=SELECT+1&query_id=a HTTP/1.1\r\nHost: h\r\n\r\nPOST /?query_id=b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nSELECT 2\r\n0\r\n\r\n"+
		"GET /ping HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	in := bufio.NewReader(c)
	var got []string
	for range 4 {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprintf("%d %s%.12s", res.StatusCode, res.Header.Get("X-ClickHouse-Query-Id"), b))
	}
	if diff := cmp.Diff([]string{"200 a1\n", "200 b1\n", "200 Ok.\n", "400 Code: 36. DB"}, got); diff != "" {
		t.Error(diff)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection stays: %v", err)
	}
	if r := w.runs("b"); len(r) != 1 || r[0].Text != "SELECT 2" {
		t.Errorf("%+v", r)
	}
	if s, _, _, err := w.query("POST", "INSERT INTO t FORMAT TSV", strings.Repeat("x", 1<<17), nil); err == nil && s != 413 {
		t.Errorf("too long a body: %d", s)
	}
}

// TestClickHouseStreams: a result far beyond what the pooler may hold passes whole, to a client that reads slowly too.
func TestClickHouseStreams(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "", func(c *config.Config) { c.Limits.MemoryMB = 16 })
	res, err := w.client.Get("http://" + w.addr + "/?" + url.Values{"query": {"SELECT /* ROWS 50000 */"}}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for n := int64(0); ; {
		k, err := io.CopyN(io.Discard, res.Body, 4<<20)
		n += k
		held := make(chan int, 1)
		w.p.loop.Post(func() { held <- w.p.clickhouse.Unsent() })
		most = max(most, <-held)
		if err != nil {
			if !errors.Is(err, io.EOF) || n != 50000<<10 {
				t.Errorf("%d bytes, %v", n, err)
			}
			break
		}
		time.Sleep(5 * time.Millisecond) // it reads slowly
	}
	if most > 4<<20 {
		t.Errorf("%d bytes were held for one client", most)
	}
}

// TestClickHouseCancel: a client that goes ends its query, before its answer has begun and in the midst of it.
func TestClickHouseCancel(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "")
	for i, sql := range []string{"SELECT /* HANG */", "INSERT /* HANG */", "SELECT /* SLOW 100000 */"} {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {sql}, "query_id": {fmt.Sprint("c", i)}}.Encode(), nil)
		done := make(chan error, 1)
		go func() {
			res, err := w.client.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			done <- err
		}()
		w.wait("it runs", func() bool { return len(w.runs(fmt.Sprint("c", i))) > 0 })
		cancel()
		if err := <-done; err == nil {
			t.Errorf("%s: it was answered", sql)
		}
		w.wait("it is cancelled", func() bool {
			for _, r := range w.runs(fmt.Sprint("c", i)) {
				if !r.Cancelled {
					return false
				}
			}
			return true
		})
	}
}

func (w *clickhouseWorld) wait(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not so in %v: %s", patience, what)
		}
	}
}

// TestClickHouseKill: where the settings have it, a query whose client has gone, or whose time is over, is killed by its id, given or
// made, as the user that asked; nothing is killed that has ended, and nothing is sent to a server whose drain's grace is over.
func TestClickHouseKill(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "(kill)")
	kills := func() (out []string) {
		for _, r := range w.runs("") {
			if strings.HasPrefix(r.Text, "KILL") {
				out = append(out, r.User+" "+r.Text)
			}
		}
		return out
	}
	if s, _, _, err := w.query("GET", "SELECT 1", "", id("whole")); s != 200 || err != nil {
		t.Fatal(s, err)
	}
	if s, _, _, _ := w.query("POST", "INSERT /* HANG */", "", url.Values{"query_id": {"o'k"}, "max_execution_time": {"0.3"}}); s != 504 {
		t.Errorf("%d", s)
	}
	w.wait("it is killed", func() bool { return len(kills()) == 1 })
	leave := func(sql string, runs int) {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {sql}}.Encode(), nil)
		req.Header.Set("X-ClickHouse-User", "outro")
		go func() {
			if res, err := w.client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		}()
		w.wait("it runs", func() bool { return len(w.runs("")) == runs })
		cancel()
	}
	leave("SELECT /* SLOW 100000 */", 4)
	w.wait("the second is killed", func() bool { return len(kills()) == 2 })
	made := ""
	for _, r := range w.runs("") {
		if strings.Contains(r.Text, "SLOW") {
			made = r.ID
		}
	}
	if diff := cmp.Diff([]string{`escritorio KILL QUERY WHERE query_id = 'o\'k' ASYNC`, "outro KILL QUERY WHERE query_id = '" + made + "' ASYNC"}, kills()); diff != "" || made == "" {
		t.Error(diff)
	}
	// A query that is under way at a server that drains: its client goes long after the grace.
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT /* HANG */"}, "query_id": {"late"}}.Encode(), nil)
	go func() {
		if res, err := w.client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	w.wait("it runs", func() bool { return len(w.runs("late")) == 1 })
	w.write("h0")
	w.hup <- syscall.SIGHUP
	w.wait("it drains", func() bool {
		got := make(chan bool, 1)
		w.p.loop.Post(func() { e, _ := w.p.sources.members.Entry("h0"); got <- e.State == 1 })
		return <-got
	})
	time.Sleep(260 * time.Millisecond) // longer only makes it later still
	cancel()
	w.wait("it is cancelled", func() bool { return w.runs("late")[0].Cancelled })
	if n := len(kills()); n != 2 {
		t.Errorf("%d were killed: %q", n, kills())
	}
}

// TestClickHouseAgain: what reads is tried elsewhere where a server is full, dead or drops it; what may write never runs twice; an
// answer that broke off in its midst is not made whole by another.
func TestClickHouseAgain(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 3, "")
	w.servers[0].RejectConnections(true)
	for i := range 12 {
		if s, code, text, err := w.query("POST", "INSERT INTO t VALUES (1)", "", id(fmt.Sprint("f", i))); err != nil || s != 200 {
			t.Errorf("beside a full one: %d %s %s %v", s, code, text, err)
		}
		if n := len(w.runs(fmt.Sprint("f", i))); n != 1 {
			t.Errorf("it ran %d times", n)
		}
	}
	w.servers[0].RejectConnections(false)
	w.servers[1].Stop()
	for i := range 12 {
		if s, code, text, err := w.query("POST", "INSERT INTO t VALUES (1)", "", id(fmt.Sprint("d", i))); err != nil || s != 200 || len(w.runs(fmt.Sprint("d", i))) != 1 {
			t.Errorf("beside a dead one: %d %s %s %v", s, code, text, err)
		}
	}
	if s, code, _, err := w.query("POST", "INSERT INTO t /* DROP */", "", id("w")); err != nil || s != 502 || code != "210" || len(w.runs("w")) != 1 {
		t.Errorf("a write that was dropped: %d %s %v, it ran %d times", s, code, err, len(w.runs("w")))
	}
	if s, _, _, err := w.query("GET", "SELECT /* DROP */", "", id("r")); err != nil || s != 503 || len(w.runs("r")) < 2 {
		t.Errorf("a read that is always dropped: %d %v, it ran %d times", s, err, len(w.runs("r")))
	}
	if s, _, text, err := w.query("GET", "SELECT /* BROKEN */", "", id("b")); s != 200 || err == nil || len(w.runs("b")) != 1 {
		t.Errorf("broken in its midst: %d, %d bytes, %v, it ran %d times", s, len(text), err, len(w.runs("b")))
	}
}

// TestClickHouseTime: the sooner of the class's deadline and the query's own limit ends it, with its own code, and at the server too.
func TestClickHouseTime(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, `(deadline-header "X-Wait")`)
	req, _ := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?query=INSERT+/*+HANG+*/&query_id=h", nil)
	req.Header.Set("X-Wait", "300")
	if res, err := w.client.Do(req); err != nil || res.StatusCode != 504 {
		t.Errorf("by the header: %v %v", res, err)
	} else {
		_ = res.Body.Close()
	}
	w.wait("it is cancelled", func() bool { r := w.runs("h"); return len(r) == 1 && r[0].Cancelled })
	s, code, _, err := w.query("POST", "INSERT /* HANG */", "", url.Values{"query_id": {"t"}, "max_execution_time": {"0.4"}})
	if err != nil || s != 504 || code != "159" {
		t.Errorf("%d %s %v", s, code, err)
	}
	w.wait("it is cancelled", func() bool { r := w.runs("t"); return len(r) == 1 && r[0].Cancelled })
}

// TestClickHouseClasses: queries are of classes by user, database, path or header, the first that matches, and have their deadlines; the
// server is asked at its own path.
func TestClickHouseClasses(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, `(class "fast" (path "/fast") (aim 100ms) (deadline 300ms)) (class "mes" (database "mes") (header "X-Report" "mes") (aim 100ms) (deadline 400ms))`)
	ask := func(path string, header http.Header, v url.Values) (int, time.Duration) {
		v.Set("query", "INSERT /* HANG */")
		req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+path+"?"+v.Encode(), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = header
		began := time.Now()
		res, err := w.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode, time.Since(began)
	}
	if s, took := ask("/fast", http.Header{}, url.Values{}); s != 504 {
		t.Errorf("by path: %d after %v", s, took)
	} else if took > 10*time.Second {
		t.Errorf("by path: after %v", took)
	}
	if s, took := ask("/", http.Header{"X-Report": {"mes"}, "X-Clickhouse-Database": {"mes"}}, url.Values{}); s != 504 {
		t.Errorf("by database and header: %d after %v", s, took)
	} else if took > 10*time.Second {
		t.Errorf("by database and header: after %v", took)
	}
	if s, took := ask("/", http.Header{"X-Report": {"mes"}}, url.Values{"database": {"dia"}, "max_execution_time": {"2"}}); s != 504 || took < 1500*time.Millisecond {
		t.Errorf("of no class of its own: %d after %v", s, took)
	}
	if n := len(w.runs("")); n != 3 {
		t.Errorf("%d came to the server", n)
	}
}

// TestClickHouseDrain: while queries come without a pause, nothing new goes to a server once the pooler has heard that it drains, and
// what runs there ends in its time. Every query has its one answer.
func TestClickHouseDrain(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	bad := map[string]int{}
	for k := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				sql, more := "SELECT /* SLOW 2 */", id(fmt.Sprintf("q%d-%d", k, i))
				if i%3 == 0 {
					sql = "INSERT INTO t VALUES (1)"
				}
				if s, _, _, err := w.query("POST", sql, "", more); s != 200 || err != nil {
					mu.Lock()
					bad[fmt.Sprint(s, err)]++
					mu.Unlock()
				}
			}
		}()
	}
	w.wait("both are asked", func() bool { return len(w.servers[0].Runs()) > 5 && len(w.servers[1].Runs()) > 5 })
	w.write("h0")
	w.hup <- syscall.SIGHUP
	w.wait("it drains", func() bool {
		got := make(chan bool, 1)
		w.p.loop.Post(func() { e, _ := w.p.sources.members.Entry("h0"); got <- e.State == 1 })
		return <-got
	})
	heard := time.Now()
	before := len(w.servers[1].Runs())
	w.wait("the other goes on", func() bool { return len(w.servers[1].Runs()) > before+30 })
	close(stop)
	wg.Wait()
	for _, r := range w.servers[0].Runs() {
		if r.At.After(heard.Add(250 * time.Millisecond)) {
			t.Errorf("sent %v after it was told to drain: %s", r.At.Sub(heard), r.Text)
		}
	}
	if len(bad) > 0 {
		t.Errorf("not served: %v", bad)
	}
}

// TestClickHouseOneAnswer: whatever befalls the servers, each query has exactly one answer or a broken connection, no write runs twice,
// and each answer is one that a server gave for that query.
func TestClickHouseOneAnswer(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 3, "")
	rng := rand.New(rand.NewPCG(7, 7))
	texts := []string{"SELECT 1", "INSERT INTO t VALUES (1)", "SELECT /* SLOW 3 */", "INSERT /* DROP */", "SELECT /* FAIL 60 */", "INSERT /* FAIL 241 */", "SELECT /* ROWS 50 */", "INSERT /* BROKEN */"}
	var wg sync.WaitGroup
	answers := make([]string, 300)
	asked := make([]string, len(answers))
	slot := make(chan struct{}, 12)
	for i := range answers {
		asked[i] = texts[rng.IntN(len(texts))]
		slot <- struct{}{}
		if i%40 == 20 {
			w.servers[i%3].RejectConnections(true)
		}
		if i%40 == 35 {
			w.servers[(i-15)%3].RejectConnections(false)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slot }()
			s, code, _, err := w.query("POST", asked[i], "", id(fmt.Sprint("x", i)))
			if answers[i] = fmt.Sprint(s, " ", code); err != nil && s == 0 {
				answers[i] = "none"
			}
		}()
	}
	wg.Wait()
	for i, got := range answers {
		runs := w.runs(fmt.Sprint("x", i))
		write := strings.HasPrefix(asked[i], "INSERT")
		if write && len(runs) > 1 {
			t.Errorf("%s ran %d times", asked[i], len(runs))
		}
		want := map[string]string{"INSERT /* DROP */": "502 210", "SELECT /* FAIL 60 */": "404 60", "INSERT /* FAIL 241 */": "500 241"}[asked[i]]
		if want == "" {
			want = "200 "
		}
		if got != want {
			t.Errorf("%s: %q, want %q", asked[i], got, want)
		}
	}
}

// TestClickHouseUsers: a user's queries beyond its limits wait or are turned away at once; another's are served meanwhile; a place is
// free again once its query has ended, also where its client has gone.
func TestClickHouseUsers(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, `(user "escritorio" (queries 2) (queue 1) (wait 15s)) (user "lento" (queries 1) (queue 1) (wait 50ms)) (user "raro" (rate 0.001) (burst 2))`)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hang := func(ctx context.Context, user, id string) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT /* HANG */"}, "query_id": {id}, "user": {user}}.Encode(), nil)
		go func() {
			if res, err := w.client.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}()
		w.wait("it runs", func() bool { return len(w.runs(id)) == 1 })
	}
	hang(ctx, "escritorio", "h1")
	hang(ctx, "escritorio", "h2")
	third := make(chan int, 1)
	go func() {
		s, _, _, _ := w.query("POST", "INSERT INTO t VALUES (1)", "", id("h3"))
		third <- s
	}()
	w.wait("the third waits", func() bool {
		got := make(chan int, 1)
		w.p.loop.Post(func() { got <- w.p.clickhouse.Waiting() })
		return <-got == 1
	})
	if s, code, _, err := w.query("POST", "INSERT INTO t VALUES (1)", "", id("h4")); s != 503 || code != "202" || err != nil || len(w.runs("h4")) > 0 {
		t.Errorf("the fourth: %d %s %v", s, code, err)
	}
	if s, _, _, err := w.query("POST", "SELECT 1", "", url.Values{"user": {"outro"}}); s != 200 || err != nil {
		t.Errorf("another user: %d %v", s, err)
	}
	if n := len(w.runs("h3")); n != 0 {
		t.Errorf("the third ran %d times while two were running", n)
	}
	cancel() // the clients of the first two go
	if s := <-third; s != 200 || len(w.runs("h3")) != 1 {
		t.Errorf("the third: %d, it ran %d times", s, len(w.runs("h3")))
	}
	slow, end := context.WithCancel(context.Background())
	defer end()
	hang(slow, "lento", "l1")
	if s, code, _, err := w.query("POST", "SELECT 1", "", url.Values{"user": {"lento"}}); s != 503 || code != "202" || err != nil {
		t.Errorf("one that waited for too long: %d %s %v", s, code, err)
	}
	var got []int
	for range 3 {
		s, _, _, _ := w.query("POST", "SELECT 1", "", url.Values{"user": {"raro"}})
		got = append(got, s)
	}
	if diff := cmp.Diff([]int{200, 200, 503}, got); diff != "" {
		t.Errorf("too fast: %s", diff)
	}
}

// BenchmarkClickHouse is a query by the stand-in itself, through the pooler, and through the standard library's reverse proxy.
func BenchmarkClickHouse(b *testing.B) {
	s, err := clickhouseserver.Start("h")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(clickhouse (listen "127.0.0.1:0") (group %d))`, houseGroup)), os.Getenv)
	if err != nil {
		b.Fatal(err)
	}
	cfg := &config.Config{Name: "bench", ListenAddress: "127.0.0.1:0", DiscoveryAddress: "127.0.0.1:1", Limits: config.Limits{MemoryMB: 192, Sockets: 4096}, ConnectTimeoutMs: 5000, ServerIdleTimeoutMs: 30000,
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "h", HostPort: s.Addr, Cell: houseGroup, Lifecycle: "up", Weight: 1}}}}
	cfg.Settings.Peers, cfg.Settings.Tick, cfg.Settings.MaxAttempts, cfg.Settings.MayCancel = 1, 2*time.Millisecond, 8, true
	set.ClickHouse.AddClasses(cfg)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	p.openClickHouse(set.ClickHouse)
	ready := make(chan string, 1)
	p.loop.Ready = func() { ready <- p.clickhouseAddr }
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- p.run(stop, make(chan os.Signal)) }()
	at := <-ready
	defer func() { stop <- syscall.SIGTERM; <-ended }()
	proxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Addr}))
	defer proxy.Close()
	for _, c := range []struct{ name, addr string }{{"direct", s.Addr}, {"pooler", at}, {"reverse proxy", proxy.Listener.Addr().String()}} {
		for _, sql := range []string{"SELECT 1", "SELECT /* ROWS 65536 */"} {
			b.Run(c.name+"/"+sql, func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				defer client.CloseIdleConnections()
				for b.Loop() {
					res, err := client.Get("http://" + c.addr + "/?" + url.Values{"query": {sql}}.Encode())
					if err != nil {
						b.Fatal(err)
					}
					n, err := io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					if err != nil || res.StatusCode != 200 {
						b.Fatal(res.Status, err)
					}
					b.SetBytes(n)
				}
			})
		}
	}
}
