// Package scatter reads in order over many shards: it asks each, merges what comes sorted, and gives pages with a cursor at which any pooler goes on. It
// rides on a front that exists, which hands it a statement and takes rows; sub-packages decide, and this one joins them to
// sockets: merge (the order), cursor (the place at which it goes on), plan (what is asked of whom, in words) and run (one page).
//
// It is for the loop alone. Connections are its own, so reports do not take those of other work: one for each shard and scatter that
// runs, Spec.MaxConcurrent for each server at most and as many that end.
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
	Name            string
	Class           string
	Shards          []Shard // by name
	Order           merge.Order
	DefaultRows     int // rows, where the client does not say
	MaxRows         int
	MaxMissing      int // shards that may be left out, 0 for none
	PageBytes       int // bytes of one page's rows, at all shards together
	MaxRowBytes     int
	MaxConcurrent   int // pages that are made at a time
	TimeoutMs       float64
	UnresponsiveMs  float64
	MaxRetries      int
	PositionWaitMs  float64
	AnswerReserveMs float64
	orderDigest     cursor.Digest
	shardsDigest    cursor.Digest
}

// ExecutionSettings is the spec as the run has it.
func (s *Spec) ExecutionSettings() execution.Settings {
	return execution.Settings{Shards: len(s.Shards), MaxMissing: s.MaxMissing, WindowBytes: max(minWindowBytes, s.PageBytes/len(s.Shards)), MaxRowBytes: s.MaxRowBytes, UnresponsiveMs: s.UnresponsiveMs, MaxRetries: s.MaxRetries,
		PositionWaitMs: s.PositionWaitMs, AnswerReserveMs: s.AnswerReserveMs}
}

// MaxHeldBytes is how many bytes a pooler holds for all pages of a spec: rows, and of each connection what was read ahead.
func (s *Spec) MaxHeldBytes() int {
	set := s.ExecutionSettings()
	return s.MaxConcurrent * (set.MaxHeldBytes() + len(s.Shards)*(readAheadBytes+s.maxMessageBytes()))
}

// maxMessageBytes is the longest message that is taken of a server.
func (s *Spec) maxMessageBytes() int {
	return max(s.MaxRowBytes, minMessageBytes)
}

const (
	minWindowBytes  = 4 << 10
	minMessageBytes = 64 << 10 // for descriptions and errors
	readAheadBytes  = 64 << 10 // that the loop reads of a connection at once
	tickMs          = 5
	connIdleMs      = 30000
	cancelDelayMs   = 5    // an answer that ends by itself within it needs no cancel request
	endWaitMs       = 1000 // ...and one that does not end within this is closed
	attemptRefBit   = 1 << 29
	highWaterBytes  = 256 << 10 // to a client that reads slowly
	lowWaterBytes   = 64 << 10
	maxCancels      = 256
)

// Options are the front's.
type Options struct {
	Specs            []Spec
	Ring             *cursor.Ring
	ConnectTimeoutMs float64
	RoleNames        [2]string
	PositionName     string
	SpareDescriptors func() int // descriptors left
	Checks           *invariant.Checks
}

// Counts are figures since the start.
type Counts struct {
	Pages, Served, Rejected, Failed, Abandoned, Rows, Sent, Retried, Missing, Cancels, RejectedCursors uint64
}

// Frontend is the scatters of a pooler.
type Frontend struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	options    Options
	dispatcher platform.Dispatcher
	events     backend.Events

	addresses      map[string]string
	draining       map[string]bool
	idle           map[connKey][]*link
	conns          int
	attempts       slotmap.Table[*attempt]
	running        map[*Scatter]bool
	perSpec        []int
	shardsInFlight int // shards of pages that are made
	maxShards      int // of them at most, as the fleet was told; below 0 for not told
	rejectedShards decayingCount
	ticking        bool
	lastID         uint64
	openCancels    int

	Counts Counts
}

// connKey names whom a connection is to.
type connKey struct{ server, database, user string }

// New makes a front; events is told of attempts' ends.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{loop: l, log: log, options: opt, dispatcher: desk, events: events, addresses: map[string]string{}, draining: map[string]bool{}, idle: map[connKey][]*link{},
		running: map[*Scatter]bool{}, perSpec: make([]int, len(opt.Specs)), maxShards: -1}
	for i := range f.options.Specs {
		s := &f.options.Specs[i]
		var names []string
		for _, x := range s.Shards {
			names = append(names, x.Name)
		}
		s.orderDigest, s.shardsDigest = DigestOf(fmt.Sprint(s.Order)), DigestOf(names...)
	}
	return f
}

// DigestOf stands for texts in a cursor.
func DigestOf(texts ...string) (m cursor.Digest) {
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
func (f *Frontend) Check(c *invariant.Checks) { f.options.Checks = c }

// Conns is the number of connections to servers.
func (f *Frontend) Conns() int { return f.conns }

// Running is the number of pages that are made.
func (f *Frontend) Running() int { return len(f.running) }

// HeldBytes is how many bytes of rows are held now.
func (f *Frontend) HeldBytes() (n int) {
	for s := range f.running {
		n += s.heldBytes()
	}
	return n
}

// AssignLimit has so many shards be asked at a time at most, over all pages.
func (f *Frontend) AssignLimit(most int) { f.maxShards = most }

// RestoreLimits ends Tell.
func (f *Frontend) RestoreLimits() { f.maxShards = -1 }

// Demand is how many shards are asked now, and how many would be.
func (f *Frontend) Demand() (has, want int) {
	return f.shardsInFlight, f.shardsInFlight + int(math.Ceil(f.rejectedShards.decayTo(f.loop.Now())))
}

// decayingCount is how much was turned away lately.
type decayingCount struct{ count, decayedAt float64 }

func (x *decayingCount) decayTo(t float64) float64 {
	x.count *= math.Exp(-max(0, t-x.decayedAt) / 1000)
	x.decayedAt = max(x.decayedAt, t)
	if x.count < 0.05 {
		x.count = 0
	}
	return x.count
}

// SetAddress tells where a server listens.
func (f *Frontend) SetAddress(store, addr string) {
	if old, ok := f.addresses[store]; ok && old != addr {
		f.DrainServer(store)
	}
	f.addresses[store] = addr
	delete(f.draining, store)
}

// DrainServer tells that a server drains or is gone: nothing more is sent there. What runs may end.
func (f *Frontend) DrainServer(store string) {
	f.draining[store] = true
	for k, list := range f.idle {
		if k.server == store {
			delete(f.idle, k)
			for _, l := range list {
				l.close()
			}
		}
	}
}

// Forget bars a server that has left the list.
func (f *Frontend) Forget(store string) {
	delete(f.addresses, store)
	f.DrainServer(store)
}

// Retain bars all servers but those.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.addresses {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// IsShardRead tells whether a query is a shard's of this front.
func IsShardRead(q backend.Query) bool {
	_, ok := q.(*part)
	return ok
}

// IsAttemptRef tells whether an attempt is one of this front's.
func IsAttemptRef(r slotmap.Ref) bool { return r.Index>>29 == attemptRefBit>>29 }

// Spec finds a scatter by its name.
func (f *Frontend) specIndex(name string) int {
	for i := range f.options.Specs {
		if f.options.Specs[i].Name == name {
			return i
		}
	}
	return -1
}

func (f *Frontend) tick() {
	if len(f.running) == 0 {
		f.ticking = false
		return
	}
	for s := range f.running { // each by itself: the order does not matter
		s.tick()
	}
	f.loop.At(f.loop.Now()+tickMs, f.tick)
}

func (f *Frontend) nonce() (n cursor.Nonce) {
	_, _ = rand.Read(n[:])
	return n
}

func (f *Frontend) role(val string) decide.Role {
	switch val {
	case f.options.RoleNames[0]:
		return decide.RolePrimary
	case f.options.RoleNames[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// AppendMetrics tells what was done.
func (f *Frontend) AppendMetrics(s *exposition.Snapshot) {
	c, scatter := f.Counts, s.Scope("scatter")
	for _, x := range []struct {
		name string
		n    uint64
	}{{"pages", c.Pages}, {"served", c.Served}, {"refused", c.Rejected}, {"failed", c.Failed}, {"gone", c.Abandoned}, {"rows", c.Rows}, {"asked", c.Sent},
		{"asked_again", c.Retried}, {"shards_missing", c.Missing}, {"cancels", c.Cancels}, {"cursors_refused", c.RejectedCursors}} {
		scatter.Counter(x.name, x.n)
	}
	scatter.IntGauge("running", int64(len(f.running)))
	scatter.IntGauge("held_bytes", int64(f.HeldBytes()))
	scatter.IntGauge("connections", int64(f.conns))
}

// MaxHeldBytes is the bound of what is held for one page of a scatter.
func (f *Frontend) MaxHeldBytes(name string) int {
	i := f.specIndex(name)
	if i < 0 {
		return 0
	}
	s := &f.options.Specs[i]
	return s.MaxHeldBytes() / s.MaxConcurrent
}
