package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone makes another purse like it, which shares nothing that changes.
func (p *Manager) Clone() *Manager {
	c := *p
	c.actions = nil
	c.claims = slices.Clone(p.claims)
	c.classesByValue = slices.Clone(p.classesByValue)
	c.prepaid = maps.Clone(p.prepaid)
	c.tenants, c.active = map[string]*tenantState{}, nil
	for _, tenant := range p.active {
		x := *tenant
		x.classRates, x.queue, x.leases = slices.Clone(tenant.classRates), slices.Clone(tenant.queue), nil
		for _, lease := range tenant.leases {
			y := *lease
			y.current.unanswered, y.expired = slices.Clone(lease.current.unanswered), slices.Clone(lease.expired)
			x.leases = append(x.leases, &y)
		}
		c.tenants[x.name] = &x
		c.active = append(c.active, &x)
	}
	return &c
}

// Key is the same for purses that do the same from now on; times are told by how long ago they were.
func (p *Manager) Key() string {
	var b strings.Builder
	ago := func(at float64) float64 {
		if at == 0 {
			return -1
		}
		return float64(int64((p.now-at)*1000)) / 1000
	}
	fmt.Fprint(&b, p.self, p.lastGeneration, p.closing, p.lastWrite, "|")
	account := func(a *account) {
		fmt.Fprint(&b, a.generation, a.sequence, a.granted, a.returned, a.spent, a.reserved, ago(a.expiresAt), ago(a.nextRequestAt), a.persistedMark, a.pendingMark, a.pendingWrite, "[")
		for _, x := range a.unanswered {
			fmt.Fprint(&b, x.sequence, ago(x.sentAt), " ")
		}
	}
	for _, tenant := range p.active {
		fmt.Fprint(&b, tenant.name, tenant.available, tenant.availableAtPayment, tenant.availableKnown, ago(tenant.exhaustedUntil), "|")
		for i := range tenant.classRates {
			fmt.Fprintf(&b, "%.3g ", tenant.classRates[i].perSecond(p.now))
		}
		for _, request := range tenant.queue {
			fmt.Fprint(&b, request.tag, request.class, ago(request.deadline), " ")
		}
		for _, lease := range tenant.leases {
			fmt.Fprintf(&b, "%d %.3g", lease.overdraft, lease.rate.perSecond(p.now))
			fmt.Fprint(&b, ago(lease.lastUsedAt), ago(lease.requestedAt), lease.reportSoon)
			account(&lease.current)
			for i := range lease.expired {
				account(&lease.expired[i])
			}
		}
	}
	for _, w := range p.claims {
		fmt.Fprint(&b, w.HighWaterMark, ago(w.nextRequestAt), w.marksRead)
	}
	return b.String()
}
