package main

import (
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openInvariants has the parts check statements about their state, where the settings have it so. A breach is logged once for each
// name and counted; it stops nothing.
func (p *pooler) openInvariants(set settings.Invariants) {
	if set.Enabled {
		p.countsChecks = true
		p.check(invariant.New(func(b invariant.Breach) { p.log.Error("invariant broken", "name", b.Name, "state", b.State) }), set.WalkInterval)
	}
}

// check hands the checks to the parts; it is for the time before they begin, once all are there.
func (p *pooler) check(c *invariant.Checks, every int) {
	p.checks = c
	p.core.SetChecks(c, every)
	if p.peers != nil {
		p.peers.CheckInvariants(c, every)
	}
	if p.overload != nil {
		p.overload.CheckInvariants(c, every)
	}
	if p.outlier != nil {
		p.outlier.CheckInvariants(c, every)
	}
	if p.commits != nil {
		p.commits.UseChecks(c, every)
	}
	if p.scatter != nil {
		p.scatter.Check(p.checks)
	}
	p.loop.AfterCallback = func() {
		p.loop.Check(c, every)
		p.backend.Check(c, every)
		p.platform.Check(c, every)
		if p.pooling != nil {
			p.pooling.Check(c, every)
		}
	}
}

// logInvariants tells at the end how many statements held.
func (p *pooler) logInvariants() {
	if p.countsChecks {
		made, broken := p.checks.Counts()
		p.log.Info("invariants", "made", made, "broken", broken)
	}
}

// writeInvariantsMetrics tells the figures of statements, where any are checked.
func (p *pooler) writeInvariantsMetrics(s *exposition.Snapshot) {
	if !p.countsChecks {
		return
	}
	made, broken := p.checks.Counts()
	invariants := s.Scope("invariants")
	invariants.Counter("checked", uint64(made))
	invariants.Counter("broken", uint64(broken))
}
