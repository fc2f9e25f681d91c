package platform

import (
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// This file decides how clients are sent away, whether the process drains, stops or hands over. There is one sequence of stages, each of
// which includes those before it. The owner of the frontend sets the stages by its clock; nothing that a client does begins one anew.
// Every connection ends by the last of them, and each command that was read has its answer before.

// DrainStage says how far clients are being sent away.
type DrainStage uint8

const (
	// Serving is the stage in which nobody is sent away.
	Serving DrainStage = iota
	// CloseIdle has connections closed as they become idle. A new connection may still send its first request.
	CloseIdle
	// RefuseCommands has all further commands refused, and new connections told so as they open.
	RefuseCommands
	// EndPartial has messages refused of which only a part has come, and requests answered at once whose client has sent more since
	// RefuseCommands. Other requests keep their time.
	EndPartial
	// CloseActive has connections ended that have nothing under way, or whose clients have sent more since RefuseCommands.
	CloseActive
	// CloseAll has all connections ended that were open at RefuseCommands.
	CloseAll
)

// String returns the stage as the log names it.
func (stage DrainStage) String() string {
	return [...]string{"serve", "close idle", "refuse commands", "end partial", "close active", "close all"}[stage]
}

// leaveMs is the time, in milliseconds, that a client whose connection must end may take to read its last answers.
const leaveMs = 250

// SetDrainStage brings the sending away of clients to a stage. A stage that has been passed is not gone back to.
func (postgres *Postgres) SetDrainStage(stage DrainStage) {
	if stage <= postgres.stage {
		return
	}
	now := postgres.loop.Now()
	if postgres.stage < RefuseCommands && stage >= RefuseCommands {
		postgres.refusingSince = now
	}
	postgres.stage, postgres.stageSince = stage, now
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.sendAway() })
}

// Resume ends the sending away. Connections that are being closed already are closed.
func (postgres *Postgres) Resume() { postgres.stage = Serving }

// sendAway does what the stage demands of the connection.
func (session *session) sendAway() {
	stage := session.postgres.stage
	switch {
	case session.closed || session.conn == nil || stage == Serving:
	case stage >= CloseActive && session.mustEnd():
		session.giveUp()
	case stage >= EndPartial && session.sendsOn() && !session.ended:
		session.hasten()
		session.leaveIfIdle()
	default:
		session.leaveIfIdle()
	}
}

// mustEnd reports whether the connection has no time left, from CloseActive on.
func (session *session) mustEnd() bool {
	switch {
	case session.shut: // it is closed lingerMs after that
		return false
	case session.postgres.stage >= CloseAll && session.opened <= session.postgres.refusingSince:
		return true
	case session.hasFlow():
		return false
	case len(session.queue) > 0 || session.conn.Unsent() > 0:
		return session.sendsOn()
	}
	return true
}

// sendsOn reports whether the client has sent something since commands are refused, or something that is not handled yet.
func (session *session) sendsOn() bool {
	return session.lastData > session.postgres.refusingSince || session.input.Pending() > 0
}

// hasFlow reports whether an answer is being streamed to the client.
func (session *session) hasFlow() bool {
	for _, answer := range session.queue {
		if answer.flow {
			return true
		}
	}
	return false
}

// hasten has the open requests answered now.
func (session *session) hasten() {
	now := session.postgres.loop.Now()
	for _, answer := range session.queue {
		if answer.open {
			session.postgres.desk.AnswerBy(answer.ref, now)
		}
	}
}

// giveUp answers whatever was read and has no answer, and ends the connection. A client that does not read its last answers within leaveMs
// is disconnected.
func (session *session) giveUp() {
	session.endFor(endedByDrain)
	if session.leaving {
		if session.postgres.loop.Now()-session.since >= leaveMs {
			session.conn.Close()
		}
		return
	}
	if begun := len(session.queue) > 0 && session.queue[0].begun; !begun { // nothing can follow a part of an answer
		session.send(session.lastWords())
	}
	session.leave()
}

// lastWords returns the answers to all commands that were read, and an error for a message of which only a part was.
func (session *session) lastWords() []byte {
	words := session.lastAnswers()
	if session.input.Pending() > 0 {
		words = pgwire.AppendError(words, "FATAL", codeClosed, errSentAway.Error(), "")
	}
	return words
}
