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

const shareScale = 1000

func describe(a, b *Plan) string { return fmt.Sprintf("%+v, then %+v", a, b) }

func (m *ZoneStatus) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(m.State))
	return binary.AppendUvarint(b, uint64(max(0, math.Round(m.RestMs/1000))))
}

func thousandths(x float64) uint64 { return uint64(min(1e12, max(0, math.Ceil(x*shareScale-1e-6)))) }

func (p *Plan) append(b []byte) []byte {
	for _, x := range []uint64{p.Number, p.Since, p.Version, uint64(p.ZonesHash), uint64(len(p.Author))} {
		b = binary.AppendUvarint(b, x)
	}
	b = append(b, p.Author...)
	b = binary.AppendUvarint(b, uint64(len(p.Zones)))
	for i := range p.Zones {
		b = p.Zones[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(p.Links)))
	for i := range p.Links {
		w := &p.Links[i]
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(w.From)), uint64(w.To))
		b = w.append(b)
	}
	b = binary.AppendUvarint(binary.AppendUvarint(b, thousandths(p.Unserved)), thousandths(p.MaxFill))
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
		n := math.Floor(p*shareScale + 1e-6)
		if to != z {
			lost += p*shareScale - n
		}
		cells = append(cells, uint64(min(shareScale, max(0, n))))
	}
	if cells[z] > 0 {
		cells[z] = min(shareScale, uint64(row[z]*shareScale+lost+0.5))
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
	for _, x := range []uint64{o.Number, uint64(o.Zone), lifts, uint64(o.State), uint64(max(0, o.Until))} {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

// reader reads numbers; what is none, or above its bound, spoils it.
type reader struct{ encoding.Reader }

func (r *reader) mark() ZoneStatus {
	return ZoneStatus{State: health.State(r.UvarintMax(uint64(health.Returning))), RestMs: float64(r.UvarintMax(1e6)) * 1000}
}

func (r *reader) text(most uint64) string { return string(r.Take(int(r.UvarintMax(most)))) }

func (r *reader) plan() *Plan {
	p := &Plan{Number: r.Uvarint(), Since: r.Uvarint(), Version: r.Uvarint(), ZonesHash: uint32(r.UvarintMax(math.MaxUint32)), Author: r.text(MaxNameBytes)}
	zones := r.UvarintMax(MaxZones)
	for range zones {
		p.Zones = append(p.Zones, r.mark())
	}
	for range r.UvarintMax(MaxLinks) {
		if zones == 0 {
			r.Require(false)
			return p
		}
		p.Links = append(p.Links, LinkStatus{From: int(r.UvarintMax(zones - 1)), To: int(r.UvarintMax(zones - 1)), ZoneStatus: r.mark()})
	}
	p.Unserved, p.MaxFill = float64(r.UvarintMax(1e12))/shareScale, float64(r.UvarintMax(1e12))/shareScale
	for range zones {
		row, sum := make([]float64, zones), uint64(0)
		for range r.UvarintMax(zones) {
			to := r.UvarintMax(zones - 1)
			n := r.UvarintMax(shareScale)
			row[to], sum = float64(n)/shareScale, sum+n
		}
		r.Require(sum <= shareScale)
		p.Matrix = append(p.Matrix, row)
	}
	return p
}

func (r *reader) order() Order {
	return Order{Number: r.Uvarint(), Zone: int(r.UvarintMax(MaxZones - 1)), Lifts: r.UvarintMax(1) == 1, State: health.State(r.UvarintMax(uint64(health.Returning))), Until: float64(r.UvarintMax(1 << 50))}
}

// DecodePlan reads a plan's bytes, all or nothing.
func DecodePlan(b []byte) (*Plan, error) {
	r := reader{encoding.NewReader(b)}
	if p := r.plan(); r.AtEnd() {
		return p, nil
	}
	return nil, ErrMalformed
}

// Append makes a plan's bytes.
func (p *Plan) Append(b []byte) []byte { return p.append(b) }

// Rounded is a plan as others read it.
func (p *Plan) Rounded() *Plan {
	q, err := DecodePlan(p.append(nil))
	if err != nil {
		return &Plan{Matrix: plan.IdentityMatrix(len(p.Zones))}
	}
	return q
}

// Snapshot is the book as bytes: the same book, the same bytes.
func (machine *StateMachine) Snapshot() []byte {
	out := binary.AppendUvarint(binary.AppendUvarint(nil, machine.Index), machine.Version)
	for z := range machine.orders {
		if machine.orders[z].Number > 0 {
			out = append(out, 1)
			if machine.active[z] {
				out[len(out)-1] = 2
			}
			out = machine.orders[z].append(out)
		}
	}
	out = append(out, 0)
	if machine.Plan != nil {
		out = machine.Plan.append(append(out, 1))
	}
	return out
}

// Restore takes the book from bytes, or leaves it as it is.
func (machine *StateMachine) Restore(data []byte) error {
	n := StateMachine{Checks: machine.Checks, AcceptsAnyPlan: machine.AcceptsAnyPlan}
	if len(data) > 0 {
		r := reader{encoding.NewReader(data)}
		n.Index, n.Version = r.Uvarint(), r.Uvarint()
		for k := r.UvarintMax(2); k > 0 && r.OK(); k = r.UvarintMax(2) {
			o := r.order()
			n.orders[o.Zone], n.active[o.Zone] = o, k == 2
		}
		if r.More() && r.UvarintMax(1) == 1 {
			n.Plan = r.plan()
		}
		if !r.AtEnd() {
			return ErrMalformed
		}
	}
	*machine = n
	return nil
}

// Clone makes another like it.
func (machine *StateMachine) Clone() *StateMachine {
	c := *machine
	return &c
}
