package clickhouse

import (
	"net/http"

	"beechgrade/internal/eventloop/slotmap"
)

// While the frontend drains, each client is disconnected when it is idle, or with an answer that has "Connection: close". Requests that
// were received or are on their way are answered first, within the bounds below.

const (
	partialWaitMs  = 1500 // after the drain has begun, for clients that have sent a part of a request
	firstRequestMs = 1000 // after a client has connected, for its first request
)

// rejectedPartial is the exception of a request that has not arrived when the drain's time is over.
var rejectedPartial = exception{status: http.StatusServiceUnavailable, code: codeTooMany, text: textShutdown}

// Drain begins to disconnect clients.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining = true
		f.drainDeadline = f.loop.Now() + partialWaitMs
		f.loop.At(f.drainDeadline, f.closeIdleClients)
	}
	f.closeIdleClients()
}

// Resume ends Drain.
func (f *Frontend) Resume() { f.draining = false }

// End disconnects all clients. Requests are answered with an exception, and answers that are being sent are broken off.
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

// drainTimedOut reports whether requests that have not arrived in full are not waited for any more.
func (f *Frontend) drainTimedOut() bool { return f.draining && f.loop.Now() >= f.drainDeadline }

// mayHaveMore reports whether the client has sent more than the present request. It may not have been read yet.
func (c *client) mayHaveMore() bool { return len(c.input) > 0 || !c.conn.OpenAndIdle() }

// isLastWhileDraining reports whether the client's next answer is its last one, as the frontend drains.
func (c *client) isLastWhileDraining() bool {
	return c.frontend.draining && (!c.mayHaveMore() || c.frontend.drainTimedOut())
}

// closeIfIdle disconnects the client if it is idle, while the frontend drains.
func (c *client) closeIfIdle() {
	f := c.frontend
	connected := c.state == clientOpen && c.conn != nil
	if !f.draining || !connected || c.request != nil {
		return
	}
	timedOut := f.drainTimedOut()
	awaitsFirst := !c.everRequested && f.loop.Now()-c.idleSince < firstRequestMs
	switch {
	case c.hasPartialRequest() && timedOut:
		c.failConnection(nil, rejectedPartial)
	case c.hasPartialRequest() || !timedOut && c.mayHaveMore():
	case !awaitsFirst:
		c.linger()
	}
}

// expire disconnects a client that is idle for too long, or does not send the rest of a request in time.
func (c *client) expire() {
	switch {
	case c.incoming.head != nil:
		c.failConnection(nil, requestTimedOut(textBodyStalled))
	case c.hasPartialRequest():
		c.failConnection(nil, requestTimedOut(textHeadStalled))
	case !c.mayHaveMore():
		c.linger()
	}
}

// end disconnects the client, whatever it has outstanding.
func (c *client) end() {
	r := c.request
	switch {
	case c.state != clientOpen:
	case r == nil:
		c.closeIfIdle()
	case r.answered: // a regular close could be taken for the end of the answer
		c.conn.Abort()
	default:
		mayHaveRun := r.reached || r.sentLink != nil
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
