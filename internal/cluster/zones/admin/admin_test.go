package admin

import (
	"errors"
	"net/url"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

// TestParseOrder: a request is accepted as an order if its number is the next one, and recognized if it is repeated. A number that is
// outdated or ahead, and an unknown zone, state or parameter, are errors.
func TestParseOrder(t *testing.T) {
	settings := &zones.Settings{Zones: []string{"a", "b"}, Voters: []string{"p", "q"}}
	machine := statemachine.New()
	machine.Apply(1, statemachine.EncodeOrder(&statemachine.Order{Number: 4, Zone: 1, State: health.Evacuated}))
	const now = 1e12
	for text, want := range map[string]struct {
		order   zones.Order
		applied bool
		err     error
	}{
		"zone=b&state=lifted&number=5":                 {order: zones.Order{Number: 5, Zone: "b", Lifts: true}},
		"zone=a&state=evacuated&number=1&for=10m":      {order: zones.Order{Number: 1, Zone: "a", State: health.Evacuated, Until: now + 600000}},
		"zone=b&state=evacuated&number=4":              {order: zones.Order{Number: 4, Zone: "b", State: health.Evacuated}, applied: true},
		"zone=b&state=serving&number=4":                {err: ErrOutdated},
		"zone=b&state=lifted&number=4":                 {err: ErrOutdated},
		"zone=b&state=evacuated&number=3":              {err: ErrOutdated},
		"zone=b&state=evacuated&number=6":              {err: ErrBehind},
		"zone=b&state=evacuated":                       {err: ErrInvalidOrder},
		"zone=b&state=evacuated&number=0":              {err: ErrInvalidOrder},
		"zone=c&state=evacuated&number=1":              {err: ErrInvalidOrder},
		"zone=a&state=away&number=1":                   {err: ErrInvalidOrder},
		"zone=a&state=evacuated&number=1&for=-1s":      {err: ErrInvalidOrder},
		"zone=a&state=evacuated&number=1&for=9999h":    {err: ErrInvalidOrder},
		"zone=a&state=lifted&number=1&for=1m":          {err: ErrInvalidOrder},
		"zone=a&state=evacuated&number=1&until=monday": {err: ErrInvalidOrder},
	} {
		query, err := url.ParseQuery(text)
		if err != nil {
			t.Fatalf("query %q: %v", text, err)
		}
		order, applied, err := ParseOrder(query, settings, machine, now)
		if !errors.Is(err, want.err) || err == nil && (order != want.order || applied != want.applied) {
			t.Errorf("%s: got %+v, applied %v, error %v; want %+v", text, order, applied, err, want)
		}
		if _, _, err := ParseOrder(query, settings, nil, now); !errors.Is(err, ErrNotVoter) && !errors.Is(want.err, ErrInvalidOrder) {
			t.Errorf("%s at a pooler that is not a voter: got error %v, want %v", text, err, ErrNotVoter)
		}
	}
}

// TestStatusShowsPlanAndOrders: the status shows the plan, an active order, and the number of an order that was lifted.
func TestStatusShowsPlanAndOrders(t *testing.T) {
	settings := &zones.Settings{Name: "p", Zone: "a", Zones: []string{"a", "b"}, Voters: []string{"p"}}
	machine := statemachine.New()
	machine.Apply(1, statemachine.EncodeOrder(&statemachine.Order{Number: 4, Zone: 1, State: health.Evacuated, Until: 5000}))
	machine.Apply(2, statemachine.EncodeOrder(&statemachine.Order{Number: 1, Zone: 0, State: health.Serving}))
	machine.Apply(3, statemachine.EncodeOrder(&statemachine.Order{Number: 2, Zone: 0, Lifts: true}))
	p := &statemachine.Plan{Number: 9, Since: 7, Author: "q", MaxFill: 0.5, Zones: []statemachine.ZoneStatus{{}, {State: health.Evacuated, RestMs: 2000}}, Matrix: plan.Matrix{{1, 0}, {0.75, 0.25}}}
	got := NewStatus(settings, follower.Status{Zone: 1, Reason: follower.Planned}, p, machine, true)
	want := &Status{Pooler: "p", Zone: "a", PreferredZone: "b", Reason: "plan", IsVoter: true, IsLeader: true, Voters: []string{"p"}, Plan: &Plan{Number: 9, Since: 7, Author: "q", MaxFill: 0.5},
		Zones: []Zone{{Name: "a", State: "serving", Shares: []Share{{"a", 1}}, NewestOrder: 2},
			{Name: "b", State: "evacuated", RestMs: 2000, Shares: []Share{{"a", 0.75}, {"b", 0.25}}, NewestOrder: 4, Order: &Order{4, "evacuated", 5000}}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status of a voter with a plan and two orders (-want +got):\n%s", diff)
	}
	if got := NewStatus(settings, follower.Status{}, nil, nil, false); got.Plan != nil || got.IsVoter || got.Reason != "none" || len(got.Zones) != 2 {
		t.Errorf("status of a pooler without a plan that is not a voter: got %+v, want no plan, no voter, reason none and 2 zones", got)
	}
}
