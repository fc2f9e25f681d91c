package eventloop

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Close closes the connection. The handler's Closed has been called when it returns. Output that the socket does not accept at once is dropped,
// unless reading is paused.
func (c *Conn) Close() { c.loop.closeConn(c, nil) }

// CloseWrite shuts down the write side. Reading continues.
func (c *Conn) CloseWrite() error {
	if c.closed || c.readingPaused {
		return net.ErrClosed
	}
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		return os.NewSyscallError("shutdown", err)
	}
	return nil
}

// Abort closes the connection with a reset, so that the peer does not take the bytes that it has received for a complete message.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	if c.readingPaused {
		c.output = nil
		c.sent = 0
		c.readingPaused = false
	}
	c.Close()
}

// DiscardUnsent discards the bytes that were written but not accepted by the socket, and returns their number. Called in Closed, it shows
// that they never reach the peer; a close sends of them what the socket accepts otherwise.
func (c *Conn) DiscardUnsent() int {
	unsent := c.Unsent()
	c.output = nil
	c.sent = 0
	return unsent
}

// closeConn closes a connection that ended with the given error, nil for none.
func (l *Loop) closeConn(c *Conn, err error) {
	if c.closed || c.closingOrUnopened() {
		return
	}
	delete(l.conns, c.fd)
	c.handler.Closed(err)
	c.closed = true
	c.deregister()
	if c.readingPaused && !l.ending {
		l.drain(c.fd, c.output[c.sent:])
		c.output = nil
		c.sent = 0
		return
	}
	_, _ = c.send(c.output[c.sent:]) // what the socket accepts; the rest is lost with the connection
	c.output = nil
	_ = unix.Close(c.fd) // the descriptor is closed also if the call is interrupted
}

// closingOrUnopened reports whether the connection is being closed, or was never opened.
func (c *Conn) closingOrUnopened() bool { return c.loop.conns[c.fd] != c }
