package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/message"
)

const (
	maxUnanswered = 16 // requests about an account whose responses still extend it
	excessFactor  = 3  // times the target; what is held beyond that is returned unasked
)

// leaseDemand is what a lease is needed for now. Amounts are in the operators' unit.
type leaseDemand struct {
	rate      float64 // a second
	queued    int64   // for requests in the queue
	price     int64   // the highest of the classes with demand
	target    int64   // that should be free here
	exhausted bool    // the tenant has demand, and its funds were found to be exhausted
}

// sendRequests sends the leader what is due now.
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

// appendFinalReports appends the final reports of expired accounts on which no request is running.
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

// requestedOverdrafts are the overdrafts at which a tenant needs funds: beyond its own funds only for classes with demand.
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

// nextRequest returns the request about a lease that is due now, if any.
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
	if demand.rate > negligibleRate { // one price is in hand while the next is requested
		demand.target = max(demand.target, 2*demand.price)
	}
	if demand.exhausted { // one price, which may be the last
		demand.target = max(demand.queued, demand.price)
	}
	return demand
}

// isUnused reports whether nobody has needed a lease's funds for the idle timeout.
func (m *Manager) isUnused(lease *tenantLease, demand *leaseDemand) bool {
	current := &lease.current
	holds := current.generation > 0 && current.free() > 0
	inDemand := demand.queued > 0 || demand.exhausted || current.reserved > 0
	return holds && !inDemand && m.now-lease.lastUsedAt > m.settings.IdleTimeout
}

// returnExcess returns what is held far beyond the target, and the last of exhausted funds where it is less than any price: that is of
// use to nobody but together with what others hold.
func (m *Manager) returnExcess(tenant *tenantState, lease *tenantLease, demand *leaseDemand) {
	current := &lease.current
	if current.expiresAt <= 0 {
		return
	}
	if demand.target > 0 && current.free() > excessFactor*demand.target {
		current.returned += current.free() - demand.target
		lease.reportSoon = true
	}
	lastOfFunds := demand.exhausted && demand.queued == 0
	if lastOfFunds && current.free() > 0 && current.free() < m.lowestPrice(tenant, lease.overdraft) {
		current.returned += current.free()
	}
}

// requestInterval returns how long after the last request about a lease the next may follow, and whether one is needed.
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

// newRequest makes the next request about a lease, and opens an account where there is none.
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

// queuedAmount is what the queue needs at an overdraft; at 0 all of it.
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

// spendRate is what is spent a second of a lease: of an overdraft, what the classes with it have demand for.
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

// highestPrice is that of the classes with demand at an overdraft; at 0 of all.
func (m *Manager) highestPrice(tenant *tenantState, overdraft int64) int64 {
	highest := int64(0)
	m.eachPrice(tenant, overdraft, func(price int64) { highest = max(highest, price) })
	return highest
}

// lowestPrice is that of the classes with demand at an overdraft, at 0 of all; 0 where there is no demand.
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
