package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/settings"
)

// TestWatch: a watch that is refused is asked for again, from the same generation; what it then tells binds: nothing more
// goes to a server that drains.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	var calls atomic.Int32
	told := make(chan string, 9)
	pooler, _, _ := start(t, addr, func(w http.ResponseWriter, r *http.Request) {
		told <- r.URL.String()
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, "\n{\"generation\":5,\"reset\":false,\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":%q,\"lifecycle\":\"draining\"}]}\n", addr)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	for range 2 {
		select {
		case got := <-told:
			if got != "/v1/endpoints?watch=1&from=4" {
				t.Fatalf("asked %s", got)
			}
		case <-time.After(patience):
			t.Fatalf("no watch was asked for in %v", patience)
		}
	}
	c := client(t, pooler)
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	for end := time.Now().Add(patience); ; { // until the news has come, the server may be asked
		c.send(query("1", "read", 400))
		switch got := c.answer(); {
		case got == "EZ 53300":
			return
		case got != "TDCZ v":
			t.Fatalf("got %q", got)
		case time.Now().After(end):
			t.Fatalf("a server that drains is still asked after %v", patience)
		}
	}
}

// TestReload: on SIGHUP a configuration that cannot be used changes nothing. One that names another discovery is followed at
// once: it is asked for its whole list, as its generations are its own, and the old one's end is not taken for its failure.
func TestReload(t *testing.T) {
	t.Parallel()
	atOld, old := server(t)
	atNew, moved := server(t)
	calls := make(chan string, 9)
	watch := func(name, addr string, gen int, then func(*http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			reset := !r.URL.Query().Has("from") // a service that takes any version for one of its own
			calls <- name + r.URL.String()
			fmt.Fprintf(w, "{\"generation\":%d,\"reset\":%v,\"instances\":[{\"instanceId\":\"s-%s\",\"hostPort\":%q,\"lifecycle\":\"up\",\"role\":\"primary\"}]}\n",
				gen, reset, name, addr)
			w.(http.Flusher).Flush()
			if !reset {
				then(r)
			}
		}
	}
	wait := func(r *http.Request) { <-r.Context().Done() }
	next2 := httptest.NewServer(watch("2", atNew, 2, wait))
	t.Cleanup(func() { next2.CloseClientConnections(); next2.Close() })
	loads, closed := 0, make(chan struct{})
	pooler, hup, _, _ := startReload(t, atOld, watch("1", atOld, 40, func(r *http.Request) { wait(r); close(closed) }),
		func(c config.Config) (*config.Config, error) {
			if loads++; loads == 1 {
				return nil, errors.New("no good")
			}
			c.DiscoveryAddress = next2.Listener.Addr().String()
			return &c, nil
		})
	told := func(want string) {
		t.Helper()
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("asked %s, want %s", got, want)
			}
		case <-time.After(patience):
			t.Fatalf("not asked in %v: %s", patience, want)
		}
	}
	told("1/v1/endpoints?watch=1&from=4")
	c := client(t, pooler)
	hup <- syscall.SIGHUP
	c.send(query("1", "read", 9000))
	next(t, old).send(row("v"))
	c.want("TDCZ v")
	hup <- syscall.SIGHUP
	told("2/v1/endpoints?watch=1&from=0")
	told("2/v1/endpoints") // the first answer was not the whole list
	<-closed
	for end, came := time.Now().Add(patience), false; !came; { // until the new list is used
		if time.Now().After(end) {
			t.Fatalf("the new list is not used in %v", patience)
		}
		c.send(query("2", "read", 9000))
		for answered := false; !answered; {
			var q asked
			select {
			case q = <-moved:
				came = true
			case q = <-old:
			case <-time.After(patience):
				t.Fatalf("nobody was asked in %v", patience)
			}
			if answered = q.sql != "(gone)"; answered {
				q.send(row("v"))
			}
		}
		c.want("TDCZ v")
	}
	if len(calls) > 0 {
		t.Errorf("asked %s", <-calls)
	}
}

// TestDescriptorsRunShort: nothing can be accepted without a descriptor, so there are never more connections than descriptors: a
// new client takes an idle one's place.
func TestDescriptorsRunShort(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 })
	var clients []*peer
	for range 8 { // two are kept for the server
		clients = append(clients, client(t, pooler))
	}
	clients[0].send(query("1", "read", 9000)) // not idle
	q := next(t, queries)
	client(t, pooler)
	clients[1].want("$")
	q.send(row("v"))
	clients[0].want("TDCZ v")
	for _, c := range clients[2:] {
		c.send(pgwire.AppendQuery(nil, ""))
		c.want("IZ")
	}
}

// TestServerMoves: a server that the list shows at another address is asked there, though a connection to the old one was in
// use when the news came and is free now.
func TestServerMoves(t *testing.T) {
	t.Parallel()
	old, atOld := server(t)
	moved, atNew := server(t)
	tell := make(chan struct{})
	pooler, _, _ := start(t, old, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-tell:
			fmt.Fprintf(w, "{\"generation\":5,\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":%q,\"lifecycle\":\"up\",\"role\":\"primary\"}]}\n", moved)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
		}
		<-r.Context().Done()
	})
	c, other := client(t, pooler), client(t, pooler)
	c.send(query("1", "read", 9000))
	held := next(t, atOld)
	close(tell)
	for came, end := false, time.Now().Add(patience); !came; { // until the news has come
		if time.Now().After(end) {
			t.Fatalf("the new address is not asked in %v", patience)
		}
		other.send(query("2", "read", 9000))
		for answered := false; !answered; {
			select {
			case q := <-atOld:
				if answered = q.sql != "(gone)"; answered {
					q.send(row("v"))
				}
			case q := <-atNew:
				q.send(row("v"))
				came, answered = true, true
			case <-time.After(patience):
				t.Fatalf("nobody was asked in %v", patience)
			}
		}
		other.want("TDCZ v")
	}
	held.send(row("v"))
	c.want("TDCZ v")
	c.send(query("3", "read", 9000))
	next(t, atNew).send(row("v3"))
	c.want("TDCZ v3")
}

// TestStop: after SIGTERM what was taken is answered, and both new connections and those that there are stay in use until the
// longest deadline has passed. What comes meanwhile has its answer in time, whatever its client would wait for. The process
// ends well once nothing is owed.
func TestStop(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, stop, done := start(t, addr, nil, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = 2 * time.Second
		}
	})
	c, idle := client(t, pooler), client(t, pooler)
	c.send(query("1", "read", 9000))
	held := next(t, queries)
	stop <- syscall.SIGTERM
	began := time.Now()
	late := client(t, pooler)
	late.send(query("2", "read", 9000))
	next(t, queries).send(row("v2"))
	late.want("TDCZ v2")
	late.send(query("3", "write", 19000)) // never answered
	next(t, queries)
	if got, took := idle.answer(), time.Since(began); got != "$" || took < 2*time.Second {
		t.Errorf("the idle client was told %q after %v", got, took)
	}
	held.send(row("v1"))
	c.want("TDCZ v1")
	late.want("EZ 58000")
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Errorf("the process did not end in %v", patience)
	}
	if _, err := net.Dial("tcp", pooler); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("after the end: %v", err)
	}
}

// stuckFiles is a disk on which every write hangs.
type stuckFiles struct{ hangs chan struct{} }

func (f stuckFiles) Create(string) (io.WriteCloser, error) { return f, nil }
func (f stuckFiles) Remove(string) error                   { return nil }
func (f stuckFiles) List() (map[string]int64, error)       { return nil, nil }
func (f stuckFiles) Close() error                          { return nil }
func (f stuckFiles) Write([]byte) (int, error) {
	select {
	case f.hangs <- struct{}{}:
	default:
	}
	select {} // for ever
}

// TestRecordsHang guards against records that hold service up: with a disk on which every write hangs, and far more
// events than may wait, clients are served as ever, and the pooler ends when it is told to.
func TestRecordsHang(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	hangs := make(chan struct{}, 1)
	p := newPooler(testConfig(t, srv, nil), slog.New(slog.DiscardHandler))
	p.files = stuckFiles{hangs}
	end := p.openRecorder(settings.Record{Enabled: true, Dir: "x", SegmentBytes: 1 << 20, TotalBytes: 2 << 20, QueueLength: 64, FlushIntervalMs: 1})
	addr, _, stop, ended := launch(t, p)
	c := client(t, addr)
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	<-hangs // the writer waits now, and goes on waiting
	for i := range 200 {
		c.send(query(fmt.Sprint(i), "read", 20000))
		c.want("TDCZ v")
	}
	_ = c.Close()
	stop <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
	end() // gives up waiting for the disk
}
