// Package quota decides how much of a limit that holds for the whole fleet each pooler may use. Every pooler has one of these; together
// they share limits out by demand. Events in, actions out: no I/O, no clock, no goroutines.
//
// # Never over
//
// A limit is cut into units (Limit.Cut). Of these, Floor are each pooler's own whatever happens, and the rest, the pool, is lent as leases by an
// owner: the first of the reachable processes by rendezvous hashing of the limit's name. Each pooler asks the owner about every Renew.
// An ask is a vote: for Promise from its sending the pooler votes for nobody else, and takes grants from nobody else. An owner lends only
// while more than half of Expect have promised, so no two ever lend at the same time, whatever each side of a partition thinks; a
// process that has just begun does not vote before what its last life may have promised is over.
//
// Times count so that what is uncertain falls on the safe side. A pooler counts its lease from when it asked, the owner its end from
// when it answered. A pooler counts its promise from when it voted, the owner from the stamp, of its own clock, that the vote
// brings back. Clocks run at most Drift off true time, so whoever waits for another's span waits Stretch of it.
//
// The owner's books have, for each pooler, the most that it can come to hold by any answer that it may still take: an answer that was
// lost, comes late or twice, is in the books until the pooler says what it took last. An owner whose majority has lapsed begins
// again, with a higher epoch and empty books. Of the pool a new owner knows nothing: it lends what is left once old leases must be
// over, but each pooler says with its vote what it holds, and that it may keep at once, as no other pooler can have been lent it.
//
// # Soon even
//
// Each pooler tells the owner of its demand, and is told its share: by its part of all demand told, of the amount times the part of
// the fleet that tells. A share that falls does so at once, one that grows waits for Renew, so others have made room. There are
// no votes: each side of a partition has its owner, which shares out its side's part.
//
// # What a pooler does that hears nobody
//
// Never over: it keeps its lease to the lease's end, and then has its Floor. The Floors of all and the pool make up the limit, so it may be
// used without asking anybody, and the lease is in its owner's books until then. Soon even: after Stale it goes to one part of as
// many as may be sending, up or down, so it is not starved.
//
// # Bounds
//
// With L the amount, B the burst, n = Expect, d the longest delay of a message, and at most n processes at a time:
//
//	never over: uses in any W seconds are at most L*W + B; at once, at most L (Over is 0 whatever links do);
//	under while cut off: the Floor of it is left, from Lease after the last answered ask on;
//	a lease of one that crashed is lent again within Stretch(Lease) + Linger + Step (Settings.Free);
//	after an owner's crash all is lent again within Settings.TakeoverBound of when all know it; what is held goes on meanwhile
//	    where Lease is longer than the view's Detect + Settings.Elect;
//	a share follows demand within Settings.Follow while links are well;
//	a lowered limit binds as soon as the last pooler knows it, but for what was lent by then: within Settings.Free of that;
//	soon even: with links well at most L; after a fault at most 2*L, for Settings.OvershootBound; in a partition that is longer than the
//	    view's Hold, L plus the parts of those on the smaller sides.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Kind says what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate        Kind = iota // uses a second
	Concurrency             // uses at once
	Budget                  // a rate of what poolers do of themselves
)

func (k Kind) String() string { return [...]string{"rate", "number", "budget"}[min(k, Budget)] }

// Guarantee says what is promised of a limit when links fail.
type Guarantee uint8

// The manners.
const (
	NeverOver  Guarantee = iota // never over
	SoonEven                    // soon even
	FixedShare                  // one part of as many as may be sending
)

func (m Guarantee) String() string {
	return [...]string{"never-over", "soon-even", "fixed"}[min(m, FixedShare)]
}

// Limit is one that holds for the whole fleet.
type Limit struct {
	Name      string
	Kind      Kind
	Guarantee Guarantee
	Amount    float64
	Burst     float64 // of a rate: uses that may come at once
	Reserve   float64 // part of it that is cut into Floors
}

// Bounds of what is taken from outside.
const (
	MaxLimits    = 64
	MaxUnits     = 4096
	MaxNameBytes = 64   // bytes
	MaxPeers     = 2000 // processes in an owner's books
	MaxItems     = 16   // in a message
)

// Partition is how a limit is cut up among n poolers.
type Partition struct {
	Units       int     // parts that it is lent in
	Reserved    int     // of them that each pooler has for its own
	Pool        int     // that are lent
	OwnBurst    float64 // of the burst, that each pooler has beside what comes with its units
	SharedBurst float64 // of the burst, that comes with the units
}

// Partition cuts a limit up. A unit is one use at once, or a part of the rate. Where the burst has at least two uses for each pooler, one of these
// is each pooler's own, so it may save up for a use by however small a part of the rate, and units are fine. Else each unit comes with
// a use of the burst.
func (l *Limit) Partition(n int) Partition {
	n = max(1, n)
	c := Partition{Units: int(l.Amount), SharedBurst: l.Burst}
	switch {
	case l.Kind == Concurrency:
	case l.Burst >= 2*float64(n):
		c.Units, c.OwnBurst, c.SharedBurst = int(min(unitsPerBurstUse*l.Burst, MaxUnits)), 1, l.Burst-float64(n)
	default:
		c.Units = int(max(1, min(l.Burst, MaxUnits)))
	}
	c.Reserved = int(l.Reserve * float64(c.Units) / float64(n))
	c.Pool = c.Units - n*c.Reserved
	return c
}

const unitsPerBurstUse = 16 // units for each use of the burst

// unitsAllowance is what so many units let a pooler use.
func (l *Limit) unitsAllowance(c *Partition, units int) (amount, burst float64) {
	x := float64(units) / float64(max(1, c.Units))
	return l.Amount * x, c.OwnBurst + c.SharedBurst*x
}

func (l *Limit) hash() uint64 { return xxhash.Sum64String(l.Name) }

// Settings say how limits are shared. Times are in ms.
type Settings struct {
	ExpectedPoolers int     // processes that there are at most, and of which more than half make an owner
	LeaseDuration   float64 // from the ask that a lease answers
	VoteDuration    float64 // from a vote
	RenewInterval   float64 // between two asks
	UrgentInterval  float64 // between two asks where something has changed
	UseTimeout      float64 // a use at once may go on for so long after its lease, or its pooler, has ended
	ClockDrift      float64 // part of a span by which a clock may be off
	TickInterval    float64 // the grain of all these
	Limits          []Limit
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{LeaseDuration: 10000, VoteDuration: 3000, RenewInterval: 500, UrgentInterval: 100, UseTimeout: 5000, ClockDrift: 0.001, TickInterval: 50}
}

// LocalWait is how long one must wait by its clock for a span of another's clock to be over.
func (s *Settings) LocalWait(ms float64) float64 { return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift) }

// leaseRetention is how long an owner keeps what it has lent in its books.
func (s *Settings) leaseRetention(k Kind) float64 {
	if k == Concurrency {
		return s.LocalWait(s.LeaseDuration + s.UseTimeout)
	}
	return s.LocalWait(s.LeaseDuration)
}

// ReclaimBound bounds the time until what was lent to one that crashed can be lent again.
func (s *Settings) ReclaimBound(k Kind) float64 { return s.leaseRetention(k) + 2*s.TickInterval }

// ElectionBound bounds the time from when all processes know that an owner has gone until most have voted for the next one.
func (s *Settings) ElectionBound(delay float64) float64 {
	return 1.5*s.VoteDuration + 3*(s.RenewInterval+s.TickInterval) + 4*delay
}

// TakeoverBound bounds the time from when all processes know that an owner has gone until the whole pool can be lent.
func (s *Settings) TakeoverBound(k Kind, delay float64) float64 {
	return s.ElectionBound(delay) + s.ReclaimBound(k)
}

// DemandBound bounds the time until shares have followed demand, where every pooler hears the owner and nothing is lost: the ask that tells of
// it, the plan, the call to those who have too much, their asks, the plan, the call to who has too little, which may have been called just
// before, its ask and the answer.
func (s *Settings) DemandBound(delay float64) float64 {
	return 4*(s.UrgentInterval+s.TickInterval) + 3*s.TickInterval + 6*delay
}

// StaleAfter is how long a share that is soon even is kept without an answer, and a demand without an ask.
func (s *Settings) StaleAfter() float64 { return 4 * s.RenewInterval }

// OvershootBound bounds how long shares that are soon even may be over after a fault, or a change of those that may be sending.
func (s *Settings) OvershootBound(delay float64) float64 {
	return s.StaleAfter() + 2*s.RenewInterval + 2*delay
}

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID       ID
	Addr     string
	Draining bool // it drains: it lends nothing, where there are others
}

// Event is something a quota is told.
type Event interface{ event() }

// Tick tells that the time asked for has come.
type Tick struct{}

// Received is a message that came.
type Received struct{ Message *Message }

// MembersChanged are the processes that can be reached, this one included; Sending is how many may be sending.
type MembersChanged struct {
	Peers          []Peer
	SendingPoolers int
}

// Demand is what a pooler would use of a limit if it might, and what it uses; in the limit's own measure. Used is wanted soon after each
// Allow of a Number.
type Demand struct {
	Limit  string
	Wanted float64
	Used   float64
}

// LimitsChanged brings limits that have changed.
type LimitsChanged struct{ Limits []Limit }

// Leave tells that this process uses nothing any more.
type Leave struct{}

func (Tick) event()           {}
func (Received) event()       {}
func (MembersChanged) event() {}
func (Demand) event()         {}
func (LimitsChanged) event()  {}
func (Leave) event()          {}

// MessageKind is a message's.
type MessageKind uint8

// The verbs.
const (
	LeaseRequest MessageKind = iota // a pooler's, to the owner
	LeaseAnswer                     // the owner's, to an Ask
	LeaseRecall                     // the owner's: keep no more than Units, and ask again
)

// Message goes between two processes.
type Message struct {
	Kind  MessageKind
	From  ID
	To    ID
	Items []Item
}

// Item is about one limit.
type Item struct {
	LimitHash    uint64 // hash of its name
	Sequence     uint32 // of the Ask
	Epoch        uint32 // of the owner
	OwnerTime    float64
	Vote         bool // Ask: a promise, of the epoch and by the stamp that the owner gave; Answer: it lends Units
	SoonEven     bool // by the manner soon even
	LastTaken    uint32
	UnitsInUse   int     // Ask: units that are or may be in use
	RemainingMs  float64 // Ask: ms that they may go on
	Demand       float64 // Ask: as a part of the limit
	Units        int
	Pool         int     // that the units are of, by the sender's settings: those of others are not counted
	AllAccounted bool    // Answer: no more is lent than the Pool
	Share        float64 // Answer, soon even: as a part of the limit
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send         ActionKind = iota // Message goes to Addr
	SetAllowance                   // from now on this pooler may use so much of Limit
)

// Action is something a quota asks for.
type Action struct {
	Kind    ActionKind
	Addr    string
	Message *Message
	Limit   string
	Amount  float64
	Burst   float64
}

// Status is how a limit stands at this process, for those who look.
type Status struct {
	Limit     Limit
	Amount    float64 // that this process may use
	Reserved  float64 // that it may always
	LeaseEnds float64 // when that ends without another word
	Owner     ID      // whom it asks
	IsOwner   bool    // this process lends it
	Epoch     uint32
	Lent      float64 // by this process's books
	Voters    int     // processes whose promise this one has
}

// finite tells whether a number from outside may be reckoned with.
func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < 1e15 }
