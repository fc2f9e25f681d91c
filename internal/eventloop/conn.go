package eventloop

import (
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

const (
	excessOutputPart = 2       // an output buffer is replaced by a smaller one where it has so many times the unsent bytes...
	minExcessOutput  = 1 << 10 // ...and so many bytes more
	registerRetryMs  = 5       // before a registration is retried for which the poller had no memory
)

// Conn is a connection on the loop. Its methods must be called on the loop.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler
	accept  func() Handler // returns the handler of an accepted connection; nil for a dialled one
	closed  bool

	readingPaused bool
	peerEnded     bool    // the end of the peer's stream was reported while reading was paused
	registered    bool    // the poller watches it
	events        uint32  // the events that the poller reports
	readLimit     int     // bytes that are read at once
	corkDepth     int     // of nested calls of Cork
	queued        bool    // it waits for its turn
	continuation  func()  // what the next turn does, nil for none
	readyEvents   uint32  // to be handled in a turn without a continuation
	readySince    float64 // since when input can have waited then
	queuedSince   float64 // since when what the next turn handles can have waited
	output        []byte  // written by the caller; the socket has not accepted the bytes from sent on yet
	sent          int
}

// Write sends b, and buffers what the socket does not accept. If the write fails, the connection is closed, and Closed has been
// called when Write returns.
func (c *Conn) Write(b []byte) error { return c.write(b, c.buffer) }

// WriteOwned is like Write, but takes over b, so that what the socket does not accept of a long message is not copied.
func (c *Conn) WriteOwned(b []byte) error {
	return c.write(b, func(rest []byte) {
		if c.output != nil {
			c.buffer(rest)
			return
		}
		c.output = b
		c.sent = len(b) - len(rest)
	})
}

// write sends b, and passes what the socket does not accept to buffer.
func (c *Conn) write(b []byte, buffer func(rest []byte)) error {
	if c.closed {
		return net.ErrClosed
	}
	if c.corkDepth > 0 {
		return c.writeCorked(b)
	}
	if c.Unsent() == 0 {
		n, err := c.send(b)
		if err != nil && !c.readingPaused { // a paused connection notices the failure when reading resumes
			c.loop.closeConn(c, err)
			return err
		}
		b = b[n:]
	}
	if len(b) > 0 {
		buffer(b)
		c.updateInterest()
	}
	return nil
}

// send writes as much to the socket as it accepts. A temporary failure is no error.
func (c *Conn) send(b []byte) (sent int, err error) {
	for sent < len(b) {
		n, err := c.loop.poller.calls.write(c.fd, b[sent:])
		sent += max(n, 0)
		switch {
		case err == nil, errors.Is(err, unix.EINTR):
		case isTemporary(err):
			return sent, nil
		default:
			return sent, os.NewSyscallError("write", err)
		}
	}
	return sent, nil
}

// buffer appends bytes that the socket did not accept to the output buffer.
func (c *Conn) buffer(b []byte) {
	needed := c.Unsent() + len(b)
	switch {
	case c.output == nil && c.corkDepth > 0:
		c.output = c.loop.takeSpareOutput()
	case len(c.output)+len(b) > cap(c.output):
		c.moveOutput(needed)
	}
	c.output = append(c.output, b...)
}

// moveOutput moves the unsent output to a buffer with a capacity.
func (c *Conn) moveOutput(capacity int) {
	unsent := c.output[c.sent:]
	if capacity <= cap(c.output) {
		c.output = append(c.output[:0], unsent...)
	} else {
		c.output = append(make([]byte, 0, capacity), unsent...)
	}
	c.sent = 0
}

// flush writes as much of the buffered output as the socket accepts.
func (c *Conn) flush() error {
	n, err := c.send(c.output[c.sent:])
	c.sent += n
	unsent := c.Unsent()
	switch {
	case unsent == 0:
		c.loop.keepSpareOutput(c.output)
		c.output = nil
		c.sent = 0
	case cap(c.output) > excessOutputPart*unsent+minExcessOutput: // most of the buffer is not needed any more
		old := c.output
		c.output = append(make([]byte, 0, unsent), old[c.sent:]...)
		c.sent = 0
		c.loop.keepSpareOutput(old)
	}
	return err
}

// Allocated returns the number of bytes that the output buffer takes. While output is held back, its buffer is that of the loop.
func (c *Conn) Allocated() int {
	if c.corkDepth > 0 {
		return c.Unsent()
	}
	return cap(c.output)
}

// takeSpareOutput returns the buffer for output that is held back for a moment.
func (l *Loop) takeSpareOutput() []byte {
	spare := l.spareOutput
	l.spareOutput = nil
	if spare == nil {
		spare = make([]byte, 0, corkedBytes)
	}
	return spare
}

// keepSpareOutput keeps a buffer for takeSpareOutput.
func (l *Loop) keepSpareOutput(buffer []byte) {
	if cap(buffer) >= corkedBytes && cap(buffer) <= 2*corkedBytes {
		l.spareOutput = buffer[:0]
	}
}

// LimitReads bounds the bytes that are read at once; 0 stands for LargestRead.
func (c *Conn) LimitReads(bytes int) { c.readLimit = bytes }

// updateInterest registers the events that the connection needs now. If the poller has no memory for that, the registration is
// retried after registerRetryMs: until then the connection may make no progress, but loses nothing.
func (c *Conn) updateInterest() {
	if c.closed {
		return
	}
	if c.readingPaused && !c.accepted() {
		c.deregister()
		return
	}
	events := c.neededEvents()
	if c.registered && events == c.events {
		return
	}
	op := unix.EPOLL_CTL_MOD
	if !c.registered {
		op = unix.EPOLL_CTL_ADD
	}
	if err := c.loop.poller.setInterest(op, c.fd, events); err != nil {
		c.loop.log.Warn("connection not registered with the poller, will be retried", "err", err)
		c.loop.At(c.loop.Now()+registerRetryMs, c.updateInterest)
		return
	}
	c.registered = true
	c.events = events
}

// neededEvents returns the events that the connection needs now. While reading is paused, it notices only that the peer has gone.
func (c *Conn) neededEvents() (events uint32) {
	switch {
	case !c.readingPaused:
		events = readEvents
	case !c.peerEnded:
		events = endOfStreamEvents
	}
	if c.Unsent() > 0 {
		events |= unix.EPOLLOUT
	}
	return events
}

// accepted reports whether the connection was accepted, rather than dialled.
func (c *Conn) accepted() bool { return c.accept != nil }

// deregister removes the connection from the poller.
func (c *Conn) deregister() {
	if c.registered {
		c.registered = false
		c.loop.poller.removeInterest(c.fd)
	}
}

// PauseReading stops reading until ResumeReading, so that further input stays with the peer. It reports whether reading is paused: that of a
// dialled connection cannot be paused while output is buffered. While it is paused, an accepted connection is closed if it is reset, and its
// handler is told of the end of the peer's stream, if it is a HangUpHandler.
func (c *Conn) PauseReading() bool {
	if c.closed || c.readingPaused || c.Unsent() > 0 && !c.accepted() {
		return c.readingPaused
	}
	c.readingPaused = true
	c.updateInterest()
	return true
}

// ResumeReading continues to read after PauseReading.
func (c *Conn) ResumeReading() {
	if c.closed || !c.readingPaused {
		return
	}
	c.readingPaused = false
	if err := c.flush(); err != nil {
		c.loop.closeConn(c, err)
		return
	}
	c.updateInterest()
}

// ReadingPaused reports whether reading is paused.
func (c *Conn) ReadingPaused() bool { return c.readingPaused }
