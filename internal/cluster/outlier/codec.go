package outlier

import (
	"encoding/binary"
	"errors"
	"math"

	"beechgrade/internal/encoding"
)

// The form of a message: a byte for what it is, then numbers as varints; ages are in tenths of a ms, one too long ago is the longest.

// ErrMalformed is of a message that cannot be read.
var ErrMalformed = errors.New("verdicts: not of the form")

const (
	kindObservations = iota + 1
	kindAssessments
)

const (
	agesPerMs   = 10
	maxAgeMs    = 1e7
	maxPosition = 1e13
	maxZones    = 8
)

func appendAge(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), maxAgeMs)*agesPerMs)))
}

const (
	flagRole     = 3 // the bits of a role
	flagPosition = 4 << iota
	flagAnswered
	flagUnhealthy
	flagAllZones
)

func flags(s ServerReport, answered float64) byte {
	f := byte(s.Role)
	if s.Position > 0 {
		f |= flagPosition
	}
	if answered >= 0 {
		f |= flagAnswered
	}
	return f
}

// base is the newest position of a message; each is told as so far behind it, rounded: never newer than it was.
func appendBase[T any](b []byte, items []T, said func(*T) ServerReport) ([]byte, float64) {
	base := 0.0
	for i := range items {
		base = max(base, said(&items[i]).Position)
	}
	base = math.Ceil(min(base, maxPosition))
	return binary.AppendUvarint(b, uint64(base)), base
}

func appendReport(b []byte, base float64, s ServerReport, age, answered float64) []byte {
	if s.Position > 0 {
		b = appendAge(binary.AppendUvarint(b, uint64(math.Ceil(min(max(0, base-s.Position), maxPosition)*agesPerMs))), age)
	}
	if answered >= 0 {
		b = appendAge(b, answered)
	}
	return b
}

// Append is part.Words'.
func (t *Observations) Append(b []byte) []byte {
	b, base := appendBase(binary.BigEndian.AppendUint32(append(b, kindObservations), t.Sequence), t.Items, func(x *Observation) ServerReport { return x.Report })
	for i := range t.Items {
		x := &t.Items[i]
		b = append(binary.BigEndian.AppendUint32(b, x.Key), flags(x.Report, x.Answered), byte(min(x.Unanswered, maxUnanswered)))
		if x.Unanswered > 0 {
			b = appendAge(appendAge(appendAge(b, x.FirstUnanswered), x.LastUnanswered), x.Work)
		}
		b = appendReport(b, base, x.Report, x.ReportAge, x.Answered)
	}
	return b
}

// Append is part.Words'.
func (w *Assessments) Append(b []byte) []byte {
	b, base := appendBase(binary.BigEndian.AppendUint32(append(b, kindAssessments), w.Sequence), w.Items, func(x *Assessment) ServerReport { return x.Report })
	for i := range w.Items {
		x := &w.Items[i]
		f := flags(x.Report, x.Answered)
		if x.Unhealthy {
			f |= flagUnhealthy
		}
		if x.AllZones {
			f |= flagAllZones
		}
		b = append(binary.BigEndian.AppendUint32(b, x.Key), f)
		if x.Unhealthy {
			zones, by := x.Zones[:min(len(x.Zones), maxZones)], x.Observers[:min(len(x.Observers), 2)]
			b = append(b, byte(len(zones)), byte(len(by)))
			for _, z := range zones {
				b = binary.BigEndian.AppendUint32(b, z)
			}
			for _, id := range by {
				b = binary.BigEndian.AppendUint64(b, uint64(id))
			}
			b = appendAge(appendAge(b, x.FirstUnanswered), x.LastUnanswered)
		}
		b = appendReport(b, base, x.Report, x.ReportAge, x.Answered)
	}
	return b
}

// reader takes a message apart; after a fault it yields zeros.
type reader struct{ encoding.Reader }

func (r *reader) number(grain, most float64) float64 {
	x := float64(r.Uvarint()) / grain
	r.Require(x <= most)
	return x
}

func (r *reader) age() float64 { return r.number(agesPerMs, maxAgeMs) }

// report reads what flags say that there is.
func (r *reader) report(f byte, base float64) (s ServerReport, age, answered float64) {
	s.Role, answered = Role(f&flagRole), -1
	r.Require(s.Role <= RoleReplica)
	if f&flagPosition != 0 {
		s.Position = base - r.number(agesPerMs, maxPosition)
		age = r.age()
		r.Require(s.Position > 0)
	}
	if f&flagAnswered != 0 {
		answered = r.age()
	}
	return s, age, answered
}

// Decode reads a message.
func Decode(b []byte) (any, error) {
	r := &reader{encoding.NewReader(b)}
	verb, seq, base := r.Byte(), r.Uint32(), r.number(1, maxPosition)
	switch verb {
	case kindObservations:
		t := &Observations{Sequence: seq}
		for r.More() {
			x := Observation{Key: r.Uint32()}
			f := r.Byte()
			if x.Unanswered = int(r.Byte()); x.Unanswered > 0 {
				x.FirstUnanswered, x.LastUnanswered, x.Work = r.age(), r.age(), r.age()
				r.Require(x.LastUnanswered <= x.FirstUnanswered)
			}
			x.Report, x.ReportAge, x.Answered = r.report(f, base)
			t.Items = append(t.Items, x)
		}
		if r.OK() {
			return t, nil
		}
	case kindAssessments:
		w := &Assessments{Sequence: seq}
		for r.More() {
			x := Assessment{Key: r.Uint32()}
			f := r.Byte()
			if x.Unhealthy, x.AllZones = f&flagUnhealthy != 0, f&flagAllZones != 0; x.Unhealthy {
				zones, by := r.ByteMax(maxZones), r.ByteMax(2)
				for i := 0; i < zones && r.OK(); i++ {
					x.Zones = append(x.Zones, r.Uint32())
				}
				for i := 0; i < by && r.OK(); i++ {
					x.Observers = append(x.Observers, ID(r.Uint64()))
				}
				x.FirstUnanswered, x.LastUnanswered = r.age(), r.age()
				r.Require(x.LastUnanswered <= x.FirstUnanswered)
			}
			x.Report, x.ReportAge, x.Answered = r.report(f, base)
			w.Items = append(w.Items, x)
		}
		if r.OK() {
			return w, nil
		}
	}
	return nil, ErrMalformed
}
