package pooling

import (
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/protocol/pgwire"
)

// This file decides whether a server connection is clean: whether the next statement on it, of any client, can only be answered by its own answer.
// A connection is checked when it is released, when it is assigned, and before each statement that a client sends on the one it keeps.

// isResting reports whether no answer is outstanding on an open connection.
func (l *link) isResting() bool { return l.ready && !l.closed && len(l.expected) == 0 }

// clean reports whether a statement may be sent on the connection, on which nothing is outstanding. Messages that a server may send at any time
// are handled first, if they wait in the socket. The caller closes a connection that is not clean.
func (l *link) clean() bool {
	if l.closed {
		return false
	}
	reason := reuse.Check(len(l.expected), l.input.Pending(), l.conn)
	if reason == reuse.Socket {
		l.conn.ReadNow()
		if l.closed {
			return false
		}
		reason = reuse.Check(len(l.expected), l.input.Pending(), l.conn)
	}
	if reason != reuse.Clean {
		l.logDropped(reason)
	}
	return reason == reuse.Clean
}

// logDropped counts and logs that the connection is not used again.
func (l *link) logDropped(reason reuse.Reason) {
	l.frontend.Counts.Dropped[reason]++
	l.frontend.log.Warn("pooling: server connection is not clean, closing it", "server", l.serverID, "reason", reason.String(),
		"pending_bytes", l.input.Pending(), "answers_expected", len(l.expected))
}

// closeIfUnsolicited closes a connection on which the server has sent a message that belongs to no answer, and reports whether it did. Parameters,
// notices and notifications may come at any time, and an error that ends the session too.
func (l *link) closeIfUnsolicited(m pgwire.Message) bool {
	switch m.Type {
	case pgwire.ParameterStatus, pgwire.NoticeResponse, pgwire.NotificationResponse:
		return false
	case pgwire.ErrorResponse:
		if l.owner != nil && pgwire.EndsSession(m.Body) {
			return false
		}
	}
	l.frontend.Counts.Dropped[reuse.Input]++
	l.frontend.log.Warn("pooling: server sent data without a request, closing the connection", "server", l.serverID, "type", string(m.Type))
	l.close()
	return true
}

// checkKept checks the connection that a client keeps, before a statement is sent on it. If it is not clean, it is closed, which ends the
// client's session if that depends on it. It reports whether the connection may be used.
func (c *client) checkKept() bool {
	l := c.link
	if c.replaying || !l.isResting() {
		return true
	}
	c.resumeServer()
	if l.clean() {
		return true
	}
	l.close()
	return false
}
