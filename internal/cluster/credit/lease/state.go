package lease

import "beechgrade/internal/cluster/credit/ledger"

// Manager holds one process's leases of all tenants' funds.
type Manager struct {
	settings       Settings
	self           ledger.Holder
	now            float64
	lastGeneration uint32
	prepaid        map[string]bool
	classesByValue []int // the highest priority weight for its price first
	tenants        map[string]*tenantState
	active         []*tenantState // all of tenants, in the order in which they came
	claims         []settlementClaim
	actions        []Action
	lastWrite      uint64 // of marks
	closing        bool
}

// tenantState is what this process knows of a tenant.
type tenantState struct {
	name               string
	classRates         []rateMeter    // demand, by class
	leases             []*tenantLease // by overdraft
	available          int64          // as the leader reported last
	availableAtPayment int64
	availableKnown     bool
	queue              []queuedRequest
	exhaustedUntil     float64 // until then no funds are expected
}

// queuedRequest waits for funds.
type queuedRequest struct {
	tag      uint64
	class    int
	parts    int
	session  uint64
	deadline float64
}

// tenantLease is what is held of a tenant's funds, at one depth of overdraft.
type tenantLease struct {
	overdraft   int64
	current     account
	expired     []account // not closed by the log yet
	rate        rateMeter // of what is reserved
	lastUsedAt  float64
	requestedAt float64
	reportSoon  bool // funds were returned, which others wait for
}

// account mirrors a ledger.Account. Amounts are sums since it was opened.
type account struct {
	generation uint32 // 0 before it was requested
	sequence   uint32 // of the last request
	granted    int64
	returned   int64
	spent      int64
	reserved   int64
	expiresAt  float64
	unanswered []sentRequest

	nextRequestAt float64 // once expired: when the final report is sent again

	persistedMark int64
	pendingMark   int64
	pendingWrite  uint64 // of pendingMark, 0 for none
}

// sentRequest is a request whose response extends the account.
type sentRequest struct {
	sequence uint32
	sentAt   float64
}

func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.reserved }

// outstanding is what the ledger counts as lent, as far as it is known here.
func (a *account) outstanding() int64 { return a.granted - a.returned - a.spent }

// expireCurrent takes the current account out of use.
func (l *tenantLease) expireCurrent() {
	l.current.nextRequestAt = 0
	l.expired = append(l.expired, l.current)
	l.current = account{}
	l.requestedAt = 0
}

func (l *tenantLease) findAccount(generation uint32) *account {
	if l.current.generation == generation {
		return &l.current
	}
	for i := range l.expired {
		if l.expired[i].generation == generation {
			return &l.expired[i]
		}
	}
	return nil
}

func (t *tenantState) findLease(overdraft int64) *tenantLease {
	for _, lease := range t.leases {
		if lease.overdraft == overdraft {
			return lease
		}
	}
	return nil
}

// lease finds or makes the lease of an overdraft.
func (t *tenantState) lease(overdraft int64) *tenantLease {
	if lease := t.findLease(overdraft); lease != nil {
		return lease
	}
	lease := &tenantLease{overdraft: overdraft}
	t.leases = append(t.leases, lease)
	return lease
}

// heldElsewhere is what others hold of the tenant's available funds, or may hold.
func (t *tenantState) heldElsewhere() int64 {
	amount := t.available
	for _, lease := range t.leases {
		amount -= lease.current.outstanding()
		for i := range lease.expired {
			amount -= lease.expired[i].outstanding()
		}
	}
	return amount
}

// demand is what the tenant's requests would spend a second, 0 if that is negligible.
func (t *tenantState) demand(now float64) float64 {
	total := 0.0
	for i := range t.classRates {
		total += t.classRates[i].perSecond(now)
	}
	if total < negligibleRate {
		return 0
	}
	return total
}

// isIdle reports whether nothing is known of the tenant that would be missed.
func (t *tenantState) isIdle(now, idleTimeout float64) bool {
	for _, lease := range t.leases {
		if lease.current.generation > 0 || len(lease.expired) > 0 || now-lease.lastUsedAt < idleTimeout {
			return false
		}
	}
	return len(t.queue) == 0 && t.demand(now) <= 0
}
