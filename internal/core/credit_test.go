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

// fakeCredit decides as the test sets it, and records settlements.
type fakeCredit struct {
	decision lease.Decision
	tag      uint64
	settled  []string
	onHold   func(tag uint64) // called before Hold returns; may be nil
}

func (credit *fakeCredit) Hold(_, _, _ string, tag uint64) (lease.Reservation, lease.Decision) {
	credit.tag = tag
	if credit.onHold != nil {
		credit.onHold(tag)
	}
	if credit.decision == lease.Admitted {
		return lease.Reservation{Amount: 5}, lease.Admitted
	}
	return lease.Reservation{}, credit.decision
}

func (credit *fakeCredit) Settle(hold *lease.Reservation, usage lease.Usage) {
	end := "free"
	switch {
	case hold.Amount == 0:
		return
	case usage.Served > 0:
		end = "served"
	case usage.Failed > 0:
		end = "failed"
	}
	hold.Amount = 0
	credit.settled = append(credit.settled, end)
}
func (credit *fakeCredit) Cancel(string, uint64) {
	credit.settled = append(credit.settled, "cancelled")
}

// recordingClient records the answers that it receives.
type recordingClient struct {
	stub
	answers []string
}

func (client *recordingClient) RejectedUnfunded(bool, float64) {
	client.answers = append(client.answers, "unfunded")
}
func (client *recordingClient) Served([]byte) { client.answers = append(client.answers, "served") }
func (client *recordingClient) Failed()       { client.answers = append(client.answers, "failed") }

// TestRequestIsPaidForAndSettledOnce: a request is passed to the router once its credit is reserved, and is settled exactly once however
// it ends.
func TestRequestIsPaidForAndSettledOnce(t *testing.T) {
	begin := func(decision lease.Decision) (*Core, *fakeCredit, *recordingClient, *countingServers, slotmap.Ref) {
		cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
			Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
			InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
		c, servers, credit, client := New(stub{}, slog.New(slog.DiscardHandler), cfg), &countingServers{}, &fakeCredit{decision: decision}, &recordingClient{}
		c.Start(servers, stub{})
		c.SetCredit(credit)
		ref, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: 1e6 + 9000, Query: stub{}}, client)
		if err != nil {
			t.Fatalf("submit request: %v", err)
		}
		return c, credit, client, servers, ref
	}
	served := func(c *Core, ref slotmap.Ref) {
		c.AttemptWritten(backend.AttemptID{Request: ref})
		c.AttemptEnded(backend.AttemptID{Request: ref}, backend.Outcome{Result: decide.OK})
	}
	for _, test := range []struct {
		name     string
		decision lease.Decision
		do       func(c *Core, credit *fakeCredit, ref slotmap.Ref)
		sends    int
		settled  []string
		answers  []string
	}{
		{"served", lease.Admitted, func(c *Core, _ *fakeCredit, ref slotmap.Ref) { served(c, ref) }, 1, []string{"served"}, []string{"served"}},
		{"no credit", lease.Exhausted, func(*Core, *fakeCredit, slotmap.Ref) {}, 0, nil, []string{"unfunded"}},
		{"waits, is admitted and served", lease.Queued, func(c *Core, credit *fakeCredit, ref slotmap.Ref) {
			c.Funded(credit.tag, lease.Reservation{Amount: 5})
			served(c, ref)
		}, 1, []string{"served"}, []string{"served"}},
		{"waits and is rejected", lease.Queued, func(c *Core, credit *fakeCredit, _ slotmap.Ref) { c.Unfunded(credit.tag) }, 0, nil, []string{"unfunded"}},
		{"the client leaves while the request waits", lease.Queued, func(c *Core, credit *fakeCredit, ref slotmap.Ref) {
			c.Abandon(ref)
			c.Funded(credit.tag, lease.Reservation{Amount: 5})
		}, 0, []string{"cancelled", "free"}, nil},
		{"the client leaves before anything was sent", lease.Admitted,
			func(c *Core, _ *fakeCredit, ref slotmap.Ref) { c.Abandon(ref) }, 1, []string{"free"}, nil},
		{"the client leaves after an attempt was written", lease.Admitted, func(c *Core, _ *fakeCredit, ref slotmap.Ref) {
			c.AttemptWritten(backend.AttemptID{Request: ref})
			c.Abandon(ref)
		}, 1, []string{"failed"}, nil},
	} {
		c, credit, client, servers, ref := begin(test.decision)
		c.walk(invariant.Test(t)) // also while the request waits
		test.do(c, credit, ref)
		c.walk(invariant.Test(t))
		if servers.started != test.sends {
			t.Errorf("%s: sent %d times, want %d", test.name, servers.started, test.sends)
		}
		if diff := cmp.Diff(test.settled, credit.settled); diff != "" {
			t.Errorf("%s: settlements (-want +got):\n%s", test.name, diff)
		}
		if diff := cmp.Diff(test.answers, client.answers); diff != "" {
			t.Errorf("%s: answers to the client (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestCreditMayDecideBeforeHoldReturns: Credit may admit or reject a waiting request before Hold returns, and a client whose request is
// rejected may abandon another of its requests within the call, as a scattered read does.
func TestCreditMayDecideBeforeHoldReturns(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCancel: true,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}}}}
	servers, credit := &countingServers{}, &fakeCredit{decision: lease.Queued}
	c := New(stub{}, slog.New(slog.DiscardHandler), cfg)
	c.Start(servers, stub{})
	c.SetCredit(credit)
	submit := func(id string, client platform.Client) slotmap.Ref {
		ref, err := c.Submit(platform.Request{ID: id, Class: "read", Deadline: 1e6 + 9000, Query: stub{}}, client)
		if err != nil {
			t.Fatalf("submit request %s: %v", id, err)
		}
		return ref
	}
	credit.onHold = func(tag uint64) { c.Funded(tag, lease.Reservation{Amount: 5}) }
	if submit("1", &recordingClient{}); servers.started != 1 {
		t.Errorf("a request that is admitted at once was sent %d times, want once", servers.started)
	}
	credit.onHold = func(tag uint64) { c.Unfunded(tag) }
	if client := (&recordingClient{}); submit("2", client) != (slotmap.Ref{}) || len(client.answers) != 1 {
		t.Errorf("answers to a request that is rejected at once: %v, want one, and a zero ref from Submit", client.answers)
	}
	credit.onHold = nil
	other := submit("3", &recordingClient{})
	tag := credit.tag
	credit.decision = lease.Admitted
	own, abandoned := submit("4", &recordingClient{}), false
	req, _ := c.requests.Get(other)
	req.client = abandoningClient{func() {
		c.Abandon(own)
		c.walk(invariant.Test(t))
		abandoned = true
	}}
	if c.Unfunded(tag); !abandoned {
		t.Error("the client of the rejected request was not called")
	}
}

// abandoningClient abandons another request when its request is rejected.
type abandoningClient struct{ abandon func() }

func (client abandoningClient) RejectedUnfunded(bool, float64) { client.abandon() }
func (client abandoningClient) Served([]byte)                  {}
func (client abandoningClient) Rejected(float64)               {}
func (client abandoningClient) Failed()                        {}

// lastTimerLoop keeps the timer that was set last.
type lastTimerLoop struct {
	stub
	at float64
	do func()
}

func (loop *lastTimerLoop) At(ms float64, do func()) *timers.Timer {
	loop.at, loop.do = ms, do
	return nil
}

// TestRequestWithoutCreditIsRejectedInTime: a request that waits for credit is rejected before its client's deadline, and at once if that
// deadline has passed already.
func TestRequestWithoutCreditIsRejectedInTime(t *testing.T) {
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8,
		Classes: []decide.Class{{LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}}}
	loop, credit, client := &lastTimerLoop{}, &fakeCredit{decision: lease.Queued}, &recordingClient{}
	c := New(loop, slog.New(slog.DiscardHandler), cfg)
	c.Start(&countingServers{}, stub{})
	c.SetCredit(credit)
	for i, test := range []struct{ deadline, at float64 }{{1e6 + 80, 1e6 + 80 - creditDeadlineMarginMs}, {1e6 - 300, 1e6}} {
		if _, err := c.Submit(platform.Request{ID: "1", Class: "read", Deadline: test.deadline, Query: stub{}}, client); err != nil {
			t.Fatalf("submit request with deadline %.0f: %v", test.deadline, err)
		}
		if loop.at != test.at || loop.do == nil {
			t.Errorf("deadline %.0f: timer of the rejection at %.0f, want a timer at %.0f", test.deadline, loop.at, test.at)
			continue
		}
		if loop.do(); len(client.answers) != i+1 || len(credit.settled) != i+1 || c.OpenRequests() != 0 {
			t.Errorf("after the timer: answers %v, settled %v, %d requests open; want %d answers and settlements, none open", client.answers, credit.settled, c.OpenRequests(), i+1)
		}
	}
}

// TestRequestAbandonedDuringActionsIsNotSent: a request is abandoned while the router's actions are carried out, and one of the remaining
// actions is to send it. It is reported to the router as not sent: otherwise the router would count the attempt as in flight for ever.
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
		t.Error("the router got no event that the attempt was not sent")
	}
	c.events, c.carryingOut = nil, false
	if c.handleEvent(&decide.Timer{}); c.OpenRequests() != 0 {
		t.Errorf("%d requests are open after the abandoned one has ended, want none", c.OpenRequests())
	}
}
