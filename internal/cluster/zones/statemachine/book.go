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
	MostZones = 27
	MostName  = 64
	MostWays  = 64 // ways between zones that are not as usual
)

// ErrForm is of an entry that cannot be read.
var ErrForm = errors.New("no entry about zones")

// Mark is how a zone, or a way, stands by a plan.
type Mark struct {
	State health.State
	Rest  float64 // ms, the next one's, in whole seconds
}

// Way is one between two zones that does not stand as usual.
type Way struct {
	From, To int
	Mark
}

// Plan is what the fleet does. Shares are in thousandths, rounded so that nothing more than was meant goes anywhere else.
type Plan struct {
	No      uint64
	Since   uint64 // the number from which on plans asked for the same; the log's order says it
	Version uint64 // of the orders that it was made with
	Of      uint32 // a sum of the zones' names: a pooler that has others does not follow
	By      string // the voter that made it
	Zones   []Mark
	Ways    []Way
	Matrix  plan.Matrix
	Short   float64 // cores of work without safe room, in thousandths
	Most    float64 // the largest part of its safe room that a zone gets which receives, in thousandths
}

// Same tells whether two plans ask for the same.
func (p *Plan) Same(o *Plan) bool {
	a, b := *p, *o
	a.No, b.No, a.Since, b.Since, a.By, b.By, a.Short, b.Short, a.Most, b.Most = 0, 0, 0, 0, "", "", 0, 0, 0, 0
	return string(a.append(nil)) == string(b.append(nil))
}

// Order is an operators' word on a zone.
type Order struct {
	No    uint64
	Zone  int
	Lifts bool // none holds from here on
	State health.State
	Until float64 // Unix ms, whole; 0 for until it is taken back
}

// Book is what was agreed.
type Book struct {
	Index   uint64
	Plan    *Plan // nil before the first
	Version uint64
	Checks  *invariant.Checks
	Sloppy  bool // a mutant: any plan is taken

	orders [MostZones]Order // by zone: the newest
	stands [MostZones]bool
}

// New makes an empty book.
func New() *Book { return &Book{} }

// Order is the one that stands for a zone.
func (b *Book) Order(zone int) (o Order, ok bool) {
	if zone < 0 || zone >= MostZones || !b.stands[zone] {
		return Order{}, false
	}
	return b.orders[zone], true
}

// Newest is the number of a zone's newest order.
func (b *Book) Newest(zone int) uint64 { return b.orders[zone].No }

// What an entry is.
const (
	entryPlan  = 1
	entryOrder = 2
	entryEnd   = 3
)

// EncodePlan, EncodeOrder and EncodeEnd make entries. An order's end is that of its number.
func EncodePlan(p *Plan) []byte   { return p.append([]byte{entryPlan}) }
func EncodeOrder(o *Order) []byte { return o.append([]byte{entryOrder}) }
func EncodeEnd(o *Order) []byte   { return o.append([]byte{entryEnd}) }

// Apply takes an entry, once, and tells whether it changed anything. One that cannot be read does not.
func (b *Book) Apply(index uint64, entry []byte) bool {
	if index <= b.Index {
		return false
	}
	b.Index = index
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
		return b.take(p)
	case entryOrder, entryEnd:
		o := r.order()
		if !r.AtEnd() {
			return false
		}
		return b.order(o, entry[0] == entryEnd)
	}
	return false
}

func (b *Book) take(p *Plan) bool {
	last := uint64(0)
	if b.Plan != nil {
		last = b.Plan.No
	}
	if (p.No != last+1 || p.Version != b.Version) && !b.Sloppy {
		return false
	}
	if b.Checks.Enabled() {
		b.Checks.That(p.No > last, "zones: no old plan after a new one", func() string { return describe(b.Plan, p) })
	}
	if p.Since = p.No; b.Plan != nil && b.Plan.Same(p) {
		p.Since = b.Plan.Since
	}
	b.Plan = p
	return true
}

func (b *Book) order(o Order, end bool) bool {
	at := &b.orders[o.Zone]
	switch {
	case end && (o.No != at.No || !b.stands[o.Zone]), !end && o.No <= at.No:
		return false
	case end:
		b.stands[o.Zone] = false
	default:
		*at, b.stands[o.Zone] = o, !o.Lifts
	}
	b.Version++
	return true
}
