package core

import (
	"maps"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
)

// Pressure counts the demand on groups, and how hard it was to serve what was admitted.
type Pressure interface {
	Asked(group, class, tenant int, again, in bool)
	Ended(group, class int, served, gone bool, strain float64) // of an admitted request
}

// Prober shares probes with other poolers.
type Prober interface {
	Wanted(server string) bool                                             // false: this pooler makes it
	Ended(server string, result decide.Result, report backend.Report) bool // of one that this pooler made; false: it goes to the router as usual
}

// fleet is the core's part in the fleet's handling of overload; all nil without peers.
type fleet struct {
	pressure Pressure
	prober   Prober
	shed     map[int]*decide.Shed
	repeats  *retrybudget.Repeats
	returns  float64

	geography Geography
	zone      zoneSetting
}

// load is a request as a part of its group's load.
type load struct {
	admitted bool // it was admitted, and counts
	group    int
	class    int
	arrived  float64
	target   float64
}

// SetPressure sets the receiver of demand and load, SetProber what shares probes.
func (c *Core) SetPressure(p Pressure)             { c.fleet.pressure = p }
func (c *Core) SetProber(p Prober)                 { c.fleet.prober = p }
func (c *Core) Works() []float64                   { return c.router.Works() }
func (c *Core) Names() (classes, tenants []string) { return c.cfg.Classes, c.cfg.Tenants }

// Contracts returns the settings with their classes and tenants.
func (c *Core) Contracts() *decide.Settings { return &c.cfg.Settings }

// Shed sets what the router turns away of a group's requests; nil for nothing.
func (c *Core) Shed(group int, s *decide.Shed) {
	c.fleet.shed = maps.Clone(c.fleet.shed) // the router has the old one
	if c.fleet.shed == nil {
		c.fleet.shed = map[int]*decide.Shed{}
	}
	if delete(c.fleet.shed, group); s != nil {
		s.Wait = c.cfg.Settings.MaxRetryAfter
		c.fleet.shed[group] = s
	}
	c.reload()
}

// SetRepeats sets the bound on copies and repeats, and on new connections a second, over all poolers, to a server that has returned; 0 for
// any number.
func (c *Core) SetRepeats(b *retrybudget.Repeats, returns float64) {
	if c.fleet.repeats, c.fleet.returns = b, returns; c.servers != nil {
		c.reload()
	}
}

// Stocks returns the copies and repeats that groups may still send from here.
func (c *Core) Stocks() []decide.Stock {
	if c.fleet.repeats == nil {
		return nil
	}
	return c.router.Stocks()
}

// Lend adds to the copies and repeats that groups may send, or subtracts from them.
func (c *Core) Lend(more map[int]float64) {
	if c.fleet.repeats == nil || len(more) == 0 {
		return
	}
	b := *c.fleet.repeats // the router has the old one
	b.Lent = maps.Clone(b.Lent)
	if b.Lent == nil {
		b.Lent = map[int]float64{}
	}
	for g, x := range more { // each on its own, so the order does not matter
		b.Lent[g] += x
	}
	c.fleet.repeats = &b
	c.reload()
}

// Probe probes a server, within the fleet's limit of probes.
func (c *Core) Probe(server string) {
	c.countLimit(OfProbes, "").do(c, func() { c.servers.Probe(server) })
}

// ProbeReported passes a probe's result, which is ageMs old at most, to the router.
func (c *Core) ProbeReported(server string, result decide.Result, report backend.Report, ageMs float64) {
	denies := report.Role == decide.RoleReplica
	if witness := c.witnessing.witness; witness != nil && result == decide.OK && witness.Withholds(server) {
		c.recall(server, report)
		result, report = decide.Failed, backend.Report{} // it says nothing of whether requests come through
	}
	r := reportOf(report)
	r.Age = clock.Span(ageMs)
	c.handle(&decide.ProbeResult{Server: decide.ServerID(server), Result: result, Load: r})
	if denies {
		c.recallSends(server)
	}
}

// countLoad counts a request that arrived.
func (c *Core) countLoad(req *request, now decide.Time, ev *decide.Request) {
	if c.fleet.pressure == nil {
		return
	}
	s := c.fleet.shed[ev.Group]
	req.load = load{admitted: !s.Off(now, ev), group: ev.Group, class: ev.Class, arrived: c.loop.Now(), target: clock.Millis(c.cfg.Settings.Classes[ev.Class].Target)}
	c.fleet.pressure.Asked(ev.Group, ev.Class, ev.Tenant, ev.Repeat, req.load.admitted)
}

// strainStart is the part of its target at which an answer begins to count as strained.
const strainStart = 0.7

// countEnd counts how an admitted request ended.
func (c *Core) countEnd(req *request, end metrics.End) {
	l := &req.load
	if c.fleet.pressure == nil || !l.admitted {
		return
	}
	took := (c.loop.Now() - l.arrived) / max(1, l.target)
	served, strain := end == metrics.Passed, 1.0
	if served {
		strain = max(0, min(1, (took-strainStart)/(1-strainStart)))
	}
	c.fleet.pressure.Ended(l.group, l.class, served, end == metrics.Gone && took < 1, strain)
}
