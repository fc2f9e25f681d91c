package pooling

import (
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// message handles a message from the server on a connection that is ready.
func (l *link) message(m pgwire.Message) {
	if l.isResting() && l.closeIfUnsolicited(m) {
		return
	}
	switch m.Type {
	case pgwire.ParameterStatus:
		l.parameterStatus(m)
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		if l.owner != nil && !l.answersInternal() {
			l.owner.output = append(l.owner.output, m.Raw...)
		}
	case pgwire.ErrorResponse:
		l.errorResponse(m)
	case pgwire.ReadyForQuery:
		l.readyForQuery(m)
	default:
		l.answerPart(m)
	}
}

// answerPart handles a message that is a part of the first expected answer.
func (l *link) answerPart(m pgwire.Message) {
	if m.Part {
		l.streamPart(m)
		return
	}
	expected := &l.expected[0]
	if expected.kind == answersInternalQuery {
		return
	}
	if !expected.includes(m.Type) {
		l.frontend.log.Warn("pooling: unexpected message in an answer, closing the connection", "server", l.serverID, "type", string(m.Type))
		l.close()
		return
	}
	if expected.internal && (expected.kind == answersParse || expected.kind == answersClose) {
		l.popAnswer()
		return
	}
	deferrable := expected.kind != answersQuery && expected.kind != answersExecute
	switch {
	case m.Type == pgwire.CopyInResponse:
		l.copyBegan()
	case m.Type == pgwire.PortalSuspended && l.owner != nil:
		l.owner.statementInterrupted(expected)
	}
	if expected.completesStatement(m.Type) {
		deferrable = l.statementCompleted(expected, m) || deferrable
	}
	ends := expected.endsWith(m.Type)
	l.relay(m.Raw, deferrable)
	if m.More {
		l.streamPart(m)
	} else if ends {
		l.popAnswer()
	}
}

// statementCompleted records the next statement of a query as completed. It reports whether the statement only began the transaction.
func (l *link) statementCompleted(expected *expectedAnswer, m pgwire.Message) (onlyBegun bool) {
	c := l.owner
	if c == nil || len(expected.effects) == 0 {
		return false
	}
	if expected.nextEffect >= len(expected.effects) {
		c.state.Completed(&sqltext.UnknownText) // more than the text was found to have
		return false
	}
	tag, _ := pgwire.Text(m.Body)
	s := &expected.effects[expected.nextEffect]
	onlyBegun = s.Kind == sqltext.Begin && expected.nextEffect == 0
	expected.completeStatement()
	c.statementCompleted(s, tag)
	return onlyBegun
}

// answersInternal reports whether the next message from the server answers an internal query.
func (l *link) answersInternal() bool {
	return len(l.expected) > 0 && l.expected[0].kind == answersInternalQuery
}

// parameterStatus handles ParameterStatus. A changed value is forwarded to the client, except that of a parameter that servers report
// with each answer.
func (l *link) parameterStatus(m pgwire.Message) {
	name, value, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = value
	c := l.owner
	if c == nil || l.answersInternal() || l.frontend.isPerAnswer(name) {
		return
	}
	if c.params[name] != value {
		c.params[name] = value
		c.output = append(c.output, m.Raw...)
	}
}

// reportChanged reports the parameters whose values differ from those reported to the client before.
func (c *client) reportChanged(params map[string]string) {
	for _, name := range sortedKeys(params) {
		value := params[name]
		known := c.params[name] == value || c.frontend.isPerAnswer(name)
		if !known && len(c.params) < sessionstate.MaxSettings {
			c.params[name] = value
			c.output = pgwire.AppendParameter(c.output, name, value)
		}
	}
}

// streamPart handles a message that is received in parts: no other message may be sent to the client before its last part.
func (l *link) streamPart(m pgwire.Message) {
	c := l.owner
	if c == nil {
		return
	}
	c.inPartialMessage = m.More
	if m.Part {
		l.relay(m.Raw, false)
	}
}

// relay forwards an answer to the client. A deferrable answer, to a message that only prepares or begins, is held back while the
// transaction can still be sent to another server.
func (l *link) relay(b []byte, deferrable bool) {
	c := l.owner
	if c == nil || c.transaction != nil && c.transaction.restarting {
		return
	}
	if deferrable && c.mayDefer() {
		c.deferredAnswers = append(c.deferredAnswers, b...)
		return
	}
	c.noteAnswered()
	if !deferrable && c.transaction != nil && c.transaction.attempt != nil {
		c.transaction.attempt.answering = true
	}
	c.output = append(c.output, b...)
	if len(c.output) > c.frontend.window() {
		c.flush()
	}
}

// popAnswer removes the first expected answer, which is complete, and gives the local answers that follow it.
func (l *link) popAnswer() {
	l.owner.reattach(&l.expected[0], false)
	l.expected = l.expected[1:]
	l.sendLocalAnswers()
}

// sendLocalAnswers gives the answers that are next in order and belong to messages that were not sent to the server.
func (l *link) sendLocalAnswers() {
	for len(l.expected) > 0 && l.expected[0].kind == answersLocally {
		expected := l.expected[0]
		l.expected = l.expected[1:]
		l.owner.reattach(&expected, false)
		l.relay(expected.answer, true)
	}
	if len(l.expected) == 0 {
		l.expected = nil
	}
}

// errorResponse handles ErrorResponse.
func (l *link) errorResponse(m pgwire.Message) {
	code := pgwire.ErrorCode(m.Body)
	if l.answersInternal() {
		l.settingsFailed(m)
		return
	}
	c := l.owner
	if c != nil {
		c.failed = true
	}
	if len(l.expected) == 0 { // the server is ending the connection
		if c != nil {
			c.output = append(c.output, m.Raw...)
		}
		return
	}
	if c != nil {
		c.statementInterrupted(&l.expected[0])
	}
	if l.expected[0].kind != answersQuery {
		l.dropPipeline(code)
	} else {
		l.skipping = false
	}
	if c == nil {
		return
	}
	if result, ok := l.rejectionResult(c, m); ok { // it did not run, and the client has received no answer
		l.retryElsewhere(c, result, code)
		return
	}
	l.relay(m.Raw, false)
}

// dropPipeline drops the expected answers up to the next Sync, because the server skips their messages after an error. Their statements
// are not prepared, or not closed.
func (l *link) dropPipeline(code string) {
	c := l.owner
	var dropped []expectedAnswer
	for len(l.expected) > 0 && l.expected[0].kind != answersSync && l.expected[0].kind != answersInternalQuery {
		dropped = append(dropped, l.expected[0])
		l.expected = l.expected[1:]
	}
	for i := len(dropped) - 1; i >= 0; i-- { // undone in reverse order
		expected := &dropped[i]
		if expected.toClient && c != nil {
			c.state.Unprepare(expected.name)
		}
		if expected.kind == answersParse && expected.statement != nil {
			l.state.Drop(expected.statement)
		}
		if expected.kind == answersClose && expected.statement != nil {
			l.unusable = true // the statement is still prepared at the server, but not counted any more
		}
		c.reattach(expected, true)
	}
	l.skipping = len(l.expected) == 0
	if l.skipping && c != nil {
		c.extendedOpen = true // also if a skipped Query was to end the pipeline
		c.proceedSoon()
	}
	if code == codeUnsupported { // a cached plan is out of date; no other client may get it
		l.unusable = true
	}
}

// readyForQuery handles ReadyForQuery.
func (l *link) readyForQuery(m pgwire.Message) {
	if len(m.Body) != 1 {
		l.close()
		return
	}
	expected := l.expected[0]
	if expected.kind != answersQuery && expected.kind != answersSync && expected.kind != answersInternalQuery {
		l.frontend.log.Warn("pooling: unexpected ReadyForQuery, closing the connection", "server", l.serverID)
		l.close()
		return
	}
	l.expected = l.expected[1:]
	if len(l.expected) == 0 {
		l.expected = nil
	}
	if expected.kind == answersInternalQuery {
		l.internalQueryAnswered(expected, m.Body[0])
	} else {
		l.statementEnd = 0
		l.copy = noCopy
		if c := l.owner; c != nil && expected.isIncomplete() && !c.failed {
			c.state.Completed(&sqltext.UnknownText)
		}
		l.ownerReady(m.Body[0])
	}
	l.sendLocalAnswers()
	l.freeIfSettled()
}

// ownerReady handles a ReadyForQuery for the client that uses the connection. The connection may belong to another client afterwards.
func (l *link) ownerReady(state byte) {
	c := l.owner
	if c == nil {
		return
	}
	c.readyForQuery(l, state)
	c.flush()
	if c.input.Pending() > 0 {
		c.proceedSoon()
	}
	c.closeIfDraining()
}

// internalQueryAnswered records the end of an internal query.
func (l *link) internalQueryAnswered(expected expectedAnswer, state byte) {
	l.internalQueries--
	if state != pgwire.StateIdle {
		l.unusable = true
	}
	if expected.onSuccess != nil && !l.unusable {
		expected.onSuccess()
	}
	if c := l.owner; c != nil && l.internalQueries == 0 && c.conn != nil {
		l.frontend.eventLoop.At(l.frontend.now(), c.proceed)
	}
}
