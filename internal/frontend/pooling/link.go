package pooling

import (
	"math"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	f        *Front
	ref      slotmap.Ref
	pool     *pool
	store    string
	conn     *eventloop.Conn
	in       pgwire.Reader
	server   *sessionstate.Server
	queue    []expected // answers that are due, in order
	owner    *client
	params   map[string]string
	pid      uint32
	secret   uint32
	up       bool // its welcome is over
	closed   bool
	broken   bool    // its state is not known: it is not used again
	skipping bool    // after an error, up to the ReadyForQuery of the next Sync
	syncing  int     // own texts that are out
	cancels  int     // cancel requests on their way to its server
	sullied  bool    // one went out since the last answer of its own
	waiting  bool    // it is to be freed once nothing of its own is out
	ends     float64 // after this nothing more is sent there, 0 for no end
	parked   bool
	partial  bool   // the server has a message in part
	parses   int    // statements that are on their way to be prepared
	bound    bool   // ...and a Sync is behind them: whether they are prepared is to be known before more is sent
	last     uint64 // session of the client that had it last
	timer    *timers.Timer
}

// kind is what an answer is due to.
type kind uint8

const (
	xQuery    kind = iota // a simple query: all up to ReadyForQuery
	xOwn                  // a simple query of the pooler's own: nothing of it is the client's
	xParse                // ParseComplete
	xBind                 // BindComplete
	xDescribe             // ParameterDescription, RowDescription or NoData
	xExecute              // rows, up to their completion
	xClose                // CloseComplete
	xReady                // ReadyForQuery of a Sync
	xSay                  // nothing: what is said in its place
)

type expected struct {
	kind      kind
	does      []sqltext.Statement
	next      int                // of does, the one that completes next
	text      *sessionstate.Text // xParse, xClose: the statement
	client    bool               // xParse: the client asked for it, so it hears of it
	own       bool               // xClose, xParse: the client does not hear of it
	name      string             // the client's for the statement
	statement bool               // xDescribe: of a statement, which has two answers
	say       []byte
	closed    *sessionstate.Text // xSay: the statement that the client closed, by its name
	then      func()             // xOwn: when it has gone well
}

const maxQueueOut = 20000

// expect files an answer that is due.
func (l *link) expect(x expected) {
	l.queue = append(l.queue, x)
	if x.prepares() {
		l.parses++
	}
	if len(l.queue) > maxQueueOut && l.owner != nil {
		l.owner.fatal("54000", "too many messages ahead of their answers")
	}
}

func (l *link) write(b []byte) {
	if !l.closed && l.conn != nil {
		_ = l.conn.Write(b) // a failed write closes the connection
	}
}

// own sends a text of the pooler's own.
func (l *link) own(sql string, then func()) {
	l.syncing++
	l.expect(expected{kind: xOwn, then: then})
	l.write(pgwire.AppendQuery(nil, sql))
}

// ensure has a statement prepared here.
func (l *link) ensure(t *sessionstate.Text) {
	if l.server.Has(t) {
		return
	}
	l.evict(l.server.Add(t))
	l.f.Counts.Prepared++
	l.expect(expected{kind: xParse, text: t, own: true})
	l.write(pgwire.AppendParse(nil, t.Name(), t.SQL, t.Types))
}

// evict closes statements beyond what a connection may have prepared.
func (l *link) evict(old []*sessionstate.Text) {
	for _, t := range old {
		l.expect(expected{kind: xClose, text: t, own: true})
		l.write(pgwire.AppendCloseStatement(nil, t.Name()))
	}
}

// stuffed tells whether the server does not take what it is sent.
func (l *link) stuffed() bool { return l.conn != nil && l.conn.Unsent() > muchUnsent }

// serverClosed tells whether the server has closed a connection that rested here, which the loop may not have come to yet.
func (l *link) serverClosed() bool {
	return l.conn.PeerState().EndOfStream
}

// over tells whether nothing more may be sent here.
func (l *link) over() bool { return l.ends != 0 && l.f.loop.Now() >= l.ends }

// graceOver ends what is still open on a server that drains or is gone. An answer that is due may still come.
func (l *link) graceOver() {
	c := l.owner
	if l.closed || c == nil {
		return
	}
	if c.part() {
		return
	}
	if c.status != 'I' && len(l.queue) == 0 {
		c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
		return
	}
	if c.status == 'I' && len(l.queue) == 0 && c.txn == nil { // a session between its transactions moves with its next one
		c.release()
	}
}

// committing tells whether a COMMIT, or a statement outside a transaction, waits for its answer.
func (l *link) committing() bool {
	for _, x := range l.queue {
		for _, s := range x.does {
			if s.Kind == sqltext.Commit {
				return true
			}
		}
	}
	return false
}

// told is what the last answer said of the server's role and position.
func (l *link) told() (role decide.Role, position float64, ok bool) {
	at := l.f.position(l.params[l.f.opt.PositionName])
	return l.f.role(l.params["role"]), at, at > 0
}

// written is the position of a write that was just committed here: as told, or else the present, which is no earlier.
func (l *link) written() float64 {
	if at := l.f.position(l.params[l.f.opt.PositionName]); at > 0 {
		return at
	}
	return math.Ceil(l.f.loop.Now())
}

// free gives the connection back to its pool, once nothing of the pooler's own is out there.
func (l *link) free() {
	switch {
	case l.closed:
	case l.broken || l.partial || l.ends != 0 || len(l.queue) > l.syncing:
		l.close()
	case l.cancels > 0:
		l.waiting = true
	case l.sullied: // a late cancel must hit nobody's query: it is outrun by one of the pooler's own
		l.sullied = false
		l.own("", nil)
		l.waiting = true
	case l.syncing > 0:
		l.waiting = true
	default:
		l.f.do(l.pool, l.pool.share.Free(l.id(), l.f.loop.Now()))
	}
}

// abandon gives up what runs here: the connection is closed and not used again.
func (l *link) abandon() {
	if c := l.owner; c != nil {
		l.owner = nil
		c.link = nil
	}
	l.close()
}

func (l *link) close() {
	if l.closed {
		return
	}
	if l.conn == nil {
		l.failed()
		return
	}
	l.conn.Close()
}

func (l *link) park() bool {
	if !l.closed && !l.parked {
		l.parked = l.conn.PauseReading()
	}
	return l.parked
}

func (l *link) unpark() {
	if l.parked {
		l.parked = false
		l.conn.ResumeReading()
	}
}

// Closed is loop's.
func (l *link) Closed(error) {
	if l.closed {
		return
	}
	if !l.up {
		l.failed()
		return
	}
	unsent := l.conn.Unsent()
	l.closed = true
	l.server.Forgot()
	for i := range l.queue {
		l.owner.lower(&l.queue[i], false)
	}
	l.f.loop.StopTimer(l.timer)
	l.f.links.Remove(l.ref)
	c := l.owner
	l.owner = nil
	if c != nil {
		a := (*attempt)(nil)
		if c.txn != nil {
			a = c.txn.attempt
		}
		c.lost(l)
		if a != nil && !a.ended {
			again := !a.t.spoke
			a.link = nil
			r := decide.Reset
			if again && (unsent > 0 || a.t.harmless()) { // it never left whole, or whether it ran does not matter
				r = decide.Unreachable
			}
			if again && c.txn != nil {
				c.txn.on, c.txn.mute, c.pre = false, false, nil
			}
			l.f.endCancelled(a, r, l)
		}
		if !c.closed {
			c.flush()
		}
	}
	l.f.do(l.pool, l.pool.share.Lost(l.id(), l.f.loop.Now()))
}
