// Package scatter serves reads over many shards: each shard reads a part of the rows in order, the parts are merged, and the client
// receives a page of them with a cursor, by which any pooler continues.
//
// Its inputs are statements of another frontend's clients (package pooling); its outputs are Requests to a Dispatcher, one for each
// shard, and the rows, which go to a Reader. The subpackages decide, and this one connects them to sockets: merge has the order of rows,
// cursor the places at which pages continue, plan the statements of the shards, bindmessage their parameters, and execution the course
// of one page.
//
// The connections are the package's own, so that the load reports on them are of scattered reads alone: at most Spec.MaxConcurrent to
// each server, and as many that end an answer. The memory of pages is bounded by Spec.MaxHeldBytes. A shard that sends nothing is
// retried, left out or fails the page, by the rules of execution.
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
	tickMs         = 5         // interval of checks on the pages that run
	highWaterBytes = 256 << 10 // not read by the client yet: beyond it, no rows are delivered
	lowWaterBytes  = 64 << 10  // ...until it has fallen to this
)

// unlimited is the value of Frontend.maxShards while no limit is assigned. It is below 0.
const unlimited = -1

// Options are the settings of the frontend, and what it takes from the pooler.
type Options struct {
	Specs            []Spec
	Ring             *cursor.Ring
	ConnectTimeoutMs float64
	RoleNames        [2]string  // values of the parameter "role": a primary's, and a replica's
	PositionName     string     // the parameter with the position of a server's log, in Unix ms
	SpareDescriptors func() int // connections that may be opened; nil for any number
	Checks           *invariant.Checks
}

// Frontend has the scattered reads of a pooler. Its methods must be called on the event loop.
type Frontend struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	options    Options
	dispatcher platform.Dispatcher
	events     backend.Events

	addresses   map[string]string // by server
	draining    map[string]bool   // servers that receive nothing
	idle        map[connKey][]*link
	conns       int
	openCancels int // cancel requests on their way
	attempts    slotmap.Table[*attempt]

	running        map[*PageRead]bool
	perSpec        []int // pages that run
	lastID         uint64
	ticking        bool
	shardsInFlight int           // of the pages that run
	maxShards      int           // bounds shardsInFlight; unlimited if no limit is assigned
	rejectedShards decayingCount // of pages that were rejected as ErrBusy

	Counts Counts
}

// connKey identifies what a connection can be used for.
type connKey struct{ server, database, user string }

// New makes a frontend. It reports the outcomes of attempts to events.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, dispatcher platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{
		loop:       loop,
		log:        log,
		options:    options,
		dispatcher: dispatcher,
		events:     events,
		addresses:  map[string]string{},
		draining:   map[string]bool{},
		idle:       map[connKey][]*link{},
		running:    map[*PageRead]bool{},
		perSpec:    make([]int, len(options.Specs)),
		maxShards:  unlimited,
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

// Running returns the number of pages that run.
func (f *Frontend) Running() int { return len(f.running) }

// HeldBytes returns the bytes of rows that are held.
func (f *Frontend) HeldBytes() (n int) {
	for s := range f.running {
		n += s.heldBytes()
	}
	return n
}

// MaxHeldBytes returns the bound of the bytes that are held for one page of a scattered read, 0 if there is none of that name.
func (f *Frontend) MaxHeldBytes(name string) int {
	i := f.specIndex(name)
	if i < 0 {
		return 0
	}
	return f.options.Specs[i].maxPageBytes()
}

// AssignLimit bounds the shards that pages may read at a time.
func (f *Frontend) AssignLimit(maxShards int) { f.maxShards = maxShards }

// RestoreLimits removes the limit of AssignLimit.
func (f *Frontend) RestoreLimits() { f.maxShards = unlimited }

// Demand returns how many shards are being read, and how many would be without a limit.
func (f *Frontend) Demand() (inFlight, wanted int) {
	rejected := f.rejectedShards.decayTo(f.loop.Now())
	return f.shardsInFlight, f.shardsInFlight + int(math.Ceil(rejected))
}

// decayMs is the time in which a decayingCount falls to 1/e, so that it is a count per second.
const decayMs = 1000

// negligibleCount is a decayingCount that is taken for 0.
const negligibleCount = 0.05

// decayingCount counts events of about the last second.
type decayingCount struct{ count, decayedAt float64 }

// decayTo lets the count decay up to now, and returns it.
func (d *decayingCount) decayTo(now float64) float64 {
	d.count *= math.Exp(-max(0, now-d.decayedAt) / decayMs)
	d.decayedAt = max(d.decayedAt, now)
	if d.count < negligibleCount {
		d.count = 0
	}
	return d.count
}

// SetAddress sets the address of a server, which may receive requests.
func (f *Frontend) SetAddress(server, address string) {
	if known, ok := f.addresses[server]; ok && known != address {
		f.DrainServer(server)
	}
	f.addresses[server] = address
	delete(f.draining, server)
}

// DrainServer closes the idle connections of a server, which receives nothing more. Statements that run may end.
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

// Retain removes all servers but those of the given IDs.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.addresses {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// specIndex returns the index of the spec of a name, or -1.
func (f *Frontend) specIndex(name string) int {
	for i := range f.options.Specs {
		if f.options.Specs[i].Name == name {
			return i
		}
	}
	return -1
}

// startTicking has tick called as long as pages run.
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
	for s := range f.running { // in any order: pages do not depend on each other
		s.tick()
	}
	f.loop.At(f.loop.Now()+tickMs, f.tick)
}

func newNonce() (nonce cursor.Nonce) {
	_, _ = rand.Read(nonce[:]) // it returns no error
	return nonce
}

// role returns the role of a server by the value of its parameter.
func (f *Frontend) role(value string) decide.Role {
	switch value {
	case f.options.RoleNames[0]:
		return decide.RolePrimary
	case f.options.RoleNames[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}
