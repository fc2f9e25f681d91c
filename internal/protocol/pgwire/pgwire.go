// Package pgwire reads and builds messages of version 3 of PostgreSQL's protocol. Reading is
// incremental and bounded; nothing here does I/O.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"unsafe"
)

// Request codes that stand where a startup message has its version.
const (
	Version       = 196608
	codeCancel    = 80877102
	codeSSL       = 80877103
	codeGSSEnc    = 80877104
	maxStartupLen = 10000 // PostgreSQL's own bound
	keepBuf       = 1 << 14
	longMessage   = 1 << 17 // one of more bytes takes its buffer along, whatever stands behind it
)

// ErrMalformed is wrapped by every error about input that breaks the protocol.
var ErrMalformed = errors.New("malformed message")

// Message is one message. Body and Raw are valid until the Reader is fed again.
type Message struct {
	Type  byte
	Body  []byte
	Raw   []byte // with type and length
	More  bool   // the message goes on in the next one, which has Part; Body is not set
	Part  bool   // Raw goes on with a message that came before
	Owned bool   // the Reader has given its bytes away: they stay as they are
}

// StartupKind says what a client opened its connection with.
type StartupKind int

// The kinds.
const (
	StartupPlain   StartupKind = iota // a startup message
	StartupEncrypt                    // a request for encryption: answer 'N'
	StartupCancel                     // a request to cancel: no answer, close
)

// Reader cuts a stream of bytes into messages.
type Reader struct {
	buf []byte
	off int
	max int

	over int    // rows and copies' data of more bytes come in parts, 0 for never
	left uint32 // bytes of a message in parts that are to come
	typ  byte   // its type
}

// NewReader makes a reader for messages of at most max bytes.
func NewReader(max int) Reader { return Reader{max: max} }

// streamMost bounds a message that comes in parts: PostgreSQL's own bound.
const streamMost = 1 << 30

// Stream has rows and copies' data of more than so many bytes come in parts, as they arrive.
func (r *Reader) Stream(over int) { r.over = over }

// InPartialMessage tells whether the next bytes go on with a message that has come in part.
func (r *Reader) InPartialMessage() bool { return r.left > 0 }

// Feed takes over what was read. It copies b.
func (r *Reader) Feed(b []byte) {
	if r.off == len(r.buf) {
		r.buf, r.off = r.buf[:0], 0
	} else if r.off > 1<<12 && r.off > len(r.buf)/2 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.off:])]
		r.off = 0
	}
	r.buf = append(r.buf, b...)
}

// Pending is the number of bytes fed and not yet returned.
func (r *Reader) Pending() int { return len(r.buf) - r.off }

// NextLength is the length of the next message, 0 while that is not known.
func (r *Reader) NextLength() int {
	if b := r.buf[r.off:]; len(b) >= 5 {
		return int(binary.BigEndian.Uint32(b[1:])) + 1
	}
	return 0
}

// Grow makes room for a message of so many bytes, so that it is not moved while it comes in.
func (r *Reader) Grow(n int) {
	if cap(r.buf)-r.off < n {
		r.buf = append(make([]byte, 0, n), r.buf[r.off:]...)
		r.off = 0
	}
}

// Type is the type of the next message, known by its first byte.
func (r *Reader) Type() (typ byte, ok bool) {
	if r.off == len(r.buf) {
		return 0, false
	}
	return r.buf[r.off], true
}

// Reset drops what was fed.
func (r *Reader) Reset() { r.buf, r.off = nil, 0 }

// Startup returns the next message of a connection that has not started, and false if it is not whole.
func (r *Reader) Startup() (StartupKind, bool, error) {
	b := r.buf[r.off:]
	if len(b) < 8 {
		return 0, false, nil
	}
	n, code := binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])
	if n < 8 || n > maxStartupLen {
		return 0, false, fmt.Errorf("%w: startup of %d bytes", ErrMalformed, n)
	}
	if len(b) < int(n) {
		return 0, false, nil
	}
	r.off += int(n)
	switch {
	case code == codeSSL || code == codeGSSEnc:
		return StartupEncrypt, true, nil
	case code == codeCancel:
		return StartupCancel, true, nil
	case code>>16 == Version>>16:
		return StartupPlain, true, nil
	}
	return 0, false, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
}

// Next returns the next message, and false if it is not whole yet.
func (r *Reader) Next() (Message, bool, error) {
	b := r.buf[r.off:]
	if r.left > 0 {
		n := min(len(b), int(r.left))
		r.off += n
		r.left -= uint32(n)
		return Message{Type: r.typ, Raw: b[:n], Part: true, More: r.left > 0}, n > 0, nil
	}
	if len(b) < 5 {
		return Message{}, false, nil
	}
	n := binary.BigEndian.Uint32(b[1:])
	if r.over > 0 && (b[0] == 'D' || b[0] == 'd') && int64(n) > int64(r.over) && n < streamMost && len(b) < int(n)+1 {
		r.off, r.left, r.typ = len(r.buf), n+1-uint32(len(b)), b[0]
		return Message{Type: r.typ, Raw: b, More: true}, true, nil
	}
	if n < 4 || int64(n) > int64(r.max) {
		return Message{}, false, fmt.Errorf("%w: type %q with length %d", ErrMalformed, b[0], n)
	}
	if len(b) < int(n)+1 {
		return Message{}, false, nil
	}
	r.off += int(n) + 1
	kept := false
	if r.off == len(r.buf) && cap(r.buf) > keepBuf || n > longMessage {
		r.buf, r.off, kept = append([]byte(nil), r.buf[r.off:]...), 0, true // the message keeps it for as long as it is used
	}
	return Message{Type: b[0], Body: b[5 : n+1], Raw: b[:n+1], Owned: kept}, true, nil
}

// begin appends a message's type and room for its length; end fills that in.
func begin(dst []byte, typ byte) ([]byte, int) {
	return append(dst, typ, 0, 0, 0, 0), len(dst) + 1
}

func end(dst []byte, at int) []byte {
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at))
	return dst
}

func appendStr(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup appends a client's startup message.
func AppendStartup(dst []byte, user, database string) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, Version)
	for _, s := range []string{"user", user, "database", database} {
		dst = appendStr(dst, s)
	}
	return end(append(dst, 0), at)
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, sql ...string) []byte {
	dst, at := begin(dst, 'Q')
	for _, s := range sql {
		dst = append(dst, s...)
	}
	return end(append(dst, 0), at)
}

// AppendWelcome appends what a server answers to a startup message, up to its ReadyForQuery.
func AppendWelcome(dst []byte) []byte {
	dst, at := begin(dst, 'R')
	dst = end(append(dst, 0, 0, 0, 0), at)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst = AppendParameter(dst, p[0], p[1])
	}
	return AppendReady(dst)
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	dst, at := begin(dst, 'S')
	return end(appendStr(appendStr(dst, name), value), at)
}

// oidBytea is the type of every column.
const oidBytea = 17

// AppendRow appends the RowDescription and the DataRow of one value; nil is NULL.
func AppendRow(dst []byte, column string, value []byte) []byte {
	dst, at := begin(dst, 'T')
	dst = appendStr(append(dst, 0, 1), column)
	dst = append(dst, 0, 0, 0, 0, 0, 0) // no table
	dst = binary.BigEndian.AppendUint32(dst, oidBytea)
	dst = append(dst, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1) // size and modifier unknown, binary
	dst, at = begin(end(dst, at), 'D')
	dst = append(dst, 0, 1)
	if value == nil {
		return end(append(dst, 0xff, 0xff, 0xff, 0xff), at)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(value)))
	return end(append(dst, value...), at)
}

// AppendReady appends ReadyForQuery, outside a transaction.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmpty appends EmptyQueryResponse.
func AppendEmpty(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendComplete appends CommandComplete.
func AppendComplete(dst []byte, tag string) []byte {
	dst, at := begin(dst, 'C')
	return end(appendStr(dst, tag), at)
}

// AppendError appends an ErrorResponse; an empty detail is left out.
func AppendError(dst []byte, severity, code, text, detail string) []byte {
	return appendFields(dst, 'E', severity, code, text, detail)
}

// AppendNotice appends a NoticeResponse: a warning.
func AppendNotice(dst []byte, code, text, detail string) []byte {
	return appendFields(dst, 'N', "WARNING", code, text, detail)
}

func appendFields(dst []byte, typ byte, severity, code, text, detail string) []byte {
	dst, at := begin(dst, typ)
	for _, f := range []struct {
		key byte
		val string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', text}, {'D', detail}} {
		if f.val != "" {
			dst = appendStr(append(dst, f.key), f.val)
		}
	}
	return end(append(dst, 0), at)
}

// ErrorCode is the SQLSTATE of an ErrorResponse's body, empty if it has none.
func ErrorCode(body []byte) string { return errorField(body, 'C') }

// ErrorDetail is the detail of an ErrorResponse's body, empty if it has none.
func ErrorDetail(body []byte) string { return errorField(body, 'D') }

func errorField(body []byte, key byte) string {
	for len(body) > 1 {
		val, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == key {
			return string(val)
		}
		body = rest
	}
	return ""
}

// Parameter reads the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	n, rest, ok := bytes.Cut(body, []byte{0})
	v, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) > 0 {
		return "", "", fmt.Errorf("%w: ParameterStatus", ErrMalformed)
	}
	return string(n), string(v), nil
}

// Column reads the body of a DataRow of one column.
func Column(body []byte) ([]byte, error) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, fmt.Errorf("%w: DataRow is not of one column", ErrMalformed)
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n == -1 && len(body) == 6 {
		return nil, nil
	}
	if int(n) != len(body)-6 {
		return nil, fmt.Errorf("%w: DataRow", ErrMalformed)
	}
	return body[6:], nil
}

// Text reads a body that is one zero-terminated string.
func Text(body []byte) (string, error) {
	if i := bytes.IndexByte(body, 0); i >= 0 && i == len(body)-1 {
		return string(body[:i]), nil
	}
	return "", fmt.Errorf("%w: text without its end", ErrMalformed)
}

// OwnedText is Text of a message whose bytes the Reader has given away: it copies nothing.
func OwnedText(m Message) (string, error) {
	if !m.Owned || len(m.Body) == 0 || bytes.IndexByte(m.Body, 0) != len(m.Body)-1 {
		return Text(m.Body)
	}
	return unsafe.String(&m.Body[0], len(m.Body)-1), nil
}

// StartupPacket is a connection's first message.
type StartupPacket struct {
	Kind        StartupKind
	Minor       int
	Params      map[string]string
	Unknown     []string // protocol options that are not known here
	PID, Secret uint32   // StartupCancel
}

// maxParams bounds a startup message's parameters.
const maxParams = 500

// StartupMessage returns the next message of a connection that has not started, with what it says, and false if it is
// not whole.
func (r *Reader) StartupMessage() (StartupPacket, bool, error) {
	b := r.buf[r.off:]
	kind, ok, err := r.Startup()
	s := StartupPacket{Kind: kind, Params: map[string]string{}}
	if err != nil || !ok {
		return s, false, err
	}
	body := b[8:binary.BigEndian.Uint32(b)]
	switch kind {
	case StartupCancel:
		if len(body) < 8 {
			return s, false, fmt.Errorf("%w: cancel request", ErrMalformed)
		}
		s.PID, s.Secret = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
	case StartupPlain:
		s.Minor = int(binary.BigEndian.Uint32(b[4:]) & 0xffff)
		for len(body) > 1 {
			name, rest, ok := bytes.Cut(body, []byte{0})
			val, rest, ok2 := bytes.Cut(rest, []byte{0})
			if !ok || !ok2 || len(name) == 0 || len(s.Params) >= maxParams {
				return s, false, fmt.Errorf("%w: startup parameters", ErrMalformed)
			}
			s.Params[string(name)] = string(val)
			if bytes.HasPrefix(name, []byte("_pq_.")) {
				s.Unknown = append(s.Unknown, string(name))
			}
			body = rest
		}
		if len(body) != 1 || body[0] != 0 {
			return s, false, fmt.Errorf("%w: startup message without its end", ErrMalformed)
		}
	}
	return s, true, nil
}

// AppendReadyInState appends ReadyForQuery in the given state of a transaction: I, T or E.
func AppendReadyInState(dst []byte, status byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, status) }

// AppendKey appends BackendKeyData.
func AppendKey(dst []byte, pid, secret uint32) []byte {
	dst, at := begin(dst, 'K')
	return end(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(dst, pid), secret), at)
}

// AppendNegotiate appends NegotiateProtocolVersion: 3.0, and the options that are not known.
func AppendNegotiate(dst []byte, unknown []string) []byte {
	dst, at := begin(dst, 'v')
	dst = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(dst, 0), uint32(len(unknown)))
	for _, s := range unknown {
		dst = appendStr(dst, s)
	}
	return end(dst, at)
}

// AppendCancel appends a cancel request.
func AppendCancel(dst []byte, pid, secret uint32) []byte {
	for _, x := range []uint32{16, codeCancel, pid, secret} {
		dst = binary.BigEndian.AppendUint32(dst, x)
	}
	return dst
}

// ParseMessage reads the body of Parse; types is the rest: their number and each.
func ParseMessage(body []byte) (name, sql string, types []byte, err error) {
	n, rest, ok := bytes.Cut(body, []byte{0})
	q, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return "", "", nil, fmt.Errorf("%w: Parse", ErrMalformed)
	}
	return string(n), string(q), rest, nil
}

// AppendParse appends Parse.
func AppendParse(dst []byte, name, sql string, types []byte) []byte {
	dst, at := begin(dst, 'P')
	return end(append(appendStr(appendStr(dst, name), sql), types...), at)
}

// BindMessage reads the names in the body of Bind; rest is what follows them.
func BindMessage(body []byte) (portal, name string, rest []byte, err error) {
	p, rest, ok := bytes.Cut(body, []byte{0})
	n, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) < 6 {
		return "", "", nil, fmt.Errorf("%w: Bind", ErrMalformed)
	}
	return string(p), string(n), rest, nil
}

// AppendBind appends Bind; rest is as BindMessage returned it.
func AppendBind(dst []byte, portal, name string, rest []byte) []byte {
	dst, at := begin(dst, 'B')
	return end(append(appendStr(appendStr(dst, portal), name), rest...), at)
}

// AppendDescribeStatement appends Describe of a statement.
func AppendDescribeStatement(dst []byte, name string) []byte {
	dst, at := begin(dst, 'D')
	return end(appendStr(append(dst, 'S'), name), at)
}

// AppendCloseStatement appends Close of a statement.
func AppendCloseStatement(dst []byte, name string) []byte {
	dst, at := begin(dst, 'C')
	return end(appendStr(append(dst, 'S'), name), at)
}

// oidText is the type of a table's columns.
const oidText = 25

// AppendTable appends RowDescription and DataRows of text.
func AppendTable(dst []byte, names []string, rows [][]string) []byte {
	dst, at := begin(dst, 'T')
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(names)))
	for _, n := range names {
		dst = append(appendStr(dst, n), 0, 0, 0, 0, 0, 0)
		dst = binary.BigEndian.AppendUint32(dst, oidText)
		dst = append(dst, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	dst = end(dst, at)
	for _, r := range rows {
		var at int
		dst, at = begin(dst, 'D')
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(r)))
		for _, v := range r {
			dst = append(binary.BigEndian.AppendUint32(dst, uint32(len(v))), v...)
		}
		dst = end(dst, at)
	}
	return dst
}
