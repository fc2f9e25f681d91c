// Package backend maintains the connections to servers, and sends attempts and health checks over them.
//
// Its inputs are the addresses of servers, attempts with a deadline, and what servers send; its outputs are the calls of Events,
// one end for each attempt and health check. It makes no decisions about requests. The number of connections is bounded by
// Options.MaxConns, and the memory of answers by a part of Options.Account's limit. Every attempt ends by its deadline even if its server
// sends nothing. Times are in milliseconds.
package backend

import (
	"log/slog"

	"beechgrade/internal/backend/idletimeout"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// Pool holds the connections to all servers. It belongs to the event loop: none of its methods may be called from elsewhere.
type Pool struct {
	loop          *eventloop.Loop
	log           *slog.Logger
	options       Options
	events        Events
	servers       map[string]*server
	attempts      slotmap.Table[*attempt]
	conns         slotmap.Table[*conn]
	idleSeq       uint64 // idleNumber of the connection that became idle last
	idleTimeout   idletimeout.Estimator
	bufferedBytes int // that connections' buffers take
	scratch       []byte
	slowStreams   uint64 // ended because their connections were needed

	abandoned          uint64 // answers that were abandoned for want of memory since the last line of the log about them
	nextAbandonedLogAt float64
	checkCalls         int // counts calls of Check
}

type server struct {
	id      string
	addr    string
	idle    []*conn    // the most recently used last
	waiting []*attempt // attempts and health checks without a connection, oldest first
	dialing int        // connections being opened
}

// attempt is an attempt of a request, or a health check if query is nil.
type attempt struct {
	ref          slotmap.Ref
	id           AttemptID
	serverID     string
	server       *server // nil if serverID is unknown
	query        Query
	deadline     float64
	conn         *conn
	endTimer     *timers.Timer // fires at the deadline
	connectTimer *timers.Timer // bounds its wait for a connection
	written      bool          // Events.AttemptWritten was called for it
	SendConditions
}

func (attempt *attempt) isHealthCheck() bool { return attempt.query == nil }

// connState is the state of a connection to a server.
type connState int

const (
	dialing    connState = iota
	startingUp           // the server has not sent ReadyForQuery yet
	idle
	busy
	streaming // passing the rest of an answer to stream
	closed
)

// String returns the state as the reports of broken invariants name it.
func (state connState) String() string {
	return [...]string{"dialing", "starting up", "idle", "busy", "streaming", "closed"}[state]
}

// conn is a connection to a server. It implements eventloop.Handler.
type conn struct {
	pool          *Pool
	ref           slotmap.Ref
	server        *server
	addr          string // the address it was opened to
	socket        *eventloop.Conn
	state         connState
	input         pgwire.Reader
	attempt       *attempt
	fullyWritten  bool          // the last byte of the attempt was given to the socket or its buffer
	unwritten     []string      // the parts of a long query that were not given to the socket yet
	partsFromWait int           // len(unwritten) when the next part is the one that holds the remaining time
	writeTimer    *timers.Timer // until the next try to write more of a long query
	transmitTimer *timers.Timer // bounds the time until the query has been transmitted
	idleNumber    uint64        // orders idle connections by when they became idle
	freeSince     float64       // when it last became free for an attempt, after its startup or an answer
	writtenAt     float64       // when its attempt was written
	idleFor       float64       // how long it had been free by then
	timer         *timers.Timer // bounds the opening, then the idle time, then pauses within an answer

	// The answer that is being received.
	answerReader   pgwire.AnswerReader
	answer         []byte
	stream         AttemptStream // receives its chunks, nil if the answer is buffered
	streamingSince float64
	held           memory.Charge
	healthRow      []byte // the row of an answer to a health check
	outcome        Outcome
}

// New returns a Pool without servers.
func New(loop *eventloop.Loop, log *slog.Logger, options Options, events Events) *Pool {
	return &Pool{
		loop:        loop,
		log:         log,
		options:     options,
		events:      events,
		servers:     map[string]*server{},
		idleTimeout: idletimeout.New(),
	}
}

// SetTimes sets the connect timeout and the idle time, in milliseconds. Running timers are not changed.
func (pool *Pool) SetTimes(connectMs, idleMs float64) {
	pool.options.ConnectTimeoutMs = connectMs
	pool.options.IdleMs = idleMs
}

// SetAddress sets the address of a server and adds the server if it is new. Idle connections to its previous address are closed
// at once, and those in use once they are free.
func (pool *Pool) SetAddress(id, addr string) {
	known := pool.servers[id]
	if known == nil {
		pool.servers[id] = &server{id: id, addr: addr}
		return
	}
	if known.addr != addr {
		known.addr = addr
		pool.CloseIdle(id)
	}
}

// CloseIdle closes a server's idle connections.
func (pool *Pool) CloseIdle(id string) {
	if server := pool.servers[id]; server != nil {
		for len(server.idle) > 0 {
			server.idle[0].socket.Close()
		}
	}
}

// Forget removes a server that has left the endpoint list. Connections that are in use stay until their attempts have ended.
func (pool *Pool) Forget(id string) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	pool.CloseIdle(id)
	delete(pool.servers, id)
	server.addr = "" // so that its connections are closed once they are free
	for len(server.waiting) > 0 {
		pool.abort(server.waiting[0], decide.NotSent)
	}
}

// Retain forgets all servers except the given ones.
func (pool *Pool) Retain(ids map[string]bool) {
	for id := range pool.servers {
		if !ids[id] {
			pool.Forget(id)
		}
	}
}

// SlowStreams returns the number of streamed answers that were ended because their connections were needed.
func (pool *Pool) SlowStreams() uint64 { return pool.slowStreams }

// Conns returns the number of connections, including those that are being opened.
func (pool *Pool) Conns() int { return pool.conns.Len() }
