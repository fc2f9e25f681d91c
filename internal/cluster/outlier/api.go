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
	ReportInterval  float64 // between two tells of what is new
	RefreshInterval float64 // between tells of what stands
	Collectors      int     // of each block of groups
	MaxDelay        float64 // the longest that a message is taken to be on its way: an age is the told one and this
	StaleAfter      float64 // positions and roles told as older than that are neither told nor taken
	EjectionTime    float64 // a server is bad for so long after the last that it left unanswered
	MinObservers    int     // that must have found a server bad
	MinVouchers     int     // observers, the least, that must have heard as much of a position or of who leads, for it to be taken
	MaxEjectedShare float64 // part of a group that words of others may take away together
	DistrustTime    float64 // one whose word was contradicted counts for nothing for so long
	MaxTesters      int     // of all poolers, the most that may send to a server which is bad by others' word, in turn; see Trying
	TesterTurn      float64 // of one of them
	TickInterval    float64 // the grain of all these
	ShareHealth     bool    // servers that are bad are shared
	SharePositions  bool    // positions are
	ShareRoles      bool    // who leads is
	Fault           Fault   // for tests that prove the checker
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{ReportInterval: 50, RefreshInterval: 1000, Collectors: 3, MaxDelay: 50, StaleAfter: 1500, EjectionTime: 10000, MinObservers: 2, MinVouchers: 2, MaxEjectedShare: 0.5, DistrustTime: 20000, MaxTesters: 8, TesterTurn: 2000, TickInterval: 50,
		ShareHealth: true, SharePositions: true, ShareRoles: true}
}

// Fault is what a pooler does wrongly on purpose.
type Fault uint8

// The faults.
const (
	NoFault            Fault = iota
	AgeFromReceipt           // age is taken from when it was heard
	KeepsOldEvidence         // evidence of a server's old process is kept
	SingleObserver           // one observer, and one collector, is enough
	IgnoresOwnEvidence       // own evidence is overruled by others' older
	PositionsNotAged         // positions and roles count as of when they were heard
)

// Bounds of what is taken from outside.
const (
	GroupsPerBlock  = 16   // groups that have the same collectors
	MaxPeers        = 2000 // whose evidence a collector keeps
	MaxServers      = 4096
	maxOpenAttempts = 64  // attempts out at a server that are followed
	maxUnanswered   = 255 // attempts without an answer that are told
	maxPacketBytes  = 1100
)

// collectorQuorum is how many of the collectors must say so.
func (s *Settings) collectorQuorum(poolers int) int {
	if s.Fault == SingleObserver {
		return 1
	}
	return min(poolers, s.Collectors)/2 + 1
}

func (s *Settings) minObservers() int {
	if s.Fault == SingleObserver {
		return 1
	}
	return max(2, s.MinObservers)
}

// SpreadBound bounds the time from when the evidence of enough observers suffices to when all heed it, where no message is lost.
func (s *Settings) SpreadBound(delay float64) float64 {
	return s.ReportInterval + 2*s.TickInterval + 2*delay
}

// MaxEjected bounds how many servers of a group others' words take away, and Lasting for how long they do once nobody says so any more.
func (s *Settings) MaxEjected(members int) int {
	return max(0, min(int(s.MaxEjectedShare*float64(members)), members-1))
}

// One of poolersPerTester poolers tests: where few poolers were all testers, a deaf server would be sent as much as without words. Two do at least, as one may
// be cut off from the server itself.
const (
	poolersPerTester = 4
	minTesters       = 2
)

// TesterCount is how many of so many poolers send to a server that is bad by others' word.
func (s *Settings) TesterCount(poolers int) int {
	return min(s.MaxTesters, max(minTesters, poolers/poolersPerTester))
}

// RecoveryBound bounds how long a server that answers its testers is avoided by others' word: until one is at it, has its answer, and all heard.
func (s *Settings) RecoveryBound(poolers int, each, answer, delay float64) float64 {
	return s.TesterTurn + each + answer + s.SpreadBound(delay)
}

// CatchUpBound bounds the time from when a process hears the others, again or for the first time, to when it heeds what they heed.
func (s *Settings) CatchUpBound(delay float64) float64 {
	return s.RefreshInterval + s.SpreadBound(delay)
}

// IsolationBound bounds how long one that hears nobody goes by what it heard.
func (s *Settings) IsolationBound() float64 { return 3*s.RefreshInterval + s.TickInterval }

// assessmentLifetime is how long a collector's word of a verdict counts.
func (s *Settings) assessmentLifetime() float64 { return 3 * s.RefreshInterval }

// Sizes of what is told, in bytes at most.
const (
	headerBytes      = 66 // of a datagram and its message
	observationBytes = 37 // of one server in a Tell
	assessmentBytes  = 21 // of one in a Word, and if it is bad...
	ejectionBytes    = 28 // ...with one zone; and 4 for each more
	serversPerBlock  = 64 // servers of a block, in groups of four
)

func (x *Observation) wireBytes() int { return observationBytes }

func (x *Assessment) wireBytes() int {
	if x.Unhealthy {
		return assessmentBytes + ejectionBytes + 4*len(x.Zones)
	}
	return assessmentBytes
}

// TrafficBound bounds the bytes that a pooler sends a second in the mean over a fleet of n, for so many servers of which so many are bad. Beside it,
// what is told at once: a datagram to each collector for a server that turns out other than was said, and one to all for a verdict, or a
// leader, that changes.
func (s *Settings) TrafficBound(n, servers, bad int) float64 {
	blocks, c := math.Ceil(float64(servers)/serversPerBlock), float64(min(n, s.Collectors))
	parts := func(size int) float64 { return headerBytes*(blocks+float64(size)/maxPacketBytes) + float64(size) }
	return c * (parts(servers*observationBytes) + parts(servers*assessmentBytes+bad*ejectionBytes)) * 1000 / s.ReportInterval
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

// MembersChanged are the processes that can be reached, this one included.
type MembersChanged struct {
	Self  ID
	Peers []Peer
}

// ServersListed are all servers.
type ServersListed struct{ Servers []Server }

// AttemptSent is a request's attempt on its way; Work is how long one like it takes.
type AttemptSent struct {
	Server string
	Ref    uint64
	Work   float64
}

// Outcome says how an attempt ended.
type Outcome uint8

// The ends.
const (
	Inconclusive Outcome = iota // it tells nothing
	Answered                    // the server said something, whatever it was
	Unanswered                  // it did not, in time; or nobody was there
)

// AttemptEnded is an attempt's end, with what the server told of itself.
type AttemptEnded struct {
	Server  string
	Ref     uint64
	Outcome Outcome
	Report  ServerReport
}

// ServerReport is what a server told: of which role it is, and up to when it has everything, on the servers' own scale of time; 0 for nothing.
type ServerReport struct {
	Role     Role
	Position float64
}

// Role is a server's, by its own word.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// HealthChecked is what a probe of this process's own found.
type HealthChecked struct {
	Server string
	OK     bool
	Report ServerReport
}

// ServersDown are the servers that this pooler's module takes for down, by name.
type ServersDown struct{ Servers []string }

// Received is a Tell or a Word that came.
type Received struct {
	From    ID
	Message any
}

func (Tick) event()           {}
func (MembersChanged) event() {}
func (ServersListed) event()  {}
func (AttemptSent) event()    {}
func (AttemptEnded) event()   {}
func (HealthChecked) event()  {}
func (ServersDown) event()    {}
func (Received) event()       {}

// Observations is an observer's, to collectors. Ages are ms, to its sending.
type Observations struct {
	Sequence uint32
	Items    []Observation
}

// Observation is what an observer has of one server's process: the key has its name and its start in it.
type Observation struct {
	Key             uint32
	Answered        float64 // age of the last answer to a request, below 0 for none
	Unanswered      int     // attempts sent after any that was answered, and not answered in time
	FirstUnanswered float64 // age of the first of them, and of the last
	LastUnanswered  float64
	Work            float64      // how long one of them should have taken
	Report          ServerReport // the newest
	ReportAge       float64
}

// Assessments is a collector's, to all.
type Assessments struct {
	Sequence uint32
	Items    []Assessment
}

// Assessment is what a collector has of one server.
type Assessment struct {
	Key             uint32
	Unhealthy       bool
	AllZones        bool     // to all; else to the Zones
	Zones           []uint32 // by hash
	FirstUnanswered float64  // age of the first attempt that was not answered, and of the last
	LastUnanswered  float64
	Observers       []ID // two of the observers
	Answered        float64
	Report          ServerReport // which two observers at least vouch for
	ReportAge       float64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // Message goes to Addr
	Eject                             // the module is told that Server is down
	Restore                           // the module is told that it answers again
	LearnReport                       // the module is told Said of Server, Age old
	CheckHealth                       // Server is to be probed, and the outcome told here: somebody says that it leads
	EjectionStarted                   // Server is avoided by others' word from now on, as Standings have it; for those who look
	EjectionEnded                     // it is no more
)

// Action is something that it asks for.
type Action struct {
	Kind         ActionKind
	To           ID
	Addr         string
	Observations *Observations
	Assessments  *Assessments
	Server       string
	Report       ServerReport
	Age          float64
	Ejection     Ejection
}

// Ejection is why a server is avoided, by whose word, and until when.
type Ejection = module.AvoidedServer

var inf = math.Inf(1)
