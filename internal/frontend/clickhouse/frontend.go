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
	Group                int   // whose servers are ClickHouse's
	MaxBufferedBytes     int   // bytes of a query's body that are held; a longer one passes through as it comes, and is never sent again
	MaxBodyBytes         int64 // bytes that a body may have, 0 for any number
	DeadlineMs           float64
	UploadTimeoutMs      float64 // a body that passes through may take so long to come
	ServerIdleTimeoutMs  float64 // a server may be silent for so long in the midst of an answer
	ClientStallTimeoutMs float64 // ...and a client may take nothing of it for so long
	DeadlineHeader       string  // a client may say in it how many ms it waits
	CheckStaleness       bool    // servers are asked how far behind they are before each read that has a bound
	ConnectTimeoutMs     float64
	ConnectionIdleMs     float64 // a connection to a server idle for so long is closed
	ClientIdleMs         float64 // ...and a client's
	RequestTimeoutMs     float64 // a client has so long for its head and body once begun
	KillQueries          bool    // KILL QUERY goes out beside a connection that is closed in the midst of a query
	DrainGraceMs         float64 // for sends to a server, from the list's word that it drains
	Name                 string  // of the pooler, in ids of queries that come without one
	Rules                []Rule  // the first that matches counts
	MaxStalenessMs       float64 // no read that is of no rule may see data older than that, 0 for any
	MaxSessions          int     // at most
	UserLimits           map[string]limits.Limits
	DefaultLimits        limits.Limits // of users that are not named
	ExpireLeases         func()        // has leases of limits that are over be so; nil for none
	SpareDescriptors     func() int    // descriptors left
	MemoryBytes          func() int    // bytes that all clients' bodies may take
}

const (
	attemptRefBit  = 1 << 30 // attempts' refs have this bit, so that they differ from the other fronts'
	highWaterBytes = 256 << 10
	lowWaterBytes  = 64 << 10
	pollMs         = 10 // between looks at whether a slow reader has read
	closeWaitMs    = 1000
	sweepMs        = 500
	bufferShare    = 8 // of the memory, clients' queries may take 1 in so many
)

// Frontend is the front. It is for the loop alone.
type Frontend struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	options    Options
	dispatcher platform.Dispatcher
	events     backend.Events
	clients    slotmap.Table[*client]
	attempts   slotmap.Table[*attempt]
	servers    map[string]*server
	limiter    *limits.Limiter
	waiting    map[limits.ID]*request
	sessions   *sessions.Table
	// queries of sessions that are under way
	inSession       map[sessions.Key]*request
	probesStaleness bool  // some class has a bound: probes ask how far behind servers are
	serving         *link // whose answer the core is being told of
	lastNumber      uint64
	startedAt       float64
	conns           int
	kills           int
	bufferedBytes   int
	draining        bool
	drainDeadline   float64 // requests that are sent ahead or in part are not waited for any more, while it drains
}

// New makes a front.
func New(l *eventloop.Loop, log *slog.Logger, opt Options, desk platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{loop: l, log: log, options: opt, dispatcher: desk, events: events, servers: map[string]*server{}, startedAt: l.Now(),
		limiter: limits.New(opt.UserLimits, opt.DefaultLimits), waiting: map[limits.ID]*request{},
		sessions: sessions.New(opt.MaxSessions), inSession: map[sessions.Key]*request{}, probesStaleness: opt.MaxStalenessMs > 0}
	for i := range opt.Rules {
		f.probesStaleness = f.probesStaleness || opt.Rules[i].MaxStalenessMs > 0
	}
	return f
}

// Start begins the sweeps; it is for the loop.
func (f *Frontend) Start() {
	f.loop.At(f.loop.Now()+sweepMs, func() {
		f.sweep()
		f.Start()
	})
}

// rejectExpired turns away what has waited for its turn for too long.
func (f *Frontend) rejectExpired() {
	for _, id := range f.limiter.Expire(f.loop.Now()) {
		if r := f.waiting[id]; r != nil {
			delete(f.waiting, id)
			r.limitID = 0
			r.client.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "it has waited for too long behind others of its user; it has not run", 1)
		}
	}
}

// AssignLimit has this pooler's part of a user's limits be so.
func (f *Frontend) AssignLimit(user string, t limits.Allowance) {
	f.admit(f.limiter.Assign(user, t, f.loop.Now()))
}

// RestoreLimits has a user's limits be those of the settings again.
func (f *Frontend) RestoreLimits(user string) { f.admit(f.limiter.Restore(user)) }

// Demand returns what a user would use.
func (f *Frontend) Demand(user string) limits.Demand { return f.limiter.Demand(user, f.loop.Now()) }

func (f *Frontend) admit(in []limits.ID) {
	for _, next := range in {
		if o := f.waiting[next]; o != nil {
			delete(f.waiting, next)
			o.client.submit(o)
		}
	}
}

// releaseRequest gives a request's place up, and lets in who comes next.
func (f *Frontend) releaseRequest(r *request) {
	if r.session != (sessions.Key{}) {
		delete(f.inSession, r.session)
		f.sessions.End(f.loop.Now(), r.session)
		r.session = sessions.Key{}
	}
	if r.limitID == 0 {
		return
	}
	id := r.limitID
	r.limitID = 0
	delete(f.waiting, id)
	f.admit(f.limiter.Release(id))
}

// loseSessions ends the sessions of a server that has gone or drains. A query of one that waits for it is answered at once; one that
// runs there ends in its time.
func (f *Frontend) loseSessions(server string) {
	for _, k := range f.sessions.LoseServer(server) {
		r := f.inSession[k]
		if r == nil || r.answered || r.uploadLink != nil {
			continue
		}
		if r.submitted {
			f.dispatcher.Abandon(r.ref)
		}
		r.client.answerException(r, 404, codeNoSession, "SESSION_NOT_FOUND", sessionLostText, 0)
	}
}

// sweep closes clients that idle for too long, or do not get on with what they have begun.
func (f *Frontend) sweep() {
	now := f.loop.Now()
	f.sessions.Expire(now)
	var late, slow []*client
	var quiet []*link
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		begun := c.hasPartialRequest()
		if c.request == nil && !c.lingering && (begun && now-c.idleSince > f.options.RequestTimeoutMs || !begun && now-c.idleSince > f.options.ClientIdleMs) {
			late = append(late, c)
		}
		if c.uploading() && !c.request.answered && !c.conn.ReadingPaused() && now-c.idleSince > f.options.RequestTimeoutMs {
			slow = append(slow, c)
		}
		if c.request != nil && c.request.answerLink != nil && !c.request.answerLink.parked && now-c.request.answerLink.lastReadAt > f.options.ServerIdleTimeoutMs {
			quiet = append(quiet, c.request.answerLink)
		}
	})
	for _, c := range late {
		c.expire()
	}
	for _, c := range slow {
		c.failConnection(c.request, 408, codeTimeout, "TIMEOUT_EXCEEDED", "the rest of the body does not come")
	}
	for _, l := range quiet {
		f.log.Warn("clickhouse: silent in the midst of an answer", "store", l.server.id)
		l.abortAnswer()
	}
	f.closeIdleClients()
}

// Accept makes the handler of a new connection.
func (f *Frontend) Accept() eventloop.Handler {
	c := &client{frontend: f, idleSince: f.loop.Now()}
	c.ref = f.clients.Put(c)
	return c
}

// Sessions is the number of clients connected; Conns that of connections to servers.
func (f *Frontend) Sessions() int { return f.clients.Len() }

// Conns is the number of connections to servers.
func (f *Frontend) Conns() int { return f.conns }

// Unsent is how many bytes clients have not read yet.
func (f *Frontend) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// Waiting is how many queries wait for their turn behind others of their user.
func (f *Frontend) Waiting() int { return len(f.waiting) }

// HasOutstanding tells whether a client waits for an answer, has not read all of one, or has sent a part of a request.
func (f *Frontend) HasOutstanding() bool {
	owes := false
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		owes = owes || c.request != nil || c.hasPartialRequest() || c.lingering || c.conn != nil && c.conn.Unsent() > 0
	})
	return owes
}

// Buffered is how many bytes are kept of clients' requests.
func (f *Frontend) Buffered() int { return f.bufferedBytes }
