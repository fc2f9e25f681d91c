package main

import (
	"fmt"

	"beechgrade/internal/invariant"
	"beechgrade/internal/operate"
)

// useInvariants has the parts check statements about their state, where the settings have it so. A breach is logged once for each
// name and counted; it stops nothing.
func (p *pooler) useInvariants(set operate.Invariants) {
	if !set.On {
		return
	}
	p.checks = invariant.New(func(b invariant.Breach) { p.log.Error("invariant broken", "name", b.Name, "state", b.State) })
	p.core.Check(p.checks, set.Every)
	if p.peers != nil {
		p.peers.Check(p.checks, set.Every)
	}
	if p.scatter != nil {
		p.scatter.Check(p.checks)
	}
	p.loop.Between = func() {
		p.loop.Check(p.checks, set.Every)
		p.pool.Check(p.checks, set.Every)
		if p.pooled != nil {
			p.pooled.Check(p.checks, set.Every)
		}
	}
}

// saidInvariants tells at the end how many statements held.
func (p *pooler) saidInvariants() {
	if p.checks.On() {
		made, broken := p.checks.Counts()
		p.log.Info("invariants", "made", made, "broken", broken)
	}
}

// appendInvariants prints the figures of statements, where any are checked.
func (p *pooler) appendInvariants(dst []byte) []byte {
	if !p.checks.On() {
		return dst
	}
	made, broken := p.checks.Counts()
	return fmt.Appendf(dst, "app.invariants.checked=%d\napp.invariants.broken=%d\n", made, broken)
}
