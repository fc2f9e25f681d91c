// Package pooling is the front for ordinary PostgreSQL clients: version 3 of the protocol in full, with session and
// transaction pooling. Each transaction goes through the decision module as a request; which connection it gets is
// decided by the package share, and what a session carries from one to the next is kept by the package carry.
package pooling

import (
	"beechgrade/internal/eventloop/clock"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"math"
	"slices"
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/record"
)

// Mode says for how long a client keeps a server connection.
type Mode uint8

// The modes.
const (
	Transaction Mode = iota // for a transaction
	Session                 // for its life
)

func (m Mode) String() string {
	if m == Session {
		return "session"
	}
	return "transaction"
}

// PoolOptions are a pool's. Times are in milliseconds; 0 stands for no limit.
type PoolOptions struct {
	Database, User, App string // "*" for any
	Mode                Mode
	Class, Reads        string // of transactions; of those known to read only, empty for Class
	Group               int
	Limits              connpool.Limits
	MaxClients          int // at most
	TxnMs               float64
	IdleTxnMs           float64
	RejectSticky        bool // what can't be carried is refused, in transaction mode, instead of keeping the connection
	Statements          int  // prepared on one connection at most
	StatementBytes      int
}

// Options are the front's.
type Options struct {
	Pools        []PoolOptions
	ConnectMs    float64
	GraceMs      float64 // after hearing that a server drains, for what is open there
	Roles        [2]string
	PositionName string
	MaxMessage   int            // bytes, from clients
	MaxAnswer    int            // bytes, of one message from servers
	Spare        func() int     // descriptors left
	Expire       func()         // has leases of limits that are over be so; nil for none
	Scatter      *scatter.Front // reads over many groups, nil where there are none
}

const (
	attemptRefBit   = 1 << 31 // attempts' refs have this bit, so that they differ from the other front's
	tickMs          = 20
	graceMargin     = 40 // ms before the grace's end at which nothing more is sent
	maxReplayBytes  = 256 << 10
	pauseUnsent     = 256 << 10 // to a client that reads slowly: its server is not read any further
	resumeUnsent    = 64 << 10
	streamThreshold = 64 << 10 // rows and copies' data of more bytes pass through as they come
	startupMs       = 5000
	maxCancels      = 64
)

// Frontend is the second front. It is for the loop alone.
type Frontend struct {
	eventLoop  *eventloop.Loop
	log        *slog.Logger
	dispatcher platform.Dispatcher
	events     backend.Events
	options    Options

	statements     *sessionstate.Statements
	pools          []*pool
	clients        slotmap.Table[*client]
	links          slotmap.Table[*link]
	attempts       slotmap.Table[*attempt]
	keys           map[uint32]*client
	assignedLimits map[string]int // connections of the pools of a name, where that is told
	lastKey        uint32
	addresses      map[string]string
	params         map[string]string // that servers reported, for clients that start
	cancels        int
	draining       bool
	drainStartedAt float64          // the drain began then
	lingering      int              // connections of clients that are on their way to be closed
	recorder       *record.Recorder // nil where nothing is recorded
	nextGaugeAt    float64
	checkCalls     int // of invariants

	Counts Counts
}

// Counts are figures since the start.
type Counts struct {
	Transactions, Prepared, Executed, SettingsSynced, Moves, Cancels, Refused, Restarts uint64
}

// poolKey names a pool: what was asked for, under which of the settings.
type poolKey struct {
	opt            int
	database, user string
}

// pool is the connections for one database and user.
type pool struct {
	key     poolKey
	name    string // in records
	options *PoolOptions
	conns   *connpool.Pool
	clients int
	failed  map[string]bool // servers whose last dial failed
}

// New makes a front; events is told of attempts' ends.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Frontend {
	return &Frontend{eventLoop: l, log: log, dispatcher: desk, events: events, options: opt, statements: sessionstate.NewStatements(), keys: map[uint32]*client{}, assignedLimits: map[string]int{},
		addresses: map[string]string{}, params: map[string]string{"server_version": "15.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
			"DateStyle": "ISO, MDY", "TimeZone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on"}}
}

// Start begins the beats that let time pass in the pools; it is for the loop.
func (f *Frontend) Start() {
	f.eventLoop.At(f.eventLoop.Now()+tickMs, func() {
		for _, p := range f.pools {
			f.execute(p, p.conns.Tick(f.eventLoop.Now()))
		}
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.tick() })
		f.gauge()
		f.Start()
	})
}

// Sessions is the number of clients connected.
func (f *Frontend) Sessions() int { return f.clients.Len() + f.lingering }

// Conns is the number of connections to servers.
func (f *Frontend) Conns() int { return f.links.Len() }

// Parked is how many clients are not read, as what they sent ahead waits.
func (f *Frontend) Parked() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.readingPaused {
			n++
		}
	})
	return n
}

// Unsent is how many bytes clients have not read yet.
func (f *Frontend) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// HasOutstanding tells whether a client is in the midst of a transaction, waits for an answer or has yet to take its last one.
func (f *Frontend) HasOutstanding() bool {
	owes := f.lingering > 0
	f.clients.Each(func(_ slotmap.Ref, c *client) { owes = owes || c.busy() || c.conn != nil && c.conn.Unsent() > 0 })
	return owes
}

// Resume ends Drain.
func (f *Frontend) Resume() { f.draining = false }

// Drain ends clients' connections as they fall idle, from now on.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining, f.drainStartedAt = true, f.eventLoop.Now()
	}
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.closeIfDraining() })
}

// End ends clients' connections with a last word, whatever they have under way.
func (f *Frontend) End() {
	f.draining = true
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.endNow() })
}

// Accept makes the handler of a new connection.
func (f *Frontend) Accept() eventloop.Handler {
	c := newClient(f)
	c.ref = f.clients.Put(c)
	return c
}

// newKey makes a cancel key.
func (f *Frontend) newKey(c *client) {
	var b [8]byte
	_, _ = rand.Read(b[:])
	for {
		f.lastKey++
		if f.lastKey &= math.MaxInt32; f.lastKey != 0 && f.keys[f.lastKey] == nil {
			break
		}
	}
	c.pid, c.secret = f.lastKey, binary.BigEndian.Uint32(b[:4])
	f.keys[c.pid] = c
}

// poolOf finds a client's pool, by the first of the settings that fits.
func (f *Frontend) poolOf(database, user, app string) *pool {
	fits := func(want, have string) bool { return want == "*" || want == "" || want == have }
	i := slices.IndexFunc(f.options.Pools, func(o PoolOptions) bool { return fits(o.Database, database) && fits(o.User, user) && fits(o.App, app) })
	if i < 0 {
		return nil
	}
	key := poolKey{i, database, user}
	for _, p := range f.pools {
		if p.key == key {
			return p
		}
	}
	p := &pool{key: key, name: database + "/" + user, options: &f.options.Pools[i], conns: connpool.New(f.options.Pools[i].Limits), failed: map[string]bool{}}
	f.pools = append(f.pools, p)
	if most, ok := f.assignedLimits[p.name]; ok {
		f.AssignLimit(p.name, most)
	}
	return p
}

func (f *Frontend) expireLeases() {
	if f.options.Expire != nil {
		f.options.Expire()
	}
}

// AssignLimit has the pools of a database and a user, named DATABASE/USER, have so many connections at most together.
func (f *Frontend) AssignLimit(name string, most int) {
	f.assignedLimits[name] = most
	mine := f.named(name)
	for i, p := range mine {
		f.execute(p, p.conns.AssignLimit((most+len(mine)-1-i)/len(mine), f.eventLoop.Now()))
	}
}

// RestoreLimits has these pools' limits be those of the settings again.
func (f *Frontend) RestoreLimits(name string) {
	delete(f.assignedLimits, name)
	for _, p := range f.named(name) {
		f.execute(p, p.conns.RestoreLimits(f.eventLoop.Now()))
	}
}

// Demand is how many connections the pools of a database and a user have, and how many they would.
func (f *Frontend) Demand(name string) (has, want int) {
	for _, p := range f.named(name) {
		idle, used, dialing, waiting := p.conns.Counts()
		has += idle + used + dialing
		want += used + waiting + p.conns.QueuedTransactions()
	}
	return has, want
}

func (f *Frontend) named(name string) (out []*pool) {
	for _, p := range f.pools {
		if p.name == name {
			out = append(out, p)
		}
	}
	return out
}

// IsTransaction tells whether a query is one of this front's transactions.
func IsTransaction(q backend.Query) bool {
	_, ok := q.(*transaction)
	return ok
}

// IsAttemptRef tells whether an attempt is one of this front's.
func IsAttemptRef(r slotmap.Ref) bool { return r.Index >= attemptRefBit }

// attempt is a transaction's try at one server.
type attempt struct {
	ref         slotmap.Ref
	tag         backend.AttemptID
	server      string
	transaction *transaction
	link        *link
	ended       bool
	timer       *timers.Timer
}

// SetAddress tells where a server listens.
func (f *Frontend) SetAddress(store, addr string) {
	if old, ok := f.addresses[store]; ok && old != addr {
		f.DrainServer(store)
	}
	f.addresses[store] = addr
	for _, p := range f.pools {
		p.conns.RestoreServer(store)
	}
}

// DrainServer tells that a server drains or is gone: nobody gets a connection to it any more, and what is open there has the
// grace to end.
func (f *Frontend) DrainServer(store string) {
	now := f.eventLoop.Now()
	for _, p := range f.pools {
		f.execute(p, p.conns.DrainServer(store, now))
	}
	f.links.Each(func(_ slotmap.Ref, l *link) {
		if l.serverID == store && l.closesAt == 0 {
			l.closesAt = now + max(0, f.options.GraceMs-graceMargin)
			f.eventLoop.At(l.closesAt, l.graceOver)
		}
	})
}

// Retain bars all servers but those.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.addresses {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// Forget bars a server that has left the list.
func (f *Frontend) Forget(store string) {
	delete(f.addresses, store)
	f.DrainServer(store)
}

// StartAttempt is core.Servers' Start for this front's transactions: it gives one a connection to a server.
func (f *Frontend) StartAttempt(store string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	a := &attempt{tag: t, server: store, transaction: q.(*transaction)}
	a.ref = f.attempts.Put(a)
	a.timer = f.eventLoop.At(until, func() { f.endAttempt(a, decide.TimedOut, nil) })
	a.transaction.attempt = a
	if f.addresses[store] == "" {
		f.endAttempt(a, decide.Unreachable, nil)
	} else if !f.events.MaySend(a.tag) {
		f.endAttempt(a, decide.Cancelled, nil)
	} else if c := a.transaction.client; !c.keepConnection(a) {
		f.expireLeases()
		f.execute(c.pool, c.pool.conns.Request(connpool.ID(refNumber(a.ref)), store, f.eventLoop.Now()))
	}
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// Recall is core.Servers': what has no connection yet and may not go to that server any more is given up.
func (f *Frontend) Recall(store string, which func(backend.AttemptID) bool) {
	var out []*attempt
	f.attempts.Each(func(_ slotmap.Ref, a *attempt) {
		if a.server == store && a.link == nil && which(a.tag) {
			out = append(out, a)
		}
	})
	for _, a := range out {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// Cancel is core.Servers': it gives an attempt up. What was sent may have run.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	if a, ok := f.attempts.Get(slotmap.Ref{Index: ref.Index &^ attemptRefBit, Gen: ref.Gen}); ok {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// endAttempt ends an attempt, once. With a link still in use, that is given up too unless the attempt was good.
func (f *Frontend) endAttempt(a *attempt, r decide.Result, l *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.eventLoop.StopTimer(a.timer)
	o := backend.Outcome{Result: r}
	if l != nil {
		o.Role, o.Position, o.HasPos = l.reported()
	}
	if a.transaction.attempt == a {
		a.transaction.attempt = nil
	}
	if r != decide.OK {
		if a.link != nil {
			a.link.abandon()
		} else {
			if r == decide.TimedOut || r == decide.Cancelled {
				o.Result = decide.NotSent // it never got a connection
			}
			f.execute(a.transaction.client.pool, a.transaction.client.pool.conns.Withdraw(connpool.ID(refNumber(a.ref)), f.eventLoop.Now()))
		}
	}
	f.events.AttemptEnded(a.tag, o)
}

func refNumber(r slotmap.Ref) uint64 { return uint64(r.Gen)<<32 | uint64(r.Index) }

func refFrom(n uint64) slotmap.Ref { return slotmap.Ref{Index: uint32(n), Gen: uint32(n >> 32)} }

// execute carries out what a pool has decided.
func (f *Frontend) execute(p *pool, actions []connpool.Action) {
	for _, x := range actions {
		switch x.Kind {
		case connpool.Dial:
			f.dial(p, x.Server)
		case connpool.Close:
			if l, ok := f.links.Get(refFrom(uint64(x.Conn))); ok {
				l.close()
			}
		case connpool.Assign:
			a, ok := f.attempts.Get(refFrom(uint64(x.Waiter)))
			l, up := f.links.Get(refFrom(uint64(x.Conn)))
			switch {
			case !up:
			case !ok:
				l.free()
			case !f.events.MaySend(a.tag):
				l.free()
				f.endAttempt(a, decide.Cancelled, nil)
			case l.serverClosed():
				l.close()
				f.execute(p, p.conns.Request(x.Waiter, a.server, f.eventLoop.Now()))
			default:
				a.transaction.client.assign(a, l)
			}
		case connpool.Admit:
			if c, ok := f.clients.Get(refFrom(uint64(x.Waiter))); ok {
				f.eventLoop.At(f.eventLoop.Now(), c.onAdmitted) // off this call: one leads to the next
			}
		case connpool.Reject:
			if x.Server == "" {
				if c, ok := f.clients.Get(refFrom(uint64(x.Waiter))); ok {
					f.Counts.Refused++
					f.eventLoop.At(f.eventLoop.Now(), c.onRejected)
				}
				continue
			}
			if a, ok := f.attempts.Get(refFrom(uint64(x.Waiter))); ok {
				f.rejectAttempt(a, p)
			}
		}
	}
}

// rejectAttempt ends an attempt that got no connection: its server could not be reached, or the pool had none for it.
func (f *Frontend) rejectAttempt(a *attempt, p *pool) {
	f.Counts.Refused++
	switch {
	case p.conns.IsDraining(a.server):
		f.endAttempt(a, decide.Overloaded, nil)
	case p.options.Limits.MaxWaitMs > 0 && f.eventLoop.Now()-a.transaction.submittedAt >= p.options.Limits.MaxWaitMs:
		a.transaction.noConnection = true
		f.endAttempt(a, decide.Overloaded, nil)
	case f.isUnreachable(p, a.server):
		f.endAttempt(a, decide.Unreachable, nil)
	default:
		a.transaction.noConnection = true // no place in the queue
		f.endAttempt(a, decide.Overloaded, nil)
	}
}

func (f *Frontend) isUnreachable(p *pool, store string) bool {
	return f.addresses[store] == "" || p.failed[store]
}

func (f *Frontend) role(val string) decide.Role {
	switch val {
	case f.options.Roles[0]:
		return decide.RolePrimary
	case f.options.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// position reads a position that a server told, 0 for none.
func (f *Frontend) position(val string) float64 {
	ms, err := strconv.ParseInt(val, 10, 64)
	if err != nil || !clock.Plausible(float64(ms), f.eventLoop.Now()) {
		return 0
	}
	return float64(ms)
}
