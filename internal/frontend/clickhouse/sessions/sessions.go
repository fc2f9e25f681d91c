// Package sessions decides to which servers sessions of the ClickHouse interface are bound, and when sessions end.
//
// A session is state at one server (temporary tables, settings), so all its queries go to the server that answered the first one, one
// query at a time. Its inputs are queries that begin and end, servers that are lost, and the time; its outputs are Verdicts. The number
// of sessions is bounded.
//
// It does no I/O, has no clock and no goroutines. Times are in milliseconds on the caller's clock.
package sessions

import (
	"cmp"
	"fmt"
	"slices"
)

// Timeouts after which a session without queries ends, as ClickHouse defines them.
const (
	DefaultTimeoutMs = 60e3
	MaxTimeoutMs     = 3600e3
)

// Key identifies a session. As at the servers, different users have distinct sessions under the same ID.
type Key struct{ User, ID string }

// Verdict is the decision on a query of a session.
type Verdict uint8

// The verdicts. All but the first two reject the query.
const (
	AnyServer   Verdict = iota // the session has no server yet; it will be bound to the server that answers
	BoundServer                // the query must be sent to the session's server
	Locked                     // another query of the session is running; servers reject this too
	Lost                       // the session's server is lost, and the session with it; the next query begins a new session
	Unknown                    // the client requires that the session exists, and it does not
	TooMany                    // there are too many sessions
)

var verdictNames = [...]string{"any server", "bound server", "locked", "lost", "unknown", "too many"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", uint8(v))
	}
	return verdictNames[v]
}

// Table holds the sessions of a pooler. It is not safe for concurrent use.
type Table struct {
	maxSessions int
	byKey       map[Key]*session
}

type session struct {
	server    string // empty until its first query is answered
	busy      bool   // a query is running
	lost      bool   // its server is lost
	timeoutMs float64
	expiresAt float64 // applies unless the session is busy
}

// New creates a Table for at most maxSessions sessions.
func New(maxSessions int) *Table {
	return &Table{maxSessions: maxSessions, byKey: map[Key]*session{}}
}

// Begin decides on a query of a session. With BoundServer it also returns the server that must answer the query. The session expires
// timeoutMs after its last query; 0 stands for DefaultTimeoutMs. mustExist is set if the client requires that the session exists. After
// AnyServer and BoundServer the caller must call End.
func (t *Table) Begin(now float64, key Key, timeoutMs float64, mustExist bool) (verdict Verdict, server string) {
	s := t.unexpired(key, now)
	switch {
	case s == nil && mustExist:
		return Unknown, ""
	case s == nil && len(t.byKey) >= t.maxSessions:
		return TooMany, ""
	case s == nil:
		s = &session{}
		t.byKey[key] = s
	case s.busy:
		return Locked, ""
	case s.lost:
		delete(t.byKey, key)
		return Lost, ""
	}
	if timeoutMs <= 0 {
		timeoutMs = DefaultTimeoutMs
	}
	s.busy = true
	s.timeoutMs = min(timeoutMs, MaxTimeoutMs)
	if s.server == "" {
		return AnyServer, ""
	}
	return BoundServer, s.server
}

// Bind binds a session to the server that answered its first query.
func (t *Table) Bind(key Key, server string) {
	if s := t.byKey[key]; s != nil && s.server == "" && !s.lost {
		s.server = server
	}
}

// Unbind removes the binding of a session whose server has answered that the session does not exist there.
func (t *Table) Unbind(key Key) {
	if s := t.byKey[key]; s != nil {
		s.server = ""
	}
}

// End ends a session's query. A session that is not bound to a server is removed, unless it is lost.
func (t *Table) End(now float64, key Key) {
	s := t.byKey[key]
	if s == nil {
		return
	}
	s.busy = false
	s.expiresAt = now + s.timeoutMs
	if s.server == "" && !s.lost {
		delete(t.byKey, key)
	}
}

// LoseServer marks the sessions of a server as lost, because the server has terminated or receives no new queries. It returns the
// sessions with a running query, in the order of their keys.
func (t *Table) LoseServer(server string) (busy []Key) {
	if server == "" {
		return nil
	}
	for key, s := range t.byKey {
		if s.server != server {
			continue
		}
		s.lost = true
		s.server = ""
		if s.busy {
			busy = append(busy, key)
		}
	}
	slices.SortFunc(busy, func(a, b Key) int { return cmp.Or(cmp.Compare(a.User, b.User), cmp.Compare(a.ID, b.ID)) })
	return busy
}

// Expire removes the sessions that have had no query for their timeouts.
func (t *Table) Expire(now float64) {
	for key, s := range t.byKey {
		if s.isExpired(now) {
			delete(t.byKey, key)
		}
	}
}

// Len returns the number of sessions.
func (t *Table) Len() int { return len(t.byKey) }

// unexpired returns a session, or nil if it does not exist or has expired. An expired session is removed.
func (t *Table) unexpired(key Key, now float64) *session {
	s := t.byKey[key]
	if s != nil && s.isExpired(now) {
		delete(t.byKey, key)
		return nil
	}
	return s
}

func (s *session) isExpired(now float64) bool { return !s.busy && now >= s.expiresAt }
