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
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/record"
)

// Mode is for how long a client keeps a server connection.
type Mode uint8

const (
	// Transaction keeps the connection for a transaction.
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

// PoolOptions are the settings of a pool. Times are in milliseconds; 0 stands for no limit.
type PoolOptions struct {
	Database, User, App    string // "*" for any
	Mode                   Mode
	Class, ReadClass       string // of transactions, and of those known to read only; the latter is empty for Class
	Group                  int
	Limits                 connpool.Limits
	MaxClients             int
	MaxTransactionMs       float64 // longest transaction
	MaxIdleInTransactionMs float64 // longest time that a client may be idle in a transaction
	RejectSticky           bool    // in transaction mode, statements that would make a session sticky are rejected
	Statements             int     // prepared on one connection
	StatementBytes         int     // that they take
}

// Options are the settings of the frontend.
type Options struct {
	Pools            []PoolOptions
	ConnectMs        float64 // connect timeout of servers
	GraceMs          float64 // from when a server is draining, for transactions that are open there
	Roles            [2]string
	PositionName     string
	MaxMessage       int               // bytes, from clients
	MaxAnswer        int               // bytes, of one message from servers
	SpareDescriptors func() int        // descriptors left, negative if there are too many clients
	ExpireLeases     func()            // ends leases of limits that have expired; nil for none
	Scatter          *scatter.Frontend // reads over many groups, nil if there are none
}

const (
	tickMs         = 20
	graceMarginMs  = 40   // before the end of GraceMs at which nothing more is sent
	startupMs      = 5000 // until a client's startup message is complete
	maxCancels     = 64   // cancel requests on their way to servers
	requestMs      = 600000
	recordPoolsMs  = 1000
	cancelKeyBytes = 4
)

// Sizes of buffers, in bytes.
const (
	maxReplayBytes    = 256 << 10 // of messages kept for another server
	pauseUnsent       = 256 << 10 // beyond which a client, or a server, counts as not reading, and the other side is not read
	resumeUnsent      = 64 << 10  // below which it is read again; also the size of a buffer that is kept
	streamThreshold   = 64 << 10  // a longer row, or message of COPY, is forwarded in parts
	maxPipelinedParts = 4         // times Options.MaxMessage that a client may send ahead
)

// Frontend is the frontend for pooled clients. It belongs to the event loop: its methods must be called there.
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
	keys           map[uint32]*client // by the process id of their cancel keys
	lastKey        uint32
	assignedLimits map[string]int    // connections by name of the pools, where they are assigned
	addresses      map[string]string // of servers
	params         map[string]string // that servers reported, for clients that start
	cancels        int               // cancel requests on their way to servers
	draining       bool
	drainStartedAt float64
	lingering      int              // connections of clients that are being closed
	recorder       *record.Recorder // nil if nothing is recorded
	nextGaugeAt    float64
	checkCalls     int // counts calls of Check

	Counts Counts
}

// Counts are numbers of events since the start.
type Counts struct {
	Transactions, Prepared, Executed, SettingsSynced, Migrations, Cancels, Rejected, Restarts uint64
}

// New returns a frontend without clients. events receives the ends of attempts.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, dispatcher platform.Dispatcher, events backend.Events) *Frontend {
	return &Frontend{
		eventLoop:      loop,
		log:            log,
		dispatcher:     dispatcher,
		events:         events,
		options:        options,
		statements:     sessionstate.NewStatements(),
		keys:           map[uint32]*client{},
		assignedLimits: map[string]int{},
		addresses:      map[string]string{},
		params:         initialParameters(),
	}
}

// initialParameters returns what clients get that start before a server has reported its parameters.
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

// Start starts the ticks by which waits and timeouts end. It must be called on the event loop.
func (f *Frontend) Start() {
	f.eventLoop.At(f.now()+tickMs, func() {
		for _, p := range f.pools {
			f.execute(p, p.conns.Tick(f.now()))
		}
		f.clients.Each(func(_ slotmap.Ref, c *client) { c.tick() })
		f.recordPools()
		f.Start()
	})
}

// Sessions returns the number of connected clients, including those that are being disconnected.
func (f *Frontend) Sessions() int { return f.clients.Len() + f.lingering }

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

// Unsent returns how many bytes clients have not read yet.
func (f *Frontend) Unsent() (n int) {
	f.clients.Each(func(_ slotmap.Ref, c *client) { n += c.unsent() })
	return n
}

// HasOutstanding reports whether a client is in a transaction, waits for an answer or has not read all of one.
func (f *Frontend) HasOutstanding() bool {
	outstanding := f.lingering > 0
	f.clients.Each(func(_ slotmap.Ref, c *client) { outstanding = outstanding || c.busy() || c.unsent() > 0 })
	return outstanding
}

// Drain closes clients' connections as they become idle, until Resume.
func (f *Frontend) Drain() {
	if !f.draining {
		f.draining = true
		f.drainStartedAt = f.now()
	}
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.closeIfDraining() })
}

// Resume ends Drain.
func (f *Frontend) Resume() { f.draining = false }

// End ends clients' connections with an error, also those in a transaction.
func (f *Frontend) End() {
	f.draining = true
	f.clients.Each(func(_ slotmap.Ref, c *client) { c.endNow() })
}

// Accept returns the handler of a new connection.
func (f *Frontend) Accept() eventloop.Handler {
	c := newClient(f)
	c.ref = f.clients.Put(c)
	return c
}

// newKey gives a client its cancel key.
func (f *Frontend) newKey(c *client) {
	var secret [cancelKeyBytes]byte
	_, _ = rand.Read(secret[:])
	for {
		f.lastKey = (f.lastKey + 1) & math.MaxInt32
		if f.lastKey != 0 && f.keys[f.lastKey] == nil {
			break
		}
	}
	c.pid = f.lastKey
	c.secret = binary.BigEndian.Uint32(secret[:])
	f.keys[c.pid] = c
}
