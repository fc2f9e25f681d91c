package outlier

import (
	"math"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// ID identifies a process, as in the view.
type ID = view.ID

// Event is an input of a Detector.
type Event interface{ event() }

// Peer is a process that the view lists as reachable.
type Peer struct {
	ID   ID
	Addr string
	Zone string
}

// Server is an entry of the endpoint list.
type Server struct {
	Name  string
	Group int
	Start float64 // start time of its process, in Unix ms; 0 if unknown
}

// Tick reports that time has passed.
type Tick struct{}

// MembersChanged reports the processes that can be reached, this one included.
type MembersChanged struct {
	Self  ID
	Peers []Peer
}

// ServersListed reports all servers of the endpoint list.
type ServersListed struct{ Servers []Server }

// AttemptSent reports an attempt of a request that was sent to a server.
type AttemptSent struct {
	Server string
	Ref    uint64  // identifies the attempt
	Work   float64 // ms that such an attempt is expected to take
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Inconclusive Outcome = iota // no evidence
	Answered                    // the server answered, with a result or an error
	Unanswered                  // it did not answer in time, or could not be reached
)

// AttemptEnded reports the end of an attempt, and the server's report with its answer.
type AttemptEnded struct {
	Server  string
	Ref     uint64
	Outcome Outcome
	Report  ServerReport
}

// ServerReported is a server's report that came with neither the end of an attempt nor a health check.
type ServerReported struct {
	Server string
	Report ServerReport
}

// ServerReport is a server's report of its own role and position.
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

// Received is the arrival of a message: *Observations or *Assessments.
type Received struct {
	From    ID
	Message any
}

func (Tick) event()           {}
func (MembersChanged) event() {}
func (ServersListed) event()  {}
func (AttemptSent) event()    {}
func (AttemptEnded) event()   {}
func (ServerReported) event() {}
func (HealthChecked) event()  {}
func (ServersDown) event()    {}
func (Received) event()       {}

// Observations is a message of an observer to collectors. Ages are in ms, at the time of sending.
type Observations struct {
	Sequence uint32
	Items    []Observation
}

// Observation is the evidence of an observer about one process of a server.
type Observation struct {
	Key             uint32  // hash of the server's name and start
	Answered        float64 // age of the last answer to a request, negative for none
	Unanswered      int     // attempts not answered in time that were sent after the last answered one
	FirstUnanswered float64 // age of the first of them
	LastUnanswered  float64 // age of the last of them
	Work            float64 // ms that one of them should have taken
	Report          ServerReport
	ReportAge       float64
}

// Assessments is a message of a collector to all poolers. Ages are in ms, at the time of sending.
type Assessments struct {
	Sequence uint32
	Items    []Assessment
}

// Assessment is a collector's conclusion about one process of a server.
type Assessment struct {
	Key             uint32
	Unhealthy       bool
	AllZones        bool         // unhealthy for all zones; otherwise for Zones
	Zones           []uint32     // hashes of the zones' names
	FirstUnanswered float64      // age of the first unanswered attempt
	LastUnanswered  float64      // age of the last unanswered attempt
	Observers       []ID         // at most maxNamedObservers of those with unanswered attempts
	Answered        float64      // age of the last answer, negative for none
	Report          ServerReport // the newest one confirmed by MinVouchers observers
	ReportAge       float64
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	Send            ActionKind = iota // send Observations or Assessments to Addr
	Eject                             // report to the decision module that Server is down
	Restore                           // report to it that Server answers again
	LearnReport                       // pass it Report, which Server reported Age ms ago
	CheckHealth                       // check the health of Server, and report the result with HealthChecked
	EjectionStarted                   // Server is ejected from now on, as described by Ejection
	EjectionEnded                     // Server is no longer ejected
)

// Action is an output of a Detector, which its caller carries out.
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

// Ejection describes why a server is ejected, on whose evidence, and until when.
type Ejection = module.AvoidedServer

var inf = math.Inf(1)
