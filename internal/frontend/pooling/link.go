package pooling

import (
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// link is a connection to a server, used by one client at a time. It implements eventloop.Handler.
type link struct {
	frontend *Frontend
	ref      slotmap.Ref
	pool     *pool
	serverID string
	conn     *eventloop.Conn // nil until it is open
	input    pgwire.Reader
	timer    *timers.Timer // bounds the time to connect and start up, or to settle before a release
	ready    bool          // the startup is complete
	closed   bool
	closesAt float64 // time after which nothing more is sent, because the server is draining; 0 for never

	owner           *client              // the client that uses the connection, nil for none
	assigned        bool                 // the connection was assigned to a client
	lastSessionHash uint64               // session hash of the last client that used the connection, 0 for none
	state           *sessionstate.Server // settings and prepared statements
	params          map[string]string    // as the server reported them
	pid, secret     uint32               // the server's cancel key

	expected         []expectedAnswer // answers that are outstanding, in order
	internalQueries  int              // queries of the pooler itself that are not answered yet
	written          uint64           // bytes that were written
	statementEnd     uint64           // value of written after the first message that runs a statement and is unanswered; 0 for none
	skipping         bool             // after an error in a pipeline, messages are skipped up to the next Sync
	copy             copyState        // of a COPY from the client
	inPartialMessage bool             // the server has received only a part of a message
	readingPaused    bool             // reading from the server is paused, because the client does not read

	unusable           bool // the state of the server's session is not known; the connection is not reused
	cancels            int  // cancel requests for this connection that are not handled yet
	lateCancelPossible bool // a cancel request was sent since the last internal query, and may still take effect
	freeWhenSettled    bool // to be released once all internal queries and cancel requests are complete
}

// maxExpected is the maximum of outstanding answers on a connection.
const maxExpected = 20000

func (l *link) id() connpool.ID { return connpool.ID(packRef(l.ref)) }

// expect adds an expected answer.
func (l *link) expect(expected expectedAnswer) {
	l.expected = append(l.expected, expected)
	if len(l.expected) > maxExpected && l.owner != nil {
		l.owner.endWithError(codeLimitExceeded, "too many messages ahead of their answers")
	}
}

func (l *link) write(b []byte) {
	if !l.closed && l.conn != nil {
		l.written += uint64(len(b))
		_ = l.conn.Write(b) // a failed write closes the connection
	}
}

// sendInternalQuery sends a query of the pooler itself; onSuccess is called if the query succeeded.
func (l *link) sendInternalQuery(sql string, onSuccess func()) {
	l.internalQueries++
	l.expect(expectedAnswer{kind: answersInternalQuery, onSuccess: onSuccess})
	l.write(pgwire.AppendQuery(nil, sql))
}

// ensurePrepared prepares a statement unless it is prepared on the connection already.
func (l *link) ensurePrepared(statement *sessionstate.Statement) {
	if l.state.Has(statement) {
		return
	}
	l.closeEvicted(l.state.Add(statement))
	l.frontend.Counts.Prepared++
	l.expect(expectedAnswer{kind: answersParse, statement: statement, internal: true})
	l.write(pgwire.AppendParse(nil, statement.Name(), statement.SQL, statement.Types))
}

// closeEvicted closes statements that were evicted to stay within the limits of the connection.
func (l *link) closeEvicted(evicted []*sessionstate.Statement) {
	for _, statement := range evicted {
		l.expect(expectedAnswer{kind: answersClose, statement: statement, internal: true})
		l.write(pgwire.AppendCloseStatement(nil, statement.Name()))
	}
}

// mustWait reports whether messages of the client must not be sent at present.
func (l *link) mustWait() bool {
	return l.internalQueries > 0 || l.serverNotReading()
}

// serverNotReading reports whether so many bytes to the server are unsent that its client has to wait.
func (l *link) serverNotReading() bool {
	return l.conn != nil && l.conn.Unsent() > min(pauseUnsent, l.frontend.window())
}

// pastGrace reports whether nothing more may be sent, because the grace period of the draining server is over.
func (l *link) pastGrace() bool { return l.closesAt != 0 && l.frontend.now() >= l.closesAt }

// onGraceExpired ends what is still open on a connection to a draining server. While answers are outstanding, they may still arrive.
func (l *link) onGraceExpired() {
	c := l.owner
	if l.closed || c == nil || c.leaveConnection() || len(l.expected) > 0 {
		return
	}
	if c.sessionState != pgwire.StateIdle {
		c.endWithError(codeShutdown, textServerDraining)
		return
	}
	if c.transaction == nil { // a session between transactions migrates with its next transaction
		c.release()
	}
}

// committing reports whether a COMMIT is outstanding.
func (l *link) committing() bool {
	for _, expected := range l.expected {
		for _, s := range expected.effects {
			if s.Kind == sqltext.Commit {
				return true
			}
		}
	}
	return false
}

// report returns the role and position that the server last reported.
func (l *link) report() backend.Report {
	position := l.reportedPosition()
	return backend.Report{Role: l.frontend.role(l.params[roleParameter]), Position: position, HasPosition: position > 0}
}

func (l *link) reportedPosition() float64 {
	return l.frontend.position(l.params[l.frontend.options.PositionName])
}

// commitPosition returns the position of a write that was just committed on this connection: the reported one, or the current time,
// which is not earlier.
func (l *link) commitPosition() float64 {
	if position := l.reportedPosition(); position > 0 {
		return position
	}
	return math.Ceil(l.frontend.now())
}

// free releases the connection to its pool, once all internal queries and cancel requests are complete. A connection that cannot be
// reused is closed.
func (l *link) free() {
	switch {
	case l.closed:
	case l.unusable || l.inPartialMessage || l.closesAt != 0:
		l.close()
	case l.servesOneClient():
		l.frontend.Counts.Dropped[reuse.Session]++
		l.close()
	case len(l.expected) > l.internalQueries:
		l.logDropped(reuse.Answers)
		l.close()
	case l.internalQueries == 0 && l.input.Pending() > 0:
		l.logDropped(reuse.Input)
		l.close()
	case l.cancels > 0:
		l.freeLater()
	case l.lateCancelPossible: // an internal query, so that a late cancel request cancels that and not the next client's query
		l.lateCancelPossible = false
		l.sendInternalQuery("", nil)
		l.freeLater()
	case l.internalQueries > 0:
		l.freeLater()
	default:
		l.frontend.execute(l.pool, l.pool.conns.Release(l.id(), l.frontend.now()))
	}
}

// freeLater releases the connection once all internal queries and cancel requests are complete. It is closed if they are not complete in time.
func (l *link) freeLater() {
	l.freeWhenSettled = true
	loop := l.frontend.eventLoop
	loop.StopTimer(l.timer)
	l.timer = loop.At(loop.Now()+l.frontend.options.ConnectMs, func() {
		if l.freeWhenSettled {
			l.close()
		}
	})
}

// freeIfSettled releases a connection whose release waited for internal queries and cancel requests, once these are complete.
func (l *link) freeIfSettled() {
	if l.freeWhenSettled && l.internalQueries == 0 && l.cancels == 0 {
		l.freeWhenSettled = false
		l.free()
	}
}

// abandon takes the connection from its client and closes it, along with any query that is running.
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

// pauseReading pauses reading from the server, and reports whether reading is paused.
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
	unsent := l.conn.DiscardUnsent()
	l.closed = true
	l.state.DeallocatedAll()
	for i := range l.expected {
		l.owner.reattach(&l.expected[i], false)
	}
	l.frontend.eventLoop.StopTimer(l.timer)
	l.frontend.links.Remove(l.ref)
	if c := l.owner; c != nil {
		l.owner = nil
		l.endOwnersAttempt(c, unsent)
	}
	l.frontend.execute(l.pool, l.pool.conns.Lost(l.id(), l.frontend.now()))
}
