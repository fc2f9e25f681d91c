package eventloop

import (
	"errors"
	"fmt"
	"net"
	"time"

	"beechgrade/internal/eventloop/clock"

	"golang.org/x/sys/unix"
)

const (
	localRetryPause = 20 * time.Millisecond // before a connect is retried that failed for a lack of local resources...
	localRetryPart  = 2                     // ...within one part in localRetryPart of the connect timeout
)

// Dial connects to addr on a goroutine of its own. Then it calls, on the loop, either h.Opened or failed. If this machine lacks a
// resource for the connection, Dial retries for a part of the timeout; IsLocalError recognises the error if the lack lasts.
func (l *Loop) Dial(addr string, timeoutMs float64, h Handler, failed func(error)) {
	go func() {
		err := l.dial(addr, clock.ToDuration(timeoutMs), h)
		if err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
		}
	}()
}

// dial connects to addr, and waits until the connection is on the loop.
func (l *Loop) dial(addr string, timeout time.Duration, h Handler) error {
	began := time.Now()
	for {
		socket, err := l.Connect(addr, timeout)
		if err == nil {
			err = l.registerSocket(&Conn{loop: l, handler: h}, socket)
		}
		if err == nil || !IsLocalError(err) || time.Since(began)+localRetryPause > timeout/localRetryPart {
			return err
		}
		time.Sleep(localRetryPause)
	}
}

// connect opens a TCP connection.
func connect(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.Dial("tcp", addr)
}

// localErrors are the errors by which the kernel reports that this machine lacks descriptors, memory or ports.
var localErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN}

// IsLocalError reports whether a connection could not be opened because this machine lacks descriptors, memory or ports. Such an
// error says nothing about the server.
func IsLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// registerSocket adds a connection to the loop, from another goroutine, and waits until it is there.
func (l *Loop) registerSocket(c *Conn, socket net.Conn) error {
	fd, err := duplicateDescriptor(socket)
	if err != nil {
		return fmt.Errorf("register connection: %w", err)
	}
	return l.registerDescriptor(c, fd)
}

// registerDescriptor adds a connection to the loop, with a descriptor that only the connection uses. It closes the descriptor if the
// loop has ended.
func (l *Loop) registerDescriptor(c *Conn, fd int) error {
	c.fd = fd
	opened := make(chan struct{})
	l.Post(func() {
		l.register(c)
		close(opened)
	})
	select {
	case <-opened:
		return nil
	case <-l.stopped:
	}
	select {
	case <-opened:
		return nil
	default:
		_ = unix.Close(fd)
		return fmt.Errorf("register connection: %w", errEnded)
	}
}
