package scatter

import (
	"fmt"
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/protocol/pgwire"
)

// handleMessage handles a message that a server sends after its startup.
func (l *link) handleMessage(m pgwire.Message) {
	p := l.part
	switch {
	case m.Type == 'S':
		l.setParameter(m)
	case m.Type == 'Z':
		l.readyForQuery()
	case l.pendingReady > 1 && m.Type == 'E':
		l.broken = true
		l.discarding = true
		l.failPart("the session's settings can't be had there: "+pgwire.ErrorCode(m.Body), false)
	case m.Type == 'N' || m.Type == 'A' || l.discarding || l.pendingReady > 1:
	case p == nil || !l.sent: // no answer is expected
		l.close()
	default:
		l.handleAnswer(p, m)
	}
}

// handleAnswer handles a message of the answer to a part's statement.
func (l *link) handleAnswer(p *part, m pgwire.Message) {
	switch m.Type {
	case 'E':
		l.statementFailed(m)
	case 'T':
		if err := p.page.describe(l, m); err != nil {
			l.discarding = true
			p.rejectRows(err)
		}
	case 'D':
		l.answerBegun = true
		l.rows++
		if p.ended || l.rows > p.action.MaxRows {
			l.endAnswer()
			return
		}
		p.beginAnswer(l)
		p.page.row(l, p, m)
	case 'C':
		l.answerBegun = true
		l.completed = true
		p.beginAnswer(l)
		p.page.handle(func(now float64) []execution.Action {
			return p.page.run.RowsEnded(p.action.Shard, p.action.Attempt, now)
		})
	case '1', '2': // ParseComplete, BindComplete
	default:
		l.failPart("a message that is not due: "+strconv.Quote(string(m.Type)), true)
		l.close()
	}
}

// statementFailed handles an ErrorResponse to the statement.
func (l *link) statementFailed(m pgwire.Message) {
	code := pgwire.ErrorCode(m.Body)
	l.discarding = true
	if a := l.attempt; a != nil && !a.ended && !l.answerBegun {
		if result, rejected := backend.RejectionResult(code); rejected {
			l.broken = true
			l.frontend.endAttempt(a, result, nil)
			return
		}
		l.answerBegun = true
	}
	l.part.reportFailure(code+" "+pgwire.ErrorDetail(m.Body), isRetryable(code))
}

// isRetryable reports whether the class of an error allows that the statement succeeds at another server.
func isRetryable(code string) bool {
	const codeLength, classLength = 5, 2
	if len(code) != codeLength {
		return false
	}
	switch code[:classLength] {
	case "08", // connection exception
		"40", // transaction rollback
		"53", // insufficient resources
		"55", // object not in prerequisite state
		"57", // operator intervention
		"58", // system error
		"XX": // internal error
		return true
	}
	return false
}

// readyForQuery handles ReadyForQuery, which ends the answer to the settings or to the statement.
func (l *link) readyForQuery() {
	if l.pendingReady == 0 {
		l.close()
		return
	}
	l.pendingReady--
	if l.pendingReady > 0 && l.settingsApplied() {
		return
	}
	l.pendingReady = 0
	p := l.part
	switch a := l.attempt; {
	case a == nil:
	case a.ended:
		l.frontend.events.AnswerEnded(l.key.server, l.sentAt, backend.Outcome{Result: decide.OK, Report: l.report()})
	default:
		l.frontend.endAttempt(a, decide.OK, l)
	}
	if p != nil {
		l.reportPosition(p)
	}
	// The next part on this connection may wait for other shards before it sends its statement. It must not find the state of this answer.
	l.attempt = nil
	l.part = nil
	l.sent = false
	l.discarding = false
	l.answerBegun = false
	l.completed = false
	l.release()
}

// reportPosition reports to the run the log position of the server after the answer to a part's statement.
func (l *link) reportPosition(p *part) {
	report := l.report()
	position := int64(report.Position)
	if report.HasPosition {
		l.frontend.options.Checks.That(position >= p.action.MinPosition, "scatter: no page is read at a server that is behind its cursor",
			func() string { return fmt.Sprintf("%s at %d, needed %d", l.key.server, position, p.action.MinPosition) })
	}
	if p.link != l {
		return
	}
	p.link = nil
	if !l.broken {
		p.page.handle(func(now float64) []execution.Action {
			return p.page.run.PositionReported(p.action.Shard, p.action.Attempt, position, now)
		})
	}
}

// report returns the role and position that the server has reported most recently. The position is a log position in Unix ms.
func (l *link) report() backend.Report {
	report := backend.Report{Role: l.frontend.role(l.params["role"])}
	ms, err := strconv.ParseInt(l.params[l.frontend.options.PositionName], 10, 64)
	if err == nil && clock.Plausible(float64(ms), l.frontend.loop.Now()) {
		report.Position = float64(ms)
		report.HasPosition = true
	}
	return report
}
