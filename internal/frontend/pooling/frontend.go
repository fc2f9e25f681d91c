// Package pooling is the frontend for ordinary PostgreSQL clients: version 3 of the protocol in full, with session and transaction
// pooling.
//
// Its inputs are the bytes of clients and servers, and the attempts that the core starts; its outputs are a request to the core for
// each transaction, the messages to servers, and the answers to clients. The decision module chooses the server of a transaction;
// package connpool decides which connection to it the transaction gets, and package sessionstate holds what a session carries from one
// connection to the next. Connections, waiters, statements and buffers are bounded by PoolOptions, Options and the constants below. A
// client or a server that sends nothing is disconnected after the timeouts of the pool.
package pooling

import (
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/closing"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/memory"
	"beechgrade/internal/record"
)

// Mode determines how long a client keeps its server connection.
type Mode uint8

const (
	// Transaction keeps the connection until the end of a transaction.
	Transaction Mode = iota
	// Session keeps the connection for as long as the client is connected.
	Session
)

// String returns the mode as the settings and the admin database name it.
func (m Mode) String() string {
	if m == Session {
		return "session"
	}
	return "transaction"
}

// PoolOptions are the settings of a pool. Times are in milliseconds; 0 means no limit.
type PoolOptions struct {
	Database, User, App    string // "*" for any
	Mode                   Mode
	Class, ReadClass       string // classes of transactions, and of those known to be read-only; an empty ReadClass stands for Class
	Group                  int
	Limits                 connpool.Limits
	MaxClients             int
	MaxTransactionMs       float64 // the longest that a transaction may take
	MaxIdleInTransactionMs float64 // the longest that a client may be idle in a transaction
	RejectSticky           bool    // in transaction mode, statements that would make a session sticky are rejected
	Statements             int     // maximum of prepared statements on one server connection
	StatementBytes         int     // maximum of the bytes that they take
}

// Options are the settings of the frontend.
type Options struct {
	Pools            []PoolOptions
	ConnectMs        float64           // connect timeout of servers
	GraceMs          float64           // time for open transactions to end, after their server began to drain
	Roles            [2]string         // values with which servers report the roles of primary and replica
	PositionName     string            // parameter with which servers report their position
	MaxMessage       int               // bytes, from clients
	MaxAnswer        int               // bytes, of one message from servers
	Account          *memory.Account   // of the process's memory
	SpareDescriptors func() int        // returns the file descriptors left; negative if there are too many clients
	ExpireLeases     func()            // ends leases of limits that have expired; nil for none
	Scatter          *scatter.Frontend // reads over many groups, nil if there are none
}

const (
	tickMs        = 20
	graceMarginMs = 40 // nothing more is sent to a draining server from this long before the end of GraceMs
	// deadlineMarginMs is how long before its deadline an attempt counts as served if its answer has begun: the decision module gives its final
	// answer some ticks before the deadline.
	deadlineMarginMs = 100

	startupMs      = 5000   // within which a client's startup message must be complete
	maxUnusedPools = 64     // pools beyond which those that nobody uses are removed
	maxCancels     = 64     // cancel requests that servers have not handled yet
	requestMs      = 600000 // deadline of a transaction without a limit of its own
	recordPoolsMs  = 1000   // between records of the state of the pools
	cancelKeyBytes = 4
)

// Sizes of buffers, in bytes.
const (
	maxReplayBytes    = 256 << 10 // of messages of one transaction that are kept for sending to another server
	pauseUnsent       = 256 << 10 // a peer with more unsent output counts as not reading; reading from the other side is paused
	resumeUnsent      = 64 << 10  // reading resumes below this; also the largest buffer that is kept for reuse
	streamThreshold   = 64 << 10  // a longer row or COPY message is forwarded in parts
	maxPipelinedParts = 4         // times Options.MaxMessage that a client may send ahead
)

// Frontend is the frontend for pooled clients. It belongs to the event loop: its methods must be called there.
type Frontend struct {
	eventLoop  *eventloop.Loop
	log        *slog.Logger
	dispatcher platform.Dispatcher
	events     backend.Events
	options    Options

	statements       *sessionstate.Statements
	pools            []*pool
	clients          slotmap.Table[*client]
	links            slotmap.Table[*link]
	attempts         slotmap.Table[*attempt]
	clientsByPID     map[uint32]*client // by the process ID of their cancel keys
	lastKey          uint32
	assignedLimits   map[string]int    // assigned numbers of connections, by pool name
	addresses        map[string]string // by server ID
	params           map[string]string // as last reported by servers; sent to new clients
	cancels          int               // cancel requests that servers have not handled yet
	draining         bool
	drainStartedAt   float64
	closing          closing.Queue    // client connections that are being closed
	recorder         *record.Recorder // nil if nothing is recorded
	nextPoolRecordAt float64
	checkCalls       int // counts calls of Check
	account          *memory.Account

	Counts Counts
}

// Counts are numbers of events since the start.
type Counts struct {
	Transactions, Prepared, Executed, SettingsSynced, Migrations, Cancels, Rejected, Restarts uint64

	Resent             [resendReasonCount]uint64 // how often messages could be sent again, by reason
	AbandonedByClients uint64                    // statements whose clients left
	Unanswered         uint64                    // statements whose connection was closed with no answer
	Dropped            [reuse.ReasonCount]uint64 // server connections that were not clean, by reason
}

// New returns a frontend without clients. events receives the ends of attempts.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, dispatcher platform.Dispatcher, events backend.Events) *Frontend {
	f := &Frontend{
		eventLoop:      loop,
		log:            log,
		dispatcher:     dispatcher,
		events:         events,
		options:        options,
		statements:     sessionstate.NewStatements(),
		clientsByPID:   map[uint32]*client{},
		assignedLimits: map[string]int{},
		addresses:      map[string]string{},
		params:         initialParameters(),
	}
	f.account = options.Account
	f.account.AddHolder(f)
	return f
}

// initialParameters returns the parameters for clients that connect before any server has reported its own.
func initialParameters() map[string]string {
	return map[string]string{
		"server_version":              "15.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
	}
}

// now returns the time in milliseconds.
func (f *Frontend) now() float64 { return f.eventLoop.Now() }

// Start starts the periodic tick that ends expired waits and applies timeouts. It must be called on the event loop.
func (f *Frontend) Start() {
	f.eventLoop.Every("pooling_sweep", tickMs, func() {
		for _, p := range f.pools {
			f.execute(p, p.conns.Tick(f.now()))
		}
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.tick() })
		f.removeUnusedPools()
		f.recordPools()
	})
}

// Sessions returns the number of connected clients, including those that are being disconnected.
func (f *Frontend) Sessions() int { return f.clients.Len() + f.closing.Len() }

// CloseOldest closes at once the client connection that has been closing for longest, if there are several, and reports whether it closed one.
func (f *Frontend) CloseOldest() bool { return f.closing.CloseOldest() }

// Conns returns the number of connections to servers.
func (f *Frontend) Conns() int { return f.links.Len() }

// PausedClients returns the number of clients whose reading is paused because they have sent too much ahead.
func (f *Frontend) PausedClients() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.readingPaused {
			n++
		}
	})
	return n
}

// Unsent returns the number of bytes that were written to clients but not accepted by their sockets yet.
func (f *Frontend) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) { n += c.unsent() })
	return n
}

// UnsentToServers returns the number of bytes that were written to servers but not accepted by the sockets yet.
func (f *Frontend) UnsentToServers() (n int) {
	f.links.Each(func(_ slotmap.Ref, l *link) {
		if l.conn != nil {
			n += l.conn.Unsent()
		}
	})
	return n
}

// PendingInput returns the number of bytes that were received from clients and not handled yet.
func (f *Frontend) PendingInput() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) { n += c.input.Pending() })
	return n
}

// HasOutstanding reports whether a client is in a transaction, waits for an answer or has not received all of one.
func (f *Frontend) HasOutstanding() bool {
	outstanding := f.closing.Len() > 0
	f.clients.Each(func(_ slotmap.Ref, c *client) { outstanding = outstanding || c.busy() || c.unsent() > 0 })
	return outstanding
}

// Drain closes the connections of clients as they become idle, until Resume is called.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining = true
		f.drainStartedAt = f.now()
	}
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.closeIfDraining() })
}

// Resume ends Drain.
func (f *Frontend) Resume() { f.draining = false }

// End closes the connections of all clients with an error, including those in a transaction.
func (f *Frontend) End() {
	f.draining = true
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.endNow() })
}

// Accept returns the handler of a new client connection.
func (f *Frontend) Accept() eventloop.Handler {
	c := newClient(f)
	c.ref = f.clients.Put(c)
	f.account.AddClients(1)
	c.chargeMemory()
	return c
}

// assignCancelKey assigns the client an unused cancel key.
func (f *Frontend) assignCancelKey(c *client) {
	var secret [cancelKeyBytes]byte
	_, _ = rand.Read(secret[:])
	for {
		f.lastKey = (f.lastKey + 1) & math.MaxInt32
		if f.lastKey != 0 && f.clientsByPID[f.lastKey] == nil {
			break
		}
	}
	c.pid = f.lastKey
	c.secret = binary.BigEndian.Uint32(secret[:])
	f.clientsByPID[c.pid] = c
}
