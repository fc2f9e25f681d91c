package platform

import (
	"beechgrade/internal/protocol/pgwire"
)

// This file holds the one procedure by which the pooler itself ends a client's connection:
//
//  1. no more commands are taken (ended), and each one that was read has its answer;
//  2. no more answers follow (leaving), and those that are buffered are flushed;
//  3. the write side is shut (shut), and what still comes is read and dropped, until the client closes or for lingerMs;
//  4. the descriptor is closed.
//
// A close over unread bytes is a reset, which may overtake the last answers: hence step 3.

// leaveIfIdle ends a connection on which nothing is owed and nothing is unread.
func (session *session) leaveIfIdle() {
	switch {
	case session.closed, session.ended, session.conn == nil, len(session.queue) > 0:
	case session.postgres.stage >= EndPartial && session.input.Pending() > 0 && (session.conn.OpenAndIdle() || session.conn.ReadingPaused()):
		session.fatal(endedByDrain, codeClosed, errSentAway.Error())
	case session.input.Pending() > 0, session.fresh(), !session.conn.OpenAndIdle():
	case session.postgres.stage >= EndPartial, session.idle():
		session.endFor(endedByDrain)
		session.leave()
	}
}

// fresh reports whether the client has connected so recently that its first request is probably on its way; closing now would
// leave that unanswered. This grace counts from the connection's startup and ends with its first request, also with one that is refused:
// nothing that the client sends begins it anew.
func (session *session) fresh() bool {
	return !session.asked && session.postgres.stage < EndPartial && session.postgres.loop.Now() < session.graceEnds
}

// fatal ends the connection with an error message.
func (session *session) fatal(reason endReason, code, text string) {
	if !session.closed && !session.ended {
		session.endFor(reason)
		session.end(pgwire.AppendError(session.output[:0], "FATAL", code, text, ""))
	}
}

// end accepts no more commands, and ends the connection after the answers to those accepted and a last message.
func (session *session) end(report []byte) {
	session.ended = true
	session.input.Reset()
	session.postgres.freeLong(session.longBytes)
	session.longBytes = 0
	session.arrived = arrivals{}
	answer := session.begin(0)
	answer.last = true
	answer.finish(report)
}

// leave ends a connection to which nothing more will be written.
func (session *session) leave() {
	if session.closed || session.leaving {
		return
	}
	session.ended, session.leaving, session.since = true, true, session.postgres.loop.Now()
	session.postgres.loop.StopTimer(session.recheckTimer)
	session.input.Reset()
	session.abandon()
	session.shutOnceFlushed()
	session.fileByUse()
}

// shutOnceFlushed shuts the write side once all output has been given to the socket, and closes the connection lingerMs later.
func (session *session) shutOnceFlushed() {
	eventLoop := session.postgres.loop
	switch {
	case session.closed:
	case session.conn.ReadingPaused(): // the loop does not read from it; Close sends what is buffered
		session.conn.Close()
	case session.conn.Unsent() > 0: // sweep disconnects a client that reads nothing
		session.recheckTimer = eventLoop.At(eventLoop.Now()+recheckMs, session.shutOnceFlushed)
	case session.conn.CloseWrite() != nil:
		session.conn.Close()
	default:
		session.shut, session.since = true, eventLoop.Now()
		session.recheckTimer = eventLoop.At(eventLoop.Now()+lingerMs, session.conn.Close)
		session.fileByUse()
	}
}

// lastAnswers returns the answers owed to a client whose connection ends, because it closed the connection, or only its write
// side, which looks the same, or because the pooler can wait no longer. Its requests are called off, so these answers promise
// nothing.
func (session *session) lastAnswers() (out []byte) {
	for _, answer := range session.queue {
		switch {
		case answer.begun: // nothing can follow a partial answer
			return nil
		case answer.done:
			out = append(out, answer.waiting...)
		default:
			out = appendFailed(out)
		}
	}
	if session.ended || !session.started {
		return out
	}
	for message, ok, err := session.input.Next(); ok && err == nil; message, ok, err = session.input.Next() {
		if message.Type == 'Q' { // it was never handled
			out = pgwire.AppendReady(pgwire.AppendError(out, "ERROR", codeRefused, "the connection ends", ""))
		}
	}
	return out
}

// abandon ends the open requests of a client that will not receive their answers.
func (session *session) abandon() {
	queue := session.queue
	session.queue = nil
	for _, answer := range queue {
		session.endFlow(answer)
		session.postgres.freeLong(answer.longBytes)
		answer.longBytes = 0
		if answer.open {
			answer.open = false
			session.postgres.desk.Abandon(answer.ref)
		}
	}
	session.countHeld()
}

// Closed implements loop.Handler. It is called before the descriptor is closed, so that last answers can still be sent.
func (session *session) Closed(error) {
	if session.closed {
		return
	}
	if out := session.lastAnswers(); len(out) > 0 {
		_ = session.conn.Write(out) // the client may be gone
	}
	session.closed = true
	session.countEnd()
	session.postgres.sessions.Remove(session.ref)
	session.postgres.loop.StopTimer(session.recheckTimer)
	session.fileByUse()
	session.postgres.freeLong(session.longBytes)
	session.longBytes = 0
	session.abandon()
}
