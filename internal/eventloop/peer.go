package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// PeerState is the state of the peer of a connection, as the socket reports it.
type PeerState struct {
	Unread      int  // bytes that the peer has sent and that were not read yet
	EndOfStream bool // the peer sends no more
	Closed      bool // the peer reads no more either
}

// PeerState asks the socket for the state of the peer. It works also while reading is paused.
func (c *Conn) PeerState() PeerState {
	if c.closed {
		return PeerState{EndOfStream: true, Closed: true}
	}
	events, err := poll(c.fd, unix.POLLRDHUP)
	if err != nil {
		return PeerState{}
	}
	closed := events&(unix.POLLERR|unix.POLLHUP) != 0
	return PeerState{Unread: c.Unread(), EndOfStream: closed || events&unix.POLLRDHUP != 0, Closed: closed}
}

// Unread returns the number of bytes that the peer has sent and that were not read yet, as far as they have reached this machine.
func (c *Conn) Unread() int {
	if c.closed {
		return 0
	}
	unread, _ := unix.IoctlGetInt(c.fd, unix.TIOCINQ)
	return unread
}

// PeerClosed reports whether the peer has closed the connection or its write side, or whether the connection was reset. It asks
// the socket, so it also reports a close that the loop has not read yet. Bytes that the peer sent before may still be unread.
func (c *Conn) PeerClosed() bool { return c.closed || peerClosed(c.fd) }

// OpenAndIdle reports whether the connection is open and has nothing to read: neither data nor a close that the loop has not read
// yet. It is false while reading is paused, and while input is left to the next turn.
func (c *Conn) OpenAndIdle() bool {
	if c.closed || c.readingPaused || c.Continues() {
		return false
	}
	_, err := peek(c.fd)
	return errors.Is(err, unix.EAGAIN)
}

// readNowBytes bounds what ReadNow reads.
const readNowBytes = 16 << 10

// ReadNow reads what waits in the socket, up to readNowBytes, and hands it to the handler, as the loop would do later. It is called from a
// callback of another connection, or of a timer, and the connection may be closed when it returns.
func (c *Conn) ReadNow() {
	if !c.closed && !c.readingPaused && !c.Continues() && !c.closingOrUnopened() {
		c.loop.read(c, make([]byte, readNowBytes))
	}
}

// Unsent returns the number of bytes written that the socket has not accepted yet.
func (c *Conn) Unsent() int {
	if c.closed {
		return 0
	}
	return len(c.output) - c.sent
}

// Undelivered returns the number of bytes written that the peer's system has not acknowledged, as far as is known: those buffered
// by the loop and those in the socket. Close still delivers the latter, however late; Abort does not.
func (c *Conn) Undelivered() int { return c.Unsent() + c.queuedInSocket(unix.TIOCOUTQ) }

// Untransmitted returns the number of bytes written that have not left this machine even once: those buffered by the loop, and those
// that wait in the socket until the peer's system has capacity for them.
func (c *Conn) Untransmitted() int { return c.Unsent() + c.queuedInSocket(unix.SIOCOUTQNSD) }

// queuedInSocket returns the number of bytes that a request about the socket's output queue reports, 0 if it fails.
func (c *Conn) queuedInSocket(request uint) int {
	if c.closed || c.readingPaused {
		return 0
	}
	queued, err := unix.IoctlGetInt(c.fd, request)
	if err != nil {
		return 0
	}
	return queued
}

func peerClosed(fd int) bool {
	n, err := peek(fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil, n == 0:
		return true
	}
	// Unread bytes hide a close that follows them.
	events, err := poll(fd, unix.POLLRDHUP)
	return err == nil && events&(unix.POLLERR|unix.POLLHUP|unix.POLLRDHUP) != 0
}

// peek reports what a read of the socket would return: bytes, nothing yet (EAGAIN), the end (0 and nil) or an error.
func peek(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// poll returns which of the given events a descriptor has now.
func poll(fd int, events int16) (int16, error) {
	for {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}
