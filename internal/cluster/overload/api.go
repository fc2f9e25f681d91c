package overload

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Class is one, as the settings have it.
type Class struct {
	Name          string
	Priority      float64
	ObjectiveMs   float64 // ms
	NotIdempotent bool    // it must not run twice
}

// Tenant has a share of each group; 0 for none of its own.
type Tenant struct {
	Name  string
	Share float64
}

// Settings say how overload is handled. Times are in ms.
type Settings struct {
	ReportInterval float64 // between two tells
	RateMemory     float64 // over which rates fade
	Collectors     int     // of each block of groups
	StaleAfter     float64 // what is older counts for nothing
	HoldTime       float64 // a level is kept for so long without an answer...
	FadeTime       float64 // ...and then falls to nothing within this
	SessionPeriod  float64 // a session stands at the same place for so long
	StrainTarget   float64 // strain from three times which on there is overload
	DelayTarget    float64 // part of their aims that answers may take on average
	BacklogDivisor float64 // how slowly the budget falls for more: by as many aims for the whole of it
	GrowthRate     float64 // part of the budget that it grows by in a second at most, where nobody is late
	TickInterval   float64 // the grain of all these
	Classes        []Class
	Tenants        []Tenant
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{ReportInterval: 250, RateMemory: 350, Collectors: 3, StaleAfter: 1500, HoldTime: 3000, FadeTime: 3000, SessionPeriod: 60000, StrainTarget: 0.06, DelayTarget: 0.55, GrowthRate: 0.4, BacklogDivisor: 2, TickInterval: 50}
}

// Bounds of what is taken from outside.
const (
	GroupsPerBlock = 8    // groups that are told of together
	MaxClasses     = 32   // that are told of
	MaxTenants     = 16   // of a group: those that ask for most
	MaxPeers       = 2000 // whose tells a collector keeps
	MaxGroups      = 4096
)

// DivergenceBound bounds how long two poolers that hear the same collectors may hold different levels after it changed.
func (s *Settings) DivergenceBound(delay float64) float64 {
	return s.ReportInterval + 2*s.TickInterval + 2*delay
}

// ReactionBound bounds how long a load that jumped is let in before the level answers to it.
func (s *Settings) ReactionBound(delay float64) float64 {
	return s.RateMemory + 2*s.ReportInterval + 2*s.TickInterval + 2*delay
}

// IsolationBound bounds how long one that hears nobody goes by what it knew.
func (s *Settings) IsolationBound() float64 { return s.HoldTime + s.FadeTime + s.TickInterval }

// RecoveryBound is how long the budget takes to grow by a factor once nobody is late, in ms.
func (s *Settings) RecoveryBound(factor float64) float64 {
	ms, b := 0.0, 1.0
	for ; b < factor; ms += s.ReportInterval {
		b *= 1 + math.Min(s.GrowthRate, slowRate*math.Exp2(ms/1000))*s.ReportInterval/1000
	}
	return ms
}

// TrafficBound bounds the datagrams that a pooler sends a second, in the mean over the fleet. With many classes a block takes more than one.
func (s *Settings) TrafficBound(groups int) float64 {
	each := math.Ceil(GroupsPerBlock / float64(min(GroupsPerBlock, max(1, maxReportBytes/s.groupReportBytes()))))
	return 2 * float64(s.Collectors) * 1000 / s.ReportInterval * math.Ceil(float64(groups)/GroupsPerBlock) * each
}

// groupReportBytes bounds what is told of a group, in bytes.
func (s *Settings) groupReportBytes() int {
	return 16 + 24*min(len(s.Classes), MaxClasses) + 6*min(len(s.Tenants), MaxTenants)
}

// Peer is a process that can be reached, by the view.
type Peer struct {
	ID   ID
	Addr string
}

// Event is something that it is told.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// MembersChanged are the processes that can be reached, this one included.
type MembersChanged struct {
	Self  ID
	Peers []Peer
}

// RequestReceived is a request that came; Again if its client asked before.
type RequestReceived struct {
	Group, Class, Tenant int // numbers; a Tenant of -1 is none
	Retry                bool
	Admitted             bool // it was not turned away by the level
}

// RequestEnded is a request that was let in and has had its answer.
type RequestEnded struct {
	Group, Class int
	Served       bool
	ClientGone   bool // its client went before its time: it proves nothing
	Strain       float64
}

// WorkLearned are this pooler's guesses of the classes' work, by number; 0 where it has none.
type WorkLearned struct{ Work []float64 }

// ReportReceived is a Tell that came, Answered an Answer.
type ReportReceived struct {
	From   ID
	Report *LoadReport
}

// DecisionsReceived is an Answer that came.
type DecisionsReceived struct {
	From      ID
	Decisions *ShedDecisions
}

// SettingsChanged brings new classes, tenants and times.
type SettingsChanged struct{ Settings Settings }

func (Tick) event()              {}
func (MembersChanged) event()    {}
func (RequestReceived) event()   {}
func (RequestEnded) event()      {}
func (WorkLearned) event()       {}
func (ReportReceived) event()    {}
func (DecisionsReceived) event() {}
func (SettingsChanged) event()   {}

// LoadReport goes to a collector. Classes and tenants are named by hashes.
type LoadReport struct {
	Sequence      uint32
	CollectorTime float64 // of the collector's last Answer, 0 for none
	HeldMs        float64 // ms from that answer's coming to this tell
	Work          []KeyedValue
	Groups        []GroupLoad
}

// KeyedValue is one of a class or tenant.
type KeyedValue struct {
	Key   uint16
	Value float64
}

// GroupLoad is what a pooler tells of a group. Rates are a second.
type GroupLoad struct {
	Group   int
	Budget  float64 // as it knows it, 0 for none
	Level   float64
	Classes []ClassLoad
	Tenants []KeyedValue
}

// ClassLoad is of a class.
type ClassLoad struct {
	Key                    uint16
	FirstAttempts, Retries float64 // that came
	Admitted               float64 // that were let in
	Served, Ended          float64 // of these: served; answered in whatever way
	Strain                 float64
	Open                   float64 // that are out now
}

// ShedDecisions is a collector's, to a Tell.
type ShedDecisions struct {
	Sequence      uint32
	CollectorTime float64
	Order         []uint16 // classes, the one to shed first in front
	Groups        []ShedDecision
}

// ShedDecision is what is turned away of a group.
type ShedDecision struct {
	Group       int
	Budget      float64
	Level       float64
	BeyondQuota []KeyedValue // of tenants: the part of their sessions that is beyond their share
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	SendReport    ActionKind = iota // Tell goes to Addr
	SendDecisions                   // Answer goes to Addr
	Shed                            // from now on this pooler turns away what Place says of Group
)

// Action is something that it asks for.
type Action struct {
	Kind      ActionKind
	To        ID
	Addr      string
	Report    *LoadReport
	Decisions *ShedDecisions
	Group     int
	Shedding  *Shedding // nil for nothing
}

// Shedding says where requests stand, by numbers of this pooler.
type Shedding struct {
	Level         float64
	Cells         [][4]int  // by class: of a retry beyond its tenant's share, a retry within, a first try beyond, a first try within
	BeyondQuota   []float64 // by tenant
	SessionPeriod float64
}

// Status is how a group stands here, for those who look.
type Status struct {
	Group   int
	Level   float64
	Cells   int
	Budget  float64
	Answers int
}

func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < 1e15 }
