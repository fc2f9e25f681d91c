// Package lease is a pooler's side of prepaid credit: which part of tenants' funds this process holds, what it requests from the
// leader, and whether a request is admitted. It is a deterministic state machine: events in, actions out, no I/O, clock or goroutines.
//
// # Admission
//
// A request is admitted if its maximum price can be reserved of the funds held here. The price is reserved once, at admission; the final
// answer charges what the request came to, and the remainder is free again. So retries and hedged requests cost nothing, and nothing is
// charged that was not reserved. Where a tenant has no funds here, and it is not known that it has none at all, its requests are queued
// for at most Settings.QueueTimeout; once its funds are known to be exhausted they are rejected at once.
//
// # Requests to the leader
//
// The manager requests what the tenant spends in Settings.GrantHorizon, of which the leader grants what there is (package lessor). It
// requests more when half of that is used, so that requests find funds here and wait for no round trip. What an idle tenant has left is
// returned after Settings.IdleTimeout, and what the leader recalls is returned at once.
//
// # Expiry
//
// An account may be used for Settings.Duration from the moment at which the last answered request was sent, by this process's clock.
// Every event is checked against that first: a process that was suspended and wakes up spends nothing of what has expired. An expired
// account is closed by its final report, once all that was admitted on it has ended, and a new one is opened. A process that hears
// nobody spends what it holds until then, for some classes also what it holds of the overdraft (Class.Overdraft), and then nothing.
//
// # High-water marks
//
// With Settings.PersistMarks, no more of an account is spent than a mark that is durable, and a higher mark is requested in time. A
// process that finds the files of one that has ended has the log fence it, waits until the log has expired all its accounts, and only
// then reads the marks and reports them as final: a process that was asleep and not dead has woken up to no funds by then. Of a crashed
// process the difference between its last marks and what it spent is charged, and no more.
package lease

import (
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// MaxQueued bounds the requests of one tenant in the queue.
const MaxQueued = 1024

// Decision is the answer to a request for admission.
type Decision uint8

// The decisions.
const (
	Admitted  Decision = iota
	Queued             // an Admit or a Reject action follows
	Throttled          // the tenant's funds run low, and the request is among those with the lowest priority for their price
	Exhausted          // the tenant's funds are exhausted
)

func (d Decision) String() string {
	return [...]string{"pass", "wait", "slowed", "no funds"}[min(d, Exhausted)]
}

// Reservation is what is reserved for an admitted request, until Settle ends it.
type Reservation struct {
	Tenant     string
	Overdraft  int64
	Generation uint32 // of the account
	Amount     int64
	Price      Price // as it was at admission
}

// Usage is what a request came to; for a scattered one the sum over its parts.
type Usage struct {
	Served, Failed int
	Rows           int64
	Seconds        float64
}

// Charge returns what is charged for a request: never more than was reserved.
func (r *Reservation) Charge(usage Usage) int64 {
	amount := int64(usage.Served) * r.Price.PerRequest
	if r.Price.ChargeFailed {
		amount += int64(usage.Failed) * r.Price.PerRequest
	}
	if usage.Served > 0 {
		amount += r.Price.PerRow*max(0, usage.Rows) + int64(float64(r.Price.PerSecond)*max(0, usage.Seconds))
	}
	return max(0, min(amount, r.Amount))
}

// Event is an input of the state machine.
type Event interface{ event() }

// Tick is due every Settings.TickInterval.
type Tick struct{}

// ResponsesReceived brings responses of the leader.
type ResponsesReceived struct{ Responses []message.Response }

// SettingsChanged brings changed prices and tenants.
type SettingsChanged struct{ Settings Settings }

// MarksPersisted reports that the marks of this write, and of all before it, are durable.
type MarksPersisted struct{ Write uint64 }

// Recover names processes that have ended and left files.
type Recover struct{ Holders []ledger.Holder }

// MarksRead brings the marks of such a process; it answers ReadMarks.
type MarksRead struct {
	Holder ledger.Holder
	Marks  []HighWaterMark
}

// Shutdown reports that nothing is spent any more.
type Shutdown struct{}

func (Tick) event()              {}
func (ResponsesReceived) event() {}
func (SettingsChanged) event()   {}
func (MarksPersisted) event()    {}
func (Recover) event()           {}
func (MarksRead) event()         {}
func (Shutdown) event()          {}

// HighWaterMark is the most that may have been spent of an account. It is stored as JSON.
type HighWaterMark struct {
	Key   ledger.Key `json:"Key"`
	Spent int64      `json:"Spent"`
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The actions.
const (
	SendRequests ActionKind = iota // Requests go to the leader
	Admit                          // the queued request with Tag is admitted, with Reservation
	Reject                         // the queued request with Tag is rejected
	PersistMarks                   // Marks, which are all there are, are to be made durable; MarksPersisted answers with Write
	ReadMarks                      // the marks of Holder are to be read; MarksRead answers
	EraseMarks                     // the files of Holder are not needed any more
)

func (k ActionKind) String() string {
	names := [...]string{"send requests", "admit", "reject", "persist marks", "read marks", "erase marks"}
	return names[min(k, EraseMarks)]
}

// Action is an output of the state machine.
type Action struct {
	Kind        ActionKind
	Requests    []message.Request
	Tag         uint64
	Reservation Reservation
	Marks       []HighWaterMark
	Write       uint64
	Holder      ledger.Holder
}

// Status is the state of one tenant at this process, for metrics. Amounts are in the operators' unit, times in ms.
type Status struct {
	Tenant             string
	Free               int64 // held here and not reserved
	Reserved           int64
	Available          int64 // to the tenant in all, as the leader reported last
	AvailableAtPayment int64 // the same after the last payment
	Queued             int   // requests
	ExpiresAt          float64
	Exhausted          bool
}
