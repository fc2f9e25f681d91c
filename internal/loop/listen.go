package loop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"beechgrade/internal/clock"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// nobody hears nothing of a connection.
type nobody struct{}

func (nobody) Opened(*Conn) {}
func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}

// Addr is the address that the loop listens on, with its port where any was asked for.
func (l *Loop) Addr() string { return l.addr }

// Dial connects to addr off the loop. On the loop, either h is told Opened or failed is called.
func (l *Loop) Dial(addr string, timeoutMs float64, h Handler, failed func(error)) {
	go func() {
		d := net.Dialer{Timeout: clock.Span(timeoutMs)}
		nc, err := d.Dial("tcp", addr)
		if err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
			return
		}
		if err := l.enroll(&Conn{loop: l, h: h}, nc); err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
		}
	}()
}

// enroll puts a connection on the loop, from a goroutine of its own.
func (l *Loop) enroll(c *Conn, nc net.Conn) error {
	// Enroll duplicates the descriptor, adds the copy to the loop and closes nc.
	done, err := l.el.Enroll(gnet.NewContext(context.Background(), c), nc)
	if err != nil {
		_ = nc.Close()
		return fmt.Errorf("enroll: %w", err)
	}
	if r := <-done; r.Err != nil {
		return fmt.Errorf("enroll: %w", r.Err)
	}
	return nil
}

// Listen accepts connections at one more address, until stop is called. It is for functions that run on the loop, and
// accept runs there too.
func (l *Loop) Listen(addr string, accept func() Handler) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	return ln.Addr().String(), l.Take(ln, accept), nil
}

// Take accepts what comes to ln, until stop is called, which closes it.
func (l *Loop) Take(ln net.Listener, accept func() Handler) (stop func()) {
	go func() {
		for {
			nc, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // want of descriptors, say
				time.Sleep(acceptPause)
				continue
			}
			if err := l.enroll(&Conn{loop: l, accept: accept}, nc); err != nil {
				l.log.Warn("accept", "err", err)
			}
		}
	}()
	return func() { _ = ln.Close() }
}

const acceptPause = 20 * time.Millisecond

func sockAddr(sa unix.Sockaddr) string {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return ""
}
