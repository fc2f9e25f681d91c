package platform

import (
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// This file decides how clients are disconnected when the process drains, stops or hands over to another. There is one sequence of
// stages, each of which includes those before it. The owner of the frontend sets the stages by its clock; nothing that a client does
// restarts a stage. Every connection ends in the last stage at the latest, after each command that was read has been answered.

// DrainStage is how far clients are being disconnected.
type DrainStage uint8

const (
	// Serving is the stage in which nobody is disconnected.
	Serving DrainStage = iota
	// CloseIdle closes connections as they become idle. A new connection may still send its first request.
	CloseIdle
	// RefuseCommands rejects all further commands, and new connections as they open.
	RefuseCommands
	// EndPartial rejects messages of which only a part has arrived, and answers at once the requests whose client has sent more
	// since RefuseCommands. Other requests keep their deadlines.
	EndPartial
	// CloseActive ends connections on which no answer is outstanding, or whose clients have sent more since RefuseCommands.
	CloseActive
	// CloseAll ends all connections that were open at RefuseCommands.
	CloseAll
)

// String returns the stage as the log names it.
func (stage DrainStage) String() string {
	return [...]string{"serve", "close idle", "refuse commands", "end partial", "close active", "close all"}[stage]
}

// SetDrainStage advances the drain to a stage. It does nothing if the drain is in that stage or a later one.
func (postgres *Postgres) SetDrainStage(stage DrainStage) {
	if stage <= postgres.stage {
		return
	}
	now := postgres.eventLoop.Now()
	if postgres.stage < RefuseCommands && stage >= RefuseCommands {
		postgres.rejectingSince = now
	}
	postgres.stage = stage
	postgres.stageSince = now
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.applyDrainStage() })
}

// Resume ends the drain. The closing of connections that has begun continues.
func (postgres *Postgres) Resume() { postgres.stage = Serving }

// applyDrainStage ends the connection or its requests as the current stage requires.
func (session *session) applyDrainStage() {
	stage := session.postgres.stage
	switch {
	case session.closed || session.conn == nil || stage == Serving:
	case stage >= CloseActive && session.mustEnd():
		session.endNow()
	case stage >= EndPartial && session.hasSentSinceRejecting() && !session.noMoreCommands:
		session.answerNow()
		session.closeIfIdle()
	default:
		session.closeIfIdle()
	}
}

// mustEnd reports whether the connection must end now, from CloseActive on.
func (session *session) mustEnd() bool {
	switch {
	case session.writeClosed: // the connection is closed lingerMs after that
		return false
	case session.postgres.stage >= CloseAll && session.openedAt <= session.postgres.rejectingSince:
		return true
	case session.isStreaming():
		return false
	case len(session.queue) > 0 || session.conn.Unsent() > 0:
		return session.hasSentSinceRejecting()
	}
	return true
}

// hasSentSinceRejecting reports whether the client has sent anything since commands began to be rejected, or has input that is not
// handled yet.
func (session *session) hasSentSinceRejecting() bool {
	return session.lastDataAt > session.postgres.rejectingSince || session.input.Pending() > 0
}

// answerNow asks the dispatcher to answer the open requests now.
func (session *session) answerNow() {
	now := session.postgres.eventLoop.Now()
	for _, answer := range session.queue {
		if answer.open {
			session.postgres.dispatcher.AnswerBy(answer.requestRef, now)
		}
	}
}

// endNow answers all commands that were read and have no answer, and ends the connection. A client that does not read its last answers
// within finalReadMs is disconnected.
func (session *session) endNow() {
	session.setEndReason(endedByDrain)
	if session.closing {
		if session.postgres.eventLoop.Now()-session.stateSince >= finalReadMs {
			session.conn.Close()
		}
		return
	}
	partlySent := len(session.queue) > 0 && session.queue[0].partlySent
	if !partlySent { // nothing can follow a part of an answer
		session.send(session.finalAnswers())
	}
	session.close()
}

// finalAnswers returns the answers to all commands that were read, and an error for a message of which only a part was read.
func (session *session) finalAnswers() []byte {
	answers := session.outstandingAnswers()
	if session.input.Pending() > 0 {
		answers = pgwire.AppendError(answers, "FATAL", codeClosed, errDraining.Error(), "")
	}
	return answers
}
