package lease

import "fmt"

// checkInvariants checks the invariants of all current accounts.
func (m *Manager) checkInvariants() {
	checks := m.settings.Checks
	if !checks.Enabled() {
		return
	}
	for _, tenant := range m.active {
		for _, lease := range tenant.leases {
			account := &lease.current
			valid := account.free() >= 0 && account.reserved >= 0 && account.spent >= 0
			checks.That(valid, "credit: amounts spent, reserved and returned are within the grant", func() string {
				return fmt.Sprintf("tenant %q, account %d: granted %d, returned %d, spent %d, reserved %d",
					tenant.name, account.generation, account.granted, account.returned, account.spent, account.reserved)
			})
			withinMark := !m.settings.PersistMarks || account.spent+account.reserved <= account.persistedMark
			checks.That(withinMark, "credit: spending is within the durable mark", func() string {
				return fmt.Sprintf("tenant %q, account %d: spent %d, reserved %d, durable mark %d",
					tenant.name, account.generation, account.spent, account.reserved, account.persistedMark)
			})
		}
	}
}
