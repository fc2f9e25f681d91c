package raftlog

import "beechgrade/internal/invariant"

// Bounds of what is taken from outside.
const (
	MaxEntryBytes    = 900       // bytes of an entry: it goes in one datagram
	MaxDatagramBytes = 1200      // bytes of a message that is no part of a snapshot
	MaxChunkBytes    = 400 << 10 // bytes of a part of a snapshot, which goes by a stream
	MaxSnapshotBytes = 12 << 20
	MaxVoters        = 5
)

// Settings say how a log is kept.
type Settings struct {
	Self            string   // this pooler's name
	Voters          []string // by pooler names, the same at all
	TickInterval    float64  // ms
	ElectionTicks   int      // ticks
	HeartbeatTicks  int      // ticks
	SnapshotEntries int      // entries after which a snapshot is made
	SnapshotBytes   int      // ...or bytes of them
	KeepEntries     int      // entries before it that are kept for who is a little behind
	MaxPendingBytes int      // bytes that may wait for a majority
	MaxForwards     int      // proposals to others that may wait for their word
	Seed            uint64   // seed of what is drawn: a disk's number, when to stand for election; another one at each start
	Checks          *invariant.Checks
}

// Event is something a log is told.
type Event interface{ event() }

// Tick tells that the time asked for has come.
type Tick struct{}

// MessageReceived is a message that came, whole. From is the address that an answer to a proposal goes to.
type MessageReceived struct {
	From    string
	Message []byte
}

// Address is where a voter is.
type Address struct{ Name, Addr string }

// AddressesChanged are the addresses of voters as the view knows them.
type AddressesChanged struct{ Voters []Address }

// Propose asks for an entry. Ref is the proposer's, for Dropped. The entry is not changed any more.
type Propose struct {
	Ref   uint64
	Entry []byte
}

// StorageLoaded is what the disk holds, all of it, in any order; it comes first and once, at a voter. Err tells that it cannot be read: then
// this pooler does not vote.
type StorageLoaded struct {
	Records []Record
	Err     error
}

// StoreCompleted tells that the disk has a Store durable. They come in the order of the Stores; Err is final.
type StoreCompleted struct {
	Ref uint64
	Err error
}

// SnapshotTaken brings the Machine's snapshot that TakeSnapshot asked for, after all Apply before it. It is not changed any more.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// StreamCompleted tells the end of a Send by stream.
type StreamCompleted struct {
	Ref uint64
	OK  bool
}

// Shutdown tells that this process ends: a leader has another take over.
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

// Record is a record on the disk: set, or gone.
type Record struct {
	Key     string
	Value   []byte
	Deleted bool
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // Message goes to Addr; by a stream where Stream is set, then Sent tells its end by Ref
	Store                             // Records are made durable, all or none, then Stored tells that by Ref
	Apply                             // Entry, the Index-th, is agreed
	ApplySnapshot                     // Data is the Machine's state after Index
	TakeSnapshot                      // the Machine's state after Index is wanted, by Taken
	ProposalDropped                   // the proposal of Ref is lost, as far as is known here: it may be made again
	BecameLeader                      // this voter leads in Term
	LeaderChanged                     // it follows Leader, empty for nobody known
	VotersChanged                     // the voters are Members from Index on
	Stopped                           // this voter takes no part any more: Text says why
)

func (k ActionKind) String() string {
	return [...]string{"send", "store", "apply", "apply-snapshot", "take-snapshot", "dropped", "leads", "follows", "voters", "broke"}[min(k, Stopped)]
}

// Action is something a log asks for.
type Action struct {
	Kind    ActionKind
	Ref     uint64
	Addr    string
	To      string // the voter's name; empty for one that does not vote
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

// Machine is what a user makes of the entries. It is the same at each voter after the same entries: nothing but these goes into it,
// no time, no map's order. An entry may come in two copies with two indexes, where its proposer tried again.
type Machine interface {
	Apply(index uint64, entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error // empty for the state before the first entry
}

// Status is how a log stands at this pooler, for those who look.
type Status struct {
	IsVoter         bool   // this pooler is named as a voter
	Participates    bool   // ...and takes part
	Reason          string // ...or why it does not
	ChangingVoters  bool   // a voter's place is going over to another disk: until it has, the old one counts too
	Leader          string // as far as is known, empty for nobody
	IsLeader        bool
	Term            uint64
	LastIndex       uint64 // entry in the log
	CommitIndex     uint64
	AppliedIndex    uint64
	FirstIndex      uint64 // entry that is kept
	LogBytes        int    // about, of the entries that are kept
	PendingWrites   int    // writes that wait for the disk
	PendingForwards int    // proposals to others that wait for their word
	Members         []Member
}

// Member is a voter: a name with the number of its disk.
type Member struct {
	Name string
	Disk uint64
}

// Defaults are for voters within one region or a few.
func Defaults() Settings {
	return Settings{TickInterval: 50, ElectionTicks: 20, HeartbeatTicks: 2, SnapshotEntries: 10000, SnapshotBytes: 4 << 20, KeepEntries: 1000, MaxPendingBytes: 1 << 20, MaxForwards: 1024}
}

// ElectionBound bounds the time from a leader's crash to another's first message, where no two stand at once.
func (s *Settings) ElectionBound(delay, disk float64) float64 {
	return float64(2*s.ElectionTicks+2)*s.TickInterval + 4*delay + 2*disk
}

// SplitVoteBound bounds the chance that two of those that stand after a crash do so too close for one to win.
func (s *Settings) SplitVoteBound(delay, disk float64) float64 {
	return min(1, float64(len(s.Voters)-1)*(2*delay+disk+s.TickInterval)/(float64(s.ElectionTicks)*s.TickInterval))
}

// ProposalBound bounds the time from a proposal until it is applied where it was made, while a leader stands; losses is of messages lost in
// a row.
func (s *Settings) ProposalBound(delay, disk float64, losses int) float64 {
	return 4*delay + 2*disk + float64(losses)*(float64(s.HeartbeatTicks+1)*s.TickInterval+2*delay)
}

// ForwardTimeout is how long another's word on a proposal is waited for.
func (s *Settings) ForwardTimeout() float64 { return float64(s.ElectionTicks+2) * s.TickInterval }

// MaxLogEntries bounds the entries that are kept where so many are proposed in the time that a snapshot takes to be durable.
func (s *Settings) MaxLogEntries(meanwhile int) int {
	return s.KeepEntries + s.SnapshotEntries + meanwhile
}
