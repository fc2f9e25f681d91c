package scatter

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// longAnswerMs is how long an answer may take, once it has begun, before its attempt is reported as a success. The outcome of a shorter
// answer is reported at its end, as it then includes the server's load and position.
const longAnswerMs = 20

// link is a connection to a server. It implements eventloop.Handler.
type link struct {
	frontend *Frontend
	key      connKey
	conn     *eventloop.Conn // nil until it is open
	input    pgwire.Reader
	timer    *timers.Timer // timeout of the startup, or of an idle connection
	ready    bool          // the startup is complete
	closed   bool

	settings *sessionstate.Server // state of the server's session
	params   map[string]string    // parameters that the server has reported
	pid      uint32               // process ID of the cancel key
	secret   uint32               // secret of the cancel key

	// The current statement.
	attempt       *attempt // nil once its outcome was reported
	part          *part    // the part whose statement it is
	sent          bool
	sentAt        float64
	pendingReady  int    // ReadyForQuery messages expected: one after the settings, if these are sent, and one after the statement
	statement     []byte // messages that are sent once the settings were applied
	columns       orderColumns
	rows          int     // rows received
	answerBegun   bool    // a row, the end of the rows or an error was received
	answerBegunAt float64 // 0 until set
	completed     bool    // CommandComplete was received
	discarding    bool    // messages are discarded up to ReadyForQuery
	broken        bool    // the session cannot be used again
	leavesState   bool    // a statement that may have left something in the session was sent
	cancelSent    bool    // a cancel request was sent
	openCancels   int     // cancel requests in progress

	mergeFull     bool // the merge accepts no rows, and messages stay in input
	readingPaused bool
	reading       bool // readMessages is running
}

// Data implements eventloop.Handler.
func (l *link) Data(b []byte) {
	l.input.Feed(b)
	if l.mergeFull {
		l.readingPaused = l.conn.PauseReading() // resumption may have been scheduled already when the merge became full
		return
	}
	l.readMessages()
}

// readMessages handles the received messages until the merge is full.
func (l *link) readMessages() {
	l.reading = true
	for !l.closed && !l.mergeFull {
		message, ok, err := l.input.Next()
		if err != nil {
			l.frontend.log.Warn("scatter: closing a connection after a protocol violation or a message over the length limit", "server", l.key.server, "err", err)
			l.failPart("it sent a longer row than is taken, or broke the protocol", false)
			l.close()
			break
		}
		if !ok {
			break
		}
		if l.ready {
			l.handleMessage(message)
		} else {
			l.handleStartup(message)
		}
	}
	l.reading = false
	if l.closed {
		return
	}
	l.endLongAttempt()
	if r := l.page(); r != nil {
		r.reader.Flush()
	}
}

// endLongAttempt reports the success of an attempt whose answer takes longer than longAnswerMs, or is paused because the merge is full.
// The rest of the answer does not affect the outcome of the attempt.
func (l *link) endLongAttempt() {
	a := l.attempt
	if a == nil || !l.answerBegun || a.ended {
		return
	}
	now := l.frontend.loop.Now()
	switch {
	case l.answerBegunAt == 0:
		l.answerBegunAt = now
	case l.mergeFull || now-l.answerBegunAt > longAnswerMs:
		l.frontend.endAttempt(a, decide.OK, nil)
	}
}

// page returns the page that the current statement belongs to, nil if there is none or it has ended.
func (l *link) page() *PageRead {
	if l.part == nil || l.part.page.ended {
		return nil
	}
	return l.part.page
}

// send sends a part's statement. If the session's settings differ from the client's, it sends the query that applies these, and the statement
// once the server has accepted them.
func (l *link) send(p *part) error {
	r := p.page
	statement, values, err := r.query.ShardStatement(&r.spec.Order, &p.action.Place, p.action.Shard, p.action.MaxRows, len(r.values.Params))
	if err != nil {
		return err
	}
	l.sent = true
	l.leavesState = l.leavesState || !r.plain
	l.pendingReady = 1
	l.rows = 0
	l.answerBegun = false
	l.answerBegunAt = 0
	l.completed = false
	l.discarding = false
	out := pgwire.AppendParse(nil, "", statement, r.paramTypes)
	out = pgwire.AppendBind(out, "", "", r.values.EncodeWith(values))
	out = append(out, describePortal...)
	out = append(out, executeAll...)
	out = append(out, syncMessage...)
	if query := r.caller.Settings.SyncQuery(l.settings); query != "" {
		l.pendingReady++
		l.statement = out
		_ = l.conn.Write(pgwire.AppendQuery(nil, query)) // a failed write closes the connection
		return nil
	}
	l.write(out)
	return nil
}

// write writes the messages of the statement.
func (l *link) write(statement []byte) {
	l.sentAt = l.frontend.loop.Now()
	if l.conn.Write(statement) != nil { // which has closed the connection
		return
	}
	if a := l.attempt; a != nil && !a.ended && l.conn.Unsent() == 0 {
		l.frontend.events.AttemptWritten(a.id)
	}
}

// settingsApplied sends the statement that waited for the settings, and reports whether it was sent: nobody may need it any more, or its
// attempt may not be sent any more.
func (l *link) settingsApplied() bool {
	statement := l.statement
	l.statement = nil
	if l.broken || l.part == nil {
		return false
	}
	l.part.page.caller.Settings.Synced(l.settings)
	if l.discarding {
		return false
	}
	if a := l.attempt; a != nil && !l.frontend.events.MaySend(a.id) {
		l.frontend.endAttempt(a, decide.NotSent, nil)
		return false
	}
	if l.input.Pending() > 0 { // would be read as the answer to the statement
		l.close()
		return true
	}
	l.write(statement)
	return true
}

// Messages of the extended protocol for the unnamed portal.
const (
	describePortal = "D\x00\x00\x00\x06P\x00"
	executeAll     = "E\x00\x00\x00\x09\x00\x00\x00\x00\x00"
	syncMessage    = "S\x00\x00\x00\x04"
)

// detach ends the use of the connection by an attempt that was not successful. The connection is reused or closed.
func (l *link) detach() {
	l.attempt = nil
	if l.sent && l.discarding { // endAnswer was called already
		return
	}
	if l.sent && l.ready && !l.broken {
		l.endAnswer()
		return
	}
	l.part = nil
	if l.sent || !l.ready {
		l.close()
		return
	}
	l.release()
}

func (l *link) close() {
	switch {
	case l.closed:
	case l.conn == nil || !l.ready:
		l.dialFailed(decide.Unreachable)
	default:
		l.conn.Close()
	}
}

// release makes the connection available to other parts if its session can be reused. After a cancel request, the connection is closed:
// the server could apply a late cancel request to the next statement.
func (l *link) release() {
	f := l.frontend
	switch {
	case l.closed:
	case l.openCancels > 0: // cancelEnded calls release again
	case l.broken || l.leavesState || l.cancelSent || f.draining[l.key.server] || l.input.Pending() > 0:
		l.close()
	default:
		f.idle[l.key] = append(f.idle[l.key], l)
		l.timer = f.loop.At(f.loop.Now()+connIdleMs, l.close)
	}
}

// clean reports whether a statement may be sent on the connection, which has none. Messages that a server may send at any time are handled
// first, if they wait in the socket.
func (l *link) clean() bool {
	if l.closed {
		return false
	}
	reason := reuse.Check(l.pendingReady, l.input.Pending(), l.conn)
	if reason == reuse.Socket {
		l.conn.ReadNow()
		reason = reuse.Check(l.pendingReady, l.input.Pending(), l.conn)
	}
	return reason == reuse.Clean
}

// pauseRows stops the handling of messages, which stay in the input, as the merge is full.
func (l *link) pauseRows() {
	if !l.mergeFull && !l.discarding {
		l.mergeFull = true
		l.pauseReading()
	}
}

// resumeRows undoes pauseRows.
func (l *link) resumeRows() {
	if !l.mergeFull {
		return
	}
	l.mergeFull = false
	l.frontend.loop.At(l.frontend.loop.Now(), func() {
		if !l.closed && !l.mergeFull && !l.reading {
			l.readMessages()
		}
		l.resumeReading()
	})
}

func (l *link) pauseReading() {
	if !l.readingPaused && !l.closed && l.conn != nil {
		l.readingPaused = l.conn.PauseReading()
	}
}

// resumeReading resumes reading from the connection, unless handling the messages in the input has made the merge full again.
func (l *link) resumeReading() {
	if l.readingPaused && !l.mergeFull && !l.closed {
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
		l.dialFailed(decide.Unreachable)
		return
	}
	l.closed = true
	f := l.frontend
	f.conns--
	f.loop.StopTimer(l.timer)
	if i := slices.Index(f.idle[l.key], l); i >= 0 {
		links := f.idle[l.key]
		f.idle[l.key] = append(links[:i:i], links[i+1:]...)
	}
	l.failStatement()
}

// failStatement reports the failure of the statement on a connection that was closed.
func (l *link) failStatement() {
	f, p, a := l.frontend, l.part, l.attempt
	l.part = nil
	l.attempt = nil
	answering := p != nil && p.link == l
	if answering {
		p.link = nil
	}
	open := a != nil && !a.ended
	if open {
		a.link = nil
	}
	switch {
	case answering && l.completed: // all rows were received; only the server's position is missing
		if open {
			f.endAttempt(a, decide.OK, nil)
		}
	case answering: // the run retries after the last row received; the decision module must not retry from the beginning
		if open {
			a.resetInAnswer = true
		}
		p.reportFailure("its server's connection broke", true)
		if open {
			f.endAttempt(a, decide.Reset, nil)
		} else {
			f.events.AnswerEnded(l.key.server, l.sentAt, backend.Outcome{Result: decide.Reset})
		}
	case open && !l.sent:
		f.endAttempt(a, decide.Unreachable, nil)
	case open:
		f.endAttempt(a, decide.Reset, nil)
	}
}

// failPart reports that the part's read has failed, unless its rows are taken from another attempt.
func (l *link) failPart(cause string, retryable bool) {
	p := l.part
	if p == nil || p.ended {
		return
	}
	if !p.answerBegun || p.link == l {
		p.reportFailure(cause, retryable)
	}
}
