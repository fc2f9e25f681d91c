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
	id            string
	clientID      string
	key           string // by which servers recognise a repeat, empty for none
	once          bool   // it must not run twice
	client        platform.Client
	query         backend.Query
	deadline      float64
	attempts      []attempt // by number
	inFlight      int
	finished      bool
	recorded      recorded
	classMetrics  *metrics.Class
	class         int
	demand        requestDemand
	stream        *stream        // its answer while that is passed on as it comes, else nil
	delayedAnswer *delayedAnswer // its answer while that waits for its session's commit to be stored, else nil
	wroteSession  string         // the session whose commit must be stored, where it is a write of one
	payment       payment

	ranBefore       bool // an earlier request with its key may have run
	platform        bool // its client uses the platform's protocol, and has a deadline
	clientClosed    bool // its client was found to have gone as an attempt was about to go out
	answerDelivered bool // its client was given its server's answer
}

// attempt is one attempt of a request. One that was skipped has no ref.
type attempt struct {
	server      decide.ServerID
	ref         slotmap.Ref
	startedAt   float64
	writeBefore float64 // it must not be written from then on
	written     bool
	allowed     bool // MaySend allowed it to go out
	didNotRun   bool // it has ended without having run
}

// finish marks a request as over and counts its end.
func (c *Core) finish(req *request, end metrics.Outcome) {
	if req.finished = true; req.payment.creditHold.Amount > 0 {
		c.settleCredit(req, end)
	}
	c.metrics.OpenRequests--
	req.classMetrics.Count(end)
	c.countEnd(req, end)
}

// Submit implements platform.Desk.
func (c *Core) Submit(incoming platform.Request, client platform.Client) (slotmap.Ref, error) {
	class, ok := c.classNumbers[incoming.Class]
	if !ok {
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrUnknownClass)
	}
	earlier, resent := c.requests.Get(c.requestsByID[incoming.ID])
	if resent && earlier.awaitsAnswer() {
		return slotmap.Ref{}, fmt.Errorf("id %q: %w", incoming.ID, ErrDuplicateID)
	}
	tenant, ok := c.tenantNumbers[incoming.Tenant]
	if !ok && (incoming.PlatformProtocol || incoming.Tenant != "") && len(c.tenantNumbers) > 0 {
		return slotmap.Ref{}, fmt.Errorf("tenant %q: %w", incoming.Tenant, ErrUnknownTenant)
	}
	if !ok {
		tenant = -1
	}
	set := &c.config.Settings.Classes[class]
	if set.Idempotency == decide.IdempotentWithKey && incoming.PlatformProtocol && incoming.IdempotencyKey == "" {
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrMissingKey)
	}
	if incoming.Writes && set.Read != decide.Write { // a read may be repeated
		return slotmap.Ref{}, fmt.Errorf("class %q: %w", incoming.Class, ErrWriteInReadClass)
	}
	known, once := cmp.Or(incoming.ClientID, incoming.ID), set.Idempotency != decide.Idempotent
	unrepeatable := once && !(set.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != "") // not sent again, at whatever time, if it may have run
	repeats := unrepeatable && (resent && earlier.mayHaveBeenWritten() || c.mayHaveRun(incoming.ID))        // its client has gone; its attempt is in flight, or was called off
	if repeats || once && c.journal != nil && c.journal.Ran(known) {                                        // whether it has run is unknown
		c.classFigures[class].Count(metrics.Failed)
		client.Failed()
		return slotmap.Ref{}, nil
	}
	c.useLimit(LimitTenantRequests, incoming.Tenant)
	c.Expire()
	key := ""
	if set.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != "" {
		key = strconv.Itoa(incoming.Group) + " " + incoming.IdempotencyKey
	}
	due := incoming.Deadline
	if c.answersBy > 0 {
		incoming.Deadline = min(incoming.Deadline, c.answersBy)
	}
	now := clock.ToDuration(c.loop.Now())
	req := &request{id: incoming.ID, clientID: known, key: key, once: once, client: client, query: incoming.Query, deadline: incoming.Deadline, classMetrics: c.classFigures[class], class: class, platform: incoming.PlatformProtocol}
	if incoming.PlatformProtocol && set.Read == decide.Write && c.storesCommits() {
		req.wroteSession = incoming.Session
	}
	c.metrics.OpenRequests++
	ref := c.requests.Put(req)
	c.requestsByID[incoming.ID] = ref
	c.recordRequest(req, &incoming, class)
	ev := &decide.Request{ID: requestID(ref), Class: class, Group: incoming.Group, Tenant: tenant, Deadline: clock.ToDuration(incoming.Deadline),
		Session: c.sessionOf(&incoming, set), ClientRetry: incoming.IsRetry, OnlyServer: decide.ServerID(incoming.OnlyServer)}
	if incoming.MinPosition > 0 {
		// A commit is rounded up and so may lie ahead of the clock, or far ahead where a clock was set; 0 would stand for none.
		ev.SinceCommit = cmp.Or(now-clock.ToDuration(incoming.MinPosition), 1)
	}
	if at, ok := c.sentKeys.firstSent(key, c.loop.Now()); ok {
		ev.MayHaveRunSince, req.ranBefore = clock.ToDuration(at), true
	}
	if c.credit != nil && !c.holdCredit(ref, req, &incoming, ev) {
		if req.finished {
			ref = slotmap.Ref{}
		}
		return ref, nil
	}
	c.countLoad(req, now, ev)
	c.countDemand(ev)
	if incoming.Deadline == due {
		c.handleEventAt(now, ev)
		return ref, nil
	}
	// The process's end cuts its time short. It is given up then, but not at once because of the estimated work of its class.
	ev.Deadline = clock.ToDuration(due)
	c.handleEventAt(now, ev)
	c.handleEvent(&decide.ShortenDeadline{ID: ev.ID, By: clock.ToDuration(incoming.Deadline)})
	return ref, nil
}

// awaitsAnswer reports whether a request's client has yet to get all of its answer.
func (req *request) awaitsAnswer() bool {
	return !req.finished || req.stream != nil || req.delayedAnswer != nil
}

// mayHaveBeenWritten reports whether an attempt of a request may have run.
func (req *request) mayHaveBeenWritten() bool {
	return slices.ContainsFunc(req.attempts, func(t attempt) bool { return t.allowed || t.written })
}

// mayHaveRun reports whether a request of that id, which must not run twice, has ended and may have run.
func (c *Core) mayHaveRun(id string) bool {
	_, ok := c.sentOnce.firstSent(id, c.loop.Now())
	return ok
}

// rememberIfRun keeps the id of a request that has ended and may have run, where it must not run twice and its client did not get its
// server's answer.
func (c *Core) rememberIfRun(req *request) {
	if req.once && req.key == "" && !req.answerDelivered && req.mayHaveRun() {
		now := c.loop.Now()
		c.sentOnce.recordSend(req.id, now, now)
	}
}

// deliver gives a request's client its server's answer. A client that has closed its connection by then does not get it, and may send
// the request again.
func (c *Core) deliver(req *request, answer []byte) {
	req.answerDelivered = !req.closedBeforeAnswer()
	req.client.Served(answer)
}

// closedBeforeAnswer reports whether the client of a request that must not run twice has closed its connection.
func (req *request) closedBeforeAnswer() bool {
	client, ok := req.client.(platform.Disconnectable)
	return ok && req.once && client.Disconnected()
}

// Abandon implements platform.Desk.
func (c *Core) Abandon(ref slotmap.Ref) {
	req, ok := c.requests.Get(ref)
	if ok && req.stream != nil {
		stop := req.stream.stop
		c.streamEnded(ref, metrics.ClientGone)
		stop()
		return
	}
	if ok && req.delayedAnswer != nil {
		c.giveDelayedAnswer(ref, req, metrics.ClientGone)
		return
	}
	if !ok || req.finished {
		return
	}
	c.finish(req, metrics.ClientGone)
	c.recordAnswer(req, recordpb.Final_FINAL_GONE, 0)
	if c.carryingOut { // a client that hears of one request may give up another, for which the router's actions are yet to be carried out
		c.abandoned = append(c.abandoned, ref)
	} else {
		c.releaseIfDone(ref, req)
	}
	if req.payment.pending != nil { // the router does not know of it
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		return
	}
	c.handleEvent(&decide.Abandoned{ID: requestID(ref)})
}

// mayHaveRun reports whether a request, or an earlier one with its key, may have run or may still run.
func (req *request) mayHaveRun() bool {
	return req.ranBefore || slices.ContainsFunc(req.attempts, func(t attempt) bool { return (t.allowed || t.written) && !t.didNotRun })
}

// finishByID marks a request as over and returns it, or nil if it was over before.
func (c *Core) finishByID(id decide.RequestID, end metrics.Outcome) *request {
	ref := refOf(id)
	req, ok := c.requests.Get(ref)
	if !ok || req.finished {
		return nil
	}
	c.finish(req, end)
	c.releaseIfDone(ref, req)
	return req
}

// releaseIfDone frees the slot of a request that is over and has no attempt or answer left.
func (c *Core) releaseIfDone(ref slotmap.Ref, req *request) {
	if req.finished && req.inFlight == 0 && req.stream == nil && req.delayedAnswer == nil {
		c.rememberIfRun(req)
		c.requests.Remove(ref)
		if c.requestsByID[req.id] == ref { // else its client has sent it again meanwhile
			delete(c.requestsByID, req.id)
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
