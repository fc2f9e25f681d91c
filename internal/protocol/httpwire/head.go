// Package httpwire reads HTTP/1.1 messages for the event loop: heads, and where bodies end. It does no I/O. It rejects ambiguous messages,
// which a server behind the pooler might interpret as other messages (request smuggling). Where the body of a forwarded message ends is stated from
// what was parsed (AppendFraming), never by the fields as received. A head is at most MaxHead bytes, with at most
// maxHeaders fields; a body is never buffered.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxHead is the maximum size of a head, in bytes.
const MaxHead = 64 << 10

const (
	maxHeaders  = 128
	maxLine     = 4 << 10 // bytes of a line that is parsed on its own: the head of a chunk, a trailer, a line of ParseLine
	headEnd     = "\r\n\r\n"
	lineEnd     = "\r\n"
	fieldSpace  = " \t"
	firstStatus = 100
	lastStatus  = 599
)

// Errors about messages that cannot be parsed. Their texts are sent to clients.
var (
	// ErrSyntax is wrapped by errors about an invalid message. A frontend answers 400.
	ErrSyntax = errors.New("this is not HTTP as it should be")
	// ErrTooLong reports a head or a line that exceeds a limit. A frontend answers 431.
	ErrTooLong = errors.New("the head is too long")
	// ErrUnsupported is wrapped by errors about a transfer coding other than chunked. A frontend answers 501.
	ErrUnsupported = errors.New("this transfer coding is not known here")
)

func syntaxError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrSyntax, fmt.Sprintf(format, args...))
}

// Header is a field of a head.
type Header struct{ Name, Value string }

// Head is the start line and the fields of a message. A request has Method and Target, an answer has Status and Reason.
type Head struct {
	Method, Target string
	Status         int
	Reason         string
	Minor          int // the x of HTTP/1.x
	Headers        []Header

	Length  int64 // of the body, -1 if none is stated
	Chunked bool
	Close   bool // the connection ends after this message
}

// Get returns the value of the first field with this name, which is compared without regard to case. It is empty if there is none.
func (h *Head) Get(name string) string {
	for i := range h.Headers {
		if strings.EqualFold(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return ""
}

// Has reports whether a field whose value is a list contains the token, without regard to case.
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

// Parse parses a head at the start of b, and returns its length n in bytes, which is 0 while the head is not complete.
func Parse(b []byte, request bool) (h *Head, n int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if hasBareLF(b, end) {
		return nil, 0, syntaxError("a line ends without CR")
	}
	switch {
	case end > MaxHead, end < 0 && len(b) > MaxHead, hasTooManyLines(b, end):
		return nil, 0, ErrTooLong
	case end < 0:
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), lineEnd)
	h = &Head{Length: -1}
	if request {
		err = h.parseRequestLine(lines[0])
	} else {
		err = h.parseStatusLine(lines[0])
	}
	if err != nil {
		return nil, 0, err
	}
	for _, line := range lines[1:] {
		if err := h.parseField(line); err != nil {
			return nil, 0, err
		}
	}
	if err := h.parseFraming(request); err != nil {
		return nil, 0, err
	}
	return h, end + len(headEnd), nil
}

// hasTooManyLines reports whether a head has more fields than allowed. While its end is unknown, end is -1 and the last line may still be
// the empty one that ends it.
func hasTooManyLines(b []byte, end int) bool {
	most := maxHeaders + 1
	if end >= 0 {
		b = b[:end]
		most = maxHeaders
	}
	return bytes.Count(b, []byte(lineEnd)) > most
}

// hasBareLF reports whether the first LF of b has no CR before it. An LF after the end of the head is not considered; end is -1 while
// the end is unknown.
func hasBareLF(b []byte, end int) bool {
	at := bytes.IndexByte(b, '\n')
	if at < 0 || end >= 0 && at >= end {
		return false
	}
	return at == 0 || b[at-1] != '\r'
}

// ParseStatusLine reads the status line of an answer whose other lines are read one by one, by ParseLine. n is 0 while the line is not
// complete.
func ParseStatusLine(b []byte) (h *Head, n int, err error) {
	line, n, err := cutLine(b)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	h = &Head{Length: -1}
	return h, n, h.parseStatusLine(line)
}

// ParseLine reads the next line of a head. n is 0 while the line is not complete. An empty line ends the head: end is true, and the framing
// of the body is known. Fields for which drop returns true are returned but not stored, so that they do not count towards the limit of
// fields.
func (h *Head) ParseLine(b []byte, drop func(Header) bool) (field Header, n int, end bool, err error) {
	line, n, err := cutLine(b)
	switch {
	case n == 0 || err != nil:
		return Header{}, 0, false, err
	case line == "":
		return Header{}, n, true, h.parseFraming(false)
	case len(h.Headers) >= maxHeaders:
		return Header{}, 0, false, ErrTooLong
	}
	if err := h.parseField(line); err != nil {
		return Header{}, 0, false, err
	}
	field = h.Headers[len(h.Headers)-1]
	if drop(field) {
		h.Headers = h.Headers[:len(h.Headers)-1]
	}
	return field, n, false, nil
}

// cutLine returns the first line of b without CR LF, and its length n with them; n is 0 while the line is not complete.
func cutLine(b []byte) (line string, n int, err error) {
	switch end := bytes.IndexByte(b, '\n'); {
	case end < 0 && len(b) > maxLine, end > maxLine:
		return "", 0, ErrTooLong
	case end < 0:
		return "", 0, nil
	case end == 0 || b[end-1] != '\r':
		return "", 0, syntaxError("a line ends without CR")
	default:
		return string(b[:end-1]), end + 1, nil
	}
}

func (h *Head) parseVersion(text string) error {
	switch text {
	case "HTTP/1.1":
		h.Minor = 1
	case "HTTP/1.0":
	default:
		return syntaxError("version %.20q", text)
	}
	return nil
}

func (h *Head) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return syntaxError("request line %.60q", line)
	}
	method, target := parts[0], parts[1]
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f {
			return syntaxError("byte %#02x in a target", c)
		}
	}
	h.Method = method
	h.Target = target
	return h.parseVersion(parts[2])
}

func (h *Head) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || !isFieldValue(reason) {
		return syntaxError("status line %.60q", line)
	}
	if status < firstStatus || status > lastStatus {
		return syntaxError("status line %.60q", line)
	}
	h.Status = status
	h.Reason = reason
	return h.parseVersion(version)
}

// isToken reports whether s is a token as HTTP defines it, such as the name of a method or a field.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isFieldValue reports whether s contains no control character except tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (h *Head) parseField(line string) error {
	if line != "" && (line[0] == ' ' || line[0] == '\t') {
		return syntaxError("a field goes on in the next line")
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return syntaxError("field %.60q", line)
	}
	value = strings.Trim(value, fieldSpace)
	if !isFieldValue(value) {
		return syntaxError("a control character in field %s", name)
	}
	h.Headers = append(h.Headers, Header{name, value})
	return nil
}

// parseFraming determines where the body ends, and rejects fields that contradict each other.
func (h *Head) parseFraming(request bool) error {
	hosts, codings := 0, 0
	for i := range h.Headers {
		switch field := &h.Headers[i]; strings.ToLower(field.Name) {
		case fieldContentLength:
			n, err := strconv.ParseUint(field.Value, 10, 62) // only digits
			if err != nil || h.Length >= 0 {
				return syntaxError("content length %.40q, or a second one", field.Value)
			}
			h.Length = int64(n)
		case fieldTransferEncoding:
			codings++
			if codings > 1 || !strings.EqualFold(field.Value, "chunked") {
				return fmt.Errorf("%w: %.40q", ErrUnsupported, field.Value)
			}
			h.Chunked = true
		case fieldHost:
			hosts++
		}
	}
	switch {
	case h.Chunked && (h.Length >= 0 || h.Minor == 0):
		return syntaxError("a length beside chunks, or chunks in HTTP/1.0")
	case request && (hosts > 1 || hosts == 0 && h.Minor == 1):
		return syntaxError("%d fields Host", hosts)
	}
	h.Close = h.Has("Connection", "close") || h.Minor == 0 && !h.Has("Connection", "keep-alive")
	return h.dropConnectionOptions()
}
