// Package lease is a pooler's side of credit: what it holds of tenants' funds, what it asks for, and whether a request is let in. Events in,
// actions out: no I/O, no clock, no goroutines.
//
// # What it decides
//
// A request is let in if its price can be held of what is here. The price is held once, at the admission; what the request came to cost is taken
// of it at the final answer, and the rest is free again. So repeats and copies cost nothing, and nothing is charged that is not held. Where a
// tenant has no account here, or its account is empty, and it is not known that its funds are out, the request waits, for Wait at
// most; once they are known to be out it is refused at once.
//
// # What it asks for
//
// As much as the tenant spends in Span, of which the leader grants what there is (package bank). It asks again at half of it, so that
// a request finds funds here and waits for nobody. What a tenant that has fallen silent has left goes back after Idle, and what the
// leader calls for goes back at once.
//
// # Ends
//
// What is here may be used for Lease from the sending of the last ask that was answered, by this process's clock. Whatever comes is
// held to that first: a process that was stopped and wakes spends nothing of what is over. An account that is over is closed by its last word, once all
// that was let in by it has ended, and a new one opened. A process that hears nobody spends what it has until then, by class also what it
// holds beyond the funds (Class.Depth), and then nothing.
//
// # Marks
//
// Where files are kept (Settings.Marks), it spends of an account no more than the mark that is safely written, and asks for a higher one
// in time. Whoever finds the files of a process that is no more has the log bar it, waits until the log has the ends of all its
// accounts, and only then reads the marks and tells them as last words: a process that was asleep, not dead, has woken to no funds by then. Of one
// that crashed what its last mark was above what it spent is charged, and no more.
package lease

import (
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

// Price is what a request of a class costs, in the operators' unit.
type Price struct {
	PerRequest   int64
	PerRow       int64 // each row of an answer
	PerSecond    int64 // each second of a server's work
	Max          int64 // what is held, and charged at most; Request, where it is less
	ChargeFailed bool  // one that failed costs Request
}

func (p *Price) reservation(parts int) int64 { return max(p.PerRequest, p.Max) * int64(max(1, parts)) }

// Class is one, as far as credit goes.
type Class struct {
	Price
	PriorityWeight float64
	Overdraft      int64 // how far below nothing its tenant's balance may go for it
}

// Settings say how a purse is kept. Times are in ms.
type Settings struct {
	Duration          float64 // from the ask that is answered
	RenewInterval     float64 // between two asks about one account where nothing is needed, and an ask's patience
	UrgentInterval    float64 // the same where something is
	ExhaustedInterval float64 // between two asks for what there was nothing of
	GrantHorizon      float64 // of spending that is asked for
	IdleTimeout       float64 // a tenant that spends nothing for so long has none
	QueueTimeout      float64 // that a request may wait for
	ClockDrift        float64 // part of a span by which a clock may be off
	Grace             float64 // added to what a voter waits before an end
	TickInterval      float64
	ThrottleBelow     float64 // part of what there was after the last payment, below which a tenant is slowed; 0 for never
	MinThrottledShare float64 // part of what it would spend that one that is slowed may at least
	PersistMarks      bool
	Classes           []Class
	PrepaidTenants    []string // tenants; others pay nothing
	Checks            *invariant.Checks

	ExpireFromResponse bool // a mutant: ends count from the answer's arrival
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Duration: 10000, RenewInterval: 1000, UrgentInterval: 100, ExhaustedInterval: 400, GrantHorizon: 2000, IdleTimeout: 5000, QueueTimeout: 250, ClockDrift: 0.001, Grace: 500, TickInterval: 50, MinThrottledShare: 0.25}
}

// StretchForDrift is how long one must wait by its clock for a span of another's to be over.
func (s *Settings) StretchForDrift(ms float64) float64 {
	return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift)
}

// ExpiryDelay is how long a voter waits, from when it applied an account's last Seq itself, before it proposes the account's end.
func (s *Settings) ExpiryDelay() float64 { return s.StretchForDrift(s.Duration) + s.Grace }

// PaymentPropagation bounds the time from when the log has a payment until a tenant whose funds were out is let in at a pooler that hears the leader: its
// next ask, the leader's beat and the log's round, the answer.
func (s *Settings) PaymentPropagation(beat, commit, delay float64) float64 {
	return s.ExhaustedInterval + 2*s.TickInterval + beat + commit + 2*delay
}

// MaxQueued bounds the requests of one tenant that wait.
const MaxQueued = 1024

// Decision is about a request.
type Decision uint8

// The verdicts.
const (
	Admitted  Decision = iota
	Queued             // Admit or Turn will tell
	Throttled          // the tenant's funds run low, and this request is among its least
	Exhausted          // its funds are out
)

func (v Decision) String() string {
	return [...]string{"pass", "wait", "slowed", "no funds"}[min(v, Exhausted)]
}

// Reservation is what is held for a request that was let in; Settle gives it up.
type Reservation struct {
	Tenant     string
	Overdraft  int64
	Generation uint32
	Amount     int64
	Price      Price // as it was
}

// Usage is what came of a request: of a scattered one, of its parts.
type Usage struct {
	Served, Failed int
	Rows           int64
	Seconds        float64
}

// Charge is what is charged.
func (h *Reservation) Charge(d Usage) int64 {
	n := int64(d.Served) * h.Price.PerRequest
	if h.Price.ChargeFailed {
		n += int64(d.Failed) * h.Price.PerRequest
	}
	if d.Served > 0 {
		n += h.Price.PerRow*max(0, d.Rows) + int64(float64(h.Price.PerSecond)*max(0, d.Seconds))
	}
	return max(0, min(n, h.Amount))
}

// Event is something a purse is told.
type Event interface{ event() }

// Tick tells that the time asked for has come.
type Tick struct{}

// ResponsesReceived is answers that came from the leader.
type ResponsesReceived struct{ Responses []message.Response }

// SettingsChanged brings settings that have changed.
type SettingsChanged struct{ Settings Settings }

// MarksPersisted tells that marks are safely written, up to this one.
type MarksPersisted struct{ Write uint64 }

// Recover names processes that are no more and left files.
type Recover struct{ Holders []ledger.Holder }

// MarksRead is what such a file has, read after Read.
type MarksRead struct {
	Holder ledger.Holder
	Marks  []HighWaterMark
}

// Shutdown tells that nothing is spent any more.
type Shutdown struct{}

func (Tick) event()              {}
func (ResponsesReceived) event() {}
func (SettingsChanged) event()   {}
func (MarksPersisted) event()    {}
func (Recover) event()           {}
func (MarksRead) event()         {}
func (Shutdown) event()          {}

// HighWaterMark is the most of an account that may have been spent.
type HighWaterMark struct {
	Key   ledger.Key `json:"Key"`
	Spent int64      `json:"Spent"`
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	SendRequests ActionKind = iota // Asks go to the leader
	Admit                          // the request of Tag may go on, with Hold
	Reject                         // the request of Tag is refused
	PersistMarks                   // Marks, all that there are, are to be written under No
	ReadMarks                      // the file of Holder is to be read, by Found
	EraseMarks                     // the file of Holder has served
)

// Action is something a purse asks for.
type Action struct {
	Kind        ActionKind
	Requests    []message.Request
	Tag         uint64
	Reservation Reservation
	Marks       []HighWaterMark
	Write       uint64

	Holder ledger.Holder
}

// Status is how a tenant stands here, for those who look.
type Status struct {
	Tenant                        string
	Free, Reserved                int64
	Available, AvailableAtPayment int64
	Queued                        int
	ExpiresAt                     float64
	Exhausted                     bool
}
