package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"beechgrade/internal/eventloop/clock"
	"golang.org/x/sys/unix"
)

// Addr is the address that the loop listens on, with its port where any was asked for.
func (l *Loop) Addr() string { return l.addr }

const (
	localPause = 20 * time.Millisecond // before another try to connect where this machine lacks something...
	localPart  = 2                     // ...within one part in localPart of the time for the connection
)

// Dial connects to addr off the loop. On the loop, either h is told Opened or failed is called. Where this machine lacks
// something for the connection, Dial tries again for a part of the time; IsLocalError tells whether that was in vain.
func (l *Loop) Dial(addr string, timeoutMs float64, h Handler, failed func(error)) {
	go func() {
		err := l.dial(addr, clock.ToDuration(timeoutMs), h)
		if err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
		}
	}()
}

// dial connects to addr, and waits until the connection is on the loop.
func (l *Loop) dial(addr string, timeout time.Duration, h Handler) error {
	began := time.Now()
	for {
		conn, err := l.Connect(addr, timeout)
		if err == nil {
			err = l.enroll(&Conn{loop: l, h: h}, conn)
		}
		if err == nil || !IsLocalError(err) || time.Since(began)+localPause > timeout/localPart {
			return err
		}
		time.Sleep(localPause)
	}
}

// connect opens a TCP connection.
func connect(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.Dial("tcp", addr)
}

// localLacks are the errors by which the kernel says that this machine lacks descriptors, memory or ports.
var localLacks = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN}

// IsLocalError reports whether a connection could not be opened for want of something on this machine: descriptors, memory
// or ports. It says nothing about the server.
func IsLocalError(err error) bool {
	for _, lack := range localLacks {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// enroll puts a connection on the loop, from a goroutine of its own, and waits until it is there.
func (l *Loop) enroll(c *Conn, nc net.Conn) error {
	fd, err := takeDescriptor(nc)
	if err != nil {
		return fmt.Errorf("enroll: %w", err)
	}
	return l.enrollDescriptor(c, fd)
}

// enrollDescriptor puts a connection on the loop whose descriptor nobody else has.
func (l *Loop) enrollDescriptor(c *Conn, fd int) error {
	c.fd = fd
	opened := make(chan struct{})
	l.Post(func() {
		l.open(c)
		close(opened)
	})
	select {
	case <-opened:
		return nil
	case <-l.stopped:
	}
	select {
	case <-opened:
		return nil
	default:
		_ = unix.Close(fd)
		return fmt.Errorf("enroll: %w", errOver)
	}
}

// takeDescriptor takes the descriptor of a connection out of the runtime's hands; it is the same socket under another number. Where there is
// no number to be had, it waits for one for a while.
func takeDescriptor(nc net.Conn) (fd int, err error) {
	defer func() { _ = nc.Close() }()
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("no descriptor: %T", nc)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	for range takeTries {
		var failed error
		if err := raw.Control(func(old uintptr) { fd, failed = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
			return 0, err
		}
		if failed == nil {
			return fd, nil
		}
		err = os.NewSyscallError("fcntl", failed)
		time.Sleep(acceptPause)
	}
	return 0, err
}

// Listen accepts connections at one more address, until stop is called. It is for functions that run on the loop, and
// accept runs there too.
func (l *Loop) Listen(addr string, accept func() Handler) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	return ln.Addr().String(), l.AcceptFrom(ln, accept), nil
}

// AcceptFrom accepts what comes to ln, until stop is called, which closes it. Both are for functions that run on the loop.
func (l *Loop) AcceptFrom(ln net.Listener, accept func() Handler) (stop func()) {
	a := &acceptor{loop: l, ln: ln, accept: accept}
	a.begin()
	return a.stop
}

const (
	acceptPause   = 20 * time.Millisecond
	acceptPauseMs = 20
	acceptsAtOnce = 16 // of one listener, before other events are looked at
	takeTries     = 25
	quietMs       = 5 // with nothing to accept, what had connected has been accepted
)

// acceptor accepts connections on the loop. Where the machine or the process has no descriptor or no memory left, it pauses. At the end, what
// has connected is accepted before the listener is closed: a listener that is closed with connections in its queue resets them.
type acceptor struct {
	loop   *Loop
	ln     net.Listener
	accept func() Handler

	fd       int // of ln
	enrolled bool
	stopped  bool

	ending   bool    // nothing is accepted but what has connected...
	until    float64 // ...until then at most
	last     float64 // when something was accepted last
	accepted int     // since it is ending
}

// begin has the poller wait for connections; where it has no memory for that, it is tried again.
func (a *acceptor) begin() {
	if a.stopped || a.enrolled {
		return
	}
	fd, err := listeningDescriptor(a.ln)
	if err == nil {
		err = a.loop.poller.control(unix.EPOLL_CTL_ADD, fd, readWants)
	}
	if err != nil {
		a.loop.log.Warn("a listener waits to be enrolled", "err", err)
		a.loop.At(a.loop.Now()+acceptPauseMs, a.begin)
		return
	}
	a.fd, a.enrolled = fd, true
	a.loop.acceptors[fd] = a
}

// pause stops the waiting for connections.
func (a *acceptor) pause() {
	if a.enrolled {
		a.enrolled = false
		delete(a.loop.acceptors, a.fd)
		a.loop.poller.forget(a.fd)
	}
}

// stop closes the listener.
func (a *acceptor) stop() {
	if !a.stopped {
		a.pause()
		a.stopped = true
		_ = a.ln.Close()
	}
}

// listeningDescriptor returns the descriptor of a listener, which stays the listener's.
func listeningDescriptor(ln net.Listener) (fd int, err error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("no descriptor: %T", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(of uintptr) { fd = int(of) })
	return fd, err
}

// take accepts some of the connections that wait, and reports whether there was one.
func (a *acceptor) take() (some bool) {
	for range acceptsAtOnce {
		if a.stopped {
			return some
		}
		fd, err := a.loop.calls.accept(a.fd)
		switch {
		case err == nil:
			some = true
			a.opened(fd)
		case errors.Is(err, unix.EAGAIN):
			return some
		case concernsOneConnection(err):
		default: // want of descriptors, buffers or memory, of the process or the machine
			a.pause()
			a.loop.At(a.loop.Now()+acceptPauseMs, a.begin)
			return some
		}
	}
	return some
}

// opened puts an accepted connection on the loop.
func (a *acceptor) opened(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	a.last = a.loop.Now()
	if a.ending {
		a.accepted++
	}
	c := &Conn{loop: a.loop, accept: a.accept, fd: fd}
	a.loop.open(c)
}

// concernsOneConnection reports whether an accept failed by the connection that it met, or by an interruption: the next one may succeed at once.
func concernsOneConnection(err error) bool {
	for _, one := range []unix.Errno{unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// acceptDescriptor accepts a connection without the runtime's poller, which would reset one that it has no memory for. It is not unix.Accept4,
// which closes the connection where a further call fails, to learn its protocol.
func acceptDescriptor(listening int) (fd int, err error) {
	fd, _, err = syscall.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}

// StopAccepting closes the loop's own listener, once what had connected by then has been accepted, for so many milliseconds at most; done is
// told, on the loop, how many those were. On a socket that other processes share it closes nothing, as it is theirs too.
func (l *Loop) StopAccepting(withinMs float64, done func(accepted int)) {
	a := l.own
	if a == nil || a.ending {
		done(0)
		return
	}
	now := l.Now()
	a.ending, a.until, a.last = true, now+withinMs, now
	a.finish(done)
}

// finish accepts until nothing more comes, and closes the listener.
func (a *acceptor) finish(done func(accepted int)) {
	for a.take() {
	}
	if now := a.loop.Now(); now < a.until && now-a.last < quietMs {
		a.loop.At(now+1, func() { a.finish(done) })
		return
	}
	a.stop()
	done(a.accepted)
}
