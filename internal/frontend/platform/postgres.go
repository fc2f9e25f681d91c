package platform

import (
	"container/list"
	"errors"
	"log/slog"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// SQLSTATE codes.
const (
	codeProtocol    = "08P01"
	codeRejected    = "53300"
	codeFailed      = "58000"
	codeClosed      = "57P03"
	codeSyntax      = "42601"
	codeUnsupported = "0A000"
)

// Errors whose texts clients receive.
var (
	errDraining  = errors.New("clients are being sent away")
	errMemory    = errors.New("clients hold too much")
	errPipelined = errors.New("too much is sent ahead of the answers")
	errTooMany   = errors.New("too many clients")
)

// Postgres is the frontend for the PostgreSQL protocol. It belongs to the event loop: its methods must be called there.
type Postgres struct {
	eventLoop  *eventloop.Loop
	log        *slog.Logger
	dispatcher Dispatcher
	budget     Budget
	sessions   slotmap.Table[*session]
	byClass    [evictionClasses]list.List // sessions by their class; those that have been in it for longest come first
	notReady   bool                       // health checks fail

	account       *memory.Account
	nextReleaseAt float64                    // when memory is released again, after nothing could be
	reservations  [messageSizes]reservations // for messages that are arriving, and for long ones whose requests are open
	collected     reservations               // for streamed answers that are collected
	scratchBuffer []byte
	nextFreeAt    float64 // when a descriptor is looked for again, after none was found
	memoryCounts
	streams         int // answers being streamed
	rejectedClients int // since the last sweep

	stage             DrainStage
	rejectingSince    float64 // when the present drain passed RefuseCommands
	stageSince        float64 // when the present stage began
	checkCalls        int     // counts calls of Check
	endedByReason     [endReasonCount]uint64
	nextUnansweredLog float64
	unanswered        [endReasonCount]uint64 // commands, by the reason why their connection ended
	rejectedForDrain  uint64                 // commands
}

// memoryCounts are numbers of events that a lack of memory caused.
type memoryCounts struct {
	rejectedForMemory uint64 // requests
	failedForMemory   uint64 // answers that could not wait for their client
	refusedForMemory  uint64 // connections
	releases          uint64 // clients that had to release memory
}

// NewPostgres returns a frontend without clients.
func NewPostgres(loop *eventloop.Loop, log *slog.Logger, dispatcher Dispatcher, budget Budget) *Postgres {
	postgres := &Postgres{eventLoop: loop, log: log, dispatcher: dispatcher, budget: budget, account: budget.Account}
	for size, part := range [messageSizes]int{smallMessagePart, mediumMessagePart, longMessagePart} {
		postgres.reservations[size] = reservations{eventLoop: loop, account: budget.Account, part: part}
	}
	postgres.collected = reservations{eventLoop: loop, account: budget.Account, part: collectedPart}
	budget.Account.AddHolder(postgres)
	return postgres
}

// Accept returns the handler for a new connection.
func (postgres *Postgres) Accept() eventloop.Handler {
	now := postgres.eventLoop.Now()
	session := &session{
		postgres:   postgres,
		input:      pgwire.NewReader(maxLongMessage),
		stateSince: now,
		openedAt:   now,
		graceEnds:  now + firstRequestMs,
	}
	session.ref = postgres.sessions.Put(session)
	postgres.account.AddClients(1)
	session.countBuffered()
	return session
}

// Sessions returns the number of connected clients.
func (postgres *Postgres) Sessions() int { return postgres.sessions.Len() }

// Occupied returns the number of descriptors that count towards the limit of clients. Up to maxClosing connections that are being
// closed do not count.
func (postgres *Postgres) Occupied() int {
	return postgres.sessions.Len() - min(postgres.byClass[closing].Len(), maxClosing)
}

// PartialMessages returns the number of clients from which a part of a message has been read.
func (postgres *Postgres) PartialMessages() int { return postgres.byClass[midMessage].Len() }

// HasOutstanding reports whether any client waits for an answer or has not read all of one.
func (postgres *Postgres) HasOutstanding() bool {
	outstanding := false
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		outstanding = outstanding || len(session.queue) > 0 || session.unsent() > 0
	})
	return outstanding
}

// SetReady sets whether the empty query, which clients use as a health check, succeeds.
func (postgres *Postgres) SetReady(ready bool) { postgres.notReady = !ready }
