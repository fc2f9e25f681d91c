// Package clickhouse serves clients of the ClickHouse HTTP interface and manages the connections to the servers behind it.
//
// Its inputs are HTTP requests; each query becomes a platform.Request to a Dispatcher, which decides on admission, servers and
// retries. Until an answer begins, the Dispatcher may start further attempts; then the answer of that server streams to the client.
// Packages limits and sessions decide on the limits of users and on the servers of sessions.
//
// Memory is bounded by Options: bodies up to MaxBufferedBytes are buffered, longer bodies and all answers are streamed, and reading from
// one side pauses while the other side does not read. A client or server that stalls for longer than its timeout is disconnected.
package clickhouse

import (
	"log/slog"

	"beechgrade/internal/backend"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/closing"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/memory"
)

// The classes of queries that match no rule.
const (
	ReadClass  = "clickhouse-reads"
	WriteClass = "clickhouse-writes"
)

const (
	highWaterBytes  = 256 << 10 // unsent bytes beyond which reading from the source of the data pauses
	lowWaterBytes   = 64 << 10  // unsent bytes at which reading resumes
	pollIntervalMs  = 10        // interval of checks on a connection whose reading is paused
	sweepIntervalMs = 500       // interval of checks for timeouts
	connectionBytes = 4 << 10   // of the account that a client's connection is charged with
)

// Frontend holds the client and server connections of the interface. Its methods must be called on the event loop.
type Frontend struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	options    Options
	dispatcher platform.Dispatcher
	events     backend.Events
	startedAt  float64

	clients           slotmap.Table[*client]
	closing           closing.Queue // of the clients whose connections are being closed
	account           *memory.Account
	buffered          int // bytes of all clients' requests
	lastRequestNumber uint64

	limiter   *limits.Limiter
	waiting   map[limits.ID]*request // requests that wait for admission by limiter
	sessions  *sessions.Table
	inSession map[sessions.Key]*request // the running request of each session

	servers         map[string]*server // by ID
	attempts        slotmap.Table[*attempt]
	conns           int   // connections to servers, those of KILL QUERY included
	pendingKills    int   // KILL QUERY requests whose connections are open or opening
	probesStaleness bool  // health checks request the staleness, because some class bounds it
	serving         *link // the connection whose answer is being reported to the dispatcher, nil at other times

	draining           bool
	abandonedByClients uint64  // requests whose clients left
	unanswered         uint64  // requests whose connection was closed with no response
	drainDeadline      float64 // while draining: until this time, clients may complete requests that they have sent in part
}

// New creates a frontend, which reports the outcomes of attempts and health checks to events.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, dispatcher platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{
		loop:       loop,
		log:        log,
		options:    options,
		dispatcher: dispatcher,
		events:     events,
		startedAt:  loop.Now(),

		limiter:   limits.New(options.UserLimits, options.DefaultLimits),
		waiting:   map[limits.ID]*request{},
		sessions:  sessions.New(options.MaxSessions),
		inSession: map[sessions.Key]*request{},

		servers:         map[string]*server{},
		probesStaleness: options.MaxStalenessMs > 0,
	}
	f.account = options.Account
	f.account.AddHolder(f)
	for i := range options.Rules {
		if options.Rules[i].MaxStalenessMs > 0 {
			f.probesStaleness = true
		}
	}
	return f
}

// window returns how many bytes of an answer may wait for its client before reading from the server pauses.
func (f *Frontend) window() int { return f.account.Window(f.clients.Len()) }

// Start begins the periodic checks for timeouts.
func (f *Frontend) Start() {
	f.loop.Every("clickhouse_sweep", sweepIntervalMs, f.sweep)
}

// Accept returns the handler of a new client's connection.
func (f *Frontend) Accept() eventloop.Handler {
	c := &client{frontend: f, idleSince: f.loop.Now()}
	c.ref = f.clients.Put(c)
	f.account.AddClients(1)
	c.chargeMemory()
	return c
}

// Clients returns the number of client connections.
func (f *Frontend) Clients() int { return f.clients.Len() }

// CloseOldest closes at once the client connection that has been closing for longest, if there are several, and reports whether it closed one.
func (f *Frontend) CloseOldest() bool { return f.closing.CloseOldest() }

// Conns returns the number of connections to servers.
func (f *Frontend) Conns() int { return f.conns }

// Waiting returns the number of queries that wait for admission by their users' limits.
func (f *Frontend) Waiting() int { return len(f.waiting) }

// Buffered returns the number of buffered bytes of clients' requests.
func (f *Frontend) Buffered() int { return f.buffered }

// Unsent returns the number of bytes of answers that are buffered because clients have not read them.
func (f *Frontend) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// PartialRequests returns the number of clients that have sent a part of a request and wait for no answer.
func (f *Frontend) PartialRequests() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.request == nil && c.hasPartialRequest() {
			n++
		}
	})
	return n
}

// HasOutstanding reports whether a client waits for an answer, has not read all of one, or has sent a part of a request.
func (f *Frontend) HasOutstanding() bool {
	outstanding := false
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		outstanding = outstanding || c.isOutstanding()
	})
	return outstanding
}

// sweep disconnects clients and servers that have exceeded their timeouts.
func (f *Frontend) sweep() {
	now := f.loop.Now()
	f.sessions.Expire(now)
	var idleClients, stalledUploads []*client
	var silentServers []*link
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.isIdleTooLong(now) {
			idleClients = append(idleClients, c)
		}
		if c.isUploadStalled(now) {
			stalledUploads = append(stalledUploads, c)
		}
		if c.request != nil && c.request.answerLink != nil && c.request.answerLink.isSilent(now) {
			silentServers = append(silentServers, c.request.answerLink)
		}
	})
	for _, c := range idleClients {
		c.expire()
	}
	for _, c := range stalledUploads {
		c.failConnection(c.request, requestTimedOut(textBodyStalled))
	}
	for _, l := range silentServers {
		f.log.Warn("clickhouse: server stalled within its answer; resetting the client's connection", "server", l.server.id)
		l.abortAnswer()
	}
	f.closeIdleClients()
}
