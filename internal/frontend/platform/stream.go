package platform

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/pgwire"
)

// A streamed answer can break off as long as its server has not sent all of it, and nothing can follow one of which only a part was sent. So an
// answer is forwarded in parts only while no other command is behind it, and no command is handled meanwhile (mustWait). An answer with commands
// behind it is collected first, in reserved memory, once it is the first in the queue: if later ones were collected too, it might wait for memory that
// they hold. If it is not complete when its client gives up, it fails, and the commands behind it are answered.

// stream is the state of an answer that is streamed.
type stream struct {
	backend.StreamStart
	waitMs      float64       // how long the client waits for the first bytes, besides the time for earlier answers
	reservation reservation   // for the whole answer, while it is collected
	expiry      *timers.Timer // bounds the collection, from when the answer is the first in the queue
}

// ReceiveStream implements StreamReceiver.
func (answer *answer) ReceiveStream(start backend.StreamStart) backend.AnswerStream {
	session := answer.session
	waitMs := max(0, start.Deadline-session.postgres.eventLoop.Now())
	answer.stream = &stream{StreamStart: start, waitMs: waitMs}
	session.postgres.streams++
	if session.queue[0] == answer {
		session.forwardOrCollect()
	}
	return answer
}

// Chunk implements backend.AnswerStream.
func (answer *answer) Chunk(chunk []byte) {
	session := answer.session
	switch {
	case session.closed || session.closing || answer.done:
	case answer.partlySent:
		session.forward(chunk)
	case answer.mayBeForwarded():
		answer.startForwarding()
		session.forward(chunk)
	default:
		answer.wait(chunk)
	}
}

// HasCapacity implements backend.AnswerStream.
func (answer *answer) HasCapacity() bool {
	session := answer.session
	switch {
	case session.closed:
		return true
	case answer.partlySent:
		return session.conn.Unsent() < session.postgres.streamWindow()
	case answer.mayBeForwarded():
		return true
	}
	return session.queue[0] == answer && answer.collect()
}

// Ended implements backend.AnswerStream. If a part was sent of an answer that will not be complete, the connection is closed, which
// shows the client that the answer is incomplete.
func (answer *answer) Ended(rest []byte, complete bool) {
	session := answer.session
	switch {
	case complete:
		answer.finish(pgwire.AppendReady(rest))
	case session.closed || answer.done:
	case answer.partlySent: // no memory is reserved for it
		session.endStream(answer)
		session.setEndReason(endedByBrokenStream)
		session.close()
	default:
		answer.waiting = nil
		answer.Failed()
	}
}

// mayBeForwarded reports whether the answer can be forwarded in parts: it is the first one, and no command is behind it that would have no answer if
// it broke off. Commands that wait in the socket count too: the client has sent them.
func (answer *answer) mayBeForwarded() bool {
	session := answer.session
	return session.queue[0] == answer && !session.hasCommandBehind(answer) && session.input.Pending() == 0 && session.conn.Unread() == 0
}

// hasCommandBehind reports whether a command was handled after that of the answer. The last message of a connection is no command.
func (session *session) hasCommandBehind(answer *answer) bool {
	last := session.queue[len(session.queue)-1]
	if last.closesConnection && len(session.queue) > 1 {
		last = session.queue[len(session.queue)-2]
	}
	return last != answer
}

// isForwarding reports whether a part of an answer was sent whose rest is outstanding.
func (session *session) isForwarding() bool {
	return len(session.queue) > 0 && session.queue[0].partlySent
}

// forwardOrCollect forwards what was received of the first answer, which is streamed, or bounds the time for which it is collected.
func (session *session) forwardOrCollect() {
	answer := session.queue[0]
	if answer.mayBeForwarded() {
		answer.startForwarding()
		return
	}
	if answer.stream.expiry == nil {
		loop := session.postgres.eventLoop
		answer.stream.expiry = loop.At(loop.Now()+answer.stream.waitMs, answer.collectionExpired)
	}
}

// startForwarding sends what was received of the answer. What follows is sent as it arrives.
func (answer *answer) startForwarding() {
	session := answer.session
	answer.stream.reservation.release()
	session.postgres.eventLoop.StopTimer(answer.stream.expiry)
	answer.partlySent = true
	waiting := answer.waiting
	answer.waiting = nil
	answer.setSize()
	session.sendWaiting(waiting)
}

// collect reserves memory for the whole answer, and reports whether there is any. The collection of an answer for which there never will be enough
// ends in a callback of its own.
func (answer *answer) collect() bool {
	if answer.stream.reservation.bytes > 0 {
		return true
	}
	session, bytes := answer.session, answer.stream.Bytes
	collected := &session.postgres.collected
	switch {
	case collected.fits(bytes):
		answer.stream.reservation = collected.reserve(bytes)
		answer.waiting = slices.Grow(answer.waiting, max(0, bytes-len(answer.waiting)))
		answer.setSize()
		session.countBuffered()
		return true
	case !collected.everFits(bytes):
		loop := session.postgres.eventLoop
		loop.StopTimer(answer.stream.expiry)
		answer.stream.expiry = loop.At(loop.Now(), answer.collectionExpired)
	}
	return false
}

// collectionExpired ends the collection of the first answer in the queue, which its client does not wait for any longer or for which there is not
// enough memory. It is forwarded in parts if only input that was not handled is behind it.
func (answer *answer) collectionExpired() {
	session := answer.session
	if session.closed || session.closing || answer.done || answer.partlySent {
		return
	}
	if session.hasCommandBehind(answer) {
		answer.failStream()
		return
	}
	answer.startForwarding()
}

// failStream gives up an answer of which nothing was sent.
func (answer *answer) failStream() {
	if answer.session.closed || answer.session.closing || answer.done || answer.partlySent {
		return
	}
	answer.waiting = nil
	answer.stream.Abandon()
	answer.Failed()
}

// flushWaiting sends, or goes on to collect, what was received of the first answer in the queue.
func (session *session) flushWaiting() {
	if session.closed || len(session.queue) == 0 || session.queue[0].stream == nil || session.queue[0].partlySent {
		return
	}
	session.forwardOrCollect()
}

// endStream records that an answer is no longer streamed. It returns the memory that was reserved to collect it.
func (session *session) endStream(answer *answer) reservation {
	if answer.stream == nil {
		return reservation{}
	}
	collected := answer.stream.reservation
	session.postgres.eventLoop.StopTimer(answer.stream.expiry)
	answer.stream = nil
	session.postgres.streams--
	return collected
}

// sendCollected sends an answer that has waited, and keeps the memory reserved for it until its client has read it.
func (session *session) sendCollected(waiting []byte, collected reservation) {
	if collected.bytes == 0 || session.closed {
		collected.release()
		session.sendWaiting(waiting)
		return
	}
	session.writtenBytes += len(waiting)
	_ = session.conn.WriteOwned(waiting) // a failed write closes the connection
	session.unread.add(collected)
	session.releaseUnread()
}

// sendWaiting sends output that has waited, if there is any.
func (session *session) sendWaiting(waiting []byte) {
	if len(waiting) > 0 {
		session.send(waiting)
	}
}

// releaseUnread releases the memory reserved for answers once the client has read them, or has gone.
func (session *session) releaseUnread() {
	if session.unread.bytes > 0 && (session.closed || session.conn.Unsent() == 0) {
		session.unread.release()
	}
}

// isStreaming reports whether an answer is being streamed to the client.
func (session *session) isStreaming() bool {
	for _, answer := range session.queue {
		if answer.stream != nil {
			return true
		}
	}
	return false
}
