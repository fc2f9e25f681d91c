package lease

import (
	"slices"

	"beechgrade/internal/cluster/credit/message"
)

// handleResponse handles the leader's response about one account.
func (m *Manager) handleResponse(response *message.Response) {
	if response.Key.Holder != m.self {
		m.handleClaimResponse(response)
		return
	}
	tenant := m.tenants[response.Key.Tenant]
	if tenant == nil {
		return
	}
	lease := tenant.findLease(response.Key.Overdraft)
	if lease == nil {
		return
	}
	tenant.available = response.Available
	tenant.availableAtPayment = response.AvailableAtPayment
	tenant.availableKnown = true
	switch {
	case response.Closed:
		lease.handleClosed(response.Key.Generation)
	case lease.current.generation != response.Key.Generation: // the response is about an expired account
	case response.Expired:
		lease.expireCurrent()
	case response.Recall:
		lease.returnAbove(response.Retain)
	default:
		m.handleGrant(tenant, lease, response)
	}
}

// handleClosed drops an account that the log has closed. Requests that were admitted on it continue, but no more of it is spent.
func (l *tenantLease) handleClosed(generation uint32) {
	if l.current.generation == generation {
		if l.current.granted > 0 {
			l.current.returned += l.current.free()
		}
		l.expireCurrent()
	}
	l.expired = slices.DeleteFunc(l.expired, func(account account) bool {
		return account.generation == generation && account.reserved == 0
	})
}

// returnAbove returns the free funds above an amount.
func (l *tenantLease) returnAbove(retain int64) {
	if excess := l.current.free() - retain; excess > 0 {
		l.current.returned += excess
		l.reportSoon = true
	}
}

// handleGrant updates the current account from the log's state, extends its expiry, and admits queued requests that the account can now
// fund.
func (m *Manager) handleGrant(tenant *tenantState, lease *tenantLease, response *message.Response) {
	current := &lease.current
	grew := response.Granted > current.granted
	current.granted = max(current.granted, response.Granted)
	m.extend(current, response)
	m.raiseMark(tenant, lease)
	switch {
	case grew:
		tenant.exhaustedUntil = 0
		lease.lastUsedAt = m.now
	case m.now < tenant.exhaustedUntil && len(tenant.queue) == 0:
		tenant.exhaustedUntil = m.exhaustionEnd()
	}
	m.admitQueued(tenant)
	empty := !grew && current.free() == 0 && lease.overdraft == 0
	if empty && tenant.heldElsewhere() <= 0 { // no other pooler holds funds either
		m.rejectQueued(tenant, func(request *queuedRequest) bool { return m.settings.Classes[request.class].Overdraft == 0 })
	}
}

// extend sets the account's expiry to the lease's duration after the answered request was sent.
func (m *Manager) extend(account *account, response *message.Response) {
	for _, sent := range account.unanswered {
		if sent.sequence != response.Sequence || response.Granted <= 0 {
			continue
		}
		from := sent.sentAt
		if m.settings.ExpireFromResponse {
			from = m.now
		}
		account.expiresAt = max(account.expiresAt, from+m.settings.Duration)
	}
	account.unanswered = slices.DeleteFunc(account.unanswered, func(sent sentRequest) bool { return sent.sequence <= response.Sequence })
}
