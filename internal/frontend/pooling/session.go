package pooling

import (
	"fmt"

	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// This file decides what of a client's session may meet another connection, and what of a server's session may meet another client. The pooler
// knows what the texts of statements say; it cannot know what code of the database leaves behind. So a connection of a pool by session
// serves one client, and a session of such a pool that has run code of the database ends with its connection.

// opaqueState names, in errors, what binds a session in which code of the database has run.
const opaqueState = "what functions may have left in the session"

// boundBy returns what binds the client's session to its server connection, as errors name it; empty if another connection can be given all of
// the session's state.
func (c *client) boundBy() string {
	if c.state.Sticky != 0 {
		return c.state.Sticky.String()
	}
	if c.pool.options.Mode == Session && c.state.Opaque {
		return opaqueState
	}
	return ""
}

// hasUnknownSettings reports whether settings of the session may be in force that the pooler cannot give to another connection.
func (c *client) hasUnknownSettings() bool {
	const unknown = sqltext.StickyUnknownSetting | sqltext.StickyUnknownText
	return c.state.Sticky&unknown != 0 || c.pool.options.Mode == Session && c.state.Opaque
}

// canMigrate reports whether the next transaction of the session may run on another connection as a matter of course.
func (c *client) canMigrate() bool { return c.pool.options.Mode == Transaction && c.boundBy() == "" }

// endBound ends a session whose connection is lost, and with it the state that bound the session to it.
func (c *client) endBound(bound string) {
	c.endWithError(codeShutdown, fmt.Sprintf("the server connection ended, and with it %s", bound))
}

// endDraining ends a session whose server is draining, because its state cannot be given to another connection.
func (c *client) endDraining(bound string) {
	c.endWithError(codeShutdown, fmt.Sprintf("the server is being taken out, and %s can't be carried to another", bound))
}

// servesOneClient reports whether the connection must not be given to another client, because it has served one in a pool by session.
func (l *link) servesOneClient() bool {
	return l.pool.options.Mode == Session && l.assigned
}

// keepConnection continues on the client's present connection if that may be used for the attempt. It returns false if the attempt
// needs another connection; the present one, if any, was released or closed then. A session that depends on it and cannot continue is ended.
func (c *client) keepConnection(a *attempt) bool {
	l := c.link
	if l == nil {
		return false
	}
	bound := c.boundBy()
	clean := l.clean()
	if a.ended || c.link != l { // the connection has just been lost, which has ended the attempt
		return true
	}
	stays := l.serverID == a.server && l.closesAt == 0
	switch {
	case bound != "" && l.closesAt != 0:
		c.endDraining(bound)
		return true
	case bound != "" && !clean:
		c.endBound(bound)
		return true
	case clean && (stays || bound != ""):
		c.resume(a, l)
		return true
	}
	if l.serverID != a.server {
		c.frontend.Counts.Migrations++
	}
	c.unlink()
	l.free()
	return false
}

// resume sends the messages of the transaction so far on the client's connection. If the connection has other settings than the session, it
// sends these first, and nothing else until the server has accepted them.
func (c *client) resume(a *attempt, l *link) {
	a.link = l
	c.boundTransactionTime()
	c.transaction.hasConnection = true
	sql := c.state.SyncQuery(l.state)
	if sql == "" {
		c.sendTransaction(a, l)
		return
	}
	c.frontend.Counts.SettingsSynced++
	l.sendInternalQuery(sql, func() {
		c.state.Synced(l.state)
		if l.owner == c && !a.ended {
			c.sendAfterSettings(a, l)
		}
	})
}

// sendAfterSettings sends the messages of the transaction so far once the server has accepted the session's settings, unless something
// has happened meanwhile for which they must not be sent.
func (c *client) sendAfterSettings(a *attempt, l *link) {
	f := c.frontend
	switch {
	case !l.clean():
		l.close() // which ends the attempt, as one of which nothing was sent
	case a.transaction.cancelled, !f.events.MaySend(a.id):
		c.unlink()
		a.link = nil
		a.transaction.hasConnection = false
		l.free()
		f.endCancelled(a, decide.Cancelled, nil)
	default:
		c.sendTransaction(a, l)
	}
}

// sendTransaction sends the messages of the transaction so far, on a connection that has the session's settings.
func (c *client) sendTransaction(a *attempt, l *link) {
	c.reportChanged(l.params)
	a.sent = true
	if err := c.sendReplay(a.transaction); err != nil {
		c.endWithError(codeProtocol, err.Error())
		return
	}
	if l.conn != nil && l.conn.Unsent() == 0 {
		c.frontend.events.AttemptWritten(a.id)
	}
	c.proceedSoon()
}

// settingsFailed handles an error of the server to the settings of a session. Nothing of the client was sent. Where the server rejected the
// query itself, the transaction is sent to another server; otherwise the session ends, because no statement may run under other settings.
func (l *link) settingsFailed(m pgwire.Message) {
	code := pgwire.ErrorCode(m.Body)
	l.frontend.log.Warn("pooling: server rejected the settings of a session, not reusing the connection", "server", l.serverID, "code", code)
	l.unusable = true
	l.frontend.Counts.Dropped[reuse.Session]++
	c := l.owner
	if c == nil {
		return
	}
	t := c.transaction
	if t != nil && t.cancelled && code == codeCancelled {
		l.retryElsewhere(c, decide.Cancelled, code)
		return
	}
	if result, ok := l.rejectionResult(c, m); ok {
		l.retryElsewhere(c, result, code)
		return
	}
	c.endWithError(code, "the session's settings cannot be carried to this server connection")
}
