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
		n := *server
		n.requesters, n.askedProbers = slices.Clone(server.requesters), slices.Clone(server.askedProbers)
		c.servers[name] = &n
	}
	return &c
}

// StateKey returns a text that is equal for two ProbeSharings which act alike from now on. Times are relative to now, and the numbers of
// requests to the last one of their sender, which last returns.
func (sharing *ProbeSharing) StateKey(last func(ID) uint32) string {
	var w strings.Builder
	ago := func(at float64) float64 { return max(-1e6, min(sharing.now-at, 1e6)) }
	fmt.Fprint(&w, sharing.peers)
	for _, name := range sharing.names {
		server := sharing.servers[name]
		fmt.Fprintf(&w, "|%s %v %v %v ", name, min(ago(server.startedAt), sharing.settings.MinInterval), server.probing, server.again)
		if server.probing {
			fmt.Fprint(&w, ago(server.startedAt))
		}
		if server.result != nil && ago(server.resultAt) <= sharing.settings.MaxResultAge {
			fmt.Fprint(&w, server.result.Result, server.result.Kind, server.result.Role, ago(server.resultAt), ago(server.result.Position))
		}
		for _, a := range server.requesters {
			fmt.Fprintf(&w, " a%d %d %v %v %v", a.id, last(a.id)-a.sequence, a.local, ago(a.requestedAt), a.notified)
		}
		if sharing.now < server.skippedProberUntil {
			fmt.Fprint(&w, " v", server.skippedProber, ago(server.skippedProberUntil))
		}
		if server.wanted {
			fmt.Fprint(&w, " w", ago(server.requestedAt), server.askedProbers, sharing.sequence-server.sequence, max(-1e6, ago(server.waitsUntil)), server.probesLocally)
			if server.unhealthyResult != nil {
				fmt.Fprint(&w, " b", server.unhealthyFrom, server.unhealthyResult.Kind, server.unhealthyResult.Role, ago(server.unhealthyResult.Position), server.unhealthyAge)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sharing.skippedUntil)) {
		fmt.Fprintf(&w, " s%d %v", id, ago(sharing.skippedUntil[id]))
	}
	return w.String()
}

// LastSequence returns the number of its last request.
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
		n := *group
		n.counts, n.rates, n.tenantCounts, n.tenantRates, n.openRequests = slices.Clone(group.counts), slices.Clone(group.rates), slices.Clone(group.tenantCounts), slices.Clone(group.tenantRates), slices.Clone(group.openRequests)
		n.decisions, n.reports = slices.Clone(group.decisions), slices.Clone(group.reports)
		c.groups[n.id], c.sortedGroups[i] = &n, &n
	}
	return &c
}

// StateKey returns a text that is equal for two Controllers which shed and answer alike, as long as they count no requests of their own.
func (controller *Controller) StateKey() string {
	var w strings.Builder
	fmt.Fprint(&w, controller.now, controller.nextReport, controller.sequence, controller.collectorOrder)
	for _, group := range controller.sortedGroups {
		fmt.Fprintf(&w, "|%d %v %v %v %v %v %+v", group.id, group.level, group.budget, group.decidedAt, group.classOrder, group.applied, group.collected)
		for _, x := range slices.SortedFunc(slices.Values(group.decisions), func(a, b collectorDecision) int { return int(math.Copysign(1, float64(a.from)-float64(b.from))) }) {
			fmt.Fprintf(&w, " g%d %v %v %v", x.from, x.reportedAt, x.decision.Level, x.decision.Budget)
		}
		for _, t := range group.reports {
			fmt.Fprintf(&w, " t%d %d %v", t.id, t.sequence, t.reportedAt)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(controller.collectorTimes)) {
		fmt.Fprintf(&w, " s%d %v", id, controller.collectorTimes[id])
	}
	return w.String()
}

// LastReport returns the number of its last report.
func (controller *Controller) LastReport() uint32 { return controller.sequence }
