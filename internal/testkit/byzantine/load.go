// Package byzantine alters the messages of a byzantine pooler, which reports false loads or server states, in rehearsals and simulations.
package byzantine

import (
	"slices"

	"beechgrade/internal/cluster/overload"
)

// RateFactors are the factors on reported rates, by the kind of byzantine pooler.
var RateFactors = map[string]float64{"all": 1000, "none": 0}

// AlterLoad alters a message on load: in a report it multiplies the rates and reports all attempts as late; in a collector's shed
// decisions it admits everything (factor 0) or nothing.
func AlterLoad[T any](message T, factor float64) T {
	altered, _ := alterLoad(message, factor).(T) // alterLoad returns a message of the same type
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
				class := &g.Classes[k]
				class.FirstAttempts, class.Retries, class.Admitted, class.Ended, class.Open = class.FirstAttempts*factor, class.Retries*factor, class.Admitted*factor, class.Ended*factor, class.Open*factor
				class.Served, class.Strain = 0, class.Ended
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
