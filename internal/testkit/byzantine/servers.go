package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/outlier"
)

// ServerFault is what a liar says of servers, as an observer and as a collector; times are in ms.
type ServerFault struct {
	Unresponsive  bool    // each has answered nothing...
	SinceMs       float64 // ...for so long
	ClaimsPrimary bool    // each leads its group
	AheadMs       float64 // each is so much further than it is
}

// ServerFaults are the kinds of liar.
var ServerFaults = map[string]ServerFault{
	"silent":  {Unresponsive: true},
	"leads":   {ClaimsPrimary: true},
	"ahead":   {AheadMs: 5000},
	"servers": {Unresponsive: true, ClaimsPrimary: true, AheadMs: 5000},
}

// AlterServers is what a liar makes of a word of servers.
func AlterServers[T any](message T, fault ServerFault) T {
	altered, _ := fault.alter(message).(T) // it is of the same kind
	return altered
}

func (fault ServerFault) alter(message any) any {
	alterReport := func(s outlier.ServerReport) outlier.ServerReport {
		if s.Position > 0 {
			s.Position += fault.AheadMs
			if fault.ClaimsPrimary {
				s.Role = outlier.RolePrimary
			}
		}
		return s
	}
	switch m := message.(type) {
	case *outlier.Observations:
		c := *m
		c.Items = slices.Clone(m.Items)
		for i := range c.Items {
			x := &c.Items[i]
			if x.Report = alterReport(x.Report); fault.Unresponsive {
				x.Answered, x.Unanswered, x.FirstUnanswered, x.LastUnanswered, x.Work = -1, 100, fault.SinceMs, 0, 1
			}
		}
		return &c
	case *outlier.Assessments:
		c := *m
		c.Items = slices.Clone(m.Items)
		for i := range c.Items {
			x := &c.Items[i]
			if x.Report = alterReport(x.Report); fault.Unresponsive {
				x.Unhealthy, x.AllZones, x.FirstUnanswered, x.LastUnanswered, x.Observers, x.Answered = true, true, fault.SinceMs, 0, []outlier.ID{1, 2}, -1
			}
		}
		return &c
	}
	return message
}
