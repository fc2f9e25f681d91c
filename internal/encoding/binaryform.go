// Package encoding has what the binary forms of the program share: the reading and writing of a protobuf message's fields, and a
// Reader of plain numbers. What a field or number means, and its bounds, are of the package whose form it is.
package encoding

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one field of a protobuf message.
type Field struct {
	Number protowire.Number
	Type   protowire.Type
	Value  uint64 // of a varint or a fixed64, else 0
	Bytes  []byte // of bytes, else nil; they are the message's own
}

// HasValue tells whether it is of a type that a Field has a place for.
func (f *Field) HasValue() bool {
	return f.Type == protowire.VarintType || f.Type == protowire.Fixed64Type || f.Type == protowire.BytesType
}

// Fields calls take for each field of a message, and ends with its first error. Bytes that are no message end it with what fault makes
// of the reason; fields before these were taken. A field of a type that a Field has no place for is taken without a value.
func Fields(b []byte, fault func(why error) error, take func(f Field) error) error {
	for len(b) > 0 {
		f, n := Field{}, 0
		if f.Number, f.Type, n = protowire.ConsumeTag(b); n < 0 {
			return fault(protowire.ParseError(n))
		}
		b = b[n:]
		switch f.Type {
		case protowire.VarintType:
			f.Value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.Value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.Bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(f.Number, f.Type, b)
		}
		if n < 0 {
			return fault(protowire.ParseError(n))
		}
		b = b[n:]
		if err := take(f); err != nil {
			return err
		}
	}
	return nil
}

// AppendUintField appends a field that is a varint.
func AppendUintField(b []byte, num protowire.Number, x uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, num, protowire.VarintType), x)
}

// AppendFixedField appends a field that is a fixed64.
func AppendFixedField(b []byte, num protowire.Number, x uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, num, protowire.Fixed64Type), x)
}

// AppendBytesField appends a field that is bytes, of a string or of a message within.
func AppendBytesField[T string | []byte](b []byte, num protowire.Number, s T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, num, protowire.BytesType), uint64(len(s)))
	return append(b, s...)
}

// AppendNonZeroUint is AppendUintField of what is not 0.
func AppendNonZeroUint(b []byte, num protowire.Number, x uint64) []byte {
	if x == 0 {
		return b
	}
	return AppendUintField(b, num, x)
}

// AppendNonZeroFixed is AppendFixedField of what is not 0.
func AppendNonZeroFixed(b []byte, num protowire.Number, x uint64) []byte {
	if x == 0 {
		return b
	}
	return AppendFixedField(b, num, x)
}

// AppendNonEmptyBytes is AppendBytesField of what is not empty.
func AppendNonEmptyBytes[T string | []byte](b []byte, num protowire.Number, s T) []byte {
	if len(s) == 0 {
		return b
	}
	return AppendBytesField(b, num, s)
}

// Reader takes bytes apart. What is not there, or above its bound, spoils it: from then on all that it yields is zeros.
type Reader struct {
	b      []byte
	failed bool
}

// NewReader makes a Reader of bytes, which it doesn't change.
func NewReader(b []byte) Reader { return Reader{b: b} }

// OK tells whether nothing has spoilt it yet.
func (r *Reader) OK() bool { return !r.failed }

// More tells whether it is good and has bytes left.
func (r *Reader) More() bool { return !r.failed && len(r.b) > 0 }

// AtEnd tells whether it is good and was read to its end.
func (r *Reader) AtEnd() bool { return !r.failed && len(r.b) == 0 }

// Require spoils it unless what has to hold of what was read does.
func (r *Reader) Require(holds bool) { r.failed = r.failed || !holds }

// Take yields the next n bytes, which are the Reader's own, or nil.
func (r *Reader) Take(n int) []byte {
	if r.failed || n < 0 || len(r.b) < n {
		r.failed = true
		return nil
	}
	x := r.b[:n:n]
	r.b = r.b[n:]
	return x
}

// Byte yields a byte.
func (r *Reader) Byte() byte {
	if x := r.Take(1); x != nil {
		return x[0]
	}
	return 0
}

// Uint16 yields a number of 2 bytes, the greatest first.
func (r *Reader) Uint16() uint16 {
	if x := r.Take(2); x != nil {
		return binary.BigEndian.Uint16(x)
	}
	return 0
}

// Uint32 yields a number of 4 bytes, the greatest first.
func (r *Reader) Uint32() uint32 {
	if x := r.Take(4); x != nil {
		return binary.BigEndian.Uint32(x)
	}
	return 0
}

// Uint64 yields a number of 8 bytes, the greatest first.
func (r *Reader) Uint64() uint64 {
	if x := r.Take(8); x != nil {
		return binary.BigEndian.Uint64(x)
	}
	return 0
}

// Uvarint yields a varint.
func (r *Reader) Uvarint() uint64 {
	x, n := binary.Uvarint(r.b)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return x
}

// UvarintMax yields a varint of most at most.
func (r *Reader) UvarintMax(most uint64) uint64 {
	x := r.Uvarint()
	if x > most {
		r.failed = true
		return 0
	}
	return x
}

// ByteMax yields a byte of most at most, such as a count of what follows.
func (r *Reader) ByteMax(most int) int {
	n := int(r.Byte())
	if n > most {
		r.failed = true
		return 0
	}
	return n
}
