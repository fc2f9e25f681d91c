// Package lessor is the side of credit that voters have: whoever leads the log decides, with the books before it, what is lent to
// whom, and answers. Events in, actions out: no I/O, no clock, no goroutines.
//
// # What it decides
//
// Asks are gathered for a Beat, or as long as the last entry takes, and put to the log as one entry. An ask gets what waits at its pooler
// already, the first first; beyond that, what the pooler spends in the purse's Span, but never more than its part, by what is spent, of 1/Shrink of
// what the tenant has left. So loans shrink as funds do. What is less than one price where nothing waits comes back, and the last of it is
// lent whole. Where what waits finds nothing, those that hold most are called to give back
// half of what they hold, down to the last of it.
//
// # What it does not know
//
// The time. The end of an account is proposed once this voter's own clock has run Ends since the account's last Seq was applied here. A voter that
// has begun, or taken the books from a snapshot, counts from then. So however far clocks are apart, no end comes to the log before it has come
// to the purse; a new leader is as late with it as the log was with the entry.
//
// # What is lost
//
// What is here and not in the books may be lost with the leader: poolers ask again, with the same numbers, and the log takes each once.
package lessor

import (
	"bytes"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// Settings say how. Times are in ms.
type Settings struct {
	BatchInterval     float64 // between two entries at least
	ProposalTimeout   float64 // an entry that is not heard of is given up after that
	ExpiryDelay       float64 // from an account's last Seq here to its end
	StrandedRetention float64 // what is stranded waits for somebody who knows, and then is spent
	RecallWait        float64 // an ask may wait for what others were called for
	RecallInterval    float64 // between two calls about an account
	DemandWindow      float64 // what a pooler told of what it spends counts for so long
	ShareDivisor      float64
	MaxEntryBytes     int // bytes of an entry
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{BatchInterval: 25, ProposalTimeout: 1000, ExpiryDelay: 11000, StrandedRetention: 24 * 3600e3, RecallWait: 150, RecallInterval: 100, DemandWindow: 5000, ShareDivisor: 4, MaxEntryBytes: 850}
}

// Payment is a payment, as the operators' settings have it.
type Payment struct {
	Tenant string
	Number uint64
	Amount int64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Propose ActionKind = iota // Entry goes to the log
	Respond                   // Answers go to To
)

// Action is something a bank asks for.
type Action struct {
	Kind      ActionKind
	Entry     []byte
	To        ledger.Holder
	Responses []message.Response
}

// Lessor is a voter's.
type Lessor struct {
	settings        Settings
	ledger          *ledger.Ledger
	now             float64
	isLeader        bool
	requests        []pendingRequest
	requestIndex    map[ledger.Key]int // of asks
	payments        []Payment
	inFlight        [][]byte
	proposedAt      float64
	activeAccounts  []accountDeadline // accounts by when their last Seq was applied here
	expiredAccounts []accountDeadline // those whose end is past
	demand          map[string][]spendReport
	recalledAt      map[ledger.Key]float64
	actions         []Action
}

type pendingRequest struct {
	message.Request
	from       ledger.Holder
	receivedAt float64
}

type accountDeadline struct {
	key       ledger.Key
	sequence  uint32
	appliedAt float64
}

type spendReport struct {
	holder     ledger.Holder
	rate       int64
	reportedAt float64
}

// New makes a voter's bank over its books.
func New(set Settings, books *ledger.Ledger, now float64) *Lessor {
	b := &Lessor{settings: set, ledger: books, now: now, demand: map[string][]spendReport{}, recalledAt: map[ledger.Key]float64{}, requestIndex: map[ledger.Key]int{}}
	b.LedgerRestored(now)
	return b
}

// LedgerRestored tells that the books are other ones: what is lent by them counts from now.
func (b *Lessor) LedgerRestored(now float64) {
	b.now = max(b.now, now)
	b.activeAccounts, b.expiredAccounts, b.inFlight = nil, nil, nil
	for _, k := range b.ledger.AllAccounts() {
		a, _ := b.ledger.Account(k)
		if d := (accountDeadline{k, a.Sequence, b.now}); a.Expired {
			b.expiredAccounts = append(b.expiredAccounts, d)
		} else {
			b.activeAccounts = append(b.activeAccounts, d)
		}
	}
}

// SetLeader tells whether this voter leads.
func (b *Lessor) SetLeader(now float64, leads bool) {
	b.now = max(b.now, now)
	if b.isLeader != leads {
		b.isLeader, b.inFlight, b.requests = leads, nil, nil
		clear(b.requestIndex)
		clear(b.demand)
	}
}

const maxPending = 100_000

// HandleRequests takes what a pooler asks.
func (b *Lessor) HandleRequests(now float64, from ledger.Holder, asks []message.Request, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out
	for i := range asks {
		if !b.isLeader || len(b.requests) >= maxPending || !asks[i].Recovered && (asks[i].Key.Holder != from || asks[i].Key.Tenant == "") {
			continue
		}
		p := pendingRequest{asks[i], from, b.now}
		if k, ok := b.requestIndex[p.Key]; !ok {
			b.requestIndex[p.Key] = len(b.requests)
			b.requests = append(b.requests, p)
		} else if o := &b.requests[k]; p.Sequence >= o.Sequence || p.Final {
			p.receivedAt = o.receivedAt
			*o = p
		}
	}
	return b.proposeBatch()
}

// AddPayments takes payments that somebody's settings have.
func (b *Lessor) AddPayments(now float64, pays []Payment, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out
	for _, p := range pays {
		if b.isLeader && !b.ledger.PaymentApplied(p.Tenant, p.Number) && len(b.payments) < maxPending && !slices.Contains(b.payments, p) {
			b.payments = append(b.payments, p)
		}
	}
	return b.proposeBatch()
}

// Tick tells that time has gone on.
func (b *Lessor) Tick(now float64, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out
	return b.proposeBatch()
}

// Apply has the books take an entry of the log, and answers those whom it is about.
func (b *Lessor) Apply(now float64, index uint64, entry []byte, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out
	for _, r := range b.ledger.Apply(index, entry) {
		switch {
		case r.Kind == ledger.Grant && r.Applied:
			b.activeAccounts = append(b.activeAccounts, accountDeadline{r.Key, r.Account.Sequence, b.now})
		case r.Kind == ledger.Expire && r.Applied:
			b.expiredAccounts = append(b.expiredAccounts, accountDeadline{r.Key, r.Account.Sequence, b.now})
		}
		if r.Kind == ledger.Payment {
			b.payments = slices.DeleteFunc(b.payments, func(p Payment) bool { return p.Tenant == r.Key.Tenant && p.Number == r.Number })
		}
		if b.isLeader && (r.Kind == ledger.Grant || r.Kind == ledger.Close || r.Kind >= ledger.Fence) {
			to := r.Key.Holder
			if r.Recovered {
				to = r.Number // who told
			}
			w := b.accountResponse(r.Key, r.Closed)
			w.Expired = w.Expired || r.AllExpired
			b.respond(to, w)
		}
	}
	if len(b.activeAccounts) > 2*b.accountCount()+1024 {
		b.activeAccounts = slices.DeleteFunc(b.activeAccounts, func(d accountDeadline) bool { return !b.isCurrent(d) })
	}
	b.inFlight = slices.DeleteFunc(b.inFlight, func(e []byte) bool { return bytes.Equal(e, entry) })
	return b.proposeBatch()
}

func (b *Lessor) accountCount() int {
	_, n := b.ledger.Size()
	return n
}

func (b *Lessor) isCurrent(d accountDeadline) bool {
	a, ok := b.ledger.Account(d.key)
	return ok && a.Sequence == d.sequence && !a.Expired
}

// accountResponse is what the books say about an account.
func (b *Lessor) accountResponse(k ledger.Key, closed bool) message.Response {
	a, _ := b.ledger.Account(k)
	t := b.ledger.Tenant(k.Tenant)
	return message.Response{Key: k, Sequence: a.Sequence, Granted: a.Granted, Closed: closed, Expired: a.Expired, Available: t.Available(), AvailableAtPayment: t.AvailableAtPayment}
}

func (b *Lessor) respond(to ledger.Holder, a message.Response) {
	for i := len(b.actions) - 1; i >= 0; i-- {
		if x := &b.actions[i]; x.Kind == Respond && x.To == to && len(x.Responses) < message.MaxItems {
			x.Responses = append(x.Responses, a)
			return
		}
	}
	b.actions = append(b.actions, Action{Kind: Respond, To: to, Responses: []message.Response{a}})
}

// proposeBatch puts what has gathered to the log, when it is time.
func (b *Lessor) proposeBatch() []Action {
	if !b.isLeader || b.now < b.proposedAt+b.settings.BatchInterval || len(b.inFlight) > 0 && b.now < b.proposedAt+b.settings.ProposalTimeout {
		return b.actions
	}
	ops := b.appendExpirations(nil)
	for i, p := range b.payments {
		if i == ledger.MaxOps/4 {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Payment, Key: ledger.Key{Tenant: p.Tenant}, Number: p.Number, Amount: p.Amount})
	}
	ops = b.appendGrants(ops)
	if len(ops) == 0 {
		return b.actions
	}
	b.inFlight, b.proposedAt = nil, b.now
	var entry []byte
	put := func() {
		b.inFlight = append(b.inFlight, entry)
		b.actions = append(b.actions, Action{Kind: Propose, Entry: entry})
		entry = nil
	}
	for i := range ops {
		op := ledger.Encode(ops[i : i+1])
		if entry != nil && len(entry)+len(op) > b.settings.MaxEntryBytes {
			put()
		}
		entry = append(entry, op...)
	}
	put()
	return b.actions
}

// appendExpirations are of accounts of which nothing can be spent any more.
func (b *Lessor) appendExpirations(ops []ledger.Op) []ledger.Op {
	n := 0
	for ; n < len(b.activeAccounts) && len(ops) < ledger.MaxOps/4; n++ {
		d := b.activeAccounts[n]
		if !b.isCurrent(d) {
			continue
		}
		if b.now < d.appliedAt+b.settings.ExpiryDelay {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Expire, Key: d.key, Sequence: d.sequence})
		b.activeAccounts = append(b.activeAccounts, accountDeadline{d.key, d.sequence, b.now - b.settings.ExpiryDelay + b.settings.ProposalTimeout}) // again, if this is lost
	}
	b.activeAccounts = b.activeAccounts[n:]
	for n = 0; n < len(b.expiredAccounts) && len(ops) < ledger.MaxOps/4; n++ {
		d := b.expiredAccounts[n]
		if _, ok := b.ledger.Account(d.key); !ok {
			continue
		}
		if b.now < d.appliedAt+b.settings.StrandedRetention {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.WriteOff, Key: d.key})
		b.expiredAccounts = append(b.expiredAccounts, accountDeadline{d.key, d.sequence, b.now - b.settings.StrandedRetention + b.settings.ProposalTimeout})
	}
	b.expiredAccounts = b.expiredAccounts[n:]
	return ops
}

// appendGrants decides what those who asked get.
func (b *Lessor) appendGrants(ops []ledger.Op) []ledger.Op {
	spare := map[string]int64{} // balance, as it will be
	unmet := map[string]int64{}
	var order []string
	for i := range b.requests { // what is given back in the same entry can be lent by it
		p := &b.requests[i]
		if _, ok := spare[p.Key.Tenant]; !ok {
			spare[p.Key.Tenant] = b.ledger.Tenant(p.Key.Tenant).Balance
			order = append(order, p.Key.Tenant)
		}
		if a, ok := b.ledger.Account(p.Key); ok && !a.Expired && p.Sequence > a.Sequence {
			spare[p.Key.Tenant] += max(0, min(p.Returned, a.Granted-max(a.Spent, p.Spent))-a.Returned)
		}
		b.recordDemand(p)
	}
	var rest []pendingRequest
	for i := range b.requests {
		p := &b.requests[i]
		if len(ops) >= ledger.MaxOps {
			rest = append(rest, *p)
			continue
		}
		if p.Final {
			op := ledger.Op{Kind: ledger.Close, Key: p.Key, Spent: p.Spent, Recovered: p.Recovered}
			if p.Recovered {
				op.Number = p.from
			}
			if p.Key.Tenant == "" {
				op.Kind = ledger.Fence
				if p.MarksRead {
					op.Kind = ledger.CloseRemaining
				}
			}
			ops = append(ops, op)
			continue
		}
		name := p.Key.Tenant
		a, known := b.ledger.Account(p.Key)
		if known && (a.Expired || p.Sequence <= a.Sequence) {
			b.respond(p.from, b.accountResponse(p.Key, false))
			continue
		}
		can := max(0, spare[name]+p.Key.Overdraft)
		n := min(can, p.Requested, max(p.Queued, b.maxBeyondQueued(p, &a, can)))
		n = max(0, n)
		if n < p.Queued {
			unmet[name] += p.Queued - n
			if b.now < p.receivedAt+b.settings.RecallWait && b.heldByOthers(p) && p.Returned == a.Returned {
				rest = append(rest, *p)
				continue
			}
		}
		if !known && n == 0 {
			b.respond(p.from, b.accountResponse(p.Key, false))
			continue
		}
		spare[name] -= n
		ops = append(ops, ledger.Op{Kind: ledger.Grant, Key: p.Key, Sequence: p.Sequence, Spent: p.Spent, Returned: p.Returned, Amount: n})
	}
	b.requests = rest
	clear(b.requestIndex)
	for i := range rest {
		b.requestIndex[rest[i].Key] = i
	}
	for _, name := range order {
		if unmet[name] > 0 {
			b.recallFunds(name, unmet[name])
		}
	}
	return ops
}

// heldByOthers tells whether anybody else has something of what an ask needs.
func (b *Lessor) heldByOthers(p *pendingRequest) bool {
	a, _ := b.ledger.Account(p.Key)
	return b.ledger.Tenant(p.Key.Tenant).Lent > a.Outstanding()
}

// recordDemand keeps what a pooler says that it spends of a tenant's funds.
func (b *Lessor) recordDemand(p *pendingRequest) {
	if p.Recovered {
		return
	}
	list := b.demand[p.Key.Tenant]
	if len(list) > 0 && list[0].reportedAt < b.now-b.settings.DemandWindow {
		list = slices.DeleteFunc(list, func(x spendReport) bool { return x.reportedAt < b.now-b.settings.DemandWindow })
	}
	i := slices.IndexFunc(list, func(x spendReport) bool { return x.holder == p.from })
	if i < 0 {
		list = append(list, spendReport{holder: p.from})
		i = len(list) - 1
	}
	list[i].rate, list[i].reportedAt = p.SpendRate, b.now
	if p.Final && len(list) == 1 {
		delete(b.demand, p.Key.Tenant)
		return
	}
	b.demand[p.Key.Tenant] = list
}

// maxBeyondQueued is the most that a pooler may get beside what waits. Where a part of what is left is less than one unit and nobody holds any of
// it, one gets all that it wants: smaller parts would be of use to nobody.
func (b *Lessor) maxBeyondQueued(p *pendingRequest, a *ledger.Account, can int64) int64 {
	holds := max(0, a.Granted-max(a.Returned, p.Returned)-max(a.Spent, p.Spent))
	part := b.fairShare(p)
	if part == 0 && holds == 0 && p.Requested <= can && !b.heldByOthers(p) {
		return p.Requested
	}
	return part - holds
}

// fairShare is the most that a pooler may hold of what its tenant has left, beside what waits.
func (b *Lessor) fairShare(p *pendingRequest) int64 {
	t := b.ledger.Tenant(p.Key.Tenant)
	all := int64(0)
	for _, x := range b.demand[p.Key.Tenant] {
		all += max(1, x.rate)
	}
	return int64(float64(max(0, t.Available()+p.Key.Overdraft)) / b.settings.ShareDivisor * float64(max(1, p.SpendRate)) / float64(max(1, all)))
}

// recallFunds has those who hold most give back half, until so much comes in.
func (b *Lessor) recallFunds(tenant string, n int64) {
	type holds struct {
		key  ledger.Key
		open int64
	}
	var all []holds
	for _, k := range b.ledger.Accounts(tenant) {
		i, asks := b.requestIndex[k]
		needs := asks && b.requests[i].Queued > 0
		if a, _ := b.ledger.Account(k); !needs && !a.Expired && a.Outstanding() > 0 {
			all = append(all, holds{k, a.Outstanding()})
		}
	}
	slices.SortStableFunc(all, func(x, y holds) int { return int(max(-1, min(1, y.open-x.open))) })
	for _, x := range all {
		if n <= 0 {
			return
		}
		if at, ok := b.recalledAt[x.key]; ok && b.now < at+b.settings.RecallInterval {
			n -= x.open - x.open/2
			continue
		}
		if len(b.recalledAt) > maxPending {
			clear(b.recalledAt)
		}
		b.recalledAt[x.key] = b.now
		w := b.accountResponse(x.key, false)
		w.Recall, w.Retain = true, x.open/2
		b.respond(x.key.Holder, w)
		n -= x.open - x.open/2
	}
}
