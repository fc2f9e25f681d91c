package platform

import (
	"slices"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/memory"
)

// Sizes by which the account is charged, in bytes.
const (
	connectionBytes = 4 << 10 // of a connection's state, of which freeBytes are for its buffers
	freeBytes       = 2 << 10 // of buffers that each client may have without asking
	requestBytes    = 3 << 10 // of an open request besides its statement
	answerBytes     = 256     // of a queued answer besides its message
	releasableFor   = 1 << 14 // a client that holds more has to release it where a new connection has no memory
)

// sessionCharges are the parts of the account that a session holds.
type sessionCharges struct {
	connection, input, statements, answers memory.Charge
}

// heldBytes returns what the session holds besides its connection.
func (charges *sessionCharges) heldBytes() int {
	return charges.input.Bytes() + charges.statements.Bytes() + charges.answers.Bytes()
}

// countBuffered updates what the session holds.
func (session *session) countBuffered() {
	session.releaseUnread()
	account, charges := session.postgres.account, &session.charges
	if session.closed {
		charges.connection.Set(account, memory.Connections, 0)
		charges.input.Set(account, memory.Input, 0)
		charges.statements.Set(account, memory.Statements, 0)
		charges.answers.Set(account, memory.Answers, 0)
		return
	}
	charges.connection.Set(account, memory.Connections, connectionBytes)
	input := max(session.input.Allocated(), session.reservation.bytes) - freeBytes
	charges.input.Set(account, memory.Input, max(0, input))
	charges.statements.Set(account, memory.Statements, session.statementBytes)
	unsent := 0
	if session.conn != nil {
		unsent = session.conn.Allocated()
	}
	charges.answers.Set(account, memory.Answers, session.queuedBytes+unsent)
}

// holdsMuch reports whether the session holds more than its share, so that its work is held back or rejected where memory is short. Messages that
// memory was reserved for do not count.
func (session *session) holdsMuch() bool {
	reserved := session.reservation.bytes + session.reservedStatementBytes
	return session.charges.heldBytes()-reserved > max(freeBytes+requestBytes, session.postgres.account.Share())
}

// streamWindow returns how many bytes of a streamed answer may wait for its client.
func (postgres *Postgres) streamWindow() int {
	if postgres.account.Level() >= memory.HoldReading {
		return 1
	}
	return postgres.account.Window(postgres.streams)
}

// enforceMemoryLimit has the clients that hold most release memory where too much is held, once in releasePauseMs, or in recheckMs where nothing could
// be released, as it looks at all clients.
func (postgres *Postgres) enforceMemoryLimit() {
	now := postgres.eventLoop.Now()
	if postgres.account.Level() < memory.EndLargest || now < postgres.nextReleaseAt {
		return
	}
	postgres.nextReleaseAt = now + releasePauseMs
	if !postgres.account.Reclaim() {
		postgres.nextReleaseAt = now + recheckMs
	}
}

// Largest implements memory.Holder.
func (postgres *Postgres) Largest() (bytes int, release func()) {
	var largest *session
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		session.countBuffered()                              // the client may have read its answers meanwhile
		if session.conn == nil || session.conn.Continues() { // it releases memory in its next turn
			return
		}
		if largest == nil || session.releasableBytes() > largest.releasableBytes() {
			largest = session
		}
	})
	if largest == nil {
		return 0, nil
	}
	return largest.releasableBytes(), largest.releaseMemory
}

// releasableBytes returns how many of the bytes that the session holds can be released. Statements of open requests are kept: those that do not
// fit are rejected when they arrive.
func (session *session) releasableBytes() int {
	return session.charges.input.Bytes() + session.charges.answers.Bytes()
}

// releaseMemory makes a session release memory: first its waiting answers are replaced by failures, then commands not yet handled are
// rejected, then its connection is ended with an error. Only a client that does not read its answers is disconnected without an error.
func (session *session) releaseMemory() {
	before := session.charges.heldBytes()
	session.postgres.releases++
	for _, step := range []func(){
		session.failWaiting,
		session.proceed,
		func() { session.endWithError(endedByMemory, codeRejected, errMemory.Error()) },
	} {
		step()
		session.input.Retain(session.reservation.bytes)
		session.countBuffered()
		if session.charges.heldBytes() < before || session.conn.Continues() {
			return
		}
	}
	session.setEndReason(endedByMemory)
	session.conn.Close()
}

// failWaiting replaces answers that wait for earlier ones, or are being collected, by failures, the last ones first, until enough memory is free.
func (session *session) failWaiting() {
	failure := appendFailure(nil)
	for _, answer := range slices.Backward(slices.Clone(session.queue)) {
		if session.closed || session.postgres.account.Level() < memory.EndLargest {
			return
		}
		if answer.stream != nil && len(answer.waiting) > len(failure) {
			answer.failStream()
			continue
		}
		if answer.done && !answer.closesConnection && len(answer.waiting) > len(failure) {
			answer.waiting = failure
			answer.setSize()
			session.countBuffered()
		}
	}
}

// mustFail reports whether an answer of so many bytes cannot be kept for the client, because it would have to wait and memory is short. The rest of an
// answer that was sent in part cannot be replaced.
func (answer *answer) mustFail(bytes int) bool {
	session := answer.session
	if answer.partlySent || len(answer.waiting) > 0 {
		return false
	}
	waits := session.queue[0] != answer || session.conn.Unsent() > 0
	return waits && bytes > freeBytes && !session.postgres.account.Admits(bytes, memory.RefuseConnections)
}
