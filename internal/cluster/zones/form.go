package zones

import (
	"encoding/binary"
	"errors"
	"math"

	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
)

// ErrForm is of bytes that are no word about zones.
var ErrForm = errors.New("no word about zones")

// Tell is a pooler's word to a voter: the newest plan that it has, and what it saw.
type Tell struct {
	No uint64
	planner.Tell
}

// Word is a voter's: the newest plan that it applied, whole where Plan is there, and how long ago.
type Word struct {
	No   uint64
	Age  float64
	Plan *statemachine.Plan
}

const (
	verbTell = 1
	verbWord = 2

	mostParts = 64
	mostCells = 32 // of a part, so that it goes in one datagram
	mostAsks  = 60
	hundred   = 100
)

// split makes parts that each fit a datagram.
func split(t *planner.Tell) (out []planner.Tell) {
	cells, asks := t.Cells, t.Asks
	for len(out) < mostParts && (len(out) == 0 || len(cells)+len(asks) > 0) {
		p := planner.Tell{Zone: t.Zone, Part: len(out)}
		n := min(len(cells), mostCells)
		p.Cells, cells = cells[:n], cells[n:]
		if n = min(len(asks), mostAsks); len(p.Cells) < mostCells/2 { // one or the other, mostly
			p.Asks, asks = asks[:n], asks[n:]
		}
		out = append(out, p)
	}
	return out
}

func num(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(min(1e12, max(0, math.Round(x)))))
}

// Append is part.Words'.
func (t *Tell) Append(b []byte) []byte {
	b = binary.AppendUvarint(append(b, verbTell), t.No)
	b = num(num(num(b, float64(t.Zone)), float64(t.Part)), float64(len(t.Cells)))
	for i := range t.Cells {
		c := &t.Cells[i]
		b = num(num(b, float64(c.Group)), float64(c.Zone))
		for _, x := range []float64{c.Asked, c.Lost, c.Cores, c.Whole, c.Fixed} {
			b = num(b, x*hundred)
		}
		b = num(b, c.Age)
	}
	b = num(b, float64(len(t.Asks)))
	for _, a := range t.Asks {
		b = num(num(num(b, float64(a.Group)), float64(a.Class)), a.Load*10*hundred)
	}
	return b
}

// Append is part.Words'.
func (w *Word) Append(b []byte) []byte {
	b = num(binary.AppendUvarint(append(b, verbWord), w.No), w.Age)
	if w.Plan != nil {
		b = w.Plan.Append(b)
	}
	return b
}

// Read reads either, all or nothing.
func Read(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, ErrForm
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
		return nil, ErrForm
	}
	b = b[n:]
	switch verb {
	case verbTell:
		t := &Tell{No: no}
		t.Zone, t.Part = int(next(statemachine.MostZones-1)), int(next(mostParts-1))
		for range int(next(mostCells)) {
			c := planner.Cell{Group: int(next(math.MaxInt32)), Zone: int(next(statemachine.MostZones - 1))}
			for _, x := range []*float64{&c.Asked, &c.Lost, &c.Cores, &c.Whole, &c.Fixed} {
				*x = next(1e12) / hundred
			}
			c.Age = next(1e12)
			t.Cells = append(t.Cells, c)
		}
		for range int(next(mostAsks)) {
			t.Asks = append(t.Asks, planner.Ask{Group: int(next(math.MaxInt32)), Class: int(next(1 << 16)), Load: next(1e12) / (10 * hundred)})
		}
		if bad || len(b) > 0 {
			return nil, ErrForm
		}
		return t, nil
	case verbWord:
		w := &Word{No: no, Age: next(1e12)}
		if bad {
			return nil, ErrForm
		}
		if len(b) > 0 {
			var err error
			if w.Plan, err = statemachine.ReadPlan(b); err != nil {
				return nil, err
			}
		}
		return w, nil
	}
	return nil, ErrForm
}
