package platform

import (
	"beechgrade/internal/metrics/exposition"
)

// endReason says why a client's connection ended.
type endReason uint8

const (
	endedByClient     endReason = iota // it closed the connection, or its network did
	endedByDrain                       // clients are being sent away
	endedByIdleness                    // it asked nothing for long
	endedByStartup                     // its startup message was not complete in time
	endedByMessage                     // a message that it had begun was not complete in time
	endedByNotReading                  // it read none of its answers
	endedByRoom                        // its descriptor was needed, or none was left for it
	endedByMemory                      // it held too much memory, or sent too much ahead
	endedByProtocol                    // it sent what is no message
	endedByBrokenFlow                  // an answer that was being passed on broke off
	endReasons
)

var endReasonNames = [endReasons]string{"client", "drain", "idle", "startup", "message", "not_reading", "room", "memory", "protocol", "broken_flow"}

// String returns the reason as figures and the log name it.
func (reason endReason) String() string { return endReasonNames[reason] }

// endFor records why the connection ends; the first reason counts.
func (session *session) endFor(reason endReason) {
	if session.reason == endedByClient {
		session.reason = reason
	}
}

// countEnd counts and logs the end of the connection.
func (session *session) countEnd() {
	postgres, unsent := session.postgres, 0
	if session.conn != nil { // nil where it was accepted and could not be enrolled
		unsent = session.conn.Unsent()
	}
	postgres.ended[session.reason]++
	postgres.log.Debug("client connection ended", "session", session.ref.Index, "generation", session.ref.Gen, "reason", session.reason.String(),
		"ms", postgres.loop.Now()-session.opened, "commands", session.commands, "refused_for_drain", session.refusedForDrain,
		"unanswered", len(session.queue), "unsent_bytes", unsent)
}

// WriteFigures writes the number of connections, of those that ended by the reason, and of commands refused in drains.
func (postgres *Postgres) WriteFigures(figures *exposition.Snapshot) {
	clients := figures.Scope("clients")
	clients.IntGauge("connected", int64(postgres.sessions.Len()))
	clients.IntGauge("halfway", int64(postgres.byUse[halfway].Len()))
	clients.IntGauge("leaving", int64(postgres.byUse[leaving].Len()))
	clients.Counter("refused_for_drain", postgres.refusedForDrain)
	for reason, count := range postgres.ended {
		clients.Label("reason", endReason(reason).String()).Counter("ended", count)
	}
}
