package core

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/invariant"
)

// fakeCredit admits as it is set to, and records settlements.
type fakeCredit struct {
	decision lease.Decision
	tag      uint64
	settled  []string
	onHold   func(tag uint64) // runs before Hold returns, where it is set
}

func (p *fakeCredit) Hold(_, _, _ string, tag uint64) (lease.Reservation, lease.Decision) {
	p.tag = tag
	if p.onHold != nil {
		p.onHold(tag)
	}
	if p.decision == lease.Admitted {
		return lease.Reservation{Amount: 5}, lease.Admitted
	}
	return lease.Reservation{}, p.decision
}

func (p *fakeCredit) Settle(h *lease.Reservation, d lease.Usage) {
	word := "free"
	switch {
	case h.Amount == 0:
		return
	case d.Served > 0:
		word = "served"
	case d.Failed > 0:
		word = "failed"
	}
	h.Amount = 0
	p.settled = append(p.settled, word)
}
func (p *fakeCredit) Cancel(string, uint64) { p.settled = append(p.settled, "cancelled") }

// recordingClient records its answers.
type recordingClient struct {
	stub
	answers []string
}

func (a *recordingClient) RejectedUnfunded(bool, float64) { a.answers = append(a.answers, "unfunded") }
func (a *recordingClient) Served([]byte)                  { a.answers = append(a.answers, "served") }
func (a *recordingClient) Failed()                        { a.answers = append(a.answers, "failed") }

// TestRequestIsPaidForAndSettledOnce: a request is passed to the router once it is paid for, and is settled once,
// however it ends.
func TestRequestIsPaidForAndSettledOnce(t *testing.T) {
	begin := func(say lease.Decision) (*Core, *fakeCredit, *recordingClient, *countingServers, slotmap.Ref) {
		cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
			InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
		c, servers, p, a := New(stub{}, slog.New(slog.DiscardHandler), cfg), &countingServers{}, &fakeCredit{decision: say}, &recordingClient{}
		c.Start(servers, stub{})
		c.SetCredit(p)
		ref, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: 1e6 + 9000, Query: stub{}}, a)
		if err != nil {
			t.Fatal(err)
		}
		return c, p, a, servers, ref
	}
	served := func(c *Core, ref slotmap.Ref) {
		c.AttemptWritten(backend.AttemptID{Request: ref})
		c.AttemptEnded(backend.AttemptID{Request: ref}, backend.Outcome{Result: decide.OK})
	}
	for _, x := range []struct {
		name    string
		say     lease.Decision
		do      func(c *Core, p *fakeCredit, ref slotmap.Ref)
		sends   int
		settled []string
		answers []string
	}{
		{"served", lease.Admitted, func(c *Core, _ *fakeCredit, ref slotmap.Ref) { served(c, ref) }, 1, []string{"served"}, []string{"served"}},
		{"no credit", lease.Exhausted, func(*Core, *fakeCredit, slotmap.Ref) {}, 0, nil, []string{"unfunded"}},
		{"waits, is admitted and served", lease.Queued, func(c *Core, p *fakeCredit, ref slotmap.Ref) {
			c.Funded(p.tag, lease.Reservation{Amount: 5})
			served(c, ref)
		}, 1, []string{"served"}, []string{"served"}},
		{"waits and is rejected", lease.Queued, func(c *Core, p *fakeCredit, _ slotmap.Ref) { c.Unfunded(p.tag) }, 0, nil, []string{"unfunded"}},
		{"its client goes while it waits", lease.Queued, func(c *Core, p *fakeCredit, ref slotmap.Ref) {
			c.Abandon(ref)
			c.Funded(p.tag, lease.Reservation{Amount: 5})
		}, 0, []string{"cancelled", "free"}, nil},
		{"its client goes before anything was sent", lease.Admitted,
			func(c *Core, _ *fakeCredit, ref slotmap.Ref) { c.Abandon(ref) }, 1, []string{"free"}, nil},
		{"its client goes after", lease.Admitted, func(c *Core, _ *fakeCredit, ref slotmap.Ref) {
			c.AttemptWritten(backend.AttemptID{Request: ref})
			c.Abandon(ref)
		}, 1, []string{"failed"}, nil},
	} {
		c, p, a, servers, ref := begin(x.say)
		c.walk(invariant.Test(t)) // also while it waits
		x.do(c, p, ref)
		c.walk(invariant.Test(t))
		if servers.n != x.sends {
			t.Errorf("%s: sent %d times, want %d", x.name, servers.n, x.sends)
		}
		if d := cmp.Diff(x.settled, p.settled); d != "" {
			t.Errorf("%s: settled: %s", x.name, d)
		}
		if d := cmp.Diff(x.answers, a.answers); d != "" {
			t.Errorf("%s: answers: %s", x.name, d)
		}
	}
}

// TestCreditMayDecideBeforeHoldReturns: a request that waits for credit may be admitted or rejected before Hold
// returns; and a client that is rejected may abandon another request of its own at that moment, as a scattered read
// does.
func TestCreditMayDecideBeforeHoldReturns(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	servers, p := &countingServers{}, &fakeCredit{decision: lease.Queued}
	c := New(stub{}, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, stub{})
	c.SetCredit(p)
	ask := func(id string, client platform.Client) slotmap.Ref {
		ref, err := c.Submit(platform.Request{ID: id, Class: "read", Deadline: 1e6 + 9000, Query: stub{}}, client)
		if err != nil {
			t.Fatal(err)
		}
		return ref
	}
	p.onHold = func(tag uint64) { c.Funded(tag, lease.Reservation{Amount: 5}) }
	if ask("1", &recordingClient{}); servers.n != 1 {
		t.Errorf("admitted at once: sent %d times", servers.n)
	}
	p.onHold = func(tag uint64) { c.Unfunded(tag) }
	if a := (&recordingClient{}); ask("2", a) != (slotmap.Ref{}) || len(a.answers) != 1 {
		t.Errorf("rejected at once: answers %v", a.answers)
	}
	p.onHold = nil
	other := ask("3", &recordingClient{})
	tag := p.tag
	p.decision = lease.Admitted
	mine, left := ask("4", &recordingClient{}), false
	req, _ := c.requests.Get(other)
	req.client = abandoningClient{func() {
		c.Abandon(mine)
		c.walk(invariant.Test(t))
		left = true
	}}
	if c.Unfunded(tag); !left {
		t.Error("its client got no answer")
	}
}

// abandoningClient abandons something as it is rejected.
type abandoningClient struct{ leave func() }

func (l abandoningClient) RejectedUnfunded(bool, float64) { l.leave() }
func (l abandoningClient) Served([]byte)                  {}
func (l abandoningClient) Rejected(float64)               {}
func (l abandoningClient) Failed()                        {}

// lastTimerLoop records the timer that was set last.
type lastTimerLoop struct {
	stub
	at float64
	do func()
}

func (h *lastTimerLoop) At(ms float64, do func()) *timers.Timer {
	h.at, h.do = ms, do
	return nil
}

// TestRequestWithoutCreditIsRejectedInTime: a request that waits for credit is rejected before its client's deadline,
// and one whose deadline is past already at once.
func TestRequestWithoutCreditIsRejectedInTime(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}}}
	loop, p, a := &lastTimerLoop{}, &fakeCredit{decision: lease.Queued}, &recordingClient{}
	c := New(loop, slog.New(slog.DiscardHandler), cfg)
	c.Start(&countingServers{}, stub{})
	c.SetCredit(p)
	for i, x := range []struct{ due, at float64 }{{1e6 + 80, 1e6 + 80 - creditDeadlineMarginMs}, {1e6 - 300, 1e6}} {
		if _, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: x.due, Query: stub{}}, a); err != nil {
			t.Fatal(err)
		}
		if loop.at != x.at || loop.do == nil {
			t.Errorf("due %.0f: it ends at %.0f, want %.0f", x.due, loop.at, x.at)
			continue
		}
		if loop.do(); len(a.answers) != i+1 || len(p.settled) != i+1 || c.OpenRequests() != 0 {
			t.Errorf("answers %v, settled %v, %d open", a.answers, p.settled, c.OpenRequests())
		}
	}
}

// TestRequestAbandonedDuringActionsIsNotSent: a request that is abandoned while the router's actions are carried out,
// one of which is to send it, is reported to the router as not sent: otherwise the router would count an attempt as in
// flight for ever.
func TestRequestAbandonedDuringActionsIsNotSent(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}}}
	c := New(stub{}, slog.New(slog.DiscardHandler), cfg)
	c.Start(&countingServers{}, stub{})
	ref := c.requests.Put(&request{id: "1", client: stub{}, deadline: 1e6 + 9000, classMetrics: c.classMetrics[0]})
	c.metrics.OpenRequests++
	c.carryingOut = true
	c.Abandon(ref)
	c.carryOut(&decide.Action{Kind: decide.Send, ID: requestID(ref), Server: "s"})
	skipped := false
	for _, e := range c.events {
		o, ok := e.event.(*decide.Outcome)
		skipped = skipped || ok && o.Result == decide.NotSent && o.Final && o.ID == requestID(ref)
	}
	if !skipped {
		t.Error("the router is not informed that it was not sent")
	}
	c.events, c.carryingOut = nil, false
	if c.handleEvent(&decide.Timer{}); c.OpenRequests() != 0 {
		t.Errorf("%d requests remain", c.OpenRequests())
	}
}
