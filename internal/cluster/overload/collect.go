package overload

import (
	"cmp"
	"math"
	"slices"
)

// told is what a process told last of a group.
type told struct {
	id   ID
	seq  uint32
	at   float64 // not before then it was told
	work []Figure
	p    Pressure
}

// collected is what a collector makes of a group.
type collected struct {
	at      float64 // 0 for never
	came    float64 // of the budget, lately
	since   float64 // it collects
	most    float64 // that was served, lately
	calm    float64 // s without strain
	verdict Verdict
}

// told takes what a process tells, and answers.
func (o *Overload) told(from ID, t *Tell) {
	if from != o.self && o.addr[from] == "" {
		return
	}
	age := o.now - t.Stamp - t.Held
	counts := from == o.self || t.Stamp > 0 && t.Held >= 0 && age >= -o.set.Stale && age <= o.set.Stale
	a := &Answer{Seq: t.Seq, Stamp: o.now, Order: o.lead}
	for i := range t.Groups {
		p := &t.Groups[i]
		g := o.group(p.Group)
		if g == nil || !p.good() {
			continue
		}
		if counts {
			g.hear(&told{from, t.Seq, o.now - max(0, age), t.Work, *p}, o.self == from, o.now)
		}
		if g.c.at > 0 && o.now-g.c.at <= o.set.Stale {
			a.Groups = append(a.Groups, g.c.verdict)
		}
	}
	o.put(Action{Kind: SendAnswer, To: from, Answer: a})
}

func (p *Pressure) good() bool {
	ok := finite(p.Budget) && finite(p.Level) && len(p.Classes) <= MostClasses && len(p.Tenants) <= MostTenants
	for _, f := range p.Classes {
		ok = ok && finite(f.First) && finite(f.Again) && finite(f.In) && finite(f.Open) && finite(f.Done) && finite(f.Ended) && finite(f.Strain)
	}
	for _, f := range p.Tenants {
		ok = ok && finite(f.X)
	}
	return ok
}

func (g *group) hear(t *told, own bool, now float64) {
	if own {
		t.at = now
	}
	i, ok := slices.BinarySearchFunc(g.tells, t.id, func(x *told, id ID) int { return cmp.Compare(x.id, id) })
	switch {
	case ok && t.seq <= g.tells[i].seq: // doubled, or overtaken
	case ok:
		g.tells[i] = t
	case len(g.tells) < MostPeers:
		g.tells = slices.Insert(g.tells, i, t)
	}
}

// collect makes verdicts of what was told lately.
func (o *Overload) collect() {
	work := map[uint16][]float64{}
	seen := map[ID]bool{}
	for _, g := range o.order {
		g.tells = slices.DeleteFunc(g.tells, func(t *told) bool { return o.now-t.at > o.set.Stale })
		for _, t := range g.tells {
			if seen[t.id] {
				continue
			}
			seen[t.id] = true
			for _, f := range t.work {
				if _, ok := o.worth[f.Key]; ok && finite(f.X) && f.X > 0 {
					work[f.Key] = append(work[f.Key], f.X)
				}
			}
		}
	}
	mid := map[uint16]float64{}
	for k := range o.worth { // each on its own
		if mid[k] = middle(work[k]); mid[k] == 0 {
			mid[k] = 1
		}
	}
	if len(seen) > 0 {
		o.lead = reorder(o.lead, o.worth, mid, o.aim)
	}
	for _, g := range o.order {
		if len(g.tells) > 0 {
			o.judge(g, mid)
		}
	}
}

// judge brings a group's budget up to date and makes a level of it.
func (o *Overload) judge(g *group, work map[uint16]float64) {
	s := o.sum(g, work)
	c := &g.c
	dt := min(o.set.Stale, o.now-c.at) / 1000
	budget := middleBudget(s.budgets)
	if c.at > 0 && o.now-c.at <= o.set.Stale && budget > 0 && c.verdict.Budget > budget/roughly && c.verdict.Budget < budget*roughly {
		budget = c.verdict.Budget
	}
	switch {
	case c.verdict.Level == 0 || budget == 0:
		c.came = 1
	default:
		c.came += (s.in/budget - c.came) * min(1, dt/cameOver)
	}
	if c.at == 0 || o.now-c.at > o.set.Stale {
		c.since, c.most, c.calm = o.now, 0, 0
	}
	o.gauge(c, &s, budget, dt)
	strained := s.strain > o.set.Target || s.delay > 2*o.set.Delay
	if c.calm += dt; strained && s.ended >= leastEnded {
		c.calm = 0
	}
	switch {
	case o.now-c.since < o.set.Stale: // it may not have heard of all yet: what others know stands
	case budget == 0:
		if s.ended >= leastEnded && (s.strain > 3*o.set.Target || strained && s.strain > o.set.Target/2 && s.delay > 2*o.set.Delay) {
			budget = c.most
		}
	case !strained || s.ended < leastEnded: // the longer nobody is late, the faster
		budget *= 1 + min(o.set.Back, slow*math.Exp2(c.calm))*dt
	case s.in > late*budget*max(1, c.came): // what was decided is not felt yet
	default:
		budget = c.most / max(0.2, min(1, c.came)) * max(least, min(1, 1+(o.set.Delay-s.delay)/o.set.Drain))
	}
	if budget > spare*s.total { // more than anybody wants: there is no overload
		budget = 0
	}
	v := Verdict{Group: g.id, Budget: budget}
	if budget > 0 {
		v.Beyond = s.beyond(o, budget)
		demand := s.cells(o, v.Beyond)
		v.Level = levelOf(demand, s.total-budget)
		if was := middle(s.levels); was > 0 && v.Level > 0 {
			if lets := above(demand, was); lets > budget*(1-stays) && lets < budget*(1+stays) {
				v.Level = was
			}
		}
	}
	c.at, c.verdict = o.now, v
}

// gauge keeps what was served at most lately: what the servers can do. It fades, and faster where less is served though as much was let in.
func (o *Overload) gauge(c *collected, s *sums, budget, dt float64) {
	fade := slow
	if s.strain > o.set.Target && (budget == 0 || s.in <= late*budget) && s.done < 0.8*c.most && s.done < s.in {
		fade = fall
	}
	c.most = max(s.done, c.most*(1-min(1, fade*dt)))
}

// Of judging.
const (
	cameOver   = 3.0  // s
	leastEnded = 4    // a second: fewer prove nothing
	fall       = 0.15 // of what was served at most, a second, that is forgotten where the servers seem to do less
	late       = 1.3
	slow       = 0.05 // of the budget, a second, that it grows by at first
	least      = 0.75 // of what is served is let in at least
	apart      = 1.5  // collectors' budgets may be by this factor
	spare      = 1.5  // ...and above what is wanted is no budget
	stays      = 0.02 // a level that is right to this part stays
	manyTell   = 4    // from so many on, one may lie
)

// sums are those of all that was told of a group, nobody's word above all others' together. In work a second.
type sums struct {
	classes         map[uint16]Flow
	tenants         []Figure // by key
	total           float64
	in              float64
	done            float64
	ended           float64 // requests
	aim             float64 // s, on average
	strain          float64
	delay           float64 // what is out by what is answered, as a part of the aims
	budgets, levels []float64
}

func (o *Overload) sum(g *group, work map[uint16]float64) sums {
	s := sums{classes: map[uint16]Flow{}}
	asks := make([]float64, len(g.tells))
	all := 0.0
	for i, t := range g.tells {
		for _, f := range t.p.Classes {
			asks[i] += max(f.First+f.Again, f.Ended) * work[f.Key]
		}
		all += asks[i]
	}
	tenants, aims := map[uint16]float64{}, 0.0
	parts := make([]float64, len(g.tells))
	for i, t := range g.tells {
		part := 1.0
		if others := all - asks[i]; len(g.tells) >= manyTell && asks[i] > others {
			part = others / asks[i]
		}
		parts[i] = part
		for _, f := range t.p.Classes {
			if _, ok := o.worth[f.Key]; !ok {
				continue
			}
			x := s.classes[f.Key]
			x.First += part * f.First
			x.Again += part * f.Again
			x.Done += part * min(f.Done, f.Ended)
			x.Ended += part * f.Ended
			x.Open += part * f.Open
			s.classes[f.Key] = x
			s.total += part * (f.First + f.Again) * work[f.Key]
			s.in += part * f.In * work[f.Key]
			aims += part * f.Ended * o.aim[f.Key]
			s.done += part * min(f.Done, f.Ended) * work[f.Key]
			s.ended += part * f.Ended
		}
		for _, f := range t.p.Tenants {
			tenants[f.Key] += part * f.X
		}
		if s.budgets = append(s.budgets, t.p.Budget); t.p.Budget > 0 {
			s.levels = append(s.levels, t.p.Level)
		}
	}
	for k, x := range tenants { // sorted below
		s.tenants = append(s.tenants, Figure{k, x})
	}
	slices.SortFunc(s.tenants, func(a, b Figure) int { return cmp.Compare(a.Key, b.Key) })
	for k, f := range s.classes { // each on its own
		f.First, f.Again = f.First*work[k], f.Again*work[k]
		s.classes[k] = f
	}
	s.aim = aims / max(1e-9, s.ended)
	served := func(k uint16) float64 { // a class that is hardly served has no servers: it is no evidence
		x := s.classes[k]
		return min(1, 2*x.Done/max(1e-9, x.Ended))
	}
	s.strain = g.ratio(parts, func(f *Flow) (float64, float64) {
		w := work[f.Key] * served(f.Key)
		return w * min(f.Strain, f.Ended), w * f.Ended
	})
	s.delay = g.ratio(parts, func(f *Flow) (float64, float64) {
		w := served(f.Key)
		return w * f.Open, w * f.Ended * o.aim[f.Key]
	})
	return s
}

// ratio sums up both sides of what each tells but the one who adds most to it, and the one who takes most from it, and is their ratio.
func (g *group) ratio(parts []float64, of func(f *Flow) (x, y float64)) float64 {
	xs, ys := make([]float64, len(g.tells)), make([]float64, len(g.tells))
	x, y := 0.0, 0.0
	for i, t := range g.tells {
		for k := range t.p.Classes {
			a, b := of(&t.p.Classes[k])
			xs[i] += parts[i] * a
			ys[i] += parts[i] * b
		}
		x += xs[i]
		y += ys[i]
	}
	part := func(x, y float64) float64 { return min(mostRatio, max(0, x)/max(1e-9, y)) }
	if len(g.tells) < manyTell {
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

const mostRatio = 100

// beyond are the parts of tenants' sessions that are beyond their share of the budget.
func (s *sums) beyond(o *Overload, budget float64) (out []Figure) {
	all := 0.0
	for _, f := range s.tenants {
		all += f.X
	}
	if all <= 0 {
		return nil
	}
	want, share := make([]float64, len(s.tenants)), make([]float64, len(s.tenants))
	for i, f := range s.tenants {
		want[i], share[i] = f.X/all*s.total, o.share[f.Key]
	}
	for i, x := range beyond(want, share, budget) {
		if x = float64(int(x*255+0.5)) / 255; x > 0 {
			out = append(out, Figure{s.tenants[i].Key, x})
		}
	}
	return out
}

// cells is the demand of each cell of the order.
func (s *sums) cells(o *Overload, over []Figure) []float64 {
	all, part := 0.0, 0.0
	for _, f := range s.tenants {
		all += f.X
		for _, b := range over {
			if b.Key == f.Key {
				part += f.X * b.X
			}
		}
	}
	if all > 0 {
		part /= all
	}
	c := cellsOf(o.lead, o.once)
	out := make([]float64, c.n)
	for k, at := range c.of { // each has cells of its own
		f := s.classes[k]
		for i, x := range [4]float64{f.Again * part, f.Again * (1 - part), f.First * part, f.First * (1 - part)} {
			out[at[i]] += x
		}
	}
	return out
}
