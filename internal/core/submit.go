package core

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/metrics"
)

// admission is the class and tenant of a request that passed validation.
type admission struct {
	class, tenant int // numbers; tenant is noTenant without one
	classSettings *decide.Class
}

// Submit implements platform.Dispatcher.
func (c *Core) Submit(incoming platform.Request, client platform.Client) (slotmap.Ref, error) {
	admitted, err := c.validate(&incoming)
	if err != nil {
		return slotmap.Ref{}, err
	}
	if c.mustNotRunAgain(&incoming, admitted.classSettings) {
		c.classMetrics[admitted.class].Count(metrics.Failed)
		client.Failed()
		return slotmap.Ref{}, nil
	}
	c.limits.use(LimitTenantRequests, incoming.Tenant)
	c.ExpireLeases()
	clientDeadline := incoming.Deadline
	if c.answerDeadline > 0 {
		incoming.Deadline = min(incoming.Deadline, c.answerDeadline)
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
	// The process ends before the client's deadline. The router gets the client's deadline first and the earlier one afterwards:
	// with the earlier one alone it might reject the request at once because of its class's estimated work.
	event.Deadline = clock.ToDuration(clientDeadline)
	c.handleEventAt(now, event)
	c.handleEvent(&decide.ShortenDeadline{ID: event.ID, Deadline: clock.ToDuration(incoming.Deadline)})
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
	classSettings := &c.config.Settings.Classes[class]
	if classSettings.Idempotency == decide.IdempotentWithKey && incoming.PlatformProtocol && incoming.IdempotencyKey == "" {
		return admission{}, fmt.Errorf("class %q: %w", incoming.Class, ErrMissingKey)
	}
	if incoming.Writes && classSettings.Read != decide.Write { // the router may retry reads that may have run
		return admission{}, fmt.Errorf("class %q: %w", incoming.Class, ErrWriteInReadClass)
	}
	return admission{class: class, tenant: tenant, classSettings: classSettings}, nil
}

// noTenant is the number for a request without a tenant of the settings.
const noTenant = -1

// mustNotRunAgain reports whether a request must not run twice and may have run before: in an earlier process, or as an earlier
// request with the same id whose client has closed its connection.
func (c *Core) mustNotRunAgain(incoming *platform.Request, classSettings *decide.Class) bool {
	if classSettings.Idempotency == decide.Idempotent {
		return false
	}
	hasKey := classSettings.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != ""
	if !hasKey {
		earlier, ok := c.requests.latest(incoming.ID)
		if ok && earlier.mayHaveBeenWritten() || c.requests.mayHaveRun(incoming.ID, c.loop.Now()) {
			return true
		}
		if c.sharedIDs != nil && incoming.PlatformProtocol && c.sharedIDs.MayHaveRun(incoming.ID) {
			return true
		}
	}
	return c.journal != nil && c.journal.MayHaveRun(clientID(incoming))
}

// clientID returns the id that a request's client uses for it.
func clientID(incoming *platform.Request) string { return cmp.Or(incoming.ClientID, incoming.ID) }

// newRequest returns the state of a new request.
func (c *Core) newRequest(incoming *platform.Request, client platform.Client, admitted admission) *request {
	classSettings := admitted.classSettings
	req := &request{
		id:               incoming.ID,
		clientID:         clientID(incoming),
		atMostOnce:       classSettings.Idempotency != decide.Idempotent,
		class:            admitted.class,
		classMetrics:     c.classMetrics[admitted.class],
		client:           client,
		query:            incoming.Query,
		deadline:         incoming.Deadline,
		platformProtocol: incoming.PlatformProtocol,
	}
	if classSettings.Idempotency == decide.IdempotentWithKey && incoming.IdempotencyKey != "" {
		req.key = strconv.Itoa(incoming.Group) + " " + incoming.IdempotencyKey
	}
	if incoming.PlatformProtocol && classSettings.Read == decide.Write && c.config.Settings.TrackCommits {
		req.commitSession = strings.Clone(incoming.Session) // outlives the statement, of which it is a part
	}
	return req
}

// requestEvent returns the event that passes a request to the router.
func (c *Core) requestEvent(ref slotmap.Ref, req *request, incoming *platform.Request, admitted admission, now decide.Time) *decide.Request {
	event := &decide.Request{
		ID:          requestID(ref),
		Class:       admitted.class,
		Group:       incoming.Group,
		Tenant:      admitted.tenant,
		Deadline:    clock.ToDuration(incoming.Deadline),
		Session:     c.sessionOf(incoming, admitted.classSettings),
		ClientRetry: incoming.IsRetry,
		OnlyServer:  decide.ServerID(incoming.OnlyServer),
	}
	if incoming.MinPosition > 0 {
		// A commit's position is rounded up and may lie ahead of this clock, or far ahead after a clock was set. 0 would mean that
		// there was no commit.
		event.SinceCommit = cmp.Or(now-clock.ToDuration(incoming.MinPosition), 1)
	}
	if at, ok := c.requests.sentKeys.firstSent(req.key, c.loop.Now()); ok {
		event.MayHaveRunSince = clock.ToDuration(at)
		req.mayHaveRunBefore = true
	}
	return event
}
