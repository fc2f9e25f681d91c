package ledger

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// TestPaymentsCountOnceInAnyOrder applies payments in any order and as often as drawn: each counts once.
func TestPaymentsCountOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l, sum, seen := New(), int64(0), map[uint64]bool{}
		l.Checks = invariant.Test(r)
		for i, no := range rapid.SliceOfN(rapid.Uint64Range(0, 40), 1, 200).Draw(r, "numbers") {
			if !seen[no] {
				seen[no], sum = true, sum+int64(no)+1
			}
			l.Apply(uint64(i+1), Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: no, Amount: int64(no) + 1}}))
		}
		if got := l.Tenant("t").Paid; got != sum {
			r.Fatalf("paid %d, want %d", got, sum)
		}
		if n := len(l.tenants["t"].appliedPayments); n > len(seen) {
			r.Fatalf("%d spans for %d numbers", n, len(seen))
		}
	})
}

// TestInvariantsHoldForDrawnEntries applies drawn entries, some of them twice and out of order; a second ledger that is restored from
// snapshots now and then stays equal.
func TestInvariantsHoldForDrawnEntries(t *testing.T) {
	tenants := []string{"a", "b"}
	rapid.Check(t, func(r *rapid.T) {
		l, other := New(), New()
		l.Checks = invariant.Test(r)
		index := uint64(0)
		for range rapid.IntRange(1, 60).Draw(r, "entries") {
			var ops []Op
			for range rapid.IntRange(1, 4).Draw(r, "ops") {
				op := Op{Kind: Kind(rapid.IntRange(int(Payment), int(CloseRemaining)).Draw(r, "kind")), Number: rapid.Uint64Range(0, 5).Draw(r, "no"),
					Amount: rapid.Int64Range(1, 50).Draw(r, "amount"),
					Spent:  rapid.Int64Range(0, 60).Draw(r, "spent"), Returned: rapid.Int64Range(0, 60).Draw(r, "returned"),
					Sequence: uint32(rapid.IntRange(1, 5).Draw(r, "seq")), Recovered: rapid.Bool().Draw(r, "heir")}
				op.Key = Key{Tenant: rapid.SampledFrom(tenants).Draw(r, "tenant"), Overdraft: rapid.SampledFrom([]int64{0, 0, 20}).Draw(r, "depth"),
					Holder: rapid.Uint64Range(1, 3).Draw(r, "holder"), Generation: uint32(rapid.IntRange(1, 4).Draw(r, "gen"))}
				if op.Kind >= Fence {
					op.Key.Tenant = ""
				}
				ops = append(ops, op)
			}
			index++
			entry := Encode(ops)
			l.Apply(index, entry)
			l.Apply(index, entry) // a second time it is none
			if rapid.IntRange(0, 5).Draw(r, "copy") == 0 {
				if err := other.Restore(l.Snapshot()); err != nil {
					r.Fatal(err)
				}
			} else {
				other.Apply(index, entry)
			}
			if err := l.Check(); err != nil {
				r.Fatal(err)
			}
			for _, name := range l.Tenants() {
				if x := l.Tenant(name); x.Balance < -20 {
					r.Fatalf("tenant %q is %d below nothing, 20 at most", name, -x.Balance)
				}
			}
			if !bytes.Equal(l.Snapshot(), other.Snapshot()) {
				r.Fatal("two voters that have the same entries have other books")
			}
		}
	})
}

// TestSnapshotKeepsATenantInDebt checks a tenant that has spent more than it paid, within its overdraft, so that less than nothing is
// available after a payment: a ledger that is restored from a snapshot has the same.
func TestSnapshotKeepsATenantInDebt(t *testing.T) {
	l, other := New(), New()
	key := Key{Tenant: "a", Overdraft: 20, Holder: 1, Generation: 1}
	for i, op := range []Op{
		{Kind: Payment, Key: Key{Tenant: "a"}, Number: 0, Amount: 1},
		{Kind: Grant, Key: key, Sequence: 1, Amount: 3},
		{Kind: Grant, Key: key, Sequence: 2, Amount: 1, Spent: 3},
		{Kind: Payment, Key: Key{Tenant: "a"}, Number: 1, Amount: 1},
	} {
		l.Apply(uint64(i+1), Encode([]Op{op}))
	}
	if full := l.Tenant("a").AvailableAtPayment; full != -1 {
		t.Fatalf("the last payment left %d, want -1", full)
	}
	if err := other.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.Tenant("a"), other.Tenant("a"), cmp.AllowUnexported(Tenant{}, numberRange{})); diff != "" {
		t.Error(diff)
	}
}

// TestBrokenInvariantsAreReported breaks the state for each invariant of the ledger.
func TestBrokenInvariantsAreReported(t *testing.T) {
	var seen []string
	l := New()
	l.Checks = invariant.New(func(b invariant.Breach) { seen = append(seen, b.Name) })
	pay := func(i uint64) { l.Apply(i, Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: i, Amount: 5}})) }
	pay(1)
	l.tenants["t"].Balance++
	for i := range uint64(changesPerWalk) {
		pay(i + 2)
	}
	if diff := cmp.Diff([]string{"credit: paid is balance, lent, stranded and spent", "credit: the books agree"}, seen); diff != "" {
		t.Error(diff)
	}
}

// TestLateGrantOpensNothing checks that a grant that comes after its account's final report opens nothing, and that of two grants or expiries
// the older changes nothing.
func TestLateGrantOpensNothing(t *testing.T) {
	l := New()
	k := Key{Tenant: "t", Holder: 7, Generation: 1}
	do := func(op Op) Result {
		return l.Apply(l.AppliedIndex+1, Encode([]Op{op}))[0]
	}
	do(Op{Kind: Payment, Key: Key{Tenant: "t"}, Number: 1, Amount: 100})
	if r := do(Op{Kind: Close, Key: k, Spent: 0}); !r.Closed {
		t.Error("an account that never was is not said to be closed")
	}
	if r := do(Op{Kind: Grant, Key: k, Sequence: 1, Amount: 10}); !r.Closed || l.Tenant("t").Lent != 0 {
		t.Errorf("a loan came back to life: %+v", r)
	}
	k.Generation = 2
	do(Op{Kind: Grant, Key: k, Sequence: 3, Amount: 10})
	do(Op{Kind: Grant, Key: k, Sequence: 3, Amount: 10})
	do(Op{Kind: Grant, Key: k, Sequence: 2, Amount: 10})
	if a, _ := l.Account(k); a.Granted != 10 {
		t.Errorf("lent %d by one ask, want 10", a.Granted)
	}
	do(Op{Kind: Expire, Key: k, Sequence: 2})
	if a, _ := l.Account(k); a.Expired {
		t.Error("an end came for an ask that was not the last")
	}
	do(Op{Kind: Expire, Key: k, Sequence: 3})
	if r := do(Op{Kind: Close, Key: k, Spent: 4}); !r.Applied || l.Tenant("t").Spent != 4 || l.Tenant("t").Stranded != 0 || l.Tenant("t").Balance != 96 {
		t.Errorf("after the last word: %+v", l.Tenant("t"))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Op{{Kind: Grant, Key: Key{Tenant: "t", Holder: 1, Generation: 1}, Sequence: 1, Amount: 5}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		l := New()
		l.Checks = invariant.Test(t)
		l.Apply(1, Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: 1, Amount: 100}}))
		l.Apply(2, b)
		if err := l.Check(); err != nil {
			t.Error(err)
		}
		_ = New().Restore(b)
	})
}
