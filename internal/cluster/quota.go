package cluster

import (
	"math"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// updateQuotaMembers tells the quota who is there. A process that has taken another ID begins anew: what it had was lent to the old one.
func (node *Node) updateQuotaMembers() {
	if node.options.Quota == nil || node.stopped {
		return
	}
	if self := node.view.Self().ID; node.quota == nil || self != node.quotaSelf {
		node.quotaSelf, node.quota = self, quota.New(*node.options.Quota, self, node.loop.Now())
		node.quota.CheckInvariants(node.checks, node.checkInterval)
	}
	e := quota.MembersChanged{SendingPoolers: node.counts.Sending}
	for _, record := range node.view.Members() {
		if record.State <= view.Suspect {
			e.Peers = append(e.Peers, quota.Peer{ID: record.ID, Addr: record.Addr, Draining: record.Draining})
		}
	}
	node.handleQuota(e)
}

// handleQuota tells the quota and carries out what it asks for.
func (node *Node) handleQuota(e quota.Event) {
	if node.stopped || node.quota == nil {
		return
	}
	acts := node.quota.Handle(node.loop.Now(), e, node.quotaActions[:0])
	node.quotaActions = nil // who is told may tell again
	node.quotaDue = node.quota.Due()
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case quota.Send:
			node.enqueueDatagram(a.Addr, envelope{Message: view.Message{Kind: kindQuota, From: a.Message.From, Target: a.Message.To}, quota: a.Message})
		case quota.SetAllowance:
			node.events.AllowanceChanged(a.Limit, a.Amount, a.Burst)
		}
	}
	clear(acts)
	node.quotaActions = acts
}

// ReportDemand tells what this pooler would use of a limit, and uses.
func (node *Node) ReportDemand(limit string, want, used float64) {
	node.handleQuota(quota.Demand{Limit: limit, Wanted: want, Used: used})
}

// SetLimits has the limits be these from now on. How they are shared stays as it was, where there were some before.
func (node *Node) SetLimits(set quota.Settings) {
	if node.options.Quota == nil {
		node.options.Quota = &set
		if node.view != nil {
			node.updateQuotaMembers()
		}
		return
	}
	node.options.Quota.Limits = set.Limits
	node.handleQuota(quota.LimitsChanged{Limits: set.Limits})
}

// Due is when what is allowed may fall without another word; never where nothing may.
func (node *Node) Due() float64 {
	if node.quota == nil {
		return math.Inf(1)
	}
	return node.quotaDue
}

// Expire has leases that are over be so.
func (node *Node) Expire() { node.handleQuota(quota.Tick{}) }

// QuotaStatuses tell how limits stand here.
func (node *Node) QuotaStatuses() []quota.Status {
	if node.quota == nil {
		return nil
	}
	return node.quota.Statuses()
}
