package zones

import (
	"encoding/binary"
	"errors"
	"math"

	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
)

// ErrMalformed is of bytes that are no word about zones.
var ErrMalformed = errors.New("no word about zones")

// Report is a pooler's word to a voter: the newest plan that it has, and what it saw.
type Report struct {
	PlanNumber uint64
	planner.Report
}

// PlanUpdate is a voter's: the newest plan that it applied, whole where Plan is there, and how long ago.
type PlanUpdate struct {
	PlanNumber uint64
	AgeMs      float64
	Plan       *statemachine.Plan
}

const (
	kindReport     = 1
	kindPlanUpdate = 2

	maxParts          = 64
	maxCellsPerPart   = 32 // of a part, so that it goes in one datagram
	maxDemandsPerPart = 60
	rateScale         = 100
)

// splitReport makes parts that each fit a datagram.
func splitReport(t *planner.Report) (out []planner.Report) {
	cells, asks := t.Cells, t.Demands
	for len(out) < maxParts && (len(out) == 0 || len(cells)+len(asks) > 0) {
		p := planner.Report{Zone: t.Zone, Part: len(out)}
		n := min(len(cells), maxCellsPerPart)
		p.Cells, cells = cells[:n], cells[n:]
		if n = min(len(asks), maxDemandsPerPart); len(p.Cells) < maxCellsPerPart/2 { // one or the other, mostly
			p.Demands, asks = asks[:n], asks[n:]
		}
		out = append(out, p)
	}
	return out
}

func appendNumber(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(min(1e12, max(0, math.Round(x)))))
}

// Append is part.Words'.
func (t *Report) Append(b []byte) []byte {
	b = binary.AppendUvarint(append(b, kindReport), t.PlanNumber)
	b = appendNumber(appendNumber(appendNumber(b, float64(t.Zone)), float64(t.Part)), float64(len(t.Cells)))
	for i := range t.Cells {
		c := &t.Cells[i]
		b = appendNumber(appendNumber(b, float64(c.Group)), float64(c.Zone))
		for _, x := range []float64{c.Attempts, c.Lost, c.Cores, c.FullCores, c.FixedCores} {
			b = appendNumber(b, x*rateScale)
		}
		b = appendNumber(b, c.AgeMs)
	}
	b = appendNumber(b, float64(len(t.Demands)))
	for _, a := range t.Demands {
		b = appendNumber(appendNumber(appendNumber(b, float64(a.Group)), float64(a.Class)), a.Load*10*rateScale)
	}
	return b
}

// Append is part.Words'.
func (w *PlanUpdate) Append(b []byte) []byte {
	b = appendNumber(binary.AppendUvarint(append(b, kindPlanUpdate), w.PlanNumber), w.AgeMs)
	if w.Plan != nil {
		b = w.Plan.Append(b)
	}
	return b
}

// Decode reads either, all or nothing.
func Decode(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, ErrMalformed
	}
	verb, bad := b[0], false
	b = b[1:]
	next := func(most float64) float64 {
		x, n := binary.Uvarint(b)
		if n <= 0 || float64(x) > most {
			bad, b = true, nil
			return 0
		}
		b = b[n:]
		return float64(x)
	}
	no, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, ErrMalformed
	}
	b = b[n:]
	switch verb {
	case kindReport:
		t := &Report{PlanNumber: no}
		t.Zone, t.Part = int(next(statemachine.MaxZones-1)), int(next(maxParts-1))
		for range int(next(maxCellsPerPart)) {
			c := planner.Cell{Group: int(next(math.MaxInt32)), Zone: int(next(statemachine.MaxZones - 1))}
			for _, x := range []*float64{&c.Attempts, &c.Lost, &c.Cores, &c.FullCores, &c.FixedCores} {
				*x = next(1e12) / rateScale
			}
			c.AgeMs = next(1e12)
			t.Cells = append(t.Cells, c)
		}
		for range int(next(maxDemandsPerPart)) {
			t.Demands = append(t.Demands, planner.Demand{Group: int(next(math.MaxInt32)), Class: int(next(1 << 16)), Load: next(1e12) / (10 * rateScale)})
		}
		if bad || len(b) > 0 {
			return nil, ErrMalformed
		}
		return t, nil
	case kindPlanUpdate:
		w := &PlanUpdate{PlanNumber: no, AgeMs: next(1e12)}
		if bad {
			return nil, ErrMalformed
		}
		if len(b) > 0 {
			var err error
			if w.Plan, err = statemachine.DecodePlan(b); err != nil {
				return nil, err
			}
		}
		return w, nil
	}
	return nil, ErrMalformed
}
