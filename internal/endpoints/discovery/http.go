package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHead = 16 << 10
	maxList = 8 << 20 // bytes of a whole list

	keepList = 1 << 16 // of a buffer, from one list to the next
)

var (
	errTooLong = errors.New("too long")
	errBroken  = errors.New("not one JSON object after another")
)

// reply reads an HTTP/1.1 response as it comes in: a head, then a body that is chunked, of a stated
// length, or up to the connection's end. Its body is told in whole JSON objects, however they are laid out: lists may come indented.
type reply struct {
	buf     []byte
	status  int
	inBody  bool
	chunked bool
	left    int // bytes of this chunk or body that are still to come, -1 for up to the end
	inChunk bool
	ended   bool

	object []byte // that is coming in
	depth  int    // of brackets in it that are open
	quoted bool   // a string is open in it
	escape bool   // the next byte of that stands for itself
	blank  bool   // nothing since the last line's end: inside an object, the one before it broke off

	steps int // the head, and the begin and the end of each object, that have come
	lines int // line ends between objects
}

// feed takes what was read and calls f for each object of the body that is complete.
func (r *reply) feed(b []byte, f func(object []byte) error) error {
	r.buf = append(r.buf, b...)
	if !r.inBody {
		i := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.buf) > maxHead {
				return fmt.Errorf("head: %w", errTooLong)
			}
			return nil
		}
		if err := r.head(string(r.buf[:i])); err != nil {
			return err
		}
		r.buf, r.inBody = r.buf[i+4:], true
		r.steps++
	}
	for !r.ended {
		n, err := r.step(f)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		r.buf = r.buf[n:]
	}
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return nil
}

func (r *reply) head(head string) error {
	lines := strings.Split(head, "\r\n")
	part := strings.SplitN(lines[0], " ", 3)
	if len(part) < 2 || !strings.HasPrefix(part[0], "HTTP/1.") {
		return fmt.Errorf("status line %q", lines[0])
	}
	var err error
	if r.status, err = strconv.Atoi(part[1]); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	r.left = -1
	for _, l := range lines[1:] {
		name, val, _ := strings.Cut(l, ":")
		val = strings.TrimSpace(val)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			r.chunked = strings.EqualFold(val, "chunked")
		case "content-length":
			if r.left, err = strconv.Atoi(val); err != nil || r.left < 0 {
				return fmt.Errorf("content length %q", val)
			}
		}
	}
	return nil
}

// step takes one piece of the body and returns how many bytes it used, 0 if it needs more.
func (r *reply) step(f func([]byte) error) (int, error) {
	if r.chunked && !r.inChunk {
		i := bytes.Index(r.buf, []byte("\r\n"))
		if i < 0 {
			if len(r.buf) > 1024 {
				return 0, fmt.Errorf("chunk head: %w", errTooLong)
			}
			return 0, nil
		}
		size, _, _ := strings.Cut(string(r.buf[:i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return 0, fmt.Errorf("chunk head: %w", err)
		}
		r.inChunk, r.left = true, int(n)
		if n == 0 {
			r.ended = true
			return i + 2, r.end()
		}
		return i + 2, nil
	}
	if r.chunked && r.left == 0 { // the line end behind a chunk
		if len(r.buf) < 2 {
			return 0, nil
		}
		r.inChunk = false
		return 2, nil
	}
	n := len(r.buf)
	if r.left >= 0 {
		n = min(n, r.left)
		r.left -= n
	}
	err := r.body(r.buf[:n], f)
	if err == nil && !r.chunked && r.left == 0 {
		r.ended = true
		err = r.end()
	}
	return n, err
}

// body takes a piece of the body. Between objects there may be any white space, an empty line as a sign of life above all; within
// one there is no empty line, so what broke off does not swallow what comes after it.
func (r *reply) body(b []byte, f func([]byte) error) error {
	from := 0
	for i, c := range b {
		switch {
		case r.quoted:
			switch {
			case c < ' ':
				return fmt.Errorf("list: %w", errBroken)
			case r.escape:
				r.escape = false
			case c == '\\':
				r.escape = true
			case c == '"':
				r.quoted = false
			}
			continue
		case r.depth == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
			if c == '\n' {
				r.lines++
			}
			from = i + 1
			continue
		case r.depth == 0 && c != '{':
			return fmt.Errorf("list: %w", errBroken)
		}
		switch c {
		case '\n':
			if r.blank {
				return fmt.Errorf("list: %w", errBroken)
			}
			r.blank = true
			continue
		case '\r', ' ', '\t':
			continue
		case '"':
			r.quoted = true
		case '{', '[':
			if r.depth == 0 {
				r.steps++
			}
			r.depth++
		case '}', ']':
			r.depth--
		}
		if r.blank = false; r.depth > 0 {
			continue
		}
		r.object = append(r.object, b[from:i+1]...)
		from = i + 1
		r.steps++
		object := r.object
		if r.object = r.object[:0]; cap(object) > keepList {
			r.object = nil
		}
		if err := f(object); err != nil {
			return err
		}
	}
	if r.object = append(r.object, b[from:]...); len(r.object) > maxList {
		return fmt.Errorf("list: %w", errTooLong)
	}
	return nil
}

// begun tells whether an object has begun and is not whole.
func (r *reply) begun() bool { return r.depth > 0 }

// end ends the body.
func (r *reply) end() error {
	if r.begun() {
		return fmt.Errorf("list: %w", errBroken)
	}
	return nil
}
