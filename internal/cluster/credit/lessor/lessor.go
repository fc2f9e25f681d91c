package lessor

import (
	"bytes"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// maxPending bounds the requests, the payments and the recalls that are kept.
const maxPending = 100_000

// Lessor is one voter's.
type Lessor struct {
	settings        Settings
	ledger          *ledger.Ledger
	now             float64
	isLeader        bool
	requests        []pendingRequest
	requestIndex    map[ledger.Key]int // into requests
	payments        []Payment          // that are not in the log yet
	inFlight        [][]byte           // entries that were proposed together and are not applied
	proposedAt      float64
	activeAccounts  []accountDeadline // in the order in which their last reports were applied here
	expiredAccounts []accountDeadline
	demand          map[string][]spendReport // by tenant
	recalledAt      map[ledger.Key]float64
	actions         []Action
}

// pendingRequest waits for the next entry.
type pendingRequest struct {
	message.Request
	from       ledger.Holder
	receivedAt float64
}

// accountDeadline says when an account's last report, or its expiry, was applied here.
type accountDeadline struct {
	key       ledger.Key
	sequence  uint32
	appliedAt float64
}

// spendReport is what a pooler reported of the rate at which it spends a tenant's funds.
type spendReport struct {
	holder     ledger.Holder
	rate       int64 // a second
	reportedAt float64
}

// New makes a voter's lessor over its ledger.
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

// IsLeader reports whether this voter leads, as far as SetLeader was told.
func (l *Lessor) IsLeader() bool { return l.isLeader }

// LedgerRestored reports that the ledger was replaced: the accounts' delays start anew.
func (l *Lessor) LedgerRestored(now float64) {
	l.now = max(l.now, now)
	l.activeAccounts = nil
	l.expiredAccounts = nil
	l.inFlight = nil
	for _, key := range l.ledger.AllAccounts() {
		account, _ := l.ledger.Account(key)
		deadline := accountDeadline{key: key, sequence: account.Sequence, appliedAt: l.now}
		if account.Expired {
			l.expiredAccounts = append(l.expiredAccounts, deadline)
		} else {
			l.activeAccounts = append(l.activeAccounts, deadline)
		}
	}
}

// SetLeader reports whether this voter leads.
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

// HandleRequests takes a pooler's requests.
func (l *Lessor) HandleRequests(now float64, from ledger.Holder, requests []message.Request, actions []Action) []Action {
	l.advance(now, actions)
	for i := range requests {
		if l.accepts(from, &requests[i]) {
			l.addRequest(pendingRequest{Request: requests[i], from: from, receivedAt: l.now})
		}
	}
	return l.proposeBatch()
}

// AddPayments takes payments that a pooler's settings have.
func (l *Lessor) AddPayments(now float64, payments []Payment, actions []Action) []Action {
	l.advance(now, actions)
	for _, payment := range payments {
		if l.isLeader && len(l.payments) < maxPending && l.isNewPayment(payment) {
			l.payments = append(l.payments, payment)
		}
	}
	return l.proposeBatch()
}

// Tick lets time go on.
func (l *Lessor) Tick(now float64, actions []Action) []Action {
	l.advance(now, actions)
	return l.proposeBatch()
}

// Apply has the ledger apply an entry of the log, and responds to those whom it concerns.
func (l *Lessor) Apply(now float64, index uint64, entry []byte, actions []Action) []Action {
	l.advance(now, actions)
	for _, result := range l.ledger.Apply(index, entry) {
		l.noteApplied(&result)
		if l.isLeader && isAnswered(result.Kind) {
			l.respondToResult(&result)
		}
	}
	if len(l.activeAccounts) > 2*l.accountCount()+1024 {
		l.activeAccounts = slices.DeleteFunc(l.activeAccounts, func(deadline accountDeadline) bool { return !l.isCurrent(deadline) })
	}
	l.inFlight = slices.DeleteFunc(l.inFlight, func(proposed []byte) bool { return bytes.Equal(proposed, entry) })
	return l.proposeBatch()
}

func (l *Lessor) advance(now float64, actions []Action) {
	l.now = max(l.now, now)
	l.actions = actions
}

// accepts reports whether a request may be taken: a pooler speaks for its own accounts, and for those of processes that have ended.
func (l *Lessor) accepts(from ledger.Holder, request *message.Request) bool {
	own := request.Key.Holder == from && request.Key.Tenant != ""
	return l.isLeader && len(l.requests) < maxPending && (own || request.Recovered)
}

// addRequest keeps the newest request about each account, in the place of the first.
func (l *Lessor) addRequest(request pendingRequest) {
	i, known := l.requestIndex[request.Key]
	if !known {
		l.requestIndex[request.Key] = len(l.requests)
		l.requests = append(l.requests, request)
		return
	}
	before := &l.requests[i]
	if request.Sequence >= before.Sequence || request.Final {
		request.receivedAt = before.receivedAt
		*before = request
	}
}

func (l *Lessor) isNewPayment(payment Payment) bool {
	return !l.ledger.PaymentApplied(payment.Tenant, payment.Number) && !slices.Contains(l.payments, payment)
}

// noteApplied keeps what this voter has to know of an operation that the ledger has applied.
func (l *Lessor) noteApplied(result *ledger.Result) {
	deadline := accountDeadline{key: result.Key, sequence: result.Account.Sequence, appliedAt: l.now}
	switch {
	case result.Kind == ledger.Grant && result.Applied:
		l.activeAccounts = append(l.activeAccounts, deadline)
	case result.Kind == ledger.Expire && result.Applied:
		l.expiredAccounts = append(l.expiredAccounts, deadline)
	case result.Kind == ledger.Payment:
		l.payments = slices.DeleteFunc(l.payments, func(payment Payment) bool {
			return payment.Tenant == result.Key.Tenant && payment.Number == result.Number
		})
	}
}

// isAnswered reports whether a pooler waits for the result of an operation.
func isAnswered(kind ledger.Kind) bool {
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

// isCurrent reports whether an account is active and had no later report.
func (l *Lessor) isCurrent(deadline accountDeadline) bool {
	account, known := l.ledger.Account(deadline.key)
	return known && account.Sequence == deadline.sequence && !account.Expired
}

// accountResponse is what the ledger has of an account.
func (l *Lessor) accountResponse(key ledger.Key, closed bool) message.Response {
	account, _ := l.ledger.Account(key)
	tenant := l.ledger.Tenant(key.Tenant)
	return message.Response{
		Key: key, Sequence: account.Sequence, Granted: account.Granted, Closed: closed, Expired: account.Expired,
		Available: tenant.Available(), AvailableAtPayment: tenant.AvailableAtPayment,
	}
}

// respond adds a response to the last action for its pooler that has room.
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
