package overload

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Class is a class of requests, by the settings.
type Class struct {
	Name          string
	Priority      float64
	ObjectiveMs   float64 // of latency
	NotIdempotent bool
}

// Tenant has a share of each group, as a part of all; 0 for none of its own.
type Tenant struct {
	Name  string
	Share float64
}

// Settings configure how overload is handled. Times are in ms.
type Settings struct {
	ReportInterval float64 // between two reports
	RateMemory     float64 // over which rates fade
	Collectors     int     // of each block of groups
	StaleAfter     float64 // older reports and decisions do not count
	HoldTime       float64 // a level stays for so long without an answer...
	FadeTime       float64 // ...and then falls to nothing in this time
	SessionPeriod  float64 // a session stays at the same place of the order for so long
	StrainTarget   float64 // there is overload from three times this strain on
	DelayTarget    float64 // the part of their objectives that answers may take on average
	BacklogDivisor float64 // the delay, in objectives, that would take the whole budget
	GrowthRate     float64 // the part of the budget by which it grows in a second, at most, where nobody is late
	TickInterval   float64 // the resolution of timers
	Classes        []Class
	Tenants        []Tenant
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{ReportInterval: 250, RateMemory: 350, Collectors: 3, StaleAfter: 1500, HoldTime: 3000, FadeTime: 3000, SessionPeriod: 60000, StrainTarget: 0.06, DelayTarget: 0.55, GrowthRate: 0.4, BacklogDivisor: 2, TickInterval: 50}
}

// Bounds of what is taken from outside.
const (
	GroupsPerBlock = 8    // groups that are reported together
	MaxClasses     = 32   // in a report
	MaxTenants     = 16   // of a group in a report: those with the most requests
	MaxPeers       = 2000 // whose reports a collector keeps
	MaxGroups      = 4096
)

// DivergenceBound bounds how long two poolers with the same collectors may apply different levels after a change.
func (s *Settings) DivergenceBound(delay float64) float64 {
	return s.ReportInterval + 2*s.TickInterval + 2*delay
}

// ReactionBound bounds how long a load that jumped is admitted before the level reflects it.
func (s *Settings) ReactionBound(delay float64) float64 {
	return s.RateMemory + 2*s.ReportInterval + 2*s.TickInterval + 2*delay
}

// IsolationBound bounds how long a pooler that receives nothing applies what it knew.
func (s *Settings) IsolationBound() float64 { return s.HoldTime + s.FadeTime + s.TickInterval }

// RecoveryBound returns how long the budget takes to grow by a factor once nobody is late.
func (s *Settings) RecoveryBound(factor float64) float64 {
	ms, b := 0.0, 1.0
	for ; b < factor; ms += s.ReportInterval {
		b *= 1 + math.Min(s.GrowthRate, slowRate*math.Exp2(ms/1000))*s.ReportInterval/1000
	}
	return ms
}

// TrafficBound bounds the datagrams a second that a pooler sends, on average over the fleet. With many classes a block takes more than one.
func (s *Settings) TrafficBound(groups int) float64 {
	each := math.Ceil(GroupsPerBlock / float64(min(GroupsPerBlock, max(1, maxReportBytes/s.groupReportBytes()))))
	return 2 * float64(s.Collectors) * 1000 / s.ReportInterval * math.Ceil(float64(groups)/GroupsPerBlock) * each
}

// groupReportBytes bounds the report of a group.
func (s *Settings) groupReportBytes() int {
	return 16 + 24*min(len(s.Classes), MaxClasses) + 6*min(len(s.Tenants), MaxTenants)
}

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID   ID
	Addr string
}

// Event is an input of a Controller.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// MembersChanged reports the processes that can be reached, this one included.
type MembersChanged struct {
	Self  ID
	Peers []Peer
}

// RequestReceived reports a request.
type RequestReceived struct {
	Group, Class, Tenant int // numbers; a Tenant of -1 is none
	Retry                bool
	Admitted             bool // it was not rejected by the level
}

// RequestEnded reports that an admitted request has had its answer.
type RequestEnded struct {
	Group, Class int
	Served       bool
	ClientGone   bool // its client disconnected early: it is no evidence
	Strain       float64
}

// WorkLearned reports this pooler's estimates of the classes' work, by number; 0 where it has none.
type WorkLearned struct{ Work []float64 }

// ReportReceived is a LoadReport that arrived.
type ReportReceived struct {
	From   ID
	Report *LoadReport
}

// DecisionsReceived is an answer that arrived.
type DecisionsReceived struct {
	From      ID
	Decisions *ShedDecisions
}

// SettingsChanged replaces the settings.
type SettingsChanged struct{ Settings Settings }

func (Tick) event()              {}
func (MembersChanged) event()    {}
func (RequestReceived) event()   {}
func (RequestEnded) event()      {}
func (WorkLearned) event()       {}
func (ReportReceived) event()    {}
func (DecisionsReceived) event() {}
func (SettingsChanged) event()   {}

// LoadReport is a message to a collector. Classes and tenants are named by NameKey.
type LoadReport struct {
	Sequence      uint32
	CollectorTime float64 // of the collector's last answer, 0 for none
	HeldMs        float64 // from the arrival of that answer to this report
	Work          []KeyedValue
	Groups        []GroupLoad
}

// KeyedValue is a value of a class or a tenant.
type KeyedValue struct {
	Key   uint16
	Value float64
}

// GroupLoad is what a pooler reports of a group. Rates are a second.
type GroupLoad struct {
	Group   int
	Budget  float64 // as the pooler knows it, 0 for none
	Level   float64
	Classes []ClassLoad
	Tenants []KeyedValue
}

// ClassLoad is the load of a class.
type ClassLoad struct {
	Key                    uint16
	FirstAttempts, Retries float64 // that were received
	Admitted               float64 // that were admitted
	Served, Ended          float64 // of the admitted ones
	Strain                 float64
	Open                   float64 // outstanding now
}

// ShedDecisions is a collector's answer to a LoadReport.
type ShedDecisions struct {
	Sequence      uint32
	CollectorTime float64
	Order         []uint16 // classes, the one to shed first in front
	Groups        []ShedDecision
}

// ShedDecision says what is to be shed of a group.
type ShedDecision struct {
	Group       int
	Budget      float64
	Level       float64
	BeyondQuota []KeyedValue // of tenants: the part of their sessions that is beyond their quota
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	SendReport    ActionKind = iota // send Report to Addr
	SendDecisions                   // send Decisions to Addr
	Shed                            // from now on this pooler sheds what Shedding says of Group
)

// Action is something that a Controller asks its caller to do.
type Action struct {
	Kind      ActionKind
	To        ID
	Addr      string
	Report    *LoadReport
	Decisions *ShedDecisions
	Group     int
	Shedding  *Shedding // nil for nothing
}

// Shedding says which requests are shed, by the numbers of this pooler.
type Shedding struct {
	Level         float64
	Cells         [][4]int  // by class: of a retry beyond its tenant's quota, a retry within, a first attempt beyond, a first attempt within
	BeyondQuota   []float64 // by tenant
	SessionPeriod float64
}

// Status is the state of a group at this process.
type Status struct {
	Group   int
	Level   float64
	Cells   int
	Budget  float64
	Answers int
}

const maxNumber = 1e15 // of received numbers

// finite reports whether a received number can be calculated with.
func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < maxNumber }
