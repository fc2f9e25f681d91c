package ledger

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// changesPerWalk is the number of changes between two checks of the whole ledger.
const changesPerWalk = 64

// checkTenant checks the invariant of the tenant that an operation concerned, and periodically those of the whole ledger.
func (l *Ledger) checkTenant(name string) {
	tenant := l.tenants[name]
	if !l.Checks.Enabled() || tenant == nil {
		return
	}
	check := func(checks *invariant.Checks, statement string, err error) {
		checks.That(err == nil, statement, func() string { return err.Error() })
	}
	check(l.Checks, "credit: paid = balance + lent + stranded + spent", tenant.checkTotals(name))
	l.Checks.Walk(&l.changesSinceWalk, changesPerWalk, "credit: ledger totals agree with the accounts", func(checks *invariant.Checks) {
		check(checks, "credit: ledger totals agree with the accounts", l.Check())
	})
}

func (t *Tenant) checkTotals(name string) error {
	if t.Lent < 0 || t.Stranded < 0 || t.Spent < 0 || t.Paid < 0 || t.Paid != t.Balance+t.Lent+t.Stranded+t.Spent {
		return fmt.Errorf("tenant %q: paid %d is not balance %d + lent %d + stranded %d + spent %d",
			name, t.Paid, t.Balance, t.Lent, t.Stranded, t.Spent)
	}
	return nil
}

// accountTotals contains sums over all accounts.
type accountTotals struct {
	lent, stranded map[string]int64 // by tenant
	open           map[Holder]int   // number of accounts
}

// Check verifies the invariants of the whole ledger.
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
			return fmt.Errorf("tenant %q: lent %d and stranded %d, but the sums over its accounts are %d and %d",
				name, tenant.Lent, tenant.Stranded, totals.lent[name], totals.stranded[name])
		}
	}
	for holder, counted := range l.openAccounts {
		if totals.open[holder] != counted {
			return fmt.Errorf("process %x: counted %d open accounts, found %d", holder, counted, totals.open[holder])
		}
	}
	return nil
}

func (l *Ledger) checkAccounts() (*accountTotals, error) {
	totals := &accountTotals{lent: map[string]int64{}, stranded: map[string]int64{}, open: map[Holder]int{}}
	for _, key := range l.AllAccounts() {
		account := l.accounts[key]
		if account.Returned < 0 || account.Spent < 0 || account.Outstanding() < 0 {
			return nil, fmt.Errorf("account %v: granted %d, spent %d, returned %d", key, account.Granted, account.Spent, account.Returned)
		}
		if key.Generation > l.lastGeneration[key.Holder] {
			return nil, fmt.Errorf("account %v: generation is above %d, the last that its process opened", key, l.lastGeneration[key.Holder])
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
