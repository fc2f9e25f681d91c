package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/memory"
)

// Sizes by which the account is charged, in bytes.
const (
	connectionBytes = 8 << 10 // of a client's connection: its state, its settings and small buffers
	releasableFor   = 1 << 14 // a client that holds more has to release it where a new connection has no memory
)

// idleMessageMs is how long a client may send nothing in the middle of a message that takes more than its share, when there is little memory left.
const idleMessageMs = 3000

// window returns how many bytes of output may wait for a client before reading from its server pauses.
func (f *Frontend) window() int { return f.account.Window(f.clients.Len()) }

// chargeMemory updates what the client holds. A client that holds more than its share when there is no memory left is disconnected.
func (c *client) chargeMemory() {
	account := c.frontend.account
	if c.closed {
		c.held.Set(account, 0, 0, 0)
		return
	}
	input := c.input.Allocated() + cap(c.beginMessages) + cap(c.unansweredMessages)
	if c.link != nil && c.link.conn != nil {
		input += c.link.conn.Allocated() // forwarded, but not accepted by the server
	}
	answers := cap(c.output) + cap(c.deferredAnswers)
	if c.conn != nil {
		answers += c.conn.Allocated()
	}
	c.held.Set(account, connectionBytes, input, answers)
	if account.Level() >= memory.RejectWork && c.holdsMuch() && c.input.Pending() > 0 && !c.answersOutstanding() {
		c.endWithError(codeOutOfMemory, "clients hold too much")
	}
}

// holdsMuch reports whether the client holds more than its share.
func (c *client) holdsMuch() bool { return c.held.HoldsMuch(c.frontend.account) }

// limitReads sets how much is read at once from the client.
func (c *client) limitReads() {
	c.conn.LimitReads(c.frontend.account.ReadLimit(eventloop.SmallReads))
}

// Largest implements memory.Holder.
func (f *Frontend) Largest() (bytes int, release func()) {
	var largest *client
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		c.chargeMemory()
		if !c.closed && (largest == nil || c.held.Held() > largest.held.Held()) {
			largest = c
		}
	})
	if largest == nil {
		return 0, nil
	}
	return largest.held.Held(), func() { largest.endWithError(codeOutOfMemory, "clients hold too much") }
}

// holdsMemoryIdly reports whether the client has stopped in the middle of a message that takes more than its share, and others may need the
// memory.
func (c *client) holdsMemoryIdly() bool {
	f := c.frontend
	if !c.holdsMuch() || f.account.Level() < memory.HoldReading {
		return false
	}
	return c.input.Pending() > 0 && !c.answersOutstanding() && f.now()-c.lastDataAt >= idleMessageMs
}
