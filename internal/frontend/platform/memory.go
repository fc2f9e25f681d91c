package platform

import (
	"slices"

	"beechgrade/internal/eventloop/slotmap"
)

// memoryLimit returns how many bytes may be buffered for all clients together.
func (postgres *Postgres) memoryLimit() int { return postgres.budget.Memory() / memoryPart }

// statementLimit returns up to how many buffered bytes a further statement is accepted. The rest of the limit is reserved for
// statements that are still arriving.
func (postgres *Postgres) statementLimit() int {
	return postgres.memoryLimit() * statementNumerator / statementDenominator
}

// streamWindow returns how many bytes of a streamed answer may wait for its client.
func (postgres *Postgres) streamWindow() int {
	part := postgres.budget.Memory() / streamPart / max(1, postgres.streams)
	return max(minStreamWindow, min(maxStreamWindow, part))
}

// countBuffered updates the number of bytes buffered for this session and for all.
func (session *session) countBuffered() {
	buffered := 0
	if !session.closed {
		buffered = max(0, session.input.Pending()-session.reservedBytes) + session.unsent()
		for _, answer := range session.queue {
			buffered += answer.size
		}
	}
	session.postgres.bufferedBytes += buffered - session.bufferedBytes
	session.bufferedBytes = buffered
}

// reserveMemory reserves memory for a long message that has begun to arrive. If there is not enough, the rest of the message stays
// unread until there is.
func (session *session) reserveMemory() {
	postgres, length := session.postgres, session.input.NextLength()
	if session.closed || session.noMoreCommands || !session.started || session.reservedBytes > 0 {
		return
	}
	if length <= maxMessage || length > maxLongMessage+1 {
		return
	}
	if postgres.canReserve(length) {
		session.reservedBytes = length
		postgres.reservedBytes += length
		session.input.Grow(length)
		return
	}
	if !session.waitsForMemory {
		session.waitsForMemory = true
		postgres.memoryQueue = append(postgres.memoryQueue, session)
		if !session.conn.ReadingPaused() {
			session.unreadInput.sampledAt = postgres.eventLoop.EarliestArrival()
		}
	}
	session.pauseWhileWaiting()
}

// canReserve reports whether there is memory for a long message of that many bytes. One long message may always be reserved.
func (postgres *Postgres) canReserve(bytes int) bool {
	return postgres.reservedBytes == 0 || postgres.reservedBytes+bytes <= postgres.budget.Memory()/longMessagePart
}

// releaseReserved releases memory that was reserved for a long message, and reserves it for the sessions that wait for memory.
func (postgres *Postgres) releaseReserved(bytes int) {
	if bytes == 0 {
		return
	}
	postgres.reservedBytes -= bytes
	for len(postgres.memoryQueue) > 0 && postgres.reservedBytes < postgres.budget.Memory()/longMessagePart {
		first := postgres.memoryQueue[0]
		postgres.memoryQueue = postgres.memoryQueue[1:]
		first.waitsForMemory = false
		if first.closed {
			continue
		}
		first.reserveMemory()
		if first.waitsForMemory { // still not enough: it becomes first in the queue again
			postgres.memoryQueue = append([]*session{first}, postgres.memoryQueue[:len(postgres.memoryQueue)-1]...)
			return
		}
		first.lastDataAt = postgres.eventLoop.Now()
		first.sampleUnread()
		first.unreadInput.resume(first.lastDataAt)
		first.conn.ResumeReading()
	}
}

// enforceMemoryLimit makes the sessions that buffer most release memory until all together are within the limit. Statements of open
// requests are kept: statements that do not fit are rejected when they arrive.
func (postgres *Postgres) enforceMemoryLimit() {
	for postgres.bufferedBytes > postgres.memoryLimit() {
		var largest *session
		postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
			session.countBuffered() // the client may have read its answers meanwhile
			if largest == nil || session.releasableBytes() > largest.releasableBytes() {
				largest = session
			}
		})
		if largest == nil || largest.releasableBytes() == 0 || postgres.bufferedBytes <= postgres.memoryLimit() {
			return
		}
		largest.releaseMemory()
	}
}

// releasableBytes returns how many of the bytes buffered for a session can be released.
func (session *session) releasableBytes() int {
	releasable := session.bufferedBytes
	for _, answer := range session.queue {
		if answer.open {
			releasable -= answer.size
		}
	}
	return releasable
}

// releaseMemory makes a session release memory: first its waiting answers are replaced by failures, then commands not yet handled are
// rejected, then its connection is ended with an error. Only a client that does not read its answers is disconnected without an error.
func (session *session) releaseMemory() {
	before := session.bufferedBytes
	for _, step := range []func(){
		session.failWaiting,
		session.proceed,
		func() { session.endWithError(endedByMemory, codeRejected, errMemory.Error()) },
	} {
		step()
		session.countBuffered()
		if session.bufferedBytes < before {
			return
		}
	}
	session.postgres.log.Warn("client disconnected: its buffers exceed the memory limit, and it does not read its answers", "bytes", session.bufferedBytes)
	session.setEndReason(endedByMemory)
	session.conn.Close()
}

// failWaiting replaces answers that wait for earlier ones by failures, the last ones first, until enough memory is free.
func (session *session) failWaiting() {
	failure := appendFailure(nil)
	for _, answer := range slices.Backward(session.queue) {
		if session.postgres.bufferedBytes <= session.postgres.memoryLimit() {
			return
		}
		if answer.done && !answer.closesConnection && len(answer.waiting) > len(failure) {
			answer.waiting = failure
			answer.size = len(failure)
			session.countBuffered()
		}
	}
}
