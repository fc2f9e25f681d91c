package raftlog

// Bounds of accepted data.
const (
	MaxEntryBytes    = 900       // an entry fits in one datagram
	MaxDatagramBytes = 1200      // of a message that is not a snapshot chunk
	MaxChunkBytes    = 400 << 10 // of a snapshot chunk, which is sent by a stream
	MaxSnapshotBytes = 12 << 20
	MaxVoters        = 5
)

// Event is an input of the state machine.
type Event interface{ event() }

// Tick reports that the time of Log.Next has come.
type Tick struct{}

// MessageReceived carries a complete message. From is the address to which the answer to a forwarded proposal goes.
type MessageReceived struct {
	From    string
	Message []byte
}

// Address is where a voter can be reached.
type Address struct{ Name, Addr string }

// AddressesChanged replaces the addresses of the voters that can be reached.
type AddressesChanged struct{ Voters []Address }

// Propose proposes an entry, which the caller must not modify afterwards. ProposalDropped returns Ref.
type Propose struct {
	Ref   uint64
	Entry []byte
}

// StorageLoaded carries all records on the disk, in any order. A voter receives it once, before any other event. With an Err the pooler
// does not vote.
type StorageLoaded struct {
	Records []Record
	Err     error
}

// StoreCompleted reports that the records of a Store action are durable. Completions arrive in the order of the actions. After an Err this
// voter takes no further part.
type StoreCompleted struct {
	Ref uint64
	Err error
}

// SnapshotTaken answers TakeSnapshot with the Machine's snapshot after the Apply of Index. The caller must not modify Data afterwards.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// StreamCompleted reports whether a Send by stream succeeded.
type StreamCompleted struct {
	Ref uint64
	OK  bool
}

// Shutdown reports that this process is about to end: a leader transfers its leadership.
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

// Record is a key with its value on the disk, or the deletion of one.
type Record struct {
	Key     string
	Value   []byte
	Deleted bool
}

// ActionKind is what an Action requests or reports.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // send Message to Addr; with Stream by a stream, whose end StreamCompleted reports with Ref
	Store                             // make Records durable, all or none; StoreCompleted answers with Ref
	Apply                             // Entry is committed at Index
	ApplySnapshot                     // Data is the Machine's state after Index
	TakeSnapshot                      // request for the Machine's state after Index; SnapshotTaken answers
	ProposalDropped                   // the proposal of Ref is lost, as far as this pooler knows; it may be made again
	BecameLeader                      // this voter leads in Term
	LeaderChanged                     // this voter does not lead; Leader is the leader's name, empty if unknown
	VotersChanged                     // the voters are Members from Index on
	Stopped                           // this voter takes no further part; Text is the reason
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

// Machine is the state machine of a user. It must be deterministic: its state depends on nothing but the entries, not on time or the
// iteration order of a map. If a proposer retries, an entry may appear twice, at two indexes.
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
	IsVoter         bool   // the settings name this pooler as a voter
	Participates    bool   // this voter runs and is admitted by the log
	Reason          string // why this voter does not participate
	ChangingVoters  bool   // a voter's disk is being replaced; until the change is complete the old disk counts too
	Leader          string // the name of the leader, empty if unknown
	IsLeader        bool
	Term            uint64
	LastIndex       uint64
	CommitIndex     uint64
	AppliedIndex    uint64
	FirstIndex      uint64 // of the retained entries
	LogBytes        int    // approximate size of the retained entries
	PendingWrites   int    // writes that wait for the disk
	PendingForwards int    // proposals to other poolers that wait for an answer
	Members         []Member
}
