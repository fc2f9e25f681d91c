package raftlog

import "beechgrade/internal/invariant"

// Bounds of what is taken from outside.
const (
	MostEntry    = 900       // bytes of an entry: it goes in one datagram
	MostDatagram = 1200      // bytes of a message that is no part of a snapshot
	MostChunk    = 400 << 10 // bytes of a part of a snapshot, which goes by a stream
	MostSnapshot = 12 << 20
	MostVoters   = 5
)

// Settings say how a log is kept.
type Settings struct {
	Self       string   // this pooler's name
	Voters     []string // by pooler names, the same at all
	Tick       float64  // ms
	Election   int      // ticks
	Heartbeat  int      // ticks
	Every      int      // entries after which a snapshot is made
	SnapBytes  int      // ...or bytes of them
	Keep       int      // entries before it that are kept for who is a little behind
	MaxPending int      // bytes that may wait for a majority
	Forwards   int      // proposals to others that may wait for their word
	Drawn      uint64   // seed of what is drawn: a disk's number, when to stand for election; another one at each start
	Checks     *invariant.Checks
}

// Event is something a log is told.
type Event interface{ event() }

// Tick tells that the time asked for has come.
type Tick struct{}

// Heard is a message that came, whole. From is the address that an answer to a proposal goes to.
type Heard struct {
	From    string
	Message []byte
}

// Address is where a voter is.
type Address struct{ Name, Addr string }

// Members are the addresses of voters as the view knows them.
type Members struct{ Voters []Address }

// Propose asks for an entry. Ref is the proposer's, for Dropped. The entry is not changed any more.
type Propose struct {
	Ref   uint64
	Entry []byte
}

// Restored is what the disk holds, all of it, in any order; it comes first and once, at a voter. Err tells that it cannot be read: then
// this pooler does not vote.
type Restored struct {
	Records []Record
	Err     error
}

// Stored tells that the disk has a Store durable. They come in the order of the Stores; Err is final.
type Stored struct {
	Ref uint64
	Err error
}

// Taken brings the Machine's snapshot that TakeSnapshot asked for, after all Apply before it. It is not changed any more.
type Taken struct {
	Index uint64
	Data  []byte
}

// Sent tells the end of a Send by stream.
type Sent struct {
	Ref uint64
	OK  bool
}

// Leave tells that this process ends: a leader has another take over.
type Leave struct{}

func (Tick) event()     {}
func (Heard) event()    {}
func (Members) event()  {}
func (Propose) event()  {}
func (Restored) event() {}
func (Stored) event()   {}
func (Taken) event()    {}
func (Sent) event()     {}
func (Leave) event()    {}

// Record is a record on the disk: set, or gone.
type Record struct {
	Key   string
	Value []byte
	Gone  bool
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send          ActionKind = iota // Message goes to Addr; by a stream where Stream is set, then Sent tells its end by Ref
	Store                           // Records are made durable, all or none, then Stored tells that by Ref
	Apply                           // Entry, the Index-th, is agreed
	ApplySnapshot                   // Data is the Machine's state after Index
	TakeSnapshot                    // the Machine's state after Index is wanted, by Taken
	Dropped                         // the proposal of Ref is lost, as far as is known here: it may be made again
	Leads                           // this voter leads in Term
	Follows                         // it follows Leader, empty for nobody known
	Voters                          // the voters are Members from Index on
	Broke                           // this voter takes no part any more: Text says why
)

func (k ActionKind) String() string {
	return [...]string{"send", "store", "apply", "apply-snapshot", "take-snapshot", "dropped", "leads", "follows", "voters", "broke"}[min(k, Broke)]
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

// Standing is how a log stands at this pooler, for those who look.
type Standing struct {
	Votes   bool   // this pooler is named as a voter
	Part    bool   // ...and takes part
	Why     string // ...or why it does not
	Changes bool   // a voter's place is going over to another disk: until it has, the old one counts too
	Leader  string // as far as is known, empty for nobody
	Leads   bool
	Term    uint64
	Last    uint64 // entry in the log
	Commit  uint64
	Applied uint64
	First   uint64 // entry that is kept
	Bytes   int    // about, of the entries that are kept
	Pending int    // writes that wait for the disk
	Waiting int    // proposals to others that wait for their word
	Members []Member
}

// Member is a voter: a name with the number of its disk.
type Member struct {
	Name string
	Disk uint64
}

// Defaults are for voters within one region or a few.
func Defaults() Settings {
	return Settings{Tick: 50, Election: 20, Heartbeat: 2, Every: 10000, SnapBytes: 4 << 20, Keep: 1000, MaxPending: 1 << 20, Forwards: 1024}
}

// Elect bounds the time from a leader's crash to another's first message, where no two stand at once.
func (s *Settings) Elect(delay, disk float64) float64 {
	return float64(2*s.Election+2)*s.Tick + 4*delay + 2*disk
}

// Collide bounds the chance that two of those that stand after a crash do so too close for one to win.
func (s *Settings) Collide(delay, disk float64) float64 {
	return min(1, float64(len(s.Voters)-1)*(2*delay+disk+s.Tick)/(float64(s.Election)*s.Tick))
}

// Propose bounds the time from a proposal until it is applied where it was made, while a leader stands; losses is of messages lost in
// a row.
func (s *Settings) Propose(delay, disk float64, losses int) float64 {
	return 4*delay + 2*disk + float64(losses)*(float64(s.Heartbeat+1)*s.Tick+2*delay)
}

// Patience is how long another's word on a proposal is waited for.
func (s *Settings) Patience() float64 { return float64(s.Election+2) * s.Tick }

// MostLog bounds the entries that are kept where so many are proposed in the time that a snapshot takes to be durable.
func (s *Settings) MostLog(meanwhile int) int { return s.Keep + s.Every + meanwhile }
