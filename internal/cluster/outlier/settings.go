package outlier

import "math"

// Settings configure how evidence is shared. Times are in ms.
type Settings struct {
	ReportInterval  float64 // between two reports of what is new
	RefreshInterval float64 // between reports of all that is current
	Collectors      int     // of each block of groups
	MaxDelay        float64 // the longest transit time of a message: the age of evidence is that in the message and this
	StaleAfter      float64 // positions and roles that were reported longer ago are neither sent nor taken
	EjectionTime    float64 // a server is unhealthy for so long after its last unanswered request
	MinObservers    int     // that must have found a server unhealthy
	MinVouchers     int     // observers that must have reported as much of a position or a role for it to be taken
	MaxEjectedShare float64 // the part of a group that shared evidence may eject
	DistrustTime    float64 // an observer whose reports were contradicted does not count for so long
	MaxTesters      int     // poolers that may send to an ejected server in turn; see TesterCount
	TesterTurn      float64 // of each tester
	TickInterval    float64 // the resolution of timers
	ShareHealth     bool
	SharePositions  bool
	ShareRoles      bool
	Fault           Fault // for tests of the checker
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

// Fault is something that a pooler does wrong on purpose.
type Fault uint8

// The faults.
const (
	NoFault            Fault = iota
	AgeFromReceipt           // ages count from when a message arrived
	KeepsOldEvidence         // evidence about a server's old process is kept
	SingleObserver           // one observer, and one collector, is enough
	IgnoresOwnEvidence       // own evidence is overruled by older evidence of others
	PositionsNotAged         // positions and roles count as of when they arrived
)

// Bounds of what is taken from outside.
const (
	GroupsPerBlock  = 16   // groups that have the same collectors
	MaxPeers        = 2000 // whose evidence a collector keeps
	MaxServers      = 4096
	maxOpenAttempts = 64  // of a server, that are followed
	maxUnanswered   = 255 // attempts in an observation
	maxPacketBytes  = 1100
	maxZones        = 8 // in an assessment
)

// Limits of TesterCount. Where all of few poolers tested, an unresponsive server would be sent as much as without shared evidence. At least
// two test, as one may itself be cut off from the server.
const (
	poolersPerTester = 4
	minTesters       = 2
)

const (
	minSharedObservers = 2 // whatever the settings say
	lifetimeRefreshes  = 3 // refresh intervals for which an assessment counts
)

// collectorQuorum returns how many of the collectors must agree.
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
	return max(minSharedObservers, s.MinObservers)
}

// assessmentLifetime returns how long an assessment of a collector counts.
func (s *Settings) assessmentLifetime() float64 { return lifetimeRefreshes * s.RefreshInterval }

// TesterCount returns how many of a number of poolers send to an ejected server.
func (s *Settings) TesterCount(poolers int) int {
	return min(s.MaxTesters, max(minTesters, poolers/poolersPerTester))
}

// SpreadBound bounds the time from when the evidence of enough observers suffices until all poolers apply it, where no message is lost.
func (s *Settings) SpreadBound(delay float64) float64 {
	return s.ReportInterval + 2*s.TickInterval + 2*delay
}

// MaxEjected returns how many servers of a group shared evidence may eject. RecoveryBound bounds for how long after they answer again.
func (s *Settings) MaxEjected(members int) int {
	return max(0, min(int(s.MaxEjectedShare*float64(members)), members-1))
}

// RecoveryBound bounds how long a server that answers its testers stays ejected: until a tester sends to it, has its answer, and all know.
// each is the time between two requests of the testers, answer that of an answer.
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
	assessmentBytes  = 21 // and if the server is unhealthy...
	ejectionBytes    = 28 // ...with one zone...
	zoneBytes        = 4  // ...and each more
	serversPerBlock  = 64 // in groups of four
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
// are unhealthy. Beside it, messages are sent at once: to each collector for a server that contradicts its assessment, and to all for an
// assessment or a primary that changes.
func (s *Settings) TrafficBound(n, servers, unhealthy int) float64 {
	blocks := math.Ceil(float64(servers) / serversPerBlock)
	collectors := float64(min(n, s.Collectors))
	messageBytes := func(size int) float64 { return headerBytes*(blocks+float64(size)/maxPacketBytes) + float64(size) }
	observations := messageBytes(servers * observationBytes)
	assessments := messageBytes(servers*assessmentBytes + unhealthy*ejectionBytes)
	return collectors * (observations + assessments) * msPerSecond / s.ReportInterval
}
