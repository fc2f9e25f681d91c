package report

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/incident"
)

// TestZoneLanes checks that each zone has a lane of its states and each pooler one of its plans and of the share of its reads that
// crossed, that the page and the text show them, and that neither mentions zones where the records have none.
func TestZoneLanes(t *testing.T) {
	view := &incident.View{
		From:   1000,
		To:     2000,
		Events: 1,
		Zones: &incident.ZonesView{
			Plans: 9,
			Far:   0.25,
			States: []incident.ZoneState{{
				Zone:  "a",
				State: "serving",
				Plan:  7,
				From:  1000,
				To:    1500,
			}, {Zone: "a", State: "evacuated", Plan: 9, From: 1500}, {Zone: "b", State: "serving", Plan: 7, From: 1000}},
			Followed: []incident.FollowedPlan{{By: "p", Zone: "a", Near: "b", Why: "plan", Plan: 9, From: 1500}},
			Crossed:  []incident.Crossed{{By: "p", From: 1500, To: 2000, Sent: 8, Far: 2}, {By: "p", From: 1000, To: 1500, Sent: 8}},
			Sent:     []incident.ZoneSent{{From: "a", To: "b", Sent: 2}},
		},
	}
	states, poolers, more := ZoneLanes(view, 100)
	type box struct {
		Class      string
		X, W, Y, H float64
	}
	boxes := func(lanes []ZoneLane) (out [][]box) {
		for _, l := range lanes {
			var b []box
			for _, x := range l.Bands {
				b = append(b, box{x.Class, x.X, x.Width, x.Y, x.Height})
			}
			out = append(out, b)
		}
		return out
	}
	if diff := cmp.Diff([][]box{{{"primary", 0, 50, 0, 14}, {"broken", 50, 50, 0, 14}}, {{"primary", 0, 100, 0, 14}}}, boxes(states)); diff != "" || more != 0 {
		t.Errorf("%d lanes of zones left out, want none; bands (-want +got):\n%s", more, diff)
	}
	if diff := cmp.Diff([][]box{{{"replica", 50, 50, 0, 14}, {"cold", 50, 50, 10.5, 3.5}}}, boxes(poolers)); diff != "" {
		t.Errorf("bands of the poolers' lanes (-want +got):\n%s", diff)
	}
	for _, on := range []bool{true, false} {
		if !on {
			view.Zones = nil
		}
		var page, text strings.Builder
		if err := HTML(&page, view, "x"); err != nil {
			t.Fatalf("writing the page: %v", err)
		}
		if err := Text(&text, view); err != nil {
			t.Fatalf("writing the text: %v", err)
		}
		if strings.Contains(page.String(), "25% of 8 reads crossed") != on || strings.Contains(text.String(), "25.0% of the reads") != on || strings.Contains(text.String(), "evacuated") != on {
			t.Errorf("the view has zones: %v; want them on the page and in the text only then; text:\n%s", on, text.String())
		}
	}
}
