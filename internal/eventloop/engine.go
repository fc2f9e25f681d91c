package eventloop

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

const readBuffer = 1 << 16 // bytes that are read at once from a connection

// begin runs the start function, and accepts from then on.
func (l *Loop) begin() {
	defer l.enter()()
	l.pauses.onTime = l.clk.Now()
	l.heartbeat()
	l.start()
	if l.own != nil {
		l.own.begin()
	}
}

// serve runs the loop until End.
func (l *Loop) serve() error {
	l.begin()
	buffer := make([]byte, readBuffer)
	for !l.hasEnded() {
		events, err := l.poller.wait()
		if err != nil {
			return err
		}
		for _, event := range events {
			l.dispatch(int(event.Fd), event.Events, buffer)
		}
		l.runPosted()
	}
	return nil
}

func (l *Loop) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// dispatch takes the events of a descriptor. Behind a close within this turn it may be nobody's.
func (l *Loop) dispatch(fd int, events uint32, buffer []byte) {
	if c := l.conns[fd]; c != nil {
		l.handle(c, events, buffer)
		return
	}
	if a := l.acceptors[fd]; a != nil {
		defer l.enter()()
		a.take()
	}
}

// handle takes the events of a connection.
func (l *Loop) handle(c *Conn, events uint32, buffer []byte) {
	defer l.enter()()
	if events&unix.EPOLLOUT != 0 {
		if err := c.flush(); err != nil {
			l.closeConn(c, err)
			return
		}
		c.watch()
	}
	if events&^unix.EPOLLOUT != 0 && !c.parked {
		l.read(c, buffer)
	}
}

// read reads once from a connection. What is left makes another event.
func (l *Loop) read(c *Conn, buffer []byte) {
	n, err := l.poller.calls.read(c.fd, buffer)
	switch {
	case err != nil && passes(err): // there will be another event
	case err != nil:
		l.closeConn(c, os.NewSyscallError("read", err))
	case n == 0:
		l.closeConn(c, io.EOF)
	default:
		c.h.Data(buffer[:n])
	}
}

// runPosted runs the functions that were posted until now.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted, l.wakeSent = l.spare, false
	l.mu.Unlock()
	for i, f := range posted {
		posted[i] = nil
		func() {
			defer l.enter()()
			f()
		}()
	}
	l.spare = posted[:0]
}

// open puts a connection on the loop.
func (l *Loop) open(c *Conn) {
	l.conns[c.fd] = c
	if c.h == nil {
		c.h = c.accept()
	}
	c.watch()
	c.h.Opened(c)
}

// closeAll closes all connections, and ends the loop for those who wait for it.
func (l *Loop) closeAll() {
	func() {
		defer l.enter()()
		for _, c := range l.conns {
			c.Close()
		}
	}()
	l.mu.Lock()
	l.over = true
	l.mu.Unlock()
	close(l.stopped)
}

// errOver is the error for a connection that comes when the loop has ended.
var errOver = errors.New("the loop has ended")

// enter begins a callback and returns what ends it: deadlines are run between callbacks, never inside
// one.
func (l *Loop) enter() func() {
	l.depth++
	return func() {
		if l.depth == 1 {
			l.turn()
		}
		l.depth--
	}
}

// turn runs what is due and sets the wake-up for what comes next.
func (l *Loop) turn() {
	now := l.clk.Now()
	l.seen(now)
	l.heap.Run(now)
	if l.AfterCallback != nil {
		l.AfterCallback()
	}
	l.arm()
}
