// Package byzantine is what a pooler says that lies about its load, for rehearsals and virtual time.
package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/overload"
)

// Times are what the kinds of liar make of each rate that they tell.
var Times = map[string]float64{"all": 1000, "none": 0}

// Of is what one makes of a word: each rate so many times as much, all of it late, and as a collector it lets in all for 0, else nothing.
func Of[T any](word T, times float64) T {
	lie, _ := of(word, times).(T) // it is of the same kind
	return lie
}

func of(m any, times float64) any {
	switch m := m.(type) {
	case *overload.LoadReport:
		c := *m
		c.Groups = slices.Clone(m.Groups)
		for i := range c.Groups {
			g := &c.Groups[i]
			g.Classes = slices.Clone(g.Classes)
			for k := range g.Classes {
				f := &g.Classes[k]
				f.FirstAttempts, f.Retries, f.Admitted, f.Ended, f.Open = f.FirstAttempts*times, f.Retries*times, f.Admitted*times, f.Ended*times, f.Open*times
				f.Served, f.Strain = 0, f.Ended
			}
			g.Budget, g.Level = g.Budget*times, g.Level*times
		}
		return &c
	case *overload.ShedDecisions:
		c := *m
		c.Groups = slices.Clone(m.Groups)
		for i := range c.Groups {
			c.Groups[i].Level, c.Groups[i].Budget = 1e6*times, 1+times
		}
		return &c
	}
	return m
}
