package lease

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
)

// New returns the manager of a process.
func New(settings Settings, self ledger.Holder, now float64) *Manager {
	m := &Manager{self: self, now: now, tenants: map[string]*tenantState{}}
	m.applySettings(settings)
	return m
}

// Next returns when the next Tick is due.
func (m *Manager) Next() float64 { return m.now + m.settings.TickInterval }

// Handle processes one event and appends the actions that it causes.
func (m *Manager) Handle(now float64, event Event, actions []Action) []Action {
	m.actions = actions
	m.advanceTo(now)
	switch event := event.(type) {
	case Tick:
		m.tick()
	case ResponsesReceived:
		for i := range event.Responses {
			m.handleResponse(&event.Responses[i])
		}
		m.sendRequests()
	case SettingsChanged:
		m.applySettings(event.Settings)
	case MarksPersisted:
		m.marksPersisted(event.Write)
	case Recover:
		m.claim(event.Holders)
	case MarksRead:
		m.marksRead(&event)
	case Shutdown:
		m.shutDown()
	}
	m.checkInvariants()
	return m.actions
}

// advanceTo sets the current time and stops the use of accounts that have expired by then.
func (m *Manager) advanceTo(now float64) {
	m.now = max(m.now, now)
	for _, tenant := range m.active {
		for _, lease := range tenant.leases {
			m.expireIfDue(lease)
		}
	}
}

func (m *Manager) expireIfDue(lease *tenantLease) {
	current := &lease.current
	granted := current.generation > 0 && current.expiresAt > 0
	if granted && m.now >= current.expiresAt {
		lease.expireCurrent()
	}
}

func (m *Manager) tick() {
	for _, tenant := range m.active {
		if len(tenant.queue) > 0 && m.now >= tenant.queue[0].deadline {
			m.rejectQueued(tenant, func(request *queuedRequest) bool { return m.now >= request.deadline })
		}
		for _, lease := range tenant.leases {
			m.raiseMark(tenant, lease)
		}
	}
	m.sendRequests()
	m.active = slices.DeleteFunc(m.active, func(tenant *tenantState) bool {
		idle := tenant.isIdle(m.now, m.settings.IdleTimeout)
		if idle {
			delete(m.tenants, tenant.name)
		}
		return idle
	})
}

func (m *Manager) applySettings(settings Settings) {
	m.settings = settings
	m.prepaid = map[string]bool{}
	for _, name := range settings.PrepaidTenants {
		m.prepaid[name] = true
	}
	m.classesByValue = m.classesByValue[:0]
	for i := range settings.Classes {
		m.classesByValue = append(m.classesByValue, i)
	}
	value := func(i int) float64 {
		class := &settings.Classes[i]
		return class.PriorityWeight / float64(max(1, class.reservation(1)))
	}
	slices.SortStableFunc(m.classesByValue, func(a, b int) int { return cmp.Compare(value(b), value(a)) })
	for _, tenant := range m.active {
		m.rejectQueued(tenant, func(request *queuedRequest) bool { return request.class >= len(settings.Classes) })
		tenant.classRates = tenant.classRates[:min(len(tenant.classRates), len(settings.Classes))]
		for len(tenant.classRates) < len(settings.Classes) {
			tenant.classRates = append(tenant.classRates, rateMeter{})
		}
	}
}

// shutDown rejects queued requests and returns all funds that are not reserved.
func (m *Manager) shutDown() {
	m.closing = true
	for _, tenant := range m.active {
		m.rejectQueued(tenant, func(*queuedRequest) bool { return true })
		for _, lease := range tenant.leases {
			if lease.current.generation > 0 {
				lease.expireCurrent()
			}
		}
	}
	m.sendRequests()
}

func (m *Manager) tenantFor(name string) *tenantState {
	tenant := m.tenants[name]
	if tenant == nil {
		tenant = &tenantState{name: name, classRates: make([]rateMeter, len(m.settings.Classes))}
		m.tenants[name] = tenant
		m.active = append(m.active, tenant)
	}
	return tenant
}

func (m *Manager) accountKey(tenant *tenantState, lease *tenantLease, account *account) ledger.Key {
	return ledger.Key{Tenant: tenant.name, Overdraft: lease.overdraft, Holder: m.self, Generation: account.generation}
}

// Statuses returns the state of each active tenant.
func (m *Manager) Statuses() []Status {
	var statuses []Status
	for _, tenant := range m.active {
		status := Status{
			Tenant:             tenant.name,
			Available:          tenant.available,
			AvailableAtPayment: tenant.availableAtPayment,
			Queued:             len(tenant.queue),
			Exhausted:          m.now < tenant.exhaustedUntil,
		}
		for _, lease := range tenant.leases {
			status.Free += lease.current.free()
			status.Reserved += lease.current.reserved
			status.ExpiresAt = max(status.ExpiresAt, lease.current.expiresAt)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
