package scatter

import (
	"beechgrade/internal/eventloop/clock"
	"fmt"
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/protocol/pgwire"
)

// message takes a message of a connection that is up.
func (l *link) message(m pgwire.Message) {
	p := l.part
	switch {
	case m.Type == 'S':
		l.parameter(m)
	case m.Type == 'Z':
		l.readyForQuery()
	case m.Type == 'N' || m.Type == 'A' || l.discarding || l.pendingReady > 1:
		if m.Type == 'E' && l.pendingReady > 1 {
			l.broken, l.discarding = true, true
			l.partFailed("the session's settings can't be had there: "+pgwire.ErrorCode(m.Body), false)
		}
	case p == nil || !l.sent:
		l.close()
	case m.Type == 'E':
		l.statementFailed(m)
	case m.Type == 'T':
		if err := p.scatter.describe(l, m); err != nil {
			l.discarding = true
			p.rejectRows(err)
		}
	case m.Type == 'D':
		l.answerBegun = true
		if l.rows++; p.ended || l.rows > p.action.MaxRows { // more than was asked for, or given up: it is told to end
			l.endAnswer()
			return
		}
		p.beginAnswer(l)
		p.scatter.row(l, p, m)
	case m.Type == 'C':
		l.answerBegun, l.completed = true, true
		p.beginAnswer(l)
		p.scatter.handle(func(now float64) []execution.Action {
			return p.scatter.run.RowsEnded(p.action.Shard, p.action.Attempt, now)
		})
	case m.Type == '1' || m.Type == '2':
	default:
		l.partFailed("a message that is not due: "+strconv.Quote(string(m.Type)), true)
		l.close()
	}
}

// statementFailed takes an error of the statement.
func (l *link) statementFailed(m pgwire.Message) {
	code, p := pgwire.ErrorCode(m.Body), l.part
	l.discarding = true
	if a := l.attempt; a != nil && !a.ended && !l.answerBegun {
		r := decide.OK // an answer, if not the one wished for
		switch code {
		case "25006", "72000":
			r = decide.Misdirected
		case "53300", "57P03":
			r = decide.Overloaded
		}
		if r != decide.OK { // the module knows another one
			l.broken = true
			l.frontend.endAttempt(a, r, nil)
			return
		}
		l.answerBegun = true
	}
	again := false
	if len(code) == 5 {
		switch code[:2] {
		case "57", "58", "XX", "08", "53", "40", "55":
			again = true
		}
	}
	p.reportFailure(code+" "+pgwire.ErrorDetail(m.Body), again)
}

// readyForQuery takes a ReadyForQuery.
func (l *link) readyForQuery() {
	if l.pendingReady == 0 {
		l.close()
		return
	}
	if l.pendingReady--; l.pendingReady > 0 {
		if l.onSettingsReady != nil && !l.broken {
			l.onSettingsReady()
			l.onSettingsReady = nil
		}
		return
	}
	p := l.part
	if a := l.attempt; a != nil && !a.ended {
		l.frontend.endAttempt(a, decide.OK, l)
	}
	_, at, ok := l.reportedState()
	if p != nil {
		position := int64(0)
		if ok {
			position = int64(at)
			l.frontend.options.Checks.That(position >= p.action.MinPosition, "scatter: no page is read at a server that is behind its cursor",
				func() string { return fmt.Sprintf("%s at %d, needed %d", l.key.server, position, p.action.MinPosition) })
		}
		if p.link == l {
			if p.link = nil; !l.broken {
				p.scatter.handle(func(now float64) []execution.Action {
					return p.scatter.run.PositionReported(p.action.Shard, p.action.Attempt, position, now)
				})
			}
		}
	}
	l.attempt, l.part, l.sent, l.discarding = nil, nil, false, false
	l.answerBegun, l.completed = false, false // another part may wait on this connection before it is sent there: none of this is its answer
	l.release()
}

// reportedState is what the last answer said of the server's role and position.
func (l *link) reportedState() (decide.Role, float64, bool) {
	ms, err := strconv.ParseInt(l.params[l.frontend.options.PositionName], 10, 64)
	ok := err == nil && clock.Plausible(float64(ms), l.frontend.loop.Now())
	if !ok {
		ms = 0
	}
	return l.frontend.role(l.params["role"]), float64(ms), ok
}

// endAnswer has an answer that nobody wants any more end: soon by itself, or by a cancel request.
func (l *link) endAnswer() {
	if l.discarding || l.closed {
		return
	}
	l.discarding = true
	l.resumeRows()
	if l.completed {
		return
	}
	p := l.part
	l.frontend.loop.At(l.frontend.loop.Now()+cancelDelayMs, func() {
		if l.part == p && l.sent && !l.closed && l.pendingReady > 0 {
			l.cancel()
		}
	})
	l.frontend.loop.At(l.frontend.loop.Now()+endWaitMs, func() {
		if l.part == p && l.sent && !l.closed {
			l.close()
		}
	})
}

// release files a connection that nobody uses. A cancel that is still on its way must hit nobody's statement, so that connection is closed.
func (l *link) release() {
	f := l.frontend
	switch {
	case l.closed:
	case l.openCancels > 0: // until it is worked on
	case l.broken || l.wasCancelled || f.draining[l.key.server]:
		l.close()
	default:
		f.idle[l.key] = append(f.idle[l.key], l)
		l.timer = f.loop.At(f.loop.Now()+connIdleMs, l.close)
	}
}
