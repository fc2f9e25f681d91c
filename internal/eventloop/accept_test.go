package eventloop

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"golang.org/x/sys/unix"
)

const patience = 20 * time.Second

// startLoop runs a loop whose accepted connections are sent to opened.
func startLoop(run func(l *Loop) error) (l *Loop, opened <-chan *Conn, ended <-chan error) {
	w, began, end := openedRecorder{make(chan *Conn, 99)}, make(chan struct{}), make(chan error, 1)
	l = New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return w }, func() {})
	l.Ready = func() { close(began) }
	go func() { end <- run(l) }()
	select {
	case <-began:
	case err := <-end:
		end <- err
	}
	return l, w.opened, end
}

// expectAccept waits until a connection is accepted, and then ends the loop.
func expectAccept(t *testing.T, l *Loop, opened <-chan *Conn, ended <-chan error) {
	t.Helper()
	select {
	case <-opened:
	case err := <-ended:
		t.Fatalf("the loop has ended: %v", err)
	case <-time.After(patience):
		t.Fatal("no connection is accepted")
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestAcceptSurvivesDescriptorExhaustion: if accept fails because the process has no descriptor left, the loop must not end, which would
// end all requests, but accept later.
func TestAcceptSurvivesDescriptorExhaustion(t *testing.T) {
	l, opened, ended := startLoop(func(l *Loop) error { return l.Run("127.0.0.1:0") })
	addr, err := net.ResolveTCPAddr("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for again := true; again; { // skip a connection that the loop may make to itself
		select {
		case <-opened:
		case <-time.After(50 * time.Millisecond):
			again = false
		}
	}
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(client) }()
	free, err := os.Open(os.DevNull) // the lowest free descriptor
	if err != nil {
		t.Fatal(err)
	}
	least := uint64(free.Fd())
	_ = free.Close()
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: least, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	err = unix.Connect(client, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte{127, 0, 0, 1}})
	time.Sleep(100 * time.Millisecond) // so that accept fails
	if again := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil || again != nil {
		t.Fatal(err, again)
	}
	expectAccept(t, l, opened, ended)
}

// TestAcceptSurvivesTemporaryErrors: the same holds if the machine lacks files, buffers or memory, and for errors of connections that were
// closed before they are accepted.
func TestAcceptSurvivesTemporaryErrors(t *testing.T) {
	for _, failure := range []error{
		unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, errors.New("any other"), unix.ECONNABORTED, unix.EPROTO, unix.EPERM,
		unix.EINTR, unix.ENETDOWN, unix.EHOSTUNREACH,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			var left atomic.Int32
			left.Store(3)
			l, opened, ended := startLoop(func(l *Loop) error {
				l.calls.accept = func(listening int) (int, error) {
					if left.Add(-1) >= 0 {
						return -1, failure
					}
					return acceptDescriptor(listening)
				}
				return l.Run("127.0.0.1:0")
			})
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			expectAccept(t, l, opened, ended)
			if left.Load() >= 0 {
				t.Errorf("%d errors are left", left.Load())
			}
		})
	}
}

// TestStopAcceptingAcceptsBacklog: clients that have connected while the loop was busy are accepted before the listener is closed, and
// later ones cannot connect.
func TestStopAcceptingAcceptsBacklog(t *testing.T) {
	l, opened, ended := startLoop(func(l *Loop) error { return l.Run("127.0.0.1:0") })
	stopped := make(chan int, 1)
	l.Post(func() { // the loop accepts nothing meanwhile
		for range 20 {
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Error(err)
				continue
			}
			t.Cleanup(func() { _ = c.Close() })
		}
		l.StopAccepting(10000, func(n int) { stopped <- n })
	})
	select {
	case n := <-stopped:
		if n != 20 {
			t.Errorf("%d were accepted at the end", n)
		}
	case <-time.After(patience):
		t.Fatal("done was not called")
	}
	if len(opened) != 20 {
		t.Errorf("%d of 20 are on the loop", len(opened))
	}
	if c, err := net.Dial("tcp", l.Addr()); err == nil {
		_ = c.Close()
		t.Error("a client could connect after the end")
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
