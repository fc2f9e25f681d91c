package report

import (
	"fmt"
	"io"
	"strings"

	"beechgrade/internal/testkit/incident"
)

// ZoneLane is the states of a zone over time, or the plans that a pooler followed and the share of its reads that crossed.
type ZoneLane struct {
	Name  string
	Bands []ZoneBand
}

// ZoneBand is a span of a lane. A state fills the lane's height; a share of reads that crossed is as high as that share.
type ZoneBand struct {
	Class               string
	X, Width, Y, Height float64
	Title               string
}

// zoneStateClasses and zoneReasonClasses map zones' states, and reasons why poolers follow a plan or not, to CSS classes.
var zoneStateClasses = map[string]string{"serving": "primary", "strained": "drain", "failing": "silent", "evacuated": "broken", "returning": "cold"}
var zoneReasonClasses = map[string]string{"none": "gone", "plan": "replica", "fallback": "silent", "spilling": "broken"}

const (
	maxZoneLanes   = 400
	zoneLaneHeight = 14
)

// ZoneLanes returns the lanes of zones and of poolers, and the number of spans that exceeded the bound on lanes. Lanes are width
// wide.
func ZoneLanes(view *incident.View, width float64) (states, poolers []ZoneLane, more int) {
	if view.Zones == nil {
		return nil, nil, 0
	}
	scale := width / max(1, view.To-view.From)
	band := func(class string, from, to, height float64, title string) ZoneBand {
		if to == 0 {
			to = view.To
		}
		return ZoneBand{
			Class:  class,
			X:      max(0, (from-view.From)*scale),
			Width:  max(minBandWidth, (to-from)*scale),
			Y:      zoneLaneHeight * (1 - height),
			Height: zoneLaneHeight * height,
			Title:  fmt.Sprintf("%s from %s for %s", title, Clock(from), incident.Span(to-from)),
		}
	}
	laneOf := func(lanes *[]ZoneLane, name string) *ZoneLane {
		for i := range *lanes {
			if (*lanes)[i].Name == name {
				return &(*lanes)[i]
			}
		}
		if len(*lanes) == maxZoneLanes {
			more++
			return &ZoneLane{}
		}
		*lanes = append(*lanes, ZoneLane{Name: name})
		return &(*lanes)[len(*lanes)-1]
	}
	for _, s := range view.Zones.States {
		l := laneOf(&states, s.Zone)
		l.Bands = append(l.Bands, band(zoneStateClasses[s.State], s.From, s.To, 1, fmt.Sprintf("%s is %s from plan %d on,", Safe(s.Zone), Safe(s.State), s.Plan)))
	}
	for _, g := range view.Zones.Followed {
		l := laneOf(&poolers, g.By)
		l.Bands = append(l.Bands, band(zoneReasonClasses[g.Why], g.From, g.To, 1, fmt.Sprintf("%s, in %s, goes by: %s, with %s for near,", Safe(g.By), Safe(g.Zone), Safe(g.Why), Safe(g.Near))))
	}
	for _, c := range view.Zones.Crossed {
		if c.Far == 0 {
			continue
		}
		l := laneOf(&poolers, c.By)
		crossedShare := float64(c.Far) / float64(c.Sent)
		l.Bands = append(l.Bands, band("cold", c.From, c.To, crossedShare, fmt.Sprintf("%.0f%% of %d reads crossed", 100*crossedShare, c.Sent)))
	}
	return states, poolers, more
}

// writeZoneTables writes the states of zones and where reads were served.
func writeZoneTables(b *strings.Builder, view *incident.View) {
	if view.Zones == nil {
		return
	}
	fmt.Fprintf(b, "\nzones: plan %d is the newest; %.1f%% of the reads that any member may serve crossed\n", view.Zones.Plans, 100*view.Zones.Far)
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "zone\tstate\tfrom plan\tfrom\tfor")
		for _, s := range view.Zones.States {
			to := s.To
			if to == 0 {
				to = view.To
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", Safe(s.Zone), Safe(s.State), s.Plan, Clock(s.From), incident.Span(to-s.From))
		}
	})
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "reads of\tserved in\tattempts")
		for _, s := range view.Zones.Sent {
			fmt.Fprintf(t, "%s\t%s\t%d\n", Safe(s.From), Safe(s.To), s.Sent)
		}
	})
}
