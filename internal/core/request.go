package core

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// Known returns the id that a request's client uses for it.
func (c *Core) Known(ref slotmap.Ref) string {
	if req, ok := c.requests.Get(ref); ok {
		return req.clientID
	}
	return ""
}

// request is a client's request. It stays until it is over and its attempts have ended.
type request struct {
	id           string
	clientID     string
	key          string // by which servers recognise a repeat, empty for none
	once         bool   // it must not run twice
	client       platform.Client
	query        backend.Query
	deadline     float64
	attempts     []attempt // by number
	inFlight     int
	over         bool
	recorded     recorded
	figures      *metrics.Class
	class        int
	load         load
	stream       *stream     // its answer while that is passed on as it comes, else nil
	held         *heldAnswer // its answer while that waits for its session's commit to be stored, else nil
	wroteSession string      // the session whose commit must be stored, where it is a write of one
	payment      payment

	ranBefore bool // an earlier request with its key may have run
	platform  bool // its client uses the platform's protocol, and has a deadline
	departed  bool // its client was found to have gone as an attempt was about to go out
	answered  bool // its client was given its server's answer
}

// attempt is one attempt of a request. One that was skipped has no ref.
type attempt struct {
	server   decide.ServerID
	ref      slotmap.Ref
	begun    float64
	until    float64 // it must not be written from then on
	written  bool
	released bool // AttemptGoes allowed it to go out
	notRun   bool // it has ended without having run
}

// finish marks a request as over and counts its end.
func (c *Core) finish(req *request, end metrics.End) {
	if req.over = true; req.payment.hold.Amount > 0 {
		c.settle(req, end)
	}
	c.figures.Open--
	req.figures.Count(end)
	c.countEnd(req, end)
}

// Ask implements platform.Desk.
func (c *Core) Ask(incoming platform.Request, client platform.Client) (slotmap.Ref, error) {
	class, ok := c.classes[incoming.Class]
	if !ok {
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrClass)
	}
	earlier, resent := c.requests.Get(c.ids[incoming.ID])
	if resent && earlier.owed() {
		return slotmap.Ref{}, fmt.Errorf("id %q: %w", incoming.ID, ErrOpen)
	}
	tenant, ok := c.tenants[incoming.Tenant]
	if !ok && (incoming.PlatformForm || incoming.Tenant != "") && len(c.tenants) > 0 {
		return slotmap.Ref{}, fmt.Errorf("tenant %q: %w", incoming.Tenant, ErrTenant)
	}
	if !ok {
		tenant = -1
	}
	set := &c.cfg.Settings.Classes[class]
	if set.Effect == decide.Keyed && incoming.PlatformForm && incoming.IdempotencyKey == "" {
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrKey)
	}
	if incoming.Writes && set.Read != decide.Write { // a read may be repeated
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrWrite)
	}
	known, once := cmp.Or(incoming.ClientID, incoming.ID), set.Effect != decide.Safe
	unrepeatable := once && !(set.Effect == decide.Keyed && incoming.IdempotencyKey != "") // not sent again, at whatever time, if it may have run
	repeats := unrepeatable && (resent && earlier.wentOut() || c.hasRun(incoming.ID))      // its client has gone; its attempt is in flight, or was called off
	if repeats || once && c.journal != nil && c.journal.Ran(known) {                       // whether it has run is unknown
		c.classFigures[class].Count(metrics.BadGateway)
		client.Failed()
		return slotmap.Ref{}, nil
	}
	c.countLimit(OfTenant, incoming.Tenant)
	c.Expire()
	key := ""
	if set.Effect == decide.Keyed && incoming.IdempotencyKey != "" {
		key = strconv.Itoa(incoming.Group) + " " + incoming.IdempotencyKey
	}
	due := incoming.Deadline
	if c.endsAt > 0 {
		incoming.Deadline = min(incoming.Deadline, c.endsAt)
	}
	now := clock.Span(c.loop.Now())
	req := &request{id: incoming.ID, clientID: known, key: key, once: once, client: client, query: incoming.Query, deadline: incoming.Deadline, figures: c.classFigures[class], class: class, platform: incoming.PlatformForm}
	if incoming.PlatformForm && set.Read == decide.Write && c.keepsTokens() {
		req.wroteSession = incoming.Session
	}
	c.figures.Open++
	ref := c.requests.Put(req)
	c.ids[incoming.ID] = ref
	c.recordRequest(req, &incoming, class)
	ev := &decide.Request{ID: requestID(ref), Class: class, Group: incoming.Group, Tenant: tenant, Deadline: clock.Span(incoming.Deadline),
		Session: c.sessionOf(&incoming, set), Repeat: incoming.Repeat, Only: decide.ServerID(incoming.OnlyServer)}
	if incoming.MinPosition > 0 {
		// A commit is rounded up and so may lie ahead of the clock, or far ahead where a clock was set; 0 would stand for none.
		ev.SinceOwn = cmp.Or(now-clock.Span(incoming.MinPosition), 1)
	}
	if at, ok := c.keys.ran(key, c.loop.Now()); ok {
		ev.RanAt, req.ranBefore = clock.Span(at), true
	}
	if c.credit != nil && !c.funded(ref, req, &incoming, ev) {
		if req.over {
			ref = slotmap.Ref{}
		}
		return ref, nil
	}
	c.countLoad(req, now, ev)
	c.countDemand(ev)
	if incoming.Deadline == due {
		c.handleAt(now, ev)
		return ref, nil
	}
	// The process's end cuts its time short. It is given up then, but not at once because of the estimated work of its class.
	ev.Deadline = clock.Span(due)
	c.handleAt(now, ev)
	c.handle(&decide.Hasten{ID: ev.ID, By: clock.Span(incoming.Deadline)})
	return ref, nil
}

// owed reports whether a request's client has yet to get all of its answer.
func (req *request) owed() bool { return !req.over || req.stream != nil || req.held != nil }

// wentOut reports whether an attempt of a request may have run.
func (req *request) wentOut() bool {
	return slices.ContainsFunc(req.attempts, func(t attempt) bool { return t.released || t.written })
}

// hasRun reports whether a request of that id, which must not run twice, has ended and may have run.
func (c *Core) hasRun(id string) bool {
	_, ok := c.ran.ran(id, c.loop.Now())
	return ok
}

// remember keeps the id of a request that has ended and may have run, where it must not run twice and its client did not get its
// server's answer.
func (c *Core) remember(req *request) {
	if req.once && req.key == "" && !req.answered && req.mayHaveRun() {
		now := c.loop.Now()
		c.ran.sent(req.id, now, now)
	}
}

// serve gives a request's client its server's answer. A client that has closed its connection by then does not get it, and may send
// the request again.
func (c *Core) serve(req *request, answer []byte) {
	req.answered = !req.leftUnread()
	req.client.Served(answer)
}

// leftUnread reports whether the client of a request that must not run twice has closed its connection.
func (req *request) leftUnread() bool {
	client, ok := req.client.(platform.Departing)
	return ok && req.once && client.Departed()
}

// Gone implements platform.Desk.
func (c *Core) Gone(ref slotmap.Ref) {
	req, ok := c.requests.Get(ref)
	if ok && req.stream != nil {
		stop := req.stream.stop
		c.streamEnded(ref, metrics.Gone)
		stop()
		return
	}
	if ok && req.held != nil {
		c.releaseAnswer(ref, req, metrics.Gone)
		return
	}
	if !ok || req.over {
		return
	}
	c.finish(req, metrics.Gone)
	c.recordAnswer(req, recordpb.Final_FINAL_GONE, 0)
	if c.running { // a client that hears of one request may give up another, for which the router's actions are yet to be carried out
		c.abandoned = append(c.abandoned, ref)
	} else {
		c.release(ref, req)
	}
	if req.payment.pending != nil { // the router does not know of it
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		return
	}
	c.handle(&decide.Expired{ID: requestID(ref)})
}

// mayHaveRun reports whether a request, or an earlier one with its key, may have run or may still run.
func (req *request) mayHaveRun() bool {
	return req.ranBefore || slices.ContainsFunc(req.attempts, func(t attempt) bool { return (t.released || t.written) && !t.notRun })
}

// conclude marks a request as over and returns it, or nil if it was over before.
func (c *Core) conclude(id decide.RequestID, end metrics.End) *request {
	ref := refOf(id)
	req, ok := c.requests.Get(ref)
	if !ok || req.over {
		return nil
	}
	c.finish(req, end)
	c.release(ref, req)
	return req
}

// release frees the slot of a request that is over and has no attempt or answer left.
func (c *Core) release(ref slotmap.Ref, req *request) {
	if req.over && req.inFlight == 0 && req.stream == nil && req.held == nil {
		c.remember(req)
		c.requests.Drop(ref)
		if c.ids[req.id] == ref { // else its client has sent it again meanwhile
			delete(c.ids, req.id)
		}
	}
}

// requestID names a request to the router by its slot, as the ids of different clients may be equal.
func requestID(r slotmap.Ref) decide.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], r.Index)
	binary.BigEndian.PutUint32(b[4:], r.Gen)
	return decide.RequestID(b[:])
}

func refOf(id decide.RequestID) slotmap.Ref {
	if len(id) != 8 {
		return slotmap.Ref{}
	}
	b := []byte(id)
	return slotmap.Ref{Index: binary.BigEndian.Uint32(b[:4]), Gen: binary.BigEndian.Uint32(b[4:])}
}
