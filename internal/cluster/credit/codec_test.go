package credit

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
)

// FuzzDecodeMessage checks that random bytes decode to a message or an error, and that a decoded message is unchanged after it is encoded
// and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	key := ledger.Key{Tenant: "t", Overdraft: 5, Holder: 1 << 63, Generation: 7}
	f.Add((&Message{Holder: 9, Requests: []message.Request{{
		Key: key, Sequence: 1, Spent: 2, Returned: 3, Requested: 4, Queued: 5, SpendRate: 6, Final: true, Recovered: true, MarksRead: true,
	}}}).Append(nil))
	f.Add((&Message{Holder: 9, Reply: true, Leader: "p", Responses: []message.Response{{
		Key: key, Sequence: 1, Granted: 2, Closed: true, Expired: true, Available: -3, AvailableAtPayment: 4, Recall: true, Retain: 5,
	}}}).Append(nil))
	f.Add((&Message{PaymentDigest: 77, Payments: []lessor.Payment{{Tenant: "t", Number: 1 << 60, Amount: 5}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := DecodeMessage(m.Append(nil))
		if err != nil {
			t.Fatalf("decoding of a message that was decoded and encoded again: %v; the message is %+v", err, m)
		}
		if diff := cmp.Diff(m, again); diff != "" {
			t.Errorf("message after it was encoded and decoded again (-want +got):\n%s", diff)
		}
	})
}
