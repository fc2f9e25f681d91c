package ledger

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// Snapshot encodes the ledger. Equal ledgers have equal encodings.
func (l *Ledger) Snapshot() []byte {
	b := appendRecord(nil, &record{Op: Op{Kind: kindIndex, Number: l.AppliedIndex}})
	for _, name := range l.Tenants() {
		b = appendRecord(b, l.tenants[name].record(name))
	}
	for _, key := range l.AllAccounts() {
		account := l.accounts[key]
		op := Op{Kind: kindAccount, Key: key, Spent: account.Spent, Returned: account.Returned, Sequence: account.Sequence}
		b = appendRecord(b, &record{Op: op, granted: account.Granted, expired: account.Expired})
	}
	for _, holder := range slices.Sorted(maps.Keys(l.lastGeneration)) {
		key := Key{Holder: holder, Generation: l.lastGeneration[holder]}
		b = appendRecord(b, &record{Op: Op{Kind: kindHolder, Key: key}})
	}
	return b
}

func (t *Tenant) record(name string) *record {
	r := &record{
		Op:   Op{Kind: kindTenant, Key: Key{Tenant: name}, Spent: t.Spent},
		paid: t.Paid, balance: t.Balance, lent: t.Lent, stranded: t.Stranded, availableAtPayment: t.AvailableAtPayment,
	}
	for _, applied := range t.appliedPayments {
		r.appliedPayments = protowire.AppendVarint(r.appliedPayments, applied.from)
		r.appliedPayments = protowire.AppendVarint(r.appliedPayments, applied.to)
	}
	return r
}

// Restore replaces the ledger by that of a snapshot. On an error the ledger is unchanged.
func (l *Ledger) Restore(snapshot []byte) error {
	restored := New()
	restored.Checks = l.Checks
	if err := eachRecord(snapshot, restored.restoreRecord); err != nil {
		return err
	}
	if err := restored.Check(); err != nil {
		return err
	}
	*l = *restored
	return nil
}

func (l *Ledger) restoreRecord(r *record) error {
	switch r.Kind {
	case kindIndex:
		l.AppliedIndex = r.Number
	case kindTenant:
		applied, err := decodeRanges(r.appliedPayments)
		if err != nil {
			return err
		}
		l.tenants[r.Key.Tenant] = &Tenant{
			Paid: r.paid, Balance: r.balance, Lent: r.lent, Stranded: r.stranded, Spent: r.Spent,
			AvailableAtPayment: r.availableAtPayment, appliedPayments: applied,
		}
	case kindAccount:
		if l.accounts[r.Key] != nil {
			return ErrMalformed
		}
		*l.openAccount(r.Key) = Account{Granted: r.granted, Returned: r.Returned, Spent: r.Spent, Sequence: r.Sequence, Expired: r.expired}
	case kindHolder:
		l.lastGeneration[r.Key.Holder] = r.Key.Generation
	default:
		return ErrMalformed
	}
	return nil
}

// decodeRanges decodes ranges of payment numbers, each of which is a pair of varints.
func decodeRanges(b []byte) ([]numberRange, error) {
	var ranges []numberRange
	for len(b) > 0 {
		from, fromBytes := protowire.ConsumeVarint(b)
		if fromBytes < 0 {
			return nil, ErrMalformed
		}
		to, toBytes := protowire.ConsumeVarint(b[fromBytes:])
		if toBytes < 0 || to < from {
			return nil, ErrMalformed
		}
		ranges = append(ranges, numberRange{from: from, to: to})
		b = b[fromBytes+toBytes:]
	}
	return ranges, nil
}

// Clone returns an independent copy, for the model checker.
func (l *Ledger) Clone() *Ledger {
	clone := New()
	clone.AppliedIndex = l.AppliedIndex
	clone.Checks = l.Checks
	for name, tenant := range l.tenants {
		copied := *tenant
		copied.appliedPayments = slices.Clone(tenant.appliedPayments)
		clone.tenants[name] = &copied
	}
	for key, account := range l.accounts {
		*clone.openAccount(key) = *account
	}
	clone.lastGeneration = maps.Clone(l.lastGeneration)
	return clone
}
