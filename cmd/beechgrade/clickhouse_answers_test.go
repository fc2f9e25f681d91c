package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

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
