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
	Request int64
	Row     int64 // each row of an answer
	Second  int64 // each second of a server's work
	Most    int64 // what is held, and charged at most; Request, where it is less
	Failed  bool  // one that failed costs Request
}

func (p *Price) held(parts int) int64 { return max(p.Request, p.Most) * int64(max(1, parts)) }

// Class is one, as far as credit goes.
type Class struct {
	Price
	Worth float64
	Depth int64 // how far below nothing its tenant's balance may go for it
}

// Settings say how a purse is kept. Times are in ms.
type Settings struct {
	Lease   float64 // from the ask that is answered
	Renew   float64 // between two asks about one account where nothing is needed, and an ask's patience
	Soon    float64 // the same where something is
	Dry     float64 // between two asks for what there was nothing of
	Span    float64 // of spending that is asked for
	Idle    float64 // a tenant that spends nothing for so long has none
	Wait    float64 // that a request may wait for
	Drift   float64 // part of a span by which a clock may be off
	Grace   float64 // added to what a voter waits before an end
	Step    float64
	Below   float64 // part of what there was after the last payment, below which a tenant is slowed; 0 for never
	Least   float64 // part of what it would spend that one that is slowed may at least
	Marks   bool
	Classes []Class
	Prepaid []string // tenants; others pay nothing
	Checks  *invariant.Checks

	FromAnswer bool // a mutant: ends count from the answer's arrival
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Lease: 10000, Renew: 1000, Soon: 100, Dry: 400, Span: 2000, Idle: 5000, Wait: 250, Drift: 0.001, Grace: 500, Step: 50, Least: 0.25}
}

// Stretch is how long one must wait by its clock for a span of another's to be over.
func (s *Settings) Stretch(ms float64) float64 { return ms * (1 + s.Drift) / (1 - s.Drift) }

// Ends is how long a voter waits, from when it applied an account's last Seq itself, before it proposes the account's end.
func (s *Settings) Ends() float64 { return s.Stretch(s.Lease) + s.Grace }

// Opens bounds the time from when the log has a payment until a tenant whose funds were out is let in at a pooler that hears the leader: its
// next ask, the leader's beat and the log's round, the answer.
func (s *Settings) Opens(beat, commit, delay float64) float64 {
	return s.Dry + 2*s.Step + beat + commit + 2*delay
}

// MostWaits bounds the requests of one tenant that wait.
const MostWaits = 1024

// Verdict is about a request.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota
	Wait         // Admit or Turn will tell
	Slow         // the tenant's funds run low, and this request is among its least
	None         // its funds are out
)

func (v Verdict) String() string {
	return [...]string{"pass", "wait", "slowed", "no funds"}[min(v, None)]
}

// Hold is what is held for a request that was let in; Settle gives it up.
type Hold struct {
	Tenant string
	Depth  int64
	Gen    uint32
	Amount int64
	Price  Price // as it was
}

// Done is what came of a request: of a scattered one, of its parts.
type Done struct {
	Served, Failed int
	Rows           int64
	Seconds        float64
}

// Cost is what is charged.
func (h *Hold) Cost(d Done) int64 {
	n := int64(d.Served) * h.Price.Request
	if h.Price.Failed {
		n += int64(d.Failed) * h.Price.Request
	}
	if d.Served > 0 {
		n += h.Price.Row*max(0, d.Rows) + int64(float64(h.Price.Second)*max(0, d.Seconds))
	}
	return max(0, min(n, h.Amount))
}

// Event is something a purse is told.
type Event interface{ event() }

// Tick tells that the time asked for has come.
type Tick struct{}

// Heard is answers that came from the leader.
type Heard struct{ Answers []message.Answer }

// Retune brings settings that have changed.
type Retune struct{ Settings Settings }

// Marked tells that marks are safely written, up to this one.
type Marked struct{ No uint64 }

// Inherit names processes that are no more and left files.
type Inherit struct{ Gone []ledger.Holder }

// Found is what such a file has, read after Read.
type Found struct {
	Holder ledger.Holder
	Marks  []Mark
}

// Leave tells that nothing is spent any more.
type Leave struct{}

func (Tick) event()    {}
func (Heard) event()   {}
func (Retune) event()  {}
func (Marked) event()  {}
func (Inherit) event() {}
func (Found) event()   {}
func (Leave) event()   {}

// Mark is the most of an account that may have been spent.
type Mark struct {
	Key   ledger.Key `json:"Key"`
	Spent int64      `json:"Spent"`
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Tell  ActionKind = iota // Asks go to the leader
	Admit                   // the request of Tag may go on, with Hold
	Turn                    // the request of Tag is refused
	Write                   // Marks, all that there are, are to be written under No
	Read                    // the file of Holder is to be read, by Found
	Erase                   // the file of Holder has served
)

// Action is something a purse asks for.
type Action struct {
	Kind  ActionKind
	Asks  []message.Ask
	Tag   uint64
	Hold  Hold
	Marks []Mark
	No    uint64

	Holder ledger.Holder
}

// Standing is how a tenant stands here, for those who look.
type Standing struct {
	Tenant     string
	Free, Held int64
	Left, Full int64
	Waiting    int
	Until      float64
	Dry        bool
}
