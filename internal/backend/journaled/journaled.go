// Package journaled sits between the core and the connections to servers, and records the attempts of requests that must not run twice in
// a journal (package storage/journal). In mode BeforeSend it holds an attempt back until its journal entry is durable; an attempt that is
// cancelled or reaches its deadline before that is never sent, nor is one whose entry cannot be written. In mode Alongside attempts are
// sent without waiting for the journal.
package journaled

import (
	"errors"
	"log/slog"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/store"
)

// Loop is the event loop.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	StopTimer(t *timers.Timer)
}

// Core is what Servers needs of the core.
type Core interface {
	ClientID(request slotmap.Ref) string // the id that the client gave to a request
	AttemptEnded(attempt backend.AttemptID, outcome backend.Outcome)
}

// Connections are the connections to servers, with the methods of core.Servers.
type Connections interface {
	SetAddress(id, addr string)
	CloseIdle(id string)
	Forget(id string)
	Retain(ids map[string]bool)
	Start(id string, query backend.Query, deadline float64, conditions backend.SendConditions, attempt backend.AttemptID) slotmap.Ref
	Cancel(attempt slotmap.Ref)
	CheckHealth(id string)
	Recall(id string, selects func(backend.AttemptID) bool)
}

// groupSetter is implemented by connections that need the group of each server. It equals core.GroupSetter.
type groupSetter interface{ SetGroup(id string, group int) }

// heldRef is the bit that is set in the index of the refs of attempts that Servers holds back, to distinguish them from refs of the connections.
const heldRef = 1 << 29

// Servers passes attempts on to Connections, and records those that must not run twice. Its methods must be called on the event loop.
type Servers struct {
	Connections
	loop     Loop
	log      *slog.Logger
	core     Core
	mode     journal.Mode
	journal  *journal.Journal
	held     slotmap.Table[*attempt]
	attempts map[backend.AttemptID]*attempt // those with a journal entry that have not ended
}

// attempt is an attempt that is recorded in the journal, or is being recorded.
type attempt struct {
	id      backend.AttemptID
	entry   *journal.Entry
	ref     slotmap.Ref // in Servers.held; zero in mode Alongside
	sentRef slotmap.Ref // the ref that Connections returned, valid if sent
	sent    bool
	ended   bool
	timer   *timers.Timer
}

func (a *attempt) isWaiting() bool { return !a.sent && !a.ended }

// New returns Servers with a journal in an open store. Wrap must be called before use, to set the connections.
func New(loop Loop, log *slog.Logger, core Core, store journal.Store, mode journal.Mode) *Servers {
	return &Servers{
		loop: loop, log: log, core: core, mode: mode,
		journal:  journal.New(store, loop.Now()),
		attempts: map[backend.AttemptID]*attempt{},
	}
}

// Wrap sets the connections that attempts are passed on to, and returns s.
func (s *Servers) Wrap(connections Connections) *Servers {
	s.Connections = connections
	return s
}

// MayHaveRun reports whether a request with this client's id may have run before this process began.
func (s *Servers) MayHaveRun(id string) bool { return s.journal.MayHaveRun(id) }

// SetGroup sets a server's group, if the connections need it.
func (s *Servers) SetGroup(id string, group int) {
	if connections, ok := s.Connections.(groupSetter); ok {
		connections.SetGroup(id, group)
	}
}

// Start sends an attempt at once, or after its journal entry is durable if it must not run twice and the mode is BeforeSend.
func (s *Servers) Start(
	id string, query backend.Query, deadline float64, conditions backend.SendConditions, attemptID backend.AttemptID,
) slotmap.Ref {
	if !conditions.AtMostOnce {
		return s.Connections.Start(id, query, deadline, conditions, attemptID)
	}
	entry := s.journal.NewEntry(journal.Attempt{
		ID: s.core.ClientID(attemptID.Request), Server: id, StartedAt: s.loop.Now(), Number: attemptID.Number,
	})
	a := &attempt{id: attemptID, entry: entry}
	s.attempts[attemptID] = a
	if s.mode == journal.Alongside {
		s.journal.Record(entry, s.logFailure)
		return s.Connections.Start(id, query, deadline, conditions, attemptID)
	}
	a.ref = s.held.Put(a)
	a.timer = s.loop.At(deadline, func() { s.dropWaiting(a) })
	s.journal.Record(entry, func(err error) {
		switch {
		case a.ended:
		case err != nil: // without an entry, a later process would not know that it may have run
			s.logFailure(err)
			s.dropWaiting(a)
		default:
			s.loop.StopTimer(a.timer)
			a.sent = true
			a.sentRef = s.Connections.Start(id, query, deadline, conditions, attemptID)
		}
	})
	return slotmap.Ref{Index: a.ref.Index | heldRef, Gen: a.ref.Gen}
}

// logFailure logs an error of the store, unless the error is that the store is closed.
func (s *Servers) logFailure(err error) {
	if err != nil && !errors.Is(err, store.ErrClosed) {
		s.log.Error("journal: an attempt or its outcome could not be recorded", "err", err)
	}
}

// dropWaiting ends an attempt that is still held back, as not sent.
func (s *Servers) dropWaiting(a *attempt) {
	if !a.isWaiting() {
		return
	}
	a.ended = true
	s.loop.StopTimer(a.timer)
	s.core.AttemptEnded(a.id, backend.Outcome{Result: decide.NotSent})
}

// Cancel cancels an attempt by the ref that Start returned.
func (s *Servers) Cancel(ref slotmap.Ref) {
	if !isHeldRef(ref) {
		s.Connections.Cancel(ref)
		return
	}
	ref.Index &^= heldRef
	a, ok := s.held.Get(ref)
	switch {
	case !ok:
	case a.sent:
		s.Connections.Cancel(a.sentRef)
	default:
		s.dropWaiting(a)
	}
}

// isHeldRef reports whether a ref is that of an attempt that was held back. The index of a ref of the connections either lacks the bit
// heldRef or has a higher bit set as well.
func isHeldRef(ref slotmap.Ref) bool {
	return ref.Index&heldRef != 0 && ref.Index&^uint32(heldRef) < heldRef
}

// CloseIdle closes a server's idle connections. Attempts that are held back for it end as not sent, because the server drains.
func (s *Servers) CloseIdle(id string) {
	s.dropWaitingOf(id)
	s.Connections.CloseIdle(id)
}

// Forget removes a server. Attempts that are held back for it end as not sent.
func (s *Servers) Forget(id string) {
	s.dropWaitingOf(id)
	s.Connections.Forget(id)
}

// Retain removes all servers except the given ones.
func (s *Servers) Retain(ids map[string]bool) {
	s.dropWaitingIf(func(a *attempt) bool { return !ids[a.entry.Attempt.Server] })
	s.Connections.Retain(ids)
}

// Recall ends, as not sent, those attempts at a server that were not sent and for which selects returns true.
func (s *Servers) Recall(id string, selects func(backend.AttemptID) bool) {
	s.dropWaitingIf(func(a *attempt) bool { return a.entry.Attempt.Server == id && selects(a.id) })
	s.Connections.Recall(id, selects)
}

func (s *Servers) dropWaitingOf(id string) {
	s.dropWaitingIf(func(a *attempt) bool { return a.entry.Attempt.Server == id })
}

func (s *Servers) dropWaitingIf(selects func(*attempt) bool) {
	var dropped []*attempt
	s.held.Each(func(_ slotmap.Ref, a *attempt) {
		if a.isWaiting() && selects(a) {
			dropped = append(dropped, a)
		}
	})
	for _, a := range dropped {
		s.dropWaiting(a)
	}
}

// Ended records in the journal how an attempt ended, if it has an entry.
func (s *Servers) Ended(attemptID backend.AttemptID, result decide.Result) {
	a := s.attempts[attemptID]
	if a == nil {
		return
	}
	delete(s.attempts, attemptID)
	a.ended = true
	if a.ref != (slotmap.Ref{}) {
		s.held.Remove(a.ref)
	}
	s.journal.RecordOutcome(a.entry, result, s.logFailure)
}
