package core

import (
	"errors"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
)

// Errors of a request that cannot be passed to the router.
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
	Start(id string, query backend.Query, until float64, on backend.SendConditions, tag backend.AttemptID) slotmap.Ref
	Cancel(attempt slotmap.Ref)
	CheckHealth(id string)
	Recall(id string, which func(backend.AttemptID) bool) // ends the attempts that have not been written yet and must not be
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

// GroupSetter is implemented by servers that need to know the group of each of them.
type GroupSetter interface {
	SetGroup(id string, group int) // called before SetAddress
}

// ReportSink receives what servers report of themselves, each time.
type ReportSink interface {
	ServerReported(server string, primary, replica bool, position float64)
}

// Journal records how attempts ended, and knows which requests may have run in an earlier process.
type Journal interface {
	Ended(tag backend.AttemptID, result decide.Result)
	MayHaveRun(id string) bool
}

// Meter measures the time of the decision module.
type Meter interface {
	Begin()
	End()
}
