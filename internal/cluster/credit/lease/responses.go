package lease

import (
	"slices"

	"beechgrade/internal/cluster/credit/message"
)

// handleResponse takes the leader's response about one account.
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
	case lease.current.generation != response.Key.Generation: // about an expired account
	case response.Expired:
		lease.expireCurrent()
	case response.Recall:
		lease.returnAbove(response.Retain)
	default:
		m.handleGrant(tenant, lease, response)
	}
}

// handleClosed drops an account that the log has closed. Requests that were admitted on it go on, but nothing more is spent of it.
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

// returnAbove returns what is free beyond an amount.
func (l *tenantLease) returnAbove(retain int64) {
	if excess := l.current.free() - retain; excess > 0 {
		l.current.returned += excess
		l.reportSoon = true
	}
}

// handleGrant takes what the log has of the current account, which extends it, and admits what waited for it.
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
	if empty && tenant.heldElsewhere() <= 0 { // nobody has any
		m.rejectQueued(tenant, func(request *queuedRequest) bool { return m.settings.Classes[request.class].Overdraft == 0 })
	}
}

// extend lets an account be used for the lease's duration from the sending of the request that is answered.
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
