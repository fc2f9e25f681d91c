package lessor

import (
	"bytes"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// maxPending limits the pending requests, the pending payments and the recorded recalls.
const maxPending = 100_000

// Lessor grants leases from the ledger of one voter.
type Lessor struct {
	settings        Settings
	ledger          *ledger.Ledger
	now             float64
	isLeader        bool
	requests        []pendingRequest
	requestIndex    map[ledger.Key]int // index in requests
	payments        []Payment          // payments that are not in the log yet
	inFlight        [][]byte           // entries of the last batch that are not applied yet
	proposedAt      float64
	activeAccounts  []accountTimer // in the order in which their last reports were applied here
	expiredAccounts []accountTimer
	demand          map[string][]spendReport // by tenant
	recalledAt      map[ledger.Key]float64
	actions         []Action
}

// pendingRequest is a request that waits for the next batch.
type pendingRequest struct {
	message.Request
	from       ledger.Holder
	receivedAt float64
}

// accountTimer records when an account's last report or its expiry was applied here, from which ExpiryDelay or StrandedRetention counts.
type accountTimer struct {
	key       ledger.Key
	sequence  uint32
	appliedAt float64
}

// spendReport is the rate at which a pooler last reported to spend a tenant's funds.
type spendReport struct {
	holder     ledger.Holder
	rate       int64 // amount per second
	reportedAt float64
}

// New returns the lessor of a voter with a ledger.
func New(settings Settings, funds *ledger.Ledger, now float64) *Lessor {
	l := &Lessor{
		settings: settings, ledger: funds, now: now,
		requestIndex: map[ledger.Key]int{}, demand: map[string][]spendReport{}, recalledAt: map[ledger.Key]float64{},
	}
	l.LedgerRestored(now)
	return l
}

// Ledger returns the voter's ledger.
func (l *Lessor) Ledger() *ledger.Ledger { return l.ledger }

// IsLeader reports whether this voter leads, as last set by SetLeader.
func (l *Lessor) IsLeader() bool { return l.isLeader }

// LedgerRestored handles the replacement of the ledger. The expiry delays of all accounts start again.
func (l *Lessor) LedgerRestored(now float64) {
	l.now = max(l.now, now)
	l.activeAccounts = nil
	l.expiredAccounts = nil
	l.inFlight = nil
	for _, key := range l.ledger.AllAccounts() {
		account, _ := l.ledger.Account(key)
		timer := accountTimer{key: key, sequence: account.Sequence, appliedAt: l.now}
		if account.Expired {
			l.expiredAccounts = append(l.expiredAccounts, timer)
		} else {
			l.activeAccounts = append(l.activeAccounts, timer)
		}
	}
}

// SetLeader sets whether this voter leads.
func (l *Lessor) SetLeader(now float64, isLeader bool) {
	l.now = max(l.now, now)
	if l.isLeader == isLeader {
		return
	}
	l.isLeader = isLeader
	l.inFlight = nil
	l.requests = nil
	clear(l.requestIndex)
	clear(l.demand)
}

// HandleRequests handles the requests of a pooler.
func (l *Lessor) HandleRequests(now float64, from ledger.Holder, requests []message.Request, actions []Action) []Action {
	l.advance(now, actions)
	for i := range requests {
		if l.accepts(from, &requests[i]) {
			l.addRequest(pendingRequest{Request: requests[i], from: from, receivedAt: l.now})
		}
	}
	return l.proposeBatch()
}

// AddPayments adds payments from a pooler's settings that are not in the ledger yet.
func (l *Lessor) AddPayments(now float64, payments []Payment, actions []Action) []Action {
	l.advance(now, actions)
	for _, payment := range payments {
		if l.isLeader && len(l.payments) < maxPending && l.isNewPayment(payment) {
			l.payments = append(l.payments, payment)
		}
	}
	return l.proposeBatch()
}

// Tick does the work that is due at a time.
func (l *Lessor) Tick(now float64, actions []Action) []Action {
	l.advance(now, actions)
	return l.proposeBatch()
}

// Apply applies an entry of the log to the ledger. If this voter leads, it responds to the poolers whose requests the entry contains.
func (l *Lessor) Apply(now float64, index uint64, entry []byte, actions []Action) []Action {
	l.advance(now, actions)
	for _, result := range l.ledger.Apply(index, entry) {
		l.recordResult(&result)
		if l.isLeader && needsResponse(result.Kind) {
			l.respondToResult(&result)
		}
	}
	if len(l.activeAccounts) > 2*l.accountCount()+1024 {
		l.activeAccounts = slices.DeleteFunc(l.activeAccounts, func(timer accountTimer) bool { return !l.isCurrent(timer) })
	}
	l.inFlight = slices.DeleteFunc(l.inFlight, func(proposed []byte) bool { return bytes.Equal(proposed, entry) })
	return l.proposeBatch()
}

func (l *Lessor) advance(now float64, actions []Action) {
	l.now = max(l.now, now)
	l.actions = actions
}

// accepts reports whether a request is accepted. A pooler may report on its own accounts, and on those recovered from ended processes.
func (l *Lessor) accepts(from ledger.Holder, request *message.Request) bool {
	own := request.Key.Holder == from && request.Key.Tenant != ""
	return l.isLeader && len(l.requests) < maxPending && (own || request.Recovered)
}

// addRequest adds a request, or replaces an older pending request about the same account in its place.
func (l *Lessor) addRequest(request pendingRequest) {
	i, known := l.requestIndex[request.Key]
	if !known {
		l.requestIndex[request.Key] = len(l.requests)
		l.requests = append(l.requests, request)
		return
	}
	previous := &l.requests[i]
	if request.Sequence >= previous.Sequence || request.Final {
		request.receivedAt = previous.receivedAt
		*previous = request
	}
}

func (l *Lessor) isNewPayment(payment Payment) bool {
	return !l.ledger.PaymentApplied(payment.Tenant, payment.Number) && !slices.Contains(l.payments, payment)
}

// recordResult updates the account timers and the pending payments after the ledger has applied an operation.
func (l *Lessor) recordResult(result *ledger.Result) {
	timer := accountTimer{key: result.Key, sequence: result.Account.Sequence, appliedAt: l.now}
	switch {
	case result.Kind == ledger.Grant && result.Applied:
		l.activeAccounts = append(l.activeAccounts, timer)
	case result.Kind == ledger.Expire && result.Applied:
		l.expiredAccounts = append(l.expiredAccounts, timer)
	case result.Kind == ledger.Payment:
		l.payments = slices.DeleteFunc(l.payments, func(payment Payment) bool {
			return payment.Tenant == result.Key.Tenant && payment.Number == result.Number
		})
	}
}

// needsResponse reports whether a pooler waits for the result of an operation.
func needsResponse(kind ledger.Kind) bool {
	return kind == ledger.Grant || kind == ledger.Close || kind >= ledger.Fence
}

func (l *Lessor) respondToResult(result *ledger.Result) {
	to := result.Key.Holder
	if result.Recovered {
		to = result.Number // the process that reported it
	}
	response := l.accountResponse(result.Key, result.Closed)
	response.Expired = response.Expired || result.AllExpired
	l.respond(to, response)
}

func (l *Lessor) accountCount() int {
	_, accounts := l.ledger.Size()
	return accounts
}

// isCurrent reports whether an account is active and has had no later report than that of the timer.
func (l *Lessor) isCurrent(timer accountTimer) bool {
	account, known := l.ledger.Account(timer.key)
	return known && account.Sequence == timer.sequence && !account.Expired
}

// accountResponse returns a response with the ledger's state of an account.
func (l *Lessor) accountResponse(key ledger.Key, closed bool) message.Response {
	account, _ := l.ledger.Account(key)
	tenant := l.ledger.Tenant(key.Tenant)
	return message.Response{
		Key: key, Sequence: account.Sequence, Granted: account.Granted, Closed: closed, Expired: account.Expired,
		Available: tenant.Available(), AvailableAtPayment: tenant.AvailableAtPayment,
	}
}

// respond adds a response to the last Respond action for the pooler that has room, or to a new one.
func (l *Lessor) respond(to ledger.Holder, response message.Response) {
	for i := len(l.actions) - 1; i >= 0; i-- {
		action := &l.actions[i]
		if action.Kind == Respond && action.To == to && len(action.Responses) < message.MaxItems {
			action.Responses = append(action.Responses, response)
			return
		}
	}
	l.actions = append(l.actions, Action{Kind: Respond, To: to, Responses: []message.Response{response}})
}
