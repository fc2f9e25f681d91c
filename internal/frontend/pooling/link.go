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
	frontend           *Frontend
	ref                slotmap.Ref
	pool               *pool
	serverID           string
	conn               *eventloop.Conn
	input              pgwire.Reader
	state              *sessionstate.Server
	expected           []expectedAnswer // answers that are due, in order
	owner              *client
	params             map[string]string
	pid                uint32
	secret             uint32
	ready              bool // its welcome is over
	closed             bool
	unusable           bool    // its state is not known: it is not used again
	skipping           bool    // after an error, up to the ReadyForQuery of the next Sync
	ownQueries         int     // own texts that are out
	cancels            int     // cancel requests on their way to its server
	lateCancelPossible bool    // one went out since the last answer of its own
	freeWhenSettled    bool    // it is to be freed once nothing of its own is out
	closesAt           float64 // after this nothing more is sent there, 0 for no end
	readingPaused      bool
	inPartialMessage   bool   // the server has a message in part
	pendingParses      int    // statements that are on their way to be prepared
	awaitsParses       bool   // ...and a Sync is behind them: whether they are prepared is to be known before more is sent
	lastSession        uint64 // session of the client that had it last
	timer              *timers.Timer
}

// answerKind is what an answer is due to.
type answerKind uint8

const (
	answersQuery    answerKind = iota // a simple query: all up to ReadyForQuery
	answersOwnQuery                   // a simple query of the pooler's own: nothing of it is the client's
	answersParse                      // ParseComplete
	answersBind                       // BindComplete
	answersDescribe                   // ParameterDescription, RowDescription or NoData
	answersExecute                    // rows, up to their completion
	answersClose                      // CloseComplete
	answersSync                       // ReadyForQuery of a Sync
	answersInPlace                    // nothing: what is said in its place
)

type expectedAnswer struct {
	kind               answerKind
	effects            []sqltext.Statement
	next               int                     // of does, the one that completes next
	statement          *sessionstate.Statement // answersParse, answersClose: the statement
	client             bool                    // answersParse: the client asked for it, so it hears of it
	own                bool                    // answersClose, answersParse: the client does not hear of it
	name               string                  // the client's for the statement
	describesStatement bool                    // answersDescribe: of a statement, which has two answers
	answer             []byte
	closed             *sessionstate.Statement // answersInPlace: the statement that the client closed, by its name
	then               func()                  // answersOwnQuery: when it has gone well
}

const maxExpected = 20000

// expect files an answer that is due.
func (l *link) expect(x expectedAnswer) {
	l.expected = append(l.expected, x)
	if x.prepares() {
		l.pendingParses++
	}
	if len(l.expected) > maxExpected && l.owner != nil {
		l.owner.endWithError("54000", "too many messages ahead of their answers")
	}
}

func (l *link) write(b []byte) {
	if !l.closed && l.conn != nil {
		_ = l.conn.Write(b) // a failed write closes the connection
	}
}

// sendOwn sends a text of the pooler's own.
func (l *link) sendOwn(sql string, then func()) {
	l.ownQueries++
	l.expect(expectedAnswer{kind: answersOwnQuery, then: then})
	l.write(pgwire.AppendQuery(nil, sql))
}

// ensure has a statement prepared here.
func (l *link) ensure(t *sessionstate.Statement) {
	if l.state.Has(t) {
		return
	}
	l.evict(l.state.Add(t))
	l.frontend.Counts.Prepared++
	l.expect(expectedAnswer{kind: answersParse, statement: t, own: true})
	l.write(pgwire.AppendParse(nil, t.Name(), t.SQL, t.Types))
}

// evict closes statements beyond what a connection may have prepared.
func (l *link) evict(old []*sessionstate.Statement) {
	for _, t := range old {
		l.expect(expectedAnswer{kind: answersClose, statement: t, own: true})
		l.write(pgwire.AppendCloseStatement(nil, t.Name()))
	}
}

// serverNotReading tells whether the server does not take what it is sent.
func (l *link) serverNotReading() bool { return l.conn != nil && l.conn.Unsent() > pauseUnsent }

// serverClosed tells whether the server has closed a connection that rested here, which the loop may not have come to yet.
func (l *link) serverClosed() bool {
	return l.conn.PeerState().EndOfStream
}

// pastGrace tells whether nothing more may be sent here.
func (l *link) pastGrace() bool { return l.closesAt != 0 && l.frontend.eventLoop.Now() >= l.closesAt }

// graceOver ends what is still open on a server that drains or is gone. An answer that is due may still come.
func (l *link) graceOver() {
	c := l.owner
	if l.closed || c == nil {
		return
	}
	if c.leaveConnection() {
		return
	}
	if c.sessionState != 'I' && len(l.expected) == 0 {
		c.endWithError("57P01", "the server of this transaction is being taken out; nothing of it was committed")
		return
	}
	if c.sessionState == 'I' && len(l.expected) == 0 && c.transaction == nil { // a session between its transactions moves with its next one
		c.release()
	}
}

// committing tells whether a COMMIT, or a statement outside a transaction, waits for its answer.
func (l *link) committing() bool {
	for _, x := range l.expected {
		for _, s := range x.effects {
			if s.Kind == sqltext.Commit {
				return true
			}
		}
	}
	return false
}

// reported is what the last answer said of the server's role and position.
func (l *link) reported() (role decide.Role, position float64, ok bool) {
	at := l.frontend.position(l.params[l.frontend.options.PositionName])
	return l.frontend.role(l.params["role"]), at, at > 0
}

// commitPosition is the position of a write that was just committed here: as told, or else the present, which is no earlier.
func (l *link) commitPosition() float64 {
	if at := l.frontend.position(l.params[l.frontend.options.PositionName]); at > 0 {
		return at
	}
	return math.Ceil(l.frontend.eventLoop.Now())
}

// free gives the connection back to its pool, once nothing of the pooler's own is out there.
func (l *link) free() {
	switch {
	case l.closed:
	case l.unusable || l.inPartialMessage || l.closesAt != 0 || len(l.expected) > l.ownQueries:
		l.close()
	case l.cancels > 0:
		l.freeWhenSettled = true
	case l.lateCancelPossible: // a late cancel must hit nobody's query: it is outrun by one of the pooler's own
		l.lateCancelPossible = false
		l.sendOwn("", nil)
		l.freeWhenSettled = true
	case l.ownQueries > 0:
		l.freeWhenSettled = true
	default:
		l.frontend.execute(l.pool, l.pool.conns.Release(l.id(), l.frontend.eventLoop.Now()))
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

func (l *link) pauseReading() bool {
	if !l.closed && !l.readingPaused {
		l.readingPaused = l.conn.PauseReading()
	}
	return l.readingPaused
}

func (l *link) resumeReading() {
	if l.readingPaused {
		l.readingPaused = false
		l.conn.ResumeReading()
	}
}

// Closed is loop's.
func (l *link) Closed(error) {
	if l.closed {
		return
	}
	if !l.ready {
		l.failed()
		return
	}
	unsent := l.conn.Unsent()
	l.closed = true
	l.state.DeallocatedAll()
	for i := range l.expected {
		l.owner.reattach(&l.expected[i], false)
	}
	l.frontend.eventLoop.StopTimer(l.timer)
	l.frontend.links.Remove(l.ref)
	c := l.owner
	l.owner = nil
	if c != nil {
		a := (*attempt)(nil)
		if c.transaction != nil {
			a = c.transaction.attempt
		}
		c.connectionLost(l)
		if a != nil && !a.ended {
			again := !a.transaction.answered
			a.link = nil
			r := decide.Reset
			if again && (unsent > 0 || a.transaction.harmless()) { // it never left whole, or whether it ran does not matter
				r = decide.Unreachable
			}
			if again && c.transaction != nil {
				c.transaction.hasConnection, c.transaction.restarting, c.deferredAnswers = false, false, nil
			}
			l.frontend.endCancelled(a, r, l)
		}
		if !c.closed {
			c.flush()
		}
	}
	l.frontend.execute(l.pool, l.pool.conns.Lost(l.id(), l.frontend.eventLoop.Now()))
}
