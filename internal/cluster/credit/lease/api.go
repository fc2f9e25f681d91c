// Package lease is the pooler's side of prepaid credit. It tracks which part of the tenants' funds this process holds, requests funds from
// the leader, and decides whether a client's request is admitted. It is a deterministic state machine: it takes events and returns
// actions, and has no I/O, clock or goroutines.
//
// # Admission
//
// A request is admitted if its maximum price can be reserved from the funds held here. The price is reserved once, at admission. When the
// request ends, its actual cost is charged and the rest of the reservation is released. Retries and hedged attempts therefore cost
// nothing extra, and nothing is charged that was not reserved. If a tenant has no funds here but may have some elsewhere, its requests are
// queued for at most Settings.QueueTimeout. Once its funds are known to be exhausted, its requests are rejected immediately.
//
// # Requests to the leader
//
// The manager requests what the tenant spends in Settings.GrantHorizon, and the leader grants as much of it as it can (package lessor). It
// requests more once half of that amount is used, so that most requests are admitted without waiting for a round trip. Remaining funds of
// an idle tenant are returned after Settings.IdleTimeout. Funds that the leader recalls are returned immediately.
//
// # Expiry
//
// An account may be used for Settings.Duration after the last answered request about it was sent, by this process's clock. The expiry is
// checked before every event is handled, so that a process that was suspended spends nothing from an expired account when it resumes.
// An expired account is replaced by a new one, and closed by its final report once all requests admitted on it have ended. A process that
// cannot reach the leader spends what it holds until the expiry, for some classes including the overdraft that it holds (Class.Overdraft),
// and after that nothing.
//
// # High-water marks
//
// With Settings.PersistMarks, spending from an account never exceeds a durable high-water mark, and the mark is raised before spending
// reaches it. A process that finds the files of an ended process has the log fence that process, waits until the log has expired all its
// accounts, and only then reads the marks and reports them as final. If the other process was only suspended, its accounts have
// expired by then and it can spend nothing when it resumes. For a crashed process, at most the difference between its last marks and its
// actual spending is charged in excess.
package lease

import (
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// MaxQueued is the maximum number of queued requests of one tenant.
const MaxQueued = 1024

// Decision is the outcome of a request for admission.
type Decision uint8

// The decisions.
const (
	Admitted  Decision = iota
	Queued             // an Admit or Reject action follows
	Throttled          // the tenant's funds run low, and the request's class has a low priority for its price
	Exhausted          // the tenant's funds are exhausted
)

func (d Decision) String() string {
	return [...]string{"pass", "wait", "slowed", "no funds"}[min(d, Exhausted)]
}

// Reservation is the amount reserved for an admitted request until Settle ends it.
type Reservation struct {
	Tenant     string
	Overdraft  int64
	Generation uint32 // generation of the account
	Amount     int64
	Price      Price // price at admission
}

// Usage is what a request used. For a scattered request it is the sum over its parts.
type Usage struct {
	Served, Failed int
	Rows           int64
	Seconds        float64
}

// Charge returns the amount charged for a request, which is at most the reserved amount.
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

// Tick reports that time has passed. It is due every Settings.TickInterval.
type Tick struct{}

// ResponsesReceived delivers responses from the leader.
type ResponsesReceived struct{ Responses []message.Response }

// SettingsChanged delivers changed prices and tenants.
type SettingsChanged struct{ Settings Settings }

// MarksPersisted reports that the marks of this write, and of all earlier writes, are durable.
type MarksPersisted struct{ Write uint64 }

// Recover lists processes that have ended and left files.
type Recover struct{ Holders []ledger.Holder }

// MarksRead delivers the marks of an ended process, in answer to ReadMarks.
type MarksRead struct {
	Holder ledger.Holder
	Marks  []HighWaterMark
}

// Shutdown reports that this process spends nothing more.
type Shutdown struct{}

func (Tick) event()              {}
func (ResponsesReceived) event() {}
func (SettingsChanged) event()   {}
func (MarksPersisted) event()    {}
func (Recover) event()           {}
func (MarksRead) event()         {}
func (Shutdown) event()          {}

// HighWaterMark is the most that may have been spent from an account. It is stored as JSON.
type HighWaterMark struct {
	Key   ledger.Key `json:"Key"`
	Spent int64      `json:"Spent"`
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	SendRequests ActionKind = iota // send Requests to the leader
	Admit                          // admit the queued request with Tag, with Reservation
	Reject                         // reject the queued request with Tag
	PersistMarks                   // replace the stored marks by Marks, and then answer with MarksPersisted and the same Write
	ReadMarks                      // read the marks of Holder, and answer with MarksRead
	EraseMarks                     // delete the files of Holder
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
	Free               int64 // funds held here that are not reserved
	Reserved           int64
	Available          int64 // the tenant's available funds at all poolers, as the leader last reported
	AvailableAtPayment int64 // Available after the last payment
	Queued             int   // number of queued requests
	ExpiresAt          float64
	Exhausted          bool
}
