// Package loop puts the program on one gnet event loop. That loop owns all state: accepted and dialled
// connections, posted functions and deadlines all run on it, one at a time, so nothing needs a lock.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/invariant"
)

// Handler is told of one connection. Data is valid during the call only.
type Handler interface {
	Opened(c *Conn)
	Data(b []byte)
	Closed(err error)
}

// lastWord is how long a connection that is closed while it is parked may take to read what was written to it.
const lastWord = time.Second

// Conn is a connection on the loop; its methods are for the loop alone.
type Conn struct {
	loop *Loop
	gc   gnet.Conn
	h    Handler
	gone bool

	accept func() Handler // makes h, for a connection that another listener accepted
	parked net.Conn       // the connection while it is not read
	back   bool           // it is on its way back
	out    []byte         // written while parked
}

// Write sends b, or buffers what the socket does not take. A write that fails closes the connection,
// and Closed has been called when Write returns.
func (c *Conn) Write(b []byte) error {
	if c.gone {
		return net.ErrClosed
	}
	if c.parked != nil {
		c.out = append(c.out, b...)
		return nil
	}
	if _, err := c.gc.Write(b); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Unsent is the number of bytes written that the socket has not taken yet.
func (c *Conn) Unsent() int {
	if c.gone {
		return 0
	}
	if c.parked != nil {
		return len(c.out)
	}
	return c.gc.OutboundBuffered()
}

// Close closes the connection now; Closed is called before it returns.
func (c *Conn) Close() {
	switch {
	case c.gone:
	case c.parked != nil:
		go func(nc net.Conn, out []byte) { // its last word
			_ = nc.SetWriteDeadline(time.Now().Add(lastWord))
			_, _ = nc.Write(out)
			_ = nc.Close()
		}(c.parked, c.out)
		c.h.Closed(nil)
		c.gone = true
	default:
		_ = c.gc.EventLoop().Close(c.gc)
	}
}

// Park takes the connection off the loop, so that nothing more is read of it until Unpark: what its other side sends
// stays with that side. It tells whether it could, which is not so while something is yet to be written.
func (c *Conn) Park() bool {
	if c.gone || c.parked != nil || c.gc.OutboundBuffered() > 0 {
		return c.parked != nil
	}
	fd, err := unix.Dup(c.gc.Fd())
	if err != nil {
		return false
	}
	f := os.NewFile(uintptr(fd), "parked")
	nc, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return false
	}
	c.parked = nc
	_ = c.gc.EventLoop().Close(c.gc) // the copy keeps the connection itself
	return true
}

// Unpark puts a connection back on the loop.
func (c *Conn) Unpark() {
	if c.gone || c.parked == nil || c.back {
		return
	}
	c.back = true
	l, nc := c.loop, c.parked
	go func() {
		if err := l.enroll(c, nc); err != nil {
			l.Post(func() {
				if !c.gone {
					c.h.Closed(err)
					c.gone = true
				}
			})
		}
	}()
}

// CloseWrite ends the sending; what the other side still sends is told as before.
func (c *Conn) CloseWrite() error {
	if c.gone {
		return net.ErrClosed
	}
	if err := unix.Shutdown(c.gc.Fd(), unix.SHUT_WR); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// Parked tells whether the connection is off the loop, or not back yet.
func (c *Conn) Parked() bool { return c.parked != nil }

// Ended tells, also while the connection is parked, whether its other side sends no more, and how much of what it sent
// waits to be read. gone is set where it reads no more either.
func (c *Conn) Ended() (left int, ended, gone bool) {
	look := func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(p, 0); err != nil {
			return
		}
		gone = p[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		ended = gone || p[0].Revents&unix.POLLRDHUP != 0
		left, _ = unix.IoctlGetInt(fd, unix.TIOCINQ)
	}
	switch sc, ok := c.parked.(syscall.Conn); {
	case c.gone:
		return 0, true, true
	case ok:
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { look(int(fd)) })
		}
	default:
		look(c.gc.Fd())
	}
	return left, ended, gone
}

// Abort closes the connection so that its other side takes what it has had for broken off, not for whole.
func (c *Conn) Abort() {
	if c.gone {
		return
	}
	if c.parked != nil {
		if t, ok := c.parked.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.out = nil
	} else {
		_ = unix.SetsockoptLinger(c.gc.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}

// Quiet tells whether the connection stands open with nothing to read: neither data nor an end that
// the loop has not come to yet.
func (c *Conn) Quiet() bool {
	if c.gone || c.parked != nil {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.gc.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// Loop is the event loop. Now, After, Stop and Conn's methods are for functions that run on it; Post
// may be called from anywhere.
type Loop struct {
	gnet.BuiltinEventEngine

	// Ready, if it is set before Run, runs on the loop once it serves and its connection to itself has gone.
	Ready func()
	// Between, if it is set before Run, runs on the loop after each callback, once what was due then has run.
	Between func()

	clk    clock.Clock
	log    *slog.Logger
	accept func() Handler
	start  func()

	addr   string // that it listens on
	shared bool   // it serves on a socket that it was given
	ended  chan struct{}
	once   sync.Once
	eng    gnet.Engine
	el     gnet.EventLoop
	heap   deadline.Heap
	wake   *time.Timer
	walks  int
	armd   float64 // time for which wake is set, 0 for none

	depth int // callbacks that run inside each other: a close within a write, say

	mu     sync.Mutex
	posted []func() // before the loop is known
}

// New makes a loop. accept makes the handler of each accepted connection; start runs on the loop before
// anything else.
func New(clk clock.Clock, log *slog.Logger, accept func() Handler, start func()) *Loop {
	return &Loop{clk: clk, log: log, accept: accept, start: start}
}

// Run listens on addr and serves until End.
func (l *Loop) Run(addr string) error {
	// SO_REUSEPORT makes gnet accept on the one loop instead of on a second one; without this look an
	// address in use would then be shared in silence.
	probe, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := probe.Close(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	err = gnet.Run(l, "tcp://"+addr, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithLoadBalancing(gnet.LeastConnections), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithWriteBufferCap(4096), gnet.WithLogger(gnetLog{l.log}))
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// Serve accepts on a listening socket that other processes may hold too, and serves until End; ln is closed then.
func (l *Loop) Serve(ln net.Listener) error {
	defer func() { _ = ln.Close() }()
	l.shared, l.addr, l.ended = true, ln.Addr().String(), make(chan struct{})
	cl, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithWriteBufferCap(4096), gnet.WithLogger(gnetLog{l.log}))
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	if err := cl.Start(); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	// The loop can be had from a connection only.
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	far, near := os.NewFile(uintptr(pair[0]), "own"), os.NewFile(uintptr(pair[1]), "own")
	nc, err := net.FileConn(near)
	_ = near.Close()
	if err == nil {
		_, err = cl.EnrollContext(nc, &Conn{loop: l, h: nobody{}})
	}
	_ = far.Close()
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	if l.Ready != nil {
		l.Post(l.Ready)
	}
	<-l.ended
	if err := cl.Stop(); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// nobody hears nothing of a connection.
type nobody struct{}

func (nobody) Opened(*Conn) {}
func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}

// End stops the loop; Run and Serve return.
func (l *Loop) End() {
	if l.shared {
		l.once.Do(func() { close(l.ended) })
		return
	}
	go func() { _ = l.eng.Stop(context.Background()) }()
}

// Addr is the address that the loop listens on, with its port where any was asked for.
func (l *Loop) Addr() string { return l.addr }

// Now is the time in milliseconds.
func (l *Loop) Now() float64 { return l.clk.Now() }

// At runs f on the loop at the given time.
func (l *Loop) At(ms float64, f func()) *deadline.Timer { return l.heap.Add(ms, f) }

// Stop takes a deadline down.
func (l *Loop) Stop(t *deadline.Timer) { l.heap.Stop(t) }

// Post runs f on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	if l.el == nil {
		l.posted = append(l.posted, f)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		defer l.enter()()
		f()
		return nil
	}))
}

// Dial connects to addr off the loop. On the loop, either h is told Opened or failed is called.
func (l *Loop) Dial(addr string, timeoutMs float64, h Handler, failed func(error)) {
	go func() {
		d := net.Dialer{Timeout: clock.Span(timeoutMs)}
		nc, err := d.Dial("tcp", addr)
		if err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
			return
		}
		if err := l.enroll(&Conn{loop: l, h: h}, nc); err != nil {
			l.Post(func() { failed(fmt.Errorf("dial: %w", err)) })
		}
	}()
}

// enroll puts a connection on the loop, from a goroutine of its own.
func (l *Loop) enroll(c *Conn, nc net.Conn) error {
	// Enroll duplicates the descriptor, adds the copy to the loop and closes nc.
	done, err := l.el.Enroll(gnet.NewContext(context.Background(), c), nc)
	if err != nil {
		_ = nc.Close()
		return fmt.Errorf("enroll: %w", err)
	}
	if r := <-done; r.Err != nil {
		return fmt.Errorf("enroll: %w", r.Err)
	}
	return nil
}

// Listen accepts connections at one more address, until stop is called. It is for functions that run on the loop, and
// accept runs there too.
func (l *Loop) Listen(addr string, accept func() Handler) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	return ln.Addr().String(), l.Take(ln, accept), nil
}

// Take accepts what comes to ln, until stop is called, which closes it.
func (l *Loop) Take(ln net.Listener, accept func() Handler) (stop func()) {
	go func() {
		for {
			nc, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // want of descriptors, say
				time.Sleep(acceptPause)
				continue
			}
			if err := l.enroll(&Conn{loop: l, accept: accept}, nc); err != nil {
				l.log.Warn("accept", "err", err)
			}
		}
	}()
	return func() { _ = ln.Close() }
}

const acceptPause = 20 * time.Millisecond

// OnBoot is gnet's. The loop itself can be had from a connection only, so the program makes one to
// itself.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	if l.eng = eng; l.shared {
		return gnet.None
	}
	fd, err := eng.Dup()
	if err != nil {
		l.log.Error("listener", "err", err)
		return gnet.Shutdown
	}
	sa, err := unix.Getsockname(fd)
	_ = unix.Close(fd)
	if err != nil {
		l.log.Error("listener", "err", err)
		return gnet.Shutdown
	}
	l.addr = sockAddr(sa)
	go func() {
		nc, err := net.Dial("tcp", l.addr)
		if err != nil {
			l.log.Error("no connection to the own address", "err", err)
			l.End()
			return
		}
		_ = nc.Close()
		if l.Ready != nil {
			l.Post(l.Ready)
		}
	}()
	return gnet.None
}

func sockAddr(sa unix.Sockaddr) string {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return ""
}

// begin runs the start function, once the loop is known, and what was posted before.
func (l *Loop) begin(el gnet.EventLoop) {
	l.mu.Lock()
	l.el = el
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	l.start()
	for _, f := range posted {
		f()
	}
}

// OnOpen is gnet's.
func (l *Loop) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	defer l.enter()()
	if l.el == nil {
		l.begin(gc.EventLoop())
	}
	c, ok := gc.Context().(*Conn)
	if !ok {
		c = &Conn{loop: l, h: l.accept()}
		gc.SetContext(c)
	}
	if c.gone { // it was closed on its way back
		return nil, gnet.Close
	}
	c.gc = gc
	if c.parked != nil { // it is back
		c.parked, c.back = nil, false
		if b := c.out; len(b) > 0 {
			c.out = nil
			_ = c.Write(b)
		}
		return nil, gnet.None
	}
	if c.h == nil {
		c.h = c.accept()
	}
	c.h.Opened(c)
	return nil, gnet.None
}

// OnTraffic is gnet's.
func (l *Loop) OnTraffic(gc gnet.Conn) gnet.Action {
	defer l.enter()()
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	if b, err := gc.Next(-1); err == nil && len(b) > 0 {
		c.h.Data(b)
	}
	return gnet.None
}

// OnClose is gnet's.
func (l *Loop) OnClose(gc gnet.Conn, err error) gnet.Action {
	defer l.enter()()
	if c, ok := gc.Context().(*Conn); ok && !c.gone && c.parked == nil {
		c.h.Closed(err)
		c.gone = true
	}
	return gnet.None
}

// enter begins a callback and returns what ends it: deadlines are run between callbacks, never inside
// one.
func (l *Loop) enter() func() {
	l.depth++
	return func() {
		if l.depth == 1 {
			l.turn()
		}
		l.depth--
	}
}

// turn runs what is due and sets the wake-up for what comes next.
func (l *Loop) turn() {
	l.heap.Run(l.clk.Now())
	if l.Between != nil {
		l.Between()
	}
	at, ok := l.heap.Next()
	if !ok || l.armd != 0 && l.armd <= at {
		return
	}
	l.armd = at
	d := max(0, clock.Span(at-l.clk.Now()))
	if l.wake == nil {
		l.wake = time.AfterFunc(d, func() { l.Post(func() { l.armd = 0 }) })
		return
	}
	l.wake.Reset(d)
}

// Check has the order of deadlines checked, once in so many calls.
func (l *Loop) Check(c *invariant.Checks, every int) {
	c.Walk(&l.walks, every, "deadlines: the walk", l.heap.Check)
}

// gnetLog passes gnet's log lines on.
type gnetLog struct{ log *slog.Logger }

func (g gnetLog) Debugf(f string, a ...any) { g.log.Debug(fmt.Sprintf(f, a...)) }
func (g gnetLog) Infof(f string, a ...any)  { g.log.Debug(fmt.Sprintf(f, a...)) }
func (g gnetLog) Warnf(f string, a ...any)  { g.log.Debug(fmt.Sprintf(f, a...)) }
func (g gnetLog) Errorf(f string, a ...any) { g.log.Error(fmt.Sprintf(f, a...)) }
func (g gnetLog) Fatalf(f string, a ...any) { g.log.Error(fmt.Sprintf(f, a...)) }
