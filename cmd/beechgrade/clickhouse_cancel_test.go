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
