package lease

// markStepDivisor determines the step by which a mark is raised: the free funds divided by it.
const markStepDivisor = 4

// raiseMark requests a higher mark for a lease's account when its spending comes close to the durable mark.
func (m *Manager) raiseMark(tenant *tenantState, lease *tenantLease) {
	account := &lease.current
	if !m.settings.PersistMarks || account.generation == 0 || account.pendingWrite > 0 {
		return
	}
	used := account.spent + account.reserved
	limit := account.granted - account.returned
	step := max(account.free()/markStepDivisor, m.highestPrice(tenant, lease.overdraft), 1)
	if limit <= account.persistedMark || account.persistedMark-used > step {
		return
	}
	m.lastWrite++
	account.pendingMark = min(limit, max(account.persistedMark, used+2*step))
	account.pendingWrite = m.lastWrite
	m.actions = append(m.actions, Action{Kind: PersistMarks, Write: m.lastWrite, Marks: m.highWaterMarks()})
}

// highWaterMarks returns the most that may have been spent from each account that is not closed.
func (m *Manager) highWaterMarks() []HighWaterMark {
	var marks []HighWaterMark
	for _, tenant := range m.active {
		for _, lease := range tenant.leases {
			for i := range lease.expired {
				account := &lease.expired[i]
				marks = append(marks, HighWaterMark{Key: m.accountKey(tenant, lease, account), Spent: account.spent + account.reserved})
			}
			if current := &lease.current; current.generation > 0 {
				spent := max(current.persistedMark, current.pendingMark)
				marks = append(marks, HighWaterMark{Key: m.accountKey(tenant, lease, current), Spent: spent})
			}
		}
	}
	return marks
}

// marksPersisted records that a write of marks, and all earlier writes, are durable, and admits queued requests that waited for them.
func (m *Manager) marksPersisted(write uint64) {
	for _, tenant := range m.active {
		for _, lease := range tenant.leases {
			account := &lease.current
			if account.pendingWrite > 0 && account.pendingWrite <= write {
				account.persistedMark = max(account.persistedMark, account.pendingMark)
				account.pendingWrite = 0
			}
		}
		m.admitQueued(tenant)
	}
}
