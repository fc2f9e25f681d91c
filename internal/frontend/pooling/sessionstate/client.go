// Package sessionstate is the state that a client's session carries from one server connection to the next: its settings and its
// prepared statements.
//
// Its inputs are the statements that servers have completed, and what clients prepare; its outputs are the query that gives a
// connection the settings of a session (SyncQuery), and the statements that must be closed on a connection to stay within its limits.
// It does no I/O: the frontend sends what it returns. Settings, their values, statements and changes within a transaction are bounded
// for each client; a session beyond the bounds is sticky.
package sessionstate

import (
	"strings"

	"beechgrade/internal/protocol/sqltext"
)

// Bounds of one client's state.
const (
	MaxSettings   = 200
	MaxValue      = 8 << 10 // bytes of a setting's value
	MaxStatements = 5000    // prepared statements
	maxPending    = 1000    // changes within one transaction
)

// outlivesRollback are the sticky reasons that remain after a rollback of the transaction in which they arose: session locks, prepared
// statements, settings that cannot be parsed, and texts that may have committed before they failed.
const outlivesRollback = sqltext.StickyAdvisoryLock | sqltext.StickyPrepare | sqltext.StickyUnknownSetting | sqltext.StickyUnknownText

// change is a change of settings, or a savepoint, within a transaction.
type change struct {
	name, value string
	savepoint   bool
	all         bool // resets every setting to its default
}

// Client is the state of one client's session.
type Client struct {
	Sticky        sqltext.StickyReason // why the session must keep its server connection, 0 if it need not
	stickyPending sqltext.StickyReason // reasons that arose in the open transaction
	Opaque        bool                 // the session ran code of the database, which may have left state in it that nobody reported

	statements *Statements
	prepared   map[string]*Statement // by the client's names
	settings   map[string]string     // by name, as SQL; others have the server's default
	startup    map[string]string     // settings of the startup message, as SQL: the session's defaults
	pending    []change              // of the open transaction, in order
}

// NewClient returns the state of a client whose startup message had these settings.
func NewClient(statements *Statements, startup map[string]string) *Client {
	c := &Client{
		statements: statements,
		prepared:   map[string]*Statement{},
		settings:   map[string]string{},
		startup:    map[string]string{},
	}
	for name, value := range startup {
		name = strings.ToLower(name)
		c.startup[name] = sqltext.Quote(value)
		c.settings[name] = c.startup[name]
	}
	return c
}

// Close releases the client's statements.
func (c *Client) Close() { c.UnprepareAll() }

// LimitError reports that a client would exceed one of its bounds; the value names what there are too many of.
type LimitError string

// Error implements error.
func (e LimitError) Error() string { return "too many " + string(e) }

// Prepare adds a statement under a client's name. exists is true if another statement has that name already; only the empty name can
// be reused.
func (c *Client) Prepare(name, sql string, types []byte) (statement *Statement, exists bool, err error) {
	old := c.prepared[name]
	if old != nil && name != "" {
		return nil, true, nil
	}
	if old == nil && len(c.prepared) >= MaxStatements {
		return nil, false, LimitError("prepared statements")
	}
	statement = c.statements.acquire(sql, types)
	if old != nil {
		old.Release()
	}
	c.prepared[strings.Clone(name)] = statement
	return statement, false, nil
}

// Statement returns the client's statement with a name, nil if there is none.
func (c *Client) Statement(name string) *Statement { return c.prepared[name] }

// Unprepare removes a statement, and reports whether there was one.
func (c *Client) Unprepare(name string) bool {
	statement := c.prepared[name]
	if statement == nil {
		return false
	}
	statement.Release()
	delete(c.prepared, name)
	return true
}

// UnprepareAll removes all statements.
func (c *Client) UnprepareAll() {
	for name, statement := range c.prepared {
		statement.Release()
		delete(c.prepared, name)
	}
}

// Detach frees the name of a statement, but keeps the statement until Reattach or Release. It returns nil if there is none.
func (c *Client) Detach(name string) *Statement {
	statement := c.prepared[name]
	delete(c.prepared, name)
	return statement
}

// Reattach ends Detach: it restores a statement under its name if restore is true and no other statement has the name now, and releases
// the statement otherwise.
func (c *Client) Reattach(name string, statement *Statement, restore bool) {
	if restore && c.prepared[name] == nil {
		c.prepared[name] = statement
		return
	}
	statement.Release()
}

// Completed records a statement that a server has completed.
func (c *Client) Completed(s *sqltext.Statement) {
	c.stickyPending |= s.Sticky
	c.Opaque = c.Opaque || s.Opaque
	switch s.Kind {
	case sqltext.Set:
		if !s.Local {
			c.addPending(change{name: s.Name, value: s.Value})
		}
	case sqltext.ResetAll:
		c.addPending(change{all: true})
	case sqltext.Savepoint:
		c.addPending(change{name: s.Name, savepoint: true})
	case sqltext.RollbackTo:
		c.rollbackTo(s.Name)
	case sqltext.DiscardAll:
		c.Reset()
	case sqltext.Unterminated: // the server has found statements in it
		c.stickyPending |= sqltext.StickyUnknownText
	}
}

// Interrupted records a statement that ran and was not completed: it ended with an error, or its portal is suspended. Its changes count as
// undone, but for the locks of the session, and for what code of the database has left.
func (c *Client) Interrupted(s *sqltext.Statement) {
	c.stickyPending |= s.Sticky & (sqltext.StickyAdvisoryLock | sqltext.StickyUnknownText)
	c.Opaque = c.Opaque || s.Opaque
}

// addPending records a change of the open transaction. A session with changes beyond the bounds becomes sticky.
func (c *Client) addPending(x change) {
	if len(c.pending) >= maxPending || len(x.value) > MaxValue {
		c.stickyPending |= sqltext.StickyUnknownSetting
		return
	}
	c.pending = append(c.pending, x)
}

// rollbackTo drops the changes after the last savepoint of that name.
func (c *Client) rollbackTo(savepoint string) {
	for i := len(c.pending) - 1; i >= 0; i-- {
		if c.pending[i].savepoint && c.pending[i].name == savepoint {
			c.pending = c.pending[:i+1]
			return
		}
	}
}

// Reset has the effect of DISCARD ALL: the session gets the state that it started with.
func (c *Client) Reset() {
	c.endTransaction()
	c.Sticky = 0
	c.Opaque = false
	c.UnprepareAll()
	c.settings = map[string]string{}
	for name, value := range c.startup {
		c.settings[name] = value
	}
}

// Commit makes the changes of the transaction part of the session, and of the state of the connection on which it ran.
func (c *Client) Commit(s *Server) {
	for _, x := range c.pending {
		switch {
		case x.savepoint:
		case x.all:
			c.commitResetAll(s)
		case x.value == "":
			c.commitReset(s, x.name)
		default:
			c.commitSet(s, x)
		}
	}
	c.Sticky |= c.stickyPending
	c.endTransaction()
}

// commitResetAll resets all settings but those of the session's user and role, which RESET ALL leaves as they are.
func (c *Client) commitResetAll(s *Server) {
	for name := range c.settings {
		if _, ok := c.startup[name]; !ok && !isIdentity(name) {
			delete(c.settings, name)
		}
	}
	for name, value := range c.startup {
		if !isIdentity(name) {
			c.settings[name] = value
		}
	}
	for name := range s.settings { // the startup settings are set again by the next SyncQuery
		if !isIdentity(name) {
			delete(s.settings, name)
		}
	}
}

func (c *Client) commitReset(s *Server, name string) {
	delete(c.settings, name)
	if value, ok := c.startup[name]; ok {
		c.settings[name] = value
	}
	delete(s.settings, name)
	c.noteAuthorization(s, name)
}

// noteAuthorization records that a change of the session's user resets its role.
func (c *Client) noteAuthorization(s *Server, name string) {
	if name == settingSessionAuthorization {
		delete(c.settings, settingRole)
		delete(s.settings, settingRole)
	}
}

func (c *Client) commitSet(s *Server, x change) {
	if _, ok := c.settings[x.name]; !ok && len(c.settings) >= MaxSettings {
		c.stickyPending |= sqltext.StickyUnknownSetting
		return
	}
	c.settings[x.name] = x.value
	s.settings[x.name] = x.value
	c.noteAuthorization(s, x.name)
}

// Abort drops the changes of the transaction, except those that outlive a rollback.
func (c *Client) Abort() {
	c.Sticky |= c.stickyPending & outlivesRollback
	c.endTransaction()
}

func (c *Client) endTransaction() {
	c.pending = nil
	c.stickyPending = 0
}

// Setting returns a setting of the client as SQL, empty for the server's default.
func (c *Client) Setting(name string) string { return c.settings[name] }
