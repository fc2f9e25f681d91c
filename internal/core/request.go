package core

import (
	"cmp"
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

// request is a client's request. It has a slot until it is over and its attempts have ended.
type request struct {
	id           string
	clientID     string // by which its client knows it
	key          string // by which servers recognise a repeat, empty for none
	once         bool   // it must not run twice
	class        int
	classMetrics *metrics.Class
	client       platform.Client
	query        backend.Query
	deadline     float64
	attempts     []attempt // by number
	inFlight     int
	finished     bool

	stream        *stream        // its answer while that is streamed to its client, else nil
	delayedAnswer *delayedAnswer // its answer while that waits for its session's commit to be stored, else nil
	wroteSession  string         // the session whose commit must be stored, where it is a write of one
	payment       payment
	demand        requestDemand
	recorded      recorded

	ranBefore       bool // an earlier request with its key may have run
	platform        bool // its client uses the platform's protocol, and has a deadline
	clientClosed    bool // its client was found to have closed its connection as an attempt was about to be written
	answerDelivered bool // its client was given its server's answer
}

// attempt is one attempt of a request. One that was not sent has no ref.
type attempt struct {
	server      decide.ServerID
	ref         slotmap.Ref
	startedAt   float64
	writeBefore float64 // it must not be written from then on
	allowed     bool    // MaySend allowed it to be written
	written     bool
	didNotRun   bool // it has ended without having run
}

// mayRun reports whether an attempt may have run, or may still run.
func (a *attempt) mayRun() bool { return a.mayHaveBeenWritten() && !a.didNotRun }

// mayHaveBeenWritten reports whether any byte of an attempt may have been written.
func (a *attempt) mayHaveBeenWritten() bool { return a.allowed || a.written }

// awaitsAnswer reports whether a request's client has yet to get all of its answer.
func (req *request) awaitsAnswer() bool {
	return !req.finished || req.stream != nil || req.delayedAnswer != nil
}

// done reports whether a request is over and has no attempt or answer left.
func (req *request) done() bool { return !req.awaitsAnswer() && req.inFlight == 0 }

// mayHaveBeenWritten reports whether an attempt of a request may have been written.
func (req *request) mayHaveBeenWritten() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.mayHaveBeenWritten() })
}

// mayHaveRun reports whether a request, or an earlier one with its key, may have run or may still run.
func (req *request) mayHaveRun() bool {
	return req.ranBefore || slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.mayRun() })
}

// closedBeforeAnswer reports whether the client of a request that must not run twice has closed its connection.
func (req *request) closedBeforeAnswer() bool {
	client, ok := req.client.(platform.Disconnectable)
	return ok && req.once && client.Disconnected()
}

// admission is what the configuration has on a request that was received.
type admission struct {
	class, tenant int // numbers; no tenant is negative
	contract      *decide.Class
}

// Submit implements platform.Dispatcher.
func (c *Core) Submit(incoming platform.Request, client platform.Client) (slotmap.Ref, error) {
	admitted, err := c.validate(&incoming)
	if err != nil {
		return slotmap.Ref{}, err
	}
	if c.mayRunAgain(&incoming, admitted.contract) {
		c.classMetrics[admitted.class].Count(metrics.Failed)
		client.Failed()
		return slotmap.Ref{}, nil
	}
	c.limits.use(LimitTenantRequests, incoming.Tenant)
	c.ExpireLeases()
	clientDeadline := incoming.Deadline
	if c.answersBy > 0 {
		incoming.Deadline = min(incoming.Deadline, c.answersBy)
	}
	now := clock.ToDuration(c.loop.Now())
	req := c.newRequest(&incoming, client, admitted)
	c.metrics.OpenRequests++
	ref := c.requests.add(req)
	c.recorder.request(req, &incoming)
	event := c.requestEvent(ref, req, &incoming, admitted, now)
	if c.credit != nil && !c.holdCredit(ref, req, &incoming, event) {
		if req.finished {
			ref = slotmap.Ref{}
		}
		return ref, nil
	}
	c.countDemand(req, now, event)
	if incoming.Deadline == clientDeadline {
		c.handleEventAt(now, event)
		return ref, nil
	}
	// The process's end cuts its time short. It is given up then, but not at once because of the estimated work of its class.
	event.Deadline = clock.ToDuration(clientDeadline)
	c.handleEventAt(now, event)
	c.handleEvent(&decide.ShortenDeadline{ID: event.ID, By: clock.ToDuration(incoming.Deadline)})
	return ref, nil
}

// validate checks a request against the configuration and the open requests.
func (c *Core) validate(incoming *platform.Request) (admission, error) {
	class, ok := c.classNumbers[incoming.Class]
	if !ok {
		return admission{}, fmt.Errorf("class %q: %w", incoming.Class, ErrUnknownClass)
	}
	if earlier, ok := c.requests.latest(incoming.ID); ok && earlier.awaitsAnswer() {
		return admission{}, fmt.Errorf("id %q: %w", incoming.ID, ErrDuplicateID)
	}
	tenant, ok := c.tenantNumbers[incoming.Tenant]
	tenantNeeded := incoming.PlatformProtocol || incoming.Tenant != ""
	if !ok && tenantNeeded && len(c.tenantNumbers) > 0 {
		return admission{}, fmt.Errorf("tenant %q: %w", incoming.Tenant, ErrUnknownTenant)
	}
	if !ok {
		tenant = noTenant
	}
	contract := &c.config.Settings.Classes[class]
	if contract.Idempotency == decide.IdempotentWithKey && incoming.PlatformProtocol && incoming.IdempotencyKey == "" {
		return admission{}, fmt.Errorf("class %q: %w", incoming.Class, ErrMissingKey)
	}
	if incoming.Writes && contract.Read != decide.Write { // a read may be repeated
		return admission{}, fmt.Errorf("class %q: %w", incoming.Class, ErrWriteInReadClass)
	}
	return admission{class: class, tenant: tenant, contract: contract}, nil
}

// noTenant is the number of a tenant that the settings do not have.
const noTenant = -1

// mayRunAgain reports whether a request must not run twice and may have run before: in an earlier process, or by an earlier
// request of its id whose client has closed its connection.
func (c *Core) mayRunAgain(incoming *platform.Request, contract *decide.Class) bool {
	if contract.Idempotency == decide.Idempotent {
		return false
	}
	hasKey := contract.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != ""
	if !hasKey {
		earlier, ok := c.requests.latest(incoming.ID)
		if ok && earlier.mayHaveBeenWritten() || c.requests.mayHaveRun(incoming.ID, c.loop.Now()) {
			return true
		}
	}
	return c.journal != nil && c.journal.MayHaveRun(clientID(incoming))
}

// clientID returns the id that a request's client uses for it.
func clientID(incoming *platform.Request) string { return cmp.Or(incoming.ClientID, incoming.ID) }

// newRequest makes the record of a request.
func (c *Core) newRequest(incoming *platform.Request, client platform.Client, admitted admission) *request {
	contract := admitted.contract
	req := &request{
		id:           incoming.ID,
		clientID:     clientID(incoming),
		once:         contract.Idempotency != decide.Idempotent,
		class:        admitted.class,
		classMetrics: c.classMetrics[admitted.class],
		client:       client,
		query:        incoming.Query,
		deadline:     incoming.Deadline,
		platform:     incoming.PlatformProtocol,
	}
	if contract.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != "" {
		req.key = strconv.Itoa(incoming.Group) + " " + incoming.IdempotencyKey
	}
	if incoming.PlatformProtocol && contract.Read == decide.Write && c.storesCommits() {
		req.wroteSession = incoming.Session
	}
	return req
}

// requestEvent returns the event by which the router gets a request.
func (c *Core) requestEvent(ref slotmap.Ref, req *request, incoming *platform.Request, admitted admission, now decide.Time) *decide.Request {
	event := &decide.Request{
		ID:          requestID(ref),
		Class:       admitted.class,
		Group:       incoming.Group,
		Tenant:      admitted.tenant,
		Deadline:    clock.ToDuration(incoming.Deadline),
		Session:     c.sessionOf(incoming, admitted.contract),
		ClientRetry: incoming.IsRetry,
		OnlyServer:  decide.ServerID(incoming.OnlyServer),
	}
	if incoming.MinPosition > 0 {
		// A commit is rounded up and so may lie ahead of the clock, or far ahead where a clock was set; 0 would stand for none.
		event.SinceCommit = cmp.Or(now-clock.ToDuration(incoming.MinPosition), 1)
	}
	if at, ok := c.requests.sentKeys.firstSent(req.key, c.loop.Now()); ok {
		event.MayHaveRunSince = clock.ToDuration(at)
		req.ranBefore = true
	}
	return event
}

// ClientID returns the id that a request's client uses for it.
func (c *Core) ClientID(ref slotmap.Ref) string {
	if req, ok := c.requests.Get(ref); ok {
		return req.clientID
	}
	return ""
}

// finish marks a request as over and counts its end.
func (c *Core) finish(req *request, end metrics.Outcome) {
	req.finished = true
	if req.payment.creditHold.Amount > 0 {
		c.settleCredit(req, end)
	}
	c.metrics.OpenRequests--
	req.classMetrics.Count(end)
	c.countEnd(req, end)
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
	if req.done() {
		c.requests.release(ref, req, c.loop.Now())
	}
}

// deliver gives a request's client its server's answer. A client that has closed its connection by then does not get it, and
// may send the request again.
func (c *Core) deliver(req *request, answer []byte) {
	req.answerDelivered = !req.closedBeforeAnswer()
	req.client.Served(answer)
}

// Abandon implements platform.Dispatcher.
func (c *Core) Abandon(ref slotmap.Ref) {
	req, ok := c.requests.Get(ref)
	switch {
	case !ok:
	case req.stream != nil:
		stop := req.stream.stop
		c.streamEnded(ref, metrics.ClientGone)
		stop()
	case req.delayedAnswer != nil:
		c.giveDelayedAnswer(ref, req, metrics.ClientGone)
	case !req.finished:
		c.abandon(ref, req)
	}
}

// abandon ends a request whose client has closed its connection.
func (c *Core) abandon(ref slotmap.Ref, req *request) {
	c.finish(req, metrics.ClientGone)
	c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	if c.carryingOut { // a client may abandon another request at an answer, while actions on it are yet to be carried out
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

// AnswerBy implements platform.Dispatcher. It brings forward the deadline of a request of the platform's clients.
func (c *Core) AnswerBy(ref slotmap.Ref, ms float64) {
	req, ok := c.requests.Get(ref)
	if !ok || !req.platform || req.finished || req.deadline <= ms {
		return
	}
	req.deadline = ms
	c.handleEvent(&decide.ShortenDeadline{ID: requestID(ref), By: clock.ToDuration(ms)})
}
