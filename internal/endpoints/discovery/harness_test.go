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

const testTimeout = 20 * time.Second

// testClient is a client on an event loop whose clock the test sets. It talks to scripted servers in place of discovery.
type testClient struct {
	t      *testing.T
	clock  *clock.Manual
	loop   *eventloop.Loop
	client *Client
	events chan string
}

func (s *testClient) Listed(list *List) {
	s.events <- fmt.Sprintf("list %d, full %v", list.Generation, list.Reset)
}

func (s *testClient) ListFailed() { s.events <- "failed" }

// newTestClient returns a client of the given server that holds generation 4.
func newTestClient(t *testing.T, server *scriptedServer) *testClient {
	s := &testClient{t: t, clock: &clock.Manual{Ms: 1e6}, events: make(chan string, 99)}
	began, ended := make(chan struct{}), make(chan error, 1)
	log := slog.New(slog.DiscardHandler)
	s.loop = eventloop.New(s.clock, log, func() eventloop.Handler { return ignoringHandler{} }, func() {
		s.client = New(s.loop, log, server.address, 4, s)
		close(began)
	})
	go func() { ended <- s.loop.Run("127.0.0.1:0") }()
	<-began
	t.Cleanup(func() {
		s.loop.End()
		if err := <-ended; err != nil {
			t.Errorf("run the event loop: %v", err)
		}
	})
	return s
}

// onLoop runs a function on the loop, and waits until it has returned.
func (s *testClient) onLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// advance moves the clock forward.
func (s *testClient) advance(ms float64) { s.onLoop(func() { s.clock.Ms += ms }) }

// waitUntil waits until ok, called on the loop, returns true. what describes the condition.
func (s *testClient) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		satisfied := false
		if s.onLoop(func() { satisfied = ok() }); satisfied {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("condition not met: %s", what)
		}
	}
}

// waitUntilRead waits until the client has read all that was sent on its open calls.
func (s *testClient) waitUntilRead() {
	s.t.Helper()
	idle := func(call *httpCall) bool { return call == nil || call.conn != nil && call.conn.OpenAndIdle() }
	s.waitUntil("all sent bytes are read", func() bool { return idle(s.client.watch) && idle(s.client.fullFetch) })
}

// wantEvent waits for the next event, which has to be the given one.
func (s *testClient) wantEvent(event string) {
	s.t.Helper()
	select {
	case got := <-s.events:
		if got != event {
			s.t.Fatalf("event %q, want %q", got, event)
		}
	case <-time.After(testTimeout):
		s.t.Fatalf("no event, want %q", event)
	}
}

// scriptedServer stands in for discovery. It accepts calls, and the test sends the responses.
type scriptedServer struct {
	t        *testing.T
	listener net.Listener
	address  string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen in place of discovery: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &scriptedServer{t: t, listener: ln, address: ln.Addr().String()}
}

// acceptedCall is one call that a scripted server has accepted.
type acceptedCall struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// next accepts a call, which has to request the given path.
func (d *scriptedServer) next(path string) *acceptedCall {
	d.t.Helper()
	_ = d.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := d.listener.Accept()
	if err != nil {
		d.t.Fatalf("no request for %s: %v", path, err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
	line, err := c.reader.ReadString('\n')
	if err != nil || line != "GET "+path+" HTTP/1.1\r\n" {
		d.t.Fatalf("request %q, error %v, want GET %s", line, err, path)
	}
	for line != "\r\n" {
		if line, err = c.reader.ReadString('\n'); err != nil {
			d.t.Fatalf("read the head of the request for %s: %v", path, err)
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
		c.t.Fatalf("send to the client: %v", err)
	}
}

const okHead = "HTTP/1.1 200 OK\r\n\r\n"

// sendList sends a list without instances.
func (c *acceptedCall) sendList(generation int, full bool) {
	c.t.Helper()
	c.send(fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[]}\n", generation, full))
}

// wantEnd waits until the client has closed the connection.
func (c *acceptedCall) wantEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		c.t.Fatalf("the client sent %q, want it to close the connection", b)
	} else if strings.Contains(err.Error(), "timeout") {
		c.t.Fatal("the client keeps the call open")
	}
}

// next2 accepts two calls and returns them by path, as their connections may be established in either order.
func (d *scriptedServer) next2() map[string]*acceptedCall {
	d.t.Helper()
	calls := map[string]*acceptedCall{}
	for range 2 {
		conn, err := d.listener.Accept()
		if err != nil {
			d.t.Fatalf("accept a call: %v", err)
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
		line, err := c.reader.ReadString('\n')
		if err != nil {
			d.t.Fatalf("read the request line: %v", err)
		}
		calls[strings.Fields(line)[1]] = c
	}
	return calls
}

// fullListener returns a server whose listen backlog is full: connections to it are never established, as the kernel drops their SYN
// packets. drain closes the connections that fill the backlog.
func fullListener(t *testing.T) (d *scriptedServer, drain func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("create a socket: %v", err)
	}
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatalf("listen with a backlog of 0: %v", err)
	}
	f := os.NewFile(uintptr(fd), "full")
	ln, err := net.FileListener(f)
	_ = f.Close()
	if err != nil {
		t.Fatalf("use the socket as a listener: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var fill []net.Conn
	drain = func() {
		for _, conn := range fill {
			_ = conn.Close()
		}
	}
	t.Cleanup(drain)
	for address := ln.Addr().String(); ; {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return &scriptedServer{t: t, listener: ln, address: address}, drain
		}
		fill = append(fill, conn)
	}
}

// nextAfterDrain accepts the first call for a path, and skips connections that were closed without a request. Meanwhile it advances the
// clock for a client that pauses before its next call.
func (d *scriptedServer) nextAfterDrain(s *testClient, path string) *acceptedCall {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
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
	d.t.Fatalf("no request for %s in time", path)
	return nil
}
