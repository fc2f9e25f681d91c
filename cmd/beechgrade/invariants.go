package main

import (
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openInvariants has the subsystems check invariants of their own state, where the settings enable it. A violation is counted, and logged once for
// each name; it has no other effect.
func (p *pooler) openInvariants(set settings.Invariants) {
	if set.Enabled {
		p.countsChecks = true
		p.check(invariant.New(func(b invariant.Breach) {
			p.log.Error("invariant broken",
				"name", b.Name,
				"state", b.State)
		}), set.WalkInterval)
	}
}

// check passes the checks to the subsystems. It is called once all are open, before any of them starts.
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

// logInvariants logs at shutdown how many invariants were checked, and how many were violated.
func (p *pooler) logInvariants() {
	if p.countsChecks {
		made, broken := p.checks.Counts()
		p.log.Info("invariant checks at shutdown", "made", made, "broken", broken)
	}
}

// writeInvariantsMetrics writes the metrics of invariant checks, where they are enabled.
func (p *pooler) writeInvariantsMetrics(s *exposition.Snapshot) {
	if !p.countsChecks {
		return
	}
	made, broken := p.checks.Counts()
	invariants := s.Scope("invariants")
	invariants.Counter("checked", uint64(made))
	invariants.Counter("broken", uint64(broken))
}
