package report

import (
	"fmt"

	"beechgrade/internal/testkit/incident"
)

// FleetLane is the state in which one pooler observed another's process, over time.
type FleetLane struct {
	By, Of string
	Bands  []Band
}

// peerStateClasses maps each state to its CSS class.
var peerStateClasses = map[string]string{"alive": "primary", "suspect": "silent", "failed": "broken", "left": "gone"}

// maxFleetLanes bounds how many lanes are drawn.
const maxFleetLanes = 400

// minBandWidth is the least width of a band, so that short spans remain visible.
const minBandWidth = 0.5

// FleetLanes returns a lane for each pair of a pooler and a process, and the number of spans that exceeded the bound on lanes.
// Lanes are width wide.
func FleetLanes(view *incident.View, width float64) (out []FleetLane, more int) {
	scale := width / max(1, view.To-view.From)
	for _, s := range view.Fleet {
		if n := len(out); n == 0 || out[n-1].By != s.By || out[n-1].Of != s.Of {
			if n == maxFleetLanes {
				more++
				continue
			}
			out = append(out, FleetLane{By: s.By, Of: s.Of})
		}
		to := s.To
		if to == 0 {
			to = view.To
		}
		l := &out[len(out)-1]
		l.Bands = append(l.Bands, Band{
			Class: peerStateClasses[s.State],
			X:     max(0, (s.From-view.From)*scale),
			Width: max(minBandWidth, (to-s.From)*scale),
			Title: fmt.Sprintf("%s takes %s for %s from %s for %s", Safe(s.By), Safe(s.Of), Safe(s.State), Clock(s.From), incident.Span(to-s.From)),
		})
	}
	return out, more
}
