// Package encoding provides the common parts of the program's binary encodings: reading and writing the fields of a protobuf message, and a
// Reader of fixed-width integers and varints. The meaning and the bounds of the fields are up to the package that defines an encoding.
package encoding

import "google.golang.org/protobuf/encoding/protowire"

// Field is a field of a protobuf message.
type Field struct {
	Number protowire.Number
	Type   protowire.Type
	Value  uint64 // of a varint or fixed64 field, else 0
	Bytes  []byte // of a string, bytes or embedded message field, else nil; aliases the message
}

// HasValue reports whether the field is of a type that Value or Bytes holds.
func (f *Field) HasValue() bool {
	return f.Type == protowire.VarintType || f.Type == protowire.Fixed64Type || f.Type == protowire.BytesType
}

// Fields calls visit for each field of a message, and returns the first error of visit. If the bytes are not a valid message, it returns
// malformed(reason), after visiting the fields before the malformed one. A field of a type that Field cannot hold is visited without a value.
func Fields(b []byte, malformed func(reason error) error, visit func(field Field) error) error {
	for len(b) > 0 {
		field, n := consumeField(b)
		if n < 0 {
			return malformed(protowire.ParseError(n))
		}
		b = b[n:]
		if err := visit(field); err != nil {
			return err
		}
	}
	return nil
}

// consumeField decodes the field at the start of b and returns its length, or a negative parse error of protowire.
func consumeField(b []byte) (field Field, length int) {
	field.Number, field.Type, length = protowire.ConsumeTag(b)
	if length < 0 {
		return field, length
	}
	b = b[length:]
	n := 0
	switch field.Type {
	case protowire.VarintType:
		field.Value, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		field.Value, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		field.Bytes, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(field.Number, field.Type, b)
	}
	if n < 0 {
		return field, n
	}
	return field, length + n
}

// AppendUintField appends a varint field.
func AppendUintField(b []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), value)
}

// AppendFixedField appends a fixed64 field.
func AppendFixedField(b []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), value)
}

// AppendBytesField appends a length-delimited field: a string, bytes or an embedded message.
func AppendBytesField[T string | []byte](b []byte, number protowire.Number, value T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, number, protowire.BytesType), uint64(len(value)))
	return append(b, value...)
}

// AppendNonZeroUint appends a varint field unless the value is 0.
func AppendNonZeroUint(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return AppendUintField(b, number, value)
}

// AppendNonZeroFixed appends a fixed64 field unless the value is 0.
func AppendNonZeroFixed(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return AppendFixedField(b, number, value)
}

// AppendNonEmptyBytes appends a length-delimited field unless the value is empty.
func AppendNonEmptyBytes[T string | []byte](b []byte, number protowire.Number, value T) []byte {
	if len(value) == 0 {
		return b
	}
	return AppendBytesField(b, number, value)
}
