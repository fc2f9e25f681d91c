package overload

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxReportBytes     = 1000     // of reports of groups in a datagram
	maxPendingReports  = 64       // reports whose answers are still accepted
	minRate            = 1.0 / 64 // requests a second: lower rates are not reported
	idleAfterReports   = 20       // report intervals without requests after which a group is no longer reported
	forgetAfterReports = 200      // report intervals without requests after which the state of a group is dropped
)

// sendReports updates the rates of all groups and reports them to their collectors, the groups of a block together.
func (controller *Controller) sendReports() {
	var block []*groupState
	flush := func() {
		if len(block) == 0 {
			return
		}
		for _, id := range controller.CollectorsOf(block[0].id) {
			controller.sendReport(id, block)
		}
		block = nil
	}
	size := controller.settings.groupReportBytes()
	for _, group := range controller.sortedGroups {
		controller.updateRates(group)
		if group.idleReports > idleAfterReports && group.level == 0 {
			continue
		}
		sameBlock := len(block) > 0 && block[0].id/GroupsPerBlock == group.id/GroupsPerBlock
		if !sameBlock || size*(len(block)+1) > maxReportBytes {
			flush()
		}
		block = append(block, group)
	}
	flush()
}

// updateRates merges the counts since the last update into the rates, which decay over RateMemory.
func (controller *Controller) updateRates(group *groupState) {
	elapsed := controller.now - group.ratesAt
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / controller.settings.RateMemory)
	perCount := (1 - decay) * msPerSecond / elapsed
	busy := false
	for i := range group.counts {
		counts := &group.counts[i]
		busy = busy || counts.first+counts.retries+counts.ended > 0
		group.rates[i].update(counts, decay, perCount)
		*counts = loadCounts{}
	}
	for i := range group.tenantCounts {
		group.tenantRates[i] = group.tenantRates[i]*decay + group.tenantCounts[i]*perCount
		group.tenantCounts[i] = 0
	}
	group.ratesAt = controller.now
	group.idleReports++
	if busy {
		group.idleReports = 0
	}
}

func (rates *loadCounts) update(counts *loadCounts, decay, perCount float64) {
	rates.first = rates.first*decay + counts.first*perCount
	rates.retries = rates.retries*decay + counts.retries*perCount
	rates.admitted = rates.admitted*decay + counts.admitted*perCount
	rates.served = rates.served*decay + counts.served*perCount
	rates.ended = rates.ended*decay + counts.ended*perCount
	rates.strain = rates.strain*decay + counts.strain*perCount
}

// sendReport reports the groups of a block to a collector.
func (controller *Controller) sendReport(to ID, block []*groupState) {
	controller.sequence++
	controller.pendingReports = append(controller.pendingReports, pendingReport{controller.sequence, controller.now})
	if len(controller.pendingReports) > maxPendingReports {
		controller.pendingReports = controller.pendingReports[1:]
	}
	report := &LoadReport{Sequence: controller.sequence}
	if last, ok := controller.collectorTimes[to]; ok {
		report.CollectorTime = last.time
		report.HeldMs = controller.now - last.receivedAt
	}
	for _, key := range controller.classes {
		if work := controller.work[key]; work > 0 {
			report.Work = append(report.Work, KeyedValue{key, decodeWork(encodeWork(work))})
		}
	}
	for _, group := range block {
		report.Groups = append(report.Groups, controller.loadOf(group))
	}
	controller.enqueue(Action{Kind: SendReport, To: to, Report: report})
}

// loadOf returns the report of a group.
func (controller *Controller) loadOf(group *groupState) GroupLoad {
	load := GroupLoad{Group: group.id, Budget: group.budget, Level: group.level}
	for i, key := range controller.classes {
		rates, open := group.rates[i], group.openRequests[i]
		if rates.first+rates.retries+rates.ended+open < minRate {
			continue
		}
		load.Classes = append(load.Classes, ClassLoad{
			Key: key, FirstAttempts: rates.first, Retries: rates.retries, Admitted: rates.admitted,
			Served: rates.served, Ended: rates.ended, Strain: rates.strain, Open: open,
		})
	}
	load.Tenants = controller.topTenants(group)
	return load
}

// topTenants returns the rates of the at most MaxTenants tenants with the most requests.
func (controller *Controller) topTenants(group *groupState) (top []KeyedValue) {
	for i, key := range controller.tenants {
		if group.tenantRates[i] >= minRate {
			top = append(top, KeyedValue{key, group.tenantRates[i]})
		}
	}
	slices.SortStableFunc(top, func(a, b KeyedValue) int { return cmp.Compare(b.Value, a.Value) })
	return top[:min(len(top), MaxTenants)]
}

// enqueue emits a message to a process, if that can be reached. A message to this process itself is handled at the end of the event.
func (controller *Controller) enqueue(message Action) {
	if message.To == controller.self {
		controller.selfMessages = append(controller.selfMessages, message)
		return
	}
	message.Addr = controller.addresses[message.To]
	if message.Addr != "" {
		controller.actions = append(controller.actions, message)
	}
}
