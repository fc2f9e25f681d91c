package credit

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
)

// FuzzRead: whatever comes is read or turned down; what is read says the same when it is sent on.
func FuzzRead(f *testing.F) {
	k := ledger.Key{Tenant: "t", Depth: 5, Holder: 1 << 63, Gen: 7}
	f.Add((&Message{Who: 9, Asks: []message.Ask{{Key: k, Seq: 1, Spent: 2, Returned: 3, Want: 4, Need: 5, Rate: 6, Final: true, Heir: true, Rest: true}}}).Append(nil))
	f.Add((&Message{Who: 9, Reply: true, Leader: "p", Answers: []message.Answer{{Key: k, Seq: 1, Granted: 2, Closed: true, Ended: true, Left: -3, Full: 4, Call: true, Keep: 5}}}).Append(nil))
	f.Add((&Message{Digest: 77, Pays: []lessor.Pay{{Tenant: "t", No: 1 << 60, Amount: 5}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Read(b)
		if err != nil {
			return
		}
		again, err := Read(m.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(m, again); d != "" {
			t.Error(d)
		}
	})
}
