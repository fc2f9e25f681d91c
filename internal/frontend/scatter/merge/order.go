// Package merge puts sorted rows of many shards into one order. It does no I/O, has no clock and no goroutines.
//
// # What it is told, and tells
//
// An Order names the columns by which rows are sorted, and behind them those of the shard's own order, which tell a row from every other
// one of its shard. A row's values become a Key: bytes that compare as the values do at the servers. Keys of one shard must rise; one
// that does not is told. Rows go out by the order's columns, then by the shard's number (shards are numbered by their stable names), then by the
// shard's own order: the same rows come out in the same order whoever merges them, whatever shard answers first.
//
// # What it does not know
//
// Where rows come from, and whether a shard that says nothing is slow or dead: nothing goes out while a shard that is open has no row here.
//
// # Bounds
//
// A shard whose rows here have Window bytes is full, and is to be read no further; Most is what is held then, whatever shards send.
package merge

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// Type is a column's.
type Type uint8

// The types whose order is known here. Any other one is refused where the settings are read.
const (
	Int       Type = iota // int2, int4, int8
	Float                 // float8: NaN is the largest, 0 and -0 are equal
	Text                  // in the C collation: by bytes
	Bytea                 // by bytes
	Timestamp             // without time zone
	Instant               // with time zone
	UUID                  // by bytes
	types
)

var typeNames = [types]string{"int8", "float8", "text", "bytea", "timestamp", "timestamptz", "uuid"}

func (t Type) String() string { return typeNames[min(t, types-1)] }

// TypeNamed is the type of a name as PostgreSQL has it.
func TypeNamed(s string) (Type, bool) {
	switch s {
	case "int2", "int4", "smallint", "integer", "bigint":
		return Int, true
	}
	for i, n := range typeNames {
		if n == s {
			return Type(i), true
		}
	}
	return 0, false
}

// objectIDs are what a RowDescription may call a column of a type.
var objectIDs = [types][]uint32{{20, 21, 23}, {701}, {25, 1043}, {17}, {1114}, {1184}, {2950}}

// Is tells whether a column of that object id is of the type.
func (t Type) Is(oid uint32) bool {
	for _, o := range objectIDs[t] {
		if o == oid {
			return true
		}
	}
	return false
}

// Column is one of an order.
type Column struct {
	Name       string // in the rows
	Expr       string // in the statement
	Type       Type
	Desc       bool
	NullsFirst bool
}

// Order is the columns by which rows are sorted; those from Own on are the shard's own order.
type Order struct {
	Columns []Column
	Own     int
}

// ErrValue says that a value is not of its column's type, as far as the type is taken.
var ErrValue = errors.New("not a value of its type")

// Marks before a value; those of nulls are below or above those of values.
const (
	nullFirst = 1
	present   = 2
	nullLast  = 3
)

// Append appends a value's part of a key. val is as on the wire, nil for null.
func (c *Column) Append(dst, val []byte, binaryForm bool) ([]byte, error) {
	if val == nil {
		if c.NullsFirst {
			return append(dst, nullFirst), nil
		}
		return append(dst, nullLast), nil
	}
	dst = append(dst, present)
	at := len(dst)
	var err error
	switch c.Type {
	case Int:
		var n int64
		n, err = parseInteger(val, binaryForm)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n)^1<<63)
	case Float:
		var x float64
		x, err = parseFloat(val, binaryForm)
		dst = binary.BigEndian.AppendUint64(dst, sortableFloat(x))
	case Timestamp, Instant:
		var n int64
		n, err = parseTimestamp(val, binaryForm, c.Type == Instant)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n)^1<<63)
	case UUID:
		dst, err = appendUUID(dst, val, binaryForm)
	case Bytea:
		if binaryForm {
			dst = appendBytes(dst, val)
			break
		}
		dst, err = appendHex(dst, val)
	default:
		dst = appendBytes(dst, val)
	}
	if err != nil {
		return dst, fmt.Errorf("column %q: %w", c.Name, err)
	}
	if c.Desc {
		for i := at; i < len(dst); i++ {
			dst[i] = ^dst[i]
		}
	}
	return dst, nil
}

// sortableFloat are bits that compare as the numbers do at the servers.
func sortableFloat(x float64) uint64 {
	switch {
	case math.IsNaN(x):
		return math.MaxUint64
	case x == 0:
		return 1 << 63
	}
	b := math.Float64bits(x)
	if b>>63 == 1 {
		return ^b
	}
	return b | 1<<63
}

// appendBytes appends bytes of any length so that what follows does not matter unless they are the same: a 0 is followed by 255, the end
// is 0 and 1.
func appendBytes(dst, b []byte) []byte {
	for _, x := range b {
		if dst = append(dst, x); x == 0 {
			dst = append(dst, 0xff)
		}
	}
	return append(dst, 0, 1)
}

func appendHex(dst, val []byte) ([]byte, error) {
	if len(val) < 2 || val[0] != '\\' || val[1] != 'x' || len(val)%2 != 0 {
		return dst, ErrValue
	}
	for i := 2; i < len(val); i += 2 {
		a, b := hexDigit(val[i]), hexDigit(val[i+1])
		if a > 15 || b > 15 {
			return dst, ErrValue
		}
		x := a<<4 | b
		if dst = append(dst, x); x == 0 {
			dst = append(dst, 0xff)
		}
	}
	return append(dst, 0, 1), nil
}

func hexDigit(c byte) byte {
	switch {
	case c >= '0' && c <= '9':
		return c - '0'
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10
	}
	return 255
}

func appendUUID(dst, val []byte, binaryForm bool) ([]byte, error) {
	if binaryForm {
		if len(val) != 16 {
			return dst, ErrValue
		}
		return append(dst, val...), nil
	}
	at, half := len(dst), byte(255)
	for _, c := range val {
		x := hexDigit(c)
		switch {
		case c == '-' && half == 255:
		case x > 15:
			return dst, ErrValue
		case half == 255:
			half = x
		default:
			dst, half = append(dst, half<<4|x), 255
		}
	}
	if len(dst)-at != 16 || half != 255 {
		return dst, ErrValue
	}
	return dst, nil
}

func parseInteger(val []byte, binaryForm bool) (int64, error) {
	if binaryForm {
		switch len(val) {
		case 2:
			return int64(int16(binary.BigEndian.Uint16(val))), nil
		case 4:
			return int64(int32(binary.BigEndian.Uint32(val))), nil
		case 8:
			return int64(binary.BigEndian.Uint64(val)), nil
		}
		return 0, ErrValue
	}
	neg, n := false, uint64(0)
	if len(val) > 0 && val[0] == '-' {
		neg, val = true, val[1:]
	}
	if len(val) == 0 || len(val) > 19 {
		return 0, ErrValue
	}
	for _, c := range val {
		if c < '0' || c > '9' {
			return 0, ErrValue
		}
		n = n*10 + uint64(c-'0')
	}
	switch {
	case neg && n <= 1<<63:
		return -int64(n), nil
	case !neg && n < 1<<63:
		return int64(n), nil
	}
	return 0, ErrValue
}

func parseFloat(val []byte, binaryForm bool) (float64, error) {
	if binaryForm {
		if len(val) != 8 {
			return 0, ErrValue
		}
		return math.Float64frombits(binary.BigEndian.Uint64(val)), nil
	}
	switch string(val) {
	case "NaN":
		return math.NaN(), nil
	case "Infinity":
		return math.Inf(1), nil
	case "-Infinity":
		return math.Inf(-1), nil
	}
	for _, c := range val { // nothing that only Go takes for a number
		if (c < '0' || c > '9') && c != '.' && c != '-' && c != '+' && c != 'e' && c != 'E' {
			return 0, ErrValue
		}
	}
	x, err := strconv.ParseFloat(string(val), 64)
	if err != nil {
		return 0, ErrValue
	}
	return x, nil
}

// Value is one that a key holds, as text that a server takes; Null where it is none.
type Value struct {
	Text []byte
	Null bool
}

// Values are those of a key. Fewer than all columns may be there: those of the order alone.
func (o *Order) Values(key []byte) ([]Value, error) {
	var out []Value
	for i := range o.Columns {
		if len(key) == 0 && i == o.Own {
			break
		}
		v, rest, err := o.Columns[i].value(key)
		if err != nil {
			return nil, err
		}
		out, key = append(out, v), rest
	}
	if len(key) > 0 {
		return nil, ErrValue
	}
	return out, nil
}

func (c *Column) value(key []byte) (Value, []byte, error) {
	if len(key) == 0 {
		return Value{}, nil, ErrValue
	}
	mark, rest := key[0], key[1:]
	switch {
	case mark == nullFirst && c.NullsFirst, mark == nullLast && !c.NullsFirst:
		return Value{Null: true}, rest, nil
	case mark != present:
		return Value{}, nil, ErrValue
	}
	flip := byte(0)
	if c.Desc {
		flip = 0xff
	}
	var raw []byte
	n := 8
	switch c.Type {
	case Text, Bytea:
		for {
			if len(rest) < 2 {
				return Value{}, nil, ErrValue
			}
			x := rest[0] ^ flip
			if x != 0 {
				raw, rest = append(raw, x), rest[1:]
				continue
			}
			y := rest[1] ^ flip
			rest = rest[2:]
			if y == 1 {
				break
			}
			if y != 0xff {
				return Value{}, nil, ErrValue
			}
			raw = append(raw, 0)
		}
		if c.Type == Bytea {
			return Value{Text: append([]byte(`\x`), hex.EncodeToString(raw)...)}, rest, nil
		}
		return Value{Text: append([]byte{}, raw...)}, rest, nil
	case UUID:
		n = 16
	}
	if len(rest) < n {
		return Value{}, nil, ErrValue
	}
	for _, x := range rest[:n] {
		raw = append(raw, x^flip)
	}
	rest = rest[n:]
	bits := binary.BigEndian.Uint64(raw)
	switch c.Type {
	case Int:
		return Value{Text: strconv.AppendInt(nil, int64(bits^1<<63), 10)}, rest, nil
	case Float:
		return Value{Text: formatFloat(bits)}, rest, nil
	case UUID:
		h := hex.EncodeToString(raw)
		return Value{Text: []byte(h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:])}, rest, nil
	}
	return Value{Text: formatTimestamp(int64(bits^1<<63), c.Type == Instant)}, rest, nil
}

func formatFloat(bits uint64) []byte {
	if bits == math.MaxUint64 {
		return []byte("NaN")
	}
	b := ^bits
	if bits>>63 == 1 {
		b = bits &^ (1 << 63)
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
