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

// accepting is a loop that hands out what it accepts.
func accepting(run func(l *Loop) error) (l *Loop, opened <-chan *Conn, ended <-chan error) {
	w, began, end := watcher{make(chan *Conn, 99)}, make(chan struct{}), make(chan error, 1)
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

// comes wants a connection to be accepted, and the loop's end to come when it is told to.
func comes(t *testing.T, l *Loop, opened <-chan *Conn, ended <-chan error) {
	t.Helper()
	select {
	case <-opened:
	case err := <-ended:
		t.Fatalf("the loop has ended: %v", err)
	case <-time.After(patience):
		t.Fatal("nothing is accepted")
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestAcceptWaitsForDescriptors guards against the loop's end, and so that of all requests, at an accept that has no descriptor to be had.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	l, opened, ended := accepting(func(l *Loop) error { return l.Run("127.0.0.1:0") })
	addr, err := net.ResolveTCPAddr("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for again := true; again; { // a connection that the loop may make to itself
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
	free, err := os.Open(os.DevNull) // the lowest number that is free
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
	time.Sleep(100 * time.Millisecond) // it is accepted in vain
	if again := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil || again != nil {
		t.Fatal(err, again)
	}
	comes(t, l, opened, ended)
}

// TestAcceptWaitsForTheMachine: the whole machine's want of files, buffers or memory passes as well, and so do errors of connections that are
// gone before they are accepted.
func TestAcceptWaitsForTheMachine(t *testing.T) {
	for _, failure := range []error{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, errors.New("any other"), unix.ECONNABORTED, unix.EPROTO, unix.EPERM,
		unix.EINTR, unix.ENETDOWN, unix.EHOSTUNREACH} {
		t.Run(failure.Error(), func(t *testing.T) {
			var left atomic.Int32
			left.Store(3)
			l, opened, ended := accepting(func(l *Loop) error {
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
			comes(t, l, opened, ended)
			if left.Load() >= 0 {
				t.Errorf("%d errors are left", left.Load())
			}
		})
	}
}

// TestStopAcceptingTakesWhatHasConnected: clients that have connected while the loop was at something else are accepted before the listener
// is closed, and none that comes later can connect.
func TestStopAcceptingTakesWhatHasConnected(t *testing.T) {
	l, opened, ended := accepting(func(l *Loop) error { return l.Run("127.0.0.1:0") })
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
		t.Fatal("it does not stop")
	}
	if len(opened) != 20 {
		t.Errorf("%d of 20 are on the loop", len(opened))
	}
	if c, err := net.Dial("tcp", l.Addr()); err == nil {
		_ = c.Close()
		t.Error("one has connected since")
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
