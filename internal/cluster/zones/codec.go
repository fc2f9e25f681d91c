package zones

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
	"beechgrade/internal/encoding"
)

// ErrMalformed is the error of a message that cannot be decoded.
var ErrMalformed = errors.New("zones: malformed message")

// Report is a pooler's message to a voter: the number of the newest plan that it has, and what it observed.
type Report struct {
	PlanNumber uint64
	planner.Report
}

// PlanUpdate is a voter's message: the number of the newest plan that it applied, and how long ago that was.
type PlanUpdate struct {
	PlanNumber uint64
	AgeMs      float64
	Plan       *statemachine.Plan // nil where the receiver already has the plan
}

// Kinds of messages.
const (
	kindReport     = 1
	kindPlanUpdate = 2
)

// Bounds of a report, so that each part of it fits in one datagram.
const (
	maxParts          = 64
	maxCellsPerPart   = 32
	maxDemandsPerPart = 60
)

// Scales and bounds of encoded numbers.
const (
	rateScale = 100 // rates and cores are in hundredths
	loadScale = 10  // loads are in thousandths, this many times finer than rates
	maxNumber = 1e12
	maxClass  = 1 << 16
)

// splitReport splits a report into parts that each fit in a datagram. Demands are added only to parts with less than half the cells that
// fit.
func splitReport(report *planner.Report) (parts []planner.Report) {
	cells, demands := report.Cells, report.Demands
	for len(parts) < maxParts && (len(parts) == 0 || len(cells)+len(demands) > 0) {
		part := planner.Report{Zone: report.Zone, Part: len(parts)}
		n := min(len(cells), maxCellsPerPart)
		part.Cells, cells = cells[:n], cells[n:]
		if len(part.Cells) < maxCellsPerPart/2 {
			n = min(len(demands), maxDemandsPerPart)
			part.Demands, demands = demands[:n], demands[n:]
		}
		parts = append(parts, part)
	}
	return parts
}

func appendNumber(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(min(maxNumber, max(0, math.Round(x)))))
}

// Append implements module.Message.
func (m *Report) Append(b []byte) []byte {
	b = binary.AppendUvarint(append(b, kindReport), m.PlanNumber)
	b = appendNumber(b, float64(m.Zone))
	b = appendNumber(b, float64(m.Part))
	b = appendNumber(b, float64(len(m.Cells)))
	for i := range m.Cells {
		cell := &m.Cells[i]
		b = appendNumber(b, float64(cell.Group))
		b = appendNumber(b, float64(cell.Zone))
		for _, x := range []float64{cell.Attempts, cell.Lost, cell.Cores, cell.FullCores, cell.FixedCores} {
			b = appendNumber(b, x*rateScale)
		}
		b = appendNumber(b, cell.AgeMs)
	}
	b = appendNumber(b, float64(len(m.Demands)))
	for _, demand := range m.Demands {
		b = appendNumber(b, float64(demand.Group))
		b = appendNumber(b, float64(demand.Class))
		b = appendNumber(b, demand.Load*loadScale*rateScale)
	}
	return b
}

// Append implements module.Message.
func (m *PlanUpdate) Append(b []byte) []byte {
	b = binary.AppendUvarint(append(b, kindPlanUpdate), m.PlanNumber)
	b = appendNumber(b, m.AgeMs)
	if m.Plan != nil {
		b = m.Plan.Append(b)
	}
	return b
}

// Decode decodes a message that takes up all bytes: *Report or *PlanUpdate.
func Decode(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: empty message", ErrMalformed)
	}
	switch b[0] {
	case kindReport:
		return decodeReport(b[1:])
	case kindPlanUpdate:
		return decodePlanUpdate(b[1:])
	}
	return nil, fmt.Errorf("%w: unknown kind %d", ErrMalformed, b[0])
}

// reader decodes a report; after a decoding error all further values are 0.
type reader struct{ encoding.Reader }

func (r *reader) int(limit uint64) int         { return int(r.UvarintMax(limit)) }
func (r *reader) scaled(scale float64) float64 { return float64(r.UvarintMax(maxNumber)) / scale }

func decodeReport(b []byte) (any, error) {
	r := reader{encoding.NewReader(b)}
	m := &Report{PlanNumber: r.Uvarint()}
	m.Zone = r.int(statemachine.MaxZones - 1)
	m.Part = r.int(maxParts - 1)
	for range r.int(maxCellsPerPart) {
		m.Cells = append(m.Cells, r.cell())
	}
	for range r.int(maxDemandsPerPart) {
		m.Demands = append(m.Demands, planner.Demand{Group: r.int(math.MaxInt32), Class: r.int(maxClass), Load: r.scaled(loadScale * rateScale)})
	}
	if !r.AtEnd() {
		return nil, fmt.Errorf("%w: report of %d bytes", ErrMalformed, len(b))
	}
	return m, nil
}

func (r *reader) cell() planner.Cell {
	cell := planner.Cell{Group: r.int(math.MaxInt32), Zone: r.int(statemachine.MaxZones - 1)}
	for _, x := range []*float64{&cell.Attempts, &cell.Lost, &cell.Cores, &cell.FullCores, &cell.FixedCores} {
		*x = r.scaled(rateScale)
	}
	cell.AgeMs = r.scaled(1)
	return cell
}

func decodePlanUpdate(b []byte) (any, error) {
	malformed := fmt.Errorf("%w: plan update of %d bytes", ErrMalformed, len(b))
	number, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, malformed
	}
	b = b[n:]
	age, n := binary.Uvarint(b)
	if n <= 0 || age > maxNumber {
		return nil, malformed
	}
	b = b[n:]
	m := &PlanUpdate{PlanNumber: number, AgeMs: float64(age)}
	if len(b) > 0 {
		var err error
		if m.Plan, err = statemachine.DecodePlan(b); err != nil {
			return nil, err
		}
	}
	return m, nil
}
