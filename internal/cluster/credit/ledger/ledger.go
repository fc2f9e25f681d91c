// Package ledger keeps what tenants have paid, what of it is lent to poolers, and what is spent. It is a machine on the log that the
// poolers agree on: every voter applies the same entries in the same order and comes to the same books. It has no clock: no entry tells
// a time, and none changes its effect by when it is applied.
//
// # What is always so
//
// For each tenant, in whole numbers of the operators' unit:
//
//	paid = balance + lent + stranded + spent
//
// lent is what poolers hold and have not told to be spent or given back. stranded is the same of those whose end is past: it counts
// as spent, since it may be, until somebody who knows tells. So nothing is lent that anybody else may still spend: the sum of all that
// is charged is never more than was paid and the stated overdraft, whatever clocks, links and processes do.
//
// # Accounts
//
// What a pooler holds of a tenant's funds is an account: the pooler's process, the tenant, the depth of overdraft that it may draw on, and
// a number, Gen, that the pooler counts up. In an account all that is told is a sum since it was opened: granted, given back, spent. So it
// does not matter how often or how late something is told; Seq says which is newer. An account is opened once: a Gen that is not above all
// that its process has opened before opens nothing.
//
// # Ends
//
// Poolers stop to use an account Lease after they asked for it last. A voter that leads proposes its Expire once its own clock has
// run longer than that, and the drift of both, since it applied the account's last Seq itself; Expire names this Seq, and does nothing where there
// has been another. From then on the account is only ever told down. Its own process may tell what it spent at any time (Final). Another,
// which has found the account in the files of one that is no more, is believed only after Expire, as the process that wrote
// them may be asleep and wake.
package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

// Holder is a process, as in the view.
type Holder = uint64

// Bounds of what is taken.
const (
	MaxAmount    = int64(1) << 50 // of one entry
	MaxPaid      = int64(1) << 60 // of a tenant
	MaxTenants   = 100_000
	MaxAccounts  = 1_000_000
	MaxHolders   = 100_000
	MaxNameBytes = 64 // bytes of a tenant's name
	MaxOps       = 1024
)

// Key names an account.
type Key struct {
	Tenant     string `json:"Tenant"`
	Overdraft  int64  `json:"Depth"` // how far below nothing the balance may go for it
	Holder     Holder `json:"Holder"`
	Generation uint32 `json:"Gen"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Overdraft, b.Overdraft), cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Generation, b.Generation))
}

// Account is what a pooler holds. Sums are since it was opened.
type Account struct {
	Granted, Returned, Spent int64
	Sequence                 uint32
	Expired                  bool
}

// Outstanding is what of it is neither spent nor given back.
func (a *Account) Outstanding() int64 { return a.Granted - a.Returned - a.Spent }

// Tenant is how one stands.
type Tenant struct {
	Paid, Balance, Lent, Stranded, Spent int64
	AvailableAtPayment                   int64 // balance and lent after the last payment
	appliedPayments                      []numberRange
}

// Available is what is not spent, and not stranded.
func (t *Tenant) Available() int64 { return t.Balance + t.Lent }

// numberRange is numbers of payments that were taken, both included.
type numberRange struct{ from, to uint64 }

// Kind says what an Op does.
type Kind uint8

// The kinds.
const (
	Payment        Kind = iota + 1 // Amount, by the number No
	Grant                          // an account's Seq, Spent, Returned, and Amount more if there is as much
	Close                          // an account's Spent, which is the last word
	Expire                         // an account's end is past, if Seq is still its last
	WriteOff                       // what is stranded in an account is spent
	Fence                          // a process that is no more: it opens nothing, and its accounts come to their ends
	CloseRemaining                 // ...and nothing was spent of those that nobody told of
)

// Op is one line of an entry.
type Op struct {
	Kind      Kind
	Key       Key // of a Payment the tenant alone
	Number    uint64
	Amount    int64
	Spent     int64
	Returned  int64
	Sequence  uint32
	Recovered bool // Final: told by another process than the holder
}

// Result is what became of an Op.
type Result struct {
	Op
	Applied    bool    // it changed something, or had before
	Closed     bool    // there is no such account, and never will be
	AllExpired bool    // Bar: the ends of all that there are are past
	Account    Account // as it is now
}

// Ledger is the books.
type Ledger struct {
	tenants          map[string]*Tenant
	accounts         map[Key]*Account
	lastGeneration   map[Holder]uint32 // highest Gen
	openAccounts     map[Holder]int    // accounts
	byTenant         map[string]map[Key]bool
	AppliedIndex     uint64 // of the last entry
	Checks           *invariant.Checks
	changesSinceWalk int
}

// New makes empty books.
func New() *Ledger {
	return &Ledger{tenants: map[string]*Tenant{}, accounts: map[Key]*Account{}, lastGeneration: map[Holder]uint32{}, openAccounts: map[Holder]int{}, byTenant: map[string]map[Key]bool{}}
}

// Tenant is how a tenant stands; nothing, where none has paid.
func (l *Ledger) Tenant(name string) Tenant {
	if t := l.tenants[name]; t != nil {
		return *t
	}
	return Tenant{}
}

// Tenants are their names.
func (l *Ledger) Tenants() []string { return slices.Sorted(maps.Keys(l.tenants)) }

// Account finds one.
func (l *Ledger) Account(k Key) (Account, bool) {
	if a := l.accounts[k]; a != nil {
		return *a, true
	}
	return Account{}, false
}

// Accounts of a tenant, in their order.
func (l *Ledger) Accounts(tenant string) []Key {
	return slices.SortedFunc(maps.Keys(l.byTenant[tenant]), compareKeys)
}

// AllAccounts accounts, in their order.
func (l *Ledger) AllAccounts() []Key { return slices.SortedFunc(maps.Keys(l.accounts), compareKeys) }

// Size is how many tenants and accounts there are.
func (l *Ledger) Size() (tenants, accounts int) { return len(l.tenants), len(l.accounts) }

// PaymentApplied tells whether a payment was.
func (l *Ledger) PaymentApplied(tenant string, no uint64) bool {
	t := l.tenants[tenant]
	return t != nil && t.hasPayment(no)
}

// Apply takes an entry, once. One that cannot be read changes nothing.
func (l *Ledger) Apply(index uint64, entry []byte) []Result {
	if index <= l.AppliedIndex {
		return nil
	}
	l.AppliedIndex = index
	ops, err := Decode(entry)
	if err != nil {
		return nil
	}
	out := make([]Result, len(ops))
	for i, op := range ops {
		out[i] = l.applyOp(op)
		l.checkTenant(op.Key.Tenant)
	}
	return out
}

func (l *Ledger) applyOp(op Op) Result {
	r := Result{Op: op}
	switch op.Kind {
	case Payment:
		r.Applied = l.applyPayment(op)
		return r
	case Fence, CloseRemaining:
		r.Applied = true
		r.Closed, r.AllExpired = l.fence(op.Key.Holder, op.Kind == CloseRemaining)
		return r
	}
	a, t := l.accounts[op.Key], l.tenants[op.Key.Tenant]
	if a == nil && op.Kind == Close { // a loan that is still on its way opens nothing any more
		if l.lastGeneration[op.Key.Holder] > 0 || len(l.lastGeneration) < MaxHolders {
			l.lastGeneration[op.Key.Holder] = max(l.lastGeneration[op.Key.Holder], op.Key.Generation)
		}
	}
	if t == nil {
		r.Closed = op.Kind != Grant
		return r
	}
	if a == nil && op.Kind == Grant && op.Amount > 0 && op.Key.Generation > l.lastGeneration[op.Key.Holder] && len(l.accounts) < MaxAccounts {
		if t.Balance+op.Key.Overdraft > 0 {
			a = l.openAccount(op.Key)
		}
	}
	if a == nil {
		r.Closed = op.Key.Generation <= l.lastGeneration[op.Key.Holder] || op.Kind != Grant
		return r
	}
	switch op.Kind {
	case Grant:
		if op.Sequence <= a.Sequence || a.Expired || l.lastGeneration[op.Key.Holder] == fencedGeneration {
			break
		}
		r.Applied, a.Sequence = true, op.Sequence
		l.applyReport(t, a, op.Spent, op.Returned)
		n := max(0, min(op.Amount, t.Balance+op.Key.Overdraft))
		t.Balance -= n
		t.Lent += n
		a.Granted += n
	case Close:
		if op.Recovered && !a.Expired {
			break
		}
		r.Applied, r.Closed = true, true
		l.closeAccount(op.Key, t, a, min(a.Granted-a.Returned, max(op.Spent, a.Spent)))
	case Expire:
		if op.Sequence != a.Sequence || a.Expired {
			break
		}
		r.Applied, a.Expired = true, true
		t.Lent -= a.Outstanding()
		t.Stranded += a.Outstanding()
	case WriteOff:
		if !a.Expired {
			break
		}
		r.Applied, r.Closed = true, true
		l.closeAccount(op.Key, t, a, a.Granted-a.Returned)
	}
	r.Account = *a
	return r
}

// applyReport takes sums that may only grow, and never beyond what was granted.
func (l *Ledger) applyReport(t *Tenant, a *Account, spent, returned int64) {
	s := min(max(a.Spent, spent), a.Granted-a.Returned)
	t.Spent += s - a.Spent
	t.Lent -= s - a.Spent
	a.Spent = s
	r := min(max(a.Returned, returned), a.Granted-a.Spent)
	t.Balance += r - a.Returned
	t.Lent -= r - a.Returned
	a.Returned = r
}

func (l *Ledger) openAccount(k Key) *Account {
	a := &Account{}
	l.accounts[k] = a
	l.lastGeneration[k.Holder] = k.Generation
	l.openAccounts[k.Holder]++
	if l.byTenant[k.Tenant] == nil {
		l.byTenant[k.Tenant] = map[Key]bool{}
	}
	l.byTenant[k.Tenant][k] = true
	return a
}

// closeAccount ends an account of which so much was spent in all: the rest of what was granted is the tenant's again.
func (l *Ledger) closeAccount(k Key, t *Tenant, a *Account, spent int64) {
	if open := a.Outstanding(); a.Expired {
		t.Stranded -= open
	} else {
		t.Lent -= open
	}
	t.Spent += spent - a.Spent
	t.Balance += a.Granted - a.Returned - spent
	a.Spent, a.Returned = spent, a.Granted-spent
	delete(l.accounts, k)
	delete(l.byTenant[k.Tenant], k)
	if l.openAccounts[k.Holder]--; l.openAccounts[k.Holder] == 0 {
		delete(l.openAccounts, k.Holder)
	}
}

const fencedGeneration = math.MaxUint32

// fence has a process open no more, and what it has come to its ends. Then, when somebody has looked again for what it wrote, the rest is closed.
func (l *Ledger) fence(h Holder, rest bool) (closed, ended bool) {
	if l.lastGeneration[h] == 0 && len(l.lastGeneration) >= MaxHolders {
		return true, true
	}
	l.lastGeneration[h] = fencedGeneration
	if l.openAccounts[h] == 0 {
		return true, true
	}
	ended = true
	for _, k := range l.AllAccounts() {
		switch a := l.accounts[k]; {
		case k.Holder != h:
		case !a.Expired:
			ended = false
		case rest:
			l.closeAccount(k, l.tenants[k.Tenant], a, a.Spent)
		}
	}
	return l.openAccounts[h] == 0, ended
}

func (l *Ledger) applyPayment(op Op) bool {
	t := l.tenants[op.Key.Tenant]
	if t == nil {
		if len(l.tenants) >= MaxTenants {
			return false
		}
		t = &Tenant{}
		l.tenants[op.Key.Tenant] = t
	}
	if t.hasPayment(op.Number) {
		return true
	}
	if t.Paid+op.Amount > MaxPaid {
		return false
	}
	t.recordPayment(op.Number)
	t.Paid += op.Amount
	t.Balance += op.Amount
	t.AvailableAtPayment = t.Available()
	return true
}

func (t *Tenant) findPayment(no uint64) (int, bool) {
	return slices.BinarySearchFunc(t.appliedPayments, no, func(s numberRange, no uint64) int {
		switch {
		case s.to < no:
			return -1
		case s.from > no:
			return 1
		}
		return 0
	})
}

func (t *Tenant) hasPayment(no uint64) bool {
	_, ok := t.findPayment(no)
	return ok
}

func (t *Tenant) recordPayment(no uint64) {
	i, _ := t.findPayment(no)
	joins := i > 0 && t.appliedPayments[i-1].to+1 == no
	meets := i < len(t.appliedPayments) && no+1 == t.appliedPayments[i].from
	switch {
	case joins && meets:
		t.appliedPayments[i-1].to = t.appliedPayments[i].to
		t.appliedPayments = slices.Delete(t.appliedPayments, i, i+1)
	case joins:
		t.appliedPayments[i-1].to = no
	case meets:
		t.appliedPayments[i].from = no
	default:
		t.appliedPayments = slices.Insert(t.appliedPayments, i, numberRange{no, no})
	}
}

// checkTenant holds the tenant that an entry was about to what is always so.
func (l *Ledger) checkTenant(tenant string) {
	t := l.tenants[tenant]
	if !l.Checks.On() || t == nil {
		return
	}
	tell := func(err error) (bool, func() string) { return err == nil, func() string { return err.Error() } }
	ok, text := tell(t.checkTotals(tenant))
	l.Checks.That(ok, "credit: paid is balance, lent, stranded and spent", text)
	l.Checks.Walk(&l.changesSinceWalk, changesPerWalk, "credit: the books agree", func(c *invariant.Checks) {
		ok, text := tell(l.Check())
		c.That(ok, "credit: the books agree", text)
	})
}

const changesPerWalk = 64

func (t *Tenant) checkTotals(name string) error {
	if t.Paid != t.Balance+t.Lent+t.Stranded+t.Spent || t.Lent < 0 || t.Stranded < 0 || t.Spent < 0 || t.Paid < 0 {
		return fmt.Errorf("tenant %q: paid %d is not balance %d + lent %d + stranded %d + spent %d", name, t.Paid, t.Balance, t.Lent, t.Stranded, t.Spent)
	}
	return nil
}

// Check goes through all the books.
func (l *Ledger) Check() error {
	lent, stranded, open := map[string]int64{}, map[string]int64{}, map[Holder]int{}
	deepest := map[string]int64{}
	for _, k := range l.AllAccounts() {
		a := l.accounts[k]
		if a.Returned < 0 || a.Spent < 0 || a.Outstanding() < 0 {
			return fmt.Errorf("account %v: of %d granted %d are spent and %d given back", k, a.Granted, a.Spent, a.Returned)
		}
		if k.Generation > l.lastGeneration[k.Holder] {
			return fmt.Errorf("account %v is not among the %d that its process opened", k, l.lastGeneration[k.Holder])
		}
		if open[k.Holder]++; a.Expired {
			stranded[k.Tenant] += a.Outstanding()
		} else {
			lent[k.Tenant] += a.Outstanding()
		}
		deepest[k.Tenant] = max(deepest[k.Tenant], k.Overdraft)
	}
	for _, name := range l.Tenants() {
		t := l.tenants[name]
		if err := t.checkTotals(name); err != nil {
			return err
		}
		if t.Lent != lent[name] || t.Stranded != stranded[name] {
			return fmt.Errorf("tenant %q: lent %d and stranded %d, but the accounts have %d and %d", name, t.Lent, t.Stranded, lent[name], stranded[name])
		}
	}
	for h, n := range l.openAccounts {
		if open[h] != n {
			return fmt.Errorf("process %x: %d accounts are counted, there are %d", h, n, open[h])
		}
	}
	return nil
}
