// Package journaled records attempts of requests that must never run twice in a journal (package storage/journal): it stands between the core
// and the connections to servers. In mode BeforeSend it holds an attempt back until the journal has it, and an attempt that was cancelled, or
// whose time ended, before that is never sent. An attempt that the journal cannot take is not sent either; in mode Alongside it is.
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

// Core is the request table.
type Core interface {
	ClientID(request slotmap.Ref) string // the id by which its client knows a request
	AttemptEnded(attempt backend.AttemptID, outcome backend.Outcome)
}

// Connections are the connections to servers, with the methods of core.Servers.
type Connections interface {
	SetAddress(id, addr string)
	CloseIdle(id string)
	Forget(id string)
	Retain(ids map[string]bool)
	Start(id string, query backend.Query, until float64, on backend.SendConditions, attempt backend.AttemptID) slotmap.Ref
	Cancel(attempt slotmap.Ref)
	CheckHealth(id string)
	Recall(id string, which func(backend.AttemptID) bool)
}

// grouped is implemented by connections that need to know the servers' groups, as core.GroupSetter.
type grouped interface{ SetGroup(id string, group int) }

// heldRef is set in the index of the refs of attempts that Servers holds back, so that they differ from those of the connections.
const heldRef = 1 << 29

// Servers are connections behind a journal. They are for the loop alone.
type Servers struct {
	Connections
	loop     Loop
	log      *slog.Logger
	core     Core
	mode     journal.Mode
	journal  *journal.Journal
	held     slotmap.Table[*attempt]
	attempts map[backend.AttemptID]*attempt // recorded ones that have not ended
}

// attempt is an attempt that the journal has, or is to have.
type attempt struct {
	id      backend.AttemptID
	entry   *journal.Entry
	ref     slotmap.Ref // in held; zero in mode Alongside
	sentRef slotmap.Ref // of the connections, once it is sent
	sent    bool
	ended   bool
	timer   *timers.Timer
}

func (a *attempt) isWaiting() bool { return !a.sent && !a.ended }

// New makes the journal on an open store; Wrap adds the connections.
func New(loop Loop, log *slog.Logger, core Core, store journal.Store, mode journal.Mode) *Servers {
	return &Servers{
		loop: loop, log: log, core: core, mode: mode,
		journal:  journal.New(store, loop.Now()),
		attempts: map[backend.AttemptID]*attempt{},
	}
}

// Wrap sets the connections that attempts go to, and returns them behind the journal.
func (s *Servers) Wrap(connections Connections) *Servers {
	s.Connections = connections
	return s
}

// MayHaveRun reports whether a request of a client's id may have run before this process began.
func (s *Servers) MayHaveRun(id string) bool { return s.journal.MayHaveRun(id) }

// SetGroup passes a server's group on, where the connections need it.
func (s *Servers) SetGroup(id string, group int) {
	if connections, ok := s.Connections.(grouped); ok {
		connections.SetGroup(id, group)
	}
}

// Start sends an attempt, or holds it back until the journal has it.
func (s *Servers) Start(
	id string, query backend.Query, until float64, on backend.SendConditions, attemptID backend.AttemptID,
) slotmap.Ref {
	if !on.AtMostOnce {
		return s.Connections.Start(id, query, until, on, attemptID)
	}
	entry := s.journal.NewEntry(journal.Attempt{
		ID: s.core.ClientID(attemptID.Request), Server: id, StartedAt: s.loop.Now(), Number: attemptID.Number,
	})
	a := &attempt{id: attemptID, entry: entry}
	s.attempts[attemptID] = a
	if s.mode == journal.Alongside {
		s.journal.Record(entry, s.logFailure)
		return s.Connections.Start(id, query, until, on, attemptID)
	}
	a.ref = s.held.Put(a)
	a.timer = s.loop.At(until, func() { s.dropWaiting(a) })
	s.journal.Record(entry, func(err error) {
		switch {
		case a.ended:
		case err != nil: // nobody could tell later that it ran
			s.logFailure(err)
			s.dropWaiting(a)
		default:
			s.loop.StopTimer(a.timer)
			a.sent = true
			a.sentRef = s.Connections.Start(id, query, until, on, attemptID)
		}
	})
	return slotmap.Ref{Index: a.ref.Index | heldRef, Gen: a.ref.Gen}
}

// logFailure logs an error of the store, unless it is closed.
func (s *Servers) logFailure(err error) {
	if err != nil && !errors.Is(err, store.ErrClosed) {
		s.log.Error("journal: an attempt could not be recorded", "err", err)
	}
}

// dropWaiting ends an attempt that is held back: it is never sent.
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

// isHeldRef reports whether a ref is of an attempt that was held back; those of the connections have none of the bits, or higher ones too.
func isHeldRef(ref slotmap.Ref) bool {
	return ref.Index&heldRef != 0 && ref.Index&^uint32(heldRef) < heldRef
}

// CloseIdle closes a server's idle connections. What is held back is not sent to it: it drains.
func (s *Servers) CloseIdle(id string) {
	s.dropWaitingOf(id)
	s.Connections.CloseIdle(id)
}

// Forget removes a server.
func (s *Servers) Forget(id string) {
	s.dropWaitingOf(id)
	s.Connections.Forget(id)
}

// Retain removes all servers but these.
func (s *Servers) Retain(ids map[string]bool) {
	s.dropWaitingIf(func(a *attempt) bool { return !ids[a.entry.Attempt.Server] })
	s.Connections.Retain(ids)
}

// Recall ends attempts at a server that were not sent.
func (s *Servers) Recall(id string, which func(backend.AttemptID) bool) {
	s.dropWaitingIf(func(a *attempt) bool { return a.entry.Attempt.Server == id && which(a.id) })
	s.Connections.Recall(id, which)
}

func (s *Servers) dropWaitingOf(id string) {
	s.dropWaitingIf(func(a *attempt) bool { return a.entry.Attempt.Server == id })
}

func (s *Servers) dropWaitingIf(which func(*attempt) bool) {
	var dropped []*attempt
	s.held.Each(func(_ slotmap.Ref, a *attempt) {
		if a.isWaiting() && which(a) {
			dropped = append(dropped, a)
		}
	})
	for _, a := range dropped {
		s.dropWaiting(a)
	}
}

// Ended records how an attempt ended.
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
