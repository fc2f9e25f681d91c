package platform

import (
	"math"
	"slices"
	"strconv"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// answer is an entry of a session's queue, one for each command: answers are sent in the order of the commands. It is the Client of the
// command's request.
type answer struct {
	session          *session
	requestRef       slotmap.Ref // valid while open
	open             bool        // the request is submitted and not answered yet
	done             bool
	statementBytes   int         // that its request holds while it is open
	size             int         // bytes that it holds besides
	waiting          []byte      // output that waits for earlier answers
	closesConnection bool        // the connection ends after it
	stream           *stream     // while it is streamed
	partlySent       bool        // the client was sent a part of it, and waits for the rest
	reservation      reservation // of a long statement, until it is answered
}

// queueAnswer queues a command whose request holds so many bytes.
func (session *session) queueAnswer(statementBytes int) *answer {
	answer := &answer{session: session, statementBytes: statementBytes}
	session.statementBytes += statementBytes
	answer.setSize()
	session.queue = append(session.queue, answer)
	return answer
}

// setSize records how many bytes the answer holds.
func (answer *answer) setSize() {
	size := answerBytes + cap(answer.waiting)
	answer.session.queuedBytes += size - answer.size
	answer.size = size
}

// releaseStatement records that the request has ended.
func (answer *answer) releaseStatement() {
	answer.session.statementBytes -= answer.statementBytes
	answer.statementBytes = 0
	answer.session.reservedStatementBytes -= answer.reservation.bytes
	answer.reservation.release()
}

// removeFirst removes the first answer from the queue.
func (session *session) removeFirst() {
	session.queuedBytes -= session.queue[0].size
	session.queue[0] = nil
	session.queue = session.queue[1:]
}

// finish sends the answer to a command, or keeps it until the earlier ones have been sent. The message is valid during the call.
func (answer *answer) finish(message []byte) {
	session := answer.session
	if answer.done || session.closed || session.closing {
		return
	}
	answer.done = true
	answer.open = false
	collected := session.endStream(answer)
	defer session.countBuffered()
	answer.releaseStatement()
	if answer.mustFail(len(message)) {
		session.postgres.failedForMemory++
		message = appendFailure(nil)
	}
	if session.queue[0] != answer {
		answer.wait(message)
		return
	}
	commandsWaited := len(session.queue) >= maxPipelined || answer.partlySent
	session.removeFirst()
	session.sendCollected(answer.waiting, collected)
	session.send(message)
	if answer.closesConnection && !session.closed {
		session.close()
		return
	}
	if session.sendFinished() {
		session.afterAnswers(commandsWaited)
	}
}

// wait keeps output until the earlier answers have been sent.
func (answer *answer) wait(message []byte) {
	answer.waiting = append(slices.Grow(answer.waiting, len(message)), message...)
	answer.setSize()
	answer.session.countBuffered()
}

// sendFinished sends the finished answers up to the first unfinished one, and the part of that one that has been received. It reports
// whether the connection stays open.
func (session *session) sendFinished() bool {
	for !session.closed && len(session.queue) > 0 && session.queue[0].done {
		next := session.queue[0]
		session.removeFirst()
		session.send(next.waiting)
		if next.closesConnection && !session.closed {
			session.close()
			return false
		}
	}
	session.flushWaiting()
	return !session.closed
}

// afterAnswers schedules the handling of further commands after answers have been sent, for which they may have had to wait.
func (session *session) afterAnswers(commandsWaited bool) {
	session.stateSince = session.postgres.eventLoop.Now()
	if len(session.queue) == 0 {
		session.queue = nil
	}
	if commandsWaited && session.input.Pending() > 0 || session.postgres.stage >= CloseIdle {
		session.proceedIn(0) // by a timer, so that the caller finishes first
	}
	session.updateClass()
	session.postgres.byClass[session.class].MoveToBack(session.classElement)
	session.postgres.evictIdle()
}

// Served implements Client.
func (answer *answer) Served(row []byte) {
	answer.finish(pgwire.AppendReady(append(answer.session.postgres.scratch(), row...)))
}

// Rejected implements Client.
func (answer *answer) Rejected(retryMs float64) {
	answer.reject("no server can take this now", retryMs)
}

// RejectedUnfunded implements PrepaidClient. In the platform's protocol it differs from Rejected only by its text.
func (answer *answer) RejectedUnfunded(slowed bool, retryMs float64) {
	answer.reject(NoCreditMessage(slowed), retryMs)
}

// reject answers that the request did not run. The error's detail holds retryMs, rounded up, unless retryMs is 0.
func (answer *answer) reject(text string, retryMs float64) {
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	answer.finish(pgwire.AppendReady(pgwire.AppendError(answer.session.postgres.scratch(), "ERROR", codeRejected, text, detail)))
}

// NoCreditMessage returns the text for clients whose tenant has used up its prepaid credit, or is running low on it if slowed.
func NoCreditMessage(slowed bool) string {
	if slowed {
		return "the tenant's prepaid funds run low, this request is among the least"
	}
	return "the tenant's prepaid funds are spent"
}

// Failed implements Client.
func (answer *answer) Failed() {
	answer.finish(appendFailure(answer.session.postgres.scratch()))
}

// appendFailure appends the answer to a request that may have run.
func appendFailure(dst []byte) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", codeFailed, "the request failed; it may have had an effect", ""))
}

// Disconnected implements Disconnectable.
func (answer *answer) Disconnected() bool {
	return answer.session.closed || answer.session.conn.PeerClosed()
}
