package core

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/backend"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/invariant"
)

// waitingServers are servers without open connections: attempts wait, in their order.
type waitingServers struct {
	countingServers
	core    *Core
	waits   []waitingAttempt
	sent    []string // the servers of what was written
	started int
}

// waitingAttempt is an attempt that waits for a connection to a server.
type waitingAttempt struct {
	server string
	tag    backend.AttemptID
}

func (d *waitingServers) Start(id string, _ backend.Query, _ float64, _ backend.SendConditions, tag backend.AttemptID) slotmap.Ref {
	d.started++
	d.waits = append(d.waits, waitingAttempt{id, tag})
	return slotmap.Ref{}
}

func (d *waitingServers) Recall(id string, which func(backend.AttemptID) bool) {
	for i := 0; i < len(d.waits); {
		if x := d.waits[i]; x.server == id && which(x.tag) {
			d.skip(i)
			i = 0
			continue
		}
		i++
	}
}

func (d *waitingServers) skip(i int) {
	x := d.waits[i]
	d.waits = slices.Delete(d.waits, i, i+1)
	d.core.AttemptEnded(x.tag, backend.Outcome{Result: decide.NotSent})
}

// connect opens a connection to a server, which carries the attempt that has waited longest.
func (d *waitingServers) connect(id string) {
	for {
		i := slices.IndexFunc(d.waits, func(x waitingAttempt) bool { return x.server == id })
		if i < 0 {
			return
		}
		x := d.waits[i]
		if !d.core.MaySend(x.tag) {
			d.skip(i)
			continue
		}
		d.waits = slices.Delete(d.waits, i, i+1)
		d.sent = append(d.sent, id)
		d.core.AttemptWritten(x.tag)
		return
	}
}

// newWaitingCore returns a core of which two writes wait for a connection to a, the primary.
func newWaitingCore(t *testing.T) (*Core, *waitingServers, *manualLoop, *recordingObserver) {
	t.Helper()
	entry := func(id string) discovery.Instance {
		return discovery.Instance{ID: id, HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}
	}
	cfg := &config.Config{Classes: []string{"write", "read"},
		Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 4, MayCheckHealth: true, MayCancel: true,
			Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
				Read: decide.Write, Idempotency: decide.NotIdempotent},
				{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{entry("a"), entry("b")}}}
	l, d, w := &manualLoop{now: 1e6}, &waitingServers{}, &recordingObserver{}
	c := New(l, slog.New(slog.DiscardHandler), cfg)
	c.SetChecks(invariant.Test(t), 1)
	d.core = c
	c.Start(d, l)
	c.ServerReported("a", backend.Report{Role: decide.RolePrimary, Position: l.now - 500, HasPos: true}, 0)
	for _, id := range []string{"1", "2"} {
		submit(t, c, l, id, "write")
	}
	if fmt.Sprint(d.waits) != fmt.Sprint([]waitingAttempt{{"a", backend.AttemptID{Request: d.waits[0].tag.Request}},
		{"a", backend.AttemptID{Request: d.waits[1].tag.Request}}}) {
		t.Fatalf("%v wait", d.waits)
	}
	return c, d, l, w
}

func submit(t *testing.T, c *Core, l *manualLoop, id, class string) {
	t.Helper()
	if _, err := c.Submit(platform.Request{ID: id, Class: class, Deadline: l.now + 2000, Query: stub{}}, stub{}); err != nil {
		t.Fatal(err)
	}
}

// delegatingSharer makes health checks, and passes no results to the router: they were for others.
type delegatingSharer struct{}

func (delegatingSharer) Delegates(string) bool                            { return true }
func (delegatingSharer) Ended(string, decide.Result, backend.Report) bool { return true }

// TestWaitingWritesFollowTheNewPrimary: writes wait for a connection to their primary when this pooler learns, from any
// source, that it is a replica now. None is written there when the connection is open; each goes to the new primary,
// with one more attempt.
func TestWaitingWritesFollowTheNewPrimary(t *testing.T) {
	report := func(l *manualLoop, r decide.Role, before float64) backend.Report {
		return backend.Report{Role: r, Position: l.now - before, HasPos: true}
	}
	for by, reportTo := range map[string]func(c *Core, l *manualLoop, w *recordingObserver){
		"another's health check": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.HealthCheckReported("a", decide.OK, report(l, decide.RoleReplica, 10), 30)
		},
		"another's health check of an ejected server": func(c *Core, l *manualLoop, w *recordingObserver) {
			w.ejected = "a"
			c.SetServerObserver(w)
			c.HealthCheckReported("a", decide.OK, report(l, decide.RoleReplica, 10), 30)
		},
		"the observer's health check": func(c *Core, l *manualLoop, w *recordingObserver) {
			c.SetServerObserver(w)
			c.CheckHealthForObserver("a")
			c.HealthCheckEnded("a", backend.Outcome{Report: report(l, decide.RoleReplica, 10)})
		},
		"its own health check for another": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.SetHealthCheckSharer(delegatingSharer{})
			c.HealthCheckEnded("a", backend.Outcome{Report: report(l, decide.RoleReplica, 10)})
		},
		"its own health check": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.ServerReportsReplica("a", report(l, decide.RoleReplica, 10), true)
		},
		"an answer": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.ServerReportsReplica("a", backend.Report{Role: decide.RoleReplica}, false)
		},
		"a peer's report": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.ServerReported("a", report(l, decide.RoleReplica, 10), 20)
		},
		"a peer's report on another, at the send": func(c *Core, l *manualLoop, _ *recordingObserver) {
			c.ServerReported("b", report(l, decide.RolePrimary, 5), 5)
		},
		"another's snapshot, at the send": func(c *Core, l *manualLoop, _ *recordingObserver) {
			known, _ := c.router.SnapshotOf("a")
			known.Role, known.RoleAt = decide.RoleReplica, known.RoleAt+1
			c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
		},
	} {
		t.Run(by, func(t *testing.T) {
			c, d, l, w := newWaitingCore(t)
			reportTo(c, l, w)
			if early := !strings.HasSuffix(by, "at the send"); early != (len(d.waits) == 0) {
				t.Errorf("%v still wait", d.waits)
			}
			for range 3 {
				d.connect("a")
			}
			if len(d.sent) > 0 || d.started > 4 {
				t.Errorf("sent to %v, %d attempts started", d.sent, d.started)
			}
			c.HealthCheckReported("b", decide.OK, report(l, decide.RolePrimary, 1), 0)
			for range 3 {
				d.connect("b")
			}
			if fmt.Sprint(d.sent) != "[b b]" || d.started != 4 {
				t.Errorf("with a new primary: sent to %v, %d attempts started", d.sent, d.started)
			}
		})
	}
}

// TestOldRoleReportRecallsNothing: a report that a server was a replica before it became the primary recalls nothing.
func TestOldRoleReportRecallsNothing(t *testing.T) {
	c, d, l, _ := newWaitingCore(t)
	old := backend.Report{Role: decide.RoleReplica, Position: l.now - 900, HasPos: true}
	c.HealthCheckReported("a", decide.OK, old, 30)
	c.ServerReportsReplica("a", old, true)
	d.connect("a")
	d.connect("a")
	if fmt.Sprint(d.sent) != "[a a]" || d.started != 2 {
		t.Errorf("sent to %v, %d attempts started", d.sent, d.started)
	}
}

// TestDrainingRecallsUnwrittenAttempts: attempts that wait for a connection to a server that begins to drain are
// recalled, reads too: the connection may be open only after the grace.
func TestDrainingRecallsUnwrittenAttempts(t *testing.T) {
	c, d, l, _ := newWaitingCore(t)
	submit(t, c, l, "3", "read")
	for i := range d.waits {
		d.waits[i].server = "a"
	}
	begun := d.started
	c.Listed(&discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "a", HostPort: "1.2.3.4:5", Lifecycle: "draining", Weight: 1}}})
	if d.connect("a"); len(d.sent) > 0 || begun != 3 {
		t.Errorf("sent to %v; %d were started before", d.sent, begun)
	}
}

// TestInvariantCatchesAWriteToAReplica: an attempt that is written after such a report without MaySend breaks the
// statements.
func TestInvariantCatchesAWriteToAReplica(t *testing.T) {
	c, d, l, _ := newWaitingCore(t)
	var broken []string
	c.checks = invariant.New(func(b invariant.Breach) { broken = append(broken, b.Name) })
	kept := slices.Clone(d.waits)
	c.MaySend(kept[0].tag)
	c.AttemptWritten(kept[0].tag)
	if len(broken) > 0 {
		t.Fatalf("%v, while it is the primary", broken)
	}
	c.ServerReported("b", backend.Report{Role: decide.RolePrimary, Position: l.now - 5, HasPos: true}, 5)
	c.AttemptWritten(kept[1].tag)
	if fmt.Sprint(broken) != "[core: what only the primary may serve goes to no other server core: what is written was allowed]" {
		t.Errorf("%v", broken)
	}
}

// TestInvariantCatchesAnAnswerToAnUnsentAttempt: an attempt that MaySend did not allow ends. Where it ends as one that
// its server received, the statement breaks, and so it does where its answer is streamed; where it ends as one that was
// never there, nothing breaks and it does not count as sent.
func TestInvariantCatchesAnAnswerToAnUnsentAttempt(t *testing.T) {
	const unsentBreach = "[core: what is written was allowed]"
	for _, x := range []struct {
		r    decide.Result
		want string
	}{
		{decide.OK, unsentBreach}, {decide.Misdirected, unsentBreach}, {decide.Failed, unsentBreach}, {decide.Reset, unsentBreach},
		{decide.Overloaded, "[]"}, {decide.TimedOut, "[]"}, {decide.Unreachable, "[]"}, {decide.Cancelled, "[]"}, {decide.NotSent, "[]"},
	} {
		for _, goes := range []bool{false, true} {
			c, d, _, _ := newWaitingCore(t)
			var broken []string
			c.checks = invariant.New(func(b invariant.Breach) { broken = append(broken, b.Name) })
			tag, want, tries := d.waits[0].tag, x.want, c.metrics.Attempts
			if goes {
				c.MaySend(tag)
				want = "[]"
			}
			c.AttemptEnded(tag, backend.Outcome{Result: x.r})
			if fmt.Sprint(broken) != want {
				t.Errorf("result %d, allowed %v: %v, not %s", x.r, goes, broken, want)
			}
			if counted := c.metrics.Attempts > tries; counted != (x.want == unsentBreach) {
				t.Errorf("result %d, allowed %v: it counts as a send: %v", x.r, goes, counted)
			}
		}
	}
	c, d, l, _ := newWaitingCore(t)
	var broken []string
	c.checks = invariant.New(func(b invariant.Breach) { broken = append(broken, b.Name) })
	taker := randomClient{&randomRun{answers: map[int]int{}}, 1}
	if _, err := c.Submit(platform.Request{ID: "3", Class: "read", Deadline: l.now + 2000, Query: stub{}}, taker); err != nil {
		t.Fatal(err)
	}
	c.AnswerStreams(d.waits[len(d.waits)-1].tag, func() {})
	if fmt.Sprint(broken) != unsentBreach {
		t.Errorf("an answer is streamed: %v", broken)
	}
}

// closingClient is a client that may close its connection.
type closingClient struct {
	stub
	closed *bool
}

func (l closingClient) Disconnected() bool { return *l.closed }

// TestAttemptIsNotWrittenOnceItMayNotBe: an attempt waits for a connection until its time is up, its server drains, or
// its client has closed, and nobody has recalled it: it is not written then, and its request ends.
func TestAttemptIsNotWrittenOnceItMayNotBe(t *testing.T) {
	for name, scenario := range map[string]struct {
		then func(c *Core, l *manualLoop, closed *bool)
		goes bool
	}{
		"nothing happens":       {func(*Core, *manualLoop, *bool) {}, true},
		"its time is nearly up": {func(_ *Core, l *manualLoop, _ *bool) { l.now += 1999 }, true},
		"its time is up":        {func(_ *Core, l *manualLoop, _ *bool) { l.now += 2000 }, false},
		"the client closes":     {func(_ *Core, _ *manualLoop, closed *bool) { *closed = true }, false},
		"its server begins to drain": {func(c *Core, l *manualLoop, _ *bool) {
			list := &decide.EndpointList{Kind: decide.ListChanges, Endpoints: []decide.Endpoint{{Server: "a", State: decide.Draining, Capacity: 1}}}
			c.handleEvent(list) // the router knows; the connections do not yet
		}, false},
		"its server is removed": {func(c *Core, l *manualLoop, _ *bool) {
			c.handleEvent(&decide.EndpointList{Kind: decide.ListChanges,
				Endpoints: []decide.Endpoint{{Server: "a", State: decide.Removed, Capacity: 1}}})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, d, l, _ := newWaitingCore(t)
			closed := false
			if _, err := c.Submit(platform.Request{ID: "3", Class: "read", Deadline: l.now + 2000, Query: stub{}},
				closingClient{closed: &closed}); err != nil {
				t.Fatal(err)
			}
			tag := d.waits[len(d.waits)-1].tag
			d.waits = d.waits[len(d.waits)-1:]
			server := decide.ServerID(d.waits[0].server)
			if server != "a" {
				c.requests.Each(func(_ slotmap.Ref, req *request) {
					if req.id == "3" {
						req.attempts[0].server = "a" // whichever it chose, the scenario is of this one
					}
				})
			}
			scenario.then(c, l, &closed)
			if goes := c.MaySend(tag); goes != scenario.goes {
				t.Errorf("it is written: %v", goes)
			}
		})
	}
}
