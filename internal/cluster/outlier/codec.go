package outlier

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/encoding"
)

// A message is a byte for its kind, its sequence number, the newest position in it, and its items. Numbers are varints. Ages are in tenths
// of a ms and limited to maxAgeMs. Positions are encoded as their distance from the newest one, rounded so that none is decoded as newer
// than it is.

// ErrMalformed is the error of a message that cannot be decoded.
var ErrMalformed = errors.New("outlier: malformed message")

// Kinds of messages.
const (
	kindObservations = iota + 1
	kindAssessments
)

const (
	unitsPerMs  = 10
	maxAgeMs    = 1e7
	maxPosition = 1e13
)

// Flags of an item.
const (
	flagRole     = 3 // the bits of a role
	flagPosition = 4 << iota
	flagAnswered
	flagUnhealthy
	flagAllZones
)

func appendAge(b []byte, ms float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, ms), maxAgeMs)*unitsPerMs)))
}

func flags(report ServerReport, answered float64) byte {
	f := byte(report.Role)
	if report.Position > 0 {
		f |= flagPosition
	}
	if answered >= 0 {
		f |= flagAnswered
	}
	return f
}

// appendHeader appends the part of a message before its items, and returns the position from which the positions of the items are encoded.
func appendHeader(b []byte, kind byte, sequence uint32, newest float64) ([]byte, float64) {
	base := math.Ceil(min(newest, maxPosition))
	b = binary.BigEndian.AppendUint32(append(b, kind), sequence)
	return binary.AppendUvarint(b, uint64(base)), base
}

func appendReport(b []byte, base float64, report ServerReport, age, answered float64) []byte {
	if report.Position > 0 {
		behind := min(max(0, base-report.Position), maxPosition)
		b = binary.AppendUvarint(b, uint64(math.Ceil(behind*unitsPerMs)))
		b = appendAge(b, age)
	}
	if answered >= 0 {
		b = appendAge(b, answered)
	}
	return b
}

// Append implements module.Message.
func (m *Observations) Append(b []byte) []byte {
	newest := 0.0
	for i := range m.Items {
		newest = max(newest, m.Items[i].Report.Position)
	}
	b, base := appendHeader(b, kindObservations, m.Sequence, newest)
	for i := range m.Items {
		item := &m.Items[i]
		b = binary.BigEndian.AppendUint32(b, item.Key)
		b = append(b, flags(item.Report, item.Answered), byte(min(item.Unanswered, maxUnanswered)))
		if item.Unanswered > 0 {
			b = appendAge(b, item.FirstUnanswered)
			b = appendAge(b, item.LastUnanswered)
			b = appendAge(b, item.Work)
		}
		b = appendReport(b, base, item.Report, item.ReportAge, item.Answered)
	}
	return b
}

// Append implements module.Message.
func (m *Assessments) Append(b []byte) []byte {
	newest := 0.0
	for i := range m.Items {
		newest = max(newest, m.Items[i].Report.Position)
	}
	b, base := appendHeader(b, kindAssessments, m.Sequence, newest)
	for i := range m.Items {
		item := &m.Items[i]
		f := flags(item.Report, item.Answered)
		if item.Unhealthy {
			f |= flagUnhealthy
		}
		if item.AllZones {
			f |= flagAllZones
		}
		b = append(binary.BigEndian.AppendUint32(b, item.Key), f)
		if item.Unhealthy {
			b = appendUnhealthy(b, item)
		}
		b = appendReport(b, base, item.Report, item.ReportAge, item.Answered)
	}
	return b
}

func appendUnhealthy(b []byte, item *Assessment) []byte {
	zones := item.Zones[:min(len(item.Zones), maxZones)]
	observers := item.Observers[:min(len(item.Observers), maxNamedObservers)]
	b = append(b, byte(len(zones)), byte(len(observers)))
	for _, zone := range zones {
		b = binary.BigEndian.AppendUint32(b, zone)
	}
	for _, id := range observers {
		b = binary.BigEndian.AppendUint64(b, uint64(id))
	}
	b = appendAge(b, item.FirstUnanswered)
	return appendAge(b, item.LastUnanswered)
}

// reader decodes a message; after an error it returns zeros.
type reader struct{ encoding.Reader }

func (r *reader) number(unit, limit float64) float64 {
	x := float64(r.Uvarint()) / unit
	r.Require(x <= limit)
	return x
}

func (r *reader) age() float64 { return r.number(unitsPerMs, maxAgeMs) }

// report reads the fields of a report and the age of an answer that are present by the flags f.
func (r *reader) report(f byte, base float64) (report ServerReport, age, answered float64) {
	report.Role, answered = Role(f&flagRole), -1
	r.Require(report.Role <= RoleReplica)
	if f&flagPosition != 0 {
		report.Position = base - r.number(unitsPerMs, maxPosition)
		age = r.age()
		r.Require(report.Position > 0)
	}
	if f&flagAnswered != 0 {
		answered = r.age()
	}
	return report, age, answered
}

func (r *reader) observation(base float64) Observation {
	item := Observation{Key: r.Uint32()}
	f := r.Byte()
	item.Unanswered = int(r.Byte())
	if item.Unanswered > 0 {
		item.FirstUnanswered = r.age()
		item.LastUnanswered = r.age()
		item.Work = r.age()
		r.Require(item.LastUnanswered <= item.FirstUnanswered)
	}
	item.Report, item.ReportAge, item.Answered = r.report(f, base)
	return item
}

func (r *reader) assessment(base float64) Assessment {
	item := Assessment{Key: r.Uint32()}
	f := r.Byte()
	item.Unhealthy = f&flagUnhealthy != 0
	item.AllZones = f&flagAllZones != 0
	if item.Unhealthy {
		zones, observers := r.ByteMax(maxZones), r.ByteMax(maxNamedObservers)
		for i := 0; i < zones && r.OK(); i++ {
			item.Zones = append(item.Zones, r.Uint32())
		}
		for i := 0; i < observers && r.OK(); i++ {
			item.Observers = append(item.Observers, ID(r.Uint64()))
		}
		item.FirstUnanswered = r.age()
		item.LastUnanswered = r.age()
		r.Require(item.LastUnanswered <= item.FirstUnanswered)
	}
	item.Report, item.ReportAge, item.Answered = r.report(f, base)
	return item
}

// Decode decodes a message: *Observations or *Assessments.
func Decode(b []byte) (any, error) {
	r := &reader{encoding.NewReader(b)}
	kind, sequence, base := r.Byte(), r.Uint32(), r.number(1, maxPosition)
	switch kind {
	case kindObservations:
		m := &Observations{Sequence: sequence}
		for r.More() {
			m.Items = append(m.Items, r.observation(base))
		}
		if r.OK() {
			return m, nil
		}
	case kindAssessments:
		m := &Assessments{Sequence: sequence}
		for r.More() {
			m.Items = append(m.Items, r.assessment(base))
		}
		if r.OK() {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%w: kind %d, %d bytes", ErrMalformed, kind, len(b))
}
