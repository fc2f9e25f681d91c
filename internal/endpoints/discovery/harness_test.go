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
			s.t.Fatalf("event %q, want %q", got, event)
		}
	case <-time.After(patience):
		s.t.Fatalf("no event: %s", event)
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
		d.t.Fatalf("no request of %s: %v", path, err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	c := &acceptedCall{t: d.t, conn: conn, reader: bufio.NewReader(conn)}
	line, err := c.reader.ReadString('\n')
	if err != nil || line != "GET "+path+" HTTP/1.1\r\n" {
		d.t.Fatalf("request %q, %v, want %s", line, err, path)
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

// next2 accepts two calls, by their paths: connections may come up in either order.
func (d *scriptedServer) next2() map[string]*acceptedCall {
	d.t.Helper()
	calls := map[string]*acceptedCall{}
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
		calls[strings.Fields(line)[1]] = c
	}
	return calls
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
	d.t.Fatalf("no request of %s", path)
	return nil
}
