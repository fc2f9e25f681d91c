// Package eventloop implements the event loop of the program. One goroutine runs all callbacks, one at a time: those of accepted and dialled
// connections, timers and posted functions. State that is used only in callbacks needs no lock.
//
// Its inputs are sockets, the clock and functions that other goroutines post; its outputs are the calls of Handler and of the
// functions given to At and Post. A system call that fails for a temporary reason (EINTR, EAGAIN, a lack of memory or buffers) is
// repeated and only causes delay; any other failure ends its connection. Output that a socket does not accept is buffered without a
// bound: callers limit it by Conn.Unsent. A peer that sends nothing is not timed out here.
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

// Handler receives the events of one connection. Its methods are called on the loop.
type Handler interface {
	// Opened is called once, when the connection is on the loop.
	Opened(c *Conn)
	// Data is called with bytes that were read. They are valid during the call only.
	Data(b []byte)
	// Closed is called once, before the descriptor is closed. err is nil if this side closed the connection, and io.EOF if its
	// peer did.
	Closed(err error)
}

// HangUpHandler is a Handler of accepted connections that is told of the end of the peer's stream while reading is paused.
type HangUpHandler interface {
	// PeerEnded is called once. Bytes that the peer sent before may still be unread.
	PeerEnded()
}

// Loop is the event loop. Its methods and those of Conn must be called on the loop, except Post and End; Run and Serve run the loop.
type Loop struct {
	// Ready runs on the loop once it serves. It may be set before Run.
	Ready func()
	// AfterCallback runs on the loop after each callback, once the timers due by then have run. It may be set before Run.
	AfterCallback func()
	// Connect opens the connections of Dial. It may be replaced before Run.
	Connect func(addr string, timeout time.Duration) (net.Conn, error)

	clock  clock.Clock
	log    *slog.Logger
	accept func() Handler
	start  func()

	addr          string    // the address that the loop listens on
	ownListener   *acceptor // accepts at addr; nil if the socket was given to Serve
	ended         chan struct{}
	endOnce       sync.Once
	stopped       chan struct{} // closed once all connections are closed
	calls         systemCalls
	conns         map[int]*Conn     // by descriptor
	acceptors     map[int]*acceptor // by descriptor
	timers        timers.Heap
	wakeAt        float64 // the time at which the poller wakes the loop, 0 for none
	pauses        pauses
	turns         turns
	jobs          []*Job
	jobTime       jobTime
	readBuffer    []byte
	spareOutput   []byte // for output that is held back for a moment, nil while in use
	checkCalls    int    // counts calls of Check
	callbackDepth int    // of nested callbacks, such as a close within a write
	ending        bool   // all connections are being closed

	mu          sync.Mutex // guards the fields below
	poller      *poller    // set once; the loop itself uses it without mu
	posted      []func()   // functions to run
	spareBuffer []func()   // an empty buffer, to be used for posted next
	wakeSent    bool       // the poller has been woken for them
	finished    bool       // posted functions are not run any more
}

// New returns a loop that does not run yet. accept returns the handler of each accepted connection; start runs on the loop before
// any other callback.
func New(clk clock.Clock, log *slog.Logger, accept func() Handler, start func()) *Loop {
	return &Loop{
		Connect:   connect,
		clock:     clk,
		log:       log,
		accept:    accept,
		start:     start,
		ended:     make(chan struct{}),
		stopped:   make(chan struct{}),
		calls:     realCalls,
		conns:     map[int]*Conn{},
		acceptors: map[int]*acceptor{},
		jobTime:   jobTime{leftMs: savedMs},

		readBuffer: make([]byte, LargestRead),
	}
}

// Run listens on addr and serves until End.
func (l *Loop) Run(addr string) error {
	config := net.ListenConfig{KeepAlive: -1} // a client that sends nothing may still be connected
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return l.run(listener)
}

// run serves on a listener that belongs to this process alone.
func (l *Loop) run(listener net.Listener) error {
	l.ownListener = &acceptor{loop: l, listener: listener, accept: l.accept}
	return l.Serve(listener)
}

// Serve serves until End on a listening socket that other processes may share, and closes it then. Connections to it are accepted
// once AcceptFrom is called.
func (l *Loop) Serve(listener net.Listener) error {
	defer func() { _ = listener.Close() }()
	l.addr = listener.Addr().String()
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
	err = l.runUntilEnd()
	l.runPosted()
	l.closeAll()
	poller.close()
	return err
}

// End stops the loop, so that Run or Serve returns. It may be called from any goroutine, and more than once.
func (l *Loop) End() {
	l.endOnce.Do(func() {
		close(l.ended)
		l.Post(func() {}) // wakes the loop
	})
}

// Now returns the time in milliseconds.
func (l *Loop) Now() float64 { return l.clock.Now() }

// At runs f on the loop at the given time in milliseconds.
func (l *Loop) At(ms float64, f func()) *timers.Timer { return l.timers.Add(ms, f) }

// StopTimer cancels a timer. It does nothing for nil and for a timer that has fired.
func (l *Loop) StopTimer(t *timers.Timer) { l.timers.Stop(t) }

// Post runs f on the loop. It may be called from any goroutine. After the end of the loop it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finished {
		return
	}
	l.posted = append(l.posted, f)
	if !l.wakeSent && l.poller != nil {
		l.wakeSent = true
		l.poller.wake()
	}
}

// hasPosted reports whether functions were posted that have not run.
func (l *Loop) hasPosted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.posted) > 0
}

// Check checks that turns make progress, and the invariants of the timers on every n-th call, n being every.
func (l *Loop) Check(checks *invariant.Checks, every int) {
	checks.That(l.turns.withoutStep == 0, "turns: each takes a step", func() string {
		return fmt.Sprintf("%d turns without a step, %d connections wait", l.turns.withoutStep, l.turns.waiting())
	})
	checks.Walk(&l.checkCalls, every, "timers: all", l.timers.Check)
}
