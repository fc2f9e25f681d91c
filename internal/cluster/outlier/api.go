package outlier

import (
	"math"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Event is an input of a Detector.
type Event interface{ event() }

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID   ID
	Addr string
	Zone string
}

// Server is an entry of the endpoint list.
type Server struct {
	Name  string
	Group int
	Start float64 // of its process, Unix ms; 0 if unknown
}

// Tick reports that time has passed.
type Tick struct{}

// MembersChanged reports the processes that can be reached, this one included.
type MembersChanged struct {
	Self  ID
	Peers []Peer
}

// ServersListed reports all servers.
type ServersListed struct{ Servers []Server }

// AttemptSent reports an attempt of a request that was sent to a server.
type AttemptSent struct {
	Server string
	Ref    uint64
	Work   float64 // ms that an attempt like it takes
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Inconclusive Outcome = iota // no evidence
	Answered                    // the server answered, with a result or an error
	Unanswered                  // it did not answer in time, or could not be reached
)

// AttemptEnded reports the end of an attempt, and what the server reported of itself.
type AttemptEnded struct {
	Server  string
	Ref     uint64
	Outcome Outcome
	Report  ServerReport
}

// ServerReport is what a server reported of itself.
type ServerReport struct {
	Role     Role
	Position float64 // up to when it has all data, on the servers' own time scale; 0 if unknown
}

func (r ServerReport) isEmpty() bool { return r.Role == RoleUnknown && r.Position <= 0 }

// Role is the role that a server reports.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// HealthChecked reports the result of a health check that this process made.
type HealthChecked struct {
	Server string
	OK     bool
	Report ServerReport
}

// ServersDown reports the servers that this pooler's decision module has marked down.
type ServersDown struct{ Servers []string } // names, sorted

// Received is a message that arrived: *Observations or *Assessments.
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

// Observations is a message of an observer to collectors. Ages are in ms, as of its sending.
type Observations struct {
	Sequence uint32
	Items    []Observation
}

// Observation is the evidence of an observer about one process of a server.
type Observation struct {
	Key             uint32  // hash of the server's name and start
	Answered        float64 // age of the last answer to a request, below 0 for none
	Unanswered      int     // attempts that were not answered in time, sent after any that was answered
	FirstUnanswered float64 // age of the first of them
	LastUnanswered  float64
	Work            float64 // ms that one of them should have taken
	Report          ServerReport
	ReportAge       float64
}

// Assessments is a message of a collector to all poolers. Ages are in ms, as of its sending.
type Assessments struct {
	Sequence uint32
	Items    []Assessment
}

// Assessment is what a collector concludes about one process of a server.
type Assessment struct {
	Key             uint32
	Unhealthy       bool
	AllZones        bool     // unhealthy for all zones; otherwise for Zones
	Zones           []uint32 // hashes of names
	FirstUnanswered float64  // age of the first unanswered attempt
	LastUnanswered  float64
	Observers       []ID         // maxWitnesses of them
	Answered        float64      // age of the last answer, below 0 for none
	Report          ServerReport // that MinVouchers observers vouch for
	ReportAge       float64
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // send Observations or Assessments to Addr
	Eject                             // tell the decision module that Server is down
	Restore                           // tell it that Server answers again
	LearnReport                       // tell it Report of Server, Age ms old
	CheckHealth                       // check the health of Server, and report the result here
	EjectionStarted                   // Server is ejected from now on, as Ejection says
	EjectionEnded                     // Server is not ejected any more
)

// Action is something that a Detector asks its caller to do.
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

// Ejection is why a server is ejected, on whose evidence, and until when.
type Ejection = module.AvoidedServer

var inf = math.Inf(1)
