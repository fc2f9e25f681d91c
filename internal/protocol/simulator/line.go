package simulator

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// line iterates over the fields of a line without allocating.
type line struct {
	name      string
	remaining []byte
	key       string // of the current field
	value     []byte
	err       error // the first error
}

func newLine(text []byte) *line {
	name, remaining, _ := bytes.Cut(text, []byte{'\t'})
	return &line{name: string(name), remaining: remaining}
}

// next advances to the next field. It returns false at the end of the line and after an error.
func (l *line) next() bool {
	if l.err != nil || len(l.remaining) == 0 {
		return false
	}
	var field []byte
	field, l.remaining, _ = bytes.Cut(l.remaining, []byte{'\t'})
	key, value, ok := bytes.Cut(field, []byte{'='})
	if !ok {
		l.err = fmt.Errorf("%s: part %q has no '='", l.name, field)
		return false
	}
	l.key = string(key)
	l.value = value
	return true
}

// fail records that a field is invalid or missing, unless an earlier error is recorded.
func (l *line) fail(key string) {
	if l.err == nil {
		l.err = fmt.Errorf("%s: bad or missing %s %q", l.name, key, l.value)
	}
}

// int64 returns the value as a number, which may be signed or unsigned.
func (l *line) int64() int64 {
	signed, err := strconv.ParseInt(string(l.value), 10, 64)
	if err == nil {
		return signed
	}
	unsigned, err := strconv.ParseUint(string(l.value), 10, 64)
	if err != nil {
		l.fail(l.key)
	}
	return int64(unsigned)
}

func (l *line) int() int { return int(l.int64()) }

// duration returns the value as a number of nanoseconds.
func (l *line) duration() time.Duration { return time.Duration(l.int64()) }

func (l *line) float() float64 { return l.parseFloat(l.value) }

func (l *line) parseFloat(value []byte) float64 {
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		l.fail(l.key)
	}
	return x
}

func (l *line) bool() bool { return string(l.value) == "1" || string(l.value) == "true" }
