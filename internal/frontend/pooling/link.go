package pooling

import (
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// link is a connection to a server. It implements eventloop.Handler.
type link struct {
	frontend *Frontend
	ref      slotmap.Ref
	pool     *pool
	serverID string
	conn     *eventloop.Conn // nil until it is open
	input    pgwire.Reader
	timer    *timers.Timer // bounds the opening
	ready    bool          // the startup is complete
	closed   bool
	closesAt float64 // from then on nothing more is sent, as the server is draining; 0 for never

	owner       *client              // nil while it is free
	lastSession uint64               // of the client that had it last
	state       *sessionstate.Server // settings and prepared statements
	params      map[string]string    // as the server reported them
	pid, secret uint32               // the server's cancel key

	expected         []expectedAnswer // in order
	ownQueries       int              // queries of the pooler's own that are not answered
	pendingParses    int              // statements that are being prepared
	awaitsParses     bool             // nothing may be sent until it is known whether they are prepared, as a Sync follows them
	skipping         bool             // after an error, up to the ReadyForQuery of the next Sync
	inPartialMessage bool             // the server has received a part of a message
	readingPaused    bool             // the server is not read, as the client does not read

	unusable           bool // its state is not known, so it is not used again
	cancels            int  // cancel requests on their way to its server
	lateCancelPossible bool // a cancel request was sent since the last query of the pooler's own
	freeWhenSettled    bool // it is to be released once all own queries and cancel requests are complete
}

// answerKind is what an expected answer answers.
type answerKind uint8

const (
	answersQuery    answerKind = iota // a simple query: all up to ReadyForQuery
	answersOwnQuery                   // a simple query of the pooler's own: nothing of it is for the client
	answersParse                      // ParseComplete
	answersBind                       // BindComplete
	answersDescribe                   // ParameterDescription, RowDescription or NoData
	answersExecute                    // rows, up to their completion
	answersClose                      // CloseComplete
	answersSync                       // ReadyForQuery of a Sync
	answersInPlace                    // a message that was not sent: the pooler answers in its turn
)

// expectedAnswer is an answer that a server, or the pooler in its place, has yet to give.
type expectedAnswer struct {
	kind               answerKind
	effects            []sqltext.Statement     // answersQuery, answersExecute
	next               int                     // of effects, the one that completes next
	statement          *sessionstate.Statement // answersParse, answersClose
	client             bool                    // answersParse: the client gets the answer
	own                bool                    // answersClose, answersParse: the client does not get the answer
	name               string                  // of the statement at the client
	describesStatement bool                    // answersDescribe: of a statement, which has two answers
	answer             []byte                  // answersInPlace
	closed             *sessionstate.Statement // answersInPlace, answersParse: the statement that loses its name by this
	then               func()                  // answersOwnQuery: runs if it succeeded
}

const maxExpected = 20000

func (l *link) id() connpool.ID { return connpool.ID(refNumber(l.ref)) }

// expect adds an expected answer.
func (l *link) expect(x expectedAnswer) {
	l.expected = append(l.expected, x)
	if x.prepares() {
		l.pendingParses++
	}
	if len(l.expected) > maxExpected && l.owner != nil {
		l.owner.endWithError(codeLimitExceeded, "too many messages ahead of their answers")
	}
}

func (l *link) write(b []byte) {
	if !l.closed && l.conn != nil {
		_ = l.conn.Write(b) // a failed write closes the connection
	}
}

// sendOwn sends a query of the pooler's own; then runs if it succeeded.
func (l *link) sendOwn(sql string, then func()) {
	l.ownQueries++
	l.expect(expectedAnswer{kind: answersOwnQuery, then: then})
	l.write(pgwire.AppendQuery(nil, sql))
}

// ensurePrepared prepares a statement unless the connection has it.
func (l *link) ensurePrepared(statement *sessionstate.Statement) {
	if l.state.Has(statement) {
		return
	}
	l.closeEvicted(l.state.Add(statement))
	l.frontend.Counts.Prepared++
	l.expect(expectedAnswer{kind: answersParse, statement: statement, own: true})
	l.write(pgwire.AppendParse(nil, statement.Name(), statement.SQL, statement.Types))
}

// closeEvicted closes statements beyond what the connection may have prepared.
func (l *link) closeEvicted(evicted []*sessionstate.Statement) {
	for _, statement := range evicted {
		l.expect(expectedAnswer{kind: answersClose, statement: statement, own: true})
		l.write(pgwire.AppendCloseStatement(nil, statement.Name()))
	}
}

// mustWait reports whether nothing of the client may be sent at present.
func (l *link) mustWait() bool { return l.ownQueries > 0 || l.awaitsParses || l.serverNotReading() }

// serverNotReading reports whether the server does not accept what it is sent.
func (l *link) serverNotReading() bool { return l.conn != nil && l.conn.Unsent() > pauseUnsent }

// serverClosed reports whether the server has closed the connection, also if the loop has not read that yet.
func (l *link) serverClosed() bool { return l.conn.PeerState().EndOfStream }

// pastGrace reports whether nothing more may be sent here, as the server is draining.
func (l *link) pastGrace() bool { return l.closesAt != 0 && l.frontend.now() >= l.closesAt }

// graceOver ends what is still open at a server that is draining. An expected answer may still arrive.
func (l *link) graceOver() {
	c := l.owner
	if l.closed || c == nil || c.leaveConnection() || len(l.expected) > 0 {
		return
	}
	if c.sessionState != pgwire.StateIdle {
		c.endWithError(codeShutdown, textServerDraining)
		return
	}
	if c.transaction == nil { // a session between its transactions migrates with its next one
		c.release()
	}
}

// committing reports whether a COMMIT is not answered.
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

// report returns what the last answer reported of the server.
func (l *link) report() backend.Report {
	position := l.reportedPosition()
	return backend.Report{Role: l.frontend.role(l.params[roleParameter]), Position: position, HasPosition: position > 0}
}

func (l *link) reportedPosition() float64 {
	return l.frontend.position(l.params[l.frontend.options.PositionName])
}

// commitPosition returns the position of a write that was just committed here: as reported, or the present, which is not earlier.
func (l *link) commitPosition() float64 {
	if position := l.reportedPosition(); position > 0 {
		return position
	}
	return math.Ceil(l.frontend.now())
}

// free releases the connection to its pool, once all own queries and cancel requests are complete.
func (l *link) free() {
	switch {
	case l.closed:
	case l.unusable || l.inPartialMessage || l.closesAt != 0 || len(l.expected) > l.ownQueries:
		l.close()
	case l.cancels > 0:
		l.freeWhenSettled = true
	case l.lateCancelPossible: // a query of the pooler's own, so that a late cancel request meets that one and no client's
		l.lateCancelPossible = false
		l.sendOwn("", nil)
		l.freeWhenSettled = true
	case l.ownQueries > 0:
		l.freeWhenSettled = true
	default:
		l.frontend.execute(l.pool, l.pool.conns.Release(l.id(), l.frontend.now()))
	}
}

// freeIfSettled releases a connection that waited for its own queries and cancel requests.
func (l *link) freeIfSettled() {
	if l.freeWhenSettled && l.ownQueries == 0 && l.cancels == 0 {
		l.freeWhenSettled = false
		l.free()
	}
}

// abandon closes the connection, with what runs there.
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
		l.dialFailed()
		return
	}
	l.conn.Close()
}

// pauseReading stops reading from the server, and reports whether it could.
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

// Closed implements eventloop.Handler.
func (l *link) Closed(error) {
	if l.closed {
		return
	}
	if !l.ready {
		l.dialFailed()
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
	if c := l.owner; c != nil {
		l.owner = nil
		l.ownerLost(c, unsent)
	}
	l.frontend.execute(l.pool, l.pool.conns.Lost(l.id(), l.frontend.now()))
}

// ownerLost ends the attempt of the client whose connection ended with that many bytes unsent.
func (l *link) ownerLost(c *client, unsent int) {
	var a *attempt
	if c.transaction != nil {
		a = c.transaction.attempt
	}
	c.connectionLost(l)
	if a != nil && !a.ended {
		retryable := !a.transaction.answered
		a.link = nil
		result := decide.Reset
		if retryable && (unsent > 0 || a.transaction.sentOnlyBeginning()) { // it was not sent completely, or it does not matter whether it ran
			result = decide.Unreachable
		}
		if retryable && c.transaction != nil {
			c.transaction.hasConnection = false
			c.transaction.restarting = false
			c.deferredAnswers = nil
		}
		l.frontend.endCancelled(a, result, l)
	}
	if !c.closed {
		c.flush()
	}
}
