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

// payer lets in as it is told to, and notes what it is told.
type payer struct {
	say  lease.Decision
	tag  uint64
	told []string
	at   func(tag uint64) // is done before Hold returns, where it is set
}

func (p *payer) Hold(_, _, _ string, tag uint64) (lease.Reservation, lease.Decision) {
	p.tag = tag
	if p.at != nil {
		p.at(tag)
	}
	if p.say == lease.Admitted {
		return lease.Reservation{Amount: 5}, lease.Admitted
	}
	return lease.Reservation{}, p.say
}

func (p *payer) Settle(h *lease.Reservation, d lease.Usage) {
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
	p.told = append(p.told, word)
}
func (p *payer) Cancel(string, uint64) { p.told = append(p.told, "cancelled") }

// asker is a client that hears why.
type asker struct {
	still
	heard []string
}

func (a *asker) RejectedUnfunded(bool, float64) { a.heard = append(a.heard, "broke") }
func (a *asker) Served([]byte)                  { a.heard = append(a.heard, "served") }
func (a *asker) Failed()                        { a.heard = append(a.heard, "failed") }

// TestRequestIsPaidForAndSettledOnce has a request be told to the module once it is paid for, and be settled once, whatever becomes of it.
func TestRequestIsPaidForAndSettledOnce(t *testing.T) {
	begin := func(say lease.Decision) (*Core, *payer, *asker, *counting, slotmap.Ref) {
		cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
			InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
		c, servers, p, a := New(still{}, slog.New(slog.DiscardHandler), cfg), &counting{}, &payer{say: say}, &asker{}
		c.Start(servers, still{})
		c.SetCredit(p)
		ref, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: 1e6 + 9000, Query: still{}}, a)
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
		name  string
		say   lease.Decision
		do    func(c *Core, p *payer, ref slotmap.Ref)
		sends int
		told  []string
		heard []string
	}{
		{"served", lease.Admitted, func(c *Core, _ *payer, ref slotmap.Ref) { served(c, ref) }, 1, []string{"served"}, []string{"served"}},
		{"no funds", lease.Exhausted, func(*Core, *payer, slotmap.Ref) {}, 0, nil, []string{"broke"}},
		{"waits, is let in and served", lease.Queued, func(c *Core, p *payer, ref slotmap.Ref) {
			c.Funded(p.tag, lease.Reservation{Amount: 5})
			served(c, ref)
		}, 1, []string{"served"}, []string{"served"}},
		{"waits and is turned away", lease.Queued, func(c *Core, p *payer, _ slotmap.Ref) { c.Unfunded(p.tag) }, 0, nil, []string{"broke"}},
		{"its client goes while it waits", lease.Queued, func(c *Core, p *payer, ref slotmap.Ref) {
			c.Abandon(ref)
			c.Funded(p.tag, lease.Reservation{Amount: 5})
		}, 0, []string{"cancelled", "free"}, nil},
		{"its client goes before anything was sent", lease.Admitted, func(c *Core, _ *payer, ref slotmap.Ref) { c.Abandon(ref) }, 1, []string{"free"}, nil},
		{"its client goes after", lease.Admitted, func(c *Core, _ *payer, ref slotmap.Ref) {
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
		if d := cmp.Diff(x.told, p.told); d != "" {
			t.Errorf("%s: settled: %s", x.name, d)
		}
		if d := cmp.Diff(x.heard, a.heard); d != "" {
			t.Errorf("%s: heard: %s", x.name, d)
		}
	}
}

// TestCreditMayDecideBeforeHoldReturns: what waits may be let in, or turned away, before Hold returns; and a client that is turned away may give up another
// request of its own at that moment, as a scattered read does.
func TestCreditMayDecideBeforeHoldReturns(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	servers, p := &counting{}, &payer{say: lease.Queued}
	c := New(still{}, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, still{})
	c.SetCredit(p)
	ask := func(id string, client platform.Client) slotmap.Ref {
		ref, err := c.Submit(platform.Request{ID: id, Class: "read", Deadline: 1e6 + 9000, Query: still{}}, client)
		if err != nil {
			t.Fatal(err)
		}
		return ref
	}
	p.at = func(tag uint64) { c.Funded(tag, lease.Reservation{Amount: 5}) }
	if ask("1", &asker{}); servers.n != 1 {
		t.Errorf("let in at once: sent %d times", servers.n)
	}
	p.at = func(tag uint64) { c.Unfunded(tag) }
	if a := (&asker{}); ask("2", a) != (slotmap.Ref{}) || len(a.heard) != 1 {
		t.Errorf("turned away at once: heard %v", a.heard)
	}
	p.at = nil
	other := ask("3", &asker{})
	tag := p.tag
	p.say = lease.Admitted
	mine, left := ask("4", &asker{}), false
	req, _ := c.requests.Get(other)
	req.client = leaver{func() {
		c.Abandon(mine)
		c.walk(invariant.Test(t))
		left = true
	}}
	if c.Unfunded(tag); !left {
		t.Error("its client did not hear of it")
	}
}

// leaver is a client that gives something up as it is turned away.
type leaver struct{ leave func() }

func (l leaver) RejectedUnfunded(bool, float64) { l.leave() }
func (l leaver) Served([]byte)                  {}
func (l leaver) Rejected(float64)               {}
func (l leaver) Failed()                        {}

// hung is a loop that keeps what is hung up, and from when on.
type hung struct {
	still
	at float64
	do func()
}

func (h *hung) At(ms float64, do func()) *timers.Timer {
	h.at, h.do = ms, do
	return nil
}

// TestUnfundedRequestIsRefusedInItsTime: what waits for funds is refused by its client's own time, and one whose time is past already at once.
func TestUnfundedRequestIsRefusedInItsTime(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}}}
	loop, p, a := &hung{}, &payer{say: lease.Queued}, &asker{}
	c := New(loop, slog.New(slog.DiscardHandler), cfg)
	c.Start(&counting{}, still{})
	c.SetCredit(p)
	for i, x := range []struct{ due, at float64 }{{1e6 + 80, 1e6 + 80 - creditDeadlineMarginMs}, {1e6 - 300, 1e6}} {
		if _, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: x.due, Query: still{}}, a); err != nil {
			t.Fatal(err)
		}
		if loop.at != x.at || loop.do == nil {
			t.Errorf("due %.0f: it ends at %.0f, want %.0f", x.due, loop.at, x.at)
			continue
		}
		if loop.do(); len(a.heard) != i+1 || len(p.told) != i+1 || c.OpenRequests() != 0 {
			t.Errorf("heard %v, the purse %v, %d open", a.heard, p.told, c.OpenRequests())
		}
	}
}

// TestRequestGivenUpAmongActionsIsSkipped: a request that is given up while the router's actions are carried out, and that one of them is to send, is told to the
// router as skipped: else it would count an attempt as out for ever.
func TestRequestGivenUpAmongActionsIsSkipped(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}}}
	c := New(still{}, slog.New(slog.DiscardHandler), cfg)
	c.Start(&counting{}, still{})
	ref := c.requests.Put(&request{id: "1", client: still{}, deadline: 1e6 + 9000, classMetrics: c.classMetrics[0]})
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
		t.Error("the router does not hear that it was not sent")
	}
	c.events, c.carryingOut = nil, false
	if c.handleEvent(&decide.Timer{}); c.OpenRequests() != 0 {
		t.Errorf("%d requests are kept", c.OpenRequests())
	}
}
