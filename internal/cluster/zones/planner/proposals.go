package planner

import (
	"math"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

const (
	smallDifference = 0.03 // between shares, for which no new plan is made
	emptyZoneShare  = 0.05 // a failing zone with a smaller part of its servers is abandoned at once
)

// nextPlan returns the plan to propose, nil for none.
func (planner *Planner) nextPlan(now float64, machine *statemachine.StateMachine) *statemachine.Plan {
	last := machine.Plan
	number := uint64(0)
	if last != nil {
		number = last.Number
	}
	if planner.proposedNumber > number && now-planner.proposedAt < planner.settings.ProposalTimeout {
		return nil // the proposed one is not applied yet
	}
	next := &statemachine.Plan{Number: number + 1, Version: machine.Version, ZonesHash: planner.settings.ZonesHash, Author: planner.settings.Name}
	planner.fillHealth(next)
	next.Matrix = plan.IdentityMatrix(planner.settings.Zones)
	lastFits := last != nil && len(last.Matrix) == planner.settings.Zones
	if lastFits {
		next.Matrix = last.Matrix
	}
	settled := planner.snapshot.Target != nil && planner.leadingSince+planner.settings.SettleTime <= now
	switch {
	case settled:
		continues := lastFits && last.Author == planner.settings.Name && last.Number == planner.exactPlan
		if planner.exactMatrix == nil || !continues {
			planner.exactMatrix = next.Matrix
		}
		planner.fillMatrix(now, next, last)
	case lastFits:
		next.Zones, next.Links, next.Unserved, next.MaxFill = last.Zones, last.Links, last.Unserved, last.MaxFill
	}
	if lastFits && last.SameTarget(next) && now-planner.lastProposal < planner.settings.RenewInterval {
		planner.exactPlan = last.Number
		return nil
	}
	planner.lastProposal = now
	return next
}

// fillHealth sets the states of the zones, and of the links that are not serving.
func (planner *Planner) fillHealth(next *statemachine.Plan) {
	for i := range planner.zones {
		zone := &planner.zones[i]
		next.Zones = append(next.Zones, statemachine.ZoneStatus{State: zone.State, RestMs: zone.RestMs})
	}
	for from := range planner.links {
		for to := range planner.links[from] {
			link := &planner.links[from][to]
			if link.State == health.Serving || len(next.Links) >= statemachine.MaxLinks {
				continue
			}
			status := statemachine.ZoneStatus{State: link.State, RestMs: link.RestMs}
			next.Links = append(next.Links, statemachine.LinkStatus{From: from, To: to, ZoneStatus: status})
		}
	}
}

// fillMatrix sets the matrix to the result of a step towards the target, rounded so that whole poolers can follow it.
func (planner *Planner) fillMatrix(now float64, next, last *statemachine.Plan) {
	planner.exactMatrix = planner.stepTowardsTarget(now, planner.exactMatrix, last)
	planner.exactPlan = next.Number
	next.Matrix = planner.exactMatrix
	groups := planner.snapshot.Groups
	if len(groups) > 0 {
		next.Matrix = planner.planSettings.Round(planner.exactMatrix, groups, planner.poolerCounts())
	}
	next.Unserved = planner.snapshot.Unserved
	next.MaxFill = planner.planSettings.MaxFill(next.Matrix, groups)
}

// stepTowardsTarget returns a matrix one step nearer to the target. A safe matrix stays the same if it is near the target, or if the last
// step was less than StepInterval ago.
func (planner *Planner) stepTowardsTarget(now float64, m plan.Matrix, last *statemachine.Plan) plan.Matrix {
	groups := planner.snapshot.Groups
	safe := planner.planSettings.Allowed(m, groups) && planner.planSettings.MaxFill(m, groups) <= 1
	tooSoon := now-planner.lastStep < planner.settings.StepInterval && last != nil
	if safe && (tooSoon || planner.nearTarget(m)) {
		return m
	}
	planner.lastStep = now
	limits := make([]plan.StepLimit, len(m))
	for zone := range limits {
		limits[zone] = planner.stepLimit(zone)
	}
	return planner.planSettings.Step(m, planner.snapshot.Target, groups, limits)
}

// nearTarget reports whether a matrix differs little from the target. If all reads of a zone are to stay or to leave, the share that stays
// must be equal.
func (planner *Planner) nearTarget(m plan.Matrix) bool {
	target := planner.snapshot.Target
	for zone := range m {
		stays := target[zone][zone]
		if (stays == 1 || stays == 0) && m[zone][zone] != stays {
			return false
		}
		for to := range m[zone] {
			if math.Abs(m[zone][to]-target[zone][to]) > smallDifference {
				return false
			}
		}
	}
	return true
}

// stepLimit returns the share of a zone's reads that may move in a step. All reads may leave at once if the zone is evacuated without an
// order, or is abandoned and almost without servers.
func (planner *Planner) stepLimit(zone int) plan.StepLimit {
	limit := plan.StepLimit{Out: planner.settings.OutwardShare, Return: planner.settings.ReturnShare}
	status := &planner.zones[zone]
	evacuated := status.State == health.Evacuated && !status.Ordered
	empty := status.State.Abandoned() && planner.snapshot.Observations[zone].ServingShare < emptyZoneShare
	if evacuated || empty {
		limit.Out = 1
	}
	return limit
}
