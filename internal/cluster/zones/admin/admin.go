// Package admin is the operators' view of zones: the status that the admin endpoint shows, and the parsing of orders. It does no I/O and
// has no clock.
//
// It decides whether a request is an order that may be proposed: for a known zone and state, with a bounded time, and with the number after
// that of the zone's newest order. Inputs are the settings and the voter's state machine. Whether the order takes effect is decided by the
// replicated log, so the caller queries the status again. The caller chooses the number, so a repeated request does not make a second
// order.
//
// A pooler that is not a voter has no state machine: it shows its own status only, and accepts no orders.
package admin

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Status is the state of zones at a pooler, as its admin endpoint shows it. The JSON keys are fixed.
type Status struct {
	Pooler        string   `json:"pooler"`
	Zone          string   `json:"zone"`
	PreferredZone string   `json:"near"` // the zone that it treats as local
	Reason        string   `json:"why"`  // none, plan, fallback or spilling
	IsVoter       bool     `json:"votes"`
	IsLeader      bool     `json:"leads"`
	Voters        []string `json:"voters"`
	Plan          *Plan    `json:"plan,omitempty"` // the last one that it followed; in force if Reason is plan
	Zones         []Zone   `json:"zones"`
}

// Plan is a plan as the admin endpoint shows it.
type Plan struct {
	Number   uint64  `json:"no"`
	Since    uint64  `json:"since"` // the number of the first plan with the same target
	Author   string  `json:"by"`
	Unserved float64 `json:"short"` // cores of work without safe capacity
	MaxFill  float64 `json:"most"`  // the largest part of its safe capacity that a receiving zone is sent
}

// Zone is the state of a zone according to the plan and the orders.
type Zone struct {
	Name        string  `json:"name"`
	State       string  `json:"state,omitempty"`
	RestMs      float64 `json:"rest_ms,omitempty"`
	Shares      []Share `json:"shares,omitempty"` // of its reads, including those that stay local
	NewestOrder uint64  `json:"newest_order"`     // number, 0 for none; at voters only
	Order       *Order  `json:"order,omitempty"`  // the active one, at voters only
}

// Share is the part of a zone's reads that goes to a zone.
type Share struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
}

// Order is an active order. UntilMs is in Unix ms, 0 for an order that lasts until it is lifted.
type Order struct {
	Number  uint64  `json:"no"`
	State   string  `json:"state"`
	UntilMs float64 `json:"until_ms,omitempty"`
}

// LiftedState is given in place of a state to end the active order.
const LiftedState = "lifted"

// MaxOrderTime bounds the duration of an order that has an end.
const MaxOrderTime = 30 * 24 * time.Hour

// Errors of ParseOrder. Their texts are part of the admin endpoint's answers.
var (
	ErrInvalidOrder = errors.New("no such order")
	ErrOutdated     = errors.New("the zone's newest order is another one")
	ErrNotVoter     = errors.New("this pooler does not vote")
	ErrBehind       = errors.New("this pooler has not heard of the order before this one yet")
)

// NewStatus returns the state of zones at a pooler. machine is nil at a pooler that is not a voter, plan at one that never followed a
// plan.
func NewStatus(settings *zones.Settings, status follower.Status, plan *statemachine.Plan, machine *statemachine.StateMachine, leads bool) *Status {
	out := &Status{
		Pooler:        settings.Name,
		Zone:          settings.Zone,
		PreferredZone: settings.Zones[status.Zone],
		Reason:        status.Reason.String(),
		IsVoter:       machine != nil,
		IsLeader:      leads,
		Voters:        settings.Voters,
	}
	if plan != nil {
		out.Plan = &Plan{Number: plan.Number, Since: plan.Since, Author: plan.Author, Unserved: plan.Unserved, MaxFill: plan.MaxFill}
	}
	for index, name := range settings.Zones {
		zone := Zone{Name: name}
		if plan != nil && index < len(plan.Zones) && index < len(plan.Matrix) {
			zone.State = plan.Zones[index].State.String()
			zone.RestMs = plan.Zones[index].RestMs
			zone.Shares = sharesOf(plan.Matrix[index], settings.Zones)
		}
		if machine != nil {
			zone.NewestOrder = machine.NewestOrder(index)
			if order, ok := machine.Order(index); ok {
				zone.Order = &Order{order.Number, order.State.String(), order.Until}
			}
		}
		out.Zones = append(out.Zones, zone)
	}
	return out
}

func sharesOf(row []float64, zones []string) (shares []Share) {
	for to, part := range row {
		if part > 0 && to < len(zones) {
			shares = append(shares, Share{zones[to], part})
		}
	}
	return shares
}

// Parameters of an order.
const (
	paramZone   = "zone"
	paramState  = "state"
	paramNumber = "number"
	paramFor    = "for"
)

// ParseOrder parses the parameters of an order that arrived at now, in Unix ms. applied is true if the order was applied already, that is,
// if the request is a repeated one. machine is nil at a pooler that is not a voter.
func ParseOrder(query url.Values, settings *zones.Settings, machine *statemachine.StateMachine, now float64) (order zones.Order, applied bool, err error) {
	for name := range query {
		if !slices.Contains([]string{paramZone, paramState, paramNumber, paramFor}, name) {
			return order, false, fmt.Errorf("%w: %q is not known; known are zone, state, number and for", ErrInvalidOrder, name)
		}
	}
	if machine == nil {
		return order, false, fmt.Errorf("%w; these do: %s", ErrNotVoter, strings.Join(settings.Voters, " "))
	}
	order.Zone = query.Get(paramZone)
	zone := settings.Index(order.Zone)
	if zone < 0 {
		return order, false, fmt.Errorf("%w: there is no zone %q; there are: %s", ErrInvalidOrder, order.Zone, strings.Join(settings.Zones, " "))
	}
	if err := parseState(query.Get(paramState), &order); err != nil {
		return order, false, err
	}
	if text := query.Get(paramFor); text != "" {
		if err := parseTime(text, now, &order); err != nil {
			return order, false, err
		}
	}
	order.Number, err = strconv.ParseUint(query.Get(paramNumber), 10, 64)
	if err != nil || order.Number == 0 {
		return order, false, fmt.Errorf("%w: number: the one after the zone's newest order is due", ErrInvalidOrder)
	}
	applied, err = compareToNewest(&order, zone, machine)
	return order, applied, err
}

func parseState(name string, order *zones.Order) error {
	state := slices.Index(health.StateNames[:], name)
	order.Lifts = name == LiftedState
	if state < 0 && !order.Lifts {
		return fmt.Errorf("%w: there is no state %q; there are: %s %s", ErrInvalidOrder, name, strings.Join(health.StateNames[:], " "), LiftedState)
	}
	order.State = health.State(max(0, state))
	return nil
}

func parseTime(text string, now float64, order *zones.Order) error {
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 || duration > MaxOrderTime || order.Lifts {
		return fmt.Errorf("%w: for: a time above 0 and up to %s is due, as 10m, and none with %s", ErrInvalidOrder, MaxOrderTime, LiftedState)
	}
	order.Until = now + float64(duration.Milliseconds())
	return nil
}

// compareToNewest reports whether an order is the newest one of its zone, which was applied already. Any other order is an error unless it
// has the next number.
func compareToNewest(order *zones.Order, zone int, machine *statemachine.StateMachine) (applied bool, err error) {
	newest := machine.NewestOrder(zone)
	switch {
	case order.Number == newest+1:
		return false, nil
	case order.Number > newest:
		return false, fmt.Errorf("%w: it knows %d", ErrBehind, newest)
	}
	current, active := machine.Order(zone)
	same := active != order.Lifts && (order.Lifts || current.State == order.State)
	if order.Number == newest && same {
		return true, nil
	}
	return false, fmt.Errorf("%w: it has number %d", ErrOutdated, newest)
}
