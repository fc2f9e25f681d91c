package pooling

import (
	"slices"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// message takes a message of a connection that is up.
func (l *link) message(m pgwire.Message) {
	switch m.Type {
	case 'S':
		l.parameter(m)
		return
	case 'N', 'A':
		if l.owner != nil && !l.answersOwn() {
			l.owner.output = append(l.owner.output, m.Raw...)
		}
		return
	case 'E':
		l.errorResponse(m)
		return
	case 'Z':
		l.readyForQuery(m)
		return
	}
	if len(l.expected) == 0 {
		l.frontend.log.Warn("pooling: server sent what was not asked for", "store", l.serverID, "type", string(m.Type))
		l.close()
		return
	}
	if m.Part {
		l.stream(m)
		return
	}
	x := &l.expected[0]
	done, mere := false, x.kind != answersQuery && x.kind != answersExecute
	switch {
	case x.kind == answersOwnQuery:
		return
	case x.kind == answersParse && m.Type == '1', x.kind == answersClose && m.Type == '3':
		if x.own {
			l.pop()
			return
		}
		done = true
	case x.kind == answersBind && m.Type == '2', x.kind == answersDescribe && (m.Type == 'T' || m.Type == 'n'):
		done = true
	case x.kind == answersDescribe && m.Type == 't', x.kind == answersExecute && (m.Type == 'D' || m.Type == 'G' || m.Type == 'H' || m.Type == 'W' || m.Type == 'd' || m.Type == 'c'):
	case x.kind == answersQuery && slices.Contains([]byte("TDGHWdc"), m.Type):
	case (x.kind == answersQuery || x.kind == answersExecute) && (m.Type == 'C' || m.Type == 'I' || m.Type == 's'):
		if c := l.owner; c != nil && m.Type != 's' && x.next < len(x.effects) {
			tag, _ := pgwire.Text(m.Body)
			s := &x.effects[x.next]
			mere = s.Kind == sqltext.Begin && x.next == 0
			x.next++
			c.completed(s, tag)
		}
		done = x.kind == answersExecute
	default:
		l.frontend.log.Warn("pooling: a message is not due", "store", l.serverID, "type", string(m.Type))
		l.close()
		return
	}
	l.passOn(m.Raw, mere)
	if m.More {
		l.stream(m)
	} else if done {
		l.pop()
	}
}

// answersOwn tells whether what comes now is due to the pooler's own text.
func (l *link) answersOwn() bool { return len(l.expected) > 0 && l.expected[0].kind == answersOwnQuery }

func (l *link) parameter(m pgwire.Message) {
	name, val, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = val
	c := l.owner
	if c == nil || l.answersOwn() || perAnswer(l.frontend, name) {
		return
	}
	if c.params[name] != val {
		c.params[name] = val
		c.output = append(c.output, m.Raw...)
	}
}

// reportParameters tells a client what its new connection reports otherwise than the one before. What its own settings
// change is reported in answer to them.
func (l *link) reportParameters(c *client) {
	tell := func() {
		for _, n := range sortedKeys(l.params) {
			if v := l.params[n]; !perAnswer(l.frontend, n) && c.params[n] != v && len(c.params) < sessionstate.MaxSettings {
				c.params[n] = v
				c.output = pgwire.AppendParameter(c.output, n, v)
			}
		}
	}
	if l.ownQueries == 0 {
		tell()
		return
	}
	x := &l.expected[len(l.expected)-1]
	then := x.then
	x.then = func() {
		if then != nil {
			then()
		}
		if l.owner == c {
			tell()
		}
	}
}

// stream takes note that a message comes in parts: nothing else may be said to its client before the end.
func (l *link) stream(m pgwire.Message) {
	c := l.owner
	if c == nil {
		return
	}
	if c.inPartialMessage = m.More; m.Part {
		l.passOn(m.Raw, false)
	}
}

// passOn passes a message on to the client. What is mere, as it only prepares or begins, is held back for as long as all
// may be asked of another server.
func (l *link) passOn(b []byte, mere bool) {
	c := l.owner
	switch {
	case c == nil || c.transaction != nil && c.transaction.restarting:
		return
	case mere && c.mayDefer():
		c.deferredAnswers = append(c.deferredAnswers, b...)
		return
	}
	c.noteAnswered()
	c.output = append(c.output, b...)
	if len(c.output) > pauseUnsent {
		c.flush()
	}
}

// pop takes the answer that has come whole out, and says what stands behind it.
func (l *link) pop() {
	l.parsed(&l.expected[0], false)
	l.expected = l.expected[1:]
	l.answerInPlace()
}

// prepares tells whether it is not known yet whether a statement is prepared.
func (x *expectedAnswer) prepares() bool {
	return x.kind == answersParse && x.statement != nil || x.kind == answersInPlace && (x.client || x.closed != nil)
}

// parsed takes note that it is known whether a statement is prepared.
func (l *link) parsed(x *expectedAnswer, failed bool) {
	due := x.prepares()
	l.owner.reattach(x, failed)
	if !due {
		return
	}
	if l.pendingParses--; l.pendingParses == 0 && l.awaitsParses {
		l.awaitsParses = false
		if l.owner != nil {
			l.owner.proceedSoon()
		}
	}
}

// answerInPlace says what is due without the server's doing.
func (l *link) answerInPlace() {
	for len(l.expected) > 0 && l.expected[0].kind == answersInPlace {
		x := l.expected[0]
		l.expected = l.expected[1:]
		l.parsed(&x, false)
		l.passOn(x.answer, true)
	}
	if len(l.expected) == 0 {
		l.expected = nil
	}
}

// errorResponse takes an error.
func (l *link) errorResponse(m pgwire.Message) {
	if l.answersOwn() {
		l.frontend.log.Warn("pooling: a client's settings can't be had at a server", "store", l.serverID, "code", pgwire.ErrorCode(m.Body))
		l.unusable = true
		if c := l.owner; c != nil { // its settings are not in force: nothing may run under others
			c.endWithError(pgwire.ErrorCode(m.Body), "the session's settings cannot be carried to this server connection")
		}
		return
	}
	c := l.owner
	if c != nil {
		c.failed = true
	}
	if len(l.expected) == 0 { // of the server's own accord: its end
		if c != nil {
			c.output = append(c.output, m.Raw...)
		}
		return
	}
	// All up to the Sync is skipped by the server: what was to be prepared is not.
	pipeline := l.expected[0].kind != answersQuery
	var dropped []expectedAnswer
	for pipeline && len(l.expected) > 0 && l.expected[0].kind != answersSync && l.expected[0].kind != answersOwnQuery {
		dropped = append(dropped, l.expected[0])
		l.expected = l.expected[1:]
	}
	for i := len(dropped) - 1; i >= 0; i-- { // undone from its end
		x := &dropped[i]
		if x.client && c != nil {
			c.state.Unprepare(x.name)
		}
		if x.kind == answersParse && x.statement != nil {
			l.state.Drop(x.statement)
		}
		if x.kind == answersClose && x.statement != nil {
			l.unusable = true // it is still prepared there, uncounted
		}
		l.parsed(x, true)
	}
	l.skipping = pipeline && len(l.expected) == 0
	if pipeline && pgwire.ErrorCode(m.Body) == "0A000" { // a plan here is out of date: nobody else is to meet it
		l.unusable = true
	}
	if c == nil {
		return
	}
	if r, again := l.mayRunElsewhere(c, m); again { // it surely did not run, and the client has heard nothing
		l.retryElsewhere(c, r)
		return
	}
	l.passOn(m.Raw, false)
}

// readyForQuery takes a ReadyForQuery.
func (l *link) readyForQuery(m pgwire.Message) {
	if len(m.Body) != 1 || len(l.expected) == 0 {
		l.close()
		return
	}
	x := l.expected[0]
	if x.kind != answersQuery && x.kind != answersSync && x.kind != answersOwnQuery {
		l.frontend.log.Warn("pooling: ReadyForQuery is not due", "store", l.serverID)
		l.close()
		return
	}
	l.expected = l.expected[1:]
	if len(l.expected) == 0 {
		l.expected = nil
	}
	if x.kind == answersOwnQuery {
		l.ownQueries--
		if x.then != nil && !l.unusable {
			x.then()
		}
		if m.Body[0] != 'I' {
			l.unusable = true
		}
		if c := l.owner; c != nil && l.ownQueries == 0 && c.conn != nil {
			l.frontend.eventLoop.At(l.frontend.eventLoop.Now(), c.proceed)
		}
	} else if c := l.owner; c != nil {
		c.ready(l, m.Body[0])
		c.flush() // by now the connection may be another's
		c.closeIfDraining()
	}
	l.answerInPlace()
	if l.freeWhenSettled && l.ownQueries == 0 && l.cancels == 0 {
		l.freeWhenSettled = false
		l.free()
	}
}
