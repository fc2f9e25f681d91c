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

// peerStateClass is the CSS class of each state.
var peerStateClass = map[string]string{"alive": "primary", "suspect": "silent", "failed": "broken", "left": "gone"}

// maxFleetLanes bounds the lanes that are drawn.
const maxFleetLanes = 400

// leastBandWidth is the width of the shortest bands.
const leastBandWidth = 0.5

// FleetLanes returns a lane for each pair of a pooler and a process, and how many were left out. Lanes are width wide.
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
			Class: peerStateClass[s.State],
			X:     max(0, (s.From-view.From)*scale),
			Width: max(leastBandWidth, (to-s.From)*scale),
			Title: fmt.Sprintf("%s takes %s for %s from %s for %s", Safe(s.By), Safe(s.Of), Safe(s.State), Clock(s.From), incident.Span(to-s.From)),
		})
	}
	return out, more
}
