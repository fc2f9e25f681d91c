package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

const (
	maxValueBytes   = 4 << 20 // bytes of a value
	maxOtherMessage = 8 << 10 // bytes of any message except a row
	maxOtherBytes   = 1 << 17 // bytes of all messages of one answer except the row
	sqlStateBytes   = 5
)

// MaxMessage bounds the messages of an answer, in bytes.
const MaxMessage = maxValueBytes + lengthBytes + rowHeadBytes

// Sizes, in bytes, by which a message is checked before it is complete.
const (
	checkedRowBytes    = headBytes + rowHeadBytes // of a DataRow, up to its value
	authenticationSize = 8                        // of AuthenticationOk, without its type
	readySize          = 5                        // of ReadyForQuery, without its type
	columnTailBytes    = 18                       // of a column in RowDescription, after its name
	keyBytes           = 8                        // of BackendKeyData
)

// answerState is the position in an answer: which messages are expected next.
type answerState uint8

const (
	awaitsAuthentication  answerState = iota // the response to a startup message: AuthenticationOk is next
	awaitsStartupEnd                         // ...then the messages up to ReadyForQuery
	awaitsRowDescription                     // a statement's answer: RowDescription is next
	awaitsDataRow                            // ...the row
	awaitsCommandComplete                    // ...CommandComplete
	awaitsReadyForQuery
	complete
)

// AnswerReader reads a server's messages up to ReadyForQuery and accepts only two forms: one complete row of one column, or an error.
// If a server sends anything else, the rest of its answer cannot be trusted either.
type AnswerReader struct {
	state      answerState
	started    bool
	otherBytes int    // of messages except rows
	Served     bool   // a complete row was received, and no error
	Code       string // the SQLSTATE of an error, empty for none
}

// ExpectStartupResponse returns the reader for a connection that has sent its startup message.
func ExpectStartupResponse() AnswerReader { return AnswerReader{state: awaitsAuthentication} }

// ExpectAnswer returns the reader for a connection that has sent a statement.
func ExpectAnswer() AnswerReader { return AnswerReader{state: awaitsRowDescription} }

// Done reports whether ReadyForQuery was received.
func (a *AnswerReader) Done() bool { return a.state == complete }

// NothingReceived reports whether no message was received.
func (a *AnswerReader) NothingReceived() bool { return !a.started }

// Next returns the answer's next message from r, and false if it is not complete. An invalid message is reported as soon as its first
// bytes show it, as the rest may never arrive.
func (a *AnswerReader) Next(r *Reader) (Message, bool, error) {
	if r.InPartialMessage() { // of a row that is returned in parts
		message, ok, err := r.Next()
		if ok && !message.More {
			a.state = awaitsCommandComplete
		}
		return message, ok, err
	}
	b := r.buffer[r.offset:]
	if err := a.checkHeader(b); err != nil {
		return Message{}, false, err
	}
	if isUncheckedRow(b) {
		return Message{}, false, nil
	}
	message, ok, err := r.Next()
	if err != nil || !ok {
		return Message{}, false, err
	}
	a.started = true
	if message.More {
		return message, true, nil
	}
	if message.Type != DataRow {
		a.otherBytes += len(message.Raw)
	}
	if a.otherBytes > maxOtherBytes {
		return Message{}, false, fmt.Errorf("%w: more than %d bytes in messages other than the row", ErrMalformed, maxOtherBytes)
	}
	if err := a.accept(message); err != nil {
		return Message{}, false, err
	}
	return message, true, nil
}

// isUncheckedRow reports whether b is the start of a row that may be returned in parts, and too short for checkHeader to check it.
func isUncheckedRow(b []byte) bool {
	if len(b) < headBytes || len(b) >= checkedRowBytes || b[0] != DataRow {
		return false
	}
	return int64(binary.BigEndian.Uint32(b[typeBytes:])) > int64(len(b))
}

// expects reports whether a message of this type is valid in the present state.
func (a *AnswerReader) expects(typ byte) bool {
	switch typ {
	case NoticeResponse, ParameterStatus:
		return a.state != awaitsAuthentication && a.state != complete
	case ErrorResponse:
		return a.state != awaitsReadyForQuery && a.state != complete
	case Authentication:
		return a.state == awaitsAuthentication
	case BackendKeyData:
		return a.state == awaitsStartupEnd
	case RowDescription:
		return a.state == awaitsRowDescription
	case DataRow:
		return a.state == awaitsDataRow
	case CommandComplete:
		return a.state == awaitsCommandComplete
	case ReadyForQuery:
		return a.state == awaitsStartupEnd && a.Code == "" || a.state == awaitsReadyForQuery
	}
	return false
}

// checkHeader checks the received start of the next message, which may be empty.
func (a *AnswerReader) checkHeader(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	typ := b[0]
	if !a.expects(typ) {
		return fmt.Errorf("%w: unexpected message of type %q", ErrMalformed, typ)
	}
	if len(b) < headBytes {
		return nil
	}
	n := binary.BigEndian.Uint32(b[typeBytes:])
	if n < lengthBytes || n > maxLength(typ) {
		return fmt.Errorf("%w: type %q with length %d", ErrMalformed, typ, n)
	}
	if typ == DataRow && len(b) >= checkedRowBytes {
		return checkRowHeader(b[headBytes:], n)
	}
	return nil
}

// maxLength returns the largest length that a message of this type may state.
func maxLength(typ byte) uint32 {
	switch typ {
	case DataRow:
		return MaxMessage
	case Authentication:
		return authenticationSize
	case ReadyForQuery:
		return readySize
	}
	return maxOtherMessage
}

// checkRowHeader checks the start of a DataRow's body against the length that the message states.
func checkRowHeader(body []byte, length uint32) error {
	size := int32(binary.BigEndian.Uint32(body[2:]))
	oneColumn := binary.BigEndian.Uint16(body) == 1
	if int64(max(size, 0))+lengthBytes+rowHeadBytes != int64(length) || size < -1 || !oneColumn {
		return fmt.Errorf("%w: DataRow with a value of %d bytes in a message of length %d", ErrMalformed, size, length)
	}
	return nil
}

// accept checks a complete message that is expected, and moves on to the next state.
func (a *AnswerReader) accept(m Message) error {
	valid := true
	switch m.Type {
	case Authentication:
		valid = len(m.Body) == authenticationSize-lengthBytes && binary.BigEndian.Uint32(m.Body) == 0
		a.state = awaitsStartupEnd
	case ParameterStatus:
		_, _, err := Parameter(m.Body)
		valid = err == nil
	case BackendKeyData:
		valid = len(m.Body) >= keyBytes
	case NoticeResponse:
		valid = validFields(m.Body)
	case ErrorResponse:
		a.Code = ErrorCode(m.Body)
		valid = validFields(m.Body) && len(a.Code) == sqlStateBytes
		if a.state != awaitsStartupEnd && a.state != awaitsAuthentication {
			a.state = awaitsReadyForQuery
		}
	case RowDescription:
		valid = describesOneColumn(m.Body)
		a.state = awaitsDataRow
	case DataRow:
		_, err := Column(m.Body)
		valid = err == nil
		a.state = awaitsCommandComplete
	case CommandComplete:
		_, err := Text(m.Body)
		valid = err == nil
		a.state = awaitsReadyForQuery
	case ReadyForQuery:
		valid = len(m.Body) == 1 && m.Body[0] == StateIdle
		if valid {
			a.Served = a.state == awaitsReadyForQuery && a.Code == ""
			a.state = complete
		}
	}
	if !valid {
		return fmt.Errorf("%w: invalid body of a message of type %q", ErrMalformed, m.Type)
	}
	return nil
}

// describesOneColumn reports whether a RowDescription's body describes one column.
func describesOneColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := bytes.Cut(body[2:], []byte{0})
	return ok && len(rest) == columnTailBytes
}

// validFields reports whether the body of an error or a notice consists of complete fields.
func validFields(body []byte) bool {
	for len(body) > 1 {
		_, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok || body[0] == 0 {
			return false
		}
		body = rest
	}
	return len(body) == 1 && body[0] == 0
}
