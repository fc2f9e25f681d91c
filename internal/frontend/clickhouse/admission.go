package clickhouse

import (
	"net/http"
	"strconv"
	"strings"

	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/platform"
)

// AssignLimit sets this pooler's allowance of a user's limits.
func (f *Frontend) AssignLimit(user string, allowance limits.Allowance) {
	f.submitAdmitted(f.limiter.Assign(user, allowance, f.loop.Now()))
}

// RestoreLimits removes a user's allowance, so that the limits in the settings apply.
func (f *Frontend) RestoreLimits(user string) { f.submitAdmitted(f.limiter.Restore(user)) }

// Demand returns the load that a user's queries would cause without limits.
func (f *Frontend) Demand(user string) limits.Demand { return f.limiter.Demand(user, f.loop.Now()) }

// admit submits a request, queues it or rejects it, according to the limits of its user.
func (c *client) admit(r *request, user string, now float64) {
	f := c.frontend
	id := limits.ID(r.number)
	if f.options.ExpireLeases != nil {
		f.options.ExpireLeases()
	}
	switch f.limiter.Admit(id, user, now) {
	case limits.Admitted:
		r.limitID = id
		c.submit(r)
	case limits.Queued:
		r.limitID = id
		f.waiting[id] = r
		f.loop.At(now+f.limiter.MaxWaitMs(user)+1, f.rejectExpired)
	case limits.TooMany:
		c.answerException(r, rejectedTooMany("too many queries of this user run and wait; it has not run"))
	default:
		c.answerException(r, rejectedTooMany("queries of this user come too fast; it has not run"))
	}
}

// submitAdmitted submits queued requests that were admitted.
func (f *Frontend) submitAdmitted(admitted []limits.ID) {
	for _, id := range admitted {
		if r := f.waiting[id]; r != nil {
			delete(f.waiting, id)
			r.client.submit(r)
		}
	}
}

// rejectExpired rejects requests that have been queued for too long.
func (f *Frontend) rejectExpired() {
	for _, id := range f.limiter.Expire(f.loop.Now()) {
		if r := f.waiting[id]; r != nil {
			delete(f.waiting, id)
			r.limitID = 0
			r.client.answerException(r, rejectedTooMany("it has waited for too long behind others of its user; it has not run"))
		}
	}
}

// submit passes a request to the dispatcher.
func (c *client) submit(r *request) {
	ref, err := c.frontend.dispatcher.Submit(platform.Request{
		ID:         "ch-" + strconv.FormatUint(r.number, 36),
		ClientID:   r.queryID,
		Class:      r.class,
		Group:      c.frontend.options.Group,
		Deadline:   r.deadline,
		OnlyServer: r.onlyServer,
		Query:      r,
	}, r)
	if err != nil {
		c.frontend.log.Error("clickhouse: dispatcher refused a query; answering with an exception", "err", err)
		c.answerException(r, exception{status: http.StatusInternalServerError, code: codeNetwork, text: "the pooler could not take the query"})
		return
	}
	r.ref = ref
	r.submitted = true
}

// releaseRequest releases a request's session and its place in the limits of its user, and submits the requests that are admitted
// instead.
func (f *Frontend) releaseRequest(r *request) {
	if r.session != (sessions.Key{}) {
		delete(f.inSession, r.session)
		f.sessions.End(f.loop.Now(), r.session)
		r.session = sessions.Key{}
	}
	if r.limitID == 0 {
		return
	}
	id := r.limitID
	r.limitID = 0
	delete(f.waiting, id)
	f.submitAdmitted(f.limiter.Release(id))
}

// beginSessionQuery begins a query of a session and reports whether the query may run. If not, it answers the request.
func (c *client) beginSessionQuery(r *request, user string) bool {
	f := c.frontend
	key := sessions.Key{User: user, ID: strings.Clone(r.params.Get("session_id"))} // outlives the head, of which it is a part
	timeoutS, _ := strconv.ParseFloat(r.params.Get("session_timeout"), 64)         // 0 if it is not a number: the default applies
	mustExist := r.params.Get("session_check") == "1"
	verdict, server := f.sessions.Begin(f.loop.Now(), key, timeoutS*1000, mustExist)
	switch verdict {
	case sessions.AnyServer, sessions.BoundServer:
		r.session = key
		r.onlyServer = server
		f.inSession[key] = r
		if server != "" && !mustExist { // a restarted server must not silently create a new session
			r.head.Target = withParameter(r.head.Target, "session_check", "1")
		}
		return true
	case sessions.Locked:
		c.answerException(r, exception{
			status: http.StatusInternalServerError, code: codeLocked, text: "another query of this session is under way; it has not run",
		})
	case sessions.Lost:
		c.answerException(r, noSession(textSessionLost))
	case sessions.Unknown:
		c.answerException(r, noSession("this pooler knows of no such session; it has not run"))
	default:
		c.answerException(r, rejectedTooMany("too many sessions; it has not run"))
	}
	return false
}

// loseSessions ends the sessions of a server that has terminated or drains. Session queries that have not been sent are rejected at
// once; those that are running may finish.
func (f *Frontend) loseSessions(server string) {
	for _, key := range f.sessions.LoseServer(server) {
		r := f.inSession[key]
		if r == nil || r.answered || r.attemptLink != nil {
			continue
		}
		if r.submitted {
			f.dispatcher.Abandon(r.ref)
		}
		r.client.answerException(r, noSession(textSessionLost))
	}
}
