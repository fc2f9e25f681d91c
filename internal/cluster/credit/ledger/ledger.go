package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

// fencedGeneration is the last generation of a process that may open no more accounts.
const fencedGeneration = math.MaxUint32

// Ledger is the replicated state of all tenants' funds.
type Ledger struct {
	AppliedIndex uint64            // index of the last applied entry
	Checks       *invariant.Checks // nil disables the checks

	tenants          map[string]*Tenant
	accounts         map[Key]*Account
	lastGeneration   map[Holder]uint32 // highest generation that is opened or forbidden
	openAccounts     map[Holder]int
	byTenant         map[string]map[Key]bool
	changesSinceWalk int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		tenants: map[string]*Tenant{}, accounts: map[Key]*Account{}, lastGeneration: map[Holder]uint32{},
		openAccounts: map[Holder]int{}, byTenant: map[string]map[Key]bool{},
	}
}

// Tenant returns the state of a tenant, or the zero value if the tenant has not paid.
func (l *Ledger) Tenant(name string) Tenant {
	if tenant := l.tenants[name]; tenant != nil {
		return *tenant
	}
	return Tenant{}
}

// Tenants returns the names of all tenants, sorted.
func (l *Ledger) Tenants() []string { return slices.Sorted(maps.Keys(l.tenants)) }

// Account returns an account, and whether it exists.
func (l *Ledger) Account(key Key) (Account, bool) {
	if account := l.accounts[key]; account != nil {
		return *account, true
	}
	return Account{}, false
}

// Accounts returns the keys of a tenant's accounts, sorted.
func (l *Ledger) Accounts(tenant string) []Key {
	return slices.SortedFunc(maps.Keys(l.byTenant[tenant]), compareKeys)
}

// AllAccounts returns the keys of all accounts, sorted.
func (l *Ledger) AllAccounts() []Key { return slices.SortedFunc(maps.Keys(l.accounts), compareKeys) }

// Size returns the numbers of tenants and of accounts.
func (l *Ledger) Size() (tenants, accounts int) { return len(l.tenants), len(l.accounts) }

// PaymentApplied reports whether a payment is in the ledger.
func (l *Ledger) PaymentApplied(tenant string, number uint64) bool {
	t := l.tenants[tenant]
	return t != nil && t.hasPayment(number)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Overdraft, b.Overdraft),
		cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Generation, b.Generation))
}

// Apply applies an entry of the log, once for each index. A malformed entry changes nothing.
func (l *Ledger) Apply(index uint64, entry []byte) []Result {
	if index <= l.AppliedIndex {
		return nil
	}
	l.AppliedIndex = index
	ops, err := Decode(entry)
	if err != nil {
		return nil
	}
	results := make([]Result, len(ops))
	for i, op := range ops {
		results[i] = l.applyOp(op)
		l.checkTenant(op.Key.Tenant)
	}
	return results
}

func (l *Ledger) applyOp(op Op) Result {
	switch op.Kind {
	case Payment:
		return Result{Op: op, Applied: l.applyPayment(op)}
	case Fence, CloseRemaining:
		closed, allExpired := l.fence(op.Key.Holder, op.Kind == CloseRemaining)
		return Result{Op: op, Applied: true, Closed: closed, AllExpired: allExpired}
	}
	return l.applyAccountOp(op)
}

func (l *Ledger) applyAccountOp(op Op) Result {
	result := Result{Op: op}
	account := l.accounts[op.Key]
	tenant := l.tenants[op.Key.Tenant]
	if account == nil && op.Kind == Close {
		l.forbidGeneration(op.Key)
	}
	if tenant == nil {
		result.Closed = op.Kind != Grant
		return result
	}
	if account == nil && l.mayOpen(tenant, &op) {
		account = l.openAccount(op.Key)
	}
	if account == nil {
		result.Closed = op.Kind != Grant || op.Key.Generation <= l.lastGeneration[op.Key.Holder]
		return result
	}
	switch op.Kind {
	case Grant:
		result.Applied = l.grant(tenant, account, &op)
	case Close:
		result.Applied = account.Expired || !op.Recovered
		result.Closed = result.Applied
		if result.Applied {
			l.closeAccount(op.Key, tenant, account, min(account.Granted-account.Returned, max(op.Spent, account.Spent)))
		}
	case Expire:
		result.Applied = account.expire(tenant, op.Sequence)
	case WriteOff:
		result.Applied = account.Expired
		result.Closed = account.Expired
		if account.Expired {
			l.closeAccount(op.Key, tenant, account, account.Granted-account.Returned)
		}
	}
	result.Account = *account
	return result
}

// forbidGeneration prevents a delayed grant from opening an account that its process has already closed.
func (l *Ledger) forbidGeneration(key Key) {
	if l.lastGeneration[key.Holder] > 0 || len(l.lastGeneration) < MaxHolders {
		l.lastGeneration[key.Holder] = max(l.lastGeneration[key.Holder], key.Generation)
	}
}

// mayOpen reports whether an operation opens an account. It must be a grant with a new generation, and there must be funds to lend.
func (l *Ledger) mayOpen(tenant *Tenant, op *Op) bool {
	if op.Kind != Grant || op.Amount <= 0 || len(l.accounts) >= MaxAccounts {
		return false
	}
	return op.Key.Generation > l.lastGeneration[op.Key.Holder] && tenant.Balance+op.Key.Overdraft > 0
}

// grant applies a report and lends as much of the requested amount as there are funds.
func (l *Ledger) grant(tenant *Tenant, account *Account, op *Op) bool {
	fenced := l.lastGeneration[op.Key.Holder] == fencedGeneration
	if op.Sequence <= account.Sequence || account.Expired || fenced {
		return false
	}
	account.Sequence = op.Sequence
	account.applyReport(tenant, op.Spent, op.Returned)
	amount := max(0, min(op.Amount, tenant.Balance+op.Key.Overdraft))
	tenant.Balance -= amount
	tenant.Lent += amount
	account.Granted += amount
	return true
}

// applyReport applies reported totals. They may only grow, and never exceed the granted amount.
func (a *Account) applyReport(tenant *Tenant, spent, returned int64) {
	newSpent := min(max(a.Spent, spent), a.Granted-a.Returned)
	tenant.Spent += newSpent - a.Spent
	tenant.Lent -= newSpent - a.Spent
	a.Spent = newSpent
	newReturned := min(max(a.Returned, returned), a.Granted-a.Spent)
	tenant.Balance += newReturned - a.Returned
	tenant.Lent -= newReturned - a.Returned
	a.Returned = newReturned
}

// expire marks an account as expired and its outstanding funds as stranded, unless there has been a later report.
func (a *Account) expire(tenant *Tenant, sequence uint32) bool {
	if sequence != a.Sequence || a.Expired {
		return false
	}
	a.Expired = true
	tenant.Lent -= a.Outstanding()
	tenant.Stranded += a.Outstanding()
	return true
}

func (l *Ledger) openAccount(key Key) *Account {
	account := &Account{}
	l.accounts[key] = account
	l.lastGeneration[key.Holder] = key.Generation
	l.openAccounts[key.Holder]++
	if l.byTenant[key.Tenant] == nil {
		l.byTenant[key.Tenant] = map[Key]bool{}
	}
	l.byTenant[key.Tenant][key] = true
	return account
}

// closeAccount closes an account with its total spending. The rest of the granted amount returns to the tenant's balance.
func (l *Ledger) closeAccount(key Key, tenant *Tenant, account *Account, spent int64) {
	if account.Expired {
		tenant.Stranded -= account.Outstanding()
	} else {
		tenant.Lent -= account.Outstanding()
	}
	tenant.Spent += spent - account.Spent
	tenant.Balance += account.Granted - account.Returned - spent
	account.Spent = spent
	account.Returned = account.Granted - spent
	delete(l.accounts, key)
	delete(l.byTenant[key.Tenant], key)
	l.openAccounts[key.Holder]--
	if l.openAccounts[key.Holder] == 0 {
		delete(l.openAccounts, key.Holder)
	}
}

// fence prevents a process from opening accounts. With closeRemaining it also closes the process's expired accounts with their reported
// spending. It returns whether no accounts are open and whether all have expired.
func (l *Ledger) fence(holder Holder, closeRemaining bool) (closed, allExpired bool) {
	if l.lastGeneration[holder] == 0 && len(l.lastGeneration) >= MaxHolders {
		return true, true
	}
	l.lastGeneration[holder] = fencedGeneration
	if l.openAccounts[holder] == 0 {
		return true, true
	}
	allExpired = true
	for _, key := range l.AllAccounts() {
		account := l.accounts[key]
		switch {
		case key.Holder != holder:
		case !account.Expired:
			allExpired = false
		case closeRemaining:
			l.closeAccount(key, l.tenants[key.Tenant], account, account.Spent)
		}
	}
	return l.openAccounts[holder] == 0, allExpired
}
