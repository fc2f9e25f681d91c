package encoding

import "encoding/binary"

// Reader reads integers from bytes. It fails at a value that is missing or above its bound, and returns zeros from then on.
type Reader struct {
	b      []byte
	failed bool
}

// NewReader returns a Reader of b. It does not modify b.
func NewReader(b []byte) Reader { return Reader{b: b} }

// OK reports whether the Reader has not failed.
func (r *Reader) OK() bool { return !r.failed }

// More reports whether the Reader has not failed and has bytes left.
func (r *Reader) More() bool { return !r.failed && len(r.b) > 0 }

// AtEnd reports whether the Reader has not failed and has read all bytes.
func (r *Reader) AtEnd() bool { return !r.failed && len(r.b) == 0 }

// Require makes the Reader fail unless condition holds.
func (r *Reader) Require(condition bool) { r.failed = r.failed || !condition }

// Take returns the next n bytes, which alias the Reader's bytes, or nil if the Reader fails.
func (r *Reader) Take(n int) []byte {
	if r.failed || n < 0 || len(r.b) < n {
		r.failed = true
		return nil
	}
	taken := r.b[:n:n]
	r.b = r.b[n:]
	return taken
}

// Byte reads a byte.
func (r *Reader) Byte() byte {
	if b := r.Take(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint16 reads a big-endian integer of 2 bytes.
func (r *Reader) Uint16() uint16 {
	if b := r.Take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

// Uint32 reads a big-endian integer of 4 bytes.
func (r *Reader) Uint32() uint32 {
	if b := r.Take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads a big-endian integer of 8 bytes.
func (r *Reader) Uint64() uint64 {
	if b := r.Take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// Uvarint reads a varint.
func (r *Reader) Uvarint() uint64 {
	value, n := binary.Uvarint(r.b)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return value
}

// UvarintMax reads a varint. The Reader fails if it is above limit.
func (r *Reader) UvarintMax(limit uint64) uint64 {
	value := r.Uvarint()
	if value > limit {
		r.failed = true
		return 0
	}
	return value
}

// ByteMax reads a byte, such as a count of elements. The Reader fails if it is above limit.
func (r *Reader) ByteMax(limit int) int {
	value := int(r.Byte())
	if value > limit {
		r.failed = true
		return 0
	}
	return value
}
