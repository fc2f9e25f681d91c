package clickhouse

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
)

// releasableFor is how much a client may hold that does not have to release it where a new connection has no memory.
const releasableFor = 1 << 14

// chargeMemory updates what the client holds.
func (c *client) chargeMemory() {
	connection, answers := connectionBytes, 0
	body := cap(c.incoming.raw)
	if c.request != nil { // it has taken over the body
		body = cap(c.request.rawBody) + c.request.forwardedBytes()
	}
	buffered := cap(c.input) + body + cap(c.incoming.decoded)
	switch {
	case c.state == clientClosed:
		connection, buffered = 0, 0
	case c.conn != nil:
		answers = c.conn.Allocated()
	}
	c.held.Set(c.frontend.account, connection, buffered, answers)
	c.frontend.buffered += buffered - c.bufferedBytes
	c.bufferedBytes = buffered
}

// forwardedBytes returns how many bytes a streamed body takes that was forwarded and that the server has not accepted.
func (r *request) forwardedBytes() int {
	if !r.streamsBody || r.attemptLink == nil {
		return 0
	}
	return r.attemptLink.conn.Allocated()
}

// holdsMuch reports whether the client holds more than its share.
func (c *client) holdsMuch() bool { return c.held.HoldsMuch(c.frontend.account) }

// limitReads sets how much is read at once from the client.
func (c *client) limitReads() {
	c.conn.LimitReads(c.frontend.account.ReadLimit(eventloop.SmallReads))
}

// afterInput updates the account after input was handled.
func (c *client) afterInput() {
	c.chargeMemory()
	if c.state == clientOpen {
		c.limitReads()
	}
}

// releaseMemory ends the client's connection. A client that only reads its last answer too slowly cannot be told why.
func (c *client) releaseMemory() {
	if c.isIdle() {
		c.conn.Abort()
		return
	}
	c.failConnection(c.request, tooMuchHeld())
	c.chargeMemory()
}

// Largest implements memory.Holder.
func (f *Frontend) Largest() (bytes int, release func()) {
	var largest *client
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		c.chargeMemory()
		if c.state == clientOpen && c.conn != nil && !c.conn.Continues() && (largest == nil || c.held.Held() > largest.held.Held()) {
			largest = c
		}
	})
	if largest == nil {
		return 0, nil
	}
	return largest.held.Held(), largest.releaseMemory
}
