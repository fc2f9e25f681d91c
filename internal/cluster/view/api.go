package view

import "cmp"

// ID identifies one process: the time of its start and a random number. A process that started later has a higher ID.
type ID uint64

const (
	randomBits = 16
	randomMask = 1<<randomBits - 1
)

// NewID returns the ID of a process that started at startMs, in Unix ms. Of random only the low 16 bits are used.
func NewID(startMs float64, random uint64) ID {
	return ID(uint64(startMs)<<randomBits | random&randomMask)
}

// State is the state of a process as far as a view knows.
type State uint8

// The states. Within an incarnation a later one overrides an earlier one.
const (
	Alive   State = iota
	Suspect       // did not answer, and may refute the suspicion
	Failed        // crashed or is cut off; the two cannot be distinguished
	Left          // announced its end, or was replaced by another process; final
)

// String returns the state's name in logs and answers.
func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(s, Left)]
}

// Record is what a view knows of one process. The JSON keys are fixed.
type Record struct {
	ID          ID     `json:"ID"`
	Name        string `json:"Name"`
	Addr        string `json:"Addr"`
	Zone        string `json:"Zone"`
	Region      string `json:"Region"`
	Version     string `json:"Version"`
	Incarnation uint32 `json:"Inc"` // raised by the process itself, to refute a suspicion or announce a change
	State       State  `json:"State"`
	Draining    bool   `json:"Draining"` // announced by the process itself, which then accepts no more clients
}

// Bounds of received records.
const (
	MaxRecords   = 2000 // processes in a view, including those that failed or left
	MaxNameBytes = 64   // of each string of a record
)

const recordOverheadBytes = 32 // size of a record without its strings

// Size returns the approximate size in bytes of the record in a message.
func (r *Record) Size() int {
	return recordOverheadBytes + len(r.Name) + len(r.Addr) + len(r.Zone) + len(r.Region) + len(r.Version)
}

// Valid reports whether a record may be accepted.
func (r *Record) Valid() bool {
	if r.ID == 0 || r.State > Left || r.Name == "" || r.Addr == "" {
		return false
	}
	return max(len(r.Name), len(r.Addr), len(r.Zone), len(r.Region), len(r.Version)) <= MaxNameBytes
}

// Kind is the kind of a message.
type Kind uint8

// The kinds.
const (
	Ping        Kind = iota // asks for an Ack
	Ack                     // answers a Ping
	PingRequest             // asks the receiver to send a Ping to the Target on the sender's behalf
	Gossip                  // carries records only
)

// Message is a datagram between two processes.
type Message struct {
	Kind     Kind
	From     ID
	Sequence uint32 // number of the Ping or PingRequest that is sent or answered
	Target   ID     // the receiver of a Ping, the subject of a PingRequest, the sender of an Ack
	Records  []Record
}

// Event is an input of a view.
type Event interface{ event() }

// Tick reports that the time of NextTick has come.
type Tick struct{}

// Received is a message that arrived.
type Received struct{ Message *Message }

// ExchangeCompleted carries the records that the other side sent in a full exchange, whichever side started it.
type ExchangeCompleted struct{ Records []Record }

// SetDraining announces whether this process accepts clients.
type SetDraining struct{ Draining bool }

// Leave announces that this process ends and no longer sends anything to servers.
type Leave struct{}

func (Tick) event()              {}
func (Received) event()          {}
func (ExchangeCompleted) event() {}
func (SetDraining) event()       {}
func (Leave) event()             {}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	Send          ActionKind = iota // send Message to Addr
	StartExchange                   // start a full exchange with Addr
	RecordChanged                   // Record is new (IsNew) or changed; Previous is its state before
	NameConflict                    // another process uses this one's name; Text describes the conflict
)

// Action is something that a view asks its caller to do.
type Action struct {
	Kind     ActionKind
	Addr     string
	Message  *Message
	Record   Record
	Previous State
	IsNew    bool
	Text     string
}

// Counts summarize a view. The JSON keys are fixed.
type Counts struct {
	Reachable int  `json:"Reachable"` // number of processes that answer, and this one
	Sending   int  `json:"Sending"`   // number of processes that may be sending to servers, this one included
	Majority  bool `json:"Majority"`  // more than half of the expected processes can be reached
	Isolated  bool `json:"Alone"`     // nobody has answered for a while
}

// compareRecords orders two records of one process: the newer one is greater.
func compareRecords(a, b *Record) int {
	if a.State == Left || b.State == Left {
		return cmp.Compare(a.State, b.State)
	}
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State))
}
