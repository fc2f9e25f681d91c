package platform

import (
	"math"
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// answer is the place of a command in its session's queue: answers are sent in the order of the commands. It is the Client of its
// request.
type answer struct {
	session   *session
	ref       slotmap.Ref // of its request, valid while open
	open      bool        // its request is open
	done      bool
	size      int    // bytes of its statement while open, then of waiting
	waiting   []byte // output that waits for earlier answers
	last      bool   // the connection ends after it
	flow      bool   // it is being streamed
	begun     bool   // a part of it has been sent
	longBytes int    // its part of postgres.longBytes
}

// begin queues a command whose statement has size bytes.
func (session *session) begin(size int) *answer {
	answer := &answer{session: session, size: size}
	session.queue = append(session.queue, answer)
	return answer
}

// finish sends the answer to a command, or keeps it until the earlier ones have been sent. The message is valid during the call.
func (answer *answer) finish(message []byte) {
	session := answer.session
	if answer.done || session.closed || session.leaving {
		return
	}
	answer.done, answer.open = true, false
	session.endFlow(answer)
	defer session.postgres.freeLong(answer.longBytes)
	answer.longBytes = 0
	if session.queue[0] != answer {
		answer.waiting = append(answer.waiting, message...)
		answer.size = len(answer.waiting)
		session.countHeld()
		return
	}
	full := len(session.queue) >= maxQueue
	session.queue = session.queue[1:]
	session.send(message)
	for last := answer.last; !session.closed; {
		if last {
			session.leave()
			return
		}
		if len(session.queue) == 0 || !session.queue[0].done {
			session.flushWaiting()
			break
		}
		next := session.queue[0]
		session.queue = session.queue[1:]
		session.send(next.waiting)
		last = next.last
	}
	if session.closed {
		return
	}
	session.since = session.postgres.loop.Now()
	if len(session.queue) == 0 {
		session.queue = nil
	}
	if full && session.input.Pending() > 0 || session.postgres.stage >= CloseIdle {
		session.proceedIn(0) // by a timer, so that the caller's work is done first
	}
	session.fileByUse()
	session.postgres.byUse[session.use].MoveToBack(session.element)
	session.postgres.closeResting()
}

// Served implements Client.
func (answer *answer) Served(row []byte) {
	answer.finish(pgwire.AppendReady(append(answer.session.output[:0], row...)))
}

// Rejected implements Client.
func (answer *answer) Rejected(retryMs float64) {
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	answer.finish(pgwire.AppendReady(pgwire.AppendError(answer.session.output[:0], "ERROR", codeRefused, "no server can take this now", detail)))
}

// Disconnected implements Departing.
func (answer *answer) Disconnected() bool {
	return answer.session.closed || answer.session.conn.PeerClosed()
}

// RejectedUnfunded implements PrepaidClient. In the platform's protocol it differs from Refused only by its text.
func (answer *answer) RejectedUnfunded(slowed bool, retryMs float64) {
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	answer.finish(pgwire.AppendReady(pgwire.AppendError(answer.session.output[:0], "ERROR", codeRefused, NoCreditMessage(slowed), detail)))
}

// NoCreditMessage returns the text for clients whose tenant has used its prepaid credit.
func NoCreditMessage(slowed bool) string {
	if slowed {
		return "the tenant's prepaid funds run low, this request is among the least"
	}
	return "the tenant's prepaid funds are spent"
}

// Failed implements Client.
func (answer *answer) Failed() {
	answer.finish(appendFailed(answer.session.output[:0]))
}

// appendFailed appends the answer to a request that may have run.
func appendFailed(dst []byte) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", codeFailed, "the request failed; it may have had an effect", ""))
}

// ReceiveStream implements Taker.
func (answer *answer) ReceiveStream() backend.AnswerStream {
	answer.flow = true
	answer.session.postgres.flows++
	return answer
}

// Chunk implements backend.Flow. Until it is the answer's turn, pieces are kept.
func (answer *answer) Chunk(piece []byte) {
	session := answer.session
	switch {
	case session.closed || session.leaving || answer.done:
	case session.queue[0] == answer:
		answer.begun = true
		session.pass(piece)
	default:
		answer.waiting = append(answer.waiting, piece...)
		answer.size = len(answer.waiting)
		session.countHeld()
	}
}

// HasCapacity implements backend.Flow.
func (answer *answer) HasCapacity() bool {
	session := answer.session
	return session.closed || session.queue[0] == answer && session.conn.Unsent() < session.postgres.window()
}

// Ended implements backend.Flow. If a part was sent of an answer that will not be complete, the connection is closed, which is
// how the client can tell.
func (answer *answer) Ended(rest []byte, whole bool) {
	session := answer.session
	switch {
	case whole:
		answer.finish(pgwire.AppendReady(rest))
	case session.closed || answer.done:
	case session.queue[0] == answer:
		session.endFlow(answer)
		session.endFor(endedByBrokenFlow)
		session.leave()
	default: // nothing of it has been sent
		answer.waiting = nil
		answer.Failed()
	}
}

// flushWaiting sends what has been received of the answer whose turn has come.
func (session *session) flushWaiting() {
	if session.closed || len(session.queue) == 0 || len(session.queue[0].waiting) == 0 {
		return
	}
	answer := session.queue[0]
	waiting := answer.waiting
	answer.waiting, answer.size, answer.begun = nil, 0, true
	session.send(waiting)
}

// endFlow ends the streaming of an answer.
func (session *session) endFlow(answer *answer) {
	if answer.flow {
		answer.flow = false
		session.postgres.flows--
	}
}

// arrivals records when bytes arrived: the deadline of a request counts from its last byte, and the request may wait for earlier
// ones before it is handled.
type arrivals struct {
	marks []arrival
	taken int
}

// arrival is the time by which the bytes up to a count had arrived.
type arrival struct {
	upTo int
	at   float64
}

const maxArrivals = 64 // later pieces count as arrived with the last of these

// add records that n more bytes had arrived by then.
func (arrivals *arrivals) add(n int, at float64) {
	if len(arrivals.marks) == 0 {
		arrivals.marks, arrivals.taken = append(arrivals.marks, arrival{n, at}), 0
		return
	}
	last := &arrivals.marks[len(arrivals.marks)-1]
	if last.at == at || len(arrivals.marks) >= maxArrivals {
		last.upTo += n
		return
	}
	arrivals.marks = append(arrivals.marks, arrival{last.upTo + n, at})
}

// take removes the next n bytes and returns when the last of them arrived.
func (arrivals *arrivals) take(n int) float64 {
	arrivals.taken += n
	i := 0
	for i < len(arrivals.marks)-1 && arrivals.marks[i].upTo < arrivals.taken {
		i++
	}
	at := arrivals.marks[i].at
	if arrivals.marks[i].upTo <= arrivals.taken {
		i++
	}
	if arrivals.marks = arrivals.marks[i:]; len(arrivals.marks) == 0 {
		arrivals.marks = nil
	}
	return at
}
