package lessor

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone returns an independent copy with a ledger of its own, for the model checker.
func (l *Lessor) Clone() *Lessor {
	clone := *l
	clone.actions = nil
	clone.ledger = l.ledger.Clone()
	clone.requests = slices.Clone(l.requests)
	clone.requestIndex = maps.Clone(l.requestIndex)
	clone.payments = slices.Clone(l.payments)
	clone.inFlight = slices.Clone(l.inFlight)
	clone.activeAccounts = slices.Clone(l.activeAccounts)
	clone.expiredAccounts = slices.Clone(l.expiredAccounts)
	clone.demand = map[string][]spendReport{}
	for tenant, reports := range l.demand {
		clone.demand[tenant] = slices.Clone(reports)
	}
	clone.recalledAt = maps.Clone(l.recalledAt)
	return &clone
}

// Key returns a text that identifies the lessor's state for the model checker: lessors with equal keys behave the same from now on. It
// contains times as ms before now.
func (l *Lessor) Key() string {
	var b strings.Builder
	oldest := l.now - 10*l.settings.ProposalTimeout
	fmt.Fprint(&b, l.isLeader, len(l.inFlight), l.since(max(l.proposedAt, oldest)), "|")
	for _, request := range l.requests {
		fmt.Fprint(&b, request.Request, l.since(request.receivedAt))
	}
	for _, account := range l.activeAccounts {
		if l.isCurrent(account) {
			fmt.Fprint(&b, account.key, account.sequence, l.since(account.appliedAt))
		}
	}
	for _, account := range l.expiredAccounts {
		fmt.Fprint(&b, "e", account.key)
	}
	for _, tenant := range slices.Sorted(maps.Keys(l.demand)) {
		for _, report := range l.demand[tenant] {
			fmt.Fprint(&b, tenant, report.holder, report.rate, l.since(report.reportedAt))
		}
	}
	b.Write(l.ledger.Snapshot())
	fmt.Fprint(&b, len(l.payments), len(l.recalledAt))
	return b.String()
}

// since returns how long ago a time was, in ms with three decimal places.
func (l *Lessor) since(at float64) float64 { return float64(int64((l.now-at)*1000)) / 1000 }
