package report

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/incident"
)

// TestLimitLanes checks that each pair of a limit and a pooler has a lane, with bands as high as their part of the largest share.
func TestLimitLanes(t *testing.T) {
	view := &incident.View{
		From: 1000,
		To:   2000,
		Limits: []incident.LimitShare{{
			Limit:  "x",
			By:     "a",
			Amount: 5,
			From:   1000,
			To:     1500,
		}, {Limit: "x", By: "a", Amount: 10, From: 1500}, {Limit: "y", By: "a", Amount: 0, From: 1000}},
	}
	lanes, more := LimitLanes(view, 100)
	type box struct{ X, W, Y, H float64 }
	var got [][]box
	for _, l := range lanes {
		var b []box
		for _, x := range l.Bands {
			b = append(b, box{x.X, x.Width, x.Y, x.Height})
		}
		got = append(got, b)
	}
	if diff := cmp.Diff([][]box{{{0, 50, 7, 7}, {50, 50, 0, 14}}, {{0, 100, 14, 0}}}, got); diff != "" || more != 0 {
		t.Errorf("%d lanes left out, want none; bands of the lanes (-want +got):\n%s", more, diff)
	}
}
