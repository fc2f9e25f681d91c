package platform

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/memory"
)

// proceed handles the commands that have been received. A command does not wait for the answers to earlier ones, but its own
// answer does.
func (session *session) proceed() {
	defer session.updateClass()
	session.conn.Cork()
	defer session.conn.Uncork()
	for !session.closed && !session.noMoreCommands {
		mustWait := session.mustWait() || session.mayHideClose()
		session.rejectNext = session.makesRoom || mustWait && session.exceedsInputLimit()
		if session.rejectNext && session.exceedsAnswerLimit() {
			session.endWithError(endedByMemory, codeProtocol, "too much sent ahead of the answers")
			return
		}
		if mustWait && !session.rejectNext {
			break
		}
		if session.postgres.eventLoop.TurnOver() {
			session.continueLater()
			return
		}
		more, err := session.step()
		if err != nil {
			session.endWithError(endedByProtocol, codeProtocol, err.Error())
			return
		}
		if !more {
			break
		}
	}
	if session.closed || session.noMoreCommands {
		return
	}
	if session.makesRoom && session.nothingUnread() {
		session.endWithError(endedByNoDescriptor, codeRejected, errTooMany.Error())
		return
	}
	session.recheckOrDrain()
}

// continueLater leaves the rest of the input to the next turn.
func (session *session) continueLater() {
	if !session.continues {
		session.continues = true
		session.unreadInput.sampledAt = session.lastDataAt
	}
	session.conn.ContinueLater(session.continueInput)
}

// continueInput handles more of the input. Once nothing is left of it, reading resumes: what has come meanwhile counts from when reading
// stopped.
func (session *session) continueInput() {
	session.proceed()
	if session.closed || session.conn.Continues() {
		return
	}
	session.continues = false
	session.unreadInput.resumeAfterTurns(session.conn.Unread(), session.postgres.eventLoop.Now())
	session.reserveMemory()
	session.input.Retain(session.reservation.bytes)
	session.limitReads()
	session.countBuffered()
	session.postgres.enforceMemoryLimit()
}

// limitReads sets how much is read at once: the rest of a message that memory is reserved for, without what follows it, and little where memory is
// short, as what was read of an incomplete message is held.
func (session *session) limitReads() {
	rest := session.reservation.bytes - session.input.Pending()
	switch {
	case session.reservation.bytes > 0 && rest > 0:
		session.readLimit = min(eventloop.LargestRead, rest)
	case session.makesRoom: // what is read is not kept
		session.readLimit = eventloop.LargestRead
	case !session.hasRequested, session.postgres.account.Level() >= memory.HoldReading:
		session.readLimit = freeBytes
	default:
		session.readLimit = eventloop.SmallReads
	}
	session.conn.LimitReads(session.readLimit)
}

// recheckOrDrain schedules proceed if the next command waits for the client to read its answers, or for more of its input, and otherwise
// applies the drain stage.
func (session *session) recheckOrDrain() {
	draining := session.postgres.stage >= CloseIdle
	notReading := session.started && session.conn.Unsent() > maxUnsent
	awaitsReading := notReading && (session.input.Pending() > 0 || draining)
	mayDrain := draining && (session.started || session.postgres.stage >= EndPartial)
	switch {
	case awaitsReading, session.mayHideClose():
		session.proceedIn(recheckMs)
	case mayDrain:
		session.applyDrainStage()
	}
}

// mustWait reports whether the next command must wait, for earlier answers or for the client to read them.
func (session *session) mustWait() bool {
	if session.postgres.account.Level() >= memory.RejectWork && session.holdsMuch() {
		return true // so that it is rejected
	}
	return len(session.queue) >= maxPipelined || session.isForwarding() || session.started && session.conn.Unsent() > maxUnsent
}

// exceedsInputLimit reports whether too much input is waiting, from this client or from all, so that the next command is rejected in
// its turn.
func (session *session) exceedsInputLimit() bool {
	if session.waitsForMemory {
		return false
	}
	tooMuch := session.input.Pending() > maxPipelinedBytes+session.reservation.bytes
	level := session.postgres.account.Level()
	short := level >= memory.RejectWork || level >= memory.HoldReading && session.mayHideClose()
	return tooMuch || short && session.holdsMuch()
}

// mayHideClose reports whether the client has sent so far ahead that a close of its connection may still be in its own system, behind what
// does not fit into the socket. Commands are not submitted then, until all input is read and no more follows: they could be sent to
// servers long after the client has gone.
func (session *session) mayHideClose() bool {
	ahead := session.input.Pending() - session.reservation.bytes
	switch {
	case !session.started:
		return false
	case ahead > eventloop.SmallReads: // more than is read at once
		return session.conn.Unread() > 0 || session.postgres.eventLoop.Now()-session.lastDataAt < backlogGapMs
	}
	return session.readFully && session.conn.Unread() > 0
}

// exceedsAnswerLimit reports whether too many answers are waiting, or the client reads none.
func (session *session) exceedsAnswerLimit() bool {
	unanswered, unsent := maxUnanswered, maxPipelinedBytes
	if session.postgres.account.Level() >= memory.RejectWork {
		unanswered, unsent = shortUnanswered, shortUnsent
	}
	return len(session.queue) >= unanswered || session.conn.Unsent() > unsent
}

// proceedIn schedules proceed, in place of any call that was scheduled before.
func (session *session) proceedIn(ms float64) {
	loop := session.postgres.eventLoop
	loop.StopTimer(session.recheckTimer)
	session.recheckTimer = loop.At(loop.Now()+ms, session.proceed)
}
