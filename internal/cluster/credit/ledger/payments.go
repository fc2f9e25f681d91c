package ledger

import (
	"slices"
)

// numberRange is a range of numbers of applied payments. Both ends are inclusive.
type numberRange struct{ from, to uint64 }

// applyPayment adds a payment unless it was applied before, and reports whether it is in the ledger now.
func (l *Ledger) applyPayment(op Op) bool {
	tenant := l.tenants[op.Key.Tenant]
	if tenant == nil {
		if len(l.tenants) >= MaxTenants {
			return false
		}
		tenant = &Tenant{}
		l.tenants[op.Key.Tenant] = tenant
	}
	if tenant.hasPayment(op.Number) {
		return true
	}
	if tenant.Paid+op.Amount > MaxPaid {
		return false
	}
	tenant.recordPayment(op.Number)
	tenant.Paid += op.Amount
	tenant.Balance += op.Amount
	tenant.AvailableAtPayment = tenant.Available()
	return true
}

// findPayment returns the index of the range that contains a number, or the index at which a range with it would be inserted.
func (t *Tenant) findPayment(number uint64) (int, bool) {
	return slices.BinarySearchFunc(t.appliedPayments, number, func(applied numberRange, number uint64) int {
		switch {
		case applied.to < number:
			return -1
		case applied.from > number:
			return 1
		}
		return 0
	})
}

func (t *Tenant) hasPayment(number uint64) bool {
	_, found := t.findPayment(number)
	return found
}

// recordPayment adds a number that is not in any range, and merges adjacent ranges.
func (t *Tenant) recordPayment(number uint64) {
	i, _ := t.findPayment(number)
	joinsLeft := i > 0 && t.appliedPayments[i-1].to+1 == number
	joinsRight := i < len(t.appliedPayments) && number+1 == t.appliedPayments[i].from
	switch {
	case joinsLeft && joinsRight:
		t.appliedPayments[i-1].to = t.appliedPayments[i].to
		t.appliedPayments = slices.Delete(t.appliedPayments, i, i+1)
	case joinsLeft:
		t.appliedPayments[i-1].to = number
	case joinsRight:
		t.appliedPayments[i].from = number
	default:
		t.appliedPayments = slices.Insert(t.appliedPayments, i, numberRange{from: number, to: number})
	}
}
