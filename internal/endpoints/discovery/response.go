package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a response, in bytes.
const (
	maxHeadBytes      = 16 << 10
	maxChunkHeadBytes = 1024 // of the line before a chunk
	maxListBytes      = 8 << 20
	maxRetainedBytes  = 1 << 16 // capacity up to which the buffer of an object is reused for the next one
)

const crlf = "\r\n"

var (
	errTooLong   = errors.New("exceeds its maximum length")
	errMalformed = errors.New("not a sequence of JSON objects")
)

// response parses an HTTP/1.1 response incrementally: a head, then a body that is chunked, has a stated length, or extends to the end
// of the connection. The body is a sequence of JSON objects, which may be indented.
type response struct {
	buffer    []byte // bytes read and not yet consumed
	status    int
	inBody    bool
	chunked   bool
	inChunk   bool
	remaining int // bytes left of this chunk or body; -1 for a body that extends to the end of the connection
	ended     bool

	object    []byte // the part of the current object that was received
	depth     int    // open brackets and braces in it
	inString  bool
	escaped   bool // the next byte of the string follows a backslash
	lineBlank bool // only white space since the last line break; see scanBody

	progressSteps int // number of steps: the head, and the beginning and end of each object
	lineBreaks    int // number of line breaks between objects
}

// feed parses bytes that were read, and calls onObject for each complete object. The object is valid only during the call.
func (r *response) feed(b []byte, onObject func(object []byte) error) error {
	r.buffer = append(r.buffer, b...)
	if !r.inBody {
		end := bytes.Index(r.buffer, []byte(crlf+crlf))
		if end < 0 {
			if len(r.buffer) > maxHeadBytes {
				return fmt.Errorf("response head %w", errTooLong)
			}
			return nil
		}
		if err := r.parseHead(string(r.buffer[:end])); err != nil {
			return err
		}
		r.buffer = r.buffer[end+len(crlf+crlf):]
		r.inBody = true
		r.progressSteps++
	}
	for !r.ended {
		n, err := r.consume(onObject)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		r.buffer = r.buffer[n:]
	}
	if len(r.buffer) == 0 {
		r.buffer = nil
	}
	return nil
}

func (r *response) parseHead(head string) error {
	lines := strings.Split(head, crlf)
	fields := strings.SplitN(lines[0], " ", 3)
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		return fmt.Errorf("malformed status line %q", lines[0])
	}
	var err error
	if r.status, err = strconv.Atoi(fields[1]); err != nil {
		return fmt.Errorf("malformed status code: %w", err)
	}
	r.remaining = -1
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			r.chunked = strings.EqualFold(value, "chunked")
		case "content-length":
			if r.remaining, err = strconv.Atoi(value); err != nil || r.remaining < 0 {
				return fmt.Errorf("malformed Content-Length %q", value)
			}
		}
	}
	return nil
}

// consume parses one piece of the body at the start of the buffer and returns its length, or 0 if more bytes are needed.
func (r *response) consume(onObject func([]byte) error) (int, error) {
	if r.chunked && !r.inChunk {
		return r.consumeChunkHead()
	}
	if r.chunked && r.remaining == 0 { // the line break after a chunk
		if len(r.buffer) < len(crlf) {
			return 0, nil
		}
		r.inChunk = false
		return len(crlf), nil
	}
	n := len(r.buffer)
	if r.remaining >= 0 {
		n = min(n, r.remaining)
		r.remaining -= n
	}
	err := r.scanBody(r.buffer[:n], onObject)
	if err == nil && !r.chunked && r.remaining == 0 {
		r.ended = true
		err = r.finishBody()
	}
	return n, err
}

func (r *response) consumeChunkHead() (int, error) {
	end := bytes.Index(r.buffer, []byte(crlf))
	if end < 0 {
		if len(r.buffer) > maxChunkHeadBytes {
			return 0, fmt.Errorf("chunk head %w", errTooLong)
		}
		return 0, nil
	}
	text, _, _ := strings.Cut(string(r.buffer[:end]), ";")
	size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil {
		return 0, fmt.Errorf("malformed chunk head: %w", err)
	}
	r.inChunk = true
	r.remaining = int(size)
	if size == 0 {
		r.ended = true
		err = r.finishBody()
	}
	return end + len(crlf), err
}

// scanBody scans a piece of the body for objects. Any white space is allowed between objects, such as the empty lines of a watch. An
// empty line within an object is an error, so that a truncated object is not merged with the next one.
func (r *response) scanBody(b []byte, onObject func([]byte) error) error {
	start := 0 // index in b of the current object's first byte
	for i := 0; i < len(b); {
		if r.inString {
			n, err := r.scanString(b[i:])
			if err != nil {
				return err
			}
			i += n
			continue
		}
		c := b[i]
		i++
		if r.depth == 0 && isSpace(c) {
			if c == '\n' {
				r.lineBreaks++
			}
			start = i
			continue
		}
		if r.depth > 0 && !significant[c] {
			r.lineBlank = false
			continue
		}
		complete, err := r.scanByte(c)
		if err != nil {
			return err
		}
		if !complete {
			continue
		}
		r.object = append(r.object, b[start:i]...)
		start = i
		r.progressSteps++
		if err := onObject(r.takeObject()); err != nil {
			return err
		}
	}
	r.object = append(r.object, b[start:]...)
	if len(r.object) > maxListBytes {
		return fmt.Errorf("list %w", errTooLong)
	}
	return nil
}

// significant marks the bytes that scanByte has to see within an object, outside its strings. Most bytes there are not among them.
var significant = [256]bool{'"': true, '{': true, '}': true, '[': true, ']': true, ' ': true, '\t': true, '\r': true, '\n': true}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// scanString scans b up to the end of a string, and returns how many bytes of b belong to the string.
func (r *response) scanString(b []byte) (n int, err error) {
	escaped := r.escaped
	for i, c := range b {
		switch {
		case c < ' ':
			return 0, fmt.Errorf("response body is %w", errMalformed)
		case escaped:
			escaped = false
		case c == '\\':
			escaped = true
		case c == '"':
			r.inString, r.escaped = false, false
			return i + 1, nil
		}
	}
	r.escaped = escaped
	return len(b), nil
}

// scanByte scans a byte of an object outside its strings, and reports whether it completes the object.
func (r *response) scanByte(c byte) (complete bool, err error) {
	if r.depth == 0 && c != '{' {
		return false, fmt.Errorf("response body is %w", errMalformed)
	}
	switch c {
	case '\n':
		if r.lineBlank {
			return false, fmt.Errorf("response body is %w", errMalformed)
		}
		r.lineBlank = true
		return false, nil
	case ' ', '\t', '\r':
		return false, nil
	case '"':
		r.inString = true
	case '{', '[':
		if r.depth == 0 {
			r.progressSteps++
		}
		r.depth++
	case '}', ']':
		r.depth--
	}
	r.lineBlank = false
	return r.depth == 0, nil
}

// takeObject returns the complete object, and reuses its buffer for the next one unless the buffer is large.
func (r *response) takeObject() []byte {
	object := r.object
	r.object = r.object[:0]
	if cap(object) > maxRetainedBytes {
		r.object = nil
	}
	return object
}

// objectOpen reports whether an object has begun and is not yet complete.
func (r *response) objectOpen() bool { return r.depth > 0 }

// finishBody checks at the end of the body that its last object is complete.
func (r *response) finishBody() error {
	if r.objectOpen() {
		return fmt.Errorf("response body is %w", errMalformed)
	}
	return nil
}
