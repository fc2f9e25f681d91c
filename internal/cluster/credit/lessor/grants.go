package lessor

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
)

// grantRound is the state that the requests of one batch share. Amounts are in the operators' unit.
type grantRound struct {
	tenants []string         // in the order of their first requests
	balance map[string]int64 // balance of each tenant after the operations of the batch so far
	unmet   map[string]int64 // amount of each tenant that queued requests need and did not get
}

// grantOutcome is the outcome of a request in a batch.
type grantOutcome uint8

const (
	granted   grantOutcome = iota // the batch contains an operation for the request
	answered                      // the request is answered from the ledger: it was applied before, or there is nothing to grant
	postponed                     // the request waits for recalled funds
)

// appendGrants appends operations for the pending requests, and recalls funds if any get less than their queues need.
func (l *Lessor) appendGrants(ops []ledger.Op) []ledger.Op {
	round := l.startRound()
	var remaining []pendingRequest
	for i := range l.requests {
		request := &l.requests[i]
		if len(ops) >= ledger.MaxOps {
			remaining = append(remaining, *request)
			continue
		}
		if request.Final {
			ops = append(ops, finalOp(request))
			continue
		}
		switch op, outcome := l.decide(round, request); outcome {
		case granted:
			ops = append(ops, op)
		case answered:
			l.respond(request.from, l.accountResponse(request.Key, false))
		case postponed:
			remaining = append(remaining, *request)
		}
	}
	l.requests = remaining
	clear(l.requestIndex)
	for i := range remaining {
		l.requestIndex[remaining[i].Key] = i
	}
	for _, tenant := range round.tenants {
		if unmet := round.unmet[tenant]; unmet > 0 {
			l.recallFunds(tenant, unmet)
		}
	}
	return ops
}

// startRound records the demand of all pending requests, and adds the funds that they return to the balance, so that the batch can grant
// them.
func (l *Lessor) startRound() *grantRound {
	round := &grantRound{balance: map[string]int64{}, unmet: map[string]int64{}}
	for i := range l.requests {
		request := &l.requests[i]
		tenant := request.Key.Tenant
		if _, known := round.balance[tenant]; !known {
			round.balance[tenant] = l.ledger.Tenant(tenant).Balance
			round.tenants = append(round.tenants, tenant)
		}
		account, known := l.ledger.Account(request.Key)
		if known && !account.Expired && request.Sequence > account.Sequence {
			returned := min(request.Returned, account.Granted-max(account.Spent, request.Spent))
			round.balance[tenant] += max(0, returned-account.Returned)
		}
		l.recordDemand(request)
	}
	return round
}

// finalOp returns the operation for a final report.
func finalOp(request *pendingRequest) ledger.Op {
	op := ledger.Op{Kind: ledger.Close, Key: request.Key, Spent: request.Spent, Recovered: request.Recovered}
	if request.Recovered {
		op.Number = request.from
	}
	processWide := request.Key.Tenant == ""
	switch {
	case processWide && request.MarksRead:
		op.Kind = ledger.CloseRemaining
	case processWide:
		op.Kind = ledger.Fence
	}
	return op
}

// decide decides the amount that a request is granted, or that it is answered from the ledger or postponed.
func (l *Lessor) decide(round *grantRound, request *pendingRequest) (ledger.Op, grantOutcome) {
	tenant := request.Key.Tenant
	account, known := l.ledger.Account(request.Key)
	if known && (account.Expired || request.Sequence <= account.Sequence) {
		return ledger.Op{}, answered
	}
	spendable := max(0, round.balance[tenant]+request.Key.Overdraft)
	limit := max(request.Queued, l.maxBeyondQueued(request, &account, spendable))
	amount := max(0, min(spendable, request.Requested, limit))
	if amount < request.Queued {
		round.unmet[tenant] += request.Queued - amount
		if l.mayWait(request, &account) {
			return ledger.Op{}, postponed
		}
	}
	if !known && amount == 0 {
		return ledger.Op{}, answered
	}
	round.balance[tenant] -= amount
	return ledger.Op{
		Kind: ledger.Grant, Key: request.Key, Sequence: request.Sequence, Spent: request.Spent, Returned: request.Returned, Amount: amount,
	}, granted
}

// mayWait reports whether a request may wait for funds recalled from other poolers. A request that returns funds may not.
func (l *Lessor) mayWait(request *pendingRequest, account *ledger.Account) bool {
	early := l.now < request.receivedAt+l.settings.RecallWait
	return early && l.heldByOthers(request) && request.Returned == account.Returned
}

// heldByOthers reports whether other poolers hold any of the tenant's funds.
func (l *Lessor) heldByOthers(request *pendingRequest) bool {
	account, _ := l.ledger.Account(request.Key)
	return l.ledger.Tenant(request.Key.Tenant).Lent > account.Outstanding()
}

// maxBeyondQueued returns the most that a pooler may get if its queue needs less. If its share is less than one unit and no pooler holds
// any of the funds, the pooler gets all that it requests, because no pooler could use a smaller part.
func (l *Lessor) maxBeyondQueued(request *pendingRequest, account *ledger.Account, spendable int64) int64 {
	held := max(0, account.Granted-max(account.Returned, request.Returned)-max(account.Spent, request.Spent))
	share := l.fairShare(request)
	lastOfFunds := share == 0 && held == 0 && request.Requested <= spendable
	if lastOfFunds && !l.heldByOthers(request) {
		return request.Requested
	}
	return share - held
}

// fairShare returns a pooler's share, by spend rate, of the 1/ShareDivisor of the tenant's available funds.
func (l *Lessor) fairShare(request *pendingRequest) int64 {
	total := int64(0)
	for _, report := range l.demand[request.Key.Tenant] {
		total += max(1, report.rate)
	}
	tenant := l.ledger.Tenant(request.Key.Tenant)
	shared := float64(max(0, tenant.Available()+request.Key.Overdraft)) / l.settings.ShareDivisor
	return int64(shared * float64(max(1, request.SpendRate)) / float64(max(1, total)))
}

// recordDemand records the spend rate that a pooler reports, and drops reports older than DemandWindow.
func (l *Lessor) recordDemand(request *pendingRequest) {
	if request.Recovered {
		return
	}
	tenant := request.Key.Tenant
	reports := l.demand[tenant]
	oldest := l.now - l.settings.DemandWindow
	if len(reports) > 0 && reports[0].reportedAt < oldest {
		reports = slices.DeleteFunc(reports, func(report spendReport) bool { return report.reportedAt < oldest })
	}
	i := slices.IndexFunc(reports, func(report spendReport) bool { return report.holder == request.from })
	if i < 0 {
		i = len(reports)
		reports = append(reports, spendReport{holder: request.from})
	}
	reports[i].rate = request.SpendRate
	reports[i].reportedAt = l.now
	if request.Final && len(reports) == 1 {
		delete(l.demand, tenant)
		return
	}
	l.demand[tenant] = reports
}

// recallFunds asks the poolers that hold most of a tenant's funds to return half of them, until the recalled funds reach an amount.
func (l *Lessor) recallFunds(tenant string, amount int64) {
	for _, candidate := range l.recallCandidates(tenant) {
		if amount <= 0 {
			return
		}
		retain := candidate.outstanding / 2
		amount -= candidate.outstanding - retain
		recalledAt, recalled := l.recalledAt[candidate.key]
		if recalled && l.now < recalledAt+l.settings.RecallInterval {
			continue
		}
		if len(l.recalledAt) > maxPending {
			clear(l.recalledAt)
		}
		l.recalledAt[candidate.key] = l.now
		response := l.accountResponse(candidate.key, false)
		response.Recall = true
		response.Retain = retain
		l.respond(candidate.key.Holder, response)
	}
}

// recallCandidate is an account from which funds can be recalled.
type recallCandidate struct {
	key         ledger.Key
	outstanding int64
}

// recallCandidates returns a tenant's active accounts with outstanding funds and without queued requests, the largest first.
func (l *Lessor) recallCandidates(tenant string) []recallCandidate {
	var candidates []recallCandidate
	for _, key := range l.ledger.Accounts(tenant) {
		i, pending := l.requestIndex[key]
		needed := pending && l.requests[i].Queued > 0
		account, _ := l.ledger.Account(key)
		if !needed && !account.Expired && account.Outstanding() > 0 {
			candidates = append(candidates, recallCandidate{key: key, outstanding: account.Outstanding()})
		}
	}
	slices.SortStableFunc(candidates, func(a, b recallCandidate) int { return cmp.Compare(b.outstanding, a.outstanding) })
	return candidates
}
