package checker

import (
	"fmt"
	"math"
	"slices"
)

// The rules on overload that poolers handle together. They are checked against the faults and the load of the scenario.
const (
	HealthChecksShared Rule = "no server is probed more often than its probers may"
	DatagramsBounded   Rule = "poolers tell each other no more of overload than their settings allow"
	IdleGroupServed    Rule = "a group that is asked for half of what it can do turns next to nothing away"
	TenantServed       Rule = "a tenant within its share is served while another asks for more than its own"
	ServiceRecovered   Rule = "service is back within its time of the last fault's end"
)

// OverloadRules returns the rules on overload that poolers handle together.
func OverloadRules() []Rule {
	return []Rule{HealthChecksShared, DatagramsBounded, IdleGroupServed, TenantServed, ServiceRecovered, RepeatsBounded}
}

// Overload has the limits of the rules on overload. A rule whose limit is 0 is not checked.
type Overload struct {
	Poolers      int
	Probes       float64            // maximum health checks of a server a second while all poolers can reach one another
	ProbeSlack   float64            // further health checks allowed on a busy machine
	Tolerance    float64            // by which shares may be worse on a busy machine
	CalmMs       float64            // time after a fault between poolers until they all reach one another again
	MaxDatagrams float64            // maximum datagrams a second of a pooler, mean over the fleet
	Capacity     []float64          // ms of work a second, by group
	Primary      []float64          // the primary's part of Capacity, by group
	MeanWorkMs   []float64          // by class
	Tenants      map[string]float64 // requests a second within each tenant's quota
	RecoveryMs   float64            // from the end of the last fault until service has recovered

	MaxRepeats func(firsts, processes int, ms float64) float64 // maximum repeats of a group over all poolers; nil for no bound
}

// Spans in seconds, and shares.
const (
	warmUpS              = 5  // until poolers have learnt the load and servers are warm
	spanS                = 5  // span over which shares are computed
	idleBeforeS          = 3  // how long earlier load has an effect
	faultEffectS         = 10 // how long a fault of a group's servers has an effect on the group
	recoverySpanS        = 2
	idleLoadShare        = 0.5  // of a group's capacity
	idleMaxRejectedShare = 0.02 // of its requests that may be rejected
	idleRejectedSlack    = 4
	tenantMinServedShare = 0.8 // of a tenant's requests that must be served
	recoveredShare       = 0.95
)

// overloadState has what was observed by second, from the first request on.
type overloadState struct {
	Overload
	start   float64
	seconds []secondCounts
	faults  []faultSpan
	repeats repeatCounts
	checked bool
}

type secondCounts struct {
	groups           []groupSecond
	tenants          map[string]*tenantSecond
	probes           map[int]float64
	received, served float64 // clients' first attempts; all served attempts
	datagrams        float64
}

type groupSecond struct{ work, writes, received, rejected float64 }

type tenantSecond struct{ received, served float64 }

// faultSpan is a fault of some groups' servers, or between poolers.
type faultSpan struct {
	from, until float64
	groups      []int
	poolers     bool
}

func (o *overloadState) second(at float64) *secondCounts {
	if o.start == 0 {
		o.start = at
	}
	i := int((at - o.start) / 1000)
	if at < o.start || i > 3600 {
		return nil
	}
	for len(o.seconds) <= i {
		o.seconds = append(o.seconds, secondCounts{
			groups:  make([]groupSecond, len(o.Capacity)),
			tenants: map[string]*tenantSecond{},
			probes:  map[int]float64{},
		})
	}
	return &o.seconds[i]
}

// LoadReceived records the group and tenant of an open request, and whether it is a client's retry.
func (c *Checker) LoadReceived(at float64, id uint64, class, group int, tenant string, retry bool) {
	request, o := c.requests[id], c.overload
	if o == nil || request == nil || group >= len(o.Capacity) {
		return
	}
	s := o.second(at)
	if s == nil {
		return
	}
	request.group, request.tenant, request.countsAsLoad = group, tenant, true
	g := &s.groups[group]
	g.received++
	o.repeats.received[group]++
	g.work += o.MeanWorkMs[class]
	if request.class.Writes {
		g.writes += o.MeanWorkMs[class]
	}
	if retry {
		return
	}
	s.received++
	t := s.tenants[tenant]
	if t == nil {
		t = &tenantSecond{}
		s.tenants[tenant] = t
	}
	t.received++
}

// recordAnswer counts an answer in the second in which its request was received.
func (o *overloadState) recordAnswer(request *clientRequest, kind string, served bool) {
	s := o.second(request.received)
	if s == nil || request.answers > 1 {
		return
	}
	switch {
	case served && !request.abandoned:
		s.served++
		if t := s.tenants[request.tenant]; t != nil {
			t.served++
		}
	case kind == "refused" && request.group < len(s.groups):
		s.groups[request.group].rejected++
	}
}

// HealthCheckSent records a health check of a server.
func (c *Checker) HealthCheckSent(at float64, server int) {
	if c.overload != nil && c.overload.start > 0 {
		if s := c.overload.second(at); s != nil {
			s.probes[server]++
		}
	}
}

// DatagramSent records a pooler's message to another about load or shedding levels.
func (c *Checker) DatagramSent(at float64) {
	if c.overload != nil && c.overload.start > 0 {
		if s := c.overload.second(at); s != nil {
			s.datagrams++
		}
	}
}

// FaultInjected records a fault of the servers of groups, or between poolers, and its end. For a change of the load, groups is empty and
// poolers is false.
func (c *Checker) FaultInjected(at, until float64, groups []int, poolers bool) {
	if c.overload != nil {
		c.overload.faults = append(c.overload.faults, faultSpan{at, until, groups, poolers})
	}
}

// faultDuring reports whether a fault that matches is active in a span, or ended at most afterMs before it.
func (o *overloadState) faultDuring(from, until, afterMs float64, matches func(x *faultSpan) bool) bool {
	return slices.ContainsFunc(o.faults, func(x faultSpan) bool { return matches(&x) && x.from < until && x.until+afterMs > from })
}

// checkOverload checks the rules on overload, once.
func (c *Checker) checkOverload() {
	o := c.overload
	if o == nil || o.checked || len(o.seconds) < 2 {
		return
	}
	o.checked = true
	o.seconds = o.seconds[:len(o.seconds)-1] // the last second is incomplete
	for i := warmUpS; i < len(o.seconds); i++ {
		c.checkHealthChecks(i)
	}
	for i := warmUpS; i+spanS <= len(o.seconds); i += spanS {
		c.checkIdleGroups(i)
		c.checkTenants(i)
		c.checkDatagrams(i)
	}
	c.checkRecovery()
}

func (c *Checker) checkRule(rule Rule, second, server int, ok bool, format string, args ...any) {
	if c.checked[rule]++; !ok {
		c.breach(Breach{Rule: rule, At: c.overload.start + float64(second)*1000, Server: server, Text: fmt.Sprintf(format, args...)}, nil)
	}
}

func (c *Checker) checkHealthChecks(i int) {
	o, s := c.overload, &c.overload.seconds[i]
	at := o.start + float64(i)*1000
	if o.Probes == 0 || o.faultDuring(at, at+1000, o.CalmMs, func(x *faultSpan) bool { return x.poolers }) {
		return
	}
	for server, n := range s.probes { // servers are checked independently of one another
		c.checkRule(HealthChecksShared, i, server, n <= o.Probes+o.ProbeSlack, "%.0f probes in a second; %.0f may be", n, o.Probes+o.ProbeSlack)
	}
}

func (c *Checker) checkIdleGroups(i int) {
	o, at := c.overload, c.overload.start+float64(i)*1000
	for g := range o.Capacity {
		var sum groupSecond
		for _, s := range o.seconds[i : i+spanS] {
			second := s.groups[g]
			sum.work, sum.writes, sum.received, sum.rejected = sum.work+second.work, sum.writes+second.writes, sum.received+second.received, sum.rejected+second.rejected
		}
		busy := slices.ContainsFunc(o.seconds[i-idleBeforeS:i+spanS], func(s secondCounts) bool {
			return s.groups[g].work > idleLoadShare*o.Capacity[g] || s.groups[g].writes > idleLoadShare*o.Primary[g]
		})
		if sum.received < 20 || busy ||
			o.faultDuring(at, at+spanS*1000, faultEffectS*1000, func(x *faultSpan) bool { return slices.Contains(x.groups, g) }) {
			continue
		}
		c.checkRule(IdleGroupServed, i, -1, sum.rejected <= (idleMaxRejectedShare+o.Tolerance)*sum.received+idleRejectedSlack, "group %d is asked for %.2f of what it can do, and %.0f of %.0f tries are turned away", g,
			sum.work/o.Capacity[g]/spanS, sum.rejected, sum.received)
	}
}

func (c *Checker) checkTenants(i int) {
	o, at := c.overload, c.overload.start+float64(i)*1000
	if o.faultDuring(at, at+spanS*1000, faultEffectS*1000, func(x *faultSpan) bool { return len(x.groups) > 0 }) {
		return
	}
	sums, storm := map[string]tenantSecond{}, false
	for name, quota := range o.Tenants {
		var sum tenantSecond
		for _, s := range o.seconds[i : i+spanS] {
			if t := s.tenants[name]; t != nil {
				sum.received, sum.served = sum.received+t.received, sum.served+t.served
			}
		}
		sums[name], storm = sum, storm || sum.received > 1.5*quota*spanS
	}
	for name, quota := range o.Tenants {
		if t := sums[name]; storm && t.received >= 20 && t.received <= quota*spanS {
			c.checkRule(TenantServed, i, -1, t.served >= (tenantMinServedShare-o.Tolerance)*t.received, "%q asked %.0f times, %.0f being its share, and was served %.0f times", name, t.received, quota*spanS, t.served)
		}
	}
}

func (c *Checker) checkDatagrams(i int) {
	o, sum := c.overload, 0.0
	for _, s := range o.seconds[i : i+spanS] {
		sum += s.datagrams
	}
	if perPooler := sum / spanS / float64(max(1, o.Poolers)); o.MaxDatagrams > 0 && sum > 0 {
		c.checkRule(DatagramsBounded, i, -1, perPooler <= o.MaxDatagrams*1.05+1, "%.1f datagrams a second of a pooler; %.1f may be", perPooler, o.MaxDatagrams)
	}
}

// checkRecovery compares the share served after the last fault with that before the first.
func (c *Checker) checkRecovery() {
	o := c.overload
	if o.RecoveryMs == 0 || len(o.faults) == 0 {
		return
	}
	first, last := math.Inf(1), 0.0
	for _, x := range o.faults {
		first, last = min(first, x.from), max(last, x.until)
	}
	servedShare := func(from, until int) (share, received float64) {
		served := 0.0
		for _, s := range o.seconds[from:until] {
			received, served = received+s.received, served+s.served
		}
		return served / max(1, received), received
	}
	until := int((first - o.start) / 1000)
	if until < warmUpS/2+1 || math.IsInf(last, 1) {
		return
	}
	before, _ := servedShare(warmUpS/2, min(until, len(o.seconds)))
	for i := int(math.Ceil((last + o.RecoveryMs - o.start) / 1000)); i+recoverySpanS <= len(o.seconds); i += recoverySpanS {
		now, received := servedShare(i, i+recoverySpanS)
		c.checkRule(ServiceRecovered, i, -1, now >= (recoveredShare-o.Tolerance)*before-3*math.Sqrt(0.05/max(1, received)), "%.1f s after the last fault ended %.3f is served, and %.3f was before the first",
			(o.start+float64(i)*1000-last)/1000, now, before)
	}
}
