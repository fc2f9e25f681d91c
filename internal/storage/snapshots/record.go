package snapshots

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
	"beechgrade/internal/eventloop/clock"
)

// Record is a stored value. It is encoded as a protobuf message, in which from is Source:
//
//	message Record { double saved_ms = 1; string from = 2; bytes body = 3; string boot = 4; double monotonic_ms = 5; }
type Record struct {
	SavedMs float64       // when the value was last known to be good, Unix ms
	Saved   clock.Instant // the same time on the monotonic clock of that boot
	Source  string        // the path or address that the value came from
	Body    []byte
}

const (
	fieldSavedMs     protowire.Number = 1
	fieldSource      protowire.Number = 2
	fieldBody        protowire.Number = 3
	fieldBoot        protowire.Number = 4
	fieldMonotonicMs protowire.Number = 5
)

// NewRecord returns a record of a value that is known to be good now.
func NewRecord(machine clock.Machine, source string, body []byte) *Record {
	return &Record{SavedMs: machine.Wall(), Saved: machine.Now(), Source: source, Body: body}
}

// Age returns the milliseconds since a record was last known to be good, by the monotonic clock within a boot of the machine and by the wall
// clock after a reboot.
func (r *Record) Age(machine clock.Machine) float64 {
	if ms, known := machine.Since(r.Saved); known {
		return ms
	}
	return machine.Wall() - r.SavedMs
}

func (r *Record) encode() []byte {
	b := encoding.AppendFixedField(nil, fieldSavedMs, math.Float64bits(r.SavedMs))
	b = encoding.AppendBytesField(b, fieldSource, r.Source)
	b = encoding.AppendBytesField(b, fieldBody, r.Body)
	if r.Saved.Boot == "" {
		return b
	}
	b = encoding.AppendBytesField(b, fieldBoot, r.Saved.Boot)
	return encoding.AppendFixedField(b, fieldMonotonicMs, math.Float64bits(r.Saved.MonotonicMs))
}

func malformed(error) error { return ErrMalformed }

// decode decodes a record. The time and the body are required.
func decode(b []byte) (*Record, error) {
	r := &Record{}
	hasTime, hasBody := false, false
	err := encoding.Fields(b, malformed, func(field encoding.Field) error {
		isFixed := field.Type == protowire.Fixed64Type
		isBytes := field.Type == protowire.BytesType
		switch {
		case field.Number == fieldSavedMs && isFixed:
			r.SavedMs = math.Float64frombits(field.Value)
			hasTime = true
		case field.Number == fieldSource && isBytes:
			r.Source = string(field.Bytes)
		case field.Number == fieldBody && isBytes:
			r.Body = field.Bytes
			hasBody = true
		case field.Number == fieldBoot && isBytes:
			r.Saved.Boot = string(field.Bytes)
		case field.Number == fieldMonotonicMs && isFixed:
			r.Saved.MonotonicMs = math.Float64frombits(field.Value)
		}
		return nil
	})
	if err != nil || !hasTime || !hasBody {
		return nil, ErrMalformed
	}
	if math.IsNaN(r.SavedMs) || math.IsNaN(r.Saved.MonotonicMs) {
		return nil, ErrMalformed
	}
	return r, nil
}
