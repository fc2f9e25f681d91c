package backend

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// outcomes implements Events and Query, and passes on the outcomes of attempts and probes.
type outcomes chan Outcome

func (outcomes outcomes) MaySend(AttemptID) bool                       { return true }
func (outcomes outcomes) ServerReportsReplica(string, Report, bool)    {}
func (outcomes outcomes) AttemptWritten(AttemptID)                     {}
func (outcomes outcomes) AnswerStreams(AttemptID, func()) AnswerStream { return nil }
func (outcomes outcomes) AttemptEnded(_ AttemptID, outcome Outcome)    { outcomes <- outcome }
func (outcomes outcomes) HealthCheckEnded(_ string, outcome Outcome)   { outcomes <- outcome }
func (outcomes) AppendQuery(dst []byte, _ int) []byte                  { return pgwire.AppendQuery(dst, "query") }

// discardHandler is the handler of connections that the test does not use.
type nobody struct{}

func (nobody) Opened(*eventloop.Conn) {}
func (nobody) Data([]byte)            {}
func (nobody) Closed(error)           {}

// TestNeverWritten: an attempt for which there is no descriptor, or that is cancelled or whose server leaves the list while it
// waits for a connection, was never sent. It must not count against its server, nor as one that may have run.
func TestNeverWritten(t *testing.T) {
	manual, events := &clock.Manual{Ms: 1e6}, make(outcomes, 9)
	var pool *Pool
	eventLoop := eventloop.New(manual, slog.New(slog.DiscardHandler), func() eventloop.Handler { return nobody{} }, func() {})
	pool = New(eventLoop, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 250, MaxConns: func() int { return 0 }}, events)
	ready := make(chan struct{})
	eventLoop.Ready = func() { close(ready) }
	ended := make(chan error, 1)
	go func() { ended <- eventLoop.Run("127.0.0.1:0") }()
	<-ready
	eventLoop.Post(func() {
		pool.SetAddress("s", "127.0.0.1:1")
		pool.Start("s", events, manual.Ms+9000, SendConditions{AtMostOnce: true}, AttemptID{})
		pool.Cancel(pool.Start("s", events, manual.Ms+9000, SendConditions{AtMostOnce: true}, AttemptID{Number: 1}))
	})
	eventLoop.Post(func() { manual.Ms += 250 })
	eventLoop.Post(func() {
		pool.SetAddress("t", "127.0.0.1:1")
		pool.Start("t", events, manual.Ms+9000, SendConditions{AtMostOnce: true}, AttemptID{Number: 2})
		pool.Retain(map[string]bool{"s": true}) // t has left the list
		pool.Forget("s")
		if len(pool.servers) != 0 {
			t.Errorf("servers that left the list are still there: %v", pool.servers)
		}
	})
	for range 3 {
		select {
		case outcome := <-events:
			if diff := cmp.Diff(Outcome{Result: decide.NotSent}, outcome); diff != "" {
				t.Error(diff)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the end is not reported")
		}
	}
	eventLoop.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReport: a report that can be read only in part, or has a position that no server can have, must be rejected
// completely.
func TestReport(t *testing.T) {
	pool := &Pool{loop: eventloop.New(&clock.Manual{Ms: 5000}, nil, nil, nil)}
	unreadable := Outcome{Result: decide.Failed}
	for report, want := range map[string]Outcome{
		"":                       {Result: decide.OK}, // it has none yet
		"x0=4.25,x1=1":           {Result: decide.OK, Report: Report{decide.RolePrimary, 4250, true}},
		"x1=0, x0=5.0019,load=7": {Result: decide.OK, Report: Report{decide.RoleReplica, 5001, true}},
		"x0=4.25":                unreadable,
		"x1=1":                   unreadable,
		"x0=nan,x1=1":            unreadable,
		"x0=inf,x1=1":            unreadable,
		"x0=1e300,x1=1":          unreadable,
		"x0=6,x1=1":              {Result: decide.OK, Report: Report{decide.RolePrimary, 6000, true}}, // its clock may be ahead
		"x0=86400,x1=0":          {Result: decide.OK, Report: Report{decide.RoleReplica, 86400000, true}},
		"x0=86406,x1=1":          unreadable, // it lies ahead by more than a day
		"x0=-4,x1=1":             unreadable,
		"x0=4,x1=2":              unreadable,
		"x0=4,x1=":               unreadable,
		"\xff\x00":               unreadable,
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, pool.report(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
}

// TestMemoryForAnswers: answers being received share a part of the memory. One that would exceed it must be given up, or large
// values would get the program killed. The clock stands still, so that no answer is given up for its time.
func TestMemoryForAnswers(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(outcomes, 9)
	var pool *Pool
	eventLoop := eventloop.New(&clock.Manual{Ms: 1e6}, slog.New(slog.DiscardHandler), func() eventloop.Handler { return nobody{} }, func() {})
	pool = New(eventLoop, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 20000, IdleMs: 20000,
		MaxConns: func() int { return 9 }, Memory: func() int { return 1 << 18 }}, events)
	ended := make(chan error, 1)
	go func() { ended <- eventLoop.Run("127.0.0.1:0") }()
	eventLoop.Post(func() {
		pool.SetAddress("s", server.Addr().String())
		pool.Start("s", events, eventLoop.Now()+20000, SendConditions{}, AttemptID{})
	})
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range [][]byte{pgwire.AppendWelcome(nil), pgwire.AppendRow(nil, "content", make([]byte, 60<<10))[:50<<10]} {
		if _, err := far.Read(make([]byte, 999)); err != nil { // the startup message, then the query
			t.Fatal(err)
		}
		if _, err := far.Write(message); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case outcome := <-events:
		if outcome.Result != decide.Failed {
			t.Errorf("result %v", outcome.Result)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the end is not reported")
	}
	done := make(chan int)
	eventLoop.Post(func() { done <- pool.held })
	if held := <-done; held != 0 {
		t.Errorf("%d bytes still count as buffered", held)
	}
	eventLoop.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// recallingEvents recalls attempt 1 when a server reports that it is a replica, as the core does with writes.
type deniedBy struct {
	outcomes
	p    **Pool
	dies map[int]bool // attempts that may not go out any more
}

func (d deniedBy) ServerReportsReplica(server string, _ Report, _ bool) {
	(*d.p).Recall(server, func(tag AttemptID) bool { return tag.Number == 1 })
}
func (d deniedBy) MaySend(tag AttemptID) bool { return !d.dies[tag.Number] }

// TestRecalled: a write that waits for a connection to a server must not be sent there once that server reports that it is a
// replica, nor a write that may no longer go when its connection is free. A read must be sent.
func TestRecalled(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	manual, events := &clock.Manual{Ms: 1e6}, make(outcomes, 9)
	var pool *Pool
	eventLoop := eventloop.New(manual, slog.New(slog.DiscardHandler), func() eventloop.Handler { return nobody{} }, func() {})
	pool = New(eventLoop, slog.New(slog.DiscardHandler), Options{Roles: [2]string{"primary", "replica"}, ConnectTimeoutMs: 1e5, IdleMs: 1e5, MaxConns: func() int { return 1 },
		Memory: func() int { return 1 << 18 }}, deniedBy{events, &pool, map[int]bool{3: true}})
	ready := make(chan struct{})
	eventLoop.Ready = func() { close(ready) }
	ended := make(chan error, 1)
	go func() { ended <- eventLoop.Run("127.0.0.1:0") }()
	<-ready
	eventLoop.Post(func() {
		pool.SetAddress("s", server.Addr().String())
		for _, no := range []int{0, 1, 3, 2} {
			pool.Start("s", events, manual.Ms+9000, SendConditions{AtMostOnce: no != 2}, AttemptID{Number: no}) // all but one go without a connection
		}
	})
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	_ = far.SetDeadline(time.Now().Add(20 * time.Second))
	asked := make([]byte, 1<<10)
	read := func() int {
		n, err := far.Read(asked)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	read()
	_, _ = far.Write(pgwire.AppendWelcome(nil))
	read()
	answer := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("v")), "SELECT 1")
	_, _ = far.Write(pgwire.AppendReady(pgwire.AppendParameter(answer, "role", "replica")))
	read() // the read, on the same connection
	var got []decide.Result
	for range 3 {
		select {
		case outcome := <-events:
			got = append(got, outcome.Result)
		case <-time.After(20 * time.Second):
			t.Fatal("the end is not reported")
		}
	}
	if diff := cmp.Diff([]decide.Result{decide.NotSent, decide.NotSent, decide.OK}, got); diff != "" {
		t.Error(diff)
	}
	eventLoop.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestLocalFailure: a connection that cannot be opened because this machine lacks a resource shows nothing about the
// server. The attempt must wait and be sent if the lack is temporary, and end as never sent otherwise. Sockets that failed with ENOBUFS
// once counted against the only server, which was then ejected.
func TestLocalFailure(t *testing.T) {
	for _, lack := range []error{unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.EMFILE, unix.ENFILE, unix.ENOMEM} {
		for _, passes := range []bool{true, false} {
			t.Run(fmt.Sprint(lack, " recovers ", passes), func(t *testing.T) { localFailure(t, lack, passes) })
		}
	}
}

func localFailure(t *testing.T, lack error, passes bool) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	manual, events := &clock.Manual{Ms: 1e6}, make(outcomes, 9)
	var pool *Pool
	eventLoop := eventloop.New(manual, slog.New(slog.DiscardHandler), func() eventloop.Handler { return nobody{} }, func() {})
	real, tries := eventLoop.Connect, atomic.Int32{}
	eventLoop.Connect = func(addr string, timeout time.Duration) (net.Conn, error) {
		if tries.Add(1) > 2 && passes {
			return real(addr, timeout)
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", lack)}
	}
	pool = New(eventLoop, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 200, IdleMs: 1e5, MaxConns: func() int { return 9 },
		Memory: func() int { return 1 << 18 }}, events)
	ended := make(chan error, 1)
	go func() { ended <- eventLoop.Run("127.0.0.1:0") }()
	eventLoop.Post(func() {
		pool.SetAddress("s", server.Addr().String())
		pool.Start("s", events, manual.Ms+9000, SendConditions{}, AttemptID{})
	})
	want := decide.NotSent
	if passes {
		want = decide.OK
		answerOne(t, server)
	}
	select {
	case outcome := <-events:
		if outcome.Result != want {
			t.Errorf("the attempt ended with %d, want %d", outcome.Result, want)
		}
	case <-time.After(20 * time.Second):
		t.Error("the attempt does not end")
	}
	if got := tries.Load(); got < 3 {
		t.Errorf("%d connects are tried", got)
	}
	eventLoop.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// answerOne accepts a connection and answers one query.
func answerOne(t *testing.T, server net.Listener) {
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = far.SetDeadline(time.Now().Add(20 * time.Second))
	for _, message := range [][]byte{pgwire.AppendWelcome(nil), pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("v")), "SELECT 1"))} {
		if _, err := far.Read(make([]byte, 999)); err != nil { // the startup message, then the query
			t.Fatal(err)
		}
		if _, err := far.Write(message); err != nil {
			t.Fatal(err)
		}
	}
}
