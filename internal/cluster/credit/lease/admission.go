package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sessionFractions is the resolution at which sessions are selected when only a part of a class is admitted.
const sessionFractions = 1 << 20

// AdmissionRequest describes a client's request that is to be admitted.
type AdmissionRequest struct {
	Tenant  string
	Class   int
	Session uint64 // from SessionNumber
	Parts   int    // number of parts of a scattered request, each of which may cost the class's price; 0 counts as 1
	Tag     uint64 // identifies the request in Admit, Reject and Cancel
}

// SessionNumber returns the number of a session for AdmissionRequest.
func SessionNumber(name string) uint64 { return xxhash.Sum64String(name) }

// Reserve decides whether a request is admitted. The caller must end an admitted request with Settle. For a queued request, an Admit or
// Reject action follows.
func (m *Manager) Reserve(now float64, request AdmissionRequest) (Reservation, Decision) {
	if !m.prepaid[request.Tenant] {
		return Reservation{}, Admitted
	}
	m.now = max(m.now, now)
	class := &m.settings.Classes[request.Class]
	price := class.reservation(request.Parts)
	if price == 0 {
		return Reservation{}, Admitted
	}
	if m.closing {
		return Reservation{}, Exhausted
	}
	tenant := m.tenantFor(request.Tenant)
	tenant.classRates[request.Class].add(m.now, float64(price))
	if class.Overdraft == 0 && !m.withinThrottle(tenant, request.Class, request.Session) {
		return Reservation{}, Throttled
	}
	if !tenant.hasQueued(request.Class) { // earlier requests of the class take precedence
		if reservation, ok := m.reserve(tenant, request.Class, price); ok {
			return reservation, Admitted
		}
	}
	if m.now < tenant.exhaustedUntil || m.settings.QueueTimeout == 0 || len(tenant.queue) >= MaxQueued {
		tenant.lease(0) // creates the lease, so that funds are requested although this request is rejected
		return Reservation{}, Exhausted
	}
	tenant.queue = append(tenant.queue, queuedRequest{
		tag: request.Tag, class: request.Class, parts: request.Parts, session: request.Session, deadline: m.now + m.settings.QueueTimeout,
	})
	return Reservation{}, Queued
}

func (t *tenantState) hasQueued(class int) bool {
	return slices.ContainsFunc(t.queue, func(request queuedRequest) bool { return request.class == class })
}

// reserve reserves a price from the funds held here. It uses the overdraft only if the tenant's own funds held here do not cover the price.
func (m *Manager) reserve(tenant *tenantState, class int, price int64) (Reservation, bool) {
	terms := &m.settings.Classes[class]
	for i, overdraft := range [2]int64{0, terms.Overdraft} {
		if i > 0 && overdraft == 0 {
			break // the class has no overdraft
		}
		lease := tenant.lease(overdraft)
		m.expireIfDue(lease)
		if !m.canSpend(&lease.current, price) {
			continue
		}
		lease.current.reserved += price
		lease.rate.add(m.now, float64(price))
		lease.lastUsedAt = m.now
		return Reservation{
			Tenant: tenant.name, Overdraft: overdraft, Generation: lease.current.generation, Amount: price, Price: terms.Price,
		}, true
	}
	return Reservation{}, false
}

// canSpend reports whether an account has enough free funds for a price and the durable mark covers it.
func (m *Manager) canSpend(account *account, price int64) bool {
	if account.free() < price {
		return false
	}
	return !m.settings.PersistMarks || account.spent+account.reserved+price <= account.persistedMark
}

// withinThrottle reports whether throttling allows a request. A tenant whose funds run low may spend only a share of its demand. Classes
// with the highest priority weight per price get the share first. If only a part of a class fits, it is selected by session, so that all
// requests of a session get the same decision.
func (m *Manager) withinThrottle(tenant *tenantState, class int, session uint64) bool {
	threshold := m.settings.ThrottleBelow * float64(tenant.availableAtPayment)
	if m.settings.ThrottleBelow == 0 || !tenant.availableKnown || float64(tenant.available) >= threshold {
		return true
	}
	share := max(m.settings.MinThrottledShare, float64(tenant.available)/threshold)
	total := 0.0
	for i := range tenant.classRates {
		total += tenant.classRates[i].perSecond(m.now)
	}
	precedingDemand := 0.0 // demand of the classes with a higher priority weight per price
	for _, i := range m.classesByValue {
		rate := tenant.classRates[i].perSecond(m.now)
		if i != class {
			precedingDemand += rate
			continue
		}
		if rate <= 0 {
			return precedingDemand < share*total
		}
		return float64(session%sessionFractions)/sessionFractions < (share*total-precedingDemand)/rate
	}
	return true
}

// Settle ends a reservation and returns the amount charged for the request. It returns 0 if the reservation has already ended.
func (m *Manager) Settle(reservation *Reservation, usage Usage) int64 {
	if reservation.Amount == 0 {
		return 0
	}
	account := m.accountOf(reservation)
	if account == nil {
		return 0
	}
	charge := reservation.Charge(usage)
	account.reserved -= reservation.Amount
	account.spent += charge
	reservation.Amount = 0
	return charge
}

func (m *Manager) accountOf(reservation *Reservation) *account {
	tenant := m.tenants[reservation.Tenant]
	if tenant == nil {
		return nil
	}
	lease := tenant.findLease(reservation.Overdraft)
	if lease == nil {
		return nil
	}
	return lease.findAccount(reservation.Generation)
}

// Cancel removes a request from the queue.
func (m *Manager) Cancel(name string, tag uint64) {
	if tenant := m.tenants[name]; tenant != nil {
		tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool { return request.tag == tag })
	}
}

// admitQueued admits the queued requests for which there are funds, in queue order within each class.
func (m *Manager) admitQueued(tenant *tenantState) {
	if len(tenant.queue) == 0 {
		return
	}
	var unfunded classSet // classes whose first queued request cannot be funded
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		if unfunded.has(request.class) {
			return false
		}
		price := m.settings.Classes[request.class].reservation(request.parts)
		reservation, ok := m.reserve(tenant, request.class, price)
		if !ok {
			unfunded.add(request.class)
			return false
		}
		m.actions = append(m.actions, Action{Kind: Admit, Tag: request.tag, Reservation: reservation})
		return true
	})
}

// classSet is a set of class indexes. Indexes of 62 and above share one element.
type classSet uint64

func classBit(class int) classSet { return 1 << min(class, 62) }

func (s *classSet) add(class int)      { *s |= classBit(class) }
func (s *classSet) has(class int) bool { return *s&classBit(class) != 0 }

// rejectQueued rejects the selected queued requests and marks the tenant's funds as exhausted for a while.
func (m *Manager) rejectQueued(tenant *tenantState, selected func(*queuedRequest) bool) {
	queuedBefore := len(tenant.queue)
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		if !selected(&request) {
			return false
		}
		m.actions = append(m.actions, Action{Kind: Reject, Tag: request.tag})
		return true
	})
	if len(tenant.queue) < queuedBefore || queuedBefore == 0 { // with an empty queue, no queued request would detect the exhaustion
		tenant.exhaustedUntil = m.exhaustionEnd()
	}
}

// exhaustionEnd returns until when the funds of a tenant that are found to be exhausted now count as such. The time suffices for two
// requests to the leader.
func (m *Manager) exhaustionEnd() float64 {
	return m.now + 2*m.settings.ExhaustedInterval + m.settings.TickInterval
}
