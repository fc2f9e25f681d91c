// Package sessions decides which server each session of the ClickHouse interface stays with, and when it is over. It holds
// decisions only: no I/O, no clock, no goroutines. Times are in milliseconds on the pooler's clock.
package sessions

import "slices"

// Key names a session: ClickHouse keeps each user's apart.
type Key struct{ User, ID string }

// Verdict is what is made of a query that names a session.
type Verdict uint8

// The verdicts.
const (
	AnyServer   Verdict = iota // it is new: whichever server serves its first query has it
	BoundServer                // its server alone has what it holds
	Locked                     // another query of it is under way; a server says the same
	Lost                       // its server has gone, and what it held; a later query begins anew
	Unknown                    // it should be there already, and is not
	TooMany                    // there are too many
)

// Session bounds that ClickHouse has: its default time-out, and the longest that one may ask for.
const (
	DefaultTimeoutMs = 60e3
	MaxTimeoutMs     = 3600e3
)

// Table holds the sessions. It is not safe for concurrent use.
type Table struct {
	maxSessions int
	byKey       map[Key]*session
}

type session struct {
	server    string // empty until its first query has been served
	busy      bool
	lost      bool
	timeoutMs float64
	expiresAt float64 // once it is not busy
}

// New makes a table of at most so many sessions.
func New(most int) *Table { return &Table{maxSessions: most, byKey: map[Key]*session{}} }

// Begin takes a query that names a session, which stays with its server until timeoutMs after its last query; 0 is the
// default. must is set where the client says that the session is there. Anywhere and There are left by Leave.
func (t *Table) Begin(now float64, key Key, timeoutMs float64, mustExist bool) (verdict Verdict, server string) {
	s := t.byKey[key]
	if s != nil && !s.busy && now >= s.expiresAt {
		delete(t.byKey, key)
		s = nil
	}
	switch {
	case s == nil && mustExist:
		return Unknown, ""
	case s == nil && len(t.byKey) >= t.maxSessions:
		return TooMany, ""
	case s == nil:
		s = &session{}
		t.byKey[key] = s
	case s.lost && !s.busy:
		delete(t.byKey, key)
		return Lost, ""
	case s.busy:
		return Locked, ""
	}
	if timeoutMs <= 0 {
		timeoutMs = DefaultTimeoutMs
	}
	s.busy, s.timeoutMs = true, min(timeoutMs, MaxTimeoutMs)
	if s.server == "" {
		return AnyServer, ""
	}
	return BoundServer, s.server
}

// Bind tells which server has answered a session's query.
func (t *Table) Bind(key Key, server string) {
	if s := t.byKey[key]; s != nil && s.server == "" && !s.lost {
		s.server = server
	}
}

// Unbind forgets where a session is: its server has said that it does not know it.
func (t *Table) Unbind(key Key) {
	if s := t.byKey[key]; s != nil {
		s.server = ""
	}
}

// End ends a session's query. One that was never served leaves nothing.
func (t *Table) End(now float64, key Key) {
	s := t.byKey[key]
	if s == nil {
		return
	}
	s.busy, s.expiresAt = false, now+s.timeoutMs
	if s.server == "" && !s.lost {
		delete(t.byKey, key)
	}
}

// LoseServer tells that a server has gone, or may be asked nothing new: its sessions are lost. It returns those that have a
// query under way, in order.
func (t *Table) LoseServer(server string) (busy []Key) {
	for k, s := range t.byKey {
		if s.server != server || server == "" {
			continue
		}
		s.lost, s.server = true, ""
		if s.busy {
			busy = append(busy, k)
		}
	}
	slices.SortFunc(busy, func(a, b Key) int {
		if a.User != b.User {
			if a.User < b.User {
				return -1
			}
			return 1
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return busy
}

// Expire drops the sessions whose time is over.
func (t *Table) Expire(now float64) {
	for k, s := range t.byKey {
		if !s.busy && now >= s.expiresAt {
			delete(t.byKey, k)
		}
	}
}

// Len is how many sessions there are.
func (t *Table) Len() int { return len(t.byKey) }
