package pgwire

import "encoding/binary"

// unknownSizes are the size and the modifier of a column's type in a RowDescription: both unknown.
var unknownSizes = []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff}

// nullLength is the length of a value that is NULL: -1.
var nullLength = []byte{0xff, 0xff, 0xff, 0xff}

// noTable is the table and the column number of a RowDescription's column that belongs to no table.
var noTable = []byte{0, 0, 0, 0, 0, 0}

// beginMessage appends a message's type and space for its length, which endMessage fills in. It returns the position of the length.
func beginMessage(dst []byte, typ byte) ([]byte, int) {
	return append(dst, typ, 0, 0, 0, 0), len(dst) + typeBytes
}

func endMessage(dst []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(dst[lengthAt:], uint32(len(dst)-lengthAt))
	return dst
}

// appendString appends a zero-terminated string.
func appendString(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup appends a client's startup message.
func AppendStartup(dst []byte, user, database string) []byte {
	lengthAt := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, Version)
	for _, s := range []string{"user", user, "database", database} {
		dst = appendString(dst, s)
	}
	return endMessage(append(dst, 0), lengthAt)
}

// AppendCancel appends a cancel request.
func AppendCancel(dst []byte, pid, secret uint32) []byte {
	for _, x := range []uint32{cancelBytes, requestCancel, pid, secret} {
		dst = binary.BigEndian.AppendUint32(dst, x)
	}
	return dst
}

// AppendQuery appends a simple query, whose text is given in parts.
func AppendQuery(dst []byte, sql ...string) []byte {
	dst, lengthAt := beginMessage(dst, Query)
	for _, s := range sql {
		dst = append(dst, s...)
	}
	return endMessage(append(dst, 0), lengthAt)
}

// AppendParse appends Parse; types is as ParseMessage returned it.
func AppendParse(dst []byte, name, sql string, types []byte) []byte {
	dst, lengthAt := beginMessage(dst, Parse)
	return endMessage(append(appendString(appendString(dst, name), sql), types...), lengthAt)
}

// AppendBind appends Bind; rest is as BindMessage returned it.
func AppendBind(dst []byte, portal, name string, rest []byte) []byte {
	dst, lengthAt := beginMessage(dst, Bind)
	return endMessage(append(appendString(appendString(dst, portal), name), rest...), lengthAt)
}

// AppendDescribeStatement appends Describe of a prepared statement.
func AppendDescribeStatement(dst []byte, name string) []byte {
	dst, lengthAt := beginMessage(dst, Describe)
	return endMessage(appendString(append(dst, StatementTarget), name), lengthAt)
}

// AppendCloseStatement appends Close of a prepared statement.
func AppendCloseStatement(dst []byte, name string) []byte {
	dst, lengthAt := beginMessage(dst, Close)
	return endMessage(appendString(append(dst, StatementTarget), name), lengthAt)
}

// AppendStartupResponse appends a server's response to a startup message, from AuthenticationOk to ReadyForQuery.
func AppendStartupResponse(dst []byte) []byte {
	dst = AppendAuthenticationOK(dst)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst = AppendParameter(dst, p[0], p[1])
	}
	return AppendReady(dst)
}

// AppendAuthenticationOK appends AuthenticationOk.
func AppendAuthenticationOK(dst []byte) []byte {
	dst, lengthAt := beginMessage(dst, Authentication)
	return endMessage(append(dst, 0, 0, 0, 0), lengthAt)
}

// AppendWithoutBody appends a message without a body, such as ParseComplete.
func AppendWithoutBody(dst []byte, typ byte) []byte { return append(dst, typ, 0, 0, 0, lengthBytes) }

// AppendParameter appends ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	dst, lengthAt := beginMessage(dst, ParameterStatus)
	return endMessage(appendString(appendString(dst, name), value), lengthAt)
}

// AppendBackendKeyData appends BackendKeyData.
func AppendBackendKeyData(dst []byte, pid, secret uint32) []byte {
	dst, lengthAt := beginMessage(dst, BackendKeyData)
	return endMessage(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(dst, pid), secret), lengthAt)
}

// AppendNegotiate appends NegotiateProtocolVersion with version 3.0 and the names of the options that are not supported.
func AppendNegotiate(dst []byte, unknown []string) []byte {
	dst, lengthAt := beginMessage(dst, NegotiateProtocolVersion)
	dst = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(dst, 0), uint32(len(unknown)))
	for _, s := range unknown {
		dst = appendString(dst, s)
	}
	return endMessage(dst, lengthAt)
}

// AppendReady appends ReadyForQuery for a session outside a transaction.
func AppendReady(dst []byte) []byte { return AppendReadyInState(dst, StateIdle) }

// AppendReadyInState appends ReadyForQuery with a transaction state, such as StateIdle.
func AppendReadyInState(dst []byte, state byte) []byte {
	return append(dst, ReadyForQuery, 0, 0, 0, lengthBytes+1, state)
}

// AppendEmptyQueryResponse appends EmptyQueryResponse.
func AppendEmptyQueryResponse(dst []byte) []byte { return AppendWithoutBody(dst, EmptyQueryResponse) }

// AppendComplete appends CommandComplete.
func AppendComplete(dst []byte, tag string) []byte {
	dst, lengthAt := beginMessage(dst, CommandComplete)
	return endMessage(appendString(dst, tag), lengthAt)
}

// AppendRow appends the RowDescription and the DataRow of one binary value; nil is NULL.
func AppendRow(dst []byte, column string, value []byte) []byte {
	dst, lengthAt := beginMessage(dst, RowDescription)
	dst = append(appendString(append(dst, 0, 1), column), noTable...)
	dst = append(binary.BigEndian.AppendUint32(dst, oidBytea), unknownSizes...)
	dst = append(dst, 0, 1) // binary format
	dst, lengthAt = beginMessage(endMessage(dst, lengthAt), DataRow)
	dst = append(dst, 0, 1)
	if value == nil {
		return endMessage(append(dst, nullLength...), lengthAt)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(value)))
	return endMessage(append(dst, value...), lengthAt)
}

// AppendTable appends the RowDescription and the DataRows of a table whose values are text.
func AppendTable(dst []byte, names []string, rows [][]string) []byte {
	dst, lengthAt := beginMessage(dst, RowDescription)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(names)))
	for _, name := range names {
		dst = append(appendString(dst, name), noTable...)
		dst = append(binary.BigEndian.AppendUint32(dst, oidText), unknownSizes...)
		dst = append(dst, 0, 0) // text format
	}
	dst = endMessage(dst, lengthAt)
	for _, row := range rows {
		dst, lengthAt = beginMessage(dst, DataRow)
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(row)))
		for _, value := range row {
			dst = append(binary.BigEndian.AppendUint32(dst, uint32(len(value))), value...)
		}
		dst = endMessage(dst, lengthAt)
	}
	return dst
}

// Keys of the fields of ErrorResponse and NoticeResponse.
const (
	fieldSeverity            = 'S'
	fieldSeverityUnlocalized = 'V'
	fieldCode                = 'C'
	fieldMessage             = 'M'
	fieldDetail              = 'D'
)

// AppendError appends ErrorResponse; an empty detail is left out.
func AppendError(dst []byte, severity, code, text, detail string) []byte {
	return appendFields(dst, ErrorResponse, severity, code, text, detail)
}

// AppendNotice appends NoticeResponse with a warning; an empty detail is left out.
func AppendNotice(dst []byte, code, text, detail string) []byte {
	return appendFields(dst, NoticeResponse, "WARNING", code, text, detail)
}

func appendFields(dst []byte, typ byte, severity, code, text, detail string) []byte {
	dst, lengthAt := beginMessage(dst, typ)
	for _, field := range []struct {
		key   byte
		value string
	}{
		{fieldSeverity, severity}, {fieldSeverityUnlocalized, severity}, {fieldCode, code}, {fieldMessage, text}, {fieldDetail, detail},
	} {
		if field.value != "" {
			dst = appendString(append(dst, field.key), field.value)
		}
	}
	return endMessage(append(dst, 0), lengthAt)
}
