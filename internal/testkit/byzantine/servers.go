package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/outlier"
)

// Servers is what a liar says of servers, as an observer and as a collector; times are in ms.
type Servers struct {
	Silent bool    // each has answered nothing...
	Since  float64 // ...for so long
	Lead   bool    // each leads its group
	Ahead  float64 // each is so much further than it is
}

// OfServers are the kinds of liar.
var OfServers = map[string]Servers{"silent": {Silent: true}, "leads": {Lead: true}, "ahead": {Ahead: 5000}, "servers": {Silent: true, Lead: true, Ahead: 5000}}

// Said is what a liar makes of a word of servers.
func Said[T any](word T, l Servers) T {
	lie, _ := l.of(word).(T) // it is of the same kind
	return lie
}

func (l Servers) of(word any) any {
	said := func(s outlier.ServerReport) outlier.ServerReport {
		if s.Position > 0 {
			s.Position += l.Ahead
			if l.Lead {
				s.Role = outlier.RolePrimary
			}
		}
		return s
	}
	switch m := word.(type) {
	case *outlier.Observations:
		c := *m
		c.Items = slices.Clone(m.Items)
		for i := range c.Items {
			x := &c.Items[i]
			if x.Report = said(x.Report); l.Silent {
				x.Answered, x.Unanswered, x.FirstUnanswered, x.LastUnanswered, x.Work = -1, 100, l.Since, 0, 1
			}
		}
		return &c
	case *outlier.Assessments:
		c := *m
		c.Items = slices.Clone(m.Items)
		for i := range c.Items {
			x := &c.Items[i]
			if x.Report = said(x.Report); l.Silent {
				x.Unhealthy, x.AllZones, x.FirstUnanswered, x.LastUnanswered, x.Observers, x.Answered = true, true, l.Since, 0, []outlier.ID{1, 2}, -1
			}
		}
		return &c
	}
	return word
}
