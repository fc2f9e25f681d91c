// Package model is the model of database servers and what befalls them: groups of one primary and its replicas with a
// log that is shipped and applied, takeovers, cold starts, crowds, faults, and a list of servers that lags. It does no
// I/O and has no clock and no goroutines: the emulator drives it in virtual time, the stand-in servers in real time.
package model

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Range is a span from which a value is drawn.
type Range [2]float64

// Draw draws a value.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// Config describes a fleet. Times are in milliseconds.
type Config struct {
	Seed             uint64
	Groups           []int // members of each group, the first of them its primary
	Cores            int   // requests that a server works on at once
	QueueLimit       int   // requests that wait at a server; beyond that it turns away
	MaxConnections   int   // connections that a server holds
	Work             map[string]Range
	ExponentialWork  bool    // works are exponential of the mean of their ranges: most are short and some are long
	ShipDelay        Range   // from a commit until a replica has it
	ApplyMs          float64 // a replica's one thread is busy for so long with each write
	DetectionDelay   Range   // from a primary's end until it is given up
	ElectionDelay    Range   // from then until a replica takes over
	SwitchoverDelay  Range   // until a primary that drains has handed over
	ReportInterval   Range   // age at which a load report is made anew
	ListDelay        Range   // by which the list is late
	RoleDelay        Range   // by which its roles are late
	ColdMs           float64 // from a start until a server is warm
	ColdShare        float64 // the part of its capacity that it starts with
	OverloadFactor   float64 // a cold server that is sent more than so many times its capacity...
	OverloadWindowMs float64 // ...within this time falls over and stays down
	QueueSlowdown    float64 // each request that waits, for each core, makes work take so much longer, as a part

	Keys  map[string]float64 // by class: a write's repeat by its key is dropped for so long
	Sites []string           // where servers stand, in turn; nil for one room

	MultiPrimary bool // there is no primary: every member takes writes, which the others apply from a log that all share

	GraceMs  float64 // for sends to a server, from the list's word that it drains
	CancelMs float64 // a cancel request takes so long until it strikes
}

// Defaults are those of the site's brief, for so many members in each group.
func Defaults(groups ...int) Config {
	return Config{
		Groups:           groups,
		Cores:            4,
		QueueLimit:       64,
		MaxConnections:   256,
		ShipDelay:        Range{2.4, 15},
		ApplyMs:          3,
		DetectionDelay:   Range{1100, 2600},
		ElectionDelay:    Range{1000, 3900},
		SwitchoverDelay:  Range{420, 1000},
		ReportInterval:   Range{110, 240},
		ListDelay:        Range{300, 900},
		RoleDelay:        Range{2000, 4900},
		ColdMs:           18000,
		ColdShare:        0.15,
		OverloadFactor:   2.5,
		OverloadWindowMs: 1500,
		GraceMs:          250,
	}
}

// Clock drives the model.
type Clock interface {
	Now() float64                          // Unix ms
	After(ms float64, e Event, arg uint64) // has e.Fire(arg) called then, one call at a time
}

// Event is what happens at a time.
type Event interface{ Fire(arg uint64) }

// Func is an event of a function; what happens often has an Event of its own.
type Func func()

// Fire is Event's.
func (f Func) Fire(uint64) { f() }

// Fact is something that truly happened.
type Fact struct {
	At     float64 `json:"at_ms"`
	Server string  `json:"server"`
	Group  int     `json:"group"`
	What   string  `json:"what"`
}

// Watcher is told of what must be carried out, or may be of interest, outside the model.
type Watcher interface {
	Down(s *Server)                    // all its connections break
	FactRecorded(f Fact)               // something happened
	Listed(e *Entry, at float64)       // the list says something new
	ListDown(gone bool)                // the list cannot be had, or can again
	Registered()                       // the catalogue says something new
	Executed(s *Server, j *Job, r Run) // a request ran
}

// Run is what a request did when it ran.
type Run struct {
	At            float64
	Commit        float64 // a write's, 0 for a read
	Applied       int     // of the log, as the server had it
	Position      float64
	Primary       bool // the server was its group's one primary
	RanBefore     bool // a write of this id, or of this key, ran before
	RepeatDropped bool // a repeat of a keyed write, which was answered and not run
}

// firstWrite is when a keyed write that ran first came, and what it wrote.
type firstWrite struct {
	at    float64
	value []byte
}

// World is a fleet of servers.
type World struct {
	Cfg     Config
	Groups  []*Group
	Servers []*Server
	List    Directory
	Catalog Catalog

	SplitBrain bool // a primary that was replaced while it hung takes writes when it is back; what is right has it off

	clock          Clock
	rng            *rand.Rand
	watcher        Watcher
	byName         map[string]*Server
	facts          []Fact
	executedWrites map[string]bool // ids of writes that ran
	firstByKey     map[string]firstWrite
	repeatedWrites []string
}

const (
	maxRan   = 1 << 20
	maxTwice = 100
	maxFacts = 1 << 16
)

// New makes a fleet. Its list names the servers at no address until SetAddr.
func New(cfg Config, clk Clock, watch Watcher) *World {
	w := &World{
		Cfg:            cfg,
		clock:          clk,
		rng:            rand.New(rand.NewPCG(cfg.Seed, 1)),
		watcher:        watch,
		byName:         map[string]*Server{},
		executedWrites: map[string]bool{},
		firstByKey:     map[string]firstWrite{},
	}
	w.List.world = w
	w.List.entries = map[string]*Entry{}
	for i, n := range cfg.Groups {
		g := &Group{ID: i, world: w, rows: map[string][]version{}, rng: rand.New(rand.NewPCG(cfg.Seed, 100+uint64(i)))}
		for k := range n {
			s := &Server{
				Name:          fmt.Sprintf("s-%d-%d", i, k),
				No:            len(w.Servers),
				Group:         g,
				world:         w,
				Up:            true,
				machineShare:  1,
				applySlowdown: 1,
				writeSlowdown: 1,
				shipDelay:     cfg.ShipDelay.Draw(w.rng),
			}
			g.Members = append(g.Members, s)
			w.byName[s.Name] = s
			w.Servers = append(w.Servers, s)
		}
		if n > 0 && !cfg.MultiPrimary {
			g.Primary = g.Members[0]
		}
		w.Groups = append(w.Groups, g)
	}
	w.Catalog = Catalog{world: w, names: map[*Server]int{}, critical: map[*Server]bool{}}
	w.List.start()
	return w
}

// Draw draws a value from the model's own randomness.
func (w *World) Draw(r Range) float64 { return r.Draw(w.rng) }

// Uint32 draws a number.
func (w *World) Uint32() uint32 { return w.rng.Uint32() }

// Server finds a server by its name, nil where there is none.
func (w *World) Server(name string) *Server { return w.byName[name] }

// Facts are what truly happened, in order.
func (w *World) Facts() []Fact { return slices.Clone(w.facts) }

// RepeatedWrites are the ids of writes that ran more than once, up to a bound.
func (w *World) RepeatedWrites() []string { return slices.Clone(w.repeatedWrites) }

// PushedOver are the cold servers that were pushed over.
func (w *World) PushedOver() []string {
	var out []string
	for _, s := range w.Servers {
		if s.PushedOver {
			out = append(out, s.Name)
		}
	}
	return out
}

// ExecutedWrites are the ids of the writes that ran, in no order.
func (w *World) ExecutedWrites() (out []string) {
	for id := range w.executedWrites {
		out = append(out, id)
	}
	return out
}

// Primary is a group's present primary, nil where there is none.
func (w *World) Primary(group int) *Server {
	if group < 0 || group >= len(w.Groups) {
		return nil
	}
	return w.Groups[group].Primary
}

func (w *World) recordFact(s *Server, what string) {
	f := Fact{At: w.clock.Now(), Server: s.Name, Group: s.Group.ID, What: what}
	if len(w.facts) < maxFacts {
		w.facts = append(w.facts, f)
	}
	w.watcher.FactRecorded(f)
}

// ErrServer says that there is no such server.
var ErrServer = errors.New("no such server")

// withServer runs do for a server.
func (w *World) withServer(name string, do func(s *Server, now float64)) error {
	s := w.byName[name]
	if s == nil {
		return fmt.Errorf("%q: %w", name, ErrServer)
	}
	do(s, w.clock.Now())
	return nil
}

func (w *World) after(ms float64, do func(now float64)) {
	w.clock.After(ms, Func(func() { do(w.clock.Now()) }), 0)
}
