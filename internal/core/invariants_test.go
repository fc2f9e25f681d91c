package core

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/backend"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// randomRun is a core whose servers, clients and clock do anything that is allowed: each attempt ends once.
type randomRun struct {
	countingServers
	now          float64
	heap         timers.Heap
	core         *Core
	openAttempts []backend.AttemptID
	healthChecks []string
	streams      []backend.AnswerStream
	refs         []slotmap.Ref
	answers      map[int]int // answers by client
	submitted    int
}

func (d *randomRun) Now() float64                          { return d.now }
func (d *randomRun) At(ms float64, f func()) *timers.Timer { return d.heap.Add(ms, f) }
func (d *randomRun) CheckHealth(id string)                 { d.healthChecks = append(d.healthChecks, id) }
func (d *randomRun) Start(_ string, _ backend.Query, _ float64, _ backend.SendConditions, tag backend.AttemptID) slotmap.Ref {
	if d.core.MaySend(tag) { // it has a connection; dispatch_test.go has attempts that wait
		d.openAttempts = append(d.openAttempts, tag)
	} else {
		d.core.AttemptEnded(tag, backend.Outcome{Result: decide.NotSent})
	}
	return slotmap.Ref{Index: uint32(tag.Number) + 1, Gen: 1}
}

// randomClient counts its answers, and receives streams.
type randomClient struct {
	d  *randomRun
	no int
}

func (a randomClient) Served([]byte)    { a.d.answers[a.no]++ }
func (a randomClient) Rejected(float64) { a.d.answers[a.no]++ }
func (a randomClient) Failed()          { a.d.answers[a.no]++ }
func (a randomClient) ReceiveStream() backend.AnswerStream {
	a.d.answers[a.no]++
	return discardStream{}
}

// discardStream discards an answer.
type discardStream struct{}

func (discardStream) Chunk([]byte)       {}
func (discardStream) HasCapacity() bool  { return true }
func (discardStream) Ended([]byte, bool) {}

func newRandomRun(c *invariant.Checks) *randomRun {
	d := &randomRun{now: 1e6, answers: map[int]int{}}
	var list []discovery.Instance
	for i := range 3 {
		list = append(list, discovery.Instance{ID: fmt.Sprint("s", i), HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1})
	}
	cfg := &config.Config{Classes: []string{"read", "write"},
		Settings: decide.Settings{Peers: 2, Tick: time.Millisecond, MaxAttempts: 4, MayCancel: true, MayDuplicate: true, MayCheckHealth: true,
			Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
				Read: decide.ReadAny}, {LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
				Read: decide.Write, Idempotency: decide.NotIdempotent}}},
		InitialList: discovery.List{Reset: true, Instances: list}}
	d.core = New(d, slog.New(slog.DiscardHandler), cfg)
	d.core.SetChecks(c, 1)
	d.core.Start(d, stub{})
	return d
}

func (d *randomRun) submit(class string, due float64) {
	d.submitted++
	ref, err := d.core.Submit(platform.Request{ID: fmt.Sprint(d.submitted), Class: class, Deadline: d.now + due,
		Query: stub{}}, randomClient{d, d.submitted})
	if err == nil {
		d.refs = append(d.refs, ref)
	}
}

// TestInvariants: whatever clients, servers, lists and the clock do in whatever order, the core has what the router
// has, and nothing remains of what is over.
func TestInvariants(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		d := newRandomRun(invariant.Test(t))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					d.submit(rapid.SampledFrom([]string{"read", "write", "none"}).Draw(t, "class"), rapid.Float64Range(0, 3000).Draw(t, "due"))
				}
			},
			"end": func(t *rapid.T) {
				if n := len(d.openAttempts); n > 0 {
					i := pick(n)
					tag := d.openAttempts[i]
					d.openAttempts = slices.Delete(d.openAttempts, i, i+1)
					outcome := backend.Outcome{Result: decide.Result(rapid.IntRange(0, int(decide.Misdirected)).Draw(t, "result"))}
					if rapid.Bool().Draw(t, "has report") {
						outcome.Report = backend.Report{Role: decide.Role(rapid.IntRange(0, 2).Draw(t, "role")), Position: d.now, HasPos: true}
					}
					d.core.AttemptEnded(tag, outcome)
				}
			},
			"stream": func(t *rapid.T) {
				if n := len(d.openAttempts); n > 0 {
					i := pick(n)
					tag := d.openAttempts[i]
					d.openAttempts = slices.Delete(d.openAttempts, i, i+1)
					if f := d.core.AnswerStreams(tag, func() {}); f != nil {
						d.streams = append(d.streams, f)
					}
				}
			},
			"stream ends": func(t *rapid.T) {
				if len(d.streams) > 0 {
					d.streams[0].Ended(nil, rapid.Bool().Draw(t, "whole"))
					d.streams = d.streams[1:]
				}
			},
			"health check ends": func(t *rapid.T) {
				if len(d.healthChecks) > 0 {
					d.core.HealthCheckEnded(d.healthChecks[0],
						backend.Outcome{Result: decide.Result(rapid.IntRange(0, int(decide.Reset)).Draw(t, "result")),
							Report: backend.Report{Role: decide.Role(rapid.IntRange(0, 2).Draw(t, "role")), Position: d.now, HasPos: true}})
					d.healthChecks = d.healthChecks[1:]
				}
			},
			"abandon": func(*rapid.T) {
				if n := len(d.refs); n > 0 {
					d.core.Abandon(d.refs[pick(n)])
				}
			},
			"pass": func(t *rapid.T) {
				d.now += rapid.Float64Range(1, 400).Draw(t, "ms")
				d.heap.Run(d.now)
			},
			"list": func(t *rapid.T) {
				d.core.Listed(&discovery.List{Reset: rapid.Bool().Draw(t, "whole"),
					Instances: []discovery.Instance{{ID: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server")), HostPort: "1.2.3.4:5",
						Lifecycle: rapid.SampledFrom([]string{"up", "draining", "removed", "unknown"}).Draw(t, "state"), Weight: 1}}})
			},
			"": func(t *rapid.T) {
				for no, n := range d.answers {
					if n > 1 {
						t.Errorf("%d had %d answers", no, n)
					}
				}
			},
		})
	})
}

// TestInvariantsFailWhenBroken: each statement is seen to fail for one change of state.
func TestInvariantsFailWhenBroken(t *testing.T) {
	for _, m := range []struct {
		name string
		poke func(c *Core, req *request)
	}{
		{"core: of what is over nothing is stored", func(_ *Core, req *request) { req.finished, req.inFlight = true, 0 }},
		{"core: attempts in flight are of those made", func(_ *Core, req *request) { req.inFlight = 9 }},
		{"core: each request has its id", func(c *Core, req *request) { delete(c.requests.byID, req.id) }},
		{"core: the router has the requests without a final answer", func(_ *Core, req *request) { req.finished = true }},
		{"core: the router has the attempts in flight", func(_ *Core, req *request) { req.inFlight++ }},
		{"core: what waits for credit has not been sent", func(_ *Core, req *request) {
			req.payment.pending,
				req.attempts = &decide.Request{}, []attempt{{}}
		}},
		{"core: an answer that waits is the request's last", func(_ *Core, req *request) { req.delayedAnswer = &delayedAnswer{} }},
		{"core: the metric is of those in progress", func(c *Core, _ *request) { c.metrics.OpenRequests++ }},
	} {
		d, c := newRandomRun(nil), invariant.New(nil)
		d.submit("read", 3000)
		if d.core.walk(c); len(c.Breaches()) > 0 {
			t.Errorf("without: %v", c.Breaches())
		}
		req, _ := d.core.requests.Get(d.refs[0])
		m.poke(d.core, req)
		d.core.walk(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Breaches())
		}
	}
}
