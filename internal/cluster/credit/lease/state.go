package lease

import "beechgrade/internal/cluster/credit/ledger"

// Manager holds one process's leases of all tenants' funds.
type Manager struct {
	settings       Settings
	self           ledger.Holder
	now            float64
	lastGeneration uint32
	prepaid        map[string]bool
	classesByValue []int // class indexes, the highest priority weight per price first
	tenants        map[string]*tenantState
	active         []*tenantState // the values of tenants, in the order in which they were added
	claims         []settlementClaim
	actions        []Action
	lastWrite      uint64 // number of the last write of marks
	closing        bool
}

// tenantState is the state of a tenant at this process.
type tenantState struct {
	name               string
	classRates         []rateMeter    // demand of each class
	leases             []*tenantLease // one for each overdraft
	available          int64          // as the leader last reported
	availableAtPayment int64
	availableKnown     bool
	queue              []queuedRequest
	exhaustedUntil     float64 // no funds are expected before this time
}

// queuedRequest is a request that waits for funds.
type queuedRequest struct {
	tag      uint64
	class    int
	parts    int
	session  uint64
	deadline float64
}

// tenantLease is the part of a tenant's funds that this process holds at one depth of overdraft. Depth 0 is the tenant's own funds.
type tenantLease struct {
	overdraft   int64
	current     account
	expired     []account // expired accounts that the log has not closed yet
	rate        rateMeter // rate of reserved amounts
	lastUsedAt  float64
	requestedAt float64
	reportSoon  bool // funds were returned, and other poolers may wait for them
}

// account is this process's copy of a ledger.Account. Amounts are totals since it was opened, except reserved.
type account struct {
	generation uint32 // 0 until the account is requested
	sequence   uint32 // number of the last request
	granted    int64
	returned   int64
	spent      int64
	reserved   int64
	expiresAt  float64
	unanswered []sentRequest

	nextRequestAt float64 // for an expired account, when the final report is sent again

	persistedMark int64
	pendingMark   int64
	pendingWrite  uint64 // number of the write of pendingMark, 0 if none is in progress
}

// sentRequest is an unanswered request, whose response will extend the account's expiry.
type sentRequest struct {
	sequence uint32
	sentAt   float64
}

func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.reserved }

// outstanding returns the amount that the ledger counts as lent, as far as this process knows.
func (a *account) outstanding() int64 { return a.granted - a.returned - a.spent }

// expireCurrent stops the use of the current account.
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

// lease returns the lease of an overdraft, and creates it if necessary.
func (t *tenantState) lease(overdraft int64) *tenantLease {
	if lease := t.findLease(overdraft); lease != nil {
		return lease
	}
	lease := &tenantLease{overdraft: overdraft}
	t.leases = append(t.leases, lease)
	return lease
}

// heldElsewhere returns the part of the tenant's available funds that this process does not hold and other poolers may hold.
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

// demand returns the amount per second that the tenant's requests would spend, or 0 if it is negligible.
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

// isIdle reports whether the tenant has no accounts, queued requests, demand or recent use, so that its state can be dropped.
func (t *tenantState) isIdle(now, idleTimeout float64) bool {
	for _, lease := range t.leases {
		if lease.current.generation > 0 || len(lease.expired) > 0 || now-lease.lastUsedAt < idleTimeout {
			return false
		}
	}
	return len(t.queue) == 0 && t.demand(now) <= 0
}
