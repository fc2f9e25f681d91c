// Package httpwire reads HTTP/1.1 messages for the loop: heads, and where bodies end, without I/O. It is strict where a
// laxer reader might see another message than the one behind it does: what it is not sure of it refuses.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a message's head.
const (
	MaxHead    = 64 << 10
	maxHeaders = 128
	maxChunk   = 1 << 40
	maxLine    = 4 << 10 // of a chunk's head and of trailers
)

// Errors of what cannot be read. A front answers 400 to the first, 431 to the second and 501 to the third.
var (
	ErrSyntax      = errors.New("this is not HTTP as it should be")
	ErrTooLong     = errors.New("the head is too long")
	ErrUnsupported = errors.New("this transfer coding is not known here")
)

func syntax(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrSyntax, fmt.Sprintf(format, args...))
}

// Header is a field of a head.
type Header struct{ Name, Value string }

// Head is the start of a message. Of a request Method and Target are set, of an answer Status and Reason.
type Head struct {
	Method, Target string
	Status         int
	Reason         string
	Minor          int // of HTTP/1.x
	Headers        []Header

	Length  int64 // of the body, -1 where none is stated
	Chunked bool
	Close   bool // the connection ends behind this message
}

// Get is a field's value, the first of that name; names have no case.
func (h *Head) Get(name string) string {
	for i := range h.Headers {
		if strings.EqualFold(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return ""
}

// Has tells whether a list field holds a token.
func (h *Head) Has(name, token string) bool {
	for i := range h.Headers {
		if !strings.EqualFold(h.Headers[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h.Headers[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Parse reads a head from the start of b. n is 0 while it is not whole.
func Parse(b []byte, request bool) (h *Head, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if lone := bytes.IndexByte(b, '\n'); lone >= 0 && (lone == 0 || b[lone-1] != '\r') && (end < 0 || lone < end) {
		return nil, 0, syntax("a line ends without CR")
	}
	if end < 0 {
		if len(b) > MaxHead {
			return nil, 0, ErrTooLong
		}
		return nil, 0, nil
	}
	if end > MaxHead {
		return nil, 0, ErrTooLong
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	h = &Head{Length: -1}
	if request {
		err = h.requestLine(lines[0])
	} else {
		err = h.statusLine(lines[0])
	}
	if err != nil {
		return nil, 0, err
	}
	if len(lines)-1 > maxHeaders {
		return nil, 0, ErrTooLong
	}
	for _, l := range lines[1:] {
		if err := h.field(l); err != nil {
			return nil, 0, err
		}
	}
	if err := h.framing(request); err != nil {
		return nil, 0, err
	}
	return h, end + 4, nil
}

func (h *Head) version(text string) error {
	switch text {
	case "HTTP/1.1":
		h.Minor = 1
	case "HTTP/1.0":
	default:
		return syntax("version %.20q", text)
	}
	return nil
}

func (h *Head) requestLine(l string) error {
	part := strings.Split(l, " ")
	if len(part) != 3 || !token(part[0]) || part[1] == "" {
		return syntax("request line %.60q", l)
	}
	for i := range len(part[1]) {
		if c := part[1][i]; c <= ' ' || c >= 0x7f {
			return syntax("byte %#02x in a target", c)
		}
	}
	h.Method, h.Target = part[0], part[1]
	return h.version(part[2])
}

func (h *Head) statusLine(l string) error {
	version, rest, _ := strings.Cut(l, " ")
	code, reason, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || n < 100 || n > 599 || !value(reason) {
		return syntax("status line %.60q", l)
	}
	h.Status, h.Reason = n, reason
	return h.version(version)
}

// token tells whether a text is a name as HTTP has them.
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

func value(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (h *Head) field(l string) error {
	if l != "" && (l[0] == ' ' || l[0] == '\t') {
		return syntax("a field goes on in the next line")
	}
	name, val, ok := strings.Cut(l, ":")
	if !ok || !token(name) {
		return syntax("field %.60q", l)
	}
	if val = strings.Trim(val, " \t"); !value(val) {
		return syntax("a control character in field %s", name)
	}
	h.Headers = append(h.Headers, Header{name, val})
	return nil
}

// framing reads where the body ends, by fields that must not contradict each other.
func (h *Head) framing(request bool) error {
	hosts, codings := 0, 0
	for i := range h.Headers {
		switch f := &h.Headers[i]; strings.ToLower(f.Name) {
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 62) // digits alone
			if err != nil || h.Length >= 0 {
				return syntax("content length %.40q, or a second one", f.Value)
			}
			h.Length = int64(n)
		case "transfer-encoding":
			if codings++; codings > 1 || !strings.EqualFold(f.Value, "chunked") {
				return fmt.Errorf("%w: %.40q", ErrUnsupported, f.Value)
			}
			h.Chunked = true
		case "host":
			hosts++
		}
	}
	switch {
	case h.Chunked && (h.Length >= 0 || h.Minor == 0):
		return syntax("a length beside chunks, or chunks in HTTP/1.0")
	case request && (hosts > 1 || hosts == 0 && h.Minor == 1):
		return syntax("%d fields Host", hosts)
	}
	h.Close = h.Has("Connection", "close") || h.Minor == 0 && !h.Has("Connection", "keep-alive")
	return nil
}

// ParseStatusLine reads the status line of an answer whose other lines are read one by one, by Line. n is 0 while it is not whole.
func ParseStatusLine(b []byte) (h *Head, n int, err error) {
	l, n, err := line(b)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	h = &Head{Length: -1}
	return h, n, h.statusLine(l)
}

// ParseLine reads the next line of a head. An empty one ends the head: end is set, and where its body ends is known. Fields for
// which drop says so are not kept, so that a head may have any number of them.
func (h *Head) ParseLine(b []byte, drop func(Header) bool) (f Header, n int, end bool, err error) {
	l, n, err := line(b)
	switch {
	case n == 0 || err != nil:
		return Header{}, 0, false, err
	case l == "":
		return Header{}, n, true, h.framing(false)
	case len(h.Headers) >= maxHeaders:
		return Header{}, 0, false, ErrTooLong
	}
	if err := h.field(l); err != nil {
		return Header{}, 0, false, err
	}
	f = h.Headers[len(h.Headers)-1]
	if drop(f) {
		h.Headers = h.Headers[:len(h.Headers)-1]
	}
	return f, n, false, nil
}

// line is the first line of b without its end; n is 0 while it is not whole.
func line(b []byte) (l string, n int, err error) {
	switch end := bytes.IndexByte(b, '\n'); {
	case end < 0 && len(b) > maxLine, end > maxLine:
		return "", 0, ErrTooLong
	case end < 0:
		return "", 0, nil
	case end == 0 || b[end-1] != '\r':
		return "", 0, syntax("a line ends without CR")
	default:
		return string(b[:end-1]), end + 1, nil
	}
}

// Body follows a body to its end, without taking it apart: a chunked one is passed on as it came.
type Body struct {
	left  int64 // of the length, or of the chunk
	state bodyState
	line  int // bytes of the line that is coming in
	size  []byte
	cr    bool
}

type bodyState uint8

const (
	bodyDone bodyState = iota
	bodyLength
	bodyOpen // up to the connection's end
	chunkHead
	chunkData
	chunkEnd
	trailer
)

// RequestBody follows a request's body.
func RequestBody(h *Head) Body {
	switch {
	case h.Chunked:
		return Body{state: chunkHead}
	case h.Length > 0:
		return Body{state: bodyLength, left: h.Length}
	}
	return Body{}
}

// AnswerBody follows the body of an answer to a request of that method.
func AnswerBody(h *Head, method string) Body {
	switch {
	case method == "HEAD" || h.Status < 200 || h.Status == 204 || h.Status == 304:
		return Body{}
	case h.Chunked:
		return Body{state: chunkHead}
	case h.Length >= 0:
		b := Body{state: bodyLength, left: h.Length}
		if h.Length == 0 {
			b.state = bodyDone
		}
		return b
	}
	return Body{state: bodyOpen}
}

// Done tells whether the body has ended.
func (b *Body) Done() bool { return b.state == bodyDone }

// Remaining is how much of a body of stated length is to come, -1 for one in chunks or up to the connection's end.
func (b *Body) Remaining() int64 {
	switch b.state {
	case bodyDone:
		return 0
	case bodyLength:
		return b.left
	}
	return -1
}

// EndsWithConnection tells whether the body ends with its connection.
func (b *Body) EndsWithConnection() bool { return b.state == bodyOpen }

// Next tells how many bytes of p are the body's; data, where it is not nil, is called with what they hold besides framing.
func (b *Body) Next(p []byte, data func([]byte)) (n int, err error) {
	for n < len(p) && b.state != bodyDone {
		switch b.state {
		case bodyOpen, bodyLength, chunkData:
			k := int64(len(p) - n)
			if b.state != bodyOpen {
				k = min(k, b.left)
				b.left -= k
			}
			if data != nil {
				data(p[n : n+int(k)])
			}
			n += int(k)
			if b.left == 0 && b.state == bodyLength {
				b.state = bodyDone
			} else if b.left == 0 && b.state == chunkData {
				b.state, b.cr = chunkEnd, false
			}
		default:
			if err := b.byte(p[n]); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

// byte takes one byte of a chunk's framing.
func (b *Body) byte(c byte) error {
	if b.line++; b.line > maxLine {
		return syntax("a line of a chunked body is too long")
	}
	if b.cr != (c == '\n') {
		return syntax("a line of a chunked body ends without CR LF")
	}
	if c == '\r' {
		b.cr = true
		return nil
	}
	switch b.state {
	case chunkEnd:
		if c != '\n' {
			return syntax("a chunk is longer than it says")
		}
		b.state, b.cr, b.line = chunkHead, false, 0
	case chunkHead:
		if c != '\n' {
			b.size = append(b.size, c)
			return nil
		}
		return b.chunk()
	case trailer:
		if c != '\n' {
			b.size = append(b.size, c)
			return nil
		}
		b.cr, b.line = false, 0
		if len(b.size) == 0 {
			b.state = bodyDone
			return nil
		}
		line := string(b.size)
		b.size = b.size[:0]
		return new(Head).field(line)
	}
	return nil
}

// chunk reads a chunk's head. Extensions are passed over.
func (b *Body) chunk() error {
	size, _, _ := strings.Cut(string(b.size), ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 41)
	if err != nil || size == "" || size[0] == '+' || n > maxChunk {
		return syntax("chunk head %.40q", b.size)
	}
	b.size, b.cr, b.line = b.size[:0], false, 0
	if b.state, b.left = chunkData, int64(n); n == 0 {
		b.state = trailer
	}
	return nil
}

// hop are the fields that are of one connection only.
var hop = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "upgrade"}

// AppendFields appends the fields that go on to the next connection, but for those named in lower case.
func (h *Head) AppendFields(dst []byte, but ...string) []byte {
	for i := range h.Headers {
		f := &h.Headers[i]
		name := strings.ToLower(f.Name)
		skip := h.Has("Connection", name)
		for _, s := range append(hop, but...) {
			skip = skip || s == name
		}
		if !skip {
			dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	return dst
}
