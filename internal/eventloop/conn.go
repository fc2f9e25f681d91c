package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// How long a connection that is closed while it is parked may take to read what was written to it, and then to close.
const (
	lastWord = time.Second
	lastRead = 250 * time.Millisecond
)

const (
	keepUnsent = 1 << 14 // bytes of a buffer that is kept once it is empty
	recheckMs  = 5       // until a descriptor is enrolled again that could not be, for want of memory
)

// Conn is a connection on the loop; its methods are for the loop alone.
type Conn struct {
	loop *Loop
	fd   int
	h    Handler
	gone bool

	accept func() Handler // makes h, for a connection that another listener accepted

	parked   bool
	enrolled bool   // the poller waits for it
	wants    uint32 // what it waits for
	out      []byte // written and not taken by the socket, from sent on
	sent     int
}

// Write sends b, or buffers what the socket does not take. A write that fails closes the connection,
// and Closed has been called when Write returns.
func (c *Conn) Write(b []byte) error {
	if c.gone {
		return net.ErrClosed
	}
	if c.Unsent() == 0 {
		n, err := c.send(b)
		if err != nil && !c.parked { // a parked connection notices when it is back
			c.loop.closeConn(c, err)
			return err
		}
		b = b[n:]
	}
	if len(b) > 0 {
		c.buffer(b)
		c.watch()
	}
	return nil
}

// send has the socket take what it can; an error that passes is none.
func (c *Conn) send(b []byte) (sent int, err error) {
	for sent < len(b) {
		n, err := c.loop.poller.calls.write(c.fd, b[sent:])
		sent += max(n, 0)
		switch {
		case err == nil, errors.Is(err, unix.EINTR):
		case passes(err):
			return sent, nil
		default:
			return sent, os.NewSyscallError("write", err)
		}
	}
	return sent, nil
}

// buffer keeps what the socket did not take.
func (c *Conn) buffer(b []byte) {
	if c.sent > len(c.out)/2 {
		c.out = append(c.out[:0], c.out[c.sent:]...)
		c.sent = 0
	}
	c.out = append(c.out, b...)
}

// flush has the socket take what was buffered.
func (c *Conn) flush() error {
	n, err := c.send(c.out[c.sent:])
	if c.sent += n; c.sent == len(c.out) {
		c.out, c.sent = c.out[:0], 0
		if cap(c.out) > keepUnsent {
			c.out = nil
		}
	}
	return err
}

// Unsent is the number of bytes written that the socket has not taken yet.
func (c *Conn) Unsent() int {
	if c.gone {
		return 0
	}
	return len(c.out) - c.sent
}

// watch has the poller wait for what the connection needs. Where there is no memory for that it is tried again in a moment: the
// connection stands still meanwhile, and nothing is lost.
func (c *Conn) watch() {
	if c.gone || c.parked {
		return
	}
	wants, op := readWants, unix.EPOLL_CTL_MOD
	if c.Unsent() > 0 {
		wants = bothWants
	}
	if !c.enrolled {
		op = unix.EPOLL_CTL_ADD
	} else if wants == c.wants {
		return
	}
	if err := c.loop.poller.control(op, c.fd, wants); err != nil {
		c.loop.log.Warn("a connection waits to be enrolled", "err", err)
		c.loop.At(c.loop.Now()+recheckMs, c.watch)
		return
	}
	c.enrolled, c.wants = true, wants
}

// unwatch ends the waiting for the connection.
func (c *Conn) unwatch() {
	if c.enrolled {
		c.enrolled = false
		c.loop.poller.forget(c.fd)
	}
}

// Close closes the connection now; Closed is called before it returns.
func (c *Conn) Close() { c.loop.closeConn(c, nil) }

// closeConn closes a connection that ended with the given error.
func (l *Loop) closeConn(c *Conn, err error) {
	if c.gone || c.closing() {
		return
	}
	delete(l.conns, c.fd)
	c.h.Closed(err)
	c.gone = true
	c.unwatch()
	if c.parked {
		go finish(c.fd, c.out[c.sent:])
		return
	}
	_, _ = c.send(c.out[c.sent:]) // what the socket takes; the rest goes with the connection
	c.out = nil
	_ = unix.Close(c.fd) // it is closed also where that is interrupted
}

// closing reports whether the connection is being closed, or was never opened.
func (c *Conn) closing() bool { return c.loop.conns[c.fd] != c }

// finish sends a parked connection's last answers and reads it to the end, for a while, before it is closed: a close over unread
// bytes is a reset, which may overtake them.
func finish(fd int, out []byte) {
	file := os.NewFile(uintptr(fd), "parked")
	nc, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetWriteDeadline(time.Now().Add(lastWord))
	if _, err := nc.Write(out); err != nil {
		return
	}
	if t, ok := nc.(*net.TCPConn); !ok || t.CloseWrite() != nil {
		return
	}
	_ = nc.SetReadDeadline(time.Now().Add(lastRead))
	_, _ = io.Copy(io.Discard, nc)
}

// PauseReading stops the reading, until Unpark: what the other side sends stays with that side. It tells whether it could, which is not so while
// something is yet to be written.
func (c *Conn) PauseReading() bool {
	if c.gone || c.parked || c.Unsent() > 0 {
		return c.parked
	}
	c.unwatch()
	c.parked = true
	return true
}

// ResumeReading goes on with the reading.
func (c *Conn) ResumeReading() {
	if c.gone || !c.parked {
		return
	}
	c.parked = false
	if err := c.flush(); err != nil {
		c.loop.closeConn(c, err)
		return
	}
	c.watch()
}

// CloseWrite ends the sending; what the other side still sends is told as before.
func (c *Conn) CloseWrite() error {
	if c.gone || c.parked {
		return net.ErrClosed
	}
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		return os.NewSyscallError("shutdown", err)
	}
	return nil
}

// ReadingPaused tells whether the connection is not read.
func (c *Conn) ReadingPaused() bool { return c.parked }

// Ended tells, also while the connection is parked, whether its other side sends no more, and how much of what it sent
// waits to be read. gone is set where it reads no more either.
func (c *Conn) Ended() (left int, ended, gone bool) {
	if c.gone {
		return 0, true, true
	}
	events, err := poll(c.fd, unix.POLLRDHUP)
	if err != nil {
		return 0, false, false
	}
	gone = events&(unix.POLLERR|unix.POLLHUP) != 0
	left, _ = unix.IoctlGetInt(c.fd, unix.TIOCINQ)
	return left, gone || events&unix.POLLRDHUP != 0, gone
}

// Abort closes the connection so that its other side takes what it has had for broken off, not for whole.
func (c *Conn) Abort() {
	if c.gone {
		return
	}
	_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	if c.parked {
		c.out, c.sent, c.parked = nil, 0, false
	}
	c.Close()
}

// OpenAndIdle tells whether the connection stands open with nothing to read: neither data nor an end that
// the loop has not come to yet.
func (c *Conn) OpenAndIdle() bool {
	if c.gone || c.parked {
		return false
	}
	_, err := peek(c.fd)
	return errors.Is(err, unix.EAGAIN)
}
