package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestClickHouseCancel checks that a query is cancelled at the server when its client disconnects, before the answer has begun and during it.
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
		w.waitFor("the query runs", func() bool { return len(w.runs(fmt.Sprint("c", i))) > 0 })
		cancel()
		if err := <-done; err == nil {
			t.Errorf("query %s was answered although its client had disconnected", sql)
		}
		w.waitFor("the query is cancelled", func() bool {
			for _, r := range w.runs(fmt.Sprint("c", i)) {
				if !r.Cancelled {
					return false
				}
			}
			return true
		})
	}
}

// TestClickHouseKillsAbandonedQueries checks that, with the setting kill, a query whose client has disconnected or whose deadline has
// passed is killed by its ID, whether the client or the pooler chose that, as the user who sent the query. Completed queries are not
// killed, and no KILL is sent to a server once its drain grace period is over.
func TestClickHouseKillsAbandonedQueries(t *testing.T) {
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
	if s, _, _, err := w.query("GET", "SELECT 1", "", withQueryID("whole")); s != 200 || err != nil {
		t.Fatalf("query that completes: status is %d, error %v, want 200", s, err)
	}
	if s, _, _, _ := w.query("POST", "INSERT /* HANG */", "", url.Values{"query_id": {"o'k"}, "max_execution_time": {"0.3"}}); s != 504 {
		t.Errorf("query beyond its own time limit: status is %d, want 504", s)
	}
	w.waitFor("the query is killed", func() bool { return len(kills()) == 1 })
	disconnect := func(sql string, runs int) {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {sql}}.Encode(), nil)
		req.Header.Set("X-ClickHouse-User", "outro")
		go func() {
			if res, err := w.client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		}()
		w.waitFor("the query runs", func() bool { return len(w.runs("")) == runs })
		cancel()
	}
	disconnect("SELECT /* SLOW 100000 */", 4)
	w.waitFor("the second query is killed", func() bool { return len(kills()) == 2 })
	generatedID := ""
	for _, r := range w.runs("") {
		if strings.Contains(r.Text, "SLOW") {
			generatedID = r.ID
		}
	}
	if diff := cmp.Diff([]string{`escritorio KILL QUERY WHERE query_id = 'o\'k' ASYNC`, "outro KILL QUERY WHERE query_id = '" + generatedID + "' ASYNC"}, kills()); diff != "" || generatedID == "" {
		t.Errorf("KILL statements for query IDs o'k and %q, -want +got:\n%s", generatedID, diff)
	}
	// A query runs at a draining server, and its client disconnects after the drain grace period of 250 ms.
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT /* HANG */"}, "query_id": {"late"}}.Encode(), nil)
	go func() {
		if res, err := w.client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	w.waitFor("the query runs", func() bool { return len(w.runs("late")) == 1 })
	w.writeList("h0")
	w.hup <- syscall.SIGHUP
	w.waitFor("the server drains", func() bool {
		got := make(chan bool, 1)
		w.p.loop.Post(func() { e, _ := w.p.sources.members.Entry("h0"); got <- e.State == 1 })
		return <-got
	})
	time.Sleep(260 * time.Millisecond) // beyond the grace period of 250 ms; a longer sleep changes nothing
	cancel()
	w.waitFor("the query is cancelled", func() bool { return w.runs("late")[0].Cancelled })
	if n := len(kills()); n != 2 {
		t.Errorf("killed queries: got %d, want 2: %q", n, kills())
	}
}
