package overload

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Clone returns an independent copy, for model checking.
func (sharing *ProbeSharing) Clone() *ProbeSharing {
	c := *sharing
	c.peers, c.names = slices.Clone(sharing.peers), slices.Clone(sharing.names)
	c.addresses, c.skippedUntil = maps.Clone(sharing.addresses), maps.Clone(sharing.skippedUntil)
	c.servers = map[string]*probedServer{}
	for name, server := range sharing.servers {
		copied := *server
		copied.requesters, copied.askedProbers = slices.Clone(server.requesters), slices.Clone(server.askedProbers)
		c.servers[name] = &copied
	}
	return &c
}

// StateKey returns a text that is equal for two ProbeSharings which behave the same from now on. Times are relative to now, and sequence
// numbers of requests are relative to the last one of their sender, which last returns.
func (sharing *ProbeSharing) StateKey(last func(ID) uint32) string {
	var text strings.Builder
	ago := func(at float64) float64 { return max(-1e6, min(sharing.now-at, 1e6)) }
	fmt.Fprint(&text, sharing.peers)
	for _, name := range sharing.names {
		server := sharing.servers[name]
		fmt.Fprintf(&text, "|%s %v %v %v ", name, min(ago(server.startedAt), sharing.settings.MinInterval), server.probing, server.again)
		if server.probing {
			fmt.Fprint(&text, ago(server.startedAt))
		}
		if server.result != nil && ago(server.resultAt) <= sharing.settings.MaxResultAge {
			fmt.Fprint(&text, server.result.Result, server.result.Kind, server.result.Role, ago(server.resultAt), ago(server.result.Position))
		}
		for _, r := range server.requesters {
			fmt.Fprintf(&text, " a%d %d %v %v %v", r.id, last(r.id)-r.sequence, r.local, ago(r.requestedAt), r.notified)
		}
		if sharing.now < server.skippedProberUntil {
			fmt.Fprint(&text, " v", server.skippedProber, ago(server.skippedProberUntil))
		}
		if server.wanted {
			fmt.Fprint(&text, " w", ago(server.requestedAt), server.askedProbers, sharing.sequence-server.sequence, max(-1e6, ago(server.waitsUntil)), server.probesLocally)
			if server.unhealthyResult != nil {
				fmt.Fprint(&text, " b", server.unhealthyFrom, server.unhealthyResult.Kind, server.unhealthyResult.Role, ago(server.unhealthyResult.Position), server.unhealthyAge)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sharing.skippedUntil)) {
		fmt.Fprintf(&text, " s%d %v", id, ago(sharing.skippedUntil[id]))
	}
	return text.String()
}

// LastSequence returns the sequence number of the last request that was sent.
func (sharing *ProbeSharing) LastSequence() uint32 { return sharing.sequence }

// Clone returns an independent copy, for model checking.
func (controller *Controller) Clone() *Controller {
	c := *controller
	c.actions, c.selfMessages = nil, nil
	c.peers, c.classes, c.tenants = slices.Clone(controller.peers), slices.Clone(controller.classes), slices.Clone(controller.tenants)
	c.collectorOrder, c.pendingReports = slices.Clone(controller.collectorOrder), slices.Clone(controller.pendingReports)
	c.addresses, c.collectorTimes, c.work = maps.Clone(controller.addresses), maps.Clone(controller.collectorTimes), maps.Clone(controller.work)
	c.groups, c.sortedGroups = map[int]*groupState{}, make([]*groupState, len(controller.sortedGroups))
	for i, group := range controller.sortedGroups {
		copied := *group
		copied.counts, copied.rates, copied.tenantCounts, copied.tenantRates, copied.openRequests = slices.Clone(group.counts), slices.Clone(group.rates), slices.Clone(group.tenantCounts), slices.Clone(group.tenantRates), slices.Clone(group.openRequests)
		copied.decisions, copied.reports = slices.Clone(group.decisions), slices.Clone(group.reports)
		c.groups[copied.id], c.sortedGroups[i] = &copied, &copied
	}
	return &c
}

// StateKey returns a text that is equal for two Controllers which shed and answer the same, as long as they count no requests of their own.
func (controller *Controller) StateKey() string {
	var text strings.Builder
	fmt.Fprint(&text, controller.now, controller.nextReport, controller.sequence, controller.collectorOrder)
	for _, group := range controller.sortedGroups {
		fmt.Fprintf(&text, "|%d %v %v %v %v %v %+v", group.id, group.level, group.budget, group.decidedAt, group.classOrder, group.applied, group.collector)
		for _, decision := range slices.SortedFunc(slices.Values(group.decisions), func(a, b collectorDecision) int { return int(math.Copysign(1, float64(a.from)-float64(b.from))) }) {
			fmt.Fprintf(&text, " g%d %v %v %v", decision.from, decision.reportedAt, decision.decision.Level, decision.decision.Budget)
		}
		for _, report := range group.reports {
			fmt.Fprintf(&text, " t%d %d %v", report.id, report.sequence, report.reportedAt)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(controller.collectorTimes)) {
		fmt.Fprintf(&text, " s%d %v", id, controller.collectorTimes[id])
	}
	return text.String()
}

// LastReport returns the sequence number of the last report that was sent.
func (controller *Controller) LastReport() uint32 { return controller.sequence }
