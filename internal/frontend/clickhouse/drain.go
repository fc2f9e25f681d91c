package clickhouse

import "beechgrade/internal/eventloop/slotmap"

// While the front drains, each client's connection ends behind an answer that says so, or while it rests. What a client has sent by then is answered first,
// for as long as a drain may take.

const (
	partialWaitMs  = 1500 // after a drain has begun, requests that were sent ahead or in part are not waited for any more
	firstRequestMs = 1000 // the first request of a new client is waited for so long
)

const shutdownText = "the pooler is ending; the query has not run, and may be sent again"

// Resume ends Drain.
func (f *Frontend) Resume() { f.draining = false }

// Drain closes clients' connections as they fall idle, from now on.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining, f.drainDeadline = true, f.loop.Now()+partialWaitMs
		f.loop.At(f.drainDeadline, f.closeIdleClients)
	}
	f.closeIdleClients()
}

// closeIdleClients closes what may be closed of a front that drains.
func (f *Frontend) closeIdleClients() {
	if f.draining {
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.closeIfIdle() })
	}
}

// drainTimedOut tells whether a drain has taken so long that clients are not waited for any more.
func (f *Frontend) drainTimedOut() bool { return f.draining && f.loop.Now() >= f.drainDeadline }

// hasPartialRequest tells whether a part of a request has come.
func (c *client) hasPartialRequest() bool { return len(c.input) > 0 || c.head != nil }

// PartialRequests is how many clients have sent a part of a request.
func (f *Frontend) PartialRequests() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.request == nil && c.hasPartialRequest() {
			n++
		}
	})
	return n
}

// mayHaveMore tells whether a client has sent something behind the request that is under way, which may not have been read yet.
func (c *client) mayHaveMore() bool { return len(c.input) > 0 || !c.conn.OpenAndIdle() }

// lastWhileDraining tells whether the answer that is given now is the client's last one, as the front drains.
func (c *client) lastWhileDraining() bool {
	return c.frontend.draining && (!c.mayHaveMore() || c.frontend.drainTimedOut())
}

// closeIfIdle closes the connection of a client that has nothing under way, while the front drains.
func (c *client) closeIfIdle() {
	f := c.frontend
	if !f.draining || c.closed || c.lingering || c.conn == nil || c.request != nil {
		return
	}
	switch fresh := !c.everRequested && f.loop.Now()-c.idleSince < firstRequestMs; {
	case c.hasPartialRequest() && f.drainTimedOut():
		c.failConnection(nil, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", shutdownText)
	case c.hasPartialRequest() || c.mayHaveMore() && !f.drainTimedOut():
	case !fresh:
		c.linger()
	}
}

// expire closes the connection of a client that has rested for too long, or does not get on with a request that it has begun.
func (c *client) expire() {
	switch {
	case c.head != nil:
		c.failConnection(nil, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the body does not come")
	case c.hasPartialRequest():
		c.failConnection(nil, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the head does not come")
	case !c.mayHaveMore():
		c.linger()
	}
}

// End ends clients' connections with a last word, whatever they have under way.
func (f *Frontend) End() {
	f.draining, f.drainDeadline = true, f.loop.Now()
	var all []*client
	f.clients.Each(func(_ slotmap.Ref, c *client) { all = append(all, c) })
	for _, c := range all {
		c.end()
	}
}

// end gives the client its answer, or breaks off the one that it is reading.
func (c *client) end() {
	r := c.request
	switch {
	case c.closed || c.lingering:
	case r == nil:
		c.closeIfIdle()
	case r.answered: // with an end that looks like a whole one it would be taken for whole
		c.conn.Abort()
	default:
		ran := r.reached || r.uploadLink != nil
		if c.closeAfterAnswer = true; r.submitted {
			c.frontend.dispatcher.Abandon(r.ref)
		}
		if ran {
			c.answerException(r, 502, codeNetwork, "NETWORK_ERROR", "the pooler is ending; the query may have run", 0)
			return
		}
		c.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", shutdownText, 1)
	}
}
