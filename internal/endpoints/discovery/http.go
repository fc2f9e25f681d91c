package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHeadBytes = 16 << 10
	maxListBytes = 8 << 20 // bytes of a whole list

	maxRetainedBytes = 1 << 16 // of a buffer, from one list to the next
)

var (
	errTooLong   = errors.New("too long")
	errMalformed = errors.New("not one JSON object after another")
)

// response reads an HTTP/1.1 response as it comes in: a head, then a body that is chunked, of a stated
// length, or up to the connection's end. Its body is told in whole JSON objects, however they are laid out: lists may come indented.
type response struct {
	buffer    []byte
	status    int
	inBody    bool
	chunked   bool
	remaining int // bytes of this chunk or body that are still to come, -1 for up to the end
	inChunk   bool
	ended     bool

	object    []byte // that is coming in
	depth     int    // of brackets in it that are open
	inString  bool   // a string is open in it
	escaped   bool   // the next byte of that stands for itself
	lineBlank bool   // nothing since the last line's end: inside an object, the one before it broke off

	steps      int // the head, and the begin and the end of each object, that have come
	lineBreaks int // line ends between objects
}

// feed takes what was read and calls f for each object of the body that is complete.
func (r *response) feed(b []byte, onObject func(object []byte) error) error {
	r.buffer = append(r.buffer, b...)
	if !r.inBody {
		i := bytes.Index(r.buffer, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.buffer) > maxHeadBytes {
				return fmt.Errorf("head: %w", errTooLong)
			}
			return nil
		}
		if err := r.parseHead(string(r.buffer[:i])); err != nil {
			return err
		}
		r.buffer, r.inBody = r.buffer[i+4:], true
		r.steps++
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
	lines := strings.Split(head, "\r\n")
	fields := strings.SplitN(lines[0], " ", 3)
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		return fmt.Errorf("status line %q", lines[0])
	}
	var err error
	if r.status, err = strconv.Atoi(fields[1]); err != nil {
		return fmt.Errorf("status: %w", err)
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
				return fmt.Errorf("content length %q", value)
			}
		}
	}
	return nil
}

// consume takes one piece of the body and returns how many bytes it used, 0 if it needs more.
func (r *response) consume(onObject func([]byte) error) (int, error) {
	if r.chunked && !r.inChunk {
		i := bytes.Index(r.buffer, []byte("\r\n"))
		if i < 0 {
			if len(r.buffer) > 1024 {
				return 0, fmt.Errorf("chunk head: %w", errTooLong)
			}
			return 0, nil
		}
		size, _, _ := strings.Cut(string(r.buffer[:i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return 0, fmt.Errorf("chunk head: %w", err)
		}
		r.inChunk, r.remaining = true, int(n)
		if n == 0 {
			r.ended = true
			return i + 2, r.finishBody()
		}
		return i + 2, nil
	}
	if r.chunked && r.remaining == 0 { // the line end behind a chunk
		if len(r.buffer) < 2 {
			return 0, nil
		}
		r.inChunk = false
		return 2, nil
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

// scanBody takes a piece of the body. Between objects there may be any white space, an empty line as a sign of life above all; within
// one there is no empty line, so what broke off does not swallow what comes after it.
func (r *response) scanBody(b []byte, onObject func([]byte) error) error {
	from := 0
	for i, c := range b {
		switch {
		case r.inString:
			switch {
			case c < ' ':
				return fmt.Errorf("list: %w", errMalformed)
			case r.escaped:
				r.escaped = false
			case c == '\\':
				r.escaped = true
			case c == '"':
				r.inString = false
			}
			continue
		case r.depth == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
			if c == '\n' {
				r.lineBreaks++
			}
			from = i + 1
			continue
		case r.depth == 0 && c != '{':
			return fmt.Errorf("list: %w", errMalformed)
		}
		switch c {
		case '\n':
			if r.lineBlank {
				return fmt.Errorf("list: %w", errMalformed)
			}
			r.lineBlank = true
			continue
		case '\r', ' ', '\t':
			continue
		case '"':
			r.inString = true
		case '{', '[':
			if r.depth == 0 {
				r.steps++
			}
			r.depth++
		case '}', ']':
			r.depth--
		}
		if r.lineBlank = false; r.depth > 0 {
			continue
		}
		r.object = append(r.object, b[from:i+1]...)
		from = i + 1
		r.steps++
		object := r.object
		if r.object = r.object[:0]; cap(object) > maxRetainedBytes {
			r.object = nil
		}
		if err := onObject(object); err != nil {
			return err
		}
	}
	if r.object = append(r.object, b[from:]...); len(r.object) > maxListBytes {
		return fmt.Errorf("list: %w", errTooLong)
	}
	return nil
}

// objectOpen tells whether an object has begun and is not whole.
func (r *response) objectOpen() bool { return r.depth > 0 }

// finishBody ends the body.
func (r *response) finishBody() error {
	if r.objectOpen() {
		return fmt.Errorf("list: %w", errMalformed)
	}
	return nil
}
