package eventloop

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxEvents    = 256 // events taken at once
	openTries    = 50  // to open a poller if the machine lacks resources, with acceptPause in between
	readEvents   = uint32(unix.EPOLLIN)
	brokenEvents = uint32(unix.EPOLLERR | unix.EPOLLHUP) // the connection was reset, or both sides are closed

	endOfStreamEvents = uint32(unix.EPOLLRDHUP) // the peer sends no more
)

// systemCalls are the calls that the loop makes for its connections. Tests replace them to inject failures.
type systemCalls struct {
	read     func(fd int, b []byte) (int, error)
	write    func(fd int, b []byte) (int, error)
	epollCtl func(epoll, op, fd int, event *unix.EpollEvent) error
	wait     func(epoll int, events []unix.EpollEvent, ms int) (int, error)
	accept   func(listening int) (fd int, err error)
}

var realCalls = systemCalls{
	read:     unix.Read,
	write:    unix.Write,
	epollCtl: unix.EpollCtl,
	wait:     unix.EpollWait,
	accept:   acceptDescriptor,
}

// poller waits for events of descriptors and for wake-ups by other goroutines. Its methods must be called on the loop, except wake.
//
// While there are no events, the goroutine waits in the runtime's own poller, which watches the epoll descriptor like any other. A
// blocking epoll_wait would occupy a thread, and the runtime's monitor with it.
type poller struct {
	calls   systemCalls
	epoll   int
	file    *os.File        // of epoll
	rawConn syscall.RawConn // of file; waits in the runtime's poller
	wakeup  int             // an eventfd
	expired bool            // the time of wakeIn is over, or wake has ended a wait in its place
	events  [maxEvents]unix.EpollEvent
}

// newPoller opens a poller, and retries if the machine lacks resources for it.
func newPoller(calls systemCalls) (p *poller, err error) {
	for range openTries {
		if p, err = openPoller(calls); err == nil {
			return p, nil
		}
		time.Sleep(acceptPause)
	}
	return nil, err
}

func openPoller(calls systemCalls) (*poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	wakeup, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		_ = unix.Close(epoll)
		return nil, os.NewSyscallError("eventfd", err)
	}
	p := &poller{calls: calls, epoll: epoll, wakeup: wakeup}
	if err := p.register(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// register has the epoll descriptor watch the eventfd, and the runtime watch the epoll descriptor.
func (p *poller) register() (err error) {
	if err := unix.SetNonblock(p.epoll, true); err != nil { // otherwise the runtime treats the descriptor as a regular file
		return os.NewSyscallError("fcntl", err)
	}
	p.file = os.NewFile(uintptr(p.epoll), "epoll")
	if err := p.file.SetReadDeadline(time.Time{}); err != nil { // fails if the runtime does not poll the descriptor
		return err
	}
	if p.rawConn, err = p.file.SyscallConn(); err != nil {
		return err
	}
	return p.setInterest(unix.EPOLL_CTL_ADD, p.wakeup, readEvents)
}

func (p *poller) close() {
	_ = unix.Close(p.wakeup)
	if p.file == nil {
		_ = unix.Close(p.epoll)
		return
	}
	_ = p.file.Close()
}

// setInterest adds a descriptor, or changes the events that are reported for it.
func (p *poller) setInterest(op, fd int, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd)}
	for {
		err := p.calls.epollCtl(p.epoll, op, fd, &event)
		if !errors.Is(err, unix.EINTR) {
			return os.NewSyscallError("epoll_ctl", err)
		}
	}
}

// removeInterest removes a descriptor. That needs no memory, so it does not fail for a lack of it.
func (p *poller) removeInterest(fd int) { _ = p.setInterest(unix.EPOLL_CTL_DEL, fd, 0) }

// check returns the events that have happened, without those of the wake-up. It does not wait.
func (p *poller) check() ([]unix.EpollEvent, error) {
	n, err := p.calls.wait(p.epoll, p.events[:], 0)
	return p.result(n, err)
}

// wakeIn ends a wait after a time, unless it has ended before. A later call replaces an earlier one. It must be called on the loop.
func (p *poller) wakeIn(remaining time.Duration) {
	_ = p.file.SetReadDeadline(time.Now().Add(remaining))
}

// wait waits for events, and returns them without those of the wake-up. It may return none. waited is false if they had happened before.
func (p *poller) wait() (events []unix.EpollEvent, waited bool, err error) {
	n, checks := 0, 0
	// The runtime's poller reports new events only, not those that remain. So it may wait only when no event is left.
	waitErr := p.rawConn.Read(func(uintptr) bool {
		checks++
		n, err = p.calls.wait(p.epoll, p.events[:], 0)
		return n > 0 || err != nil
	})
	switch {
	case errors.Is(waitErr, os.ErrDeadlineExceeded): // see wakeIn and wake
		events, err = p.expire()
		return events, checks > 0, err
	case waitErr != nil:
		return nil, true, fmt.Errorf("event loop: %w", waitErr)
	}
	events, err = p.result(n, err)
	return events, checks > 1, err
}

// expire notes that the wait is over, and returns the events that have happened: they must not wait for a time at which no timer is due.
func (p *poller) expire() ([]unix.EpollEvent, error) {
	p.expired = true
	if err := p.file.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return p.check()
}

// result returns the first n events, without those of the wake-up, or the error of the call that should have returned them.
func (p *poller) result(n int, err error) ([]unix.EpollEvent, error) {
	switch {
	case errors.Is(err, unix.EINTR):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("event loop: %w", os.NewSyscallError("epoll_wait", err))
	}
	return p.withoutWakeup(p.events[:n]), nil
}

// withoutWakeup removes the events of the wake-up, in place, and resets it.
func (p *poller) withoutWakeup(all []unix.EpollEvent) []unix.EpollEvent {
	events := all[:0]
	for _, event := range all {
		if int(event.Fd) == p.wakeup {
			p.resetWakeup()
			continue
		}
		events = append(events, event)
	}
	return events
}

// resetWakeup resets the eventfd. If that fails, the next wait returns at once and resets it again.
func (p *poller) resetWakeup() {
	var count [8]byte
	_, _ = p.calls.read(p.wakeup, count[:])
}

// wake makes a wait return. It may be called from any goroutine. If the eventfd cannot be written, the wait is ended by its read
// deadline.
func (p *poller) wake() {
	one := [8]byte{1}
	_, err := p.calls.write(p.wakeup, one[:])
	for errors.Is(err, unix.EINTR) {
		_, err = p.calls.write(p.wakeup, one[:])
	}
	if err != nil {
		_ = p.file.SetReadDeadline(time.Unix(1, 0))
	}
}

// isTemporary reports whether a call that failed with this error may succeed soon, with nothing lost.
func isTemporary(err error) bool {
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return true
	case errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
		return true
	}
	return false
}
