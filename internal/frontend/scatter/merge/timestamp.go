package merge

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// epoch is PostgreSQL's: moments are microseconds since 2000.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Unix()

// parseTimestamp reads a time. As text it is in the ISO form, which sessions have unless they ask for another.
func parseTimestamp(val []byte, binaryForm, zoned bool) (int64, error) {
	if binaryForm {
		if len(val) != 8 {
			return 0, ErrValue
		}
		return int64(binary.BigEndian.Uint64(val)), nil
	}
	switch string(val) {
	case "infinity":
		return math.MaxInt64, nil
	case "-infinity":
		return math.MinInt64, nil
	}
	s := scanner{input: val}
	year := s.number(4, 6)
	s.expect('-')
	month := s.number(2, 2)
	s.expect('-')
	day := s.number(2, 2)
	s.expect(' ')
	hour := s.number(2, 2)
	s.expect(':')
	minute := s.number(2, 2)
	s.expect(':')
	second := s.number(2, 2)
	micros := 0
	if s.accept('.') {
		at := len(s.input)
		micros = s.number(1, 6)
		for n := at - len(s.input); n < 6; n++ {
			micros *= 10
		}
	}
	offset := 0
	if zoned {
		sign := 1
		if s.accept('-') {
			sign = -1
		} else {
			s.expect('+')
		}
		offset = 3600 * s.number(2, 2)
		if s.accept(':') {
			offset += 60 * s.number(2, 2)
			if s.accept(':') {
				offset += s.number(2, 2)
			}
		}
		offset *= sign
	}
	if len(s.input) == 3 && string(s.input) == " BC" {
		s.input, year = nil, 1-year
	}
	if s.invalid || len(s.input) > 0 || month < 1 || month > 12 || day < 1 || day > 31 || hour > 24 || minute > 59 || second > 60 {
		return 0, ErrValue
	}
	at := time.Date(year, time.Month(month), day, hour, minute, second, 0, time.UTC).Unix() - epoch - int64(offset)
	return at*1e6 + int64(micros), nil
}

// formatTimestamp is a moment as a server takes it.
func formatTimestamp(n int64, zoned bool) []byte {
	switch n {
	case math.MaxInt64:
		return []byte("infinity")
	case math.MinInt64:
		return []byte("-infinity")
	}
	sec, micros := n/1e6, n%1e6
	if micros < 0 {
		sec, micros = sec-1, micros+1e6
	}
	t := time.Unix(sec+epoch, 0).UTC()
	year, end := t.Year(), ""
	if year < 1 {
		year, end = 1-year, " BC"
	}
	out := fmt.Appendf(nil, "%04d-%02d-%02d %02d:%02d:%02d", year, t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second())
	if micros > 0 {
		out = fmt.Appendf(out, ".%06d", micros)
	}
	if zoned {
		out = append(out, "+00"...)
	}
	return append(out, end...)
}

// scanner reads a text from its front.
type scanner struct {
	input   []byte
	invalid bool
}

func (s *scanner) accept(c byte) bool {
	if len(s.input) > 0 && s.input[0] == c {
		s.input = s.input[1:]
		return true
	}
	return false
}

func (s *scanner) expect(c byte) { s.invalid = !s.accept(c) || s.invalid }

func (s *scanner) number(least, most int) (n int) {
	i := 0
	for i < len(s.input) && i < most && s.input[i] >= '0' && s.input[i] <= '9' {
		n = n*10 + int(s.input[i]-'0')
		i++
	}
	s.input, s.invalid = s.input[i:], s.invalid || i < least
	return n
}
