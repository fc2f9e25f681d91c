package scatter

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	frontend        *Frontend
	key             connKey
	conn            *eventloop.Conn
	input           pgwire.Reader
	settings        *sessionstate.Server // what settings it has
	params          map[string]string
	pid             uint32
	secret          uint32
	ready           bool
	closed          bool
	attempt         *attempt
	part            *part // whose answer is due
	sent            bool  // its statement is out
	pendingReady    int   // ReadyForQuery that are due: of settings, and of the statement
	onSettingsReady func()
	answerBegun     bool // a row has come, or the end
	answerBegunAt   float64
	completed       bool // CommandComplete has come
	discarding      bool // what still comes is dropped, up to ReadyForQuery
	broken          bool
	wasCancelled    bool // a cancel request went out
	openCancels     int  // ...and is not worked on yet
	rows            int  // of its answer
	mergeFull       bool
	readingPaused   bool
	reading         bool // in Data
	columns         orderColumns
	timer           *timers.Timer
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.input.Feed(b)
	if l.mergeFull { // the merge has enough: what came with the last read stays here
		l.readingPaused = l.conn.PauseReading() // it may have been on its way back when it was stopped
		return
	}
	l.readMessages()
}

// readMessages takes the messages that are there, as far as the merge takes rows.
func (l *link) readMessages() {
	l.reading = true
	for !l.closed && !l.mergeFull {
		m, ok, err := l.input.Next()
		if err != nil {
			l.frontend.log.Warn("scatter: server broke the protocol, or sent more than is taken", "store", l.key.server, "err", err)
			l.partFailed("it sent a longer row than is taken, or broke the protocol", false)
			l.close()
			break
		}
		if !ok {
			break
		}
		if !l.ready {
			l.startupMessage(m)
		} else {
			l.message(m)
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

// longAnswerMs is how long an answer that has begun may take to tell the decision module of its server, at its end.
const longAnswerMs = 20

// endLongAttempt ends an attempt whose answer has begun and goes on for long: its rest is the run's.
func (l *link) endLongAttempt() {
	a := l.attempt
	if a == nil || !l.answerBegun || a.ended {
		return
	}
	if now := l.frontend.loop.Now(); l.answerBegunAt == 0 {
		l.answerBegunAt = now
	} else if now-l.answerBegunAt > longAnswerMs || l.mergeFull {
		l.frontend.endAttempt(a, decide.OK, nil)
	}
}

// scatter is the scatter whose answer comes here, nil where nobody waits for it.
func (l *link) scatter() *Scatter {
	if l.part == nil || l.part.scatter.ended {
		return nil
	}
	return l.part.scatter
}

// send sends a part's statement, behind what brings the client's settings over.
func (l *link) send(p *part) error {
	s := p.scatter
	sql, vals, err := s.query.ShardStatement(&s.spec.Order, &p.action.Place, p.action.Shard, p.action.MaxRows, len(s.values.Params))
	if err != nil {
		return err
	}
	var out []byte
	l.answerBegunAt = 0
	l.sent, l.pendingReady, l.rows, l.answerBegun, l.completed, l.discarding = true, 1, 0, false, false, false
	if set := s.caller.Settings.SyncQuery(l.settings); set != "" {
		out = pgwire.AppendQuery(out, set)
		l.pendingReady++
		l.onSettingsReady = func() { s.caller.Settings.Synced(l.settings) }
	}
	out = pgwire.AppendParse(out, "", sql, s.paramTypes)
	out = pgwire.AppendBind(out, "", "", s.values.EncodeWith(vals))
	out = append(out, 'D', 0, 0, 0, 6, 'P', 0)
	out = append(out, 'E', 0, 0, 0, 9, 0, 0, 0, 0, 0)
	out = append(out, 'S', 0, 0, 0, 4)
	_ = l.conn.Write(out) // a failed write closes the connection
	return nil
}

// detach gives up a connection: one that works on something is closed.
func (l *link) detach() {
	l.attempt = nil
	if l.discarding && l.sent { // it was told to end
		return
	}
	if l.sent && l.ready && !l.broken { // the server is told
		l.endAnswer()
		return
	}
	if l.part = nil; l.sent || !l.ready {
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

// pauseReading has nothing more be read here.
func (l *link) pauseReading() {
	if !l.readingPaused && !l.closed && l.conn != nil {
		l.readingPaused = l.conn.PauseReading()
	}
}

// resumeReading ends park, once what has been read is worked off: what is read before that adds to what is held.
func (l *link) resumeReading() {
	if l.readingPaused && !l.mergeFull && !l.closed {
		l.readingPaused = false
		l.conn.ResumeReading()
	}
}

// stopRows has the merge take no more rows from here.
func (l *link) stopRows() {
	if !l.mergeFull && !l.discarding {
		l.mergeFull = true
		l.pauseReading()
	}
}

// resumeRows ends stop.
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

// Closed is loop's.
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
	for i, x := range f.idle[l.key] {
		if x == l {
			f.idle[l.key] = append(f.idle[l.key][:i:i], f.idle[l.key][i+1:]...)
			break
		}
	}
	p, a := l.part, l.attempt
	l.part, l.attempt = nil, nil
	ours, out := p != nil && p.link == l, a != nil && !a.ended
	if ours {
		p.link = nil
	}
	if out {
		a.link = nil
	}
	switch {
	case ours && l.completed: // all its rows are here: asked again it would only tell where another server stands
		if out {
			f.endAttempt(a, decide.OK, nil)
		}
	case ours: // rows of it are with the merge: the run asks anew, from behind them, and the module must not ask this one again
		if out {
			a.resetInAnswer = true
		}
		p.reportFailure("its server's connection broke", true)
		if out {
			f.endAttempt(a, decide.Reset, nil)
		}
	case out && !l.sent:
		f.endAttempt(a, decide.Unreachable, nil)
	case out:
		f.endAttempt(a, decide.Reset, nil)
	}
}

// partFailed tells of an answer that came to nothing, unless the part's is another attempt's.
func (l *link) partFailed(why string, again bool) {
	if p := l.part; p != nil && !p.ended && (!p.answerBegun || p.link == l) {
		p.reportFailure(why, again)
	}
}
