package adapter

import (
	"time"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/budgetlease"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/cluster/view"
)

// RetryBounds configure how many of a group's requests may be retried or hedged, and how fast connections to a server that has returned are
// opened.
type RetryBounds struct {
	RetryBudgetEnabled bool
	AttemptShare       float64
	Floor              float64
	SpanMs             float64
	LendingEnabled     bool
	Lending            budgetlease.Settings
	RecoveryRampRate   float64 // connections a second that the fleet opens to a server that has returned, 0 for no limit
}

// DefaultRetryBounds returns the bounds that (repeats) sets without further settings.
func DefaultRetryBounds() RetryBounds {
	return RetryBounds{AttemptShare: 0.1, Floor: 10, SpanMs: 10000, LendingEnabled: true, Lending: budgetlease.Defaults()}
}

// Begin sets the limits that need no other pooler: the retry budget and the rate of connections to servers that have returned.
func (adapter *Adapter) Begin() {
	bounds := &adapter.options.RetryBounds
	var settings *retrybudget.Settings
	if bounds.RetryBudgetEnabled {
		settings = &retrybudget.Settings{AttemptShare: bounds.AttemptShare, Floor: bounds.Floor, Span: time.Duration(bounds.SpanMs * float64(time.Millisecond))}
	}
	if settings != nil || bounds.RecoveryRampRate > 0 {
		adapter.core.SetRetryBudget(settings, bounds.RecoveryRampRate)
	}
}

// updateLender passes the processes that can be reached to the lender, which it creates first if lending is enabled.
func (adapter *Adapter) updateLender(self view.ID, peers []overload.Peer) {
	if !adapter.options.RetryBudgetEnabled || !adapter.options.LendingEnabled {
		return
	}
	if adapter.budget == nil {
		adapter.budget = budgetlease.New(adapter.options.Lending, self, adapter.host.Now())
		adapter.budget.CheckInvariants(adapter.checks)
	}
	adapter.budget.UpdateMembers(self, peers)
}

// reportBalances reports the retry budgets of the decision module to the lender.
func (adapter *Adapter) reportBalances() {
	if adapter.budget == nil {
		return
	}
	budgets := adapter.core.RetryBudgets()
	balances := make([]budgetlease.Balance, len(budgets))
	for i, budget := range budgets {
		balances[i] = budgetlease.Balance(budget)
	}
	adapter.handleBudgetActions(adapter.budget.Tick(adapter.host.Now(), balances, nil))
}

// handleBudgetActions carries out the actions of the lender.
func (adapter *Adapter) handleBudgetActions(actions []budgetlease.Action) {
	amounts := map[int]float64{}
	for i := range actions {
		switch a := &actions[i]; {
		case a.Transfer != nil:
			adapter.host.Send(a.Addr, a.To, adapter.Kind(), a.Transfer)
		case a.Request != nil:
			adapter.host.Send(a.Addr, a.To, adapter.Kind(), a.Request)
		default:
			amounts[a.Group] += a.Amount
		}
	}
	adapter.core.AddRetryBudget(amounts)
}
