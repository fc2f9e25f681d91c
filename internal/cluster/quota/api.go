package quota

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID identifies a process, as in the view.
type ID = view.ID

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID       ID
	Addr     string
	Draining bool // it owns no limit, where there are others
}

// Event is an input of a Quota.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Received is a message that arrived.
type Received struct{ Message *Message }

// MembersChanged reports the processes that can be reached, this one included, and how many may be sending.
type MembersChanged struct {
	Peers          []Peer
	SendingPoolers int
}

// Demand reports what this pooler would use of a limit if it might, and what it uses, in the limit's own unit. Used must follow each
// SetAllowance of a Concurrency limit soon.
type Demand struct {
	Limit  string
	Wanted float64
	Used   float64
}

// LimitsChanged replaces the limits.
type LimitsChanged struct{ Limits []Limit }

// Leave reports that this process uses nothing any more.
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
	LeaseAnswer                     // of the owner, to a LeaseRequest
	LeaseRecall                     // of the owner: use no more than Units, and send a LeaseRequest
)

// Message goes between two processes.
type Message struct {
	Kind  MessageKind
	From  ID
	To    ID
	Items []Item
}

// Item is the part of a message about one limit.
type Item struct {
	LimitHash    uint64 // of the limit's name
	Sequence     uint32 // of the request
	Epoch        uint32 // of the owner
	OwnerTime    float64
	Vote         bool // in a request: a vote for the owner, by the Epoch and OwnerTime that it gave; in an answer: a lease of Units
	SoonEven     bool // the limit has this guarantee
	LastTaken    uint32
	UnitsInUse   int     // in a request: units that are or may be in use
	RemainingMs  float64 // in a request: how long these may still be used
	Demand       float64 // in a request: as a part of the limit
	Units        int
	Pool         int     // that the units are of: those of a sender with other settings do not count
	AllAccounted bool    // in an answer: no more than the Pool is leased
	Share        float64 // in an answer, SoonEven: as a part of the limit
}

const maxItemUnits = MaxUnits * 256 // by the settings of any version

// valid reports whether the numbers of a received item are in their ranges.
func (item *Item) valid() bool {
	for _, x := range [...]float64{item.OwnerTime, item.RemainingMs, item.Demand, item.Share} {
		if !finite(x) {
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
	SetAllowance                   // from now on this pooler may use Amount of Limit, with Burst
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
	Reserved  float64 // that it may use unconditionally
	LeaseEnds float64 // ms
	Owner     ID      // that its requests go to
	IsOwner   bool    // this process leases the limit
	Epoch     uint32
	Leased    float64 // leased, by this owner's accounts
	Voters    int     // processes that are bound to this one by their votes
}

const maxNumber = 1e15 // of received numbers

// finite reports whether a received number can be calculated with.
func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < maxNumber }
