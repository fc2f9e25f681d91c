package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// PeerClosed tells whether the other side has closed the connection or its sending half, or whether the connection was
// reset, also where the loop has not read that yet: it asks the socket itself. What the other side sent before may still
// wait to be read.
func (c *Conn) PeerClosed() bool { return c.gone || peerClosed(c.fd) }

// Undelivered is the number of bytes written that the other side's system has not taken yet, as far as is known: those that wait
// here for the socket, and those that wait in it. A close still delivers these, however late; an Abort does not.
func (c *Conn) Undelivered() int {
	if c.gone || c.parked {
		return c.Unsent()
	}
	waiting, err := unix.IoctlGetInt(c.fd, unix.TIOCOUTQ)
	if err != nil {
		waiting = 0
	}
	return waiting + c.Unsent()
}

// Untransmitted is the number of bytes written that have not left this machine even once: those that wait here for the socket, and
// those that wait in it until the other side's system has room.
func (c *Conn) Untransmitted() int {
	if c.gone || c.parked {
		return c.Unsent()
	}
	waiting, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQNSD)
	if err != nil {
		waiting = 0
	}
	return waiting + c.Unsent()
}

func peerClosed(fd int) bool {
	n, err := peek(fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil, n == 0:
		return true
	}
	// Bytes that wait to be read hide the end behind them.
	events, err := poll(fd, unix.POLLRDHUP)
	return err == nil && events&(unix.POLLERR|unix.POLLHUP|unix.POLLRDHUP) != 0
}
