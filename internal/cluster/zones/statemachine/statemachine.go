// Package statemachine holds the plan in force and the operators' orders. It is a state machine of the replicated log: each voter applies
// the same entries in the same order and reaches the same state. It does no I/O and has no clock: an order that expires is ended by an
// entry that the leader proposes. Without new entries the state does not change.
//
// # Guarantees
//
// A plan has the number of the previous plan plus one, and the version of the orders that it was made with. A plan for which either does
// not hold is rejected. So if two voters believe that they lead, or a paused leader continues, the later proposal is rejected: there is one
// plan for each number, and none that ignores an active order. Orders are numbered for each zone: each one is applied once, and none after
// a newer one.
package statemachine

import (
	"errors"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/encoding"
	"beechgrade/internal/invariant"
)

// Bounds of entries.
const (
	MaxZones     = 27
	MaxNameBytes = 64
	MaxLinks     = 64 // links in a plan, which are those not serving
)

// ErrMalformed is the error of an entry, a plan or a snapshot that cannot be decoded.
var ErrMalformed = errors.New("zones: malformed entry, plan or snapshot")

// ZoneStatus is the state of a zone or a link in a plan.
type ZoneStatus struct {
	State  health.State
	RestMs float64 // the next rest, in whole seconds
}

// LinkStatus is the state of a link between two zones that is not serving.
type LinkStatus struct {
	From, To int
	ZoneStatus
}

// Plan defines to which zones the fleet sends the reads of each zone. Encoded shares are in thousandths, rounded so that no zone receives
// more than was planned.
type Plan struct {
	Number    uint64
	Since     uint64 // the number of the first plan with the same target; set when the plan is applied
	Version   uint64 // of the orders that the plan was made with
	ZonesHash uint32 // of the zones' names: a pooler with other zones does not follow the plan
	Author    string // name of the voter that made the plan
	Zones     []ZoneStatus
	Links     []LinkStatus
	Matrix    plan.Matrix
	Unserved  float64 // cores of work without safe capacity, in whole thousandths
	MaxFill   float64 // the largest part of its safe capacity that a receiving zone is sent, in whole thousandths
}

// SameTarget reports whether two plans send the same reads to the same zones.
func (p *Plan) SameTarget(other *Plan) bool {
	return string(p.target()) == string(other.target())
}

// target returns the encoded plan without the fields that may differ between plans with the same target.
func (p *Plan) target() []byte {
	same := *p
	same.Number, same.Since, same.Author = 0, 0, ""
	same.Unserved, same.MaxFill = 0, 0
	return same.append(nil)
}

// Order is an operators' order that sets a zone's state.
type Order struct {
	Number uint64
	Zone   int
	Lifts  bool // ends the previous order without setting a state
	State  health.State
	Until  float64 // whole Unix ms; 0 for an order that lasts until it is lifted
}

// StateMachine is the agreed state.
type StateMachine struct {
	Index          uint64 // of the last applied entry
	Plan           *Plan  // nil before the first one
	Version        uint64 // of the orders: the number of changes to them
	Checks         *invariant.Checks
	AcceptsAnyPlan bool // fault injected by tests: plans with any number and version are accepted

	orders [MaxZones]Order // the newest order of each zone
	active [MaxZones]bool  // whether that order is active
}

// New returns an empty StateMachine.
func New() *StateMachine { return &StateMachine{} }

// Order returns the active order of a zone.
func (machine *StateMachine) Order(zone int) (order Order, ok bool) {
	if zone < 0 || zone >= MaxZones || !machine.active[zone] {
		return Order{}, false
	}
	return machine.orders[zone], true
}

// NewestOrder returns the number of a zone's newest order, active or not.
func (machine *StateMachine) NewestOrder(zone int) uint64 { return machine.orders[zone].Number }

// Kinds of entries.
const (
	entryPlan     = 1
	entryOrder    = 2
	entryOrderEnd = 3
)

// EncodePlan returns the entry that proposes a plan.
func EncodePlan(p *Plan) []byte { return p.append([]byte{entryPlan}) }

// EncodeOrder returns the entry of an order.
func EncodeOrder(o *Order) []byte { return o.append([]byte{entryOrder}) }

// EncodeOrderEnd returns the entry that ends the order with the same number.
func EncodeOrderEnd(o *Order) []byte { return o.append([]byte{entryOrderEnd}) }

// Apply applies the entry with an index and reports whether the state changed. An entry with an index that was applied already is ignored,
// and so is a malformed one.
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
		order := r.order()
		switch {
		case !r.AtEnd():
			return false
		case entry[0] == entryOrderEnd:
			return machine.endOrder(order)
		}
		return machine.applyOrder(order)
	}
	return false
}

func (machine *StateMachine) applyPlan(p *Plan) bool {
	last := uint64(0)
	if machine.Plan != nil {
		last = machine.Plan.Number
	}
	isNext := p.Number == last+1 && p.Version == machine.Version
	if !isNext && !machine.AcceptsAnyPlan {
		return false
	}
	if machine.Checks.Enabled() {
		machine.Checks.That(p.Number > last, "zones: no old plan after a new one", func() string { return describe(machine.Plan, p) })
	}
	p.Since = p.Number
	if machine.Plan != nil && machine.Plan.SameTarget(p) {
		p.Since = machine.Plan.Since
	}
	machine.Plan = p
	return true
}

func (machine *StateMachine) applyOrder(order Order) bool {
	if order.Number <= machine.orders[order.Zone].Number {
		return false
	}
	machine.orders[order.Zone] = order
	machine.active[order.Zone] = !order.Lifts
	machine.Version++
	return true
}

func (machine *StateMachine) endOrder(order Order) bool {
	if !machine.active[order.Zone] || order.Number != machine.orders[order.Zone].Number {
		return false
	}
	machine.active[order.Zone] = false
	machine.Version++
	return true
}
