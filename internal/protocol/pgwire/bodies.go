package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"unsafe"
)

// ErrorCode returns the SQLSTATE of an ErrorResponse's body, empty if it has none.
func ErrorCode(body []byte) string { return errorFieldValue(body, fieldCode) }

// ErrorDetail returns the detail of an ErrorResponse's body, empty if it has none.
func ErrorDetail(body []byte) string { return errorFieldValue(body, fieldDetail) }

// EndsSession reports whether the severity in an ErrorResponse's body is one with which the server ends the session.
func EndsSession(body []byte) bool {
	severity := errorFieldValue(body, fieldSeverityUnlocalized)
	if severity == "" {
		severity = errorFieldValue(body, fieldSeverity)
	}
	return severity == "FATAL" || severity == "PANIC"
}

func errorFieldValue(body []byte, key byte) string {
	for len(body) > 1 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == key {
			return string(value)
		}
		body = rest
	}
	return ""
}

// Parameter reads the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	n, rest, nameOK := bytes.Cut(body, []byte{0})
	v, rest, valueOK := bytes.Cut(rest, []byte{0})
	if !nameOK || !valueOK || len(rest) > 0 {
		return "", "", fmt.Errorf("%w: ParameterStatus", ErrMalformed)
	}
	return string(n), string(v), nil
}

// Sizes of parts of bodies, in bytes.
const (
	countBytes    = 2
	oidBytes      = 4
	minBindCounts = 3 * countBytes // of the parameters' formats, the parameters and the results' formats
)

// rowHeadBytes are the bytes of a DataRow's body before the value of its only column: the number of columns and the value's length.
const rowHeadBytes = 6

// Column reads the body of a DataRow of one column. It returns nil for NULL.
func Column(body []byte) ([]byte, error) {
	if len(body) < rowHeadBytes || binary.BigEndian.Uint16(body) != 1 {
		return nil, fmt.Errorf("%w: DataRow does not have exactly one column", ErrMalformed)
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n == -1 && len(body) == rowHeadBytes {
		return nil, nil
	}
	if int(n) != len(body)-rowHeadBytes {
		return nil, fmt.Errorf("%w: DataRow with a wrong length of its value", ErrMalformed)
	}
	return body[rowHeadBytes:], nil
}

// Text reads a body that is one zero-terminated string.
func Text(body []byte) (string, error) {
	if i := bytes.IndexByte(body, 0); i >= 0 && i == len(body)-1 {
		return string(body[:i]), nil
	}
	return "", fmt.Errorf("%w: text without its end", ErrMalformed)
}

// OwnedText is like Text. If the message owns its bytes, the text shares them instead of being a copy.
func OwnedText(m Message) (string, error) {
	if !m.Owned || len(m.Body) == 0 || bytes.IndexByte(m.Body, 0) != len(m.Body)-1 {
		return Text(m.Body)
	}
	return unsafe.String(&m.Body[0], len(m.Body)-1), nil
}

// ParseMessage reads the body of Parse. types is the rest of the body: the number of parameter types and each type.
func ParseMessage(body []byte) (name, sql string, types []byte, err error) {
	n, rest, nameOK := bytes.Cut(body, []byte{0})
	q, rest, sqlOK := bytes.Cut(rest, []byte{0})
	if !nameOK || !sqlOK || !isTypeList(rest) {
		return "", "", nil, fmt.Errorf("%w: Parse", ErrMalformed)
	}
	return string(n), string(q), rest, nil
}

// isTypeList reports whether b consists of a number of types and exactly that many types.
func isTypeList(b []byte) bool {
	return len(b) >= countBytes && len(b) == countBytes+oidBytes*int(binary.BigEndian.Uint16(b))
}

// BindMessage reads the names in the body of Bind. rest is the part of the body after them.
func BindMessage(body []byte) (portal, name string, rest []byte, err error) {
	p, rest, portalOK := bytes.Cut(body, []byte{0})
	n, rest, nameOK := bytes.Cut(rest, []byte{0})
	if !portalOK || !nameOK || len(rest) < minBindCounts {
		return "", "", nil, fmt.Errorf("%w: Bind", ErrMalformed)
	}
	return string(p), string(n), rest, nil
}
