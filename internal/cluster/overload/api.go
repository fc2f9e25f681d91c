package overload

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID identifies a process, as in the view.
type ID = view.ID

// Class is a class of requests, as configured.
type Class struct {
	Name          string
	Priority      float64
	ObjectiveMs   float64 // of latency
	NotIdempotent bool
}

// Tenant is a tenant with its share of each group, between 0 and 1; 0 for a tenant without a share of its own.
type Tenant struct {
	Name  string
	Share float64
}

// Settings configure how overload is handled. Times are in ms.
type Settings struct {
	ReportInterval float64 // between two reports
	RateMemory     float64 // time constant of the decay of rates
	Collectors     int     // of each block of groups
	StaleAfter     float64 // maximum age of reports and decisions that count
	HoldTime       float64 // time for which a level is kept without an answer...
	FadeTime       float64 // ...and over which it then falls to 0
	SessionPeriod  float64 // time for which a session keeps its place in the shedding order
	StrainTarget   float64 // above three times this strain a group is overloaded
	DelayTarget    float64 // average latency allowed, as a fraction of the latency objective
	BacklogDivisor float64 // excess of the delay over DelayTarget, in latency objectives, that would use up the whole budget
	GrowthRate     float64 // maximum growth of the budget a second, as a fraction of it, while no answer is late
	TickInterval   float64 // the resolution of timers
	Classes        []Class
	Tenants        []Tenant
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{ReportInterval: 250, RateMemory: 350, Collectors: 3, StaleAfter: 1500, HoldTime: 3000, FadeTime: 3000, SessionPeriod: 60000, StrainTarget: 0.06, DelayTarget: 0.55, GrowthRate: 0.4, BacklogDivisor: 2, TickInterval: 50}
}

// Limits of received data and of state.
const (
	GroupsPerBlock = 8    // groups that are reported together
	MaxClasses     = 32   // in a report
	MaxTenants     = 16   // of a group in a report: those with the most requests
	MaxPeers       = 2000 // processes whose reports a collector keeps
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

// IsolationBound bounds how long a pooler that receives nothing applies its last decision.
func (s *Settings) IsolationBound() float64 { return s.HoldTime + s.FadeTime + s.TickInterval }

// RecoveryBound returns how long, in ms, the budget takes to grow by a factor once no answer is late.
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

// groupReportBytes bounds the encoded size of the report of a group.
func (s *Settings) groupReportBytes() int {
	return 16 + 24*min(len(s.Classes), MaxClasses) + 6*min(len(s.Tenants), MaxTenants)
}

// Peer is a process that the view lists as reachable.
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

// RequestReceived reports a request that a client sent.
type RequestReceived struct {
	Group, Class, Tenant int // numbers; Tenant is -1 for a request without a tenant
	Retry                bool
	Admitted             bool // the level did not reject it
}

// RequestEnded reports that an admitted request has its final answer.
type RequestEnded struct {
	Group, Class int
	Served       bool
	ClientGone   bool // the client disconnected before the answer, so the request is no evidence
	Strain       float64
}

// WorkLearned reports this pooler's estimates of the classes' work, by number; 0 where it has none.
type WorkLearned struct{ Work []float64 }

// ReportReceived is the arrival of a LoadReport.
type ReportReceived struct {
	From   ID
	Report *LoadReport
}

// DecisionsReceived is the arrival of a collector's ShedDecisions.
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

// LoadReport is a message to a collector. Classes and tenants are identified by NameKey.
type LoadReport struct {
	Sequence      uint32
	CollectorTime float64 // copied from the collector's last answer, 0 for none
	HeldMs        float64 // time from the arrival of that answer to this report
	Work          []KeyedValue
	Groups        []GroupLoad
}

// KeyedValue is a value of a class or a tenant.
type KeyedValue struct {
	Key   uint16
	Value float64
}

// GroupLoad is a pooler's report of a group. Rates are per second.
type GroupLoad struct {
	Group   int
	Budget  float64 // the median of the collectors' last budgets, 0 for none
	Level   float64
	Classes []ClassLoad
	Tenants []KeyedValue
}

// ClassLoad is the load of a class: rates per second, except Open.
type ClassLoad struct {
	Key                    uint16
	FirstAttempts, Retries float64 // received
	Admitted               float64
	Served, Ended          float64 // of the admitted ones
	Strain                 float64
	Open                   float64 // number of outstanding requests
}

// ShedDecisions is a collector's answer to a LoadReport.
type ShedDecisions struct {
	Sequence      uint32
	CollectorTime float64
	Order         []uint16 // keys of the classes, the one to shed first in front
	Groups        []ShedDecision
}

// ShedDecision is a collector's decision on which requests of a group to shed.
type ShedDecision struct {
	Group       int
	Budget      float64
	Level       float64
	BeyondQuota []KeyedValue // by tenant: the fraction of its sessions that is beyond its quota
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The actions.
const (
	SendReport    ActionKind = iota // send Report to Addr
	SendDecisions                   // send Decisions to Addr
	Shed                            // apply Shedding to the requests of Group from now on
)

// Action is an output of a Controller, which its caller carries out.
type Action struct {
	Kind      ActionKind
	To        ID
	Addr      string
	Report    *LoadReport
	Decisions *ShedDecisions
	Group     int
	Shedding  *Shedding // nil to shed nothing
}

// Shedding describes which requests to shed, by this pooler's numbers of classes and tenants.
type Shedding struct {
	Level         float64
	Cells         [][4]int  // by class: the cell of a retry beyond its tenant's quota, a retry within it, a first attempt beyond it, a first attempt within it
	BeyondQuota   []float64 // by tenant: the fraction of its sessions beyond its quota
	SessionPeriod float64
}

// Status is the state of a group at this process.
type Status struct {
	Group   int
	Level   float64
	Cells   int
	Budget  float64
	Answers int // collectors whose last decision is recent
}

const maxNumber = 1e15 // upper limit of received numbers

// finite reports whether a received number is finite, not negative and below maxNumber.
func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < maxNumber }
