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

// LimitBand is as high as the part of the most that any pooler had.
type LimitBand struct {
	X, W, Y, H float64
	Title      string
}

const (
	maxLimitLanes = 400
	laneHeight    = 14
)

// LimitLanes are a view's lanes, and how many more there are.
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
		high := laneHeight * h.Amount / max(1e-9, most[h.Limit])
		l := &out[len(out)-1]
		l.Bands = append(l.Bands, LimitBand{
			X:     max(0, (h.From-view.From)*scale),
			W:     max(0.5, (to-h.From)*scale),
			Y:     laneHeight - high,
			H:     high,
			Title: fmt.Sprintf("%s may use %g of %s from %s for %s", Safe(h.By), h.Amount, Safe(h.Limit), Clock(h.From), incident.Span(to-h.From)),
		})
	}
	return out, more
}
