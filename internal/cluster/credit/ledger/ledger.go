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
	MostAmount   = int64(1) << 50 // of one entry
	MostPaid     = int64(1) << 60 // of a tenant
	MostTenants  = 100_000
	MostAccounts = 1_000_000
	MostHolders  = 100_000
	MostName     = 64 // bytes of a tenant's name
	MostOps      = 1024
)

// Key names an account.
type Key struct {
	Tenant string `json:"Tenant"`
	Depth  int64  `json:"Depth"` // how far below nothing the balance may go for it
	Holder Holder `json:"Holder"`
	Gen    uint32 `json:"Gen"`
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Gen, b.Gen))
}

// Account is what a pooler holds. Sums are since it was opened.
type Account struct {
	Granted, Returned, Spent int64
	Seq                      uint32
	Expired                  bool
}

// Open is what of it is neither spent nor given back.
func (a *Account) Open() int64 { return a.Granted - a.Returned - a.Spent }

// Tenant is how one stands.
type Tenant struct {
	Paid, Balance, Lent, Stranded, Spent int64
	Full                                 int64 // balance and lent after the last payment
	taken                                []span
}

// Left is what is not spent, and not stranded.
func (t *Tenant) Left() int64 { return t.Balance + t.Lent }

// span is numbers of payments that were taken, both included.
type span struct{ from, to uint64 }

// Kind says what an Op does.
type Kind uint8

// The kinds.
const (
	Payment Kind = iota + 1 // Amount, by the number No
	Lend                    // an account's Seq, Spent, Returned, and Amount more if there is as much
	Final                   // an account's Spent, which is the last word
	Expire                  // an account's end is past, if Seq is still its last
	Fold                    // what is stranded in an account is spent
	Bar                     // a process that is no more: it opens nothing, and its accounts come to their ends
	Rest                    // ...and nothing was spent of those that nobody told of
)

// Op is one line of an entry.
type Op struct {
	Kind     Kind
	Key      Key // of a Payment the tenant alone
	No       uint64
	Amount   int64
	Spent    int64
	Returned int64
	Seq      uint32
	Heir     bool // Final: told by another process than the holder
}

// Result is what became of an Op.
type Result struct {
	Op
	Done    bool    // it changed something, or had before
	Closed  bool    // there is no such account, and never will be
	Ended   bool    // Bar: the ends of all that there are are past
	Account Account // as it is now
}

// Ledger is the books.
type Ledger struct {
	tenants  map[string]*Tenant
	accounts map[Key]*Account
	opened   map[Holder]uint32 // highest Gen
	open     map[Holder]int    // accounts
	byTenant map[string]map[Key]bool
	Index    uint64 // of the last entry
	Checks   *invariant.Checks
	checked  int
}

// New makes empty books.
func New() *Ledger {
	return &Ledger{tenants: map[string]*Tenant{}, accounts: map[Key]*Account{}, opened: map[Holder]uint32{}, open: map[Holder]int{}, byTenant: map[string]map[Key]bool{}}
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
	return slices.SortedFunc(maps.Keys(l.byTenant[tenant]), compare)
}

// All accounts, in their order.
func (l *Ledger) All() []Key { return slices.SortedFunc(maps.Keys(l.accounts), compare) }

// Size is how many tenants and accounts there are.
func (l *Ledger) Size() (tenants, accounts int) { return len(l.tenants), len(l.accounts) }

// Taken tells whether a payment was.
func (l *Ledger) Taken(tenant string, no uint64) bool {
	t := l.tenants[tenant]
	return t != nil && t.has(no)
}

// Apply takes an entry, once. One that cannot be read changes nothing.
func (l *Ledger) Apply(index uint64, entry []byte) []Result {
	if index <= l.Index {
		return nil
	}
	l.Index = index
	ops, err := Decode(entry)
	if err != nil {
		return nil
	}
	out := make([]Result, len(ops))
	for i, op := range ops {
		out[i] = l.do(op)
		l.check(op.Key.Tenant)
	}
	return out
}

func (l *Ledger) do(op Op) Result {
	r := Result{Op: op}
	switch op.Kind {
	case Payment:
		r.Done = l.pay(op)
		return r
	case Bar, Rest:
		r.Done = true
		r.Closed, r.Ended = l.bar(op.Key.Holder, op.Kind == Rest)
		return r
	}
	a, t := l.accounts[op.Key], l.tenants[op.Key.Tenant]
	if a == nil && op.Kind == Final { // a loan that is still on its way opens nothing any more
		if l.opened[op.Key.Holder] > 0 || len(l.opened) < MostHolders {
			l.opened[op.Key.Holder] = max(l.opened[op.Key.Holder], op.Key.Gen)
		}
	}
	if t == nil {
		r.Closed = op.Kind != Lend
		return r
	}
	if a == nil && op.Kind == Lend && op.Amount > 0 && op.Key.Gen > l.opened[op.Key.Holder] && len(l.accounts) < MostAccounts {
		if t.Balance+op.Key.Depth > 0 {
			a = l.begin(op.Key)
		}
	}
	if a == nil {
		r.Closed = op.Key.Gen <= l.opened[op.Key.Holder] || op.Kind != Lend
		return r
	}
	switch op.Kind {
	case Lend:
		if op.Seq <= a.Seq || a.Expired || l.opened[op.Key.Holder] == barred {
			break
		}
		r.Done, a.Seq = true, op.Seq
		l.told(t, a, op.Spent, op.Returned)
		n := max(0, min(op.Amount, t.Balance+op.Key.Depth))
		t.Balance -= n
		t.Lent += n
		a.Granted += n
	case Final:
		if op.Heir && !a.Expired {
			break
		}
		r.Done, r.Closed = true, true
		l.close(op.Key, t, a, min(a.Granted-a.Returned, max(op.Spent, a.Spent)))
	case Expire:
		if op.Seq != a.Seq || a.Expired {
			break
		}
		r.Done, a.Expired = true, true
		t.Lent -= a.Open()
		t.Stranded += a.Open()
	case Fold:
		if !a.Expired {
			break
		}
		r.Done, r.Closed = true, true
		l.close(op.Key, t, a, a.Granted-a.Returned)
	}
	r.Account = *a
	return r
}

// told takes sums that may only grow, and never beyond what was granted.
func (l *Ledger) told(t *Tenant, a *Account, spent, returned int64) {
	s := min(max(a.Spent, spent), a.Granted-a.Returned)
	t.Spent += s - a.Spent
	t.Lent -= s - a.Spent
	a.Spent = s
	r := min(max(a.Returned, returned), a.Granted-a.Spent)
	t.Balance += r - a.Returned
	t.Lent -= r - a.Returned
	a.Returned = r
}

func (l *Ledger) begin(k Key) *Account {
	a := &Account{}
	l.accounts[k] = a
	l.opened[k.Holder] = k.Gen
	l.open[k.Holder]++
	if l.byTenant[k.Tenant] == nil {
		l.byTenant[k.Tenant] = map[Key]bool{}
	}
	l.byTenant[k.Tenant][k] = true
	return a
}

// close ends an account of which so much was spent in all: the rest of what was granted is the tenant's again.
func (l *Ledger) close(k Key, t *Tenant, a *Account, spent int64) {
	if open := a.Open(); a.Expired {
		t.Stranded -= open
	} else {
		t.Lent -= open
	}
	t.Spent += spent - a.Spent
	t.Balance += a.Granted - a.Returned - spent
	a.Spent, a.Returned = spent, a.Granted-spent
	delete(l.accounts, k)
	delete(l.byTenant[k.Tenant], k)
	if l.open[k.Holder]--; l.open[k.Holder] == 0 {
		delete(l.open, k.Holder)
	}
}

const barred = math.MaxUint32

// bar has a process open no more, and what it has come to its ends. Then, when somebody has looked again for what it wrote, the rest is closed.
func (l *Ledger) bar(h Holder, rest bool) (closed, ended bool) {
	if l.opened[h] == 0 && len(l.opened) >= MostHolders {
		return true, true
	}
	l.opened[h] = barred
	if l.open[h] == 0 {
		return true, true
	}
	ended = true
	for _, k := range l.All() {
		switch a := l.accounts[k]; {
		case k.Holder != h:
		case !a.Expired:
			ended = false
		case rest:
			l.close(k, l.tenants[k.Tenant], a, a.Spent)
		}
	}
	return l.open[h] == 0, ended
}

func (l *Ledger) pay(op Op) bool {
	t := l.tenants[op.Key.Tenant]
	if t == nil {
		if len(l.tenants) >= MostTenants {
			return false
		}
		t = &Tenant{}
		l.tenants[op.Key.Tenant] = t
	}
	if t.has(op.No) {
		return true
	}
	if t.Paid+op.Amount > MostPaid {
		return false
	}
	t.take(op.No)
	t.Paid += op.Amount
	t.Balance += op.Amount
	t.Full = t.Left()
	return true
}

func (t *Tenant) find(no uint64) (int, bool) {
	return slices.BinarySearchFunc(t.taken, no, func(s span, no uint64) int {
		switch {
		case s.to < no:
			return -1
		case s.from > no:
			return 1
		}
		return 0
	})
}

func (t *Tenant) has(no uint64) bool {
	_, ok := t.find(no)
	return ok
}

func (t *Tenant) take(no uint64) {
	i, _ := t.find(no)
	joins := i > 0 && t.taken[i-1].to+1 == no
	meets := i < len(t.taken) && no+1 == t.taken[i].from
	switch {
	case joins && meets:
		t.taken[i-1].to = t.taken[i].to
		t.taken = slices.Delete(t.taken, i, i+1)
	case joins:
		t.taken[i-1].to = no
	case meets:
		t.taken[i].from = no
	default:
		t.taken = slices.Insert(t.taken, i, span{no, no})
	}
}

// check holds the tenant that an entry was about to what is always so.
func (l *Ledger) check(tenant string) {
	t := l.tenants[tenant]
	if !l.Checks.On() || t == nil {
		return
	}
	tell := func(err error) (bool, func() string) { return err == nil, func() string { return err.Error() } }
	ok, text := tell(t.sums(tenant))
	l.Checks.That(ok, "credit: paid is balance, lent, stranded and spent", text)
	l.Checks.Walk(&l.checked, walkEvery, "credit: the books agree", func(c *invariant.Checks) {
		ok, text := tell(l.Check())
		c.That(ok, "credit: the books agree", text)
	})
}

const walkEvery = 64

func (t *Tenant) sums(name string) error {
	if t.Paid != t.Balance+t.Lent+t.Stranded+t.Spent || t.Lent < 0 || t.Stranded < 0 || t.Spent < 0 || t.Paid < 0 {
		return fmt.Errorf("tenant %q: paid %d is not balance %d + lent %d + stranded %d + spent %d", name, t.Paid, t.Balance, t.Lent, t.Stranded, t.Spent)
	}
	return nil
}

// Check goes through all the books.
func (l *Ledger) Check() error {
	lent, stranded, open := map[string]int64{}, map[string]int64{}, map[Holder]int{}
	deepest := map[string]int64{}
	for _, k := range l.All() {
		a := l.accounts[k]
		if a.Returned < 0 || a.Spent < 0 || a.Open() < 0 {
			return fmt.Errorf("account %v: of %d granted %d are spent and %d given back", k, a.Granted, a.Spent, a.Returned)
		}
		if k.Gen > l.opened[k.Holder] {
			return fmt.Errorf("account %v is not among the %d that its process opened", k, l.opened[k.Holder])
		}
		if open[k.Holder]++; a.Expired {
			stranded[k.Tenant] += a.Open()
		} else {
			lent[k.Tenant] += a.Open()
		}
		deepest[k.Tenant] = max(deepest[k.Tenant], k.Depth)
	}
	for _, name := range l.Tenants() {
		t := l.tenants[name]
		if err := t.sums(name); err != nil {
			return err
		}
		if t.Lent != lent[name] || t.Stranded != stranded[name] {
			return fmt.Errorf("tenant %q: lent %d and stranded %d, but the accounts have %d and %d", name, t.Lent, t.Stranded, lent[name], stranded[name])
		}
	}
	for h, n := range l.open {
		if open[h] != n {
			return fmt.Errorf("process %x: %d accounts are counted, there are %d", h, n, open[h])
		}
	}
	return nil
}
