package platform

import (
	"fmt"
	"strings"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// whitespace separates the words of a statement.
const whitespace = " \t\r\n"

// frontendTypes are the types of the messages that clients send after the startup.
const frontendTypes = "QXSPBDECHF"

// step handles the next message; more reports whether there may be another.
func (session *session) step() (more bool, err error) {
	if !session.started {
		return session.startup()
	}
	// The type is checked as soon as its byte is there: the rest of an invalid message may never arrive.
	if typ, ok := session.input.Type(); ok && !strings.ContainsRune(frontendTypes, rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	message, ok, err := session.input.Next()
	if err != nil || !ok {
		return false, err
	}
	session.commands++
	arrivedAt := session.arrivalTimes.take(len(message.Raw))
	reserved := session.takeReservation(len(message.Raw))
	if message.Type == pgwire.Query {
		sql, err := pgwire.OwnedText(message)
		if err != nil {
			reserved.release()
			return false, err
		}
		session.query(sql, arrivedAt, reserved)
		return true, nil
	}
	session.otherMessage(message.Type)
	reserved.release()
	return true, nil
}

// otherMessage handles a message other than a simple query. Messages of the extended protocol are answered with an error.
func (session *session) otherMessage(messageType byte) {
	switch messageType {
	case pgwire.Terminate:
		session.endAfterAnswers(nil)
	case pgwire.Sync:
		session.skipToSync = false
		session.answer(pgwire.AppendReady(session.postgres.scratch()))
	default:
		if session.skipToSync {
			return
		}
		isFunctionCall := messageType == pgwire.FunctionCall // which has no Sync
		session.skipToSync = !isFunctionCall
		message := pgwire.AppendError(session.postgres.scratch(), "ERROR", codeUnsupported, "only simple queries are taken", "")
		if isFunctionCall {
			message = pgwire.AppendReady(message)
		}
		session.answer(message)
	}
}

// startup handles the next message of the startup.
func (session *session) startup() (more bool, err error) {
	before := session.input.Pending()
	kind, ok, err := session.input.Startup()
	if err != nil || !ok {
		return false, err
	}
	session.arrivalTimes.take(before - session.input.Pending())
	switch kind {
	case pgwire.StartupEncrypt:
		session.send([]byte{pgwire.EncryptionRefused})
	case pgwire.StartupCancel:
		session.close()
	default:
		session.started = true
		session.stateSince = session.postgres.eventLoop.Now()
		session.graceEnds = session.stateSince + firstRequestMs
		session.send(pgwire.AppendStartupResponse(session.postgres.scratch()))
	}
	return true, nil
}

// query handles a statement whose last byte arrived at the given time; reserved is the memory
// that is reserved for it as a long message.
func (session *session) query(sql string, arrivedAt float64, reserved reservation) {
	postgres := session.postgres
	if session.answerWithoutServer(sql) {
		reserved.release()
		return
	}
	statement, err := pgwire.ParseStatement(sql)
	if err != nil {
		session.answerError(codeSyntax, err)
		reserved.release()
		return
	}
	session.countBuffered() // the message counts as a statement from now on
	size := requestBytes + max(len(sql), reserved.bytes)
	if reserved.bytes == 0 && !session.admitsRequest(size) {
		postgres.rejectedForMemory++
		session.answerError(codeRejected, errMemory)
		reserved.release()
		return
	}
	answer := session.queueAnswer(size)
	answer.reservation = reserved
	session.reservedStatementBytes += reserved.bytes
	session.submit(answer, newRequest(&statement, arrivedAt))
}

// admitsRequest reports whether a request that holds so many bytes may be submitted: a client that holds little always has one.
func (session *session) admitsRequest(bytes int) bool {
	if len(session.queue) == 0 && bytes <= requestBytes+freeBytes && !session.holdsMuch() {
		return true
	}
	return session.postgres.account.Admits(bytes, memory.RejectWork) || !session.holdsMuch() && session.postgres.account.Admits(bytes, memory.RefuseConnections)
}

// answerWithoutServer answers a statement that needs no server, or that must be rejected whatever its content, and reports whether the
// statement is one of these.
func (session *session) answerWithoutServer(sql string) bool {
	command, _, _ := strings.Cut(strings.TrimLeft(strings.TrimRight(sql, ";"+whitespace), whitespace), " ")
	command = strings.ToUpper(command)
	switch command {
	case "":
		session.answerHealthCheck()
		return true
	case "SET", "RESET", "DISCARD": // accepted without effect, as by the servers
		session.answer(pgwire.AppendReady(pgwire.AppendComplete(session.postgres.scratch(), command)))
		return true
	}
	switch {
	case session.postgres.stage >= RefuseCommands:
		session.postgres.rejectedForDrain++
		session.rejectedForDrain++
		session.hasRequested = true
		session.answerError(codeClosed, errDraining)
		return true
	case session.rejectNext:
		session.answerError(codeRejected, errPipelined)
		return true
	}
	return false
}

// answerHealthCheck answers the empty query, by which clients learn whether the pooler is ready.
func (session *session) answerHealthCheck() {
	if session.postgres.notReady {
		session.answerError(codeClosed, errDraining)
		return
	}
	session.answer(pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(session.postgres.scratch())))
}

// newRequest returns the request of a statement. Its deadline counts from the arrival of its last byte.
func newRequest(statement *pgwire.Statement, arrivedAt float64) Request {
	request := Request{
		ID:               statement.RequestID,
		Class:            statement.Class,
		Tenant:           statement.Tenant,
		IdempotencyKey:   statement.IdempotencyKey,
		PlatformProtocol: true,
		Writes:           statement.Writes,
		Group:            statement.Group,
		Session:          statement.SessionKey,
		Deadline:         arrivedAt + statement.WaitMs,
		IsRetry:          statement.IsRetry,
		Query:            statement,
	}
	if statement.AfterCommitMs > 0 {
		request.MinPosition = clock.FromUnix(statement.AfterCommitMs)
	}
	return request
}

// submit hands a request to the dispatcher, which may answer it before Submit returns.
func (session *session) submit(answer *answer, request Request) {
	answer.open = true
	ref, err := session.postgres.dispatcher.Submit(request, answer)
	switch {
	case err != nil:
		answer.open = false
		answer.finish(pgwire.AppendReady(pgwire.AppendError(session.postgres.scratch(), "ERROR", codeSyntax, err.Error(), "")))
	case answer.open && session.closed:
		session.postgres.dispatcher.Abandon(ref)
	case answer.open:
		answer.requestRef = ref
	}
	session.hasRequested = session.hasRequested || err == nil
}

// answer answers a command that is not a request.
func (session *session) answer(message []byte) { session.queueAnswer(0).finish(message) }

// answerError answers a command that is not a request with an error.
func (session *session) answerError(code string, err error) {
	session.answer(pgwire.AppendReady(pgwire.AppendError(session.postgres.scratch(), "ERROR", code, err.Error(), "")))
}
