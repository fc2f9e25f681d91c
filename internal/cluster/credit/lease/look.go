package lease

import "fmt"

// checkInvariants makes the statements about all accounts.
func (p *Manager) checkInvariants() {
	if !p.settings.Checks.On() {
		return
	}
	for _, tenant := range p.active {
		for _, lease := range tenant.leases {
			a := &lease.current
			p.settings.Checks.That(a.free() >= 0 && a.reserved >= 0 && a.spent >= 0, "credit: no more is held and spent than was granted", func() string {
				return fmt.Sprintf("tenant %q, account %d: granted %d, given back %d, spent %d, held %d", tenant.name, a.generation, a.granted, a.returned, a.spent, a.reserved)
			})
			p.settings.Checks.That(!p.settings.PersistMarks || a.spent+a.reserved <= a.persistedMark, "credit: no more is spent than is marked", func() string {
				return fmt.Sprintf("tenant %q, account %d: spent %d, held %d, marked %d", tenant.name, a.generation, a.spent, a.reserved, a.persistedMark)
			})
		}
	}
}

// Statuses tell how tenants stand here.
func (p *Manager) Statuses() (out []Status) {
	for _, tenant := range p.active {
		s := Status{Tenant: tenant.name, Available: tenant.available, AvailableAtPayment: tenant.availableAtPayment, Queued: len(tenant.queue), Exhausted: p.now < tenant.exhaustedUntil}
		for _, lease := range tenant.leases {
			s.Free += lease.current.free()
			s.Reserved += lease.current.reserved
			s.ExpiresAt = max(s.ExpiresAt, lease.current.expiresAt)
		}
		out = append(out, s)
	}
	return out
}
