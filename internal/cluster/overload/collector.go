package overload

import (
	"cmp"
	"math"
	"slices"
)

// peerReport is what a process told last of a group.
type peerReport struct {
	id         ID
	sequence   uint32
	reportedAt float64 // not before then it was told
	work       []KeyedValue
	load       GroupLoad
}

// collected is what a collector makes of a group.
type collected struct {
	decidedAt     float64 // 0 for never
	admittedRatio float64 // of the budget, lately
	since         float64 // it collects
	peakServed    float64 // that was served, lately
	calmSeconds   float64 // s without strain
	decision      ShedDecision
}

// handleReport takes what a process tells, and answers.
func (controller *Controller) handleReport(from ID, t *LoadReport) {
	if from != controller.self && controller.addresses[from] == "" {
		return
	}
	age := controller.now - t.CollectorTime - t.HeldMs
	counts := from == controller.self || t.CollectorTime > 0 && t.HeldMs >= 0 && age >= -controller.settings.StaleAfter && age <= controller.settings.StaleAfter
	a := &ShedDecisions{Sequence: t.Sequence, CollectorTime: controller.now, Order: controller.collectorOrder}
	for i := range t.Groups {
		p := &t.Groups[i]
		group := controller.group(p.Group)
		if group == nil || !p.valid() {
			continue
		}
		if counts {
			group.recordReport(&peerReport{from, t.Sequence, controller.now - max(0, age), t.Work, *p}, controller.self == from, controller.now)
		}
		if group.collected.decidedAt > 0 && controller.now-group.collected.decidedAt <= controller.settings.StaleAfter {
			a.Groups = append(a.Groups, group.collected.decision)
		}
	}
	controller.enqueue(Action{Kind: SendDecisions, To: from, Decisions: a})
}

func (p *GroupLoad) valid() bool {
	ok := finite(p.Budget) && finite(p.Level) && len(p.Classes) <= MaxClasses && len(p.Tenants) <= MaxTenants
	for _, f := range p.Classes {
		ok = ok && finite(f.FirstAttempts) && finite(f.Retries) && finite(f.Admitted) && finite(f.Open) && finite(f.Served) && finite(f.Ended) && finite(f.Strain)
	}
	for _, f := range p.Tenants {
		ok = ok && finite(f.Value)
	}
	return ok
}

func (group *groupState) recordReport(t *peerReport, own bool, now float64) {
	if own {
		t.reportedAt = now
	}
	i, ok := slices.BinarySearchFunc(group.reports, t.id, func(x *peerReport, id ID) int { return cmp.Compare(x.id, id) })
	switch {
	case ok && t.sequence <= group.reports[i].sequence: // doubled, or overtaken
	case ok:
		group.reports[i] = t
	case len(group.reports) < MaxPeers:
		group.reports = slices.Insert(group.reports, i, t)
	}
}

// collect makes verdicts of what was told lately.
func (controller *Controller) collect() {
	work := map[uint16][]float64{}
	seen := map[ID]bool{}
	for _, group := range controller.sortedGroups {
		group.reports = slices.DeleteFunc(group.reports, func(t *peerReport) bool { return controller.now-t.reportedAt > controller.settings.StaleAfter })
		for _, t := range group.reports {
			if seen[t.id] {
				continue
			}
			seen[t.id] = true
			for _, f := range t.work {
				if _, ok := controller.priority[f.Key]; ok && finite(f.Value) && f.Value > 0 {
					work[f.Key] = append(work[f.Key], f.Value)
				}
			}
		}
	}
	mid := map[uint16]float64{}
	for k := range controller.priority { // each on its own
		if mid[k] = lowerMedian(work[k]); mid[k] == 0 {
			mid[k] = 1
		}
	}
	if len(seen) > 0 {
		controller.collectorOrder = orderClasses(controller.collectorOrder, controller.priority, mid, controller.objective)
	}
	for _, group := range controller.sortedGroups {
		if len(group.reports) > 0 {
			controller.decide(group, mid)
		}
	}
}

// decide brings a group's budget up to date and makes a level of it.
func (controller *Controller) decide(group *groupState, work map[uint16]float64) {
	s := controller.sumReports(group, work)
	c := &group.collected
	dt := min(controller.settings.StaleAfter, controller.now-c.decidedAt) / 1000
	budget := medianBudget(s.budgets)
	if c.decidedAt > 0 && controller.now-c.decidedAt <= controller.settings.StaleAfter && budget > 0 && c.decision.Budget > budget/toleranceFactor && c.decision.Budget < budget*toleranceFactor {
		budget = c.decision.Budget
	}
	switch {
	case c.decision.Level == 0 || budget == 0:
		c.admittedRatio = 1
	default:
		c.admittedRatio += (s.admitted/budget - c.admittedRatio) * min(1, dt/admittedRatioSeconds)
	}
	if c.decidedAt == 0 || controller.now-c.decidedAt > controller.settings.StaleAfter {
		c.since, c.peakServed, c.calmSeconds = controller.now, 0, 0
	}
	controller.updatePeakServed(c, &s, budget, dt)
	strained := s.strain > controller.settings.StrainTarget || s.delay > 2*controller.settings.DelayTarget
	if c.calmSeconds += dt; strained && s.ended >= minEndedRate {
		c.calmSeconds = 0
	}
	switch {
	case controller.now-c.since < controller.settings.StaleAfter: // it may not have heard of all yet: what others know stands
	case budget == 0:
		if s.ended >= minEndedRate && (s.strain > 3*controller.settings.StrainTarget || strained && s.strain > controller.settings.StrainTarget/2 && s.delay > 2*controller.settings.DelayTarget) {
			budget = c.peakServed
		}
	case !strained || s.ended < minEndedRate: // the longer nobody is late, the faster
		budget *= 1 + min(controller.settings.GrowthRate, slowRate*math.Exp2(c.calmSeconds))*dt
	case s.admitted > overBudgetFactor*budget*max(1, c.admittedRatio): // what was decided is not felt yet
	default:
		budget = c.peakServed / max(0.2, min(1, c.admittedRatio)) * max(minAdmittedShare, min(1, 1+(controller.settings.DelayTarget-s.delay)/controller.settings.BacklogDivisor))
	}
	if budget > spareFactor*s.total { // more than anybody wants: there is no overload
		budget = 0
	}
	v := ShedDecision{Group: group.id, Budget: budget}
	if budget > 0 {
		v.BeyondQuota = s.beyondQuota(controller, budget)
		demand := s.cellDemand(controller, v.BeyondQuota)
		v.Level = levelFor(demand, s.total-budget)
		if was := lowerMedian(s.levels); was > 0 && v.Level > 0 {
			if lets := admittedDemand(demand, was); lets > budget*(1-levelTolerance) && lets < budget*(1+levelTolerance) {
				v.Level = was
			}
		}
	}
	c.decidedAt, c.decision = controller.now, v
}

// updatePeakServed keeps what was served at most lately: what the servers can do. It fades, and faster where less is served though as much was let in.
func (controller *Controller) updatePeakServed(c *collected, s *groupTotals, budget, dt float64) {
	fade := slowRate
	if s.strain > controller.settings.StrainTarget && (budget == 0 || s.admitted <= overBudgetFactor*budget) && s.served < 0.8*c.peakServed && s.served < s.admitted {
		fade = fastDecayRate
	}
	c.peakServed = max(s.served, c.peakServed*(1-min(1, fade*dt)))
}

// Of judging.
const (
	admittedRatioSeconds  = 3.0  // s
	minEndedRate          = 4    // a second: fewer prove nothing
	fastDecayRate         = 0.15 // of what was served at most, a second, that is forgotten where the servers seem to do less
	overBudgetFactor      = 1.3
	slowRate              = 0.05 // of the budget, a second, that it grows by at first
	minAdmittedShare      = 0.75 // of what is served is let in at least
	collectorBudgetFactor = 1.5  // collectors' budgets may be by this factor
	spareFactor           = 1.5  // ...and above what is wanted is no budget
	levelTolerance        = 0.02 // a level that is right to this part stays
	minReportsToTrim      = 4    // from so many on, one may lie
)

// groupTotals are those of all that was told of a group, nobody's word above all others' together. In work a second.
type groupTotals struct {
	classes         map[uint16]ClassLoad
	tenants         []KeyedValue // by key
	total           float64
	admitted        float64
	served          float64
	ended           float64 // requests
	objective       float64 // s, on average
	strain          float64
	delay           float64 // what is out by what is answered, as a part of the aims
	budgets, levels []float64
}

func (controller *Controller) sumReports(group *groupState, work map[uint16]float64) groupTotals {
	s := groupTotals{classes: map[uint16]ClassLoad{}}
	asks := make([]float64, len(group.reports))
	all := 0.0
	for i, t := range group.reports {
		for _, f := range t.load.Classes {
			asks[i] += max(f.FirstAttempts+f.Retries, f.Ended) * work[f.Key]
		}
		all += asks[i]
	}
	tenants, aims := map[uint16]float64{}, 0.0
	parts := make([]float64, len(group.reports))
	for i, t := range group.reports {
		part := 1.0
		if others := all - asks[i]; len(group.reports) >= minReportsToTrim && asks[i] > others {
			part = others / asks[i]
		}
		parts[i] = part
		for _, f := range t.load.Classes {
			if _, ok := controller.priority[f.Key]; !ok {
				continue
			}
			x := s.classes[f.Key]
			x.FirstAttempts += part * f.FirstAttempts
			x.Retries += part * f.Retries
			x.Served += part * min(f.Served, f.Ended)
			x.Ended += part * f.Ended
			x.Open += part * f.Open
			s.classes[f.Key] = x
			s.total += part * (f.FirstAttempts + f.Retries) * work[f.Key]
			s.admitted += part * f.Admitted * work[f.Key]
			aims += part * f.Ended * controller.objective[f.Key]
			s.served += part * min(f.Served, f.Ended) * work[f.Key]
			s.ended += part * f.Ended
		}
		for _, f := range t.load.Tenants {
			tenants[f.Key] += part * f.Value
		}
		if s.budgets = append(s.budgets, t.load.Budget); t.load.Budget > 0 {
			s.levels = append(s.levels, t.load.Level)
		}
	}
	for k, x := range tenants { // sorted below
		s.tenants = append(s.tenants, KeyedValue{k, x})
	}
	slices.SortFunc(s.tenants, func(a, b KeyedValue) int { return cmp.Compare(a.Key, b.Key) })
	for k, f := range s.classes { // each on its own
		f.FirstAttempts, f.Retries = f.FirstAttempts*work[k], f.Retries*work[k]
		s.classes[k] = f
	}
	s.objective = aims / max(1e-9, s.ended)
	served := func(k uint16) float64 { // a class that is hardly served has no servers: it is no evidence
		x := s.classes[k]
		return min(1, 2*x.Served/max(1e-9, x.Ended))
	}
	s.strain = group.trimmedRatio(parts, func(f *ClassLoad) (float64, float64) {
		w := work[f.Key] * served(f.Key)
		return w * min(f.Strain, f.Ended), w * f.Ended
	})
	s.delay = group.trimmedRatio(parts, func(f *ClassLoad) (float64, float64) {
		w := served(f.Key)
		return w * f.Open, w * f.Ended * controller.objective[f.Key]
	})
	return s
}

// trimmedRatio sums up both sides of what each tells but the one who adds most to it, and the one who takes most from it, and is their ratio.
func (group *groupState) trimmedRatio(parts []float64, of func(f *ClassLoad) (x, y float64)) float64 {
	xs, ys := make([]float64, len(group.reports)), make([]float64, len(group.reports))
	x, y := 0.0, 0.0
	for i, t := range group.reports {
		for k := range t.load.Classes {
			a, b := of(&t.load.Classes[k])
			xs[i] += parts[i] * a
			ys[i] += parts[i] * b
		}
		x += xs[i]
		y += ys[i]
	}
	part := func(x, y float64) float64 { return min(maxRatio, max(0, x)/max(1e-9, y)) }
	if len(group.reports) < minReportsToTrim {
		return part(x, y)
	}
	most, calmest := 0, 0
	for i := range xs {
		if xs[i] > xs[most] {
			most = i
		}
	}
	for i := range xs {
		if i != most && (calmest == most || ys[i]-xs[i] > ys[calmest]-xs[calmest]) {
			calmest = i
		}
	}
	return part(x-xs[most]-xs[calmest], y-ys[most]-ys[calmest])
}

const maxRatio = 100

// beyondQuota are the parts of tenants' sessions that are beyond their share of the budget.
func (s *groupTotals) beyondQuota(controller *Controller, budget float64) (out []KeyedValue) {
	all := 0.0
	for _, f := range s.tenants {
		all += f.Value
	}
	if all <= 0 {
		return nil
	}
	want, share := make([]float64, len(s.tenants)), make([]float64, len(s.tenants))
	for i, f := range s.tenants {
		want[i], share[i] = f.Value/all*s.total, controller.share[f.Key]
	}
	for i, x := range beyondQuota(want, share, budget) {
		if x = float64(int(x*255+0.5)) / 255; x > 0 {
			out = append(out, KeyedValue{s.tenants[i].Key, x})
		}
	}
	return out
}

// cellDemand is the demand of each cell of the order.
func (s *groupTotals) cellDemand(controller *Controller, over []KeyedValue) []float64 {
	all, part := 0.0, 0.0
	for _, f := range s.tenants {
		all += f.Value
		for _, b := range over {
			if b.Key == f.Key {
				part += f.Value * b.Value
			}
		}
	}
	if all > 0 {
		part /= all
	}
	c := cellsOf(controller.collectorOrder, controller.notIdempotent)
	out := make([]float64, c.count)
	for k, at := range c.byClass { // each has cells of its own
		f := s.classes[k]
		for i, x := range [4]float64{f.Retries * part, f.Retries * (1 - part), f.FirstAttempts * part, f.FirstAttempts * (1 - part)} {
			out[at[i]] += x
		}
	}
	return out
}
