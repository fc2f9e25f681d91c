package overload

import (
	"math"

	"beechgrade/internal/cluster/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Class is one, as the settings have it.
type Class struct {
	Name  string
	Worth float64
	Aim   float64 // ms
	Once  bool    // it must not run twice
}

// Tenant has a share of each group; 0 for none of its own.
type Tenant struct {
	Name  string
	Share float64
}

// Settings say how overload is handled. Times are in ms.
type Settings struct {
	Period     float64 // between two tells
	Memory     float64 // over which rates fade
	Collectors int     // of each block of groups
	Stale      float64 // what is older counts for nothing
	Hold       float64 // a level is kept for so long without an answer...
	Fall       float64 // ...and then falls to nothing within this
	Keep       float64 // a session stands at the same place for so long
	Target     float64 // strain from three times which on there is overload
	Delay      float64 // part of their aims that answers may take on average
	Drain      float64 // how slowly the budget falls for more: by as many aims for the whole of it
	Back       float64 // part of the budget that it grows by in a second at most, where nobody is late
	Step       float64 // the grain of all these
	Classes    []Class
	Tenants    []Tenant
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Period: 250, Memory: 350, Collectors: 3, Stale: 1500, Hold: 3000, Fall: 3000, Keep: 60000, Target: 0.06, Delay: 0.55, Back: 0.4, Drain: 2, Step: 50}
}

// Bounds of what is taken from outside.
const (
	Block       = 8    // groups that are told of together
	MostClasses = 32   // that are told of
	MostTenants = 16   // of a group: those that ask for most
	MostPeers   = 2000 // whose tells a collector keeps
	MostGroups  = 4096
)

// Differ bounds how long two poolers that hear the same collectors may hold different levels after it changed.
func (s *Settings) Differ(delay float64) float64 { return s.Period + 2*s.Step + 2*delay }

// React bounds how long a load that jumped is let in before the level answers to it.
func (s *Settings) React(delay float64) float64 { return s.Memory + 2*s.Period + 2*s.Step + 2*delay }

// Lonely bounds how long one that hears nobody goes by what it knew.
func (s *Settings) Lonely() float64 { return s.Hold + s.Fall + s.Step }

// Return is how long the budget takes to grow by a factor once nobody is late, in ms.
func (s *Settings) Return(factor float64) float64 {
	ms, b := 0.0, 1.0
	for ; b < factor; ms += s.Period {
		b *= 1 + math.Min(s.Back, slow*math.Exp2(ms/1000))*s.Period/1000
	}
	return ms
}

// Talk bounds the datagrams that a pooler sends a second, in the mean over the fleet. With many classes a block takes more than one.
func (s *Settings) Talk(groups int) float64 {
	each := math.Ceil(Block / float64(min(Block, max(1, mostTold/s.toldOf()))))
	return 2 * float64(s.Collectors) * 1000 / s.Period * math.Ceil(float64(groups)/Block) * each
}

// toldOf bounds what is told of a group, in bytes.
func (s *Settings) toldOf() int {
	return 16 + 24*min(len(s.Classes), MostClasses) + 6*min(len(s.Tenants), MostTenants)
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

// Members are the processes that can be reached, this one included.
type Members struct {
	Self  ID
	Peers []Peer
}

// Asked is a request that came; Again if its client asked before.
type Asked struct {
	Group, Class, Tenant int // numbers; a Tenant of -1 is none
	Again                bool
	In                   bool // it was not turned away by the level
}

// Ended is a request that was let in and has had its answer.
type Ended struct {
	Group, Class int
	Served       bool
	Gone         bool // its client went before its time: it proves nothing
	Strain       float64
}

// Learned are this pooler's guesses of the classes' work, by number; 0 where it has none.
type Learned struct{ Work []float64 }

// Told is a Tell that came, Answered an Answer.
type Told struct {
	From ID
	Tell *Tell
}

// Answered is an Answer that came.
type Answered struct {
	From   ID
	Answer *Answer
}

// Retune brings new classes, tenants and times.
type Retune struct{ Settings Settings }

func (Tick) event()     {}
func (Members) event()  {}
func (Asked) event()    {}
func (Ended) event()    {}
func (Learned) event()  {}
func (Told) event()     {}
func (Answered) event() {}
func (Retune) event()   {}

// Tell goes to a collector. Classes and tenants are named by hashes.
type Tell struct {
	Seq    uint32
	Stamp  float64 // of the collector's last Answer, 0 for none
	Held   float64 // ms from that answer's coming to this tell
	Work   []Figure
	Groups []Pressure
}

// Figure is one of a class or tenant.
type Figure struct {
	Key uint16
	X   float64
}

// Pressure is what a pooler tells of a group. Rates are a second.
type Pressure struct {
	Group   int
	Budget  float64 // as it knows it, 0 for none
	Level   float64
	Classes []Flow
	Tenants []Figure
}

// Flow is of a class.
type Flow struct {
	Key          uint16
	First, Again float64 // that came
	In           float64 // that were let in
	Done, Ended  float64 // of these: served; answered in whatever way
	Strain       float64
	Open         float64 // that are out now
}

// Answer is a collector's, to a Tell.
type Answer struct {
	Seq    uint32
	Stamp  float64
	Order  []uint16 // classes, the one to shed first in front
	Groups []Verdict
}

// Verdict is what is turned away of a group.
type Verdict struct {
	Group  int
	Budget float64
	Level  float64
	Beyond []Figure // of tenants: the part of their sessions that is beyond their share
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	SendTell   ActionKind = iota // Tell goes to Addr
	SendAnswer                   // Answer goes to Addr
	Shed                         // from now on this pooler turns away what Place says of Group
)

// Action is something that it asks for.
type Action struct {
	Kind   ActionKind
	To     ID
	Addr   string
	Tell   *Tell
	Answer *Answer
	Group  int
	Place  *Place // nil for nothing
}

// Place says where requests stand, by numbers of this pooler.
type Place struct {
	Level  float64
	Cells  [][4]int  // by class: of a retry beyond its tenant's share, a retry within, a first try beyond, a first try within
	Beyond []float64 // by tenant
	Keep   float64
}

// Standing is how a group stands here, for those who look.
type Standing struct {
	Group   int
	Level   float64
	Cells   int
	Budget  float64
	Answers int
}

func finite(x float64) bool { return !math.IsNaN(x) && x >= 0 && x < 1e15 }
