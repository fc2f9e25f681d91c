package platform

import (
	"context"
	"log/slog"

	"beechgrade/internal/metrics/exposition"
)

// endReason is why a client's connection ended.
type endReason uint8

const (
	endedByClient       endReason = iota // the client or its network closed the connection
	endedByDrain                         // clients are being disconnected
	endedByIdleness                      // it was idle for too long
	endedByStartup                       // its startup message was not complete in time
	endedByMessage                       // a message that it had begun was not complete in time
	endedByNotReading                    // it did not read its answers
	endedByNoDescriptor                  // its descriptor was needed, or none was left for it
	endedByMemory                        // it took too much memory, or sent too much ahead
	endedByProtocol                      // it sent an invalid message
	endedByBrokenStream                  // an answer that was being streamed broke off
	endReasonCount
)

// endReasonNames are the names of the reasons in metrics and in the log.
var endReasonNames = [endReasonCount]string{
	endedByClient:       "client",
	endedByDrain:        "drain",
	endedByIdleness:     "idle",
	endedByStartup:      "startup",
	endedByMessage:      "message",
	endedByNotReading:   "not_reading",
	endedByNoDescriptor: "room",
	endedByMemory:       "memory",
	endedByProtocol:     "protocol",
	endedByBrokenStream: "broken_flow",
}

// String returns the reason as metrics and the log name it.
func (reason endReason) String() string { return endReasonNames[reason] }

// setEndReason records why the connection ends; the first reason counts.
func (session *session) setEndReason(reason endReason) {
	if session.reason == endedByClient {
		session.reason = reason
	}
}

// countEnd counts and logs the end of the connection.
func (session *session) countEnd() {
	postgres := session.postgres
	postgres.endedByReason[session.reason]++
	unanswered := len(session.queue)
	postgres.unanswered[session.reason] += uint64(unanswered)
	level := slog.LevelDebug
	if unanswered > 0 && session.reason != endedByClient && postgres.logsUnanswered() {
		level = slog.LevelWarn
	}
	postgres.log.Log(context.Background(), level, "client connection ended", "session", session.ref.Index, "generation", session.ref.Gen, "reason", session.reason.String(),
		"ms", postgres.eventLoop.Now()-session.openedAt, "commands", session.commands, "rejected_for_drain", session.rejectedForDrain,
		"unanswered", unanswered, "unsent_bytes", session.unsent())
}

// unansweredLogMs is the time between two lines of the log about commands without an answer.
const unansweredLogMs = 1000

// logsUnanswered reports whether a line may be logged about commands without an answer.
func (postgres *Postgres) logsUnanswered() bool {
	now := postgres.eventLoop.Now()
	if now < postgres.nextUnansweredLog {
		return false
	}
	postgres.nextUnansweredLog = now + unansweredLogMs
	return true
}

// WriteMetrics writes the numbers of connections, of connections that ended by reason, and of commands rejected in drains.
func (postgres *Postgres) WriteMetrics(snapshot *exposition.Snapshot) {
	clients := snapshot.Scope("clients")
	clients.IntGauge("connected", int64(postgres.sessions.Len()))
	clients.IntGauge("halfway", int64(postgres.byClass[midMessage].Len()))
	clients.IntGauge("leaving", int64(postgres.byClass[closing].Len()))
	clients.Counter("refused_for_drain", postgres.rejectedForDrain)
	memory := snapshot.Scope("memory")
	memory.Counter("refused_clients", postgres.refusedForMemory)
	memory.Counter("refused_requests", postgres.rejectedForMemory)
	memory.Counter("failed_answers", postgres.failedForMemory)
	memory.Counter("reclaimed", postgres.releases)
	for reason, count := range postgres.endedByReason {
		clients.Label("reason", endReason(reason).String()).Counter("ended", count)
		clients.Label("reason", endReason(reason).String()).Counter("unanswered", postgres.unanswered[reason])
	}
}
