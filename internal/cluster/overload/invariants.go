package overload

import (
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

const sumSlack = 1e-9 // relative rounding error allowed between rates that are added up in different ways

// CheckInvariants makes the Controller check its invariants, once in interval ticks.
func (controller *Controller) CheckInvariants(checks *invariant.Checks, interval int) {
	controller.checks, controller.checkInterval = checks, interval
}

// checkState checks the invariants of the whole state after a tick.
func (controller *Controller) checkState(checks *invariant.Checks) {
	checks.That(len(controller.selfMessages) == 0, "overload: all messages to itself are handled", func() string {
		return fmt.Sprintf("%d unhandled messages", len(controller.selfMessages))
	})
	const groupsFiled = "overload: groups are in order, each indexed once"
	inOrder := slices.IsSortedFunc(controller.sortedGroups, func(a, b *groupState) int { return a.id - b.id })
	allFiled := len(controller.groups) == len(controller.sortedGroups) && len(controller.sortedGroups) <= MaxGroups
	checks.That(inOrder && allFiled, groupsFiled, func() string {
		return fmt.Sprintf("%d groups by number, %d in order", len(controller.groups), len(controller.sortedGroups))
	})
	peersBounded := len(controller.peers) <= MaxPeers && len(controller.addresses) == len(controller.peers)
	checks.That(peersBounded && len(controller.pendingReports) <= maxPendingReports, "overload: the state is bounded", func() string {
		return fmt.Sprintf("%d peers, %d addresses, %d pending reports", len(controller.peers), len(controller.addresses), len(controller.pendingReports))
	})
	for id := range controller.collectorTimes {
		reachable := controller.addresses[id] != "" || id == controller.self
		checks.That(reachable, "overload: no state is kept of unreachable peers", func() string { return fmt.Sprintf("collector time of process %x", uint64(id)) })
	}
	for _, group := range controller.sortedGroups {
		describe := func() string { return controller.describe(group) }
		checks.That(controller.groups[group.id] == group, groupsFiled, describe)
		controller.checkShedding(checks, group, describe)
		controller.checkCollector(checks, group, describe)
	}
}

// checkShedding checks the state of a pooler that sheds.
func (controller *Controller) checkShedding(checks *invariant.Checks, group *groupState, describe func() string) {
	cells := float64(cellsPerClass * len(group.classOrder))
	levelInRange := group.level >= 0 && group.level <= cells && group.applied.level <= cells
	checks.That(levelInRange && finite(group.budget), "overload: a level is within the cells", describe)
	recent := controller.now-group.decidedAt <= controller.settings.IsolationBound()
	checks.That(group.level == 0 || recent, "overload: no level outlives IsolationBound", describe)
	for i, decision := range group.decisions {
		fresh := controller.now-decision.reportedAt <= controller.settings.StaleAfter
		repeated := slices.ContainsFunc(group.decisions[:i], func(other collectorDecision) bool { return other.from == decision.from })
		checks.That(fresh && !repeated, "overload: decisions are recent, one from each collector", describe)
	}
	for i := range group.rates {
		valid := group.rates[i].valid() && finite(group.openRequests[i])
		checks.That(valid, "overload: rates are in their ranges", describe)
	}
}

// valid reports whether rates are finite, and those of served requests and of strain do not exceed that of ended requests.
func (rates *loadCounts) valid() bool {
	for _, x := range [...]float64{rates.first, rates.retries, rates.admitted, rates.served, rates.strain} {
		if !finite(x) {
			return false
		}
	}
	limit := rates.ended * (1 + sumSlack)
	return rates.served <= limit && rates.strain <= limit
}

// checkCollector checks the state of a collector.
func (controller *Controller) checkCollector(checks *invariant.Checks, group *groupState, describe func() string) {
	const decisionInRange = "overload: a decision is in its range"
	decision := &group.collector.decision
	levelInRange := decision.Level >= 0 && decision.Level <= float64(cellsPerClass*len(controller.collectorOrder))
	levelHasBudget := decision.Budget > 0 || decision.Level == 0
	checks.That(finite(decision.Budget) && levelInRange && levelHasBudget, decisionInRange, describe)
	for _, tenant := range decision.BeyondQuota {
		checks.That(tenant.Value > 0 && tenant.Value <= 1, decisionInRange, describe)
	}
	checks.That(len(group.reports) <= MaxPeers, "overload: the state is bounded", describe)
	maxAge := controller.settings.StaleAfter + controller.settings.ReportInterval + controller.settings.TickInterval
	for i, report := range group.reports {
		inOrder := i == 0 || group.reports[i-1].id < report.id
		recent := controller.now-report.reportedAt <= maxAge && report.reportedAt <= controller.now
		checks.That(inOrder && recent, "overload: one recent report is kept from each process", describe)
	}
}

func (controller *Controller) describe(group *groupState) string {
	text := fmt.Sprintf("group %d at %.0f: level %g of %d cells (applied %g) decided at %.0f, budget %g, decision %+v of %d classes;",
		group.id, controller.now, group.level, cellsPerClass*len(group.classOrder), group.applied.level, group.decidedAt, group.budget,
		group.collector.decision, len(controller.collectorOrder))
	text += fmt.Sprintf(" rates %+v, open %v;", group.rates, group.openRequests)
	for _, decision := range group.decisions {
		text += fmt.Sprintf(" decided by %x at %.0f: %+v", uint64(decision.from), decision.reportedAt, decision.decision)
	}
	for _, report := range group.reports {
		text += fmt.Sprintf(" reported by %x at %.0f", uint64(report.id), report.reportedAt)
	}
	return text
}

// CheckInvariants makes the ProbeSharing check its invariants, once in interval ticks.
func (sharing *ProbeSharing) CheckInvariants(checks *invariant.Checks, interval int) {
	sharing.checks, sharing.checkInterval = checks, interval
}

// checkState checks the invariants of the whole state after a tick.
func (sharing *ProbeSharing) checkState(checks *invariant.Checks) {
	checks.That(len(sharing.names) == len(sharing.servers) && len(sharing.names) <= maxServers && slices.IsSorted(sharing.names), "probes: servers are in order, each indexed once", func() string { return fmt.Sprint(sharing.names) })
	for id, until := range sharing.skippedUntil { // the order does not matter
		checks.That(until > sharing.now && until <= sharing.now+sharing.settings.SkipTime, "probes: no prober is skipped for longer than SkipTime", func() string {
			return fmt.Sprintf("process %x is skipped until %.0f, now %.0f", uint64(id), until, sharing.now)
		})
	}
	for _, name := range sharing.names {
		server := sharing.servers[name]
		state := func() string { return fmt.Sprintf("%s at %.0f: %+v", name, sharing.now, *server) }
		localRequesters := 0
		for i, r := range server.requesters {
			if r.local {
				localRequesters++
			}
			checks.That(r.local || sharing.addresses[r.id] != "", "probes: no request of an unreachable peer is kept", state)
			checks.That(len(server.requesters) <= MaxPeers+1 && !slices.ContainsFunc(server.requesters[:i], func(other requester) bool { return r.id == other.id && r.local == other.local }), "probes: a waiting requester is listed once", state)
		}
		checks.That(len(server.requesters) == 0 || server.probing || sharing.now-server.startedAt < sharing.settings.MinInterval, "probes: a probe is in progress or due for waiting requesters", state)
		checks.That(server.probesLocally == (localRequesters == 1) && localRequesters <= 1 && (server.wanted || !server.probesLocally), "probes: a local probe has one request of this process", state)
		checks.That(!server.wanted || server.probesLocally || len(server.askedProbers) > 0 && server.waitsUntil <= sharing.now+max(sharing.settings.ProberTimeout, sharing.settings.progressTimeout()), "probes: each request has a timeout", state)
		checks.That(server.startedAt <= sharing.now && server.resultAt <= server.startedAt && (server.result != nil || math.IsInf(server.resultAt, -1)), "probes: a result is of a probe that started", state)
	}
}
