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

// TestRefusedWatchIsReopened: a watch that is refused is opened again from the same generation. What it then reports is binding: nothing
// more is sent to a draining server.
func TestRefusedWatchIsReopened(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	var calls atomic.Int32
	urls := make(chan string, 9)
	pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
		urls <- r.URL.String()
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
		case got := <-urls:
			if got != "/v1/endpoints?watch=1&from=4" {
				t.Fatalf("call to discovery is %s, want a watch from generation 4", got)
			}
		case <-time.After(testTimeout):
			t.Fatalf("discovery received no watch within %v", testTimeout)
		}
	}
	c := client(t, pooler)
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	for end := time.Now().Add(testTimeout); ; { // until the list has arrived, the server may be asked
		c.send(query("1", "read", 400))
		switch got := c.answer(); {
		case got == "EZ 53300":
			return
		case got != "TDCZ v":
			t.Fatalf("read is answered %q, want \"TDCZ v\" or \"EZ 53300\"", got)
		case time.Now().After(end):
			t.Fatalf("the draining server is still sent reads after %v", testTimeout)
		}
	}
}

// TestReload: on SIGHUP an invalid configuration changes nothing. One that names another discovery service takes effect at once: the whole
// list is requested from the new service, as its generations are its own, and the end of the old watch is not taken for a failure.
func TestReload(t *testing.T) {
	t.Parallel()
	oldAddr, oldQueries := server(t)
	newAddr, newQueries := server(t)
	calls := make(chan string, 9)
	watch := func(name, addr string, gen int, then func(*http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			reset := !r.URL.Query().Has("from") // a service that accepts any generation as one of its own
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
	newDiscovery := httptest.NewServer(watch("2", newAddr, 2, wait))
	t.Cleanup(func() { newDiscovery.CloseClientConnections(); newDiscovery.Close() })
	loads, closed := 0, make(chan struct{})
	pooler, hup, _, _ := startPoolerWithReload(t, oldAddr, watch("1", oldAddr, 40, func(r *http.Request) { wait(r); close(closed) }),
		func(c config.Config) (*config.Config, error) {
			if loads++; loads == 1 {
				return nil, errors.New("no good")
			}
			c.DiscoveryAddress = newDiscovery.Listener.Addr().String()
			return &c, nil
		})
	expectCall := func(want string) {
		t.Helper()
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("call to discovery is %s, want %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("discovery received no call within %v, want %s", testTimeout, want)
		}
	}
	expectCall("1/v1/endpoints?watch=1&from=4")
	c := client(t, pooler)
	hup <- syscall.SIGHUP
	c.send(query("1", "read", 9000))
	next(t, oldQueries).send(row("v"))
	c.want("TDCZ v")
	hup <- syscall.SIGHUP
	expectCall("2/v1/endpoints?watch=1&from=0")
	expectCall("2/v1/endpoints") // because the first answer was not the whole list
	<-closed
	for end, came := time.Now().Add(testTimeout), false; !came; { // until the new list is applied
		if time.Now().After(end) {
			t.Fatalf("the new list is not applied within %v", testTimeout)
		}
		c.send(query("2", "read", 9000))
		for answered := false; !answered; {
			var q receivedQuery
			select {
			case q = <-newQueries:
				came = true
			case q = <-oldQueries:
			case <-time.After(testTimeout):
				t.Fatalf("no server received the query within %v", testTimeout)
			}
			if answered = q.sql != "(gone)"; answered {
				q.send(row("v"))
			}
		}
		c.want("TDCZ v")
	}
	if len(calls) > 0 {
		t.Errorf("further call to discovery: got %s, want none", <-calls)
	}
}

// TestDescriptorShortageClosesIdleClients: a connection cannot be accepted without a free descriptor, so there are never more connections
// than descriptors: a new client takes the place of an idle one.
func TestDescriptorShortageClosesIdleClients(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 })
	var clients []*peer
	for range 8 { // two descriptors are kept for the server
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

// TestServerChangesAddress: a server that the list shows at a new address is asked there, even though a connection to the old address was
// in use when the list arrived and is free now.
func TestServerChangesAddress(t *testing.T) {
	t.Parallel()
	oldAddr, oldQueries := server(t)
	newAddr, newQueries := server(t)
	tell := make(chan struct{})
	pooler, _, _ := startPooler(t, oldAddr, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-tell:
			fmt.Fprintf(w, "{\"generation\":5,\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":%q,\"lifecycle\":\"up\",\"role\":\"primary\"}]}\n", newAddr)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
		}
		<-r.Context().Done()
	})
	c, other := client(t, pooler), client(t, pooler)
	c.send(query("1", "read", 9000))
	held := next(t, oldQueries)
	close(tell)
	for came, end := false, time.Now().Add(testTimeout); !came; { // until the list has arrived
		if time.Now().After(end) {
			t.Fatalf("the server's new address received no query within %v", testTimeout)
		}
		other.send(query("2", "read", 9000))
		for answered := false; !answered; {
			select {
			case q := <-oldQueries:
				if answered = q.sql != "(gone)"; answered {
					q.send(row("v"))
				}
			case q := <-newQueries:
				q.send(row("v"))
				came, answered = true, true
			case <-time.After(testTimeout):
				t.Fatalf("neither address of the server received the query within %v", testTimeout)
			}
		}
		other.want("TDCZ v")
	}
	held.send(row("v"))
	c.want("TDCZ v")
	c.send(query("3", "read", 9000))
	next(t, newQueries).send(row("v3"))
	c.want("TDCZ v3")
}

// TestStopAnswersAcceptedRequests: after SIGTERM accepted requests are answered, and existing and new connections stay usable until the
// longest deadline has passed. Requests that arrive meanwhile are answered in time, whatever their client would wait for. The process exits
// without error once no answer is outstanding.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, stop, done := startPooler(t, addr, nil, func(c *config.Config) {
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
		t.Errorf("the idle client got %q after %v, want the end of its connection after at least 2 s", got, took)
	}
	held.send(row("v1"))
	c.want("TDCZ v1")
	late.want("EZ 58000")
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the process ended with error %v", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("the process did not end within %v", testTimeout)
	}
	if _, err := net.Dial("tcp", pooler); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("connecting after the end of the process: error is %v, want a refused connection", err)
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
	select {} // forever
}

// TestHangingRecordDisk guards against records that block service: with a disk on which every write hangs and far more events than the
// queue holds, clients are served as usual, and the pooler ends after SIGTERM.
func TestHangingRecordDisk(t *testing.T) {
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
	<-hangs // from now on the writer is blocked
	for i := range 200 {
		c.send(query(fmt.Sprint(i), "read", 20000))
		c.want("TDCZ v")
	}
	_ = c.Close()
	stop <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
	end() // gives up waiting for the disk
}
