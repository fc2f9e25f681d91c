package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone returns an independent copy, for the model checker.
func (m *Manager) Clone() *Manager {
	clone := *m
	clone.actions = nil
	clone.claims = slices.Clone(m.claims)
	clone.classesByValue = slices.Clone(m.classesByValue)
	clone.prepaid = maps.Clone(m.prepaid)
	clone.tenants = map[string]*tenantState{}
	clone.active = nil
	for _, tenant := range m.active {
		copied := tenant.clone()
		clone.tenants[copied.name] = copied
		clone.active = append(clone.active, copied)
	}
	return &clone
}

func (t *tenantState) clone() *tenantState {
	clone := *t
	clone.classRates = slices.Clone(t.classRates)
	clone.queue = slices.Clone(t.queue)
	clone.leases = nil
	for _, lease := range t.leases {
		copied := *lease
		copied.current.unanswered = slices.Clone(lease.current.unanswered)
		copied.expired = slices.Clone(lease.expired)
		clone.leases = append(clone.leases, &copied)
	}
	return &clone
}

// Key returns a text that identifies the manager's state for the model checker: managers with equal keys behave the same from now on. It
// contains times as ms before now.
func (m *Manager) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.self, m.lastGeneration, m.closing, m.lastWrite, "|")
	for _, tenant := range m.active {
		m.appendTenantKey(&b, tenant)
	}
	for _, claim := range m.claims {
		fmt.Fprint(&b, claim.HighWaterMark, m.since(claim.nextRequestAt), claim.marksRead)
	}
	return b.String()
}

// since returns how long ago a time was, in ms with three decimal places, or -1 if the time is not set.
func (m *Manager) since(at float64) float64 {
	if at == 0 {
		return -1
	}
	return float64(int64((m.now-at)*1000)) / 1000
}

func (m *Manager) appendTenantKey(b *strings.Builder, tenant *tenantState) {
	fmt.Fprint(b, tenant.name, tenant.available, tenant.availableAtPayment, tenant.availableKnown, m.since(tenant.exhaustedUntil), "|")
	for i := range tenant.classRates {
		fmt.Fprintf(b, "%.3g ", tenant.classRates[i].perSecond(m.now))
	}
	for _, request := range tenant.queue {
		fmt.Fprint(b, request.tag, request.class, m.since(request.deadline), " ")
	}
	for _, lease := range tenant.leases {
		fmt.Fprintf(b, "%d %.3g", lease.overdraft, lease.rate.perSecond(m.now))
		fmt.Fprint(b, m.since(lease.lastUsedAt), m.since(lease.requestedAt), lease.reportSoon)
		m.appendAccountKey(b, &lease.current)
		for i := range lease.expired {
			m.appendAccountKey(b, &lease.expired[i])
		}
	}
}

func (m *Manager) appendAccountKey(b *strings.Builder, account *account) {
	fmt.Fprint(b, account.generation, account.sequence, account.granted, account.returned, account.spent, account.reserved,
		m.since(account.expiresAt), m.since(account.nextRequestAt), account.persistedMark, account.pendingMark, account.pendingWrite, "[")
	for _, sent := range account.unanswered {
		fmt.Fprint(b, sent.sequence, m.since(sent.sentAt), " ")
	}
}
