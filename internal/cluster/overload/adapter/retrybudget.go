package adapter

import (
	"time"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/budgetlease"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/cluster/view"
)

// RetryBounds configures how many of a group's requests may be retried or hedged, and how fast connections to a returned server are opened.
type RetryBounds struct {
	RetryBudgetEnabled bool
	AttemptShare       float64
	Floor              float64
	SpanMs             float64
	LendingEnabled     bool
	Lending            budgetlease.Settings
	RecoveryRampRate   float64 // connections a second of the fleet to one server, 0 for any number
}

// DefaultRetryBounds returns the bounds of (repeats) without further settings.
func DefaultRetryBounds() RetryBounds {
	return RetryBounds{AttemptShare: 0.1, Floor: 10, SpanMs: 10000, LendingEnabled: true, Lending: budgetlease.Defaults()}
}

// Begin sets the retry budgets that need no other pooler.
func (adapter *Adapter) Begin() {
	b := &adapter.options.RetryBounds
	var r *retrybudget.Settings
	if b.RetryBudgetEnabled {
		r = &retrybudget.Settings{AttemptShare: b.AttemptShare, Floor: b.Floor, Span: time.Duration(b.SpanMs * float64(time.Millisecond))}
	}
	if r != nil || b.RecoveryRampRate > 0 {
		adapter.core.SetRetryBudget(r, b.RecoveryRampRate)
	}
}

// updateLenders reports the processes that can be reached.
func (adapter *Adapter) updateLenders(self view.ID, peers []overload.Peer) {
	if !adapter.options.RetryBudgetEnabled || !adapter.options.LendingEnabled {
		return
	}
	if adapter.budget == nil {
		adapter.budget = budgetlease.New(adapter.options.Lending, self, adapter.host.Now())
		adapter.budget.CheckInvariants(adapter.checks)
	}
	adapter.budget.UpdateMembers(self, peers)
}

// reportBalances reports the budgets of the decision module.
func (adapter *Adapter) reportBalances() {
	if adapter.budget == nil {
		return
	}
	all := adapter.core.RetryBudgets()
	told := make([]budgetlease.Balance, len(all))
	for i, s := range all {
		told[i] = budgetlease.Balance(s)
	}
	adapter.handleBudgetActions(adapter.budget.Tick(adapter.host.Now(), told, nil))
}

func (adapter *Adapter) handleBudgetActions(acts []budgetlease.Action) {
	moved := map[int]float64{}
	for i := range acts {
		switch a := &acts[i]; {
		case a.Transfer != nil:
			adapter.host.Send(a.Addr, a.To, adapter.Kind(), a.Transfer)
		case a.Request != nil:
			adapter.host.Send(a.Addr, a.To, adapter.Kind(), a.Request)
		default:
			moved[a.Group] += a.Amount
		}
	}
	adapter.core.AddRetryBudget(moved)
}
