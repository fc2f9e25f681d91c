package report

import (
	"fmt"

	"beechgrade/internal/testkit/incident"
)

// LimitLane is how much of a limit one pooler might use, over time.
type LimitLane struct {
	Limit, By string
	Bands     []LimitBand
}

// LimitBand is a share of a limit, as high as its part of the largest share of any pooler.
type LimitBand struct {
	X, Width, Y, Height float64
	Title               string
}

const (
	leastAmount   = 1e-9 // avoids a division by 0 where all shares are 0
	maxLimitLanes = 400
	laneHeight    = 14
)

// LimitLanes returns a lane for each limit and pooler, and how many were left out. Lanes are width wide.
func LimitLanes(view *incident.View, width float64) (out []LimitLane, more int) {
	scale := width / max(1, view.To-view.From)
	most := map[string]float64{}
	for _, h := range view.Limits {
		most[h.Limit] = max(most[h.Limit], h.Amount)
	}
	for _, h := range view.Limits {
		if n := len(out); n == 0 || out[n-1].Limit != h.Limit || out[n-1].By != h.By {
			if n == maxLimitLanes {
				more++
				continue
			}
			out = append(out, LimitLane{Limit: h.Limit, By: h.By})
		}
		to := h.To
		if to == 0 {
			to = view.To
		}
		high := laneHeight * h.Amount / max(leastAmount, most[h.Limit])
		l := &out[len(out)-1]
		l.Bands = append(l.Bands, LimitBand{
			X:      max(0, (h.From-view.From)*scale),
			Width:  max(leastBandWidth, (to-h.From)*scale),
			Y:      laneHeight - high,
			Height: high,
			Title:  fmt.Sprintf("%s may use %g of %s from %s for %s", Safe(h.By), h.Amount, Safe(h.Limit), Clock(h.From), incident.Span(to-h.From)),
		})
	}
	return out, more
}
