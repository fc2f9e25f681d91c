package pooling

import (
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// Types of messages of the answer to a query and to Execute, before their completion; and of their completion.
const (
	queryParts   = "TDGHWdc"
	executeParts = "DGHWdc"
	completions  = "CIs"
)

// message handles a message on a connection that is ready.
func (l *link) message(m pgwire.Message) {
	switch m.Type {
	case pgwire.ParameterStatus:
		l.parameter(m)
	case pgwire.NoticeResponse, pgwire.NotificationResponse:
		if l.owner != nil && !l.answersOwn() {
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
	if len(l.expected) == 0 {
		l.frontend.log.Warn("pooling: server sent data without a request", "server", l.serverID, "type", string(m.Type))
		l.close()
		return
	}
	if m.Part {
		l.streamPart(m)
		return
	}
	x := &l.expected[0]
	if x.kind == answersOwnQuery {
		return
	}
	if !x.includes(m.Type) {
		l.frontend.log.Warn("pooling: unexpected message", "server", l.serverID, "type", string(m.Type))
		l.close()
		return
	}
	if x.own && (x.kind == answersParse || x.kind == answersClose) {
		l.pop()
		return
	}
	deferrable := x.kind != answersQuery && x.kind != answersExecute
	if x.completesStatement(m.Type) {
		deferrable = l.statementCompleted(x, m) || deferrable
	}
	ends := x.endsWith(m.Type)
	l.passOn(m.Raw, deferrable)
	if m.More {
		l.streamPart(m)
	} else if ends {
		l.pop()
	}
}

// includes reports whether a message of this type can be a part of the answer.
func (x *expectedAnswer) includes(typ byte) bool {
	switch x.kind {
	case answersParse:
		return typ == pgwire.ParseComplete
	case answersClose:
		return typ == pgwire.CloseComplete
	case answersBind:
		return typ == pgwire.BindComplete
	case answersDescribe:
		return typ == pgwire.RowDescription || typ == pgwire.NoData || typ == pgwire.ParameterDescription
	case answersExecute:
		return strings.IndexByte(executeParts, typ) >= 0 || strings.IndexByte(completions, typ) >= 0
	case answersQuery:
		return strings.IndexByte(queryParts, typ) >= 0 || strings.IndexByte(completions, typ) >= 0
	}
	return false
}

// endsWith reports whether the answer is complete with a message of this type, which it includes.
func (x *expectedAnswer) endsWith(typ byte) bool {
	switch x.kind {
	case answersDescribe:
		return typ != pgwire.ParameterDescription
	case answersExecute:
		return strings.IndexByte(completions, typ) >= 0
	}
	return x.kind != answersQuery
}

// completesStatement reports whether a message of this type completes a statement.
func (x *expectedAnswer) completesStatement(typ byte) bool {
	runs := x.kind == answersQuery || x.kind == answersExecute
	return runs && (typ == pgwire.CommandComplete || typ == pgwire.EmptyQueryResponse)
}

// statementCompleted records the next statement of a query as completed. It reports whether that has only begun the transaction.
func (l *link) statementCompleted(x *expectedAnswer, m pgwire.Message) (onlyBegun bool) {
	c := l.owner
	if c == nil || x.next >= len(x.effects) {
		return false
	}
	tag, _ := pgwire.Text(m.Body)
	s := &x.effects[x.next]
	onlyBegun = s.Kind == sqltext.Begin && x.next == 0
	x.next++
	c.completed(s, tag)
	return onlyBegun
}

// answersOwn reports whether the next message answers a query of the pooler's own.
func (l *link) answersOwn() bool { return len(l.expected) > 0 && l.expected[0].kind == answersOwnQuery }

// parameter handles ParameterStatus. The client gets values that it does not have, unless they are reported with each answer.
func (l *link) parameter(m pgwire.Message) {
	name, value, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = value
	c := l.owner
	if c == nil || l.answersOwn() || l.frontend.isPerAnswer(name) {
		return
	}
	if c.params[name] != value {
		c.params[name] = value
		c.output = append(c.output, m.Raw...)
	}
}

// reportParameters reports to a client the parameters of its new connection that differ. Those that its own settings change are
// reported after the answer to them.
func (l *link) reportParameters(c *client) {
	if l.ownQueries == 0 {
		c.reportChanged(l.params)
		return
	}
	last := &l.expected[len(l.expected)-1]
	then := last.then
	last.then = func() {
		if then != nil {
			then()
		}
		if l.owner == c {
			c.reportChanged(l.params)
		}
	}
}

// reportChanged reports the parameters that the client does not have.
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

// streamPart handles a message that is received in parts: nothing else may be sent to the client before its end.
func (l *link) streamPart(m pgwire.Message) {
	c := l.owner
	if c == nil {
		return
	}
	c.inPartialMessage = m.More
	if m.Part {
		l.passOn(m.Raw, false)
	}
}

// passOn passes a message on to the client. A deferrable one, which only prepares or begins, is deferred while all messages may be
// sent to another server.
func (l *link) passOn(b []byte, deferrable bool) {
	c := l.owner
	if c == nil || c.transaction != nil && c.transaction.restarting {
		return
	}
	if deferrable && c.mayDefer() {
		c.deferredAnswers = append(c.deferredAnswers, b...)
		return
	}
	c.noteAnswered()
	c.output = append(c.output, b...)
	if len(c.output) > pauseUnsent {
		c.flush()
	}
}

// pop removes the answer that is complete, and gives the pooler's own answers that follow.
func (l *link) pop() {
	l.parsed(&l.expected[0], false)
	l.expected = l.expected[1:]
	l.answerInPlace()
}

// prepares reports whether it is not known yet whether a statement is prepared.
func (x *expectedAnswer) prepares() bool {
	switch x.kind {
	case answersParse:
		return x.statement != nil
	case answersInPlace:
		return x.client || x.closed != nil
	}
	return false
}

// parsed records that it is known whether a statement is prepared.
func (l *link) parsed(x *expectedAnswer, failed bool) {
	prepares := x.prepares()
	l.owner.reattach(x, failed)
	if !prepares {
		return
	}
	l.pendingParses--
	if l.pendingParses == 0 && l.awaitsParses {
		l.awaitsParses = false
		if l.owner != nil {
			l.owner.proceedSoon()
		}
	}
}

// answerInPlace gives the answers to messages that were not sent to the server.
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

// errorResponse handles an error.
func (l *link) errorResponse(m pgwire.Message) {
	code := pgwire.ErrorCode(m.Body)
	if l.answersOwn() {
		l.settingsFailed(code)
		return
	}
	c := l.owner
	if c != nil {
		c.failed = true
	}
	if len(l.expected) == 0 { // the server ends the connection
		if c != nil {
			c.output = append(c.output, m.Raw...)
		}
		return
	}
	if l.expected[0].kind != answersQuery {
		l.dropPipeline(code)
	} else {
		l.skipping = false
	}
	if c == nil {
		return
	}
	if result, ok := l.mayRunElsewhere(c, m); ok { // it did not run, and the client has received nothing
		l.retryElsewhere(c, result)
		return
	}
	l.passOn(m.Raw, false)
}

// settingsFailed ends the session whose settings the connection does not accept: nothing may run under others.
func (l *link) settingsFailed(code string) {
	l.frontend.log.Warn("pooling: server rejects the settings of a client", "server", l.serverID, "code", code)
	l.unusable = true
	if l.owner != nil {
		l.owner.endWithError(code, "the session's settings cannot be carried to this server connection")
	}
}

// dropPipeline drops the expected answers up to the next Sync, which the server skips after an error. Their statements are not
// prepared, or not closed.
func (l *link) dropPipeline(code string) {
	c := l.owner
	var dropped []expectedAnswer
	for len(l.expected) > 0 && l.expected[0].kind != answersSync && l.expected[0].kind != answersOwnQuery {
		dropped = append(dropped, l.expected[0])
		l.expected = l.expected[1:]
	}
	for i := len(dropped) - 1; i >= 0; i-- { // undone in reverse order
		x := &dropped[i]
		if x.client && c != nil {
			c.state.Unprepare(x.name)
		}
		if x.kind == answersParse && x.statement != nil {
			l.state.Drop(x.statement)
		}
		if x.kind == answersClose && x.statement != nil {
			l.unusable = true // the statement is still prepared there, uncounted
		}
		l.parsed(x, true)
	}
	l.skipping = len(l.expected) == 0
	if code == codeUnsupported { // a cached plan is out of date, and must not meet another client
		l.unusable = true
	}
}

// readyForQuery handles ReadyForQuery.
func (l *link) readyForQuery(m pgwire.Message) {
	if len(m.Body) != 1 || len(l.expected) == 0 {
		l.close()
		return
	}
	x := l.expected[0]
	if x.kind != answersQuery && x.kind != answersSync && x.kind != answersOwnQuery {
		l.frontend.log.Warn("pooling: unexpected ReadyForQuery", "server", l.serverID)
		l.close()
		return
	}
	l.expected = l.expected[1:]
	if len(l.expected) == 0 {
		l.expected = nil
	}
	if x.kind == answersOwnQuery {
		l.ownQueryAnswered(x, m.Body[0])
	} else if c := l.owner; c != nil {
		c.ready(l, m.Body[0])
		c.flush() // the connection may belong to another client by now
		c.closeIfDraining()
	}
	l.answerInPlace()
	l.freeIfSettled()
}

// ownQueryAnswered records the end of a query of the pooler's own.
func (l *link) ownQueryAnswered(x expectedAnswer, state byte) {
	l.ownQueries--
	if x.then != nil && !l.unusable {
		x.then()
	}
	if state != pgwire.StateIdle {
		l.unusable = true
	}
	if c := l.owner; c != nil && l.ownQueries == 0 && c.conn != nil {
		l.frontend.eventLoop.At(l.frontend.now(), c.proceed)
	}
}
