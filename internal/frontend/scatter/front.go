// Package scatter reads in order over many shards: it asks each, merges what comes sorted, and gives pages with a cursor at which any pooler goes on. It
// rides on a front that exists, which hands it a statement and takes rows; sub-packages decide, and this one joins them to
// sockets: merge (the order), cursor (the place at which it goes on), plan (what is asked of whom, in words) and run (one page).
//
// It is for the loop alone. Connections are its own, so reports do not take those of other work: one for each shard and scatter that
// runs, Spec.AtOnce for each server at most and as many that end.
package scatter

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"math"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics/exposition"
)

// Shard is a group of servers that has a part of the rows. Its name is stable: ties go by it.
type Shard struct {
	Name  string
	Group int
}

// Spec is what the settings say of one scatter. Times are in milliseconds.
type Spec struct {
	Name      string
	Class     string
	Shards    []Shard // by name
	Order     merge.Order
	Page      int // rows, where the client does not say
	MostPage  int
	Missing   int // shards that may be left out, 0 for none
	Memory    int // bytes of one page's rows, at all shards together
	MostRow   int
	AtOnce    int // pages that are made at a time
	WaitMs    float64
	SilentMs  float64
	Again     int
	SettleMs  float64
	SpareMs   float64
	orderMark cursor.Mark
	shardMark cursor.Mark
}

// Run is the spec as the run has it.
func (s *Spec) Run() execution.Settings {
	return execution.Settings{Shards: len(s.Shards), Missing: s.Missing, Window: max(leastWindow, s.Memory/len(s.Shards)), MostRow: s.MostRow, Silent: s.SilentMs, Again: s.Again,
		Settle: s.SettleMs, Spare: s.SpareMs}
}

// Held is how many bytes a pooler holds for all pages of a spec: rows, and of each connection what was read ahead.
func (s *Spec) Held() int {
	set := s.Run()
	return s.AtOnce * (set.Held() + len(s.Shards)*(readAhead+s.longest()))
}

// longest is the longest message that is taken of a server.
func (s *Spec) longest() int {
	return max(s.MostRow, leastMessage)
}

const (
	leastWindow  = 4 << 10
	leastMessage = 64 << 10 // for descriptions and errors
	readAhead    = 64 << 10 // that the loop reads of a connection at once
	tickMs       = 5
	idleMs       = 30000
	cancelMs     = 5    // an answer that ends by itself within it needs no cancel request
	drainMs      = 1000 // ...and one that does not end within this is closed
	firstRef     = 1 << 29
	muchUnsent   = 256 << 10 // to a client that reads slowly
	littleLeft   = 64 << 10
	mostCancels  = 256
)

// Options are the front's.
type Options struct {
	Specs        []Spec
	Ring         *cursor.Ring
	ConnectMs    float64
	Roles        [2]string
	PositionName string
	Spare        func() int // descriptors left
	Checks       *invariant.Checks
}

// Counts are figures since the start.
type Counts struct {
	Pages, Served, Refused, Failed, Abandon, Rows, Asked, Again, Missing, Cancels, Cursors uint64
}

// Front is the scatters of a pooler.
type Front struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	opt    Options
	desk   platform.Dispatcher
	events backend.Events

	addrs    map[string]string
	barred   map[string]bool
	idle     map[serverKey][]*link
	conns    int
	attempts slotmap.Table[*attempt]
	running  map[*Scatter]bool
	perSpec  []int
	inFlight int // shards of pages that are made
	told     int // of them at most, as the fleet was told; below 0 for not told
	turned   flow
	ticking  bool
	seq      uint64
	cancels  int

	Counts Counts
}

// serverKey names whom a connection is to.
type serverKey struct{ store, database, user string }

// New makes a front; events is told of attempts' ends.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Front {
	f := &Front{loop: l, log: log, opt: opt, desk: desk, events: events, addrs: map[string]string{}, barred: map[string]bool{}, idle: map[serverKey][]*link{},
		running: map[*Scatter]bool{}, perSpec: make([]int, len(opt.Specs)), told: -1}
	for i := range f.opt.Specs {
		s := &f.opt.Specs[i]
		var names []string
		for _, x := range s.Shards {
			names = append(names, x.Name)
		}
		s.orderMark, s.shardMark = Mark(fmt.Sprint(s.Order)), Mark(names...)
	}
	return f
}

// Mark stands for texts in a cursor.
func Mark(texts ...string) (m cursor.Mark) {
	h := xxhash.New()
	for _, s := range texts {
		_, _ = fmt.Fprintf(h, "%d %s", len(s), s)
	}
	sum := h.Sum64()
	for i := range m {
		m[i] = byte(sum >> (8 * i))
	}
	return m
}

// Check has statements about state checked.
func (f *Front) Check(c *invariant.Checks) { f.opt.Checks = c }

// Conns is the number of connections to servers.
func (f *Front) Conns() int { return f.conns }

// Running is the number of pages that are made.
func (f *Front) Running() int { return len(f.running) }

// Held is how many bytes of rows are held now.
func (f *Front) Held() (n int) {
	for s := range f.running {
		n += s.held()
	}
	return n
}

// Tell has so many shards be asked at a time at most, over all pages.
func (f *Front) Tell(most int) { f.told = most }

// Untell ends Tell.
func (f *Front) Untell() { f.told = -1 }

// Demand is how many shards are asked now, and how many would be.
func (f *Front) Demand() (has, want int) {
	return f.inFlight, f.inFlight + int(math.Ceil(f.turned.now(f.loop.Now())))
}

// flow is how much was turned away lately.
type flow struct{ n, at float64 }

func (x *flow) now(t float64) float64 {
	x.n *= math.Exp(-max(0, t-x.at) / 1000)
	x.at = max(x.at, t)
	if x.n < 0.05 {
		x.n = 0
	}
	return x.n
}

// SetAddress tells where a server listens.
func (f *Front) SetAddress(store, addr string) {
	if old, ok := f.addrs[store]; ok && old != addr {
		f.Bar(store)
	}
	f.addrs[store] = addr
	delete(f.barred, store)
}

// Bar tells that a server drains or is gone: nothing more is sent there. What runs may end.
func (f *Front) Bar(store string) {
	f.barred[store] = true
	for k, list := range f.idle {
		if k.store == store {
			delete(f.idle, k)
			for _, l := range list {
				l.close()
			}
		}
	}
}

// Forget bars a server that has left the list.
func (f *Front) Forget(store string) {
	delete(f.addrs, store)
	f.Bar(store)
}

// Retain bars all servers but those.
func (f *Front) Retain(ids map[string]bool) {
	for id := range f.addrs {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// Ours tells whether a query is a shard's of this front.
func Ours(q backend.Query) bool {
	_, ok := q.(*part)
	return ok
}

// OursRef tells whether an attempt is one of this front's.
func OursRef(r slotmap.Ref) bool { return r.Index>>29 == firstRef>>29 }

// Spec finds a scatter by its name.
func (f *Front) spec(name string) int {
	for i := range f.opt.Specs {
		if f.opt.Specs[i].Name == name {
			return i
		}
	}
	return -1
}

func (f *Front) tick() {
	if len(f.running) == 0 {
		f.ticking = false
		return
	}
	for s := range f.running { // each by itself: the order does not matter
		s.tick()
	}
	f.loop.At(f.loop.Now()+tickMs, f.tick)
}

func (f *Front) nonce() (n cursor.Nonce) {
	_, _ = rand.Read(n[:])
	return n
}

func (f *Front) role(val string) decide.Role {
	switch val {
	case f.opt.Roles[0]:
		return decide.RolePrimary
	case f.opt.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// Figures tells what was done.
func (f *Front) Figures(s *exposition.Snapshot) {
	c, scatter := f.Counts, s.Scope("scatter")
	for _, x := range []struct {
		name string
		n    uint64
	}{{"pages", c.Pages}, {"served", c.Served}, {"refused", c.Refused}, {"failed", c.Failed}, {"gone", c.Abandon}, {"rows", c.Rows}, {"asked", c.Asked},
		{"asked_again", c.Again}, {"shards_missing", c.Missing}, {"cancels", c.Cancels}, {"cursors_refused", c.Cursors}} {
		scatter.Counter(x.name, x.n)
	}
	scatter.IntGauge("running", int64(len(f.running)))
	scatter.IntGauge("held_bytes", int64(f.Held()))
	scatter.IntGauge("connections", int64(f.conns))
}

// Bound is the bound of what is held for one page of a scatter.
func (f *Front) Bound(name string) int {
	i := f.spec(name)
	if i < 0 {
		return 0
	}
	s := &f.opt.Specs[i]
	return s.Held() / s.AtOnce
}
