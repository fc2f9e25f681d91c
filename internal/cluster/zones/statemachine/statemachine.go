// Package statemachine keeps the plan in force and the operators' orders. It is a machine on the log that the poolers agree on: each voter applies
// the same entries in the same order and comes to the same book. It has no clock: an order's end is an entry too, which who leads proposes.
//
// # What is always so
//
// A plan's number is the one before and one; it names the version of the orders that it was made with. An entry that is neither is void, so
// of two who lead at once, or one who was asleep, one is too late: there is one plan for each number, and none made without an order that
// stands. An order has a number too, by which it is taken once, and none after a newer one of its zone.
package statemachine

import (
	"errors"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/encoding"
	"beechgrade/internal/invariant"
)

// Bounds of what is taken.
const (
	MaxZones     = 27
	MaxNameBytes = 64
	MaxLinks     = 64 // ways between zones that are not as usual
)

// ErrMalformed is of an entry that cannot be read.
var ErrMalformed = errors.New("no entry about zones")

// ZoneStatus is how a zone, or a way, stands by a plan.
type ZoneStatus struct {
	State  health.State
	RestMs float64 // ms, the next one's, in whole seconds
}

// LinkStatus is one between two zones that does not stand as usual.
type LinkStatus struct {
	From, To int
	ZoneStatus
}

// Plan is what the fleet does. Shares are in thousandths, rounded so that nothing more than was meant goes anywhere else.
type Plan struct {
	Number    uint64
	Since     uint64 // the number from which on plans asked for the same; the log's order says it
	Version   uint64 // of the orders that it was made with
	ZonesHash uint32 // a sum of the zones' names: a pooler that has others does not follow
	Author    string // the voter that made it
	Zones     []ZoneStatus
	Links     []LinkStatus
	Matrix    plan.Matrix
	Unserved  float64 // cores of work without safe room, in thousandths
	MaxFill   float64 // the largest part of its safe room that a zone gets which receives, in thousandths
}

// SameTarget tells whether two plans ask for the same.
func (p *Plan) SameTarget(o *Plan) bool {
	a, b := *p, *o
	a.Number, b.Number, a.Since, b.Since, a.Author, b.Author, a.Unserved, b.Unserved, a.MaxFill, b.MaxFill = 0, 0, 0, 0, "", "", 0, 0, 0, 0
	return string(a.append(nil)) == string(b.append(nil))
}

// Order is an operators' word on a zone.
type Order struct {
	Number uint64
	Zone   int
	Lifts  bool // none holds from here on
	State  health.State
	Until  float64 // Unix ms, whole; 0 for until it is taken back
}

// StateMachine is what was agreed.
type StateMachine struct {
	Index          uint64
	Plan           *Plan // nil before the first
	Version        uint64
	Checks         *invariant.Checks
	AcceptsAnyPlan bool // a mutant: any plan is taken

	orders [MaxZones]Order // by zone: the newest
	active [MaxZones]bool
}

// New makes an empty book.
func New() *StateMachine { return &StateMachine{} }

// Order is the one that stands for a zone.
func (machine *StateMachine) Order(zone int) (o Order, ok bool) {
	if zone < 0 || zone >= MaxZones || !machine.active[zone] {
		return Order{}, false
	}
	return machine.orders[zone], true
}

// NewestOrder is the number of a zone's newest order.
func (machine *StateMachine) NewestOrder(zone int) uint64 { return machine.orders[zone].Number }

// What an entry is.
const (
	entryPlan     = 1
	entryOrder    = 2
	entryOrderEnd = 3
)

// EncodePlan, EncodeOrder and EncodeOrderEnd make entries. An order's end is that of its number.
func EncodePlan(p *Plan) []byte      { return p.append([]byte{entryPlan}) }
func EncodeOrder(o *Order) []byte    { return o.append([]byte{entryOrder}) }
func EncodeOrderEnd(o *Order) []byte { return o.append([]byte{entryOrderEnd}) }

// Apply takes an entry, once, and tells whether it changed anything. One that cannot be read does not.
func (machine *StateMachine) Apply(index uint64, entry []byte) bool {
	if index <= machine.Index {
		return false
	}
	machine.Index = index
	if len(entry) == 0 {
		return false
	}
	r := reader{encoding.NewReader(entry[1:])}
	switch entry[0] {
	case entryPlan:
		p := r.plan()
		if !r.AtEnd() {
			return false
		}
		return machine.applyPlan(p)
	case entryOrder, entryOrderEnd:
		o := r.order()
		if !r.AtEnd() {
			return false
		}
		return machine.applyOrder(o, entry[0] == entryOrderEnd)
	}
	return false
}

func (machine *StateMachine) applyPlan(p *Plan) bool {
	last := uint64(0)
	if machine.Plan != nil {
		last = machine.Plan.Number
	}
	if (p.Number != last+1 || p.Version != machine.Version) && !machine.AcceptsAnyPlan {
		return false
	}
	if machine.Checks.Enabled() {
		machine.Checks.That(p.Number > last, "zones: no old plan after a new one", func() string { return describe(machine.Plan, p) })
	}
	if p.Since = p.Number; machine.Plan != nil && machine.Plan.SameTarget(p) {
		p.Since = machine.Plan.Since
	}
	machine.Plan = p
	return true
}

func (machine *StateMachine) applyOrder(o Order, end bool) bool {
	at := &machine.orders[o.Zone]
	switch {
	case end && (o.Number != at.Number || !machine.active[o.Zone]), !end && o.Number <= at.Number:
		return false
	case end:
		machine.active[o.Zone] = false
	default:
		*at, machine.active[o.Zone] = o, !o.Lifts
	}
	machine.Version++
	return true
}
