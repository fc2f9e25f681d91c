package ledger

import (
	"encoding/hex"
	"testing"
)

// fullRecord returns a record with a value in each field.
func fullRecord() *record {
	key := Key{Tenant: "t", Overdraft: 300, Holder: 4, Generation: 5}
	op := Op{Kind: kindTenant, Key: key, Number: 6, Amount: 7, Spent: 8, Returned: 9, Sequence: 10, Recovered: true}
	return &record{Op: op,
		expired: true, granted: 13, paid: 14, balance: -15, lent: 16, stranded: 17, availableAtPayment: 18, appliedPayments: []byte{1, 2}}
}

// TestEntryAndSnapshotEncodingIsStable checks that the encoding of entries and snapshots remains that of other versions, which voters of
// those versions read and write.
func TestEntryAndSnapshotEncodingIsStable(t *testing.T) {
	ledger := New()
	ledger.Apply(1, Encode([]Op{{Kind: Payment, Key: Key{Tenant: "t"}, Number: 1, Amount: 100}}))
	ledger.Apply(2, Encode([]Op{
		{Kind: Grant, Key: Key{Tenant: "t", Overdraft: 3, Holder: 1, Generation: 1}, Sequence: 1, Amount: 5},
		{Kind: Fence, Key: Key{Holder: 9, Generation: 2}},
	}))
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{appendRecord(nil, fullRecord()), "0a35081112017418ac0221040000000000000028053006380740084809500a58016001680d700e781d8001108801119001129a01020102"},
		{appendRecord([]byte{1}, &record{}), "010a00"},
		{Encode([]Op{{Kind: Grant, Key: Key{Tenant: "t", Holder: 1, Generation: 1}, Sequence: 1, Amount: 5}, {Kind: CloseRemaining, Key: Key{Holder: 1}}}), "0a1408021201742101000000000000002801380550010a0b0807210100000000000000"},
		{ledger.Snapshot(), "0a04081330020a150811120174706478be018001059001649a010201010a16081012017418032101000000000000002801500168050a0d081221010000000000000028010a11081221090000000000000028ffffffff0f"},
	} {
		if got := hex.EncodeToString(c.b); got != c.want {
			t.Errorf("record, entry or snapshot encoded as %s, want %s", got, c.want)
		}
	}
	b := appendRecord(nil, fullRecord())
	var reencoded []byte
	if err := eachRecord(b, func(r *record) error { reencoded = appendRecord(reencoded, r); return nil }); err != nil || hex.EncodeToString(reencoded) != hex.EncodeToString(b) {
		t.Errorf("record decoded and encoded again: got %x, error %v; want %x", reencoded, err, b)
	}
	restored := New()
	if err := restored.Restore(ledger.Snapshot()); err != nil || hex.EncodeToString(restored.Snapshot()) != hex.EncodeToString(ledger.Snapshot()) {
		t.Errorf("snapshot of the restored ledger: got %x, error %v; want %x", restored.Snapshot(), err, ledger.Snapshot())
	}
}
