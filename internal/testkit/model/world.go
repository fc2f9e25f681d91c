// Package model simulates database servers and their faults: groups of one primary and its replicas with a
// replicated log, failovers, cold starts, queues, and an endpoint list that lags. It does no
// I/O and has no clock and no goroutines: the simulator drives it in virtual time, the fake servers in real time.
package model

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Range is the interval from which a value is drawn.
type Range [2]float64

// Draw returns a value with uniform distribution.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// Config describes a fleet. Times are in milliseconds.
type Config struct {
	Seed             uint64
	Groups           []int // members of each group, the first of them its primary
	Cores            int   // requests that a server executes concurrently
	QueueLimit       int   // requests that wait at a server; it rejects further ones
	MaxConnections   int   // connections that a server holds
	Work             map[string]Range
	ExponentialWork  bool    // work has an exponential distribution with the mean of its range
	ShipDelay        Range   // from a commit until a replica has it
	ApplyMs          float64 // time to apply a write, by one thread
	DetectionDelay   Range   // from a primary's loss until it is detected
	ElectionDelay    Range   // from then until a replica is primary
	SwitchoverDelay  Range   // until a draining primary has handed over
	ReportInterval   Range   // age at which a load report is renewed
	ListDelay        Range   // delay of the endpoint list
	RoleDelay        Range   // further delay of its roles
	ColdMs           float64 // from a start until a server is warm
	ColdShare        float64 // share of its capacity at its start
	OverloadFactor   float64 // a cold server fails when it gets more work than this multiple of its capacity...
	OverloadWindowMs float64 // ...within this time, and stays down
	QueueSlowdown    float64 // relative increase of execution time for each waiting request per core

	Keys  map[string]float64 // by class: time for which repeats of a keyed write are dropped
	Sites []string           // sites of the servers, in turn; nil for a single one

	MultiPrimary bool // every member accepts writes, which the others apply from a shared log

	GraceMs  float64 // for attempts, from the endpoint list that marks a server as draining
	CancelMs float64 // until a cancel request takes effect
}

// Defaults returns the settings specified for the site, for groups of the given sizes.
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
	After(ms float64, e Event, arg uint64) // calls e.Fire(arg) after ms milliseconds; calls do not overlap
}

// Event is an action at a point in time.
type Event interface{ Fire(arg uint64) }

// Func is a function as an Event. Frequent events have their own types, which saves an allocation.
type Func func()

// Fire implements Event.
func (f Func) Fire(uint64) { f() }

// Fact is a change of a server's true state.
type Fact struct {
	At     float64 `json:"at_ms"`
	Server string  `json:"server"`
	Group  int     `json:"group"`
	What   string  `json:"what"`
}

// Watcher observes the model. Down, Listed, ListDown and Registered must be carried out by the model's driver.
type Watcher interface {
	Down(s *Server)                    // all its connections break
	FactRecorded(f Fact)               // a server's true state has changed
	Listed(e *Entry, at float64)       // the list's entry has changed
	ListDown(gone bool)                // the list became unavailable, or available again
	Registered()                       // the catalog has changed
	Executed(s *Server, j *Job, r Run) // a request was executed
}

// Run is the execution of a request.
type Run struct {
	At            float64
	Commit        float64 // a write's, 0 for a read
	Applied       int     // log entries that the server had applied
	Position      float64
	Primary       bool // the server was its group's one primary
	RanBefore     bool // a write of this ID or key was executed before
	RepeatDropped bool // a repeat of a keyed write, answered without execution
}

// firstWrite is the arrival and value of the first execution of a keyed write.
type firstWrite struct {
	at    float64
	value []byte
}

// World is a fleet of servers. It is not safe for concurrent use.
type World struct {
	Cfg     Config
	Groups  []*Group
	Servers []*Server
	List    Directory
	Catalog Catalog

	SplitBrain bool // injected defect: a primary that was replaced while it hung accepts writes when it returns

	clock          Clock
	rng            *rand.Rand
	watcher        Watcher
	byName         map[string]*Server
	facts          []Fact
	executedWrites map[string]bool // IDs of executed writes
	firstByKey     map[string]firstWrite
	repeatedWrites []string
}

const (
	maxWrites         = 1 << 20
	maxRepeatedWrites = 100
	maxFacts          = 1 << 16
)

// New returns a fleet. Its list has no addresses until SetAddr.
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

// Draw draws a value from the model's random source.
func (w *World) Draw(r Range) float64 { return r.Draw(w.rng) }

// Uint32 draws a number from the model's random source.
func (w *World) Uint32() uint32 { return w.rng.Uint32() }

// Server returns a server by its name, nil for none.
func (w *World) Server(name string) *Server { return w.byName[name] }

// Facts returns the recorded facts in order.
func (w *World) Facts() []Fact { return slices.Clone(w.facts) }

// RepeatedWrites returns the IDs of writes that were executed more than once, up to maxRepeatedWrites.
func (w *World) RepeatedWrites() []string { return slices.Clone(w.repeatedWrites) }

// PushedOver returns the names of cold servers that failed under overload.
func (w *World) PushedOver() []string {
	var out []string
	for _, s := range w.Servers {
		if s.PushedOver {
			out = append(out, s.Name)
		}
	}
	return out
}

// ExecutedWrites returns the IDs of the executed writes, in no order.
func (w *World) ExecutedWrites() (out []string) {
	for id := range w.executedWrites {
		out = append(out, id)
	}
	return out
}

// Primary returns a group's primary, nil for none.
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

// ErrServer is the error for an unknown server's name.
var ErrServer = errors.New("no such server")

// withServer calls do for a server.
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
