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
	Clients             int // at most
	TxnMs               float64
	IdleTxnMs           float64
	RefusePins          bool // what can't be carried is refused, in transaction mode, instead of keeping the connection
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
	firstRef    = 1 << 31 // attempts' refs have this bit, so that they differ from the other front's
	beatMs      = 20
	graceMargin = 40 // ms before the grace's end at which nothing more is sent
	maxHeld     = 256 << 10
	muchUnsent  = 256 << 10 // to a client that reads slowly: its server is not read any further
	littleLeft  = 64 << 10
	inParts     = 64 << 10 // rows and copies' data of more bytes pass through as they come
	startupMs   = 5000
	maxCancels  = 64
)

// Front is the second front. It is for the loop alone.
type Front struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	desk   platform.Dispatcher
	events backend.Events
	opt    Options

	texts     *sessionstate.Texts
	pools     []*pool
	clients   slotmap.Table[*client]
	links     slotmap.Table[*link]
	attempts  slotmap.Table[*attempt]
	keys      map[uint32]*client
	told      map[string]int // connections of the pools of a name, where that is told
	lastKey   uint32
	addrs     map[string]string
	params    map[string]string // that servers reported, for clients that start
	cancels   int
	draining  bool
	drainedAt float64          // the drain began then
	lingering int              // connections of clients that are on their way to be closed
	rec       *record.Recorder // nil where nothing is recorded
	gaugeAt   float64
	walks     int // of invariants

	Counts Counts
}

// Counts are figures since the start.
type Counts struct {
	Transactions, Prepared, Executed, Syncs, Moves, Cancels, Refused, Again uint64
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
	opt     *PoolOptions
	share   *connpool.Pool
	clients int
	failed  map[string]bool // servers whose last dial failed
}

// New makes a front; events is told of attempts' ends.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Front {
	return &Front{loop: l, log: log, desk: desk, events: events, opt: opt, texts: sessionstate.NewTexts(), keys: map[uint32]*client{}, told: map[string]int{},
		addrs: map[string]string{}, params: map[string]string{"server_version": "15.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
			"DateStyle": "ISO, MDY", "TimeZone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on"}}
}

// Start begins the beats that let time pass in the pools; it is for the loop.
func (f *Front) Start() {
	f.loop.At(f.loop.Now()+beatMs, func() {
		for _, p := range f.pools {
			f.do(p, p.share.Beat(f.loop.Now()))
		}
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.beat() })
		f.gauge()
		f.Start()
	})
}

// Sessions is the number of clients connected.
func (f *Front) Sessions() int { return f.clients.Len() + f.lingering }

// Conns is the number of connections to servers.
func (f *Front) Conns() int { return f.links.Len() }

// Parked is how many clients are not read, as what they sent ahead waits.
func (f *Front) Parked() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.parked {
			n++
		}
	})
	return n
}

// Unsent is how many bytes clients have not read yet.
func (f *Front) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// HasOutstanding tells whether a client is in the midst of a transaction, waits for an answer or has yet to take its last one.
func (f *Front) HasOutstanding() bool {
	owes := f.lingering > 0
	f.clients.Each(func(_ slotmap.Ref, c *client) { owes = owes || c.busy() || c.conn != nil && c.conn.Unsent() > 0 })
	return owes
}

// Resume ends Drain.
func (f *Front) Resume() { f.draining = false }

// Drain ends clients' connections as they fall idle, from now on.
func (f *Front) Drain() {
	if !f.draining {
		f.draining, f.drainedAt = true, f.loop.Now()
	}
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.shed() })
}

// End ends clients' connections with a last word, whatever they have under way.
func (f *Front) End() {
	f.draining = true
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.endNow() })
}

// Accept makes the handler of a new connection.
func (f *Front) Accept() eventloop.Handler {
	c := newClient(f)
	c.ref = f.clients.Put(c)
	return c
}

// newKey makes a cancel key.
func (f *Front) newKey(c *client) {
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
func (f *Front) poolOf(database, user, app string) *pool {
	fits := func(want, have string) bool { return want == "*" || want == "" || want == have }
	i := slices.IndexFunc(f.opt.Pools, func(o PoolOptions) bool { return fits(o.Database, database) && fits(o.User, user) && fits(o.App, app) })
	if i < 0 {
		return nil
	}
	key := poolKey{i, database, user}
	for _, p := range f.pools {
		if p.key == key {
			return p
		}
	}
	p := &pool{key: key, name: database + "/" + user, opt: &f.opt.Pools[i], share: connpool.New(f.opt.Pools[i].Limits), failed: map[string]bool{}}
	f.pools = append(f.pools, p)
	if most, ok := f.told[p.name]; ok {
		f.Tell(p.name, most)
	}
	return p
}

func (f *Front) expire() {
	if f.opt.Expire != nil {
		f.opt.Expire()
	}
}

// Tell has the pools of a database and a user, named DATABASE/USER, have so many connections at most together.
func (f *Front) Tell(name string, most int) {
	f.told[name] = most
	mine := f.named(name)
	for i, p := range mine {
		f.do(p, p.share.Tell((most+len(mine)-1-i)/len(mine), f.loop.Now()))
	}
}

// Untell has these pools' limits be those of the settings again.
func (f *Front) Untell(name string) {
	delete(f.told, name)
	for _, p := range f.named(name) {
		f.do(p, p.share.Untell(f.loop.Now()))
	}
}

// Demand is how many connections the pools of a database and a user have, and how many they would.
func (f *Front) Demand(name string) (has, want int) {
	for _, p := range f.named(name) {
		idle, used, dialing, waiting := p.share.Counts()
		has += idle + used + dialing
		want += used + waiting + p.share.Outside()
	}
	return has, want
}

func (f *Front) named(name string) (out []*pool) {
	for _, p := range f.pools {
		if p.name == name {
			out = append(out, p)
		}
	}
	return out
}

// Ours tells whether a query is one of this front's transactions.
func Ours(q backend.Query) bool {
	_, ok := q.(*txn)
	return ok
}

// OursRef tells whether an attempt is one of this front's.
func OursRef(r slotmap.Ref) bool { return r.Index >= firstRef }

// attempt is a transaction's try at one server.
type attempt struct {
	ref   slotmap.Ref
	tag   backend.AttemptID
	store string
	t     *txn
	link  *link
	ended bool
	timer *timers.Timer
}

// SetAddress tells where a server listens.
func (f *Front) SetAddress(store, addr string) {
	if old, ok := f.addrs[store]; ok && old != addr {
		f.Bar(store)
	}
	f.addrs[store] = addr
	for _, p := range f.pools {
		p.share.Unbar(store)
	}
}

// Bar tells that a server drains or is gone: nobody gets a connection to it any more, and what is open there has the
// grace to end.
func (f *Front) Bar(store string) {
	now := f.loop.Now()
	for _, p := range f.pools {
		f.do(p, p.share.Bar(store, now))
	}
	f.links.Each(func(_ slotmap.Ref, l *link) {
		if l.store == store && l.ends == 0 {
			l.ends = now + max(0, f.opt.GraceMs-graceMargin)
			f.loop.At(l.ends, l.graceOver)
		}
	})
}

// Retain bars all servers but those.
func (f *Front) Retain(ids map[string]bool) {
	for id := range f.addrs {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// Forget bars a server that has left the list.
func (f *Front) Forget(store string) {
	delete(f.addrs, store)
	f.Bar(store)
}

// Try is core.Servers' Start for this front's transactions: it gives one a connection to a server.
func (f *Front) Try(store string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	a := &attempt{tag: t, store: store, t: q.(*txn)}
	a.ref = f.attempts.Put(a)
	a.timer = f.loop.At(until, func() { f.end(a, decide.TimedOut, nil) })
	a.t.attempt = a
	if f.addrs[store] == "" {
		f.end(a, decide.Unreachable, nil)
	} else if !f.events.MaySend(a.tag) {
		f.end(a, decide.Cancelled, nil)
	} else if c := a.t.c; !c.stay(a) {
		f.expire()
		f.do(c.pool, c.pool.share.Want(connpool.ID(refNumber(a.ref)), store, f.loop.Now()))
	}
	return slotmap.Ref{Index: a.ref.Index | firstRef, Gen: a.ref.Gen}
}

// Recall is core.Servers': what has no connection yet and may not go to that server any more is given up.
func (f *Front) Recall(store string, which func(backend.AttemptID) bool) {
	var out []*attempt
	f.attempts.Each(func(_ slotmap.Ref, a *attempt) {
		if a.store == store && a.link == nil && which(a.tag) {
			out = append(out, a)
		}
	})
	for _, a := range out {
		f.end(a, decide.Cancelled, nil)
	}
}

// Cancel is core.Servers': it gives an attempt up. What was sent may have run.
func (f *Front) Cancel(ref slotmap.Ref) {
	if a, ok := f.attempts.Get(slotmap.Ref{Index: ref.Index &^ firstRef, Gen: ref.Gen}); ok {
		f.end(a, decide.Cancelled, nil)
	}
}

// end ends an attempt, once. With a link still in use, that is given up too unless the attempt was good.
func (f *Front) end(a *attempt, r decide.Result, l *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	o := backend.Outcome{Result: r}
	if l != nil {
		o.Role, o.Position, o.HasPos = l.told()
	}
	if a.t.attempt == a {
		a.t.attempt = nil
	}
	if r != decide.OK {
		if a.link != nil {
			a.link.abandon()
		} else {
			if r == decide.TimedOut || r == decide.Cancelled {
				o.Result = decide.NotSent // it never got a connection
			}
			f.do(a.t.c.pool, a.t.c.pool.share.Leave(connpool.ID(refNumber(a.ref)), f.loop.Now()))
		}
	}
	f.events.AttemptEnded(a.tag, o)
}

func refNumber(r slotmap.Ref) uint64 { return uint64(r.Gen)<<32 | uint64(r.Index) }

func refFrom(n uint64) slotmap.Ref { return slotmap.Ref{Index: uint32(n), Gen: uint32(n >> 32)} }

// do carries out what a pool has decided.
func (f *Front) do(p *pool, actions []connpool.Action) {
	for _, x := range actions {
		switch x.Do {
		case connpool.Dial:
			f.dial(p, x.Server)
		case connpool.Close:
			if l, ok := f.links.Get(refFrom(uint64(x.Conn))); ok {
				l.close()
			}
		case connpool.Give:
			a, ok := f.attempts.Get(refFrom(uint64(x.Waiter)))
			l, up := f.links.Get(refFrom(uint64(x.Conn)))
			switch {
			case !up:
			case !ok:
				l.free()
			case !f.events.MaySend(a.tag):
				l.free()
				f.end(a, decide.Cancelled, nil)
			case l.serverClosed():
				l.close()
				f.do(p, p.share.Want(x.Waiter, a.store, f.loop.Now()))
			default:
				a.t.c.assign(a, l)
			}
		case connpool.Admit:
			if c, ok := f.clients.Get(refFrom(uint64(x.Waiter))); ok {
				f.loop.At(f.loop.Now(), c.admitted) // off this call: one leads to the next
			}
		case connpool.Refuse:
			if x.Server == "" {
				if c, ok := f.clients.Get(refFrom(uint64(x.Waiter))); ok {
					f.Counts.Refused++
					f.loop.At(f.loop.Now(), c.turnedAway)
				}
				continue
			}
			if a, ok := f.attempts.Get(refFrom(uint64(x.Waiter))); ok {
				f.refused(a, p)
			}
		}
	}
}

// refused ends an attempt that got no connection: its server could not be reached, or the pool had none for it.
func (f *Front) refused(a *attempt, p *pool) {
	f.Counts.Refused++
	switch {
	case p.share.Barred(a.store):
		f.end(a, decide.Overloaded, nil)
	case p.opt.Limits.WaitMs > 0 && f.loop.Now()-a.t.asked >= p.opt.Limits.WaitMs:
		a.t.waited = true
		f.end(a, decide.Overloaded, nil)
	case f.downAt(p, a.store):
		f.end(a, decide.Unreachable, nil)
	default:
		a.t.waited = true // no place in the queue
		f.end(a, decide.Overloaded, nil)
	}
}

func (f *Front) downAt(p *pool, store string) bool { return f.addrs[store] == "" || p.failed[store] }

func (f *Front) role(val string) decide.Role {
	switch val {
	case f.opt.Roles[0]:
		return decide.RolePrimary
	case f.opt.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// position reads a position that a server told, 0 for none.
func (f *Front) position(val string) float64 {
	ms, err := strconv.ParseInt(val, 10, 64)
	if err != nil || !clock.Plausible(float64(ms), f.loop.Now()) {
		return 0
	}
	return float64(ms)
}
