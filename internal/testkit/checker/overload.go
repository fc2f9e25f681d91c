package checker

import (
	"fmt"
	"math"
	"slices"
)

// The rules of overload that poolers handle together. They are held to the faults and to the load, as whoever plays them knows both.
const (
	ProbesShared Rule = "no server is probed more often than its probers may"
	TalkBounded  Rule = "poolers tell each other no more of overload than their settings allow"
	QuietSpared  Rule = "a group that is asked for half of what it can do turns next to nothing away"
	TenantKept   Rule = "a tenant within its share is served while another asks for more than its own"
	ServiceBack  Rule = "service is back within its time of the last fault's end"
)

// OverloadRules are those of overload that is handled together.
func OverloadRules() []Rule {
	return []Rule{ProbesShared, TalkBounded, QuietSpared, TenantKept, ServiceBack, RepeatsBounded}
}

// Overload is what its rules go by. What is 0 is not checked.
type Overload struct {
	Poolers  int
	Probes   float64            // a second that a server gets at most while all poolers hear one another
	Slack    float64            // that it may get beyond, on a busy machine
	Loose    float64            // by which parts may be less good there
	CalmMs   float64            // so long after a fault among poolers they all hear one another again
	Talk     float64            // datagrams a second of a pooler, in the mean over the fleet
	Capacity []float64          // ms of work a second, by group
	Primary  []float64          // of these, what its primary can do
	Work     []float64          // ms, by class, in the mean
	Tenants  map[string]float64 // requests a second within the share of each
	BackMs   float64            // until service is back

	Repeats func(firsts, processes int, ms float64) float64 // that a group may have over all poolers; nil for any number
}

// Spans, in s.
const (
	overWarm    = 5  // until poolers have learnt what is asked, and servers are warm
	overSpan    = 5  // over which parts are counted
	quietBefore = 3  // what was asked before is felt for so long
	overAfter   = 10 // a fault of its servers is felt in a group for so long
	backSpan    = 2
	quietPart   = 0.5  // of what a group can do
	quietMost   = 0.02 // of what it is asked may be turned away
	quietFew    = 4
	tenantPart  = 0.8 // of what it asks is served
	backPart    = 0.95
)

// overload is what was seen by seconds, from the first ask on.
type overload struct {
	Overload
	from     float64
	seconds  []overSecond
	troubles []trouble
	twice    repeats
	told     bool
}

type overSecond struct {
	groups        []groupSecond
	tenants       map[string]*tenantSecond
	probes        map[int]float64
	asked, served float64 // first tries; tries of whatever number
	talked        float64
}

type groupSecond struct{ work, writes, asked, refused float64 }

type tenantSecond struct{ asked, served float64 }

// trouble is a fault of some groups' servers, or among poolers.
type trouble struct {
	from, until float64
	groups      []int
	poolers     bool
}

func (o *overload) second(at float64) *overSecond {
	if o.from == 0 {
		o.from = at
	}
	i := int((at - o.from) / 1000)
	if at < o.from || i > 3600 {
		return nil
	}
	for len(o.seconds) <= i {
		o.seconds = append(o.seconds, overSecond{groups: make([]groupSecond, len(o.Capacity)), tenants: map[string]*tenantSecond{}, probes: map[int]float64{}})
	}
	return &o.seconds[i]
}

// Load tells whom an open request is for, whose it is, and whether its client asked before.
func (c *Checker) Load(at float64, id uint64, class, group int, tenant string, again bool) {
	q, o := c.open[id], c.over
	if o == nil || q == nil || group >= len(o.Capacity) {
		return
	}
	s := o.second(at)
	if s == nil {
		return
	}
	q.group, q.tenant, q.loads = group, tenant, true
	g := &s.groups[group]
	g.asked++
	o.twice.asked[group]++
	g.work += o.Work[class]
	if q.class.Writes {
		g.writes += o.Work[class]
	}
	if again {
		return
	}
	s.asked++
	t := s.tenants[tenant]
	if t == nil {
		t = &tenantSecond{}
		s.tenants[tenant] = t
	}
	t.asked++
}

// heard books an answer with the second in which it was asked for.
func (o *overload) heard(q *request, kind string, served bool) {
	s := o.second(q.asked)
	if s == nil || q.answers > 1 {
		return
	}
	switch {
	case served && !q.gone:
		s.served++
		if t := s.tenants[q.tenant]; t != nil {
			t.served++
		}
	case kind == "refused" && q.group < len(s.groups):
		s.groups[q.group].refused++
	}
}

// Probed tells that a server was probed.
func (c *Checker) Probed(at float64, server int) {
	if c.over != nil && c.over.from > 0 {
		if s := c.over.second(at); s != nil {
			s.probes[server]++
		}
	}
}

// Talked tells that a pooler sends another a word on load or levels.
func (c *Checker) Talked(at float64) {
	if c.over != nil && c.over.from > 0 {
		if s := c.over.second(at); s != nil {
			s.talked++
		}
	}
}

// Struck tells of a fault that lasts until then: of the servers of groups, or among poolers; of neither where the load changes.
func (c *Checker) Struck(at, until float64, groups []int, poolers bool) {
	if c.over != nil {
		c.over.troubles = append(c.over.troubles, trouble{at, until, groups, poolers})
	}
}

// troubled tells whether a fault that is meant is in force in a span, or was so long before.
func (o *overload) troubled(from, until, afterMs float64, meant func(x *trouble) bool) bool {
	return slices.ContainsFunc(o.troubles, func(x trouble) bool { return meant(&x) && x.from < until && x.until+afterMs > from })
}

// overloaded holds what was seen to the rules.
func (c *Checker) overloaded() {
	o := c.over
	if o == nil || o.told || len(o.seconds) < 2 {
		return
	}
	o.told = true
	o.seconds = o.seconds[:len(o.seconds)-1] // the last is not whole
	for i := overWarm; i < len(o.seconds); i++ {
		c.probed(i)
	}
	for i := overWarm; i+overSpan <= len(o.seconds); i += overSpan {
		c.spared(i)
		c.kept(i)
		c.talked(i)
	}
	c.back()
}

func (c *Checker) tells(rule Rule, second, server int, ok bool, format string, args ...any) {
	if c.checked[rule]++; !ok {
		c.breach(Breach{Rule: rule, At: c.over.from + float64(second)*1000, Server: server, Text: fmt.Sprintf(format, args...)}, nil)
	}
}

func (c *Checker) probed(i int) {
	o, s := c.over, &c.over.seconds[i]
	at := o.from + float64(i)*1000
	if o.Probes == 0 || o.troubled(at, at+1000, o.CalmMs, func(x *trouble) bool { return x.poolers }) {
		return
	}
	for server, n := range s.probes { // each by itself
		c.tells(ProbesShared, i, server, n <= o.Probes+o.Slack, "%.0f probes in a second; %.0f may be", n, o.Probes+o.Slack)
	}
}

func (c *Checker) spared(i int) {
	o, at := c.over, c.over.from+float64(i)*1000
	for g := range o.Capacity {
		var sum groupSecond
		for _, s := range o.seconds[i : i+overSpan] {
			x := s.groups[g]
			sum.work, sum.writes, sum.asked, sum.refused = sum.work+x.work, sum.writes+x.writes, sum.asked+x.asked, sum.refused+x.refused
		}
		busy := slices.ContainsFunc(o.seconds[i-quietBefore:i+overSpan], func(s overSecond) bool {
			return s.groups[g].work > quietPart*o.Capacity[g] || s.groups[g].writes > quietPart*o.Primary[g]
		})
		if sum.asked < 20 || busy ||
			o.troubled(at, at+overSpan*1000, overAfter*1000, func(x *trouble) bool { return slices.Contains(x.groups, g) }) {
			continue
		}
		c.tells(QuietSpared, i, -1, sum.refused <= (quietMost+o.Loose)*sum.asked+quietFew, "group %d is asked for %.2f of what it can do, and %.0f of %.0f tries are turned away", g,
			sum.work/o.Capacity[g]/overSpan, sum.refused, sum.asked)
	}
}

func (c *Checker) kept(i int) {
	o, at := c.over, c.over.from+float64(i)*1000
	if o.troubled(at, at+overSpan*1000, overAfter*1000, func(x *trouble) bool { return len(x.groups) > 0 }) {
		return
	}
	sums, storm := map[string]tenantSecond{}, false
	for name, most := range o.Tenants {
		var sum tenantSecond
		for _, s := range o.seconds[i : i+overSpan] {
			if t := s.tenants[name]; t != nil {
				sum.asked, sum.served = sum.asked+t.asked, sum.served+t.served
			}
		}
		sums[name], storm = sum, storm || sum.asked > 1.5*most*overSpan
	}
	for name, most := range o.Tenants {
		if t := sums[name]; storm && t.asked >= 20 && t.asked <= most*overSpan {
			c.tells(TenantKept, i, -1, t.served >= (tenantPart-o.Loose)*t.asked, "%q asked %.0f times, %.0f being its share, and was served %.0f times", name, t.asked, most*overSpan, t.served)
		}
	}
}

func (c *Checker) talked(i int) {
	o, sum := c.over, 0.0
	for _, s := range o.seconds[i : i+overSpan] {
		sum += s.talked
	}
	if each := sum / overSpan / float64(max(1, o.Poolers)); o.Talk > 0 && sum > 0 {
		c.tells(TalkBounded, i, -1, each <= o.Talk*1.05+1, "%.1f datagrams a second of a pooler; %.1f may be", each, o.Talk)
	}
}

// back holds service after the last fault to what it was before the first.
func (c *Checker) back() {
	o := c.over
	if o.BackMs == 0 || len(o.troubles) == 0 {
		return
	}
	first, last := math.Inf(1), 0.0
	for _, x := range o.troubles {
		first, last = min(first, x.from), max(last, x.until)
	}
	part := func(from, until int) (part, asked float64) {
		served := 0.0
		for _, s := range o.seconds[from:until] {
			asked, served = asked+s.asked, served+s.served
		}
		return served / max(1, asked), asked
	}
	until := int((first - o.from) / 1000)
	if until < overWarm/2+1 || math.IsInf(last, 1) {
		return
	}
	before, _ := part(overWarm/2, min(until, len(o.seconds)))
	for i := int(math.Ceil((last + o.BackMs - o.from) / 1000)); i+backSpan <= len(o.seconds); i += backSpan {
		now, asked := part(i, i+backSpan)
		c.tells(ServiceBack, i, -1, now >= (backPart-o.Loose)*before-3*math.Sqrt(0.05/max(1, asked)), "%.1f s after the last fault ended %.3f is served, and %.3f was before the first",
			(o.from+float64(i)*1000-last)/1000, now, before)
	}
}
