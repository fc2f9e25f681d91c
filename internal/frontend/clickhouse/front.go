// Package clickhouse is a front and the connections behind it for the ClickHouse HTTP interface: each query is a request to
// the decision module, like any other front's, and its answer streams through in bounded memory.
//
// Until a server's answer begins, the module may try again, by its classes' rules; from then on the answer is that server's.
package clickhouse

import (
	"log/slog"

	"beechgrade/internal/backend"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/platform"
)

// Names of the classes that the front's requests are of.
const (
	ReadClass  = "clickhouse-reads"
	WriteClass = "clickhouse-writes"
)

// Options are the front's. Times are in milliseconds.
type Options struct {
	Group     int   // whose servers are ClickHouse's
	Hold      int   // bytes of a query's body that are held; a longer one passes through as it comes, and is never sent again
	MostBody  int64 // bytes that a body may have, 0 for any number
	Deadline  float64
	UploadMs  float64 // a body that passes through may take so long to come
	QuietMs   float64 // a server may be silent for so long in the midst of an answer
	StallMs   float64 // ...and a client may take nothing of it for so long
	Header    string  // a client may say in it how many ms it waits
	Check     bool    // servers are asked how far behind they are before each read that has a bound
	ConnectMs float64
	IdleMs    float64 // a connection to a server idle for so long is closed
	ClientMs  float64 // ...and a client's
	HeadMs    float64 // a client has so long for its head and body once begun
	Kill      bool    // KILL QUERY goes out beside a connection that is closed in the midst of a query
	GraceMs   float64 // for sends to a server, from the list's word that it drains
	Name      string  // of the pooler, in ids of queries that come without one
	Rules     []Rule  // the first that matches counts
	Bound     float64 // no read that is of no rule may see data older than that, 0 for any
	Sessions  int     // at most
	Users     map[string]limits.Limits
	Others    limits.Limits // of users that are not named
	Expire    func()        // has leases of limits that are over be so; nil for none
	Spare     func() int    // descriptors left
	Memory    func() int    // bytes that all clients' bodies may take
}

const (
	firstRef   = 1 << 30 // attempts' refs have this bit, so that they differ from the other fronts'
	muchUnsent = 256 << 10
	littleLeft = 64 << 10
	lookMs     = 10 // between looks at whether a slow reader has read
	lastMs     = 1000
	sweepMs    = 500
	heldPart   = 8 // of the memory, clients' queries may take 1 in so many
)

// Front is the front. It is for the loop alone.
type Front struct {
	loop     *eventloop.Loop
	log      *slog.Logger
	opt      Options
	desk     platform.Dispatcher
	events   backend.Events
	clients  slotmap.Table[*client]
	attempts slotmap.Table[*attempt]
	stores   map[string]*store
	gate     *limits.Gate
	waiting  map[limits.ID]*request
	sessions *sessions.Table
	// queries of sessions that are under way
	inSession map[sessions.Key]*request
	bounded   bool  // some class has a bound: probes ask how far behind servers are
	serving   *link // whose answer the core is being told of
	number    uint64
	began     float64
	conns     int
	kills     int
	held      int
	draining  bool
	cutAt     float64 // requests that are sent ahead or in part are not waited for any more, while it drains
}

// New makes a front.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Front {
	f := &Front{loop: l, log: log, opt: opt, desk: desk, events: events, stores: map[string]*store{}, began: l.Now(),
		gate: limits.New(opt.Users, opt.Others), waiting: map[limits.ID]*request{},
		sessions: sessions.New(opt.Sessions), inSession: map[sessions.Key]*request{}, bounded: opt.Bound > 0}
	for i := range opt.Rules {
		f.bounded = f.bounded || opt.Rules[i].Bound > 0
	}
	return f
}

// Start begins the sweeps; it is for the loop.
func (f *Front) Start() {
	f.loop.At(f.loop.Now()+sweepMs, func() {
		f.sweep()
		f.Start()
	})
}

// beat turns away what has waited for its turn for too long.
func (f *Front) beat() {
	for _, id := range f.gate.Beat(f.loop.Now()) {
		if r := f.waiting[id]; r != nil {
			delete(f.waiting, id)
			r.gated = 0
			r.c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "it has waited for too long behind others of its user; it has not run", 1)
		}
	}
}

// Tell has this pooler's part of a user's limits be so.
func (f *Front) Tell(user string, t limits.Told) { f.admit(f.gate.Tell(user, t, f.loop.Now())) }

// Untell has a user's limits be those of the settings again.
func (f *Front) Untell(user string) { f.admit(f.gate.Untell(user)) }

// Demand is how many of a user's queries run, how many more would, and how many come a second.
func (f *Front) Demand(user string) (running int, more, asked float64) {
	return f.gate.Demand(user, f.loop.Now())
}

func (f *Front) admit(in []limits.ID) {
	for _, next := range in {
		if o := f.waiting[next]; o != nil {
			delete(f.waiting, next)
			o.c.ask(o)
		}
	}
}

// leave gives a request's place up, and lets in who comes next.
func (f *Front) leave(r *request) {
	if r.session != (sessions.Key{}) {
		delete(f.inSession, r.session)
		f.sessions.Leave(f.loop.Now(), r.session)
		r.session = sessions.Key{}
	}
	if r.gated == 0 {
		return
	}
	id := r.gated
	r.gated = 0
	delete(f.waiting, id)
	f.admit(f.gate.Leave(id))
}

// lose ends the sessions of a server that has gone or drains. A query of one that waits for it is answered at once; one that
// runs there ends in its time.
func (f *Front) lose(server string) {
	for _, k := range f.sessions.Gone(server) {
		r := f.inSession[k]
		if r == nil || r.over || r.taker != nil {
			continue
		}
		if r.asked {
			f.desk.Abandon(r.ref)
		}
		r.c.complain(r, 404, codeNoSession, "SESSION_NOT_FOUND", lostText, 0)
	}
}

// sweep closes clients that idle for too long, or do not get on with what they have begun.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.sessions.Expire(now)
	var late, slow []*client
	var quiet []*link
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		begun := c.begun()
		if c.req == nil && !c.last && (begun && now-c.since > f.opt.HeadMs || !begun && now-c.since > f.opt.ClientMs) {
			late = append(late, c)
		}
		if c.uploads() && !c.req.over && !c.conn.ReadingPaused() && now-c.since > f.opt.HeadMs {
			slow = append(slow, c)
		}
		if c.req != nil && c.req.link != nil && !c.req.link.parked && now-c.req.link.heard > f.opt.QuietMs {
			quiet = append(quiet, c.req.link)
		}
	})
	for _, c := range late {
		c.expire()
	}
	for _, c := range slow {
		c.give(c.req, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the body does not come")
	}
	for _, l := range quiet {
		f.log.Warn("clickhouse: silent in the midst of an answer", "store", l.store.id)
		l.cut()
	}
	f.shed()
}

// Accept makes the handler of a new connection.
func (f *Front) Accept() eventloop.Handler {
	c := &client{f: f, since: f.loop.Now()}
	c.ref = f.clients.Put(c)
	return c
}

// Sessions is the number of clients connected; Conns that of connections to servers.
func (f *Front) Sessions() int { return f.clients.Len() }

// Conns is the number of connections to servers.
func (f *Front) Conns() int { return f.conns }

// Unsent is how many bytes clients have not read yet.
func (f *Front) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// Waiting is how many queries wait for their turn behind others of their user.
func (f *Front) Waiting() int { return len(f.waiting) }

// HasOutstanding tells whether a client waits for an answer, has not read all of one, or has sent a part of a request.
func (f *Front) HasOutstanding() bool {
	owes := false
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		owes = owes || c.req != nil || c.begun() || c.last || c.conn != nil && c.conn.Unsent() > 0
	})
	return owes
}

// Held is how many bytes are kept of clients' requests.
func (f *Front) Held() int { return f.held }
