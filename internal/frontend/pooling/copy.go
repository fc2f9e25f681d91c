package pooling

import "beechgrade/internal/protocol/pgwire"

// copyState is the state of a COPY from the client on a server connection.
type copyState uint8

const (
	noCopy      copyState = iota
	copyWaits             // the server waits for data: it ignores Sync and Flush
	copyAllSent           // the client has sent all data, or that it has none
)

// mayCopy reports whether the client's next message can belong to a COPY: the server waits for data, or the message, or the part of one, is data.
func (c *client) mayCopy() bool {
	if c.link.copy == copyWaits || c.input.InPartialMessage() {
		return true
	}
	typ, ok := c.input.Type()
	return ok && isCopyData(typ)
}

func isCopyData(typ byte) bool {
	return typ == pgwire.CopyData || typ == pgwire.CopyDone || typ == pgwire.CopyFail
}

// forwardDuringCopy handles a message while the server waits for data, and reports whether it was one that is not forwarded: a Sync or Flush,
// which the server ignores, or one that breaks the protocol.
func (c *client) forwardDuringCopy(typ byte) (handled bool) {
	if isCopyData(typ) {
		return false
	}
	if typ != pgwire.Sync && typ != pgwire.Flush {
		c.endWithError(codeProtocol, "unexpected message during COPY from stdin")
	}
	return true
}

// copyBegan handles CopyInResponse. The server ignores a Sync that follows the COPY's Execute directly, as it ignores each until the data ends.
func (l *link) copyBegan() {
	if l.copy == noCopy {
		l.copy = copyWaits
	}
	if len(l.expected) == 2 && l.expected[0].kind == answersExecute && l.expected[1].kind == answersSync {
		l.expected = l.expected[:1]
		if l.owner != nil {
			l.owner.extendedOpen = true
			l.owner.proceedSoon()
		}
	}
}
