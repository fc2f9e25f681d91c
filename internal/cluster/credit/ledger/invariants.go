package ledger

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// changesPerWalk is how many changes there are for one check of the whole ledger.
const changesPerWalk = 64

// checkTenant states the invariant of the tenant that an operation was about, and now and then that of the whole ledger.
func (l *Ledger) checkTenant(name string) {
	tenant := l.tenants[name]
	if !l.Checks.Enabled() || tenant == nil {
		return
	}
	state := func(checks *invariant.Checks, statement string, err error) {
		checks.That(err == nil, statement, func() string { return err.Error() })
	}
	state(l.Checks, "credit: paid is balance, lent, stranded and spent", tenant.checkTotals(name))
	l.Checks.Walk(&l.changesSinceWalk, changesPerWalk, "credit: the books agree", func(checks *invariant.Checks) {
		state(checks, "credit: the books agree", l.Check())
	})
}

func (t *Tenant) checkTotals(name string) error {
	if t.Lent < 0 || t.Stranded < 0 || t.Spent < 0 || t.Paid < 0 || t.Paid != t.Balance+t.Lent+t.Stranded+t.Spent {
		return fmt.Errorf("tenant %q: paid %d is not balance %d + lent %d + stranded %d + spent %d",
			name, t.Paid, t.Balance, t.Lent, t.Stranded, t.Spent)
	}
	return nil
}

// accountTotals are sums over the accounts.
type accountTotals struct {
	lent, stranded map[string]int64 // by tenant
	open           map[Holder]int
}

// Check verifies the whole ledger.
func (l *Ledger) Check() error {
	totals, err := l.checkAccounts()
	if err != nil {
		return err
	}
	for _, name := range l.Tenants() {
		tenant := l.tenants[name]
		if err := tenant.checkTotals(name); err != nil {
			return err
		}
		if tenant.Lent != totals.lent[name] || tenant.Stranded != totals.stranded[name] {
			return fmt.Errorf("tenant %q: lent %d and stranded %d, but the accounts have %d and %d",
				name, tenant.Lent, tenant.Stranded, totals.lent[name], totals.stranded[name])
		}
	}
	for holder, counted := range l.openAccounts {
		if totals.open[holder] != counted {
			return fmt.Errorf("process %x: %d accounts are counted, there are %d", holder, counted, totals.open[holder])
		}
	}
	return nil
}

func (l *Ledger) checkAccounts() (*accountTotals, error) {
	totals := &accountTotals{lent: map[string]int64{}, stranded: map[string]int64{}, open: map[Holder]int{}}
	for _, key := range l.AllAccounts() {
		account := l.accounts[key]
		if account.Returned < 0 || account.Spent < 0 || account.Outstanding() < 0 {
			return nil, fmt.Errorf("account %v: of %d granted %d are spent and %d returned", key, account.Granted, account.Spent, account.Returned)
		}
		if key.Generation > l.lastGeneration[key.Holder] {
			return nil, fmt.Errorf("account %v is not among the %d that its process opened", key, l.lastGeneration[key.Holder])
		}
		totals.open[key.Holder]++
		if account.Expired {
			totals.stranded[key.Tenant] += account.Outstanding()
		} else {
			totals.lent[key.Tenant] += account.Outstanding()
		}
	}
	return totals, nil
}
