package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sessionFractions is how finely sessions are told apart where a class is admitted in part.
const sessionFractions = 1 << 20

// AdmissionRequest is a client's request that asks for admission.
type AdmissionRequest struct {
	Tenant  string
	Class   int
	Session uint64 // of SessionNumber
	Parts   int    // of a scattered request, each of which may cost the class's price; 0 counts as 1
	Tag     uint64 // names the request in Admit and Reject, and for Cancel
}

// SessionNumber returns the number of a session for AdmissionRequest.
func SessionNumber(name string) uint64 { return xxhash.Sum64String(name) }

// Reserve decides on a request. An admitted one is to be ended by Settle; for a queued one an Admit or a Reject action follows.
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
	if !tenant.hasQueued(request.Class) { // what came before it comes first
		if reservation, ok := m.reserve(tenant, request.Class, price); ok {
			return reservation, Admitted
		}
	}
	if m.now < tenant.exhaustedUntil || m.settings.QueueTimeout == 0 || len(tenant.queue) >= MaxQueued {
		tenant.lease(0) // funds are requested for it all the same
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

// reserve reserves a price of the funds held here: of the overdraft only what the tenant's own funds here do not cover.
func (m *Manager) reserve(tenant *tenantState, class int, price int64) (Reservation, bool) {
	terms := &m.settings.Classes[class]
	for i, overdraft := range [2]int64{0, terms.Overdraft} {
		if i > 0 && overdraft == 0 {
			break // the class has none
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

// canSpend reports whether an account has so much left, and the durable mark covers it.
func (m *Manager) canSpend(account *account, price int64) bool {
	if account.free() < price {
		return false
	}
	return !m.settings.PersistMarks || account.spent+account.reserved+price <= account.persistedMark
}

// withinThrottle reports whether a tenant whose funds run low may spend on a request. The classes with the highest priority weight for
// their price come first; in the class that is admitted in part the session decides, so that a session gets one answer.
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
	before := 0.0 // the demand of classes that come first
	for _, i := range m.classesByValue {
		rate := tenant.classRates[i].perSecond(m.now)
		if i != class {
			before += rate
			continue
		}
		if rate <= 0 {
			return before < share*total
		}
		return float64(session%sessionFractions)/sessionFractions < (share*total-before)/rate
	}
	return true
}

// Settle ends a reservation and returns what the request is charged; 0 the second time.
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

// admitQueued admits requests of the queue for which there are funds, of each class in their order.
func (m *Manager) admitQueued(tenant *tenantState) {
	if len(tenant.queue) == 0 {
		return
	}
	var short classSet // with a request for which the funds are not enough
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		if short.has(request.class) {
			return false
		}
		price := m.settings.Classes[request.class].reservation(request.parts)
		reservation, ok := m.reserve(tenant, request.class, price)
		if !ok {
			short.add(request.class)
			return false
		}
		m.actions = append(m.actions, Action{Kind: Admit, Tag: request.tag, Reservation: reservation})
		return true
	})
}

// classSet is a set of classes by their index; those from 62 on count as one.
type classSet uint64

func classBit(class int) classSet { return 1 << min(class, 62) }

func (s *classSet) add(class int)      { *s |= classBit(class) }
func (s *classSet) has(class int) bool { return *s&classBit(class) != 0 }

// rejectQueued rejects the selected requests of the queue, and expects no funds for a while.
func (m *Manager) rejectQueued(tenant *tenantState, selected func(*queuedRequest) bool) {
	before := len(tenant.queue)
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		if !selected(&request) {
			return false
		}
		m.actions = append(m.actions, Action{Kind: Reject, Tag: request.tag})
		return true
	})
	if len(tenant.queue) < before || before == 0 { // with an empty queue nothing would find out sooner
		tenant.exhaustedUntil = m.exhaustionEnd()
	}
}

// exhaustionEnd is until when a tenant's funds count as exhausted that are found to be so now: two requests may ask for them meanwhile.
func (m *Manager) exhaustionEnd() float64 {
	return m.now + 2*m.settings.ExhaustedInterval + m.settings.TickInterval
}
