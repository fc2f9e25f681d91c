package statemachine

import (
	"encoding/binary"
	"fmt"
	"math"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/encoding"
)

// All numbers are varints; a plan is
//
//	no since version of by-length by zones {state rest}... ways {from to state rest}... short most {cells {to part}...}...
//
// with parts in thousandths, and rows without the cells that are nothing.

const parts = 1000

func describe(a, b *Plan) string { return fmt.Sprintf("%+v, then %+v", a, b) }

func (m *Mark) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(m.State))
	return binary.AppendUvarint(b, uint64(max(0, math.Round(m.Rest/1000))))
}

func thousandths(x float64) uint64 { return uint64(min(1e12, max(0, math.Ceil(x*parts-1e-6)))) }

func (p *Plan) append(b []byte) []byte {
	for _, x := range []uint64{p.No, p.Since, p.Version, uint64(p.Of), uint64(len(p.By))} {
		b = binary.AppendUvarint(b, x)
	}
	b = append(b, p.By...)
	b = binary.AppendUvarint(b, uint64(len(p.Zones)))
	for i := range p.Zones {
		b = p.Zones[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(p.Ways)))
	for i := range p.Ways {
		w := &p.Ways[i]
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(w.From)), uint64(w.To))
		b = w.append(b)
	}
	b = binary.AppendUvarint(binary.AppendUvarint(b, thousandths(p.Short)), thousandths(p.Most))
	for z, row := range p.Matrix {
		b = appendRow(b, z, row)
	}
	return b
}

// appendRow rounds what goes elsewhere down, and has what stays make up for it, where anything stays.
func appendRow(b []byte, z int, row []float64) []byte {
	var cells []uint64
	lost := 0.0
	for to, p := range row {
		n := math.Floor(p*parts + 1e-6)
		if to != z {
			lost += p*parts - n
		}
		cells = append(cells, uint64(min(parts, max(0, n))))
	}
	if cells[z] > 0 {
		cells[z] = min(parts, uint64(row[z]*parts+lost+0.5))
	}
	count := 0
	for _, n := range cells {
		if n > 0 {
			count++
		}
	}
	b = binary.AppendUvarint(b, uint64(count))
	for to, n := range cells {
		if n > 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(to)), n)
		}
	}
	return b
}

func (o *Order) append(b []byte) []byte {
	lifts := uint64(0)
	if o.Lifts {
		lifts = 1
	}
	for _, x := range []uint64{o.No, uint64(o.Zone), lifts, uint64(o.State), uint64(max(0, o.Until))} {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

// reader reads numbers; what is none, or above its bound, spoils it.
type reader struct{ encoding.Reader }

func (r *reader) mark() Mark {
	return Mark{State: health.State(r.UvarintMax(uint64(health.Returning))), Rest: float64(r.UvarintMax(1e6)) * 1000}
}

func (r *reader) text(most uint64) string { return string(r.Take(int(r.UvarintMax(most)))) }

func (r *reader) plan() *Plan {
	p := &Plan{No: r.Uvarint(), Since: r.Uvarint(), Version: r.Uvarint(), Of: uint32(r.UvarintMax(math.MaxUint32)), By: r.text(MostName)}
	zones := r.UvarintMax(MostZones)
	for range zones {
		p.Zones = append(p.Zones, r.mark())
	}
	for range r.UvarintMax(MostWays) {
		if zones == 0 {
			r.Require(false)
			return p
		}
		p.Ways = append(p.Ways, Way{From: int(r.UvarintMax(zones - 1)), To: int(r.UvarintMax(zones - 1)), Mark: r.mark()})
	}
	p.Short, p.Most = float64(r.UvarintMax(1e12))/parts, float64(r.UvarintMax(1e12))/parts
	for range zones {
		row, sum := make([]float64, zones), uint64(0)
		for range r.UvarintMax(zones) {
			to := r.UvarintMax(zones - 1)
			n := r.UvarintMax(parts)
			row[to], sum = float64(n)/parts, sum+n
		}
		r.Require(sum <= parts)
		p.Matrix = append(p.Matrix, row)
	}
	return p
}

func (r *reader) order() Order {
	return Order{No: r.Uvarint(), Zone: int(r.UvarintMax(MostZones - 1)), Lifts: r.UvarintMax(1) == 1, State: health.State(r.UvarintMax(uint64(health.Returning))), Until: float64(r.UvarintMax(1 << 50))}
}

// ReadPlan reads a plan's bytes, all or nothing.
func ReadPlan(b []byte) (*Plan, error) {
	r := reader{encoding.NewReader(b)}
	if p := r.plan(); r.AtEnd() {
		return p, nil
	}
	return nil, ErrForm
}

// Append makes a plan's bytes.
func (p *Plan) Append(b []byte) []byte { return p.append(b) }

// Rounded is a plan as others read it.
func (p *Plan) Rounded() *Plan {
	q, err := ReadPlan(p.append(nil))
	if err != nil {
		return &Plan{Matrix: plan.Near(len(p.Zones))}
	}
	return q
}

// Snapshot is the book as bytes: the same book, the same bytes.
func (b *Book) Snapshot() []byte {
	out := binary.AppendUvarint(binary.AppendUvarint(nil, b.Index), b.Version)
	for z := range b.orders {
		if b.orders[z].No > 0 {
			out = append(out, 1)
			if b.stands[z] {
				out[len(out)-1] = 2
			}
			out = b.orders[z].append(out)
		}
	}
	out = append(out, 0)
	if b.Plan != nil {
		out = b.Plan.append(append(out, 1))
	}
	return out
}

// Restore takes the book from bytes, or leaves it as it is.
func (b *Book) Restore(data []byte) error {
	n := Book{Checks: b.Checks, Sloppy: b.Sloppy}
	if len(data) > 0 {
		r := reader{encoding.NewReader(data)}
		n.Index, n.Version = r.Uvarint(), r.Uvarint()
		for k := r.UvarintMax(2); k > 0 && r.OK(); k = r.UvarintMax(2) {
			o := r.order()
			n.orders[o.Zone], n.stands[o.Zone] = o, k == 2
		}
		if r.More() && r.UvarintMax(1) == 1 {
			n.Plan = r.plan()
		}
		if !r.AtEnd() {
			return ErrForm
		}
	}
	*b = n
	return nil
}

// Clone makes another like it.
func (b *Book) Clone() *Book {
	c := *b
	return &c
}
