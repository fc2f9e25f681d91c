package eventloop

import (
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds for the peer of a connection that is closed while reading is paused.
const (
	finalWriteTimeout = time.Second            // to accept the buffered output
	finalReadTimeout  = 250 * time.Millisecond // to close its side after that
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
	if c.readingPaused {
		go closeGracefully(c.fd, c.output[c.sent:])
		return
	}
	_, _ = c.send(c.output[c.sent:]) // what the socket accepts; the rest is lost with the connection
	c.output = nil
	_ = unix.Close(c.fd) // the descriptor is closed also if the call is interrupted
}

// closingOrUnopened reports whether the connection is being closed, or was never opened.
func (c *Conn) closingOrUnopened() bool { return c.loop.conns[c.fd] != c }

// closeGracefully sends the last output of a connection whose reading is paused, and reads its input to the end, each within a
// limit, before it closes the descriptor: a close with unread input resets the connection, and the reset may overtake the output.
func closeGracefully(fd int, output []byte) {
	file := os.NewFile(uintptr(fd), "paused")
	socket, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	if _, err := socket.Write(output); err != nil {
		return
	}
	if tcp, ok := socket.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = socket.SetReadDeadline(time.Now().Add(finalReadTimeout))
	_, _ = io.Copy(io.Discard, socket)
}
