package report

import (
	"fmt"

	"beechgrade/internal/testkit/incident"
)

// LimitLane is the share of a limit that one pooler may use, over time.
type LimitLane struct {
	Limit, By string
	Bands     []LimitBand
}

// LimitBand is a share of a limit. Its height is proportional to the share; the largest share of any pooler fills the lane.
type LimitBand struct {
	X, Width, Y, Height float64
	Title               string
}

const (
	minAmount     = 1e-9 // avoids a division by 0 where all shares are 0
	maxLimitLanes = 400
	laneHeight    = 14
)

// LimitLanes returns a lane for each limit and pooler, and the number of shares that exceeded the bound on lanes. Lanes are width
// wide.
func LimitLanes(view *incident.View, width float64) (out []LimitLane, more int) {
	scale := width / max(1, view.To-view.From)
	largestShare := map[string]float64{}
	for _, s := range view.Limits {
		largestShare[s.Limit] = max(largestShare[s.Limit], s.Amount)
	}
	for _, s := range view.Limits {
		if n := len(out); n == 0 || out[n-1].Limit != s.Limit || out[n-1].By != s.By {
			if n == maxLimitLanes {
				more++
				continue
			}
			out = append(out, LimitLane{Limit: s.Limit, By: s.By})
		}
		to := s.To
		if to == 0 {
			to = view.To
		}
		height := laneHeight * s.Amount / max(minAmount, largestShare[s.Limit])
		l := &out[len(out)-1]
		l.Bands = append(l.Bands, LimitBand{
			X:      max(0, (s.From-view.From)*scale),
			Width:  max(minBandWidth, (to-s.From)*scale),
			Y:      laneHeight - height,
			Height: height,
			Title:  fmt.Sprintf("%s may use %g of %s from %s for %s", Safe(s.By), s.Amount, Safe(s.Limit), Clock(s.From), incident.Span(to-s.From)),
		})
	}
	return out, more
}
