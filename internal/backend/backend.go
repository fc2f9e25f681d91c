// Package backend keeps the connections to servers, and sends attempts and probes over them.
//
// Its inputs are the addresses of servers, attempts with a deadline, and what servers send; its outputs are the calls of Events,
// one end for each attempt and probe. It makes no decisions about requests. The number of connections is bounded by
// Options.MaxConns, and the memory of answers by a part of Options.Memory. Every attempt ends by its deadline also if its server
// sends nothing.
package backend

import (
	"log/slog"
	"math"
	"strconv"

	"beechgrade/internal/backend/idletimeout"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/pgwire"
)

// Pool holds the connections to all servers. It belongs to the event loop: none of its methods may be called from elsewhere.
type Pool struct {
	loop     *eventloop.Loop
	log      *slog.Logger
	options  Options
	events   Events
	servers  map[string]*server
	attempts slotmap.Table[*attempt]
	conns    slotmap.Table[*conn]
	idleSeq  uint64
	wear     idletimeout.Estimator
	held     int // bytes of answers being received
	scratch  []byte
	walks    int // counts calls of Check
}

type server struct {
	id      string
	addr    string
	idle    []*conn    // the most recently used last
	waiting []*attempt // attempts and probes without a connection, oldest first
	dialing int        // connections being opened
}

// attempt is an attempt of a request, or a probe if query is nil.
type attempt struct {
	ref          slotmap.Ref
	tag          AttemptID
	id           string  // of the server
	server       *server // nil if it is unknown
	query        Query
	deadline     float64
	conn         *conn
	endTimer     *timers.Timer // fires at the deadline
	connectTimer *timers.Timer // ends its wait for a connection
	written      bool          // AttemptWritten was called for it
	SendConditions
}

type state int

const (
	dialing state = iota
	greeting
	idle
	busy
	passing // streaming the rest of an answer to flow
	closed
)

// conn is a connection to a server. It implements loop.Handler.
type conn struct {
	pool          *Pool
	ref           slotmap.Ref
	server        *server
	addr          string // the address it was opened to
	socket        *eventloop.Conn
	state         state
	input         pgwire.Reader
	attempt       *attempt
	handedOver    bool          // the last byte of the attempt was given to the socket or its buffer
	unwritten     []string      // the parts of a long query that were not
	partsFromWait int           // when so many parts are left, the next one holds the remaining time
	pushTimer     *timers.Timer // until the next check of whether the server accepts more
	leaveTimer    *timers.Timer // until the remaining time must have been transmitted
	idleNumber    uint64
	since         float64       // when it was opened or became idle
	writtenAt     float64       // when its attempt was written
	restedFor     float64       // how long it had been idle by then
	timer         *timers.Timer // bounds the opening, then the idle time, then pauses within an answer

	// The answer that is being received.
	reading  pgwire.AnswerReader
	answer   []byte
	flow     AnswerStream // receives its pieces, nil if the answer is kept whole
	held     int          // its part of pool.held
	probeRow []byte       // the row that answers a probe
	outcome  Outcome
}

// New returns a Pool without servers.
func New(eventLoop *eventloop.Loop, log *slog.Logger, options Options, events Events) *Pool {
	return &Pool{loop: eventLoop, log: log, options: options, events: events, servers: map[string]*server{},
		wear: idletimeout.New()}
}

// SetTimes sets the connect timeout and the idle time. Timers that are running already keep theirs.
func (pool *Pool) SetTimes(connectMs, idleMs float64) {
	pool.options.ConnectTimeoutMs, pool.options.IdleMs = connectMs, idleMs
}

// SetAddress sets the address of a server and adds the server if it is new. Connections to its previous address are closed; those
// that are in use are closed once they are free.
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

// Forget removes a server that has left the list. Connections that are in use stay until their attempts have ended.
func (pool *Pool) Forget(id string) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	pool.CloseIdle(id)
	delete(pool.servers, id)
	server.addr = "" // so that its connections are closed once they are free
	for len(server.waiting) > 0 {
		pool.drop(server.waiting[0], decide.NotSent)
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

// Conns returns the number of connections, including those that are being opened.
func (pool *Pool) Conns() int { return pool.conns.Len() }

// carry writes the query of an attempt to the connection, which is busy from then on.
func (conn *conn) carry(attempt *attempt) {
	pool := conn.pool
	conn.removeIdle()
	pool.loop.StopTimer(conn.timer)
	pool.loop.StopTimer(attempt.connectTimer)
	conn.state, conn.attempt, attempt.conn = busy, attempt, conn
	conn.reading, conn.answer, conn.probeRow, conn.outcome = pgwire.ExpectAnswer(), conn.answer[:0], nil, Outcome{}
	if attempt.query == nil {
		pool.scratch = pgwire.AppendQuery(pool.scratch[:0], "SHOW load")
	} else {
		left := attempt.left(pool.loop.Now())
		if long, ok := attempt.query.(LongQuery); ok {
			wait := 0
			conn.unwritten, wait = long.QueryParts(understated(left))
			conn.partsFromWait = len(conn.unwritten) - wait
		}
		if conn.unwritten == nil {
			pool.scratch = attempt.query.AppendQuery(pool.scratch[:0], left)
		}
	}
	conn.writtenAt = pool.loop.Now()
	conn.restedFor = conn.writtenAt - conn.since
	conn.handedOver = false // set after the write, as a failed write closes the connection before it returns
	if conn.unwritten != nil {
		conn.push()
		return
	}
	if conn.socket.Write(pool.scratch) == nil {
		conn.expectLeft()
		conn.handedOver = true
		conn.reportWritten()
	}
}

// left returns how many milliseconds remain until the deadline of the attempt, at least 1.
func (attempt *attempt) left(now float64) int { return int(max(1, math.Floor(attempt.deadline-now))) }

// understated returns a number to reserve space for in a long message. The length of the message is sent first, so the number
// must have as many digits as the remaining time will have when that part is written.
func understated(left int) int {
	if soon := strconv.Itoa(max(1, left-digitsMs)); len(soon) < len(strconv.Itoa(left)) {
		return mostOf(len(soon))
	}
	return left
}

// mostOf returns the largest number with that many digits.
func mostOf(digits int) int {
	most := 0
	for range digits {
		most = 10*most + 9
	}
	return most
}

// push writes as much of a long query as the server accepts. The part that holds the remaining time, and those after it, are
// written only when all earlier parts have been transmitted, so that the number is still right when the server reads it.
func (conn *conn) push() {
	for len(conn.unwritten) > 0 && conn.socket.Unsent() < sendAhead {
		holdsWait := len(conn.unwritten) == conn.partsFromWait
		if holdsWait && conn.socket.Untransmitted() > 0 {
			break
		}
		if holdsWait && !conn.updateWait() {
			return
		}
		if conn.socket.Write(conn.piece()) != nil || conn.state != busy {
			return
		}
		conn.writtenAt = conn.pool.loop.Now()
		if holdsWait {
			conn.expectLeft()
		}
	}
	if len(conn.unwritten) > 0 {
		now, pause := conn.pool.loop.Now(), float64(capacityMs)
		if now-conn.writtenAt < capacityMs {
			pause = headMs
		}
		conn.pushTimer = conn.pool.loop.At(now+pause, conn.push)
		return
	}
	conn.unwritten, conn.handedOver = nil, true
	conn.reportWritten()
}

// piece removes and returns the next bytes of a long query, up to the part that holds the remaining time.
func (conn *conn) piece() []byte {
	piece := conn.pool.scratch[:0]
	for len(conn.unwritten) > 0 && len(piece) < sendPiece {
		count := min(len(conn.unwritten[0]), sendPiece-len(piece))
		piece = append(piece, conn.unwritten[0][:count]...)
		if conn.unwritten[0] = conn.unwritten[0][count:]; conn.unwritten[0] != "" {
			break
		}
		if conn.unwritten = conn.unwritten[1:]; len(conn.unwritten) == conn.partsFromWait {
			break
		}
	}
	conn.pool.scratch = piece
	return piece
}

// updateWait checks a long query again before its end is written, and sets the part that holds the remaining time. The server
// runs a query only after its last byte, and a slow server may have taken long to accept the earlier parts. It reports whether
// the query may be continued. The length of the message has been sent already: if the remaining time now has fewer digits, the
// attempt ends as skipped so that another one can be made.
func (conn *conn) updateWait() bool {
	pool, attempt := conn.pool, conn.attempt
	wait := min(attempt.left(pool.loop.Now()), mostOf(len(conn.unwritten[0])))
	if text := strconv.Itoa(wait); attempt.mayGo(pool) && len(text) == len(conn.unwritten[0]) {
		conn.unwritten[0] = text
		return true
	}
	pool.drop(attempt, decide.NotSent)
	return false
}

// expectLeft is called after the part that holds the remaining time was written. If the system still holds some of it, the attempt
// is aborted unless all is transmitted within leaveMs, because the server would read a number that is too large. A query that was
// written completely may have run, as the server may read it just before the reset.
func (conn *conn) expectLeft() {
	pool, attempt := conn.pool, conn.attempt
	if attempt == nil || attempt.query == nil || len(conn.unwritten) == 0 && conn.socket.Untransmitted() == 0 {
		return
	}
	pool.loop.StopTimer(conn.leaveTimer)
	conn.leaveTimer = pool.loop.At(pool.loop.Now()+leaveMs, func() {
		if conn.attempt == attempt && (len(conn.unwritten) > 0 || conn.socket.Untransmitted() > 0) {
			pool.log.Debug("a server takes no query", "store", conn.server.id)
			pool.drop(attempt, decide.Reset)
		}
	})
}

func (conn *conn) removeIdle() {
	idle := conn.server.idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == conn {
			conn.server.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}
