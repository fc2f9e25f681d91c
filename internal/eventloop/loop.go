// Package eventloop is the program's one event loop. That loop owns all state: accepted and dialled connections, posted functions and
// deadlines all run on it, one at a time, so nothing needs a lock.
//
// A system call that fails in a way that passes (EINTR, EAGAIN, want of memory or buffers) is made again and costs time alone; any other
// failure ends its connection. A wake-up that fails is made in another way.
package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/invariant"
)

// Handler is told of one connection. Data is valid during the call only.
type Handler interface {
	Opened(c *Conn)
	Data(b []byte)
	Closed(err error)
}

// Loop is the event loop. Now, After, Stop and Conn's methods are for functions that run on it; Post
// may be called from anywhere.
type Loop struct {
	// Ready, if it is set before Run, runs on the loop once it serves.
	Ready func()
	// Between, if it is set before Run, runs on the loop after each callback, once what was due then has run.
	AfterCallback func()
	// Connect opens the connections of Dial. It may be replaced before Run.
	Connect func(addr string, timeout time.Duration) (net.Conn, error)

	clk    clock.Clock
	log    *slog.Logger
	accept func() Handler
	start  func()

	addr      string    // that it listens on
	own       *acceptor // accepts there, nil where it serves on a socket that it was given
	ended     chan struct{}
	once      sync.Once
	stopped   chan struct{} // closed once all connections are
	calls     systemCalls
	conns     map[int]*Conn // by descriptor, as acceptors
	acceptors map[int]*acceptor
	heap      timers.Heap
	wake      *time.Timer
	walks     int
	armd      float64 // time for which wake is set, 0 for none
	pauses    pauses

	depth int // callbacks that run inside each other: a close within a write, say

	mu       sync.Mutex // guards what follows
	poller   *poller    // set once; only the loop uses it without mu
	posted   []func()   // to be run
	wakeSent bool       // the poller has been woken for them
	over     bool       // nothing more is run
	spare    []func()   // a buffer for posted
}

// New makes a loop. accept makes the handler of each accepted connection; start runs on the loop before
// anything else.
func New(clk clock.Clock, log *slog.Logger, accept func() Handler, start func()) *Loop {
	return &Loop{Connect: connect, clk: clk, log: log, accept: accept, start: start, ended: make(chan struct{}), stopped: make(chan struct{}),
		calls: realCalls, conns: map[int]*Conn{}, acceptors: map[int]*acceptor{}}
}

// Run listens on addr and serves until End.
func (l *Loop) Run(addr string) error {
	lc := net.ListenConfig{KeepAlive: -1} // a client that is silent has not gone
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return l.run(ln)
}

// run serves on a listener of its own.
func (l *Loop) run(ln net.Listener) error {
	l.own = &acceptor{loop: l, ln: ln, accept: l.accept}
	return l.Serve(ln)
}

// Serve serves until End on a listening socket that other processes may hold too; ln is closed then. What comes there is accepted once
// Take is called.
func (l *Loop) Serve(ln net.Listener) error {
	defer func() { _ = ln.Close() }()
	l.addr = ln.Addr().String()
	poller, err := newPoller(l.calls)
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	l.mu.Lock()
	l.poller = poller
	l.mu.Unlock()
	if l.Ready != nil {
		l.Post(l.Ready)
	}
	err = l.serve()
	l.runPosted()
	l.closeAll()
	poller.close()
	return err
}

// End stops the loop; Run and Serve return.
func (l *Loop) End() {
	l.once.Do(func() {
		close(l.ended)
		l.Post(func() {}) // wakes it
	})
}

// Now is the time in milliseconds.
func (l *Loop) Now() float64 { return l.clk.Now() }

// At runs f on the loop at the given time.
func (l *Loop) At(ms float64, f func()) *timers.Timer { return l.heap.Add(ms, f) }

// StopTimer takes a deadline down.
func (l *Loop) StopTimer(t *timers.Timer) { l.heap.Stop(t) }

// Post runs f on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.posted = append(l.posted, f)
	if !l.wakeSent && l.poller != nil {
		l.wakeSent = true
		l.poller.wake()
	}
}

// Check has the order of deadlines checked, once in so many calls.
func (l *Loop) Check(c *invariant.Checks, every int) {
	c.Walk(&l.walks, every, "deadlines: the walk", l.heap.Check)
}
