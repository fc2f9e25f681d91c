package platform

import (
	"beechgrade/internal/protocol/pgwire"
)

// This file holds the one procedure by which the pooler itself ends a client's connection:
//
//  1. no more commands are accepted (noMoreCommands), and each one that was read has its answer;
//  2. no more answers follow (closing), and those that are buffered are flushed;
//  3. the write side is shut down (writeClosed), and further input is read and dropped, until the client closes or for lingerMs;
//  4. the descriptor is closed.
//
// Closing a socket with unread bytes resets the connection, and the reset may overtake the last answers: hence step 3.

// closeIfIdle ends a connection, as the drain stage requires, if no answer is outstanding and no input is unread.
func (session *session) closeIfIdle() {
	if session.closed || session.noMoreCommands {
		return
	}
	if session.conn == nil || len(session.queue) > 0 {
		return
	}
	endPartial := session.postgres.stage >= EndPartial
	if session.input.Pending() > 0 {
		if endPartial && session.nothingUnread() && !session.mayHideClose() { // otherwise there may be commands among it
			session.endWithError(endedByDrain, codeClosed, errDraining.Error())
		}
		return
	}
	if session.awaitsFirstRequest() || !session.conn.OpenAndIdle() {
		return
	}
	if endPartial || session.isIdle() {
		session.setEndReason(endedByDrain)
		session.close()
	}
}

// nothingUnread reports whether the socket holds no bytes that the loop would read now.
func (session *session) nothingUnread() bool {
	return session.conn.OpenAndIdle() || session.conn.ReadingPaused() && !session.conn.Continues()
}

// awaitsFirstRequest reports whether the client has connected so recently that its first request is probably on its way; closing now
// would leave that request unanswered. This grace period counts from the connection's startup and ends with its first request, even a
// rejected one: nothing that the client sends restarts it.
func (session *session) awaitsFirstRequest() bool {
	if session.hasRequested || session.postgres.stage >= EndPartial {
		return false
	}
	return session.postgres.eventLoop.Now() < session.graceEnds
}

// endWithError ends the connection with an error message.
func (session *session) endWithError(reason endReason, code, text string) {
	if !session.closed && !session.noMoreCommands {
		session.setEndReason(reason)
		session.endAfterAnswers(pgwire.AppendError(session.postgres.scratch(), "FATAL", code, text, ""))
	}
}

// endAfterAnswers accepts no more commands, and ends the connection after the answers to those accepted and a last message.
func (session *session) endAfterAnswers(lastMessage []byte) {
	session.noMoreCommands = true
	session.input.Reset()
	session.stopWaitingForMemory()
	session.reservation.release()
	session.arrivalTimes = arrivalTimes{}
	answer := session.queueAnswer(0)
	answer.closesConnection = true
	answer.finish(lastMessage)
}

// close ends a connection on which nothing more will be written.
func (session *session) close() {
	if session.closed || session.closing {
		return
	}
	session.noMoreCommands = true
	session.closing = true
	session.postgres.eventLoop.StopTimer(session.recheckTimer)
	session.input.Reset()
	session.abandonRequests()
	session.closeWriteOnceFlushed() // before anything that takes time: what arrives after the check for unread input has no answer
	if !session.closed && !session.writeClosed {
		session.stateSince = session.postgres.eventLoop.Now()
	}
	session.updateClass()
}

// closeWriteOnceFlushed shuts down the write side once all output has been given to the socket, and closes the connection lingerMs later.
func (session *session) closeWriteOnceFlushed() {
	loop := session.postgres.eventLoop
	_ = session.conn.Flush() // a failed write closes the connection
	switch {
	case session.closed:
	case session.conn.ReadingPaused(): // Close sends the buffered output
		session.conn.Close()
	case session.conn.Unsent() > 0: // sweep disconnects a client that reads nothing
		session.recheckTimer = loop.At(loop.Now()+recheckMs, session.closeWriteOnceFlushed)
	case session.conn.CloseWrite() != nil:
		session.conn.Close()
	default:
		session.writeClosed = true
		session.stateSince = loop.Now()
		session.recheckTimer = loop.At(loop.Now()+lingerMs, session.conn.Close)
		session.updateClass()
	}
}

// outstandingAnswers returns the answers that are outstanding when a connection ends: because its client closed it, or only its write
// side, which cannot be distinguished, or because the drain must end it. The requests are abandoned, so each open one is answered as one
// that may have run.
func (session *session) outstandingAnswers() (out []byte) {
	for _, answer := range session.queue {
		switch {
		case answer.partlySent: // nothing can follow a partial answer
			return nil
		case answer.done:
			out = append(out, answer.waiting...)
		default:
			out = appendFailure(out)
		}
	}
	if session.noMoreCommands || !session.started {
		return out
	}
	for message, ok, err := session.input.Next(); ok && err == nil; message, ok, err = session.input.Next() {
		if message.Type == pgwire.Query { // the command was never handled
			out = pgwire.AppendReady(pgwire.AppendError(out, "ERROR", codeRejected, "the connection ends", ""))
		}
	}
	return out
}

// abandonRequests ends the open requests of a client that will not receive their answers.
func (session *session) abandonRequests() {
	queue := session.queue
	session.queue = nil
	session.queuedBytes = 0
	for _, answer := range queue {
		collected := session.endStream(answer)
		collected.release()
		answer.releaseStatement()
		if answer.open {
			answer.open = false
			session.postgres.dispatcher.Abandon(answer.requestRef)
		}
	}
	session.countBuffered()
}

// Closed implements eventloop.Handler. It is called before the descriptor is closed, so the last answers can still be sent.
func (session *session) Closed(error) {
	if session.closed {
		return
	}
	if out := session.outstandingAnswers(); len(out) > 0 {
		_ = session.conn.Write(out) // the client may not read any more
	}
	session.closed = true
	session.countEnd()
	session.postgres.sessions.Remove(session.ref)
	session.postgres.eventLoop.StopTimer(session.recheckTimer)
	session.updateClass()
	session.stopWaitingForMemory()
	session.postgres.account.AddClients(-1)
	session.input.Reset()
	session.reservation.release()
	session.abandonRequests()
}

// PeerEnded implements eventloop.HangUpHandler. A client that sends no more is treated as one that has gone, as when its input is read.
func (session *session) PeerEnded() { session.conn.Close() }
