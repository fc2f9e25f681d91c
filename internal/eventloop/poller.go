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
	maxEvents  = 256 // events that are taken at once
	startTries = 50  // with a pause in between, where the machine has no memory for a poller
	readWants  = uint32(unix.EPOLLIN)
	bothWants  = uint32(unix.EPOLLIN | unix.EPOLLOUT)
)

// systemCalls are the calls that the loop makes for its connections. Tests replace them, to have them fail.
type systemCalls struct {
	read     func(fd int, b []byte) (int, error)
	write    func(fd int, b []byte) (int, error)
	epollCtl func(epoll, op, fd int, event *unix.EpollEvent) error
	wait     func(epoll int, events []unix.EpollEvent, ms int) (int, error)
	accept   func(listening int) (fd int, err error)
}

var realCalls = systemCalls{read: unix.Read, write: unix.Write, epollCtl: unix.EpollCtl, wait: unix.EpollWait,
	accept: acceptDescriptor}

// poller waits for events of descriptors and for wake-ups by other goroutines. Its methods but wake are for the loop alone.
//
// While there are no events the goroutine waits in the runtime's own poller, which watches the epoll descriptor like any other. A call of
// epoll_wait that blocks would keep a thread, and the runtime's monitor busy with it.
type poller struct {
	calls  systemCalls
	epoll  int
	file   *os.File // of epoll
	idle   syscall.RawConn
	wakeup int // an eventfd
	events [maxEvents]unix.EpollEvent
}

// newPoller opens a poller, and tries again where the machine lacks something for it.
func newPoller(calls systemCalls) (p *poller, err error) {
	for range startTries {
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
	if err := p.enrol(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// enrol has the epoll descriptor watch the eventfd, and the runtime watch the epoll descriptor.
func (p *poller) enrol() (err error) {
	if err := unix.SetNonblock(p.epoll, true); err != nil { // else the runtime takes it for a file
		return os.NewSyscallError("fcntl", err)
	}
	p.file = os.NewFile(uintptr(p.epoll), "epoll")
	if err := p.file.SetReadDeadline(time.Time{}); err != nil { // the runtime does not watch it
		return err
	}
	if p.idle, err = p.file.SyscallConn(); err != nil {
		return err
	}
	return p.control(unix.EPOLL_CTL_ADD, p.wakeup, readWants)
}

func (p *poller) close() {
	_ = unix.Close(p.wakeup)
	if p.file == nil {
		_ = unix.Close(p.epoll)
		return
	}
	_ = p.file.Close()
}

// control adds or changes what is waited for at a descriptor.
func (p *poller) control(op, fd int, wants uint32) error {
	event := unix.EpollEvent{Events: wants, Fd: int32(fd)}
	for {
		err := p.calls.epollCtl(p.epoll, op, fd, &event)
		if !errors.Is(err, unix.EINTR) {
			return os.NewSyscallError("epoll_ctl", err)
		}
	}
}

// forget ends the waiting for a descriptor. It needs no memory, and so does not fail for want of it.
func (p *poller) forget(fd int) { _ = p.control(unix.EPOLL_CTL_DEL, fd, 0) }

// wait waits for events. Those of the wake-up are taken and not returned.
func (p *poller) wait() ([]unix.EpollEvent, error) {
	n, err := 0, error(nil)
	// The runtime learns only that events have come, not that some are left; so it is asked to wait once there are none.
	if failed := p.idle.Read(func(uintptr) bool {
		n, err = p.calls.wait(p.epoll, p.events[:], 0)
		return n > 0 || err != nil
	}); errors.Is(failed, os.ErrDeadlineExceeded) { // see wake
		return nil, p.file.SetReadDeadline(time.Time{})
	} else if failed != nil {
		return nil, fmt.Errorf("event loop: %w", failed)
	}
	if errors.Is(err, unix.EINTR) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", os.NewSyscallError("epoll_wait", err))
	}
	events := p.events[:0]
	for _, event := range p.events[:n] {
		if int(event.Fd) == p.wakeup {
			p.takeWakeup()
			continue
		}
		events = append(events, event)
	}
	return events, nil
}

// takeWakeup resets the eventfd. Where that fails, the next wait returns at once and tries again.
func (p *poller) takeWakeup() {
	var count [8]byte
	_, _ = p.calls.read(p.wakeup, count[:])
}

// wake has a wait return, from any goroutine. Where the eventfd cannot be written, the wait is ended by its deadline.
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

// passes reports whether a call that failed with this error may succeed a moment later, with nothing lost.
func passes(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// peek reports what a read of the socket would find: bytes, nothing yet (EAGAIN), an end (0 and nil) or an error.
func peek(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// poll returns the events that a descriptor has now.
func poll(fd int, events int16) (int16, error) {
	for {
		p := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err := unix.Poll(p, 0)
		if !errors.Is(err, unix.EINTR) {
			return p[0].Revents, err
		}
	}
}
