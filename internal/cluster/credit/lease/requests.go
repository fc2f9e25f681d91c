package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/message"
)

const (
	maxUnanswered = 16 // maximum number of requests about an account that are tracked until their response extends it
	excessFactor  = 3  // free funds above this multiple of the target are returned without a recall
)

// leaseDemand is the current demand for the funds of a lease. Amounts are in the operators' unit.
type leaseDemand struct {
	rate      float64 // spending per second
	queued    int64   // amount that queued requests need
	price     int64   // highest price of the classes with demand
	target    int64   // amount that should be free here
	exhausted bool    // the tenant has demand, but its funds were found to be exhausted
}

// sendRequests sends the leader the requests and reports that are due.
func (m *Manager) sendRequests() {
	var requests []message.Request
	for _, tenant := range m.active {
		for _, overdraft := range m.requestedOverdrafts(tenant) {
			if request, due := m.nextRequest(tenant, tenant.lease(overdraft)); due {
				requests = append(requests, request)
			}
		}
		for _, lease := range tenant.leases {
			requests = m.appendFinalReports(requests, tenant, lease)
		}
	}
	requests = m.appendClaims(requests)
	for chunk := range slices.Chunk(requests, message.MaxItems) {
		m.actions = append(m.actions, Action{Kind: SendRequests, Requests: chunk})
	}
}

// appendFinalReports appends the due final reports of expired accounts that have no reservations left.
func (m *Manager) appendFinalReports(requests []message.Request, tenant *tenantState, lease *tenantLease) []message.Request {
	for i := range lease.expired {
		account := &lease.expired[i]
		waiting := account.nextRequestAt > 0 && m.now < account.nextRequestAt
		if account.reserved > 0 || waiting {
			continue
		}
		account.nextRequestAt = m.now + m.settings.RenewInterval
		requests = append(requests, message.Request{
			Key: m.accountKey(tenant, lease, account), Sequence: account.sequence, Spent: account.spent, Returned: account.returned, Final: true,
		})
	}
	return requests
}

// requestedOverdrafts returns the overdrafts at which a tenant needs funds. That is always 0, its own funds, and otherwise the overdrafts
// of classes with demand and of leases with an account.
func (m *Manager) requestedOverdrafts(tenant *tenantState) []int64 {
	overdrafts := []int64{0}
	for i := range tenant.classRates {
		overdraft := m.settings.Classes[i].Overdraft
		wanted := overdraft > 0 && tenant.classRates[i].perSecond(m.now) > 0
		if wanted && !slices.Contains(overdrafts, overdraft) {
			overdrafts = append(overdrafts, overdraft)
		}
	}
	for _, lease := range tenant.leases {
		if lease.current.generation > 0 && !slices.Contains(overdrafts, lease.overdraft) {
			overdrafts = append(overdrafts, lease.overdraft)
		}
	}
	return overdrafts
}

// nextRequest returns the request about a lease, if one is due.
func (m *Manager) nextRequest(tenant *tenantState, lease *tenantLease) (request message.Request, due bool) {
	demand := m.demandOf(tenant, lease)
	if m.isUnused(lease, &demand) {
		lease.current.returned += lease.current.free()
		lease.expireCurrent()
		return message.Request{}, false
	}
	m.returnExcess(tenant, lease, &demand)
	interval, needed := m.requestInterval(lease, &demand)
	tooEarly := lease.requestedAt > 0 && m.now < lease.requestedAt+interval
	if !needed || tooEarly {
		return message.Request{}, false
	}
	return m.newRequest(tenant, lease, &demand), true
}

func (m *Manager) demandOf(tenant *tenantState, lease *tenantLease) leaseDemand {
	demand := leaseDemand{
		rate:      m.spendRate(tenant, lease),
		queued:    m.queuedAmount(tenant, lease.overdraft),
		price:     m.highestPrice(tenant, lease.overdraft),
		exhausted: m.now < tenant.exhaustedUntil && tenant.demand(m.now) > 0,
	}
	demand.target = max(int64(demand.rate*m.settings.GrantHorizon/1000), demand.queued)
	if demand.rate > negligibleRate { // one price can be spent while the next is requested
		demand.target = max(demand.target, 2*demand.price)
	}
	if demand.exhausted { // one price at a time, because it may be the last of the funds
		demand.target = max(demand.queued, demand.price)
	}
	return demand
}

// isUnused reports whether a lease has free funds that no request has needed for the idle timeout.
func (m *Manager) isUnused(lease *tenantLease, demand *leaseDemand) bool {
	current := &lease.current
	holds := current.generation > 0 && current.free() > 0
	inDemand := demand.queued > 0 || demand.exhausted || current.reserved > 0
	return holds && !inDemand && m.now-lease.lastUsedAt > m.settings.IdleTimeout
}

// returnExcess returns funds that far exceed the target. If the tenant's funds are exhausted, it also returns a remainder that is less than
// any price: it is of use only when combined with remainders that other poolers hold.
func (m *Manager) returnExcess(tenant *tenantState, lease *tenantLease, demand *leaseDemand) {
	current := &lease.current
	if current.expiresAt <= 0 {
		return
	}
	if demand.target > 0 && current.free() > excessFactor*demand.target {
		current.returned += current.free() - demand.target
		lease.reportSoon = true
	}
	returnsRemainder := demand.exhausted && demand.queued == 0
	if returnsRemainder && current.free() > 0 && current.free() < m.lowestPrice(tenant, lease.overdraft) {
		current.returned += current.free()
	}
}

// requestInterval returns the minimum time in ms between the last request about a lease and the next, and whether a request is needed.
func (m *Manager) requestInterval(lease *tenantLease, demand *leaseDemand) (interval float64, needed bool) {
	free := lease.current.free()
	expiresAt := lease.current.expiresAt
	switch {
	case m.closing:
		return 0, false
	case lease.reportSoon, demand.queued > free:
		return m.settings.UrgentInterval, true
	case demand.exhausted && free < demand.price:
		return m.settings.ExhaustedInterval, true
	case demand.target > free && free <= demand.target/2:
		return 2 * m.settings.UrgentInterval, true
	case expiresAt > 0 && expiresAt-m.now < m.settings.Duration/2:
		return m.settings.RenewInterval, true
	}
	return 0, false
}

// newRequest returns the next request about a lease, and starts a new account if the lease has none.
func (m *Manager) newRequest(tenant *tenantState, lease *tenantLease, demand *leaseDemand) message.Request {
	current := &lease.current
	if current.generation == 0 {
		m.lastGeneration++
		current.generation = m.lastGeneration
	}
	current.sequence++
	current.unanswered = append(current.unanswered, sentRequest{sequence: current.sequence, sentAt: m.now})
	current.unanswered = current.unanswered[max(0, len(current.unanswered)-maxUnanswered):]
	lease.requestedAt = m.now
	lease.reportSoon = false
	free := current.free()
	return message.Request{
		Key:       m.accountKey(tenant, lease, current),
		Sequence:  current.sequence,
		Spent:     current.spent,
		Returned:  current.returned,
		Requested: max(0, demand.target-free),
		Queued:    max(0, demand.queued-free),
		SpendRate: int64(demand.rate),
	}
}

// queuedAmount returns the amount that queued requests need at an overdraft. At 0 it covers all queued requests.
func (m *Manager) queuedAmount(tenant *tenantState, overdraft int64) int64 {
	amount := int64(0)
	for _, request := range tenant.queue {
		class := &m.settings.Classes[request.class]
		if overdraft == 0 || class.Overdraft == overdraft {
			amount += class.reservation(request.parts)
		}
	}
	return amount
}

// spendRate returns the spending per second from a lease. For an overdraft, it is the demand of the classes with that overdraft.
func (m *Manager) spendRate(tenant *tenantState, lease *tenantLease) float64 {
	if lease.overdraft == 0 {
		return lease.rate.perSecond(m.now)
	}
	total := 0.0
	for i := range tenant.classRates {
		if m.settings.Classes[i].Overdraft == lease.overdraft {
			total += tenant.classRates[i].perSecond(m.now)
		}
	}
	return total
}

// highestPrice returns the highest price of the classes with demand and a given overdraft. At 0 it covers all classes with demand.
func (m *Manager) highestPrice(tenant *tenantState, overdraft int64) int64 {
	highest := int64(0)
	m.eachPrice(tenant, overdraft, func(price int64) { highest = max(highest, price) })
	return highest
}

// lowestPrice returns the lowest price of the classes with demand and a given overdraft, or 0 if there is no demand. At 0 it covers all
// classes with demand.
func (m *Manager) lowestPrice(tenant *tenantState, overdraft int64) int64 {
	lowest := int64(math.MaxInt64)
	m.eachPrice(tenant, overdraft, func(price int64) { lowest = min(lowest, price) })
	if lowest == math.MaxInt64 {
		return 0
	}
	return lowest
}

func (m *Manager) eachPrice(tenant *tenantState, overdraft int64, visit func(price int64)) {
	for i := range tenant.classRates {
		class := &m.settings.Classes[i]
		matches := overdraft == 0 || class.Overdraft == overdraft
		if matches && tenant.classRates[i].perSecond(m.now) > negligibleRate {
			visit(class.reservation(1))
		}
	}
}
