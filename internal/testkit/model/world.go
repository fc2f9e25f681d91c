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
	Seed    uint64
	Groups  []int // members of each group, the first of them its primary
	Cores   int   // requests that a server works on at once
	Queue   int   // requests that wait at a server; beyond that it turns away
	Conns   int   // connections that a server holds
	Work    map[string]Range
	Tail    bool    // works are exponential of the mean of their ranges: most are short and some are long
	Ship    Range   // from a commit until a replica has it
	Apply   float64 // a replica's one thread is busy for so long with each write
	Detect  Range   // from a primary's end until it is given up
	Elect   Range   // from then until a replica takes over
	Switch  Range   // until a primary that drains has handed over
	Report  Range   // age at which a load report is made anew
	List    Range   // by which the list is late
	Roles   Range   // by which its roles are late
	ColdMs  float64 // from a start until a server is warm
	ColdBy  float64 // the part of its capacity that it starts with
	Falls   float64 // a cold server that is sent more than so many times its capacity...
	FallsMs float64 // ...within this time falls over and stays down
	Crowds  float64 // each request that waits, for each core, makes work take so much longer, as a part

	Keys  map[string]float64 // by class: a write's repeat by its key is dropped for so long
	Sites []string           // where servers stand, in turn; nil for one room

	Peers bool // there is no primary: every member takes writes, which the others apply from a log that all share

	GraceMs  float64 // for sends to a server, from the list's word that it drains
	CancelMs float64 // a cancel request takes so long until it strikes
}

// Defaults are those of the site's brief, for so many members in each group.
func Defaults(groups ...int) Config {
	return Config{Groups: groups, Cores: 4, Queue: 64, Conns: 256, Ship: Range{2.4, 15}, Apply: 3, Detect: Range{1100, 2600}, Elect: Range{1000, 3900},
		Switch: Range{420, 1000}, Report: Range{110, 240}, List: Range{300, 900}, Roles: Range{2000, 4900}, ColdMs: 18000, ColdBy: 0.15, Falls: 2.5, FallsMs: 1500, GraceMs: 250}
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
	Said(f Fact)                       // something happened
	Listed(e *Entry, at float64)       // the list says something new
	ListDown(gone bool)                // the list cannot be had, or can again
	Registered()                       // the catalogue says something new
	Executed(s *Server, j *Job, r Run) // a request ran
}

// Run is what a request did when it ran.
type Run struct {
	At       float64
	Commit   float64 // a write's, 0 for a read
	Applied  int     // of the log, as the server had it
	Position float64
	Primary  bool // the server was its group's one primary
	Twice    bool // a write of this id, or of this key, ran before
	Dropped  bool // a repeat of a keyed write, which was answered and not run
}

// first is when a keyed write that ran first came, and what it wrote.
type first struct {
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

	clk    Clock
	rng    *rand.Rand
	watch  Watcher
	byName map[string]*Server
	facts  []Fact
	ran    map[string]bool // ids of writes that ran
	keyed  map[string]first
	twice  []string
}

const (
	maxRan   = 1 << 20
	maxTwice = 100
	maxFacts = 1 << 16
)

// New makes a fleet. Its list names the servers at no address until SetAddr.
func New(cfg Config, clk Clock, watch Watcher) *World {
	w := &World{Cfg: cfg, clk: clk, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), watch: watch, byName: map[string]*Server{}, ran: map[string]bool{}, keyed: map[string]first{}}
	w.List.w = w
	w.List.entries = map[string]*Entry{}
	for i, n := range cfg.Groups {
		g := &Group{ID: i, w: w, rows: map[string][]version{}, rng: rand.New(rand.NewPCG(cfg.Seed, 100+uint64(i)))}
		for k := range n {
			s := &Server{Name: fmt.Sprintf("s-%d-%d", i, k), No: len(w.Servers), Group: g, w: w, Up: true, left: 1, slow: 1, disk: 1, ship: cfg.Ship.Draw(w.rng)}
			g.Members = append(g.Members, s)
			w.byName[s.Name] = s
			w.Servers = append(w.Servers, s)
		}
		if n > 0 && !cfg.Peers {
			g.Primary = g.Members[0]
		}
		w.Groups = append(w.Groups, g)
	}
	w.Catalog = Catalog{w: w, names: map[*Server]int{}, critical: map[*Server]bool{}}
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

// Twice are the ids of writes that ran more than once, up to a bound.
func (w *World) Twice() []string { return slices.Clone(w.twice) }

// Fallen are the cold servers that were pushed over.
func (w *World) Fallen() []string {
	var out []string
	for _, s := range w.Servers {
		if s.Fell {
			out = append(out, s.Name)
		}
	}
	return out
}

// Ran are the ids of the writes that ran, in no order.
func (w *World) Ran() (out []string) {
	for id := range w.ran {
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

func (w *World) fact(s *Server, what string) {
	f := Fact{At: w.clk.Now(), Server: s.Name, Group: s.Group.ID, What: what}
	if len(w.facts) < maxFacts {
		w.facts = append(w.facts, f)
	}
	w.watch.Said(f)
}

// ErrServer says that there is no such server.
var ErrServer = errors.New("no such server")

// with runs do for a server.
func (w *World) with(name string, do func(s *Server, now float64)) error {
	s := w.byName[name]
	if s == nil {
		return fmt.Errorf("%q: %w", name, ErrServer)
	}
	do(s, w.clk.Now())
	return nil
}

func (w *World) later(ms float64, do func(now float64)) {
	w.clk.After(ms, Func(func() { do(w.clk.Now()) }), 0)
}
