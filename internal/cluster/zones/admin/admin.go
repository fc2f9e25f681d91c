// Package admin is what operators are shown of zones, and how their calls are read: for the door of a pooler, and for whoever asks there. Pure.
//
// It decides whether a call is an order that may be proposed: of a zone and a state that there are, with an end that is bounded, and with the
// number after the newest of its zone. It is told the settings and the book; whether the order comes to stand the log says, so whoever
// asked looks again. A number is named by the asker, so that a call that is made twice is one order.
//
// A pooler that does not vote has no book: it shows what it does itself, and takes no orders.
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

// Status is how zones stand at a pooler, as its door shows it.
type Status struct {
	Pooler string   `json:"pooler"`
	Zone   string   `json:"zone"`
	Near   string   `json:"near"` // the zone that it takes for near
	Why    string   `json:"why"`  // none, plan, fallback or spilling
	Votes  bool     `json:"votes"`
	Leads  bool     `json:"leads"`
	Voters []string `json:"voters"`
	Plan   *Plan    `json:"plan,omitempty"` // the last that it followed; in force where Why is plan
	Zones  []Zone   `json:"zones"`
}

// Plan is one.
type Plan struct {
	No    uint64  `json:"no"`
	Since uint64  `json:"since"` // the number from which on plans asked for the same
	By    string  `json:"by"`
	Short float64 `json:"short"` // cores without safe room
	Most  float64 `json:"most"`  // the largest part of its safe room that a zone gets which receives
}

// Zone is how one stands by the plan, and by the orders of a book.
type Zone struct {
	Name   string  `json:"name"`
	State  string  `json:"state,omitempty"`
	RestMs float64 `json:"rest_ms,omitempty"`
	Shares []Share `json:"shares,omitempty"` // of its reads, what stays too
	Newest uint64  `json:"newest_order"`     // 0 for none; at voters only, as Order is
	Order  *Order  `json:"order,omitempty"`  // the one that stands
}

// Share is what part of a zone's reads goes to a zone.
type Share struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
}

// Order is one that stands. UntilMs is Unix ms, 0 for until it is lifted.
type Order struct {
	No      uint64  `json:"no"`
	State   string  `json:"state"`
	UntilMs float64 `json:"until_ms,omitempty"`
}

// LiftedState is what is said in place of a state, where no order is to stand any more.
const LiftedState = "lifted"

// MaxOrderTime bounds how long an order may hold that has an end.
const MaxOrderTime = 30 * 24 * time.Hour

// Errors of calls; ErrOutdated of one that came when there was a newer order.
var (
	ErrInvalidOrder = errors.New("no such order")
	ErrOutdated     = errors.New("the zone's newest order is another one")
	ErrNotVoter     = errors.New("this pooler does not vote")
	ErrBehind       = errors.New("this pooler has not heard of the order before this one yet")
)

// NewStatus is how things stand; b is nil at a pooler that does not vote.
func NewStatus(set *zones.Settings, s follower.Status, p *statemachine.Plan, b *statemachine.StateMachine, leads bool) *Status {
	out := &Status{Pooler: set.Name, Zone: set.Zone, Near: set.Zones[s.Zone], Why: s.Reason.String(), Votes: b != nil, Leads: leads, Voters: set.Voters}
	if p != nil {
		out.Plan = &Plan{No: p.Number, Since: p.Since, By: p.Author, Short: p.Unserved, Most: p.MaxFill}
	}
	for z, name := range set.Zones {
		x := Zone{Name: name}
		if p != nil && z < len(p.Zones) && z < len(p.Matrix) {
			x.State, x.RestMs = p.Zones[z].State.String(), p.Zones[z].RestMs
			for to, part := range p.Matrix[z] {
				if part > 0 && to < len(set.Zones) {
					x.Shares = append(x.Shares, Share{set.Zones[to], part})
				}
			}
		}
		if b != nil {
			x.Newest = b.NewestOrder(z)
			if o, ok := b.Order(z); ok {
				x.Order = &Order{o.Number, o.State.String(), o.Until}
			}
		}
		out.Zones = append(out.Zones, x)
	}
	return out
}

// ParseOrder reads a call's (zone, state, number, and for how long), at a time in Unix ms. Where stands is true the order came to stand before: it is
// the same call again.
func ParseOrder(q url.Values, set *zones.Settings, b *statemachine.StateMachine, now float64) (o zones.Order, stands bool, err error) {
	for k := range q {
		if !slices.Contains([]string{"zone", "state", "number", "for"}, k) {
			return o, false, fmt.Errorf("%w: %q is not known; known are zone, state, number and for", ErrInvalidOrder, k)
		}
	}
	if b == nil {
		return o, false, fmt.Errorf("%w; these do: %s", ErrNotVoter, strings.Join(set.Voters, " "))
	}
	if o.Zone = q.Get("zone"); set.Index(o.Zone) < 0 {
		return o, false, fmt.Errorf("%w: there is no zone %q; there are: %s", ErrInvalidOrder, o.Zone, strings.Join(set.Zones, " "))
	}
	word := q.Get("state")
	i := slices.Index(health.StateNames[:], word)
	if o.Lifts = word == LiftedState; i < 0 && !o.Lifts {
		return o, false, fmt.Errorf("%w: there is no state %q; there are: %s %s", ErrInvalidOrder, word, strings.Join(health.StateNames[:], " "), LiftedState)
	}
	o.State = health.State(max(0, i))
	if text := q.Get("for"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > MaxOrderTime || o.Lifts {
			return o, false, fmt.Errorf("%w: for: a time above 0 and up to %s is due, as 10m, and none with %s", ErrInvalidOrder, MaxOrderTime, LiftedState)
		}
		o.Until = now + float64(d.Milliseconds())
	}
	if o.Number, err = strconv.ParseUint(q.Get("number"), 10, 64); err != nil || o.Number == 0 {
		return o, false, fmt.Errorf("%w: number: the one after the zone's newest order is due", ErrInvalidOrder)
	}
	at := set.Index(o.Zone)
	if newest := b.NewestOrder(at); o.Number > newest+1 {
		return o, false, fmt.Errorf("%w: it knows %d", ErrBehind, newest)
	} else if o.Number <= newest {
		was, standing := b.Order(at)
		if o.Number == newest && standing != o.Lifts && (o.Lifts || was.State == o.State) {
			return o, true, nil
		}
		return o, false, fmt.Errorf("%w: it has number %d", ErrOutdated, newest)
	}
	return o, false, nil
}
