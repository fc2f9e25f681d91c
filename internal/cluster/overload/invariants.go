package overload

import (
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

// CheckInvariants makes it check its invariants, at one tick of interval.
func (controller *Controller) CheckInvariants(c *invariant.Checks, every int) {
	controller.checks, controller.checkInterval = c, every
}

// checkState checks the invariants of the whole state after a tick.
func (controller *Controller) checkState(c *invariant.Checks) {
	c.That(len(controller.selfMessages) == 0, "overload: what was put has gone out", func() string { return fmt.Sprintf("%d messages", len(controller.selfMessages)) })
	c.That(len(controller.groups) == len(controller.sortedGroups) && len(controller.sortedGroups) <= MaxGroups && slices.IsSortedFunc(controller.sortedGroups, func(a, b *groupState) int { return a.id - b.id }), "overload: groups are in order, each filed once",
		func() string {
			return fmt.Sprintf("%d filed, %d in order", len(controller.groups), len(controller.sortedGroups))
		})
	c.That(len(controller.peers) <= MaxPeers && len(controller.addresses) == len(controller.peers) && len(controller.pendingReports) <= maxPendingReports, "overload: what is kept is bounded", func() string {
		return fmt.Sprintf("%d peers, %d addresses, %d tells", len(controller.peers), len(controller.addresses), len(controller.pendingReports))
	})
	for id := range controller.collectorTimes { // each by itself
		c.That(controller.addresses[id] != "" || id == controller.self, "overload: nothing is kept of peers that are gone", func() string { return fmt.Sprintf("%x's stamp", uint64(id)) })
	}
	for _, group := range controller.sortedGroups {
		state := func() string { return controller.describe(group) }
		c.That(controller.groups[group.id] == group, "overload: groups are in order, each filed once", state)
		controller.checkShedding(c, group, state)
		controller.checkCollector(c, group, state)
	}
}

// checkShedding checks the state of a pooler that sheds.
func (controller *Controller) checkShedding(c *invariant.Checks, group *groupState, state func() string) {
	cells := float64(4 * len(group.classOrder))
	c.That(group.level >= 0 && group.level <= cells && group.applied.level <= cells && finite(group.budget), "overload: a level stands within the cells", state)
	c.That(group.level == 0 || controller.now-group.decidedAt <= controller.settings.IsolationBound(), "overload: no level outlives Lonely", state)
	for i, x := range group.decisions {
		c.That(controller.now-x.reportedAt <= controller.settings.StaleAfter && !slices.ContainsFunc(group.decisions[:i], func(y collectorDecision) bool { return y.from == x.from }), "overload: an answer is young, one of each collector", state)
	}
	for i := range group.rates {
		r := group.rates[i]
		c.That(finite(r.first) && finite(r.retries) && finite(r.admitted) && finite(r.served) && finite(r.strain) && finite(group.openRequests[i]) && r.served <= r.ended*(1+1e-9) && r.strain <= r.ended*(1+1e-9),
			"overload: rates are ones that can be", state)
	}
}

// checkCollector checks the state of a collector.
func (controller *Controller) checkCollector(c *invariant.Checks, group *groupState, state func() string) {
	v := &group.collected.decision
	c.That(finite(v.Budget) && v.Level >= 0 && v.Level <= float64(4*len(controller.collectorOrder)) && (v.Budget > 0 || v.Level == 0), "overload: a verdict is within its bounds", state)
	for _, b := range v.BeyondQuota {
		c.That(b.Value > 0 && b.Value <= 1, "overload: a verdict is within its bounds", state)
	}
	c.That(len(group.reports) <= MaxPeers, "overload: what is kept is bounded", state)
	for i, t := range group.reports {
		c.That((i == 0 || group.reports[i-1].id < t.id) && controller.now-t.reportedAt <= controller.settings.StaleAfter+controller.settings.ReportInterval+controller.settings.TickInterval && t.reportedAt <= controller.now, "overload: one young tell is kept of each process", state)
	}
}

func (controller *Controller) describe(group *groupState) string {
	s := fmt.Sprintf("group %d at %.0f: level %g of %d cells (placed %g) held at %.0f, budget %g, verdict %+v of %d classes; rates %+v, open %v;", group.id, controller.now, group.level, 4*len(group.classOrder), group.applied.level,
		group.decidedAt, group.budget, group.collected.decision, len(controller.collectorOrder), group.rates, group.openRequests)
	for _, x := range group.decisions {
		s += fmt.Sprintf(" given by %x at %.0f: %+v", uint64(x.from), x.reportedAt, x.decision)
	}
	for _, t := range group.reports {
		s += fmt.Sprintf(" told by %x at %.0f", uint64(t.id), t.reportedAt)
	}
	return s
}

// CheckInvariants makes it check its invariants, at one tick of interval.
func (sharing *ProbeSharing) CheckInvariants(c *invariant.Checks, every int) {
	sharing.checks, sharing.checkInterval = c, every
}

// checkState checks the invariants of the whole state after a tick.
func (sharing *ProbeSharing) checkState(c *invariant.Checks) {
	c.That(len(sharing.names) == len(sharing.servers) && len(sharing.names) <= maxServers && slices.IsSorted(sharing.names), "probes: servers are in order, each filed once", func() string { return fmt.Sprint(sharing.names) })
	for id, until := range sharing.skippedUntil { // each by itself
		c.That(until > sharing.now && until <= sharing.now+sharing.settings.SkipTime, "probes: nobody is passed over for longer than Shun", func() string { return fmt.Sprintf("%x until %.0f, now %.0f", uint64(id), until, sharing.now) })
	}
	for _, name := range sharing.names {
		server := sharing.servers[name]
		state := func() string { return fmt.Sprintf("%s at %.0f: %+v", name, sharing.now, *server) }
		own := 0
		for i, a := range server.requesters {
			if a.local {
				own++
			}
			c.That(a.local || sharing.addresses[a.id] != "", "probes: nothing is kept of peers that are gone", state)
			c.That(len(server.requesters) <= MaxPeers+1 && !slices.ContainsFunc(server.requesters[:i], func(b requester) bool { return a.id == b.id && a.local == b.local }), "probes: who waits is in line once", state)
		}
		c.That(len(server.requesters) == 0 || server.probing || sharing.now-server.startedAt < sharing.settings.MinInterval, "probes: who waits is served", state)
		c.That(server.probesLocally == (own == 1) && own <= 1 && (server.wanted || !server.probesLocally), "probes: what this process probes for itself is what it wants", state)
		c.That(!server.wanted || server.probesLocally || len(server.askedProbers) > 0 && server.waitsUntil <= sharing.now+max(sharing.settings.Patience, sharing.settings.progressTimeout()), "probes: each want has an end", state)
		c.That(server.startedAt <= sharing.now && server.resultAt <= server.startedAt && (server.result != nil || math.IsInf(server.resultAt, -1)), "probes: a finding is of a probe that began", state)
	}
}
