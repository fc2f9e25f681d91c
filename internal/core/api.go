package core

import (
	"errors"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
)

// Errors of requests that Submit does not accept. Frontends pass their texts to clients.
var (
	ErrUnknownClass     = errors.New("no such class")
	ErrUnknownTenant    = errors.New("no such tenant")
	ErrMissingKey       = errors.New("no key, which its class needs")
	ErrDuplicateID      = errors.New("a request of this id is open")
	ErrWriteInReadClass = errors.New("a write in a class of reads")
)

// Servers carries out attempts and health checks.
type Servers interface {
	SetAddress(id, addr string)
	CloseIdle(id string)
	Forget(id string)
	Retain(ids map[string]bool)
	Start(id string, query backend.Query, deadline float64, conditions backend.SendConditions, attempt backend.AttemptID) slotmap.Ref
	Cancel(attempt slotmap.Ref)
	CheckHealth(id string)
	// Recall ends a server's attempts that have not been written yet and for which recall returns true.
	Recall(id string, recall func(backend.AttemptID) bool)
}

// Loop is the event loop.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
}

// Directory fetches the endpoint list.
type Directory interface {
	Watch()
	Fetch()
}

// GroupSetter is implemented by Servers that need the group of each server.
type GroupSetter interface {
	SetGroup(id string, group int) // called before SetAddress
}

// ReportSink receives every report of a server's role and position.
type ReportSink interface {
	ServerReported(server string, primary, replica bool, position float64)
}

// Journal records how attempts ended, and knows which requests may have run in an earlier process.
type Journal interface {
	Ended(attempt backend.AttemptID, result decide.Result)
	MayHaveRun(clientID string) bool
}

// Meter measures the time that the router takes for each event.
type Meter interface {
	Begin()
	End()
}
