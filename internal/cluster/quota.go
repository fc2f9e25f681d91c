package cluster

import (
	"math"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// updateQuotaMembers passes the members to the quota. If this process takes another ID, a new quota is created, as the leases belong to
// the old ID.
func (node *Node) updateQuotaMembers() {
	if node.options.Quota == nil || node.stopped {
		return
	}
	if self := node.view.Self().ID; node.quota == nil || self != node.quotaSelf {
		node.quotaSelf = self
		node.quota = quota.New(*node.options.Quota, self, node.loop.Now())
		node.quota.CheckInvariants(node.checks, node.checkInterval)
	}
	event := quota.MembersChanged{SendingPoolers: node.counts.Sending}
	for _, record := range node.view.Members() {
		if record.State <= view.Suspect {
			event.Peers = append(event.Peers, quota.Peer{ID: record.ID, Addr: record.Addr, Draining: record.Draining})
		}
	}
	node.handleQuota(event)
}

// handleQuota passes an event to the quota and carries out the resulting actions. node.events may call it again meanwhile.
func (node *Node) handleQuota(event quota.Event) {
	if node.stopped || node.quota == nil {
		return
	}
	actions := node.quota.Handle(node.loop.Now(), event, node.quotaActions[:0])
	node.quotaActions = nil // a nested call must not reuse the slice
	node.quotaDue = node.quota.Due()
	for i := range actions {
		node.applyQuotaAction(&actions[i])
	}
	clear(actions)
	node.quotaActions = actions
}

func (node *Node) applyQuotaAction(action *quota.Action) {
	switch action.Kind {
	case quota.Send:
		header := view.Message{Kind: kindQuota, From: action.Message.From, Target: action.Message.To}
		node.enqueueDatagram(action.Addr, envelope{Message: header, quota: action.Message})
	case quota.SetAllowance:
		node.events.AllowanceChanged(action.Limit, action.Amount, action.Burst)
	}
}

// ReportDemand passes to the quota what this pooler would use of a limit and what it uses, in the limit's unit.
func (node *Node) ReportDemand(limit string, wanted, used float64) {
	node.handleQuota(quota.Demand{Limit: limit, Wanted: wanted, Used: used})
}

// SetLimits replaces the limits. The other settings of the quota are used only if no limits were set before.
func (node *Node) SetLimits(settings quota.Settings) {
	if node.options.Quota == nil {
		node.options.Quota = &settings
		if node.view != nil {
			node.updateQuotaMembers()
		}
		return
	}
	node.options.Quota.Limits = settings.Limits
	node.handleQuota(quota.LimitsChanged{Limits: settings.Limits})
}

// Due returns the time at which an allowance may decrease without another message, in ms of the event loop; +Inf if there is none.
func (node *Node) Due() float64 {
	if node.quota == nil {
		return math.Inf(1)
	}
	return node.quotaDue
}

// Expire ends the leases whose time is over.
func (node *Node) Expire() { node.handleQuota(quota.Tick{}) }

// QuotaStatuses returns this process's state of each limit.
func (node *Node) QuotaStatuses() []quota.Status {
	if node.quota == nil {
		return nil
	}
	return node.quota.Statuses()
}
