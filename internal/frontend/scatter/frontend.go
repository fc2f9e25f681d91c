// Package scatter serves reads over many shards: each shard returns its part of the rows in sorted order, the parts are merged, and the
// client receives a page of rows with a cursor, from which any pooler can continue.
//
// Its inputs are statements from the clients of another frontend (package pooling). Its outputs are Requests to a Dispatcher, one for
// each shard, and the rows, which go to a Reader. The subpackages contain the logic, and this package connects them to sockets: merge
// sorts rows, cursor encodes the places at which pages continue, plan writes the statements for the shards, bindmessage encodes their
// parameters, and execution is the state machine of one page.
//
// The package has connections of its own, so that the load reports on them cover scattered reads alone. For each Spec, there are at most
// Spec.MaxConcurrent connections to a server, and as many again on which an answer is being discarded. The memory of pages is bounded by
// Spec.MaxHeldBytes. A shard that sends nothing is retried, is left out or fails the page, by the rules of package execution.
package scatter

import (
	"crypto/rand"
	"log/slog"
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/invariant"
)

const (
	tickMs         = 5         // interval at which running pages are checked
	highWaterBytes = 256 << 10 // bytes not yet read by the client, above which no rows are delivered
	lowWaterBytes  = 64 << 10  // ...and below which delivery resumes
)

// unlimited is the value of Frontend.maxShards while no limit is assigned. Any negative value disables the limit.
const unlimited = -1

// Options are the settings of the frontend and its dependencies in the pooler.
type Options struct {
	Specs            []Spec
	Ring             *cursor.Ring
	ConnectTimeoutMs float64
	RoleNames        [2]string  // values of the parameter "role" on a primary and on a replica
	PositionName     string     // the parameter that reports the position of a server's log, in Unix ms
	SpareDescriptors func() int // returns how many connections may still be opened; nil if they are not limited
	Checks           *invariant.Checks
}

// Frontend runs the scattered reads of a pooler. Its methods must be called on the event loop.
type Frontend struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	options    Options
	dispatcher platform.Dispatcher
	events     backend.Events

	addresses   map[string]string // by server
	draining    map[string]bool   // servers that receive no statements
	idle        map[connKey][]*link
	conns       int
	openCancels int // cancel requests in progress
	attempts    slotmap.Table[*attempt]

	running        map[*PageRead]bool
	runningPerSpec []int // number of running pages, by index in Options.Specs
	lastID         uint64
	ticking        bool
	shardsInFlight int           // read by the running pages
	maxShards      int           // upper bound of shardsInFlight, or unlimited
	rejectedShards decayingCount // shards of pages that were rejected with ErrBusy

	Counts Counts
}

// connKey identifies interchangeable connections.
type connKey struct{ server, database, user string }

// New makes a frontend. It reports the outcomes of attempts to events.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, dispatcher platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{
		loop:           loop,
		log:            log,
		options:        options,
		dispatcher:     dispatcher,
		events:         events,
		addresses:      map[string]string{},
		draining:       map[string]bool{},
		idle:           map[connKey][]*link{},
		running:        map[*PageRead]bool{},
		runningPerSpec: make([]int, len(options.Specs)),
		maxShards:      unlimited,
	}
	for i := range f.options.Specs {
		f.options.Specs[i].setDigests()
	}
	return f
}

// Check enables the checks of invariants.
func (f *Frontend) Check(checks *invariant.Checks) { f.options.Checks = checks }

// Conns returns the number of connections to servers.
func (f *Frontend) Conns() int { return f.conns }

// Running returns the number of running pages.
func (f *Frontend) Running() int { return len(f.running) }

// HeldBytes returns the number of bytes of rows held for all pages.
func (f *Frontend) HeldBytes() (n int) {
	for r := range f.running {
		n += r.heldBytes()
	}
	return n
}

// MaxHeldBytes returns the upper bound of the bytes held for one page of the scattered read with a name, 0 if there is no such read.
func (f *Frontend) MaxHeldBytes(name string) int {
	i := f.specIndex(name)
	if i < 0 {
		return 0
	}
	return f.options.Specs[i].maxPageBytes()
}

// AssignLimit bounds the number of shards that pages may read at a time.
func (f *Frontend) AssignLimit(maxShards int) { f.maxShards = maxShards }

// RestoreLimits removes the limit set by AssignLimit.
func (f *Frontend) RestoreLimits() { f.maxShards = unlimited }

// Demand returns how many shards are being read, and how many would be without a limit.
func (f *Frontend) Demand() (inFlight, wanted int) {
	rejected := f.rejectedShards.decayTo(f.loop.Now())
	return f.shardsInFlight, f.shardsInFlight + int(math.Ceil(rejected))
}

// decayMs is the time in which a decayingCount falls to 1/e. At 1000 ms, the count approximates a rate per second.
const decayMs = 1000

// negligibleCount is the value below which a decayingCount is rounded to 0.
const negligibleCount = 0.05

// decayingCount is an exponentially decaying count of the events of about the last second.
type decayingCount struct{ count, decayedAt float64 }

// decayTo applies the decay up to now, and returns the count.
func (d *decayingCount) decayTo(now float64) float64 {
	d.count *= math.Exp(-max(0, now-d.decayedAt) / decayMs)
	d.decayedAt = max(d.decayedAt, now)
	if d.count < negligibleCount {
		d.count = 0
	}
	return d.count
}

// SetAddress sets the address of a server, and allows requests to it.
func (f *Frontend) SetAddress(server, address string) {
	if known, ok := f.addresses[server]; ok && known != address {
		f.DrainServer(server)
	}
	f.addresses[server] = address
	delete(f.draining, server)
}

// DrainServer closes the idle connections of a server, and sends it no further statements. Running statements may complete.
func (f *Frontend) DrainServer(server string) {
	f.draining[server] = true
	for key, links := range f.idle {
		if key.server != server {
			continue
		}
		delete(f.idle, key)
		for _, l := range links {
			l.close()
		}
	}
}

// Forget removes a server that is not in the endpoint list any more.
func (f *Frontend) Forget(server string) {
	delete(f.addresses, server)
	f.DrainServer(server)
}

// Retain removes all servers whose IDs are not in ids.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.addresses {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// specIndex returns the index of the spec with a name, or -1.
func (f *Frontend) specIndex(name string) int {
	for i := range f.options.Specs {
		if f.options.Specs[i].Name == name {
			return i
		}
	}
	return -1
}

// startTicking starts the periodic calls of tick, which continue while pages are running.
func (f *Frontend) startTicking(now float64) {
	if !f.ticking {
		f.ticking = true
		f.loop.At(now+tickMs, f.tick)
	}
}

func (f *Frontend) tick() {
	if len(f.running) == 0 {
		f.ticking = false
		return
	}
	for r := range f.running { // in any order: pages do not depend on each other
		r.tick()
	}
	f.loop.At(f.loop.Now()+tickMs, f.tick)
}

func newNonce() (nonce cursor.Nonce) {
	_, _ = rand.Read(nonce[:]) // rand.Read never returns an error
	return nonce
}

// role returns the role that a value of the parameter "role" stands for.
func (f *Frontend) role(value string) decide.Role {
	switch value {
	case f.options.RoleNames[0]:
		return decide.RolePrimary
	case f.options.RoleNames[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}
