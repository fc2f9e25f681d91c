package quota

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID identifies a process, as in package view.
type ID = view.ID

// Peer is a process that can be reached according to the view.
type Peer struct {
	ID       ID
	Addr     string
	Draining bool // it is not selected as an owner unless there is no other process
}

// Event is an input of a Quota.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Received is a message that arrived.
type Received struct{ Message *Message }

// MembersChanged reports the processes that can be reached, this one included, and how many poolers may be sending to servers.
type MembersChanged struct {
	Peers          []Peer
	SendingPoolers int
}

// Demand reports how much of a limit this pooler would use if it were not limited, and how much it uses, in the limit's own unit. After
// each SetAllowance of a Concurrency limit the caller must report Used soon.
type Demand struct {
	Limit  string
	Wanted float64
	Used   float64
}

// LimitsChanged replaces the limits.
type LimitsChanged struct{ Limits []Limit }

// Leave reports that this process no longer uses any limit.
type Leave struct{}

func (Tick) event()           {}
func (Received) event()       {}
func (MembersChanged) event() {}
func (Demand) event()         {}
func (LimitsChanged) event()  {}
func (Leave) event()          {}

// MessageKind is the kind of a message.
type MessageKind uint8

// The message kinds.
const (
	LeaseRequest MessageKind = iota // to the owner
	LeaseAnswer                     // from the owner, to a LeaseRequest
	LeaseRecall                     // from the owner: use no more than Units, and send a LeaseRequest
)

// Message is a message between two processes.
type Message struct {
	Kind  MessageKind
	From  ID
	To    ID
	Items []Item
}

// Item is the part of a message about one limit.
type Item struct {
	LimitHash    uint64  // of the limit's name
	Sequence     uint32  // of the request
	Epoch        uint32  // of the owner
	OwnerTime    float64 // the owner's clock, in ms: of the answer, or of the answer that a vote refers to
	Vote         bool    // in a request: a vote for the owner of Epoch and OwnerTime; in an answer: a lease of Units
	SoonEven     bool    // the limit has this guarantee
	LastTaken    uint32  // in a request: number of the request whose answer the sender accepted last
	UnitsInUse   int     // in a request: units that are or may be in use
	RemainingMs  float64 // in a request: how long the lease may still be used
	Demand       float64 // in a request: as a part of the limit
	Units        int     // in an answer: leased units; in a recall: the most units to keep
	Pool         int     // size of the sender's pool; votes and leases of a sender with another size are ignored
	AllAccounted bool    // in an answer: all leases are accounted for, so no more than the Pool is leased
	Share        float64 // in an answer, SoonEven: as a part of the limit
}

const maxItemUnits = MaxUnits * 256 // accepted from poolers of any version

// valid reports whether the numbers of a received item are in their ranges.
func (item *Item) valid() bool {
	for _, number := range [...]float64{item.OwnerTime, item.RemainingMs, item.Demand, item.Share} {
		if !finite(number) {
			return false
		}
	}
	for _, n := range [...]int{item.UnitsInUse, item.Units, item.Pool} {
		if n < 0 || n > maxItemUnits {
			return false
		}
	}
	return true
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	Send         ActionKind = iota // send Message to Addr
	SetAllowance                   // this pooler may use Amount of Limit, with Burst, until the next one
)

// Action is something that a Quota asks its caller to do.
type Action struct {
	Kind    ActionKind
	Addr    string
	Message *Message
	Limit   string
	Amount  float64
	Burst   float64
}

// Status is the state of a limit at this process.
type Status struct {
	Limit     Limit
	Amount    float64 // that this process may use
	Reserved  float64 // that this process may use unconditionally
	LeaseEnds float64 // ms
	Owner     ID      // the process that requests are sent to
	IsOwner   bool    // this process leases the limit
	Epoch     uint32
	Leased    float64 // leased according to the accounts of this process, if it is the owner
	Voters    int     // processes whose votes bind them to this one
}

const maxNumber = 1e15 // bound of received numbers

// finite reports whether a received number is within the range that calculations support.
func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < maxNumber }
