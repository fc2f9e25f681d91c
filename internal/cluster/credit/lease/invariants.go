package lease

import "fmt"

// checkInvariants states what always holds of all accounts.
func (m *Manager) checkInvariants() {
	checks := m.settings.Checks
	if !checks.Enabled() {
		return
	}
	for _, tenant := range m.active {
		for _, lease := range tenant.leases {
			account := &lease.current
			valid := account.free() >= 0 && account.reserved >= 0 && account.spent >= 0
			checks.That(valid, "credit: no more is held and spent than was granted", func() string {
				return fmt.Sprintf("tenant %q, account %d: granted %d, returned %d, spent %d, reserved %d",
					tenant.name, account.generation, account.granted, account.returned, account.spent, account.reserved)
			})
			marked := !m.settings.PersistMarks || account.spent+account.reserved <= account.persistedMark
			checks.That(marked, "credit: no more is spent than is marked", func() string {
				return fmt.Sprintf("tenant %q, account %d: spent %d, reserved %d, durable mark %d",
					tenant.name, account.generation, account.spent, account.reserved, account.persistedMark)
			})
		}
	}
}
