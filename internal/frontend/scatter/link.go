package scatter

import (
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// longAnswerMs is how long an answer takes at most whose end the decision module waits for, as it has the server's load and position.
const longAnswerMs = 20

// link is a connection to a server. It implements eventloop.Handler.
type link struct {
	frontend *Frontend
	key      connKey
	conn     *eventloop.Conn // nil until it is open
	input    pgwire.Reader
	timer    *timers.Timer // bounds its startup, or closes it when it is idle
	ready    bool          // the startup is complete
	closed   bool

	settings *sessionstate.Server // of the server's session
	params   map[string]string    // as reported by the server
	pid      uint32               // of its cancel key
	secret   uint32               // of its cancel key

	// The present statement.
	attempt         *attempt // nil once its outcome is reported
	part            *part    // whose statement it is
	sent            bool
	pendingReady    int    // ReadyForQuery that are due: after the settings, and after the statement
	onSettingsReady func() // called once the settings are applied
	columns         orderColumns
	rows            int     // that have come
	answerBegun     bool    // a row, the end or an error has come
	answerBegunAt   float64 // 0 for not yet
	completed       bool    // CommandComplete has come
	discarding      bool    // messages are discarded, up to ReadyForQuery
	broken          bool    // the session cannot be used again
	wasCancelled    bool    // a cancel request was sent
	openCancels     int     // cancel requests on their way

	mergeFull     bool // the merge takes no rows; messages stay in input
	readingPaused bool
	reading       bool // readMessages runs
}

// Data implements eventloop.Handler.
func (l *link) Data(b []byte) {
	l.input.Feed(b)
	if l.mergeFull {
		l.readingPaused = l.conn.PauseReading() // reading may have been about to resume when the merge became full
		return
	}
	l.readMessages()
}

// readMessages handles the messages that were received, as far as the merge takes rows.
func (l *link) readMessages() {
	l.reading = true
	for !l.closed && !l.mergeFull {
		message, ok, err := l.input.Next()
		if err != nil {
			l.frontend.log.Warn("scatter: the server broke the protocol, or sent a longer message than is accepted", "server", l.key.server, "err", err)
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
	if s := l.scatter(); s != nil {
		s.reader.Flush()
	}
}

// endLongAttempt reports the success of an attempt whose answer takes long: the rest of the answer concerns the page alone.
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

// scatter returns the page that the statement is of, nil if it has ended.
func (l *link) scatter() *PageRead {
	if l.part == nil || l.part.scatter.ended {
		return nil
	}
	return l.part.scatter
}

// send sends a part's statement, after what applies the client's settings to the session.
func (l *link) send(p *part) error {
	s := p.scatter
	statement, values, err := s.query.ShardStatement(&s.spec.Order, &p.action.Place, p.action.Shard, p.action.MaxRows, len(s.values.Params))
	if err != nil {
		return err
	}
	l.sent = true
	l.pendingReady = 1
	l.rows = 0
	l.answerBegun = false
	l.answerBegunAt = 0
	l.completed = false
	l.discarding = false
	var out []byte
	if query := s.caller.Settings.SyncQuery(l.settings); query != "" {
		out = pgwire.AppendQuery(out, query)
		l.pendingReady++
		l.onSettingsReady = func() { s.caller.Settings.Synced(l.settings) }
	}
	out = pgwire.AppendParse(out, "", statement, s.paramTypes)
	out = pgwire.AppendBind(out, "", "", s.values.EncodeWith(values))
	out = append(out, describePortal...)
	out = append(out, executeAll...)
	out = append(out, syncMessage...)
	_ = l.conn.Write(out) // a failed write closes the connection
	return nil
}

// Messages of the extended protocol for the unnamed portal.
const (
	describePortal = "D\x00\x00\x00\x06P\x00"
	executeAll     = "E\x00\x00\x00\x09\x00\x00\x00\x00\x00"
	syncMessage    = "S\x00\x00\x00\x04"
)

// detach ends the use of the connection by an attempt that was not answered.
func (l *link) detach() {
	l.attempt = nil
	if l.sent && l.discarding { // its answer is being ended already
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

// release makes the connection available, if its session can be used again. A cancel request that is on its way could hit the next
// statement, so that the connection is closed after one.
func (l *link) release() {
	f := l.frontend
	switch {
	case l.closed:
	case l.openCancels > 0: // called again when they are handled
	case l.broken || l.wasCancelled || f.draining[l.key.server]:
		l.close()
	default:
		f.idle[l.key] = append(f.idle[l.key], l)
		l.timer = f.loop.At(f.loop.Now()+connIdleMs, l.close)
	}
}

// stopRows has messages stay in the input, as the merge is full.
func (l *link) stopRows() {
	if !l.mergeFull && !l.discarding {
		l.mergeFull = true
		l.pauseReading()
	}
}

// resumeRows ends stopRows.
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

// resumeReading reads from the connection again, unless the merge has become full by the messages of the input.
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

// failStatement ends the statement of a connection that was closed.
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
	case answering && l.completed: // all rows have come; only the server's position is missing
		if open {
			f.endAttempt(a, decide.OK, nil)
		}
	case answering: // the run retries from behind the rows that have come; the decision module must not retry from the beginning
		if open {
			a.resetInAnswer = true
		}
		p.reportFailure("its server's connection broke", true)
		if open {
			f.endAttempt(a, decide.Reset, nil)
		}
	case open && !l.sent:
		f.endAttempt(a, decide.Unreachable, nil)
	case open:
		f.endAttempt(a, decide.Reset, nil)
	}
}

// failPart reports that the part's read has failed, unless its rows come from another attempt.
func (l *link) failPart(cause string, retryable bool) {
	p := l.part
	if p == nil || p.ended {
		return
	}
	if !p.answerBegun || p.link == l {
		p.reportFailure(cause, retryable)
	}
}
