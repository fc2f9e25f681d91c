package eventloop

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Bytes read at once from a connection.
const (
	// LargestRead is the most that is read at once.
	LargestRead = 1 << 16

	// SmallReads is the limit for connections of which there are many, because what was read of an incomplete message is held. Accepted
	// connections have it from the start.
	SmallReads = 1 << 14
)

// errEnded is returned for a connection that was established only after the loop had ended.
var errEnded = errors.New("the loop has ended")

// begin runs the start function, and accepts connections from then on.
func (l *Loop) begin() {
	defer l.enterCallback(nil)()
	l.pauses.lastOnTime = l.clock.Now()
	l.tick()
	l.start()
	if l.ownListener != nil {
		l.ownListener.resume()
	}
}

// runUntilEnd runs the loop until End.
func (l *Loop) runUntilEnd() error {
	l.begin()
	for !l.hasEnded() {
		events, err := l.poll()
		if err != nil {
			return err
		}
		began := l.pauses.polledAt
		l.dispatchAll(events)
		if l.wakeUpIsDue(began) {
			l.runInCallback(l.handleWakeUp)
		}
		l.runPosted()
		l.runTurns(began)
	}
	return nil
}

// poll returns the events that have happened. It waits for one unless a connection waits for its turn, or a posted function is to run: the wake-up
// for it may have been replaced by a later one.
func (l *Loop) poll() (events []unix.EpollEvent, err error) {
	waited := false
	if l.turns.waiting() > 0 || l.hasPosted() {
		events, err = l.poller.check()
	} else {
		events, waited, err = l.poller.wait()
	}
	l.pauses.notePoll(l.clock.Now(), waited)
	return events, err
}

// dispatchAll handles a batch of events. Those of clients wait for a turn, so that servers' answers do not wait for clients.
func (l *Loop) dispatchAll(events []unix.EpollEvent) {
	for _, event := range events {
		l.dispatch(int(event.Fd), event.Events)
	}
}

// dispatch handles the events of a descriptor. The descriptor may be unknown by now, if an earlier event of the batch closed it.
func (l *Loop) dispatch(fd int, events uint32) {
	c, a := l.conns[fd], l.acceptors[fd]
	switch {
	case c != nil && c.accepted():
		l.noteReady(c, events)
	case c != nil:
		l.handleConn(c, events)
	case a != nil:
		defer l.enterCallback(nil)()
		a.acceptPending()
	}
}

func (l *Loop) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// handleConn handles the events of a connection.
func (l *Loop) handleConn(c *Conn, events uint32) {
	defer l.enterCallback(c.handler)()
	if events&unix.EPOLLOUT != 0 {
		if err := c.flush(); err != nil {
			l.closeConn(c, err)
			return
		}
		c.updateInterest()
	}
	switch {
	case c.readingPaused:
		l.handleHangUp(c, events)
	case events&^unix.EPOLLOUT != 0 && !c.Continues():
		l.read(c, l.bufferFor(c))
	}
}

// handleHangUp handles the events of a connection whose reading is paused.
func (l *Loop) handleHangUp(c *Conn, events uint32) {
	switch {
	case !c.accepted():
	case events&brokenEvents != 0: // nothing reaches the peer any more
		c.readingPaused = false
		l.closeConn(c, io.ErrUnexpectedEOF)
	case events&endOfStreamEvents != 0 && !c.peerEnded:
		c.peerEnded = true
		c.updateInterest()
		if handler, ok := c.handler.(HangUpHandler); ok {
			handler.PeerEnded()
		}
	}
}

// bufferFor returns the buffer for a read from a connection.
func (l *Loop) bufferFor(c *Conn) []byte {
	if c.readLimit > 0 {
		return l.readBuffer[:c.readLimit]
	}
	return l.readBuffer
}

// read reads once from a connection. If more input is waiting, the poller reports another event.
func (l *Loop) read(c *Conn, buffer []byte) {
	n, err := l.poller.calls.read(c.fd, buffer)
	switch {
	case err != nil && isTemporary(err): // the poller reports another event
	case err != nil:
		l.closeConn(c, os.NewSyscallError("read", err))
	case n == 0:
		l.closeConn(c, io.EOF)
	default:
		c.handler.Data(buffer[:n])
	}
}

// runPosted runs the functions posted so far.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = l.spareBuffer
	l.wakeSent = false
	l.mu.Unlock()
	for i, f := range posted {
		posted[i] = nil
		l.runInCallback(f)
	}
	l.spareBuffer = posted[:0]
}

// runInCallback runs a function of no connection in a callback of its own.
func (l *Loop) runInCallback(f func()) {
	defer l.enterCallback(nil)()
	f()
}

// register adds a connection to the loop and calls its handler.
func (l *Loop) register(c *Conn) {
	l.conns[c.fd] = c
	if c.handler == nil {
		c.handler = c.accept()
	}
	c.updateInterest()
	c.handler.Opened(c)
}

// closeAll closes all connections, and marks the loop as stopped.
func (l *Loop) closeAll() {
	func() {
		defer l.enterCallback(nil)()
		l.ending = true
		for _, c := range l.conns {
			c.Close()
		}
	}()
	l.mu.Lock()
	l.finished = true
	l.mu.Unlock()
	close(l.stopped)
}

// enterCallback begins a callback of a handler, nil for none, and returns the function that ends it. Timers run between callbacks, never
// within one.
func (l *Loop) enterCallback(handler Handler) func() {
	if l.callbackDepth == 0 {
		l.turns.begin(l.clock.Now())
		l.turns.callbackOf = handler
	}
	l.callbackDepth++
	return func() {
		if l.callbackDepth == 1 {
			l.endCallback()
		}
		l.callbackDepth--
	}
}

// endCallback runs the timers that are due, and sets the wake-up for the next one.
func (l *Loop) endCallback() {
	now := l.clock.Now()
	l.noteCallback(now)
	l.noteOnTime(now)
	if at, ok := l.timers.Next(); ok && at <= now {
		l.turns.begin(now)
		l.turns.callbackOf = nil
		l.timers.Run(now)
		l.noteCallback(l.clock.Now())
	}
	if l.AfterCallback != nil {
		l.AfterCallback()
	}
	l.setWakeUp()
}
