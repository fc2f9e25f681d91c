// Package byzantine alters the messages of a byzantine pooler, which reports false loads or server states, for rehearsals and virtual time.
package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/overload"
)

// RateFactors are the factors on reported rates, by the kind of byzantine pooler.
var RateFactors = map[string]float64{"all": 1000, "none": 0}

// AlterLoad multiplies the rates in a message, reports all attempts as late, and as a collector admits everything (factor 0) or nothing.
func AlterLoad[T any](message T, factor float64) T {
	altered, _ := alterLoad(message, factor).(T) // it has the same type
	return altered
}

func alterLoad(m any, factor float64) any {
	switch m := m.(type) {
	case *overload.LoadReport:
		c := *m
		c.Groups = slices.Clone(m.Groups)
		for i := range c.Groups {
			g := &c.Groups[i]
			g.Classes = slices.Clone(g.Classes)
			for k := range g.Classes {
				f := &g.Classes[k]
				f.FirstAttempts, f.Retries, f.Admitted, f.Ended, f.Open = f.FirstAttempts*factor, f.Retries*factor, f.Admitted*factor, f.Ended*factor, f.Open*factor
				f.Served, f.Strain = 0, f.Ended
			}
			g.Budget, g.Level = g.Budget*factor, g.Level*factor
		}
		return &c
	case *overload.ShedDecisions:
		c := *m
		c.Groups = slices.Clone(m.Groups)
		for i := range c.Groups {
			c.Groups[i].Level, c.Groups[i].Budget = 1e6*factor, 1+factor
		}
		return &c
	}
	return m
}
