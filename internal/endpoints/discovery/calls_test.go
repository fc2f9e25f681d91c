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

// station is a client on a loop whose clock the test sets, before scripted discoveries.
type station struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *eventloop.Loop
	client *Client
	events chan string
}

func (s *station) Listed(l *List) {
	s.events <- fmt.Sprintf("list %d, whole %v", l.Generation, l.Reset)
}
func (s *station) ListFailed() { s.events <- "failed" }

// newStation makes a client that holds generation 4 from the given discovery.
func newStation(t *testing.T, at *scripted) *station {
	s := &station{t: t, clk: &clock.Manual{Ms: 1e6}, events: make(chan string, 99)}
	began, ended := make(chan struct{}), make(chan error, 1)
	log := slog.New(slog.DiscardHandler)
	s.loop = eventloop.New(s.clk, log, func() eventloop.Handler { return nobody{} }, func() {
		s.client = New(s.loop, log, at.addr, 4, s)
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

// do runs a function on the loop, and waits for its end.
func (s *station) do(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// pass moves the clock on.
func (s *station) pass(ms float64) { s.do(func() { s.clk.Ms += ms }) }

// until waits until something holds on the loop.
func (s *station) until(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		holds := false
		if s.do(func() { holds = ok() }); holds {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("not so: %s", what)
		}
	}
}

// untilRead waits until all that was sent on calls that are open has been read.
func (s *station) untilRead() {
	s.t.Helper()
	quiet := func(call *httpCall) bool { return call == nil || call.conn != nil && call.conn.OpenAndIdle() }
	s.until("all is read", func() bool { return quiet(s.client.watch) && quiet(s.client.fullFetch) })
}

// want waits for the next event.
func (s *station) want(event string) {
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

// scripted is a discovery that says what the test has it say.
type scripted struct {
	t    *testing.T
	ln   net.Listener
	addr string
}

func newScripted(t *testing.T) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &scripted{t: t, ln: ln, addr: ln.Addr().String()}
}

// called is one call that a discovery has accepted.
type called struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// next accepts a call, which has to be for the given path.
func (d *scripted) next(path string) *called {
	d.t.Helper()
	_ = d.ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	conn, err := d.ln.Accept()
	if err != nil {
		d.t.Fatalf("not asked for %s: %v", path, err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	c := &called{t: d.t, conn: conn, in: bufio.NewReader(conn)}
	line, err := c.in.ReadString('\n')
	if err != nil || line != "GET "+path+" HTTP/1.1\r\n" {
		d.t.Fatalf("asked %q, %v, want %s", line, err, path)
	}
	for line != "\r\n" {
		if line, err = c.in.ReadString('\n'); err != nil {
			d.t.Fatal(err)
		}
	}
	return c
}

func (d *scripted) nextWatch(from int) *called {
	d.t.Helper()
	return d.next(fmt.Sprintf("/v1/endpoints?watch=1&from=%d", from))
}

func (d *scripted) nextFetch() *called {
	d.t.Helper()
	return d.next("/v1/endpoints")
}

func (c *called) say(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

const okHead = "HTTP/1.1 200 OK\r\n\r\n"

// tell says a list of no instances.
func (c *called) tell(generation int, whole bool) {
	c.t.Helper()
	c.say(fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[]}\n", generation, whole))
}

// wantEnd waits until the client has closed the connection.
func (c *called) wantEnd() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err == nil {
		c.t.Fatalf("the client sent %q", b)
	} else if strings.Contains(err.Error(), "timeout") {
		c.t.Fatal("the client keeps the call")
	}
}

// TestFullListIsRequestedUntilReceived: after a move, a watch that tells changes alone leaves open what they are changes of. The whole
// list is asked for, and again where that fails: a new watch may not go on from the changes.
func TestFullListIsRequestedUntilReceived(t *testing.T) {
	old, moved := newScripted(t), newScripted(t)
	s := newStation(t, old)
	s.do(s.client.Watch)
	old.nextWatch(4)
	s.do(func() { s.client.SetAddress(moved.addr) })
	watch := moved.nextWatch(0)
	watch.say(okHead)
	watch.tell(9, false)
	s.want("list 9, whole false")
	moved.nextFetch().say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	s.want("failed")
	s.do(s.client.Watch) // as the module has it after a failure
	watch = moved.nextWatch(0)
	watch.say(okHead)
	watch.tell(9, false)
	s.want("list 9, whole false")
	fetch := moved.nextFetch()
	fetch.say(okHead)
	fetch.tell(9, true)
	s.want("list 9, whole true")
	s.do(s.client.Watch)
	moved.nextWatch(9)
}

// TestOlderFullListIsRejected: calls are handled in turn, so a whole list may be older than what the watch has told meanwhile. It is not told: a
// server that drains would be up again.
func TestOlderFullListIsRejected(t *testing.T) {
	at := newScripted(t)
	s := newStation(t, at)
	s.do(s.client.Watch)
	watch := at.nextWatch(4)
	watch.say(okHead)
	s.do(s.client.Fetch)
	fetch := at.nextFetch()
	watch.tell(7, false)
	s.want("list 7, whole false")
	fetch.say(okHead)
	fetch.tell(6, true)
	s.want("failed")
	s.do(s.client.Fetch)
	fetch = at.nextFetch()
	fetch.say(okHead)
	fetch.tell(7, true)
	s.want("list 7, whole true")
}

// TestChangesOlderThanTheFullListAreIgnored: a whole list may be newer than what the watch tells next. Those changes are in it.
func TestChangesOlderThanTheFullListAreIgnored(t *testing.T) {
	at := newScripted(t)
	s := newStation(t, at)
	s.do(s.client.Watch)
	watch := at.nextWatch(4)
	watch.say(okHead)
	s.do(s.client.Fetch)
	fetch := at.nextFetch()
	fetch.say(okHead)
	fetch.tell(9, true)
	s.want("list 9, whole true")
	watch.tell(8, false)
	watch.tell(10, false)
	s.want("list 10, whole false")
}

// TestOlderListOnAWatchEndsIt: on one watch generations grow. One that goes back shows that the watch is broken; the next goes on from the
// newest.
func TestOlderListOnAWatchEndsIt(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprintf("whole %v", whole), func(t *testing.T) {
			at := newScripted(t)
			s := newStation(t, at)
			s.do(s.client.Watch)
			watch := at.nextWatch(4)
			watch.say(okHead)
			watch.tell(7, false)
			s.want("list 7, whole false")
			watch.tell(6, whole)
			s.want("failed")
			watch.wantEnd()
			s.do(s.client.Watch)
			at.nextWatch(7)
		})
	}
}

// TestRestartOfDiscoveryIsDetected: a discovery that has lost its state counts generations from the start. What it tells first on a new watch is how
// it stands; where that is changes alone, the whole list is asked for.
func TestRestartOfDiscoveryIsDetected(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %v", whole), func(t *testing.T) {
			at := newScripted(t)
			s := newStation(t, at)
			s.do(s.client.Watch)
			watch := at.nextWatch(4)
			watch.say(okHead)
			watch.tell(2, whole)
			s.want(fmt.Sprintf("list 2, whole %v", whole))
			if !whole {
				fetch := at.nextFetch()
				fetch.say(okHead)
				fetch.tell(2, true)
				s.want("list 2, whole true")
			}
			watch.tell(3, false)
			s.want("list 3, whole false")
			s.do(s.client.Watch)
			at.nextWatch(3)
		})
	}
}

// TestOldAddressIsIgnoredAfterSetAddress: what the old discovery has sent, but is not read yet when the client moves, is not told.
func TestOldAddressIsIgnoredAfterSetAddress(t *testing.T) {
	old, moved := newScripted(t), newScripted(t)
	s := newStation(t, old)
	s.do(s.client.Watch)
	s.do(s.client.Fetch)
	calls := old.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	watch.say(okHead)
	fetch.say(okHead)
	s.until("both heads are read", func() bool {
		return s.client.watch.response.inBody && s.client.fullFetch.response.inBody
	})
	s.do(func() {
		watch.tell(90, true)
		fetch.tell(91, true)
		for end := time.Now().Add(patience); s.client.watch.conn.OpenAndIdle() || s.client.fullFetch.conn.OpenAndIdle(); {
			if time.Now().After(end) {
				t.Error("nothing came")
				break
			}
		}
		s.client.SetAddress(moved.addr)
	})
	asked := moved.next2()
	if asked["/v1/endpoints"] == nil || asked["/v1/endpoints?watch=1&from=0"] == nil {
		t.Fatalf("asked %v", asked)
	}
	watch = asked["/v1/endpoints?watch=1&from=0"]
	watch.say(okHead)
	watch.tell(3, true)
	s.want("list 3, whole true")
}

// next2 accepts two calls, by their paths: connections may come up in either order.
func (d *scripted) next2() map[string]*called {
	d.t.Helper()
	asked := map[string]*called{}
	for range 2 {
		conn, err := d.ln.Accept()
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(patience))
		c := &called{t: d.t, conn: conn, in: bufio.NewReader(conn)}
		line, err := c.in.ReadString('\n')
		if err != nil {
			d.t.Fatal(err)
		}
		asked[strings.Fields(line)[1]] = c
	}
	return asked
}

// TestTricklingResponseTimesOut: an answer that comes byte by byte is no sign of life, wherever in it: a call whose head, or chunk's head, or whole list never
// gets whole is given up like a silent one.
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
			at := newScripted(t)
			s := newStation(t, at)
			var call *called
			if c.fetch {
				s.do(s.client.Fetch)
				call = at.nextFetch()
			} else {
				s.do(s.client.Watch)
				call = at.nextWatch(4)
			}
			call.say(c.first)
			s.untilRead()
			for _, b := range c.then[:2] { // within the time
				s.pass(1000)
				call.say(string(b))
				s.untilRead()
			}
			s.pass(silenceTimeoutMs - 2000 + 1)
			call.wantEnd()
			if c.fetch {
				s.want("failed")
			} else {
				at.nextWatch(4)
			}
		})
	}
}

// TestProgressKeepsCallsOpen: what does make progress keeps its call open: empty lines and lists on a watch, each step of a whole list.
func TestProgressKeepsCallsOpen(t *testing.T) {
	at := newScripted(t)
	s := newStation(t, at)
	s.do(s.client.Watch)
	s.do(s.client.Fetch)
	calls := at.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	for _, part := range []struct{ watch, fetch string }{
		{okHead, okHead},
		{"\n", "{"},
		{`{"generation":5,`, `"generation":5,"reset":true}`},
		{`"instances":[]}` + "\n", ""},
		{"\n", ""},
	} {
		s.pass(2000)
		watch.say(part.watch)
		fetch.say(part.fetch)
		s.untilRead()
	}
	s.want("list 5, whole true")
	s.want("list 5, whole false")
	watch.tell(6, false)
	s.want("list 6, whole false")
}

// fullListener listens with a backlog that is full: connections to it never come up, as the system drops what asks for them. The
// function closes what fills it.
func fullListener(t *testing.T) (d *scripted, empty func()) {
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
			return &scripted{t: t, ln: ln, addr: at}, empty
		}
		fill = append(fill, conn)
	}
}

// nextAfterEmpty accepts the first call for a path behind connections that were closed before they said anything. Meanwhile it moves
// the clock on for a client that waits before its next call.
func (d *scripted) nextAfterEmpty(s *station, path string) *called {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		s.do(func() {
			if s.client.watch == nil {
				s.clk.Ms += maxRetryPauseMs
			}
		})
		_ = d.ln.(*net.TCPListener).SetDeadline(time.Now().Add(100 * time.Millisecond))
		conn, err := d.ln.Accept()
		if err != nil {
			continue
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(end)
		c := &called{t: d.t, conn: conn, in: bufio.NewReader(conn)}
		if line, err := c.in.ReadString('\n'); err == nil && line == "GET "+path+" HTTP/1.1\r\n" {
			return c
		}
	}
	d.t.Fatalf("not asked for %s", path)
	return nil
}

// TestUnansweredDialTimesOut: a connection to discovery that never comes up is silence: the watch is asked for again at once, and nobody is told of a
// failure, after which the next call would wait for its turn.
func TestUnansweredDialTimesOut(t *testing.T) {
	for name, pushed := range map[string]bool{"asked": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			at, empty := fullListener(t)
			s := newStation(t, at)
			s.do(func() {
				if pushed {
					s.client.SetPushMode(true)
				} else {
					s.client.Watch()
				}
			})
			var first *httpCall
			s.do(func() { first = s.client.watch })
			s.until("the dial is given up", func() bool { return s.client.watch != first })
			if pushed {
				s.pass(minRetryPauseMs)
			}
			s.until("the next is on its way", func() bool { return s.client.watch != nil })
			select {
			case got := <-s.events:
				t.Fatalf("told %q", got)
			default:
			}
			empty()
			watch := at.nextAfterEmpty(s, "/v1/endpoints?watch=1&from=4")
			watch.say(okHead)
			watch.tell(5, false)
			s.want("list 5, whole false")
		})
	}
}
