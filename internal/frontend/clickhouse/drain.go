package clickhouse

import (
	"net/http"

	"beechgrade/internal/eventloop/slotmap"
)

// While the frontend drains, each client is disconnected when it is idle, or after an answer with "Connection: close". Requests that were
// received, fully or in part, or that may be in transit are answered first, within the timeouts below.

const (
	partialRequestTimeoutMs = 1500 // from the start of the drain, for completing requests that were sent in part
	firstRequestTimeoutMs   = 1000 // from a client's connect, for its first request
)

// incompleteAtShutdown is the exception of a request that has not arrived in full at Frontend.drainDeadline.
var incompleteAtShutdown = exception{status: http.StatusServiceUnavailable, code: codeTooMany, text: textShutdown}

// Drain starts disconnecting clients.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining = true
		f.drainDeadline = f.loop.Now() + partialRequestTimeoutMs
		f.loop.At(f.drainDeadline, f.closeIdleClients)
	}
	f.closeIdleClients()
}

// Resume ends the drain that Drain started.
func (f *Frontend) Resume() { f.draining = false }

// End disconnects all clients. Unanswered requests are answered with an exception, and connections with a partly sent answer are reset.
func (f *Frontend) End() {
	f.draining = true
	f.drainDeadline = f.loop.Now()
	var all []*client
	f.clients.Each(func(_ slotmap.Ref, c *client) { all = append(all, c) })
	for _, c := range all {
		c.end()
	}
}

// closeIdleClients disconnects idle clients, while the frontend drains.
func (f *Frontend) closeIdleClients() {
	if f.draining {
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.closeIfIdle() })
	}
}

// drainTimedOut reports whether the drain no longer waits for requests that have not arrived in full.
func (f *Frontend) drainTimedOut() bool { return f.draining && f.loop.Now() >= f.drainDeadline }

// mayHaveMoreInput reports whether the client has sent more than the current request. The additional input may still be unread.
func (c *client) mayHaveMoreInput() bool { return len(c.input) > 0 || !c.conn.OpenAndIdle() }

// isLastWhileDraining reports whether the client's next answer is its last one because the frontend drains.
func (c *client) isLastWhileDraining() bool {
	return c.frontend.draining && (!c.mayHaveMoreInput() || c.frontend.drainTimedOut())
}

// closeIfIdle disconnects the client if the frontend drains and the client is idle.
func (c *client) closeIfIdle() {
	f := c.frontend
	connected := c.state == clientOpen && c.conn != nil
	if !f.draining || !connected || c.request != nil {
		return
	}
	timedOut := f.drainTimedOut()
	awaitsFirstRequest := !c.hasSentRequest && f.loop.Now()-c.idleSince < firstRequestTimeoutMs
	switch {
	case c.hasPartialRequest() && timedOut:
		c.failConnection(nil, incompleteAtShutdown)
	case c.hasPartialRequest() || !timedOut && c.mayHaveMoreInput():
	case !awaitsFirstRequest:
		c.linger()
	}
}

// expire disconnects a client that was idle for too long or has not sent the rest of a request in time.
func (c *client) expire() {
	switch {
	case c.incoming.head != nil:
		c.failConnection(nil, requestTimedOut(textBodyStalled))
	case c.hasPartialRequest():
		c.failConnection(nil, requestTimedOut(textHeadStalled))
	case !c.mayHaveMoreInput():
		c.linger()
	}
}

// end disconnects the client, even if requests or answers are outstanding.
func (c *client) end() {
	r := c.request
	switch {
	case c.state != clientOpen:
	case r == nil:
		c.closeIfIdle()
	case r.answered: // the client could take a regular close for the end of the answer
		c.conn.Abort()
	default:
		mayHaveRun := r.reachedServer || r.attemptLink != nil
		c.closeAfterAnswer = true
		if r.submitted {
			c.frontend.dispatcher.Abandon(r.ref)
		}
		if mayHaveRun {
			c.answerException(r, outcomeUnknown("the pooler is ending; the query may have run"))
			return
		}
		c.answerException(r, rejectedTooMany(textShutdown))
	}
}
