package pooling

import (
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// answerKind is the kind of message that an expected answer belongs to.
type answerKind uint8

const (
	answersQuery         answerKind = iota // of a simple query: all messages up to ReadyForQuery
	answersInternalQuery                   // of a simple query of the pooler itself: the client gets no part of it
	answersParse                           // ParseComplete
	answersBind                            // BindComplete
	answersDescribe                        // ParameterDescription, RowDescription or NoData
	answersExecute                         // rows, up to CommandComplete or the like
	answersClose                           // CloseComplete
	answersSync                            // ReadyForQuery of a Sync
	answersLocally                         // of a message that was not sent to the server: the pooler gives the answer in order
)

// expectedAnswer is an outstanding answer of the server, or of the pooler on its behalf.
type expectedAnswer struct {
	kind               answerKind
	effects            []sqltext.Statement     // answersQuery, answersExecute
	nextEffect         int                     // index in effects of the statement that completes next
	repeats            int                     // of that entry's statements that have completed
	statement          *sessionstate.Statement // answersParse, answersClose
	toClient           bool                    // answersParse, answersLocally: of a Parse by which the client prepared a new statement
	internal           bool                    // answersClose, answersParse: sent by the pooler itself, so the client does not get the answer
	name               string                  // the client's name of the statement
	describesStatement bool                    // answersDescribe: of a statement, which is answered by two messages
	answer             []byte                  // answersLocally
	detached           *sessionstate.Statement // answersLocally, answersParse: the statement that this message detached from its name, or nil
	onSuccess          func()                  // answersInternalQuery: called if the query succeeded
}

// Types of the messages that make up the answers to Query and Execute, before the completion of a statement, and of those that complete
// one.
const (
	queryMessageTypes   = "TDGHWdc"
	executeMessageTypes = "DGHWdc"
	completionTypes     = "CIs"
)

// includes reports whether a message of this type can be a part of the answer.
func (expected *expectedAnswer) includes(typ byte) bool {
	switch expected.kind {
	case answersParse:
		return typ == pgwire.ParseComplete
	case answersClose:
		return typ == pgwire.CloseComplete
	case answersBind:
		return typ == pgwire.BindComplete
	case answersDescribe:
		return typ == pgwire.RowDescription || typ == pgwire.NoData || typ == pgwire.ParameterDescription
	case answersExecute:
		return strings.IndexByte(executeMessageTypes, typ) >= 0 || strings.IndexByte(completionTypes, typ) >= 0
	case answersQuery:
		return strings.IndexByte(queryMessageTypes, typ) >= 0 || strings.IndexByte(completionTypes, typ) >= 0
	}
	return false
}

// endsWith reports whether a message of this type, which is a part of the answer, completes it.
func (expected *expectedAnswer) endsWith(typ byte) bool {
	switch expected.kind {
	case answersDescribe:
		return typ != pgwire.ParameterDescription
	case answersExecute:
		return strings.IndexByte(completionTypes, typ) >= 0
	}
	return expected.kind != answersQuery
}

// completesStatement reports whether a message of this type completes a statement.
func (expected *expectedAnswer) completesStatement(typ byte) bool {
	runs := expected.kind == answersQuery || expected.kind == answersExecute
	return runs && (typ == pgwire.CommandComplete || typ == pgwire.EmptyQueryResponse)
}

// completeStatement moves on to the next statement.
func (expected *expectedAnswer) completeStatement() {
	if expected.repeats < expected.effects[expected.nextEffect].More {
		expected.repeats++
		return
	}
	expected.nextEffect++
	expected.repeats = 0
}

// isIncomplete reports whether fewer statements have completed than the text of a query was found to have.
func (expected *expectedAnswer) isIncomplete() bool {
	return expected.kind == answersQuery && expected.nextEffect < len(expected.effects)
}
