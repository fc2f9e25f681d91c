package outlier

import "math"

// Settings configure how evidence is shared. Times are in ms.
type Settings struct {
	ReportInterval  float64 // between two reports of new evidence
	RefreshInterval float64 // between two reports of all current evidence
	Collectors      int     // of each block of groups
	MaxDelay        float64 // the longest transit time of a message, which is added to the age of evidence in it
	StaleAfter      float64 // older reports of positions and roles are neither sent nor accepted
	EjectionTime    float64 // time for which a server is unhealthy after its last unanswered request
	MinObservers    int     // minimum number of observers with evidence that a server is unhealthy
	MinVouchers     int     // minimum number of observers that confirm a position or a role
	MaxEjectedShare float64 // the fraction of a group that shared evidence may eject
	DistrustTime    float64 // time for which an observer whose reports were contradicted does not count
	MaxTesters      int     // upper limit of TesterCount
	TesterTurn      float64 // time after which the testers of an ejected server change
	TickInterval    float64 // the resolution of timers
	ShareHealth     bool
	SharePositions  bool
	ShareRoles      bool
	Fault           Fault // deliberate fault, for tests of the checker
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{
		ReportInterval:  50,
		RefreshInterval: 1000,
		Collectors:      3,
		MaxDelay:        50,
		StaleAfter:      1500,
		EjectionTime:    10000,
		MinObservers:    2,
		MinVouchers:     2,
		MaxEjectedShare: 0.5,
		DistrustTime:    20000,
		MaxTesters:      8,
		TesterTurn:      2000,
		TickInterval:    50,
		ShareHealth:     true,
		SharePositions:  true,
		ShareRoles:      true,
	}
}

// Fault is a deliberate fault of a pooler, for tests.
type Fault uint8

// The faults.
const (
	NoFault            Fault = iota
	AgeFromReceipt           // the age of evidence in a message counts as 0 on arrival
	KeepsOldEvidence         // evidence about a server's old process is kept
	SingleObserver           // one observer, and one collector, is enough
	IgnoresOwnEvidence       // older evidence of others overrules the pooler's own
	PositionsNotAged         // positions and roles count as reported when they arrive
)

// Limits of received data and of state.
const (
	GroupsPerBlock  = 16   // groups that have the same collectors
	MaxPeers        = 2000 // observers whose evidence a collector keeps
	MaxServers      = 4096
	maxOpenAttempts = 64  // attempts at a server that are tracked at a time
	maxUnanswered   = 255 // attempts in an observation
	maxPacketBytes  = 1100
	maxZones        = 8 // in an assessment
)

// Limits of TesterCount. If all poolers of a small fleet tested, an unresponsive server would get as many requests as without shared
// evidence. At least two test, as one may itself be cut off from the server.
const (
	poolersPerTester = 4
	minTesters       = 2
)

const (
	minSharedObservers = 2 // lower limit of MinObservers
	lifetimeRefreshes  = 3 // refresh intervals for which an assessment counts
)

// collectorQuorum returns how many of the collectors must agree.
func (s *Settings) collectorQuorum(poolers int) int {
	if s.Fault == SingleObserver {
		return 1
	}
	return min(poolers, s.Collectors)/2 + 1
}

// minObservers returns how many observers must have evidence that a server is unhealthy.
func (s *Settings) minObservers() int {
	if s.Fault == SingleObserver {
		return 1
	}
	return max(minSharedObservers, s.MinObservers)
}

// assessmentLifetime returns how long an assessment of a collector counts.
func (s *Settings) assessmentLifetime() float64 { return lifetimeRefreshes * s.RefreshInterval }

// TesterCount returns how many of a number of poolers send to an ejected server at a time.
func (s *Settings) TesterCount(poolers int) int {
	return min(s.MaxTesters, max(minTesters, poolers/poolersPerTester))
}

// SpreadBound bounds the time from when the evidence of enough observers suffices until all poolers apply it, where no message is lost.
func (s *Settings) SpreadBound(delay float64) float64 {
	return s.ReportInterval + 2*s.TickInterval + 2*delay
}

// MaxEjected returns how many servers of a group shared evidence may eject.
func (s *Settings) MaxEjected(members int) int {
	return max(0, min(int(s.MaxEjectedShare*float64(members)), members-1))
}

// RecoveryBound bounds how long a server that answers its testers stays ejected: until a tester sends it a request, gets the answer, and
// all poolers know of it. each is the time between two requests of the testers, answer the time that an answer takes.
func (s *Settings) RecoveryBound(poolers int, each, answer, delay float64) float64 {
	return s.TesterTurn + each + answer + s.SpreadBound(delay)
}

// CatchUpBound bounds the time from when a process reaches the others, again or for the first time, until it applies what they apply.
func (s *Settings) CatchUpBound(delay float64) float64 {
	return s.RefreshInterval + s.SpreadBound(delay)
}

// IsolationBound bounds how long a process that receives nothing applies what it received.
func (s *Settings) IsolationBound() float64 {
	return lifetimeRefreshes*s.RefreshInterval + s.TickInterval
}

// Sizes of encoded messages, in bytes at most.
const (
	headerBytes      = 66 // of a datagram and its message
	observationBytes = 37
	assessmentBytes  = 21 // of a healthy server
	ejectionBytes    = 28 // in addition, of an unhealthy server with one zone
	zoneBytes        = 4  // in addition, of each further zone
	serversPerBlock  = 64 // for groups of four
	msPerSecond      = 1000
)

func (o *Observation) wireBytes() int { return observationBytes }

func (a *Assessment) wireBytes() int {
	if a.Unhealthy {
		return assessmentBytes + ejectionBytes + zoneBytes*len(a.Zones)
	}
	return assessmentBytes
}

// TrafficBound bounds the bytes a second that a pooler sends, on average over a fleet of n poolers, for a number of servers of which some
// are unhealthy. It does not include messages that are sent at once: those to each collector about a server that contradicts its
// assessment, and those to all poolers about an assessment or a primary that changed.
func (s *Settings) TrafficBound(n, servers, unhealthy int) float64 {
	blocks := math.Ceil(float64(servers) / serversPerBlock)
	collectors := float64(min(n, s.Collectors))
	messageBytes := func(size int) float64 { return headerBytes*(blocks+float64(size)/maxPacketBytes) + float64(size) }
	observations := messageBytes(servers * observationBytes)
	assessments := messageBytes(servers*assessmentBytes + unhealthy*ejectionBytes)
	return collectors * (observations + assessments) * msPerSecond / s.ReportInterval
}
