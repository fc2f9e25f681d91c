package clickhouse

import "beechgrade/internal/eventloop/slotmap"

// While the front drains, each client's connection ends behind an answer that says so, or while it rests. What a client has sent by then is answered first,
// for as long as a drain may take.

const (
	cutMs   = 1500 // after a drain has begun, requests that were sent ahead or in part are not waited for any more
	freshMs = 1000 // the first request of a new client is waited for so long
)

const endingText = "the pooler is ending; the query has not run, and may be sent again"

// Resume ends Drain.
func (f *Front) Resume() { f.draining = false }

// Drain closes clients' connections as they fall idle, from now on.
func (f *Front) Drain() {
	if !f.draining {
		f.draining, f.cutAt = true, f.loop.Now()+cutMs
		f.loop.At(f.cutAt, f.shed)
	}
	f.shed()
}

// shed closes what may be closed of a front that drains.
func (f *Front) shed() {
	if f.draining {
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.shed() })
	}
}

// cut tells whether a drain has taken so long that clients are not waited for any more.
func (f *Front) cut() bool { return f.draining && f.loop.Now() >= f.cutAt }

// begun tells whether a part of a request has come.
func (c *client) begun() bool { return len(c.in) > 0 || c.head != nil }

// Begun is how many clients have sent a part of a request.
func (f *Front) Begun() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.req == nil && c.begun() {
			n++
		}
	})
	return n
}

// ahead tells whether a client has sent something behind the request that is under way, which may not have been read yet.
func (c *client) ahead() bool { return len(c.in) > 0 || !c.conn.OpenAndIdle() }

// lastWhileDraining tells whether the answer that is given now is the client's last one, as the front drains.
func (c *client) lastWhileDraining() bool {
	return c.f.draining && (!c.ahead() || c.f.cut())
}

// shed closes the connection of a client that has nothing under way, while the front drains.
func (c *client) shed() {
	f := c.f
	if !f.draining || c.closed || c.last || c.conn == nil || c.req != nil {
		return
	}
	switch fresh := !c.asked && f.loop.Now()-c.since < freshMs; {
	case c.begun() && f.cut():
		c.give(nil, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", endingText)
	case c.begun() || c.ahead() && !f.cut():
	case !fresh:
		c.quit()
	}
}

// expire closes the connection of a client that has rested for too long, or does not get on with a request that it has begun.
func (c *client) expire() {
	switch {
	case c.head != nil:
		c.give(nil, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the body does not come")
	case c.begun():
		c.give(nil, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the head does not come")
	case !c.ahead():
		c.quit()
	}
}

// End ends clients' connections with a last word, whatever they have under way.
func (f *Front) End() {
	f.draining, f.cutAt = true, f.loop.Now()
	var all []*client
	f.clients.Each(func(_ slotmap.Ref, c *client) { all = append(all, c) })
	for _, c := range all {
		c.endNow()
	}
}

// endNow gives the client its answer, or breaks off the one that it is reading.
func (c *client) endNow() {
	r := c.req
	switch {
	case c.closed || c.last:
	case r == nil:
		c.shed()
	case r.over: // with an end that looks like a whole one it would be taken for whole
		c.conn.Abort()
	default:
		ran := r.reached || r.taker != nil
		if c.leaves = true; r.asked {
			c.f.desk.Abandon(r.ref)
		}
		if ran {
			c.complain(r, 502, codeNetwork, "NETWORK_ERROR", "the pooler is ending; the query may have run", 0)
			return
		}
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", endingText, 1)
	}
}
