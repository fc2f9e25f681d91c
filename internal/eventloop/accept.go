package eventloop

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	acceptPause   = 20 * time.Millisecond // before a call is retried that failed because the machine lacks a resource
	acceptPauseMs = 20                    // the same, as a time on the loop
	acceptBatch   = 16                    // connections accepted from one listener before other events are handled...
	acceptSliceMs = 2                     // ...or as many as take so long, where these are more
	maxBacklog    = 4096                  // connections that the system keeps for a listener
	backlogIdleMs = 5                     // without a new connection, until the backlog of a listener counts as empty
)

// Addr returns the address that the loop listens on. Its port is the actual one, also if port 0 was requested.
func (l *Loop) Addr() string { return l.addr }

// Listen accepts connections at one more address, until stop is called. accept and stop run on the loop.
func (l *Loop) Listen(addr string, accept func() Handler) (at string, stop func(), err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	return listener.Addr().String(), l.AcceptFrom(listener, accept), nil
}

// AcceptFrom accepts connections from a listener, until stop is called, which closes it. accept and stop run on the loop.
func (l *Loop) AcceptFrom(listener net.Listener, accept func() Handler) (stop func()) {
	a := &acceptor{loop: l, listener: listener, accept: accept}
	a.resume()
	return a.stop
}

// StopAccepting closes the loop's own listener after it has accepted the connections that are complete by now, within withinMs. Then
// it calls done, on the loop, with their number. It does not close a socket that was given to Serve, because other processes may
// share it.
func (l *Loop) StopAccepting(withinMs float64, done func(accepted int)) {
	a := l.ownListener
	if a == nil || a.draining {
		done(0)
		return
	}
	now := l.Now()
	a.draining = true
	a.acceptUntil = now + withinMs
	a.lastAccept = now
	a.drainBacklog(done)
}

// acceptor accepts connections on the loop. If the machine or the process lacks descriptors or memory, it pauses. A listener that is
// closed with connections in its backlog resets them, so the backlog is accepted first.
type acceptor struct {
	loop     *Loop
	listener net.Listener
	accept   func() Handler

	fd         int  // of the listener
	registered bool // the poller watches it
	stopped    bool

	draining    bool    // only the backlog is still accepted...
	acceptUntil float64 // ...until this time at most
	lastAccept  float64
	accepted    int // since draining was set
}

// resume registers the listener with the poller. If the poller has no memory for that, resume is called again later.
func (a *acceptor) resume() {
	if a.stopped || a.registered {
		return
	}
	fd, err := listeningDescriptor(a.listener)
	if err == nil {
		err = a.loop.poller.setInterest(unix.EPOLL_CTL_ADD, fd, readEvents)
	}
	if err != nil {
		a.loop.log.Warn("listener not registered with the poller, will be retried", "err", err)
		a.resumeLater()
		return
	}
	a.fd = fd
	a.registered = true
	a.loop.acceptors[fd] = a
}

func (a *acceptor) resumeLater() { a.loop.At(a.loop.Now()+acceptPauseMs, a.resume) }

// pause removes the listener from the poller.
func (a *acceptor) pause() {
	if a.registered {
		a.registered = false
		delete(a.loop.acceptors, a.fd)
		a.loop.poller.removeInterest(a.fd)
	}
}

// stop closes the listener.
func (a *acceptor) stop() {
	if !a.stopped {
		a.pause()
		a.stopped = true
		_ = a.listener.Close()
	}
}

// acceptPending accepts up to acceptBatch connections, or more within acceptSliceMs, and reports whether there was any.
func (a *acceptor) acceptPending() (found bool) {
	until := a.loop.clock.Now() + acceptSliceMs
	for count := 0; count < acceptBatch || a.loop.clock.Now() < until; count++ {
		if a.stopped {
			return found
		}
		fd, err := a.loop.calls.accept(a.fd)
		switch {
		case err == nil:
			found = true
			a.opened(fd)
		case errors.Is(err, unix.EAGAIN):
			return found
		case concernsOneConnection(err):
		default: // the process or the machine lacks descriptors, buffers or memory
			a.pause()
			a.resumeLater()
			return found
		}
	}
	return found
}

// opened adds an accepted connection to the loop.
func (a *acceptor) opened(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	a.lastAccept = a.loop.Now()
	if a.draining {
		a.accepted++
	}
	a.loop.register(&Conn{loop: a.loop, accept: a.accept, fd: fd, readLimit: SmallReads})
}

// drainBacklog accepts connections until no more come, or the time for that is over, and then closes the listener. Clients that connect without end
// keep neither the listener open nor the loop from other events. Where the time was over before, the backlog is accepted as far as it can reach.
func (a *acceptor) drainBacklog(done func(accepted int)) {
	found := a.acceptPending()
	now := a.loop.Now()
	if now < a.acceptUntil && (found || now-a.lastAccept < backlogIdleMs) {
		pause := 1.0
		if found {
			pause = 0
		}
		a.loop.At(now+pause, func() { a.drainBacklog(done) })
		return
	}
	for batches := 0; found && batches < maxBacklog/acceptBatch; batches++ {
		found = a.acceptPending()
	}
	a.stop()
	done(a.accepted)
}

// connectionErrors are the errors of accept that concern only the connection being accepted, and EINTR.
var connectionErrors = []error{
	unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
}

// concernsOneConnection reports whether accept may succeed for the next connection without a pause.
func concernsOneConnection(err error) bool {
	return slices.ContainsFunc(connectionErrors, func(known error) bool { return errors.Is(err, known) })
}
