package raftlog

// Bounds of what is accepted.
const (
	MaxEntryBytes    = 900       // an entry goes in one datagram
	MaxDatagramBytes = 1200      // of a message that is no part of a snapshot
	MaxChunkBytes    = 400 << 10 // of a part of a snapshot, which goes by a stream
	MaxSnapshotBytes = 12 << 20
	MaxVoters        = 5
)

// Event is an input of the state machine.
type Event interface{ event() }

// Tick is due at Log.Next.
type Tick struct{}

// MessageReceived brings a whole message. From is the address for the answer to a forwarded proposal.
type MessageReceived struct {
	From    string
	Message []byte
}

// Address is where a voter can be reached.
type Address struct{ Name, Addr string }

// AddressesChanged brings the addresses of all voters that can be reached.
type AddressesChanged struct{ Voters []Address }

// Propose asks for an entry, which the caller must not change any more. Ref is returned by ProposalDropped.
type Propose struct {
	Ref   uint64
	Entry []byte
}

// StorageLoaded brings all that the disk holds, in any order. At a voter it comes first, and once. With an Err the pooler does not vote.
type StorageLoaded struct {
	Records []Record
	Err     error
}

// StoreCompleted reports that the records of a Store action are durable, in the order of these actions. An Err is final.
type StoreCompleted struct {
	Ref uint64
	Err error
}

// SnapshotTaken brings the Machine's snapshot, after the Apply of Index; it answers TakeSnapshot. The caller must not change Data any more.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// StreamCompleted reports the end of a Send by stream.
type StreamCompleted struct {
	Ref uint64
	OK  bool
}

// Shutdown reports that this process is about to end: a leader hands its duty over.
type Shutdown struct{}

func (Tick) event()             {}
func (MessageReceived) event()  {}
func (AddressesChanged) event() {}
func (Propose) event()          {}
func (StorageLoaded) event()    {}
func (StoreCompleted) event()   {}
func (SnapshotTaken) event()    {}
func (StreamCompleted) event()  {}
func (Shutdown) event()         {}

// Record is a record on the disk.
type Record struct {
	Key     string
	Value   []byte
	Deleted bool
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // Message goes to Addr; with Stream by a stream, and StreamCompleted answers with Ref
	Store                             // Records are to be made durable, all or none; StoreCompleted answers with Ref
	Apply                             // Entry is committed at Index
	ApplySnapshot                     // Data is the Machine's state after Index
	TakeSnapshot                      // the Machine's state after Index is wanted; SnapshotTaken answers
	ProposalDropped                   // the proposal of Ref is lost, as far as is known here; it may be made again
	BecameLeader                      // this voter leads in Term
	LeaderChanged                     // another voter leads: Leader, empty for nobody known
	VotersChanged                     // the voters are Members from Index on
	Stopped                           // this voter takes no part any more: Text says why
)

// String names the action in logs and in traces of the model checker.
func (k ActionKind) String() string {
	names := [...]string{"send", "store", "apply", "apply-snapshot", "take-snapshot", "dropped", "leads", "follows", "voters", "broke"}
	return names[min(k, Stopped)]
}

// Action is an output of the state machine.
type Action struct {
	Kind    ActionKind
	Ref     uint64
	Addr    string
	To      string // the voter's name; empty for a pooler that does not vote
	Message []byte
	Stream  bool
	Records []Record
	Index   uint64
	Term    uint64
	Entry   []byte
	Data    []byte
	Leader  string
	Members []Member
	Text    string
}

// Machine is the state machine of a user. It must be deterministic: nothing but the entries goes into it, no time and no order of a map. An
// entry may come in two copies with two indexes, where its proposer tried again.
type Machine interface {
	Apply(index uint64, entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error // empty for the state before the first entry
}

// Member is a voter: a name with the number of its disk.
type Member struct {
	Name string
	Disk uint64
}

// Status is the state of the log at this pooler, for metrics and logs.
type Status struct {
	IsVoter         bool   // the settings name this pooler
	Participates    bool   // ...and it takes part
	Reason          string // why it does not take part
	ChangingVoters  bool   // a voter's place is going over to another disk: until then the old one counts too
	Leader          string // as far as is known, empty for nobody
	IsLeader        bool
	Term            uint64
	LastIndex       uint64
	CommitIndex     uint64
	AppliedIndex    uint64
	FirstIndex      uint64 // of the entries that are kept
	LogBytes        int    // of the entries that are kept, about
	PendingWrites   int    // that wait for the disk
	PendingForwards int    // proposals to other poolers that wait for an answer
	Members         []Member
}
