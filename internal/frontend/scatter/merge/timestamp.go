package merge

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// epoch is the epoch of PostgreSQL's timestamps, in Unix seconds. Timestamps are microseconds since then.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Unix()

const (
	microsPerSecond = 1e6
	fractionDigits  = 6 // digits of the fraction of a second
	timestampBytes  = 8 // length in the binary format
)

// Text forms of the infinite timestamps.
const (
	infinity         = "infinity"
	negativeInfinity = "-infinity"
)

// suffixBC follows a year before 1.
const suffixBC = " BC"

// parseTimestamp parses a timestamp. The text format must be that of DateStyle ISO, which is the default of sessions. zoned says whether
// the text includes an offset from UTC.
func parseTimestamp(value []byte, isBinary, zoned bool) (int64, error) {
	if isBinary {
		if len(value) != timestampBytes {
			return 0, ErrValue
		}
		return int64(binary.BigEndian.Uint64(value)), nil
	}
	switch string(value) {
	case infinity:
		return math.MaxInt64, nil
	case negativeInfinity:
		return math.MinInt64, nil
	}
	s := scanner{input: value}
	t := s.civilTime()
	micros := s.fraction()
	offset := 0
	if zoned {
		offset = s.offset()
	}
	if string(s.input) == suffixBC {
		s.input = nil
		t.year = 1 - t.year
	}
	if s.invalid || len(s.input) > 0 || !t.isValid() {
		return 0, ErrValue
	}
	seconds := t.unix() - epoch - int64(offset)
	return seconds*microsPerSecond + int64(micros), nil
}

// formatTimestamp returns the text of a timestamp in microseconds since epoch. If it is zoned, the text includes the offset of UTC.
func formatTimestamp(micros int64, zoned bool) []byte {
	switch micros {
	case math.MaxInt64:
		return []byte(infinity)
	case math.MinInt64:
		return []byte(negativeInfinity)
	}
	seconds, fraction := micros/microsPerSecond, micros%microsPerSecond
	if fraction < 0 {
		seconds--
		fraction += microsPerSecond
	}
	t := time.Unix(seconds+epoch, 0).UTC()
	year, suffix := t.Year(), ""
	if year < 1 {
		year, suffix = 1-year, suffixBC
	}
	out := fmt.Appendf(nil, "%04d-%02d-%02d %02d:%02d:%02d", year, t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second())
	if fraction > 0 {
		out = fmt.Appendf(out, ".%06d", fraction)
	}
	if zoned {
		out = append(out, "+00"...)
	}
	return append(out, suffix...)
}

// civilTime is a date and a time of day.
type civilTime struct{ year, month, day, hour, minute, second int }

// isValid reports whether the fields are in their ranges. 24:00:00 and leap seconds are valid, as in PostgreSQL.
func (t civilTime) isValid() bool {
	if t.month < 1 || t.month > 12 || t.day < 1 || t.day > 31 {
		return false
	}
	return t.hour <= 24 && t.minute <= 59 && t.second <= 60
}

func (t civilTime) unix() int64 {
	return time.Date(t.year, time.Month(t.month), t.day, t.hour, t.minute, t.second, 0, time.UTC).Unix()
}

// scanner parses a text from its beginning.
type scanner struct {
	input   []byte
	invalid bool // the text does not have the expected form
}

// civilTime reads a date and time such as "2026-01-31 23:59:59".
func (s *scanner) civilTime() (t civilTime) {
	t.year = s.number(4, 6)
	s.expect('-')
	t.month = s.number(2, 2)
	s.expect('-')
	t.day = s.number(2, 2)
	s.expect(' ')
	t.hour = s.number(2, 2)
	s.expect(':')
	t.minute = s.number(2, 2)
	s.expect(':')
	t.second = s.number(2, 2)
	return t
}

// fraction reads an optional fraction of a second, in microseconds.
func (s *scanner) fraction() int {
	if !s.accept('.') {
		return 0
	}
	before := len(s.input)
	micros := s.number(1, fractionDigits)
	for digits := before - len(s.input); digits < fractionDigits; digits++ {
		micros *= 10
	}
	return micros
}

// offset reads an offset from UTC, "+05", "+05:30" or "+05:30:15", in seconds.
func (s *scanner) offset() int {
	sign := 1
	if s.accept('-') {
		sign = -1
	} else {
		s.expect('+')
	}
	seconds := 3600 * s.number(2, 2)
	if s.accept(':') {
		seconds += 60 * s.number(2, 2)
		if s.accept(':') {
			seconds += s.number(2, 2)
		}
	}
	return sign * seconds
}

// accept consumes a character if it is the next one, and reports whether it is.
func (s *scanner) accept(c byte) bool {
	if len(s.input) > 0 && s.input[0] == c {
		s.input = s.input[1:]
		return true
	}
	return false
}

// expect consumes a character. The text is invalid if it is not the next one.
func (s *scanner) expect(c byte) {
	if !s.accept(c) {
		s.invalid = true
	}
}

// number reads a decimal number of minDigits to maxDigits digits.
func (s *scanner) number(minDigits, maxDigits int) (n int) {
	digits := 0
	for digits < len(s.input) && digits < maxDigits && s.input[digits] >= '0' && s.input[digits] <= '9' {
		n = n*10 + int(s.input[digits]-'0')
		digits++
	}
	s.input = s.input[digits:]
	if digits < minDigits {
		s.invalid = true
	}
	return n
}
