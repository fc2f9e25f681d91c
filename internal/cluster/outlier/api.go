package outlier

import (
	"math"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Settings say how evidence is shared. Times are in ms.
type Settings struct {
	Period     float64 // between two tells of what is new
	Refresh    float64 // between tells of what stands
	Collectors int     // of each block of groups
	Delay      float64 // the longest that a message is taken to be on its way: an age is the told one and this
	Stale      float64 // positions and roles told as older than that are neither told nor taken
	Lapse      float64 // a server is bad for so long after the last that it left unanswered
	Observers  int     // that must have found a server bad
	Vouch      int     // observers, the least, that must have heard as much of a position or of who leads, for it to be taken
	Blind      float64 // part of a group that words of others may take away together
	Shun       float64 // one whose word was contradicted counts for nothing for so long
	Testers    int     // of all poolers, the most that may send to a server which is bad by others' word, in turn; see Trying
	Turn       float64 // of one of them
	Step       float64 // the grain of all these
	Health     bool    // servers that are bad are shared
	Places     bool    // positions are
	Roles      bool    // who leads is
	Broken     Fault   // for tests that prove the checker
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Period: 50, Refresh: 1000, Collectors: 3, Delay: 50, Stale: 1500, Lapse: 10000, Observers: 2, Vouch: 2, Blind: 0.5, Shun: 20000, Testers: 8, Turn: 2000, Step: 50,
		Health: true, Places: true, Roles: true}
}

// Fault is what a pooler does wrongly on purpose.
type Fault uint8

// The faults.
const (
	Sound     Fault = iota
	HeardAge        // age is taken from when it was heard
	KeepsOld        // evidence of a server's old process is kept
	OneEnough       // one observer, and one collector, is enough
	OwnLoses        // own evidence is overruled by others' older
	NotAged         // positions and roles count as of when they were heard
)

// Bounds of what is taken from outside.
const (
	Block       = 16   // groups that have the same collectors
	MostPeers   = 2000 // whose evidence a collector keeps
	MostServers = 4096
	mostOpen    = 64  // attempts out at a server that are followed
	mostCount   = 255 // attempts without an answer that are told
	mostPacket  = 1100
)

// need is how many of the collectors must say so.
func (s *Settings) need(poolers int) int {
	if s.Broken == OneEnough {
		return 1
	}
	return min(poolers, s.Collectors)/2 + 1
}

func (s *Settings) observers() int {
	if s.Broken == OneEnough {
		return 1
	}
	return max(2, s.Observers)
}

// Spread bounds the time from when the evidence of enough observers suffices to when all heed it, where no message is lost.
func (s *Settings) Spread(delay float64) float64 { return s.Period + 2*s.Step + 2*delay }

// Blinded bounds how many servers of a group others' words take away, and Lasting for how long they do once nobody says so any more.
func (s *Settings) Blinded(members int) int {
	return max(0, min(int(s.Blind*float64(members)), members-1))
}

// One of testedBy poolers tests: where few poolers were all testers, a deaf server would be sent as much as without words. Two do at least, as one may
// be cut off from the server itself.
const (
	testedBy    = 4
	testedLeast = 2
)

// Trying is how many of so many poolers send to a server that is bad by others' word.
func (s *Settings) Trying(poolers int) int { return min(s.Testers, max(testedLeast, poolers/testedBy)) }

// Lasting bounds how long a server that answers its testers is avoided by others' word: until one is at it, has its answer, and all heard.
func (s *Settings) Lasting(poolers int, each, answer, delay float64) float64 {
	return s.Turn + each + answer + s.Spread(delay)
}

// Caught bounds the time from when a process hears the others, again or for the first time, to when it heeds what they heed.
func (s *Settings) Caught(delay float64) float64 { return s.Refresh + s.Spread(delay) }

// Lonely bounds how long one that hears nobody goes by what it heard.
func (s *Settings) Lonely() float64 { return 3*s.Refresh + s.Step }

// holds is how long a collector's word of a verdict counts.
func (s *Settings) holds() float64 { return 3 * s.Refresh }

// Sizes of what is told, in bytes at most.
const (
	headSize  = 66 // of a datagram and its message
	tellSize  = 37 // of one server in a Tell
	wordSize  = 21 // of one in a Word, and if it is bad...
	badSize   = 28 // ...with one zone; and 4 for each more
	blockSize = 64 // servers of a block, in groups of four
)

func (x *Item) size() int { return tellSize }

func (x *Sum) size() int {
	if x.Bad {
		return wordSize + badSize + 4*len(x.Zones)
	}
	return wordSize
}

// Talk bounds the bytes that a pooler sends a second in the mean over a fleet of n, for so many servers of which so many are bad. Beside it,
// what is told at once: a datagram to each collector for a server that turns out other than was said, and one to all for a verdict, or a
// leader, that changes.
func (s *Settings) Talk(n, servers, bad int) float64 {
	blocks, c := math.Ceil(float64(servers)/blockSize), float64(min(n, s.Collectors))
	parts := func(size int) float64 { return headSize*(blocks+float64(size)/mostPacket) + float64(size) }
	return c * (parts(servers*tellSize) + parts(servers*wordSize+bad*badSize)) * 1000 / s.Period
}

// Event is something that it is told.
type Event interface{ event() }

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID   ID
	Addr string
	Zone string
}

// Server is one of the list.
type Server struct {
	Name  string
	Group int
	Start float64 // of its process, as the list has it; 0 for long ago
}

// Tick tells that time has passed.
type Tick struct{}

// Members are the processes that can be reached, this one included.
type Members struct {
	Self  ID
	Peers []Peer
}

// Listed are all servers.
type Listed struct{ Servers []Server }

// Sent is a request's attempt on its way; Work is how long one like it takes.
type Sent struct {
	Server string
	Ref    uint64
	Work   float64
}

// End says how an attempt ended.
type End uint8

// The ends.
const (
	Void     End = iota // it tells nothing
	Answered            // the server said something, whatever it was
	Lost                // it did not, in time; or nobody was there
)

// Ended is an attempt's end, with what the server told of itself.
type Ended struct {
	Server string
	Ref    uint64
	End    End
	Said   Said
}

// Said is what a server told: of which role it is, and up to when it has everything, on the servers' own scale of time; 0 for nothing.
type Said struct {
	Role     Role
	Position float64
}

// Role is a server's, by its own word.
type Role uint8

// The roles.
const (
	Unsaid Role = iota
	Leads
	Follows
)

// Probed is what a probe of this process's own found.
type Probed struct {
	Server string
	OK     bool
	Said   Said
}

// Downs are the servers that this pooler's module takes for down, by name.
type Downs struct{ Servers []string }

// Heard is a Tell or a Word that came.
type Heard struct {
	From    ID
	Message any
}

func (Tick) event()    {}
func (Members) event() {}
func (Listed) event()  {}
func (Sent) event()    {}
func (Ended) event()   {}
func (Probed) event()  {}
func (Downs) event()   {}
func (Heard) event()   {}

// Tell is an observer's, to collectors. Ages are ms, to its sending.
type Tell struct {
	Seq   uint32
	Items []Item
}

// Item is what an observer has of one server's process: the key has its name and its start in it.
type Item struct {
	Key      uint32
	Answered float64 // age of the last answer to a request, below 0 for none
	N        int     // attempts sent after any that was answered, and not answered in time
	First    float64 // age of the first of them, and of the last
	Last     float64
	Work     float64 // how long one of them should have taken
	Said     Said    // the newest
	SaidAge  float64
}

// Word is a collector's, to all.
type Word struct {
	Seq   uint32
	Items []Sum
}

// Sum is what a collector has of one server.
type Sum struct {
	Key      uint32
	Bad      bool
	All      bool     // to all; else to the Zones
	Zones    []uint32 // by hash
	First    float64  // age of the first attempt that was not answered, and of the last
	Last     float64
	By       []ID // two of the observers
	Answered float64
	Said     Said // which two observers at least vouch for
	SaidAge  float64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send   ActionKind = iota // Message goes to Addr
	Avoid                    // the module is told that Server is down
	Try                      // the module is told that it answers again
	Learn                    // the module is told Said of Server, Age old
	Look                     // Server is to be probed, and the outcome told here: somebody says that it leads
	Begins                   // Server is avoided by others' word from now on, as Standings have it; for those who look
	Ends                     // it is no more
)

// Action is something that it asks for.
type Action struct {
	Kind     ActionKind
	To       ID
	Addr     string
	Tell     *Tell
	Word     *Word
	Server   string
	Said     Said
	Age      float64
	Standing Standing
}

// Standing is why a server is avoided, by whose word, and until when.
type Standing = module.AvoidedServer

var inf = math.Inf(1)
