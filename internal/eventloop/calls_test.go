package eventloop

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"

	"golang.org/x/sys/unix"
)

// faults makes calls fail: of each call, fails attempts fail with the error, and the next one is made.
type faults struct {
	mu    sync.Mutex
	fails int
	tries map[string]int
}

// fail reports whether this attempt of a call must fail.
func (f *faults) fail(call string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tries[call]++
	return f.tries[call]%(f.fails+1) != 0
}

// failingCalls returns the real calls, of which those named fail, and which read and write at most that many bytes at once.
func failingCalls(f *faults, failing map[string]error, most int) systemCalls {
	calls := realCalls
	cut := func(b []byte) []byte { return b[:min(len(b), most)] }
	calls.read = func(fd int, b []byte) (int, error) {
		if err := failing["read"]; err != nil && f.fail("read") {
			return -1, err
		}
		if len(b) > 8 { // of a socket, not the wake-up's
			b = cut(b)
		}
		return unix.Read(fd, b)
	}
	calls.write = func(fd int, b []byte) (int, error) {
		if err := failing["write"]; err != nil && f.fail("write") {
			return -1, err
		}
		if len(b) > 8 {
			b = cut(b)
		}
		return unix.Write(fd, b)
	}
	calls.epollCtl = func(epoll, op, fd int, event *unix.EpollEvent) error {
		if err := failing["epoll_ctl"]; err != nil && op != unix.EPOLL_CTL_DEL && f.fail("epoll_ctl") {
			return err
		}
		return unix.EpollCtl(epoll, op, fd, event)
	}
	calls.wait = func(epoll int, events []unix.EpollEvent, ms int) (int, error) {
		if err := failing["epoll_wait"]; err != nil && f.fail("epoll_wait") {
			return -1, err
		}
		return unix.EpollWait(epoll, events, ms)
	}
	return calls
}

// echo is a handler that sends back what it receives.
type echo struct {
	conn   *Conn
	closed chan error
}

func (e *echo) Opened(c *Conn)   { e.conn = c }
func (e *echo) Data(b []byte)    { _ = e.conn.Write(b) }
func (e *echo) Closed(err error) { e.closed <- err }

// TestTemporaryErrorsLoseNothing: calls that fail for a temporary reason, or that read and write little at once, lose no byte, no connection and no
// posted function.
func TestTemporaryErrorsLoseNothing(t *testing.T) {
	for name, c := range map[string]struct {
		failing map[string]error
		most    int
	}{
		"read EINTR":       {map[string]error{"read": unix.EINTR}, 1 << 20},
		"read EAGAIN":      {map[string]error{"read": unix.EAGAIN}, 1 << 20},
		"read ENOMEM":      {map[string]error{"read": unix.ENOMEM}, 1 << 20},
		"write EINTR":      {map[string]error{"write": unix.EINTR}, 1 << 20},
		"write EAGAIN":     {map[string]error{"write": unix.EAGAIN}, 1 << 20},
		"write ENOBUFS":    {map[string]error{"write": unix.ENOBUFS}, 1 << 20},
		"write ENOMEM":     {map[string]error{"write": unix.ENOMEM}, 1 << 20},
		"epoll_ctl ENOMEM": {map[string]error{"epoll_ctl": unix.ENOMEM}, 1 << 20},
		"epoll_wait EINTR": {map[string]error{"epoll_wait": unix.EINTR}, 1 << 20},
		"single bytes":     {nil, 1},
		"all of them": {map[string]error{"read": unix.EINTR, "write": unix.ENOBUFS, "epoll_ctl": unix.ENOMEM, "epoll_wait": unix.EINTR},
			100},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan error, 9)
			l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return &echo{closed: closed} }, func() {})
			l.calls = failingCalls(&faults{fails: 2, tries: map[string]int{}}, c.failing, c.most)
			ready, ended := make(chan bool), make(chan error, 1)
			l.Ready = func() { close(ready) }
			go func() { ended <- l.Run("127.0.0.1:0") }()
			<-ready
			conn, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(patience))
			sent := bytes.Repeat([]byte("0123456789abcdef"), 2000)
			go func() { _, _ = conn.Write(sent) }()
			got := make([]byte, len(sent))
			if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("the echo differs from what was sent: %v", err)
			}
			for range 20 {
				ran := make(chan bool)
				l.Post(func() { close(ran) })
				select {
				case <-ran:
				case <-time.After(patience):
					t.Fatal("a function that was posted does not run")
				}
			}
			if len(closed) > 0 {
				t.Errorf("the connection was closed: %v", <-closed)
			}
			l.End()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestPermanentErrorEndsOnlyItsConnection: an error that is not temporary ends its connection, with that error, and no other.
func TestPermanentErrorEndsOnlyItsConnection(t *testing.T) {
	for _, failing := range []struct {
		call  string
		error unix.Errno
	}{{"read", unix.ETIMEDOUT}, {"read", unix.EHOSTUNREACH}, {"read", unix.ECONNRESET}, {"write", unix.ETIMEDOUT}, {"write", unix.EPIPE}} {
		closed := make(chan error, 9)
		l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return &echo{closed: closed} }, func() {})
		f := &faults{fails: 1, tries: map[string]int{failing.call: -1}}
		calls := failingCalls(f, map[string]error{failing.call: failing.error}, 1<<20)
		l.calls.read = func(fd int, b []byte) (int, error) {
			if len(b) == 8 { // the wake-up's
				return unix.Read(fd, b)
			}
			return calls.read(fd, b)
		}
		l.calls.write = func(fd int, b []byte) (int, error) {
			if len(b) == 8 {
				return unix.Write(fd, b)
			}
			return calls.write(fd, b)
		}
		ready, ended := make(chan bool), make(chan error, 1)
		l.Ready = func() { close(ready) }
		go func() { ended <- l.Run("127.0.0.1:0") }()
		<-ready
		whole, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = whole.Close() }()
		_ = whole.SetDeadline(time.Now().Add(patience))
		one := make([]byte, 1)
		if _, err := whole.Write(one); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(whole, one); err != nil { // the first read is made
			t.Fatal(err)
		}
		broken, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = broken.Close() }()
		_, _ = broken.Write(one) // the second one fails
		select {
		case err := <-closed:
			if err == nil || err.Error() != failing.call+": "+failing.error.Error() {
				t.Errorf("closed with %v", err)
			}
		case <-time.After(patience):
			t.Error("it is not closed")
		}
		if _, err := whole.Write(one); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(whole, one); err != nil {
			t.Errorf("another connection has ended: %v", err)
		}
		l.End()
		<-ended
	}
}

// discardHandler ignores the events of its connection.
type discardHandler struct{}

func (discardHandler) Opened(*Conn) {}
func (discardHandler) Data([]byte)  {}
func (discardHandler) Closed(error) {}

// TestPostedFunctionsRunWithoutWakeup: posted functions run even if the eventfd of the poller cannot be written.
func TestPostedFunctionsRunWithoutWakeup(t *testing.T) {
	l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return discardHandler{} }, func() {})
	l.calls.write = func(fd int, b []byte) (int, error) { return -1, unix.EIO }
	ready, ended := make(chan bool), make(chan error, 1)
	l.Ready = func() { close(ready) }
	go func() { ended <- l.Run("127.0.0.1:0") }()
	<-ready
	for range 5 {
		ran := make(chan bool)
		l.Post(func() { close(ran) })
		select {
		case <-ran:
		case <-time.After(patience):
			t.Fatal("it does not run")
		}
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
