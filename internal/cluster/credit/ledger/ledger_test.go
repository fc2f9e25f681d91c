package ledger

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// TestPaymentsCountOnceInAnyOrder checks that payments that are applied in random order, some repeatedly, count once each.
func TestPaymentsCountOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ledger, sum, seen := New(), int64(0), map[uint64]bool{}
		ledger.Checks = invariant.Test(r)
		for i, number := range rapid.SliceOfN(rapid.Uint64Range(0, 40), 1, 200).Draw(r, "numbers") {
			if !seen[number] {
				seen[number], sum = true, sum+int64(number)+1
			}
			ledger.Apply(uint64(i+1), Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: number, Amount: int64(number) + 1}}))
		}
		if got := ledger.Tenant("t").Paid; got != sum {
			r.Fatalf("tenant t paid %d, want %d", got, sum)
		}
		if n := len(ledger.tenants["t"].appliedPayments); n > len(seen) {
			r.Fatalf("%d ranges for %d payment numbers, want at most one for each", n, len(seen))
		}
	})
}

// TestInvariantsHoldForRandomEntries checks the invariants after random entries, each of which is applied twice. It also checks that a
// second ledger that is sometimes restored from a snapshot instead of applying an entry remains equal.
func TestInvariantsHoldForRandomEntries(t *testing.T) {
	tenants := []string{"a", "b"}
	rapid.Check(t, func(r *rapid.T) {
		ledger, other := New(), New()
		ledger.Checks = invariant.Test(r)
		index := uint64(0)
		for range rapid.IntRange(1, 60).Draw(r, "entries") {
			var ops []Op
			for range rapid.IntRange(1, 4).Draw(r, "ops") {
				op := Op{Kind: Kind(rapid.IntRange(int(Payment), int(CloseRemaining)).Draw(r, "kind")), Number: rapid.Uint64Range(0, 5).Draw(r, "number"),
					Amount: rapid.Int64Range(1, 50).Draw(r, "amount"),
					Spent:  rapid.Int64Range(0, 60).Draw(r, "spent"), Returned: rapid.Int64Range(0, 60).Draw(r, "returned"),
					Sequence: uint32(rapid.IntRange(1, 5).Draw(r, "sequence")), Recovered: rapid.Bool().Draw(r, "recovered")}
				op.Key = Key{Tenant: rapid.SampledFrom(tenants).Draw(r, "tenant"), Overdraft: rapid.SampledFrom([]int64{0, 0, 20}).Draw(r, "overdraft"),
					Holder: rapid.Uint64Range(1, 3).Draw(r, "holder"), Generation: uint32(rapid.IntRange(1, 4).Draw(r, "generation"))}
				if op.Kind >= Fence {
					op.Key.Tenant = ""
				}
				ops = append(ops, op)
			}
			index++
			entry := Encode(ops)
			ledger.Apply(index, entry)
			ledger.Apply(index, entry) // the second application has no effect
			if rapid.IntRange(0, 5).Draw(r, "restore") == 0 {
				if err := other.Restore(ledger.Snapshot()); err != nil {
					r.Fatalf("restore from the snapshot after entry %d: %v", index, err)
				}
			} else {
				other.Apply(index, entry)
			}
			if err := ledger.Check(); err != nil {
				r.Fatalf("ledger after entry %d: %v", index, err)
			}
			for _, name := range ledger.Tenants() {
				if tenant := ledger.Tenant(name); tenant.Balance < -20 {
					r.Fatalf("tenant %q has a balance of %d, want at least -20", name, tenant.Balance)
				}
			}
			if !bytes.Equal(ledger.Snapshot(), other.Snapshot()) {
				r.Fatalf("after entry %d the ledgers of two voters with the same entries differ", index)
			}
		}
	})
}

// TestSnapshotKeepsNegativeAvailableFunds checks that a snapshot preserves a tenant that has spent more than it paid, within its overdraft,
// and whose available funds are negative after a payment.
func TestSnapshotKeepsNegativeAvailableFunds(t *testing.T) {
	ledger, other := New(), New()
	key := Key{Tenant: "a", Overdraft: 20, Holder: 1, Generation: 1}
	for i, op := range []Op{
		{Kind: Payment, Key: Key{Tenant: "a"}, Number: 0, Amount: 1},
		{Kind: Grant, Key: key, Sequence: 1, Amount: 3},
		{Kind: Grant, Key: key, Sequence: 2, Amount: 1, Spent: 3},
		{Kind: Payment, Key: Key{Tenant: "a"}, Number: 1, Amount: 1},
	} {
		ledger.Apply(uint64(i+1), Encode([]Op{op}))
	}
	if available := ledger.Tenant("a").AvailableAtPayment; available != -1 {
		t.Fatalf("%d available after the last payment, want -1", available)
	}
	if err := other.Restore(ledger.Snapshot()); err != nil {
		t.Fatalf("restore from a snapshot with negative available funds: %v", err)
	}
	if diff := cmp.Diff(ledger.Tenant("a"), other.Tenant("a"), cmp.AllowUnexported(Tenant{}, numberRange{})); diff != "" {
		t.Errorf("tenant a of the restored ledger (-want +got):\n%s", diff)
	}
}

// TestBrokenInvariantsAreReported checks that a state that breaks both invariants of the ledger is reported for each.
func TestBrokenInvariantsAreReported(t *testing.T) {
	var seen []string
	ledger := New()
	ledger.Checks = invariant.New(func(b invariant.Breach) { seen = append(seen, b.Name) })
	pay := func(i uint64) {
		ledger.Apply(i, Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: i, Amount: 5}}))
	}
	pay(1)
	ledger.tenants["t"].Balance++
	for i := range uint64(changesPerWalk) {
		pay(i + 2)
	}
	if diff := cmp.Diff([]string{"credit: paid = balance + lent + stranded + spent", "credit: ledger totals agree with the accounts"}, seen); diff != "" {
		t.Errorf("reported breaches (-want +got):\n%s", diff)
	}
}

// TestLateGrantOpensNoAccount checks that a grant that is applied after its account's final report opens no account, and that grants and
// expiries with an old sequence number have no effect.
func TestLateGrantOpensNoAccount(t *testing.T) {
	ledger := New()
	key := Key{Tenant: "t", Holder: 7, Generation: 1}
	apply := func(op Op) Result {
		return ledger.Apply(ledger.AppliedIndex+1, Encode([]Op{op}))[0]
	}
	apply(Op{Kind: Payment, Key: Key{Tenant: "t"}, Number: 1, Amount: 100})
	if r := apply(Op{Kind: Close, Key: key, Spent: 0}); !r.Closed {
		t.Error("Close of an account that was never opened is not reported as closed")
	}
	if r := apply(Op{Kind: Grant, Key: key, Sequence: 1, Amount: 10}); !r.Closed || ledger.Tenant("t").Lent != 0 {
		t.Errorf("grant after the final report: got %+v, lent %d; want the account closed and nothing lent", r, ledger.Tenant("t").Lent)
	}
	key.Generation = 2
	apply(Op{Kind: Grant, Key: key, Sequence: 3, Amount: 10})
	apply(Op{Kind: Grant, Key: key, Sequence: 3, Amount: 10})
	apply(Op{Kind: Grant, Key: key, Sequence: 2, Amount: 10})
	if a, _ := ledger.Account(key); a.Granted != 10 {
		t.Errorf("granted %d by one request that was applied twice and an older one, want 10", a.Granted)
	}
	apply(Op{Kind: Expire, Key: key, Sequence: 2})
	if a, _ := ledger.Account(key); a.Expired {
		t.Error("the account expired by the sequence number of a request that is not the last")
	}
	apply(Op{Kind: Expire, Key: key, Sequence: 3})
	if r := apply(Op{Kind: Close, Key: key, Spent: 4}); !r.Applied || ledger.Tenant("t").Spent != 4 || ledger.Tenant("t").Stranded != 0 || ledger.Tenant("t").Balance != 96 {
		t.Errorf("after the final report: applied %v, tenant %+v; want it applied, and spent 4, stranded 0, balance 96", r.Applied, ledger.Tenant("t"))
	}
}

// FuzzDecode checks that entries and snapshots of random bytes leave the ledger consistent and cause no panic.
func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Op{{Kind: Grant, Key: Key{Tenant: "t", Holder: 1, Generation: 1}, Sequence: 1, Amount: 5}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		ledger := New()
		ledger.Checks = invariant.Test(t)
		ledger.Apply(1, Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: 1, Amount: 100}}))
		ledger.Apply(2, b)
		if err := ledger.Check(); err != nil {
			t.Errorf("ledger after an entry of random bytes: %v", err)
		}
		_ = New().Restore(b)
	})
}
