package pgwire

import (
	"encoding/binary"
	"fmt"
)

const (
	maxIdleBuffer      = 1 << 14 // bytes of a buffer that is kept after all its messages were returned
	ownedMessageBytes  = 1 << 17 // bytes; a longer message takes over the buffer, even if other bytes follow it there
	compactAfter       = 1 << 12 // bytes returned before the buffer is compacted
	retainedPart       = 4       // Retain keeps up to one part in retainedPart more than is needed...
	retainedBytes      = 1 << 9  // ...and so many bytes
	maxStreamedMessage = 1 << 30 // bytes of a message that is returned in parts; the bound of PostgreSQL itself
)

// Message is one message, or a part of one. Body and Raw are valid until the Reader is fed again.
type Message struct {
	Type  byte
	Body  []byte
	Raw   []byte // with type and length
	More  bool   // the message continues in the next Message, which has Part set; Body is not set
	Part  bool   // Raw continues an earlier message
	Owned bool   // the Reader no longer uses the bytes of Body and Raw: they stay valid
}

// Reader cuts a stream of bytes into messages.
type Reader struct {
	buffer    []byte
	offset    int  // of the first byte that was not returned
	borrowed  bool // the buffer belongs to the caller of Borrow
	maxLength int

	streamThreshold int    // rows and data of a COPY of more bytes are returned in parts, 0 for never
	remaining       uint32 // bytes not yet returned of the message that is returned in parts
	partialType     byte   // type of that message
}

// NewReader returns a reader for messages of at most maxLength bytes.
func NewReader(maxLength int) Reader { return Reader{maxLength: maxLength} }

// Stream makes Next return DataRow and CopyData messages of more than threshold bytes in parts, as they arrive. 0 turns this off.
func (r *Reader) Stream(threshold int) { r.streamThreshold = threshold }

// InPartialMessage reports whether the next bytes continue a message of which a part was returned.
func (r *Reader) InPartialMessage() bool { return r.remaining > 0 }

// Borrow adds bytes that were received, without a copy where no others wait. The caller must not change b before it calls Retain.
func (r *Reader) Borrow(b []byte) {
	if r.Pending() > 0 {
		r.Feed(b)
		return
	}
	r.buffer = b[:len(b):len(b)]
	r.offset = 0
	r.borrowed = true
}

// Retain ends Borrow: it copies the bytes that were not returned, and releases capacity that they do not need. A buffer of up to reserved bytes
// is kept for the rest of a message.
func (r *Reader) Retain(reserved int) {
	pending := r.Pending()
	needed := max(pending, reserved)
	excess := cap(r.buffer) > needed+needed/retainedPart+retainedBytes
	switch {
	case pending == 0 && reserved == 0:
		r.buffer = nil
	case r.borrowed || excess:
		r.buffer = append(make([]byte, 0, needed), r.buffer[r.offset:]...)
	default:
		return
	}
	r.offset = 0
	r.borrowed = false
}

// Feed adds bytes that were received. It copies b.
func (r *Reader) Feed(b []byte) {
	if r.borrowed {
		r.Retain(0)
	}
	if r.offset == len(r.buffer) {
		r.buffer = r.buffer[:0]
		r.offset = 0
	} else if r.offset > compactAfter && r.offset > len(r.buffer)/2 {
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.offset:])]
		r.offset = 0
	}
	r.buffer = append(r.buffer, b...)
}

// Pending returns the number of bytes fed and not yet returned.
func (r *Reader) Pending() int { return len(r.buffer) - r.offset }

// Allocated returns the number of bytes that the Reader's buffer takes.
func (r *Reader) Allocated() int {
	if r.borrowed {
		return 0
	}
	return cap(r.buffer)
}

// NextLength returns the length of the next message in bytes, with its type, and 0 while it is not known.
func (r *Reader) NextLength() int {
	if b := r.buffer[r.offset:]; len(b) >= headBytes {
		return MessageBytes(b)
	}
	return 0
}

// MessageBytes returns the length in bytes, with the type, of the message that begins with b. b has at least the type and the length.
func MessageBytes(b []byte) int { return int(binary.BigEndian.Uint32(b[typeBytes:])) + typeBytes }

// Grow reserves capacity for a message of n bytes, so that it is not copied while it arrives.
func (r *Reader) Grow(n int) {
	if r.borrowed || cap(r.buffer)-r.offset < n {
		r.buffer = append(make([]byte, 0, max(n, r.Pending())), r.buffer[r.offset:]...)
		r.offset = 0
		r.borrowed = false
	}
}

// Type returns the type of the next message, which its first byte shows, and false if there is none.
func (r *Reader) Type() (typ byte, ok bool) {
	if r.offset == len(r.buffer) {
		return 0, false
	}
	return r.buffer[r.offset], true
}

// Reset discards all bytes that were fed and not returned.
func (r *Reader) Reset() {
	r.buffer = nil
	r.offset = 0
	r.borrowed = false
}

// Next returns the next message, and false if it is not complete yet.
func (r *Reader) Next() (Message, bool, error) {
	if r.remaining > 0 {
		return r.nextPart()
	}
	b := r.buffer[r.offset:]
	if len(b) < headBytes {
		return Message{}, false, nil
	}
	n := binary.BigEndian.Uint32(b[typeBytes:])
	if r.isStreamed(b[0], n) && len(b) < int(n)+typeBytes {
		r.offset = len(r.buffer)
		r.remaining = n + typeBytes - uint32(len(b))
		r.partialType = b[0]
		return Message{Type: b[0], Raw: b, More: true}, true, nil
	}
	if n < lengthBytes || int64(n) > int64(r.maxLength) {
		return Message{}, false, fmt.Errorf("%w: type %q with length %d", ErrMalformed, b[0], n)
	}
	if len(b) < int(n)+typeBytes {
		return Message{}, false, nil
	}
	r.offset += int(n) + typeBytes
	last := r.offset == len(r.buffer) && cap(r.buffer) > maxIdleBuffer
	owned := !r.borrowed && (last || n > ownedMessageBytes)
	if owned { // the message keeps the old buffer; the Reader goes on with a new one
		r.buffer = append([]byte(nil), r.buffer[r.offset:]...)
		r.offset = 0
	}
	return Message{Type: b[0], Body: b[headBytes : n+typeBytes], Raw: b[:n+typeBytes], Owned: owned}, true, nil
}

// nextPart returns the bytes that have arrived of a message that is returned in parts.
func (r *Reader) nextPart() (Message, bool, error) {
	b := r.buffer[r.offset:]
	n := min(len(b), int(r.remaining))
	r.offset += n
	r.remaining -= uint32(n)
	return Message{Type: r.partialType, Raw: b[:n], Part: true, More: r.remaining > 0}, n > 0, nil
}

// isStreamed reports whether a message with this type and length is returned in parts.
func (r *Reader) isStreamed(typ byte, length uint32) bool {
	if r.streamThreshold == 0 || typ != DataRow && typ != CopyData {
		return false
	}
	return int64(length) > int64(r.streamThreshold) && length < maxStreamedMessage
}
