// Package sessions decides which server the sessions of the ClickHouse interface are bound to, and when they end.
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

// Time-outs of sessions without queries, as ClickHouse defines them.
const (
	DefaultTimeoutMs = 60e3
	MaxTimeoutMs     = 3600e3
)

// Key identifies a session. The sessions of different users are distinct, as at the servers.
type Key struct{ User, ID string }

// Verdict is the decision on a query of a session.
type Verdict uint8

// The verdicts. By all but the first two, the query is rejected.
const (
	AnyServer   Verdict = iota // a new session, which is bound to the server that answers
	BoundServer                // the session's server must answer
	Locked                     // another query of the session runs; a server would answer the same
	Lost                       // the session's server is lost, and with it the session; the next query begins a new one
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

// Table has the sessions of a pooler. It is not safe for concurrent use.
type Table struct {
	maxSessions int
	byKey       map[Key]*session
}

type session struct {
	server    string // empty until its first query is answered
	busy      bool   // a query runs
	lost      bool   // its server is lost
	timeoutMs float64
	expiresAt float64 // unless it is busy
}

// New makes a table of at most maxSessions sessions.
func New(maxSessions int) *Table {
	return &Table{maxSessions: maxSessions, byKey: map[Key]*session{}}
}

// Begin decides on a query of a session, and returns the server that must answer it by BoundServer. The session expires timeoutMs
// after its last query; 0 stands for the default. mustExist is set where the client requires that the session exists. After AnyServer
// and BoundServer the caller must call End.
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

// Unbind removes a session's server, which has answered that it does not know the session.
func (t *Table) Unbind(key Key) {
	if s := t.byKey[key]; s != nil {
		s.server = ""
	}
}

// End ends a session's query. A session that was never bound is removed.
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

// LoseServer marks the sessions of a server as lost: it has gone, or receives no new queries. It returns the sessions with a query that
// runs, in the order of their keys.
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

// Expire removes the sessions that have had no query for longer than their time-outs.
func (t *Table) Expire(now float64) {
	for key, s := range t.byKey {
		if s.isExpired(now) {
			delete(t.byKey, key)
		}
	}
}

// Len returns the number of sessions.
func (t *Table) Len() int { return len(t.byKey) }

// unexpired returns a session, or nil. A session that has expired is removed.
func (t *Table) unexpired(key Key, now float64) *session {
	s := t.byKey[key]
	if s != nil && s.isExpired(now) {
		delete(t.byKey, key)
		return nil
	}
	return s
}

func (s *session) isExpired(now float64) bool { return !s.busy && now >= s.expiresAt }
