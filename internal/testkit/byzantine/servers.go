package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/outlier"
)

// ServerFault describes what a byzantine pooler reports of servers, as an observer and as a collector.
type ServerFault struct {
	Unresponsive  bool    // each server is reported as unresponsive...
	SinceMs       float64 // ...since this long ago
	ClaimsPrimary bool    // each server is reported as its group's primary
	AheadMs       float64 // added to each server's position
}

// ServerFaults are the server faults, by the kind of byzantine pooler.
var ServerFaults = map[string]ServerFault{
	"silent":  {Unresponsive: true},
	"leads":   {ClaimsPrimary: true},
	"ahead":   {AheadMs: 5000},
	"servers": {Unresponsive: true, ClaimsPrimary: true, AheadMs: 5000},
}

// AlterServers alters a message on servers.
func AlterServers[T any](message T, fault ServerFault) T {
	altered, _ := fault.alter(message).(T) // it has the same type
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
