package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/outlier"
)

// ServerFault describes what a byzantine pooler reports of servers, as an observer and as a collector.
type ServerFault struct {
	Unresponsive  bool    // each server is reported as unresponsive...
	SinceMs       float64 // ...since this many ms ago
	ClaimsPrimary bool    // each server is reported as its group's primary
	AheadMs       float64 // added to each server's position, in ms
}

// ServerFaults are the server faults, by the kind of byzantine pooler.
var ServerFaults = map[string]ServerFault{
	"silent":  {Unresponsive: true},
	"leads":   {ClaimsPrimary: true},
	"ahead":   {AheadMs: 5000},
	"servers": {Unresponsive: true, ClaimsPrimary: true, AheadMs: 5000},
}

// AlterServers alters a message with observations or assessments of servers.
func AlterServers[T any](message T, fault ServerFault) T {
	altered, _ := fault.alter(message).(T) // alter returns a message of the same type
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
			item := &c.Items[i]
			if item.Report = alterReport(item.Report); fault.Unresponsive {
				item.Answered, item.Unanswered, item.FirstUnanswered, item.LastUnanswered, item.Work = -1, 100, fault.SinceMs, 0, 1
			}
		}
		return &c
	case *outlier.Assessments:
		c := *m
		c.Items = slices.Clone(m.Items)
		for i := range c.Items {
			item := &c.Items[i]
			if item.Report = alterReport(item.Report); fault.Unresponsive {
				item.Unhealthy, item.AllZones, item.FirstUnanswered, item.LastUnanswered, item.Observers, item.Answered = true, true, fault.SinceMs, 0, []outlier.ID{1, 2}, -1
			}
		}
		return &c
	}
	return message
}
