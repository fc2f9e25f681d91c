package httpwire

import (
	"slices"
	"strconv"
	"strings"
)

const (
	maxChunk  = 1 << 40 // bytes
	chunkBits = 41      // bits in which the size of a chunk is parsed; maxChunk needs 41
)

// The method and the status codes that decide whether an answer has a body.
const (
	methodHead        = "HEAD"
	statusOK          = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// Body tracks the framing of a message body in order to find its end. It does not re-encode the body: a chunked one is forwarded as it
// was received.
type Body struct {
	remaining int64 // bytes of the stated length, or of the chunk
	state     bodyState
	lineBytes int    // of the framing line that is being received, such as the head of a chunk
	lineText  []byte // of that line, without its end
	afterCR   bool
}

type bodyState uint8

const (
	bodyDone bodyState = iota
	bodyLength
	bodyToEnd // of the connection
	chunkHead
	chunkData
	chunkEnd
	trailer
)

// RequestBody returns the Body that tracks the body of a request.
func RequestBody(h *Head) Body {
	switch {
	case h.Chunked:
		return Body{state: chunkHead}
	case h.Length > 0:
		return Body{state: bodyLength, remaining: h.Length}
	}
	return Body{}
}

// AnswerBody returns the Body that tracks the body of an answer to a request with this method.
func AnswerBody(h *Head, method string) Body {
	switch {
	case method == methodHead || hasNoBody(h.Status) || h.Length == 0 && !h.Chunked:
		return Body{}
	case h.Chunked:
		return Body{state: chunkHead}
	case h.Length > 0:
		return Body{state: bodyLength, remaining: h.Length}
	}
	return Body{state: bodyToEnd}
}

// hasNoBody reports whether answers with a status have no body.
func hasNoBody(status int) bool {
	return status < statusOK || status == statusNoContent || status == statusNotModified
}

// Done reports whether the body has ended.
func (b *Body) Done() bool { return b.state == bodyDone }

// Remaining returns how many bytes of the body are still expected, -1 for a chunked body or one that ends with its connection.
func (b *Body) Remaining() int64 {
	switch b.state {
	case bodyDone:
		return 0
	case bodyLength:
		return b.remaining
	}
	return -1
}

// EndsWithConnection reports whether the body ends with its connection.
func (b *Body) EndsWithConnection() bool { return b.state == bodyToEnd }

// Next returns how many bytes of p belong to the body. If data is not nil, it is called with their content, without framing.
func (b *Body) Next(p []byte, data func([]byte)) (n int, err error) {
	for n < len(p) && b.state != bodyDone {
		switch b.state {
		case bodyToEnd, bodyLength, chunkData:
			content := b.takeContent(p[n:])
			if data != nil {
				data(content)
			}
			n += len(content)
		default:
			if err := b.readFramingByte(p[n]); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

// takeContent returns the start of p that is content. After the last byte of the body or of the chunk it changes the state.
func (b *Body) takeContent(p []byte) []byte {
	if b.state == bodyToEnd {
		return p
	}
	n := min(int64(len(p)), b.remaining)
	b.remaining -= n
	if b.remaining == 0 {
		if b.state == bodyLength {
			b.state = bodyDone
		} else {
			b.state = chunkEnd
			b.afterCR = false
		}
	}
	return p[:n]
}

// readFramingByte reads one byte of a chunk's framing.
func (b *Body) readFramingByte(c byte) error {
	b.lineBytes++
	if b.lineBytes > maxLine {
		return syntaxError("a line of a chunked body is too long")
	}
	if b.afterCR != (c == '\n') {
		return syntaxError("a line of a chunked body ends without CR LF")
	}
	if c == '\r' {
		b.afterCR = true
		return nil
	}
	if c != '\n' {
		if b.state == chunkEnd {
			return syntaxError("a chunk is longer than it says")
		}
		b.lineText = append(b.lineText, c)
		return nil
	}
	b.afterCR = false
	b.lineBytes = 0
	switch b.state {
	case chunkEnd:
		b.state = chunkHead
	case chunkHead:
		return b.readChunkHead()
	case trailer:
		return b.readTrailer()
	}
	return nil
}

// readChunkHead reads the complete head of a chunk. Extensions are ignored.
func (b *Body) readChunkHead() error {
	size, _, _ := strings.Cut(string(b.lineText), ";")
	size = strings.TrimRight(size, fieldSpace)
	n, err := strconv.ParseUint(size, 16, chunkBits)
	if err != nil || size == "" || size[0] == '+' || n > maxChunk {
		return syntaxError("chunk head %.40q", b.lineText)
	}
	b.lineText = b.lineText[:0]
	b.remaining = int64(n)
	b.state = chunkData
	if n == 0 {
		b.state = trailer
	}
	return nil
}

// readTrailer checks a complete line of the trailer. An empty one ends the body.
func (b *Body) readTrailer() error {
	if len(b.lineText) == 0 {
		b.state = bodyDone
		return nil
	}
	line := string(b.lineText)
	b.lineText = b.lineText[:0]
	parsed := new(Head)
	if err := parsed.parseField(line); err != nil {
		return err
	}
	if name := strings.ToLower(parsed.Headers[0].Name); slices.Contains(framingFields, name) {
		return syntaxError("field %s in a trailer", name)
	}
	return nil
}
