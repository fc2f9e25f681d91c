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
	maxLine = 8 << 20 // the whole list on one line

	keepLine = 1 << 16 // of a buffer, from one line to the next
)

var errTooLong = errors.New("too long")

// reply reads an HTTP/1.1 response as it comes in: a head, then a body that is chunked, of a stated
// length, or up to the connection's end. Its body is told in whole lines.
type reply struct {
	buf     []byte
	status  int
	inBody  bool
	chunked bool
	left    int // bytes of this chunk or body that are still to come, -1 for up to the end
	inChunk bool
	line    []byte
	ended   bool
}

// feed takes what was read and calls f for each line of the body that is complete.
func (r *reply) feed(b []byte, f func(line []byte) error) error {
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
			return i + 2, r.flush(f)
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
		err = r.flush(f)
	}
	return n, err
}

func (r *reply) body(b []byte, f func([]byte) error) error {
	for len(b) > 0 {
		part, rest, whole := bytes.Cut(b, []byte{'\n'})
		r.line = append(r.line, part...)
		if len(r.line) > maxLine {
			return fmt.Errorf("line: %w", errTooLong)
		}
		b = rest
		if whole {
			if err := r.flush(f); err != nil {
				return err
			}
		}
	}
	return nil
}

// flush tells the line gathered so far; an empty one is only a sign of life.
func (r *reply) flush(f func([]byte) error) error {
	line := bytes.TrimSpace(r.line)
	if r.line = r.line[:0]; cap(line) > keepLine {
		r.line = nil
	}
	if len(line) == 0 {
		return nil
	}
	return f(line)
}
