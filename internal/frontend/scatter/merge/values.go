package merge

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
)

// Value is a value decoded from a key, in the text format of PostgreSQL.
type Value struct {
	Text []byte
	Null bool
}

// Values decodes the values of a key. The shard's own part of the key may be absent.
func (o *Order) Values(key []byte) ([]Value, error) {
	var values []Value
	for i := range o.Columns {
		if len(key) == 0 && i == o.OwnIndex {
			break
		}
		value, rest, err := o.Columns[i].cutValue(key)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		key = rest
	}
	if len(key) > 0 {
		return nil, ErrValue
	}
	return values, nil
}

// cutValue decodes the first value of a key, and returns the rest of the key.
func (c *Column) cutValue(key []byte) (value Value, rest []byte, err error) {
	if len(key) == 0 {
		return Value{}, nil, ErrValue
	}
	nullMark := byte(nullLast)
	if c.NullsFirst {
		nullMark = nullFirst
	}
	rest = key[1:]
	switch key[0] {
	case nullMark:
		return Value{Null: true}, rest, nil
	case present:
	default:
		return Value{}, nil, ErrValue
	}
	inverted := byte(0)
	if c.Desc {
		inverted = 0xff
	}
	if c.Type == Text || c.Type == Bytea {
		raw, rest, err := cutBytes(rest, inverted)
		if err != nil {
			return Value{}, nil, err
		}
		if c.Type == Bytea {
			return Value{Text: append([]byte(`\x`), hex.EncodeToString(raw)...)}, rest, nil
		}
		return Value{Text: raw}, rest, nil
	}
	length := integerBytes
	if c.Type == UUID {
		length = uuidBytes
	}
	if len(rest) < length {
		return Value{}, nil, ErrValue
	}
	raw := make([]byte, length)
	for i := range raw {
		raw[i] = rest[i] ^ inverted
	}
	return Value{Text: c.format(raw)}, rest[length:], nil
}

// integerBytes is the length in a key of all values of fixed length but UUIDs.
const integerBytes = 8

// cutBytes decodes what appendBytes wrote, with each byte XORed with inverted.
func cutBytes(key []byte, inverted byte) (value, rest []byte, err error) {
	value = []byte{}
	for {
		if len(key) < 2 {
			return nil, nil, ErrValue
		}
		b := key[0] ^ inverted
		if b != 0 {
			value = append(value, b)
			key = key[1:]
			continue
		}
		next := key[1] ^ inverted
		key = key[2:]
		switch next {
		case endOfBytes:
			return value, key, nil
		case escapedZero:
			value = append(value, 0)
		default:
			return nil, nil, ErrValue
		}
	}
}

// format returns the text of a value of fixed length, given its encoding in ascending order.
func (c *Column) format(raw []byte) []byte {
	if c.Type == UUID {
		h := hex.EncodeToString(raw)
		return []byte(h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:])
	}
	bits := binary.BigEndian.Uint64(raw)
	switch c.Type {
	case Int:
		return strconv.AppendInt(nil, int64(bits^signBit), 10)
	case Float:
		return formatFloat(bits)
	}
	return formatTimestamp(int64(bits^signBit), c.Type == Instant)
}

// formatFloat returns the text of a float, given the bits that sortableFloat returned for it.
func formatFloat(bits uint64) []byte {
	if bits == math.MaxUint64 {
		return []byte("NaN")
	}
	b := ^bits
	if bits&signBit != 0 {
		b = bits &^ signBit
	}
	switch x := math.Float64frombits(b); {
	case math.IsInf(x, 1):
		return []byte("Infinity")
	case math.IsInf(x, -1):
		return []byte("-Infinity")
	default:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	}
}
