package statemachine

import (
	"encoding/binary"
	"fmt"
	"math"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/encoding"
)

// All numbers are varints. A plan is encoded as
//
//	number since version zones-hash author-length author zones {state rest}... links {from to state rest}... unserved max-fill
//	{shares {to share}...}...
//
// with shares in thousandths; a row holds the shares above 0 after their count. Rests are in seconds.
const (
	shareScale   = 1000
	msPerSecond  = 1000
	maxRestS     = 1e6
	maxFraction  = 1e12 // largest value of unserved and max-fill, in thousandths
	maxUntilMs   = 1 << 50
	shareEpsilon = 1e-6 // of a thousandth, that rounding errors may add or take away
)

// Marks of an order in a snapshot; the list of orders ends with noMoreOrders.
const (
	noMoreOrders = 0
	pastOrder    = 1
	activeOrder  = 2
)

// describe returns two plans for the report of a failed check.
func describe(a, b *Plan) string { return fmt.Sprintf("%+v, then %+v", a, b) }

func (s *ZoneStatus) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(s.State))
	return binary.AppendUvarint(b, uint64(max(0, math.Round(s.RestMs/msPerSecond))))
}

// thousandths returns a number in thousandths, rounded up.
func thousandths(x float64) uint64 {
	return uint64(min(maxFraction, max(0, math.Ceil(x*shareScale-shareEpsilon))))
}

// Append appends the encoded plan.
func (p *Plan) Append(b []byte) []byte { return p.append(b) }

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
		link := &p.Links[i]
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(link.From)), uint64(link.To))
		b = link.append(b)
	}
	b = binary.AppendUvarint(b, thousandths(p.Unserved))
	b = binary.AppendUvarint(b, thousandths(p.MaxFill))
	for zone, row := range p.Matrix {
		b = appendRow(b, zone, row)
	}
	return b
}

// appendRow appends a row of the matrix. Shares that leave the zone are rounded down; the remainders are added to the share that stays
// local, unless that is 0.
func appendRow(b []byte, zone int, row []float64) []byte {
	shares := make([]uint64, len(row))
	rounded := 0.0
	for to, share := range row {
		n := math.Floor(share*shareScale + shareEpsilon)
		if to != zone {
			rounded += share*shareScale - n
		}
		shares[to] = uint64(min(shareScale, max(0, n)))
	}
	if shares[zone] > 0 {
		shares[zone] = min(shareScale, uint64(row[zone]*shareScale+rounded+0.5))
	}
	count := 0
	for _, n := range shares {
		if n > 0 {
			count++
		}
	}
	b = binary.AppendUvarint(b, uint64(count))
	for to, n := range shares {
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

// reader decodes entries and snapshots. Decoding fails if a number is missing or above its bound.
type reader struct{ encoding.Reader }

func (r *reader) status() ZoneStatus {
	state := health.State(r.UvarintMax(uint64(health.Returning)))
	return ZoneStatus{State: state, RestMs: float64(r.UvarintMax(maxRestS)) * msPerSecond}
}

func (r *reader) text(limit uint64) string { return string(r.Take(int(r.UvarintMax(limit)))) }

func (r *reader) plan() *Plan {
	p := &Plan{Number: r.Uvarint(), Since: r.Uvarint(), Version: r.Uvarint()}
	p.ZonesHash = uint32(r.UvarintMax(math.MaxUint32))
	p.Author = r.text(MaxNameBytes)
	zones := r.UvarintMax(MaxZones)
	for range zones {
		p.Zones = append(p.Zones, r.status())
	}
	for range r.UvarintMax(MaxLinks) {
		if zones == 0 {
			r.Require(false)
			return p
		}
		from, to := int(r.UvarintMax(zones-1)), int(r.UvarintMax(zones-1))
		p.Links = append(p.Links, LinkStatus{From: from, To: to, ZoneStatus: r.status()})
	}
	p.Unserved = float64(r.UvarintMax(maxFraction)) / shareScale
	p.MaxFill = float64(r.UvarintMax(maxFraction)) / shareScale
	for range zones {
		p.Matrix = append(p.Matrix, r.row(zones))
	}
	return p
}

func (r *reader) row(zones uint64) []float64 {
	row := make([]float64, zones)
	sum := uint64(0)
	for range r.UvarintMax(zones) {
		to := r.UvarintMax(zones - 1)
		share := r.UvarintMax(shareScale)
		row[to] = float64(share) / shareScale
		sum += share
	}
	r.Require(sum <= shareScale)
	return row
}

func (r *reader) order() Order {
	return Order{
		Number: r.Uvarint(),
		Zone:   int(r.UvarintMax(MaxZones - 1)),
		Lifts:  r.UvarintMax(1) == 1,
		State:  health.State(r.UvarintMax(uint64(health.Returning))),
		Until:  float64(r.UvarintMax(maxUntilMs)),
	}
}

// DecodePlan decodes a plan that takes up all bytes.
func DecodePlan(b []byte) (*Plan, error) {
	r := reader{encoding.NewReader(b)}
	if p := r.plan(); r.AtEnd() {
		return p, nil
	}
	return nil, ErrMalformed
}

// Rounded returns the plan as other poolers decode it, with rounded numbers.
func (p *Plan) Rounded() *Plan {
	rounded, err := DecodePlan(p.append(nil))
	if err != nil {
		return &Plan{Matrix: plan.IdentityMatrix(len(p.Zones))}
	}
	return rounded
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (machine *StateMachine) Snapshot() []byte {
	out := binary.AppendUvarint(binary.AppendUvarint(nil, machine.Index), machine.Version)
	for zone := range machine.orders {
		order := &machine.orders[zone]
		switch {
		case order.Number == 0:
			continue
		case machine.active[zone]:
			out = append(out, activeOrder)
		default:
			out = append(out, pastOrder)
		}
		out = order.append(out)
	}
	out = append(out, noMoreOrders)
	if machine.Plan != nil {
		out = machine.Plan.append(append(out, 1))
	}
	return out
}

// Restore replaces the state by that of a snapshot. An error leaves the state unchanged.
func (machine *StateMachine) Restore(snapshot []byte) error {
	restored := StateMachine{Checks: machine.Checks, AcceptsAnyPlan: machine.AcceptsAnyPlan}
	if len(snapshot) > 0 {
		r := reader{encoding.NewReader(snapshot)}
		restored.Index, restored.Version = r.Uvarint(), r.Uvarint()
		for mark := r.UvarintMax(activeOrder); mark != noMoreOrders && r.OK(); mark = r.UvarintMax(activeOrder) {
			order := r.order()
			restored.orders[order.Zone] = order
			restored.active[order.Zone] = mark == activeOrder
		}
		if r.More() && r.UvarintMax(1) == 1 {
			restored.Plan = r.plan()
		}
		if !r.AtEnd() {
			return ErrMalformed
		}
	}
	*machine = restored
	return nil
}

// Clone returns an independent copy.
func (machine *StateMachine) Clone() *StateMachine {
	clone := *machine
	return &clone
}
