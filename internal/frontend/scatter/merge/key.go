package merge

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ErrValue is returned for a value that is not of its column's type, or has an unsupported format.
var ErrValue = errors.New("not a value of its type")

// The first byte of the part of a key that encodes a value. NULLs are below or above all values.
const (
	nullFirst = 1
	present   = 2
	nullLast  = 3
)

// Append appends a value to a key. value is as a server sends it, in the text or the binary format, and nil for NULL.
func (c *Column) Append(dst, value []byte, isBinary bool) ([]byte, error) {
	if value == nil {
		if c.NullsFirst {
			return append(dst, nullFirst), nil
		}
		return append(dst, nullLast), nil
	}
	dst = append(dst, present)
	start := len(dst)
	dst, err := c.appendValue(dst, value, isBinary)
	if err != nil {
		return dst, fmt.Errorf("column %q: %w", c.Name, err)
	}
	if c.Desc {
		for i := start; i < len(dst); i++ {
			dst[i] = ^dst[i]
		}
	}
	return dst, nil
}

// appendValue appends an encoding of a value that compares as the values of the column do in ascending order.
func (c *Column) appendValue(dst, value []byte, isBinary bool) ([]byte, error) {
	switch c.Type {
	case Int:
		n, err := parseInteger(value, isBinary)
		return appendInteger(dst, n), err
	case Float:
		x, err := parseFloat(value, isBinary)
		return binary.BigEndian.AppendUint64(dst, sortableFloat(x)), err
	case Timestamp, Instant:
		micros, err := parseTimestamp(value, isBinary, c.Type == Instant)
		return appendInteger(dst, micros), err
	case UUID:
		return appendUUID(dst, value, isBinary)
	case Bytea:
		if !isBinary {
			return appendHex(dst, value)
		}
	}
	return appendBytes(dst, value), nil
}

// signBit is the highest bit of an integer or a float.
const signBit = 1 << 63

// appendInteger appends an integer with its sign bit flipped, so that negative integers compare below the others.
func appendInteger(dst []byte, n int64) []byte {
	return binary.BigEndian.AppendUint64(dst, uint64(n)^signBit)
}

// sortableFloat returns bits that compare as floats do at the servers: NaN is the largest, 0 and -0 are equal.
func sortableFloat(x float64) uint64 {
	switch {
	case math.IsNaN(x):
		return math.MaxUint64
	case x == 0: // or -0
		return signBit
	}
	bits := math.Float64bits(x)
	if bits&signBit != 0 {
		return ^bits
	}
	return bits | signBit
}

// Encoding of values of variable length in a key: each 0 byte is followed by escapedZero, and the end is a 0 byte followed by endOfBytes,
// so that a value compares above its prefixes.
const (
	endOfBytes  = 1
	escapedZero = 0xff
)

func appendBytes(dst, value []byte) []byte {
	for _, b := range value {
		dst = appendEscaped(dst, b)
	}
	return append(dst, 0, endOfBytes)
}

func appendEscaped(dst []byte, b byte) []byte {
	if b == 0 {
		return append(dst, 0, escapedZero)
	}
	return append(dst, b)
}

// appendHex appends a bytea in the text format, with the encoding of appendBytes.
func appendHex(dst, value []byte) ([]byte, error) {
	digits, ok := bytes.CutPrefix(value, []byte(`\x`))
	if !ok || len(digits)%2 != 0 {
		return dst, ErrValue
	}
	for i := 0; i < len(digits); i += 2 {
		high, low := hexDigit(digits[i]), hexDigit(digits[i+1])
		if high == noDigit || low == noDigit {
			return dst, ErrValue
		}
		dst = appendEscaped(dst, high<<4|low)
	}
	return append(dst, 0, endOfBytes), nil
}

// noDigit is the result of hexDigit for characters that are not hexadecimal digits.
const noDigit = 255

func hexDigit(c byte) byte {
	switch {
	case c >= '0' && c <= '9':
		return c - '0'
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10
	}
	return noDigit
}

const uuidBytes = 16

// appendUUID appends a UUID. In the text format, hyphens are accepted between any two bytes.
func appendUUID(dst, value []byte, isBinary bool) ([]byte, error) {
	if isBinary {
		if len(value) != uuidBytes {
			return dst, ErrValue
		}
		return append(dst, value...), nil
	}
	start := len(dst)
	high := byte(noDigit) // the first digit of the current byte, noDigit between bytes
	for _, c := range value {
		digit := hexDigit(c)
		switch {
		case c == '-' && high == noDigit:
		case digit == noDigit:
			return dst, ErrValue
		case high == noDigit:
			high = digit
		default:
			dst = append(dst, high<<4|digit)
			high = noDigit
		}
	}
	if len(dst)-start != uuidBytes || high != noDigit {
		return dst, ErrValue
	}
	return dst, nil
}

// maxIntegerDigits is the number of decimal digits of the largest int8.
const maxIntegerDigits = 19

func parseInteger(value []byte, isBinary bool) (int64, error) {
	if isBinary {
		switch len(value) {
		case 2:
			return int64(int16(binary.BigEndian.Uint16(value))), nil
		case 4:
			return int64(int32(binary.BigEndian.Uint32(value))), nil
		case 8:
			return int64(binary.BigEndian.Uint64(value)), nil
		}
		return 0, ErrValue
	}
	negative, n := false, uint64(0)
	if len(value) > 0 && value[0] == '-' {
		negative = true
		value = value[1:]
	}
	if len(value) == 0 || len(value) > maxIntegerDigits {
		return 0, ErrValue
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, ErrValue
		}
		n = n*10 + uint64(c-'0')
	}
	switch {
	case negative && n <= signBit:
		return -int64(n), nil
	case !negative && n < signBit:
		return int64(n), nil
	}
	return 0, ErrValue
}

func parseFloat(value []byte, isBinary bool) (float64, error) {
	if isBinary {
		if len(value) != 8 {
			return 0, ErrValue
		}
		return math.Float64frombits(binary.BigEndian.Uint64(value)), nil
	}
	switch string(value) {
	case "NaN":
		return math.NaN(), nil
	case "Infinity":
		return math.Inf(1), nil
	case "-Infinity":
		return math.Inf(-1), nil
	}
	for _, c := range value { // reject formats that Go accepts and PostgreSQL does not
		if !strings.ContainsRune("0123456789.-+eE", rune(c)) {
			return 0, ErrValue
		}
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		return 0, ErrValue
	}
	return x, nil
}
