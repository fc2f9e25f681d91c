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

// TestClickHouseRetries checks that reads are retried on another server when one is full, dead or drops the query, that queries that may
// write never run twice, and that an answer that broke off is not completed by another server.
func TestClickHouseRetries(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 3, "")
	w.servers[0].RejectConnections(true)
	for i := range 12 {
		if s, code, text, err := w.query("POST", "INSERT INTO t VALUES (1)", "", withQueryID(fmt.Sprint("f", i))); err != nil || s != 200 {
			t.Errorf("write with one server full: got %d %s %s, error %v, want status 200", s, code, text, err)
		}
		if n := len(w.runs(fmt.Sprint("f", i))); n != 1 {
			t.Errorf("runs of write %d with one server full: got %d, want 1", i, n)
		}
	}
	w.servers[0].RejectConnections(false)
	w.servers[1].Stop()
	for i := range 12 {
		if s, code, text, err := w.query("POST", "INSERT INTO t VALUES (1)", "", withQueryID(fmt.Sprint("d", i))); err != nil || s != 200 || len(w.runs(fmt.Sprint("d", i))) != 1 {
			t.Errorf("write with one server dead: got %d %s %s, error %v, want status 200 and one run", s, code, text, err)
		}
	}
	if s, code, _, err := w.query("POST", "INSERT INTO t /* DROP */", "", withQueryID("w")); err != nil || s != 502 || code != "210" || len(w.runs("w")) != 1 {
		t.Errorf("write that the server dropped: got %d %s, error %v, %d runs, want 502 210 and one run", s, code, err, len(w.runs("w")))
	}
	if s, _, _, err := w.query("GET", "SELECT /* DROP */", "", withQueryID("r")); err != nil || s != 503 || len(w.runs("r")) < 2 {
		t.Errorf("read that every server drops: status is %d, error %v, %d runs, want 503 and at least 2 runs", s, err, len(w.runs("r")))
	}
	if s, _, text, err := w.query("GET", "SELECT /* BROKEN */", "", withQueryID("b")); s != 200 || err == nil || len(w.runs("b")) != 1 {
		t.Errorf("answer that breaks off: got status %d, %d bytes, error %v, %d runs, want 200, an error and one run", s, len(text), err, len(w.runs("b")))
	}
}

// TestClickHouseDeadlines checks that the earlier of the deadline and the query's max_execution_time ends the query, each with its own
// exception code, and that the query is cancelled at the server.
func TestClickHouseDeadlines(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, `(deadline-header "X-Wait")`)
	req, _ := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?query=INSERT+/*+HANG+*/&query_id=h", nil)
	req.Header.Set("X-Wait", "300")
	if res, err := w.client.Do(req); err != nil || res.StatusCode != 504 {
		t.Errorf("query beyond the deadline of the header: got %v, error %v, want status 504", res, err)
	} else {
		_ = res.Body.Close()
	}
	w.waitFor("the query is cancelled", func() bool { r := w.runs("h"); return len(r) == 1 && r[0].Cancelled })
	s, code, _, err := w.query("POST", "INSERT /* HANG */", "", url.Values{"query_id": {"t"}, "max_execution_time": {"0.4"}})
	if err != nil || s != 504 || code != "159" {
		t.Errorf("query beyond its max_execution_time: got %d %s, error %v, want 504 159", s, code, err)
	}
	w.waitFor("the query is cancelled", func() bool { r := w.runs("t"); return len(r) == 1 && r[0].Cancelled })
}

// TestClickHouseClasses checks that the first class whose user, database, path or header matches sets a query's deadline, and that the
// server is asked at its own path, not at the path that selects a class.
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
			t.Fatalf("query at path %s: %v", path, err)
		}
		_ = res.Body.Close()
		return res.StatusCode, time.Since(began)
	}
	if s, took := ask("/fast", http.Header{}, url.Values{}); s != 504 {
		t.Errorf("class by path: status is %d after %v, want 504", s, took)
	} else if took > 10*time.Second {
		t.Errorf("class by path: answered after %v, want at most 10 s", took)
	}
	if s, took := ask("/", http.Header{"X-Report": {"mes"}, "X-Clickhouse-Database": {"mes"}}, url.Values{}); s != 504 {
		t.Errorf("class by database and header: status is %d after %v, want 504", s, took)
	} else if took > 10*time.Second {
		t.Errorf("class by database and header: answered after %v, want at most 10 s", took)
	}
	if s, took := ask("/", http.Header{"X-Report": {"mes"}}, url.Values{"database": {"dia"}, "max_execution_time": {"2"}}); s != 504 || took < 1500*time.Millisecond {
		t.Errorf("no class matches: status is %d after %v, want 504 after at least 1.5 s", s, took)
	}
	if n := len(w.runs("")); n != 3 {
		t.Errorf("queries at the server: got %d, want 3", n)
	}
}

// TestClickHouseDrain checks, under continuous load, that no new query is sent to a server once the pooler knows that it drains, and that
// every query is answered, those that were running there too.
func TestClickHouseDrain(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	failed := map[string]int{}
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
				sql, more := "SELECT /* SLOW 2 */", withQueryID(fmt.Sprintf("q%d-%d", k, i))
				if i%3 == 0 {
					sql = "INSERT INTO t VALUES (1)"
				}
				if s, _, _, err := w.query("POST", sql, "", more); s != 200 || err != nil {
					mu.Lock()
					failed[fmt.Sprint(s, err)]++
					mu.Unlock()
				}
			}
		}()
	}
	w.waitFor("both servers have received queries", func() bool { return len(w.servers[0].Runs()) > 5 && len(w.servers[1].Runs()) > 5 })
	w.writeList("h0")
	w.hup <- syscall.SIGHUP
	w.waitFor("the server drains", func() bool {
		got := make(chan bool, 1)
		w.p.loop.Post(func() { e, _ := w.p.sources.members.Entry("h0"); got <- e.State == 1 })
		return <-got
	})
	drainSeen := time.Now()
	before := len(w.servers[1].Runs())
	w.waitFor("the other server keeps receiving queries", func() bool { return len(w.servers[1].Runs()) > before+30 })
	close(stop)
	wg.Wait()
	for _, r := range w.servers[0].Runs() {
		if r.At.After(drainSeen.Add(250 * time.Millisecond)) {
			t.Errorf("query sent %v after the pooler knew of the drain, want at most 250 ms: %s", r.At.Sub(drainSeen), r.Text)
		}
	}
	if len(failed) > 0 {
		t.Errorf("failed queries by outcome: got %v, want none", failed)
	}
}

// TestClickHouseOneAnswerForEachQuery checks, while servers fill up and recover, that each query has exactly one answer or a broken
// connection, that no write runs twice, and that each answer is the expected one for its query.
func TestClickHouseOneAnswerForEachQuery(t *testing.T) {
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
			s, code, _, err := w.query("POST", asked[i], "", withQueryID(fmt.Sprint("x", i)))
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
			t.Errorf("runs of write %s: got %d, want at most 1", asked[i], len(runs))
		}
		want := map[string]string{"INSERT /* DROP */": "502 210", "SELECT /* FAIL 60 */": "404 60", "INSERT /* FAIL 241 */": "500 241"}[asked[i]]
		if want == "" {
			want = "200 "
		}
		if got != want {
			t.Errorf("answer to %s is %q, want %q", asked[i], got, want)
		}
	}
}

// TestClickHouseUserLimits checks that a user's queries beyond its limits wait in the queue or are rejected at once, that other users are
// served meanwhile, and that a query's slot is free again once it has ended, also when its client has disconnected.
func TestClickHouseUserLimits(t *testing.T) {
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
		w.waitFor("the query runs", func() bool { return len(w.runs(id)) == 1 })
	}
	hang(ctx, "escritorio", "h1")
	hang(ctx, "escritorio", "h2")
	third := make(chan int, 1)
	go func() {
		s, _, _, _ := w.query("POST", "INSERT INTO t VALUES (1)", "", withQueryID("h3"))
		third <- s
	}()
	w.waitFor("the third query waits", func() bool {
		got := make(chan int, 1)
		w.p.loop.Post(func() { got <- w.p.clickhouse.Waiting() })
		return <-got == 1
	})
	if s, code, _, err := w.query("POST", "INSERT INTO t VALUES (1)", "", withQueryID("h4")); s != 503 || code != "202" || err != nil || len(w.runs("h4")) > 0 {
		t.Errorf("fourth query, with the queue full: got %d %s, error %v, want 503 202 and no run", s, code, err)
	}
	if s, _, _, err := w.query("POST", "SELECT 1", "", url.Values{"user": {"outro"}}); s != 200 || err != nil {
		t.Errorf("another user's query: status is %d, error %v, want 200", s, err)
	}
	if n := len(w.runs("h3")); n != 0 {
		t.Errorf("runs of the third query while two are running: got %d, want none", n)
	}
	cancel() // the clients of the first two queries disconnect
	if s := <-third; s != 200 || len(w.runs("h3")) != 1 {
		t.Errorf("third query after two have ended: status is %d with %d runs, want 200 and 1", s, len(w.runs("h3")))
	}
	slow, end := context.WithCancel(context.Background())
	defer end()
	hang(slow, "lento", "l1")
	if s, code, _, err := w.query("POST", "SELECT 1", "", url.Values{"user": {"lento"}}); s != 503 || code != "202" || err != nil {
		t.Errorf("query that waited beyond the queue's time limit: got %d %s, error %v, want 503 202", s, code, err)
	}
	var got []int
	for range 3 {
		s, _, _, _ := w.query("POST", "SELECT 1", "", url.Values{"user": {"raro"}})
		got = append(got, s)
	}
	if diff := cmp.Diff([]int{200, 200, 503}, got); diff != "" {
		t.Errorf("statuses of a user beyond its rate limit, -want +got:\n%s", diff)
	}
}
