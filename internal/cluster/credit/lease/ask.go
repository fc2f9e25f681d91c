package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// sendRequests tells the leader what is to be told now.
func (p *Manager) sendRequests() {
	var asks []message.Request
	for _, tenant := range p.active {
		for _, overdraft := range p.requestedOverdrafts(tenant) {
			lease := tenant.lease(overdraft)
			if a, ok := p.nextRequest(tenant, lease); ok {
				asks = append(asks, a)
			}
		}
		for _, lease := range tenant.leases {
			for i := range lease.expired {
				a := &lease.expired[i]
				if a.reserved > 0 || a.nextRequestAt > 0 && p.now < a.nextRequestAt {
					continue
				}
				a.nextRequestAt = p.now + p.settings.RenewInterval
				asks = append(asks, message.Request{Key: p.accountKey(tenant, lease, a), Sequence: a.sequence, Spent: a.spent, Returned: a.returned, Final: true})
			}
		}
	}
	for i := range p.claims {
		claim := &p.claims[i]
		first := claim.Key.Tenant == "" && slices.ContainsFunc(p.claims, func(o settlementClaim) bool { return o.Key.Holder == claim.Key.Holder && o.Key.Tenant != "" })
		if p.now >= claim.nextRequestAt && !first {
			claim.nextRequestAt = p.now + 2*p.settings.RenewInterval
			asks = append(asks, message.Request{Key: claim.Key, Spent: claim.Spent, Final: true, Recovered: true, MarksRead: claim.marksRead})
		}
	}
	for part := range slices.Chunk(asks, message.MaxItems) {
		p.actions = append(p.actions, Action{Kind: SendRequests, Requests: part})
	}
}

func (p *Manager) accountKey(tenant *tenantState, lease *tenantLease, a *account) ledger.Key {
	return ledger.Key{Tenant: tenant.name, Overdraft: lease.overdraft, Holder: p.self, Generation: a.generation}
}

// requestedOverdrafts are the depths that a tenant wants something of: nothing beyond its funds but for classes that ask.
func (p *Manager) requestedOverdrafts(tenant *tenantState) []int64 {
	out := []int64{0}
	for i := range tenant.classRates {
		if d := p.settings.Classes[i].Overdraft; d > 0 && !slices.Contains(out, d) && tenant.classRates[i].perSecond(p.now) > 0 {
			out = append(out, d)
		}
	}
	for _, lease := range tenant.leases {
		if lease.current.generation > 0 && !slices.Contains(out, lease.overdraft) {
			out = append(out, lease.overdraft)
		}
	}
	return out
}

// queuedAmount is what waits for funds of a depth.
func (p *Manager) queuedAmount(tenant *tenantState, overdraft int64) (n int64) {
	for _, request := range tenant.queue {
		if d := p.settings.Classes[request.class].Overdraft; overdraft == 0 || d == overdraft {
			n += p.settings.Classes[request.class].reservation(request.parts)
		}
	}
	return n
}

// spendRate is what is spent a second of a depth: beyond the funds, what the classes that may ask for.
func (p *Manager) spendRate(tenant *tenantState, lease *tenantLease) float64 {
	if lease.overdraft == 0 {
		return lease.rate.perSecond(p.now)
	}
	n := 0.0
	for i := range tenant.classRates {
		if p.settings.Classes[i].Overdraft == lease.overdraft {
			n += tenant.classRates[i].perSecond(p.now)
		}
	}
	return n
}

// nextRequest is what is to be said about a pot now, if anything.
func (p *Manager) nextRequest(tenant *tenantState, lease *tenantLease) (message.Request, bool) {
	a := &lease.current
	need, rate := p.queuedAmount(tenant, lease.overdraft), p.spendRate(tenant, lease)
	price := p.highestPrice(tenant, lease.overdraft)
	target := max(int64(rate*p.settings.GrantHorizon/1000), need)
	if rate > 1e-3 { // one in the hand while one is asked for
		target = max(target, 2*price)
	}
	dry := p.now < tenant.exhaustedUntil && tenant.demand(p.now) > 0
	if dry { // one price, which may be the last
		target = max(need, price)
	}
	free := a.free()
	if a.generation > 0 && free > 0 && p.now-lease.lastUsedAt > p.settings.IdleTimeout && need == 0 && !dry && a.reserved == 0 { // nobody asks for it any more
		if a.granted > 0 {
			a.returned += free
			lease.expireCurrent()
		}
		return message.Request{}, false
	}
	if target > 0 && free > excessFactor*target && a.expiresAt > 0 {
		a.returned += free - target
		free, lease.reportSoon = target, true
	}
	if dry && need == 0 && a.expiresAt > 0 && free > 0 && free < p.lowestPrice(tenant, lease.overdraft) { // of use to nobody but with what others have
		a.returned += free
		free = 0
	}
	want := max(0, target-free)
	pause := p.settings.RenewInterval
	switch {
	case p.closing:
		return message.Request{}, false
	case lease.reportSoon, need > free:
		pause = p.settings.UrgentInterval
	case dry && free < price:
		pause = p.settings.ExhaustedInterval
	case want > 0 && free <= target/2:
		pause = 2 * p.settings.UrgentInterval
	case a.expiresAt > 0 && a.expiresAt-p.now < p.settings.Duration/2:
	default:
		return message.Request{}, false
	}
	if lease.requestedAt > 0 && p.now < lease.requestedAt+pause {
		return message.Request{}, false
	}
	if a.generation == 0 {
		p.lastGeneration++
		a.generation = p.lastGeneration
	}
	a.sequence++
	a.unanswered = append(a.unanswered, sentRequest{a.sequence, p.now})
	a.unanswered = a.unanswered[max(0, len(a.unanswered)-maxUnanswered):]
	lease.requestedAt, lease.reportSoon = p.now, false
	return message.Request{Key: p.accountKey(tenant, lease, a), Sequence: a.sequence, Spent: a.spent, Returned: a.returned, Requested: want, Queued: max(0, need-free), SpendRate: int64(rate)}, true
}

// highestPrice is the dearest of what is asked for, to a depth.
func (p *Manager) highestPrice(tenant *tenantState, overdraft int64) (n int64) {
	for i := range tenant.classRates {
		if c := &p.settings.Classes[i]; tenant.classRates[i].perSecond(p.now) > 1e-3 && (overdraft == 0 || c.Overdraft == overdraft) {
			n = max(n, c.reservation(1))
		}
	}
	return n
}

// lowestPrice is the cheapest of what is asked for, to a depth.
func (p *Manager) lowestPrice(tenant *tenantState, overdraft int64) int64 {
	least := int64(math.MaxInt64)
	for i := range tenant.classRates {
		if c := &p.settings.Classes[i]; tenant.classRates[i].perSecond(p.now) > 1e-3 && (overdraft == 0 || c.Overdraft == overdraft) {
			least = min(least, c.reservation(1))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// raiseMark asks for a higher mark of an account where the one there is comes near.
func (p *Manager) raiseMark(tenant *tenantState, lease *tenantLease) {
	a := &lease.current
	if !p.settings.PersistMarks || a.generation == 0 || a.pendingWrite > 0 {
		return
	}
	used, most := a.spent+a.reserved, a.granted-a.returned
	part := max(a.free()/markStepDivisor, p.highestPrice(tenant, lease.overdraft), 1)
	if most <= a.persistedMark || a.persistedMark-used > part {
		return
	}
	p.lastWrite++
	a.pendingMark, a.pendingWrite = min(most, max(a.persistedMark, used+2*part)), p.lastWrite
	p.actions = append(p.actions, Action{Kind: PersistMarks, Write: p.lastWrite, Marks: p.highWaterMarks()})
}

// highWaterMarks are all that may have been spent of what is not closed.
func (p *Manager) highWaterMarks() (out []HighWaterMark) {
	for _, tenant := range p.active {
		for _, lease := range tenant.leases {
			for i := range lease.expired {
				out = append(out, HighWaterMark{p.accountKey(tenant, lease, &lease.expired[i]), lease.expired[i].spent + lease.expired[i].reserved})
			}
			if lease.current.generation > 0 {
				out = append(out, HighWaterMark{p.accountKey(tenant, lease, &lease.current), max(lease.current.persistedMark, lease.current.pendingMark)})
			}
		}
	}
	return out
}

func (p *Manager) marksPersisted(no uint64) {
	for _, tenant := range p.active {
		for _, lease := range tenant.leases {
			if a := &lease.current; a.pendingWrite > 0 && a.pendingWrite <= no {
				a.persistedMark, a.pendingWrite = max(a.persistedMark, a.pendingMark), 0
			}
		}
		p.admitQueued(tenant)
	}
}

// shutDown gives back all that is not held.
func (p *Manager) shutDown() {
	p.closing = true
	for _, tenant := range p.active {
		p.rejectQueued(tenant, func(*queuedRequest) bool { return true })
		for _, lease := range tenant.leases {
			if lease.current.generation > 0 {
				lease.expireCurrent()
			}
		}
	}
	p.sendRequests()
}

// handleClaimResponse takes the log's word on what others left.
func (p *Manager) handleClaimResponse(a *message.Response) {
	i := slices.IndexFunc(p.claims, func(w settlementClaim) bool { return w.Key == a.Key })
	switch {
	case i < 0:
	case a.Closed:
		if p.claims = slices.Delete(p.claims, i, i+1); a.Key.Tenant == "" {
			p.actions = append(p.actions, Action{Kind: EraseMarks, Holder: a.Key.Holder})
		}
	case a.Key.Tenant == "" && a.Expired && !p.claims[i].marksRead:
		p.actions = append(p.actions, Action{Kind: ReadMarks, Holder: a.Key.Holder})
	}
}

func (p *Manager) marksRead(e *MarksRead) {
	i := slices.IndexFunc(p.claims, func(w settlementClaim) bool { return w.Key.Tenant == "" && w.Key.Holder == e.Holder })
	if i < 0 || p.claims[i].marksRead {
		return
	}
	p.claims[i].marksRead, p.claims[i].nextRequestAt = true, 0
	for _, m := range e.Marks {
		if m.Key.Holder == e.Holder && m.Key.Tenant != "" {
			p.claims = append(p.claims, settlementClaim{HighWaterMark: m})
		}
	}
}
