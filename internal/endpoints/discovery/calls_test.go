package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
)

const patience = 20 * time.Second

// testClient is a client on a loop whose clock the test sets, before scripted discoveries.
type testClient struct {
	t      *testing.T
	clock  *clock.Manual
	loop   *eventloop.Loop
	client *Client
	events chan string
}

func (s *testClient) Listed(list *List) {
	s.events <- fmt.Sprintf("list %d, whole %v", list.Generation, list.Reset)
}
func (s *testClient) ListFailed() { s.events <- "failed" }

// newTestClient makes a client that holds generation 4 from the given discovery.
func newTestClient(t *testing.T, at *scriptedServer) *testClient {
	s := &testClient{t: t, clock: &clock.Manual{Ms: 1e6}, events: make(chan string, 99)}
	began, ended := make(chan struct{}), make(chan error, 1)
	log := slog.New(slog.DiscardHandler)
	s.loop = eventloop.New(s.clock, log, func() eventloop.Handler { return ignoringHandler{} }, func() {
		s.client = New(s.loop, log, at.address, 4, s)
		close(began)
	})
	go func() { ended <- s.loop.Run("127.0.0.1:0") }()
	<-began
	t.Cleanup(func() {
		s.loop.End()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// onLoop runs a function on the loop, and waits for its end.
func (s *testClient) onLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// advance moves the clock on.
func (s *testClient) advance(ms float64) { s.onLoop(func() { s.clock.Ms += ms }) }

// waitUntil waits until something holds on the loop.
func (s *testClient) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		satisfied := false
		if s.onLoop(func() { satisfied = ok() }); satisfied {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("not so: %s", what)
		}
	}
}

// waitUntilRead waits until all that was sent on calls that are open has been read.
func (s *testClient) waitUntilRead() {
	s.t.Helper()
	idle := func(call *httpCall) bool { return call == nil || call.conn != nil && call.conn.OpenAndIdle() }
	s.waitUntil("all is read", func() bool { return idle(s.client.watch) && idle(s.client.fullFetch) })
}

// wantEvent waits for the next event.
func (s *testClient) wantEvent(event string) {
	s.t.Helper()
	select {
	case got := <-s.events:
		if got != event {
			s.t.Fatalf("told %q, want %q", got, event)
		}
	case <-time.After(patience):
		s.t.Fatalf("not told: %s", event)
	}
}

// scriptedServer is a discovery that says what the test has it say.
type scriptedServer struct {
	t        *testing.T
	listener net.Listener
	address  string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &scriptedServer{t: t, listener: ln, address: ln.Addr().String()}
}

// acceptedCall is one call that a discovery has accepted.
type acceptedCall struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// next accepts a call, which has to be for the given path.
func (d *scriptedServer) next(path string) *acceptedCall {
	d.t.Helper()
	_ = d.listener.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	conn, err := d.listener.Accept()
	if err != nil {
		d.t.Fatalf("not asked for %s: %v", path, err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
	line, err := c.reader.ReadString('\n')
	if err != nil || line != "GET "+path+" HTTP/1.1\r\n" {
		d.t.Fatalf("asked %q, %v, want %s", line, err, path)
	}
	for line != "\r\n" {
		if line, err = c.reader.ReadString('\n'); err != nil {
			d.t.Fatal(err)
		}
	}
	return c
}

func (d *scriptedServer) nextWatch(from int) *acceptedCall {
	d.t.Helper()
	return d.next(fmt.Sprintf("/v1/endpoints?watch=1&from=%d", from))
}

func (d *scriptedServer) nextFetch() *acceptedCall {
	d.t.Helper()
	return d.next("/v1/endpoints")
}

func (c *acceptedCall) send(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

const okHead = "HTTP/1.1 200 OK\r\n\r\n"

// sendList says a list of no instances.
func (c *acceptedCall) sendList(generation int, full bool) {
	c.t.Helper()
	c.send(fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[]}\n", generation, full))
}

// wantEnd waits until the client has closed the connection.
func (c *acceptedCall) wantEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		c.t.Fatalf("the client sent %q", b)
	} else if strings.Contains(err.Error(), "timeout") {
		c.t.Fatal("the client keeps the call")
	}
}

// TestFullListIsRequestedUntilReceived checks that after a change of address a watch that sends changes alone has the full list
// fetched, and fetched again when that fails: a new watch may not go on from the changes.
func TestFullListIsRequestedUntilReceived(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	old.nextWatch(4)
	s.onLoop(func() { s.client.SetAddress(moved.address) })
	watch := moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, whole false")
	moved.nextFetch().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	s.wantEvent("failed")
	s.onLoop(s.client.Watch) // as the module has it after a failure
	watch = moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, whole false")
	fetch := moved.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, whole true")
	s.onLoop(s.client.Watch)
	moved.nextWatch(9)
}

// TestOlderFullListIsRejected checks that a full list older than what the watch has sent meanwhile is rejected: a draining
// server would be up again. Discovery handles calls in turn, so it may come.
func TestOlderFullListIsRejected(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	watch := at.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := at.nextFetch()
	watch.sendList(7, false)
	s.wantEvent("list 7, whole false")
	fetch.send(okHead)
	fetch.sendList(6, true)
	s.wantEvent("failed")
	s.onLoop(s.client.Fetch)
	fetch = at.nextFetch()
	fetch.send(okHead)
	fetch.sendList(7, true)
	s.wantEvent("list 7, whole true")
}

// TestChangesOlderThanTheFullListAreIgnored checks that changes on a watch that the full list already holds are ignored.
func TestChangesOlderThanTheFullListAreIgnored(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	watch := at.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := at.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, whole true")
	watch.sendList(8, false)
	watch.sendList(10, false)
	s.wantEvent("list 10, whole false")
}

// TestOlderListOnAWatchEndsIt checks that a generation that goes back on one watch ends it, and that the next one goes on from
// the newest.
func TestOlderListOnAWatchEndsIt(t *testing.T) {
	for _, full := range []bool{false, true} {
		t.Run(fmt.Sprintf("whole %v", full), func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			s.onLoop(s.client.Watch)
			watch := at.nextWatch(4)
			watch.send(okHead)
			watch.sendList(7, false)
			s.wantEvent("list 7, whole false")
			watch.sendList(6, full)
			s.wantEvent("failed")
			watch.wantEnd()
			s.onLoop(s.client.Watch)
			at.nextWatch(7)
		})
	}
}

// TestRestartOfDiscoveryIsDetected checks that a lower generation first on a new watch counts as a restart of discovery, and
// that the full list is fetched where only changes came.
func TestRestartOfDiscoveryIsDetected(t *testing.T) {
	for _, full := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %v", full), func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			s.onLoop(s.client.Watch)
			watch := at.nextWatch(4)
			watch.send(okHead)
			watch.sendList(2, full)
			s.wantEvent(fmt.Sprintf("list 2, whole %v", full))
			if !full {
				fetch := at.nextFetch()
				fetch.send(okHead)
				fetch.sendList(2, true)
				s.wantEvent("list 2, whole true")
			}
			watch.sendList(3, false)
			s.wantEvent("list 3, whole false")
			s.onLoop(s.client.Watch)
			at.nextWatch(3)
		})
	}
}

// TestOldAddressIsIgnoredAfterSetAddress checks that what the old discovery has sent, and was not read before SetAddress, is
// ignored.
func TestOldAddressIsIgnoredAfterSetAddress(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := old.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	watch.send(okHead)
	fetch.send(okHead)
	s.waitUntil("both heads are read", func() bool {
		return s.client.watch.response.inBody && s.client.fullFetch.response.inBody
	})
	s.onLoop(func() {
		watch.sendList(90, true)
		fetch.sendList(91, true)
		for end := time.Now().Add(patience); s.client.watch.conn.OpenAndIdle() || s.client.fullFetch.conn.OpenAndIdle(); {
			if time.Now().After(end) {
				t.Error("nothing came")
				break
			}
		}
		s.client.SetAddress(moved.address)
	})
	asked := moved.next2()
	if asked["/v1/endpoints"] == nil || asked["/v1/endpoints?watch=1&from=0"] == nil {
		t.Fatalf("asked %v", asked)
	}
	watch = asked["/v1/endpoints?watch=1&from=0"]
	watch.send(okHead)
	watch.sendList(3, true)
	s.wantEvent("list 3, whole true")
}

// next2 accepts two calls, by their paths: connections may come up in either order.
func (d *scriptedServer) next2() map[string]*acceptedCall {
	d.t.Helper()
	asked := map[string]*acceptedCall{}
	for range 2 {
		conn, err := d.listener.Accept()
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(patience))
		c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
		line, err := c.reader.ReadString('\n')
		if err != nil {
			d.t.Fatal(err)
		}
		asked[strings.Fields(line)[1]] = c
	}
	return asked
}

// TestTricklingResponseTimesOut checks that single bytes are no progress anywhere in a response: a call whose head, chunk head
// or list never completes ends like a silent one.
func TestTricklingResponseTimesOut(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		fetch bool
		first string
		then  string
	}{
		"head":                     {first: "HTTP/1.1 200 OK\r\nX: ", then: "xxxx"},
		"status":                   {first: "H", then: "TTP/"},
		"refusal's head":           {first: "HTTP/1.1 503 Busy\r\nX: ", then: "xxxx"},
		"chunk's head":             {first: chunked + "1", then: ";xxx"},
		"chunk's size":             {first: chunked, then: "0000"},
		"list":                     {first: okHead + "{", then: "    "},
		"whole list":               {fetch: true, first: okHead + "{", then: "    "},
		"empty lines for the list": {fetch: true, first: okHead, then: "\n\n\n\n"},
		"spaces on a watch":        {first: okHead, then: "    "},
	} {
		t.Run(name, func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			var call *acceptedCall
			if c.fetch {
				s.onLoop(s.client.Fetch)
				call = at.nextFetch()
			} else {
				s.onLoop(s.client.Watch)
				call = at.nextWatch(4)
			}
			call.send(c.first)
			s.waitUntilRead()
			for _, b := range c.then[:2] { // within the time
				s.advance(1000)
				call.send(string(b))
				s.waitUntilRead()
			}
			s.advance(silenceTimeoutMs - 2000 + 1)
			call.wantEnd()
			if c.fetch {
				s.wantEvent("failed")
			} else {
				at.nextWatch(4)
			}
		})
	}
}

// TestProgressKeepsCallsOpen checks that empty lines and lists keep a watch open, and each step of a list a fetch.
func TestProgressKeepsCallsOpen(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := at.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	for _, part := range []struct{ watch, fetch string }{
		{okHead, okHead},
		{"\n", "{"},
		{`{"generation":5,`, `"generation":5,"reset":true}`},
		{`"instances":[]}` + "\n", ""},
		{"\n", ""},
	} {
		s.advance(2000)
		watch.send(part.watch)
		fetch.send(part.fetch)
		s.waitUntilRead()
	}
	s.wantEvent("list 5, whole true")
	s.wantEvent("list 5, whole false")
	watch.sendList(6, false)
	s.wantEvent("list 6, whole false")
}

// fullListener listens with a backlog that is full: connections to it never come up, as the system drops what asks for them. The
// function closes what fills it.
func fullListener(t *testing.T) (d *scriptedServer, empty func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "full")
	ln, err := net.FileListener(f)
	_ = f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var fill []net.Conn
	empty = func() {
		for _, conn := range fill {
			_ = conn.Close()
		}
	}
	t.Cleanup(empty)
	for at := ln.Addr().String(); ; {
		conn, err := net.DialTimeout("tcp", at, 100*time.Millisecond)
		if err != nil {
			return &scriptedServer{t: t, listener: ln, address: at}, empty
		}
		fill = append(fill, conn)
	}
}

// nextAfterEmpty accepts the first call for a path behind connections that were closed before they said anything. Meanwhile it moves
// the clock on for a client that waits before its next call.
func (d *scriptedServer) nextAfterEmpty(s *testClient, path string) *acceptedCall {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		s.onLoop(func() {
			if s.client.watch == nil {
				s.clock.Ms += maxRetryPauseMs
			}
		})
		_ = d.listener.(*net.TCPListener).SetDeadline(time.Now().Add(100 * time.Millisecond))
		conn, err := d.listener.Accept()
		if err != nil {
			continue
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(end)
		c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
		if line, err := c.reader.ReadString('\n'); err == nil && line == "GET "+path+" HTTP/1.1\r\n" {
			return c
		}
	}
	d.t.Fatalf("not asked for %s", path)
	return nil
}

// TestUnansweredDialTimesOut checks that a connection that never comes up counts as silence: the watch is reopened at once,
// without a failure, which would delay the next call.
func TestUnansweredDialTimesOut(t *testing.T) {
	for name, pushed := range map[string]bool{"asked": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			at, empty := fullListener(t)
			s := newTestClient(t, at)
			s.onLoop(func() {
				if pushed {
					s.client.SetPushMode(true)
				} else {
					s.client.Watch()
				}
			})
			var first *httpCall
			s.onLoop(func() { first = s.client.watch })
			s.waitUntil("the dial is given up", func() bool { return s.client.watch != first })
			if pushed {
				s.advance(minRetryPauseMs)
			}
			s.waitUntil("the next is on its way", func() bool { return s.client.watch != nil })
			select {
			case got := <-s.events:
				t.Fatalf("told %q", got)
			default:
			}
			empty()
			watch := at.nextAfterEmpty(s, "/v1/endpoints?watch=1&from=4")
			watch.send(okHead)
			watch.sendList(5, false)
			s.wantEvent("list 5, whole false")
		})
	}
}
