package credit

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
)

// TestMessageEncodingIsStable checks that the encoding of a message remains that of other versions, which poolers of those versions read
// and write.
func TestMessageEncodingIsStable(t *testing.T) {
	key := ledger.Key{Tenant: "t", Overdraft: 300, Holder: 3, Generation: 4}
	original := &Message{Holder: 1, Reply: true, Leader: "l", PaymentDigest: 6, Payments: []lessor.Payment{{Tenant: "p", Number: 2, Amount: 3}},
		Requests: []message.Request{{
			Key: key, Sequence: 5, Spent: 6, Returned: 7, Requested: 8, Queued: 9, SpendRate: 10, Final: true, Recovered: true, MarksRead: true,
		}, {Key: key}},
		Responses: []message.Response{{
			Key: key, Sequence: 5, Granted: 12, Available: -13, AvailableAtPayment: 14, Retain: 15, Closed: true, Expired: true, Recall: true,
		}, {Key: key}}}
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{original.Append(nil), "09010000000000000010011a016c221f0a017410ac02190300000000000000200428053006380740084809500a580722110a017410ac0219030000000000000020042a1d0a017410ac02190300000000000000200428055838600c6819700e780f2a110a017410ac0219030000000000000020043106000000000000003a070a017010021803"},
		{(&Message{}).Append([]byte{1}), "01090000000000000000"},
	} {
		if got := hex.EncodeToString(c.b); got != c.want {
			t.Errorf("message encoded as %s, want %s", got, c.want)
		}
	}
	b := original.Append(nil)
	if got, err := DecodeMessage(b); err != nil || hex.EncodeToString(got.Append(nil)) != hex.EncodeToString(b) {
		t.Errorf("message decoded as %+v, error %v; want one that encodes to %x", got, err, b)
	}
}
