package credit

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
)

// TestBytes: a message's bytes are what poolers of other versions read.
func TestBytes(t *testing.T) {
	k := ledger.Key{Tenant: "t", Depth: 300, Holder: 3, Gen: 4}
	m := &Message{Who: 1, Reply: true, Leader: "l", Digest: 6, Pays: []lessor.Pay{{Tenant: "p", No: 2, Amount: 3}},
		Asks:    []message.Ask{{Key: k, Seq: 5, Spent: 6, Returned: 7, Want: 8, Need: 9, Rate: 10, Final: true, Heir: true, Rest: true}, {Key: k}},
		Answers: []message.Answer{{Key: k, Seq: 5, Granted: 12, Left: -13, Full: 14, Keep: 15, Closed: true, Ended: true, Call: true}, {Key: k}}}
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{m.Append(nil), "09010000000000000010011a016c221f0a017410ac02190300000000000000200428053006380740084809500a580722110a017410ac0219030000000000000020042a1d0a017410ac02190300000000000000200428055838600c6819700e780f2a110a017410ac0219030000000000000020043106000000000000003a070a017010021803"},
		{(&Message{}).Append([]byte{1}), "01090000000000000000"},
	} {
		if got := hex.EncodeToString(c.b); got != c.want {
			t.Errorf("%s, want %s", got, c.want)
		}
	}
	b := m.Append(nil)
	if got, err := Read(b); err != nil || hex.EncodeToString(got.Append(nil)) != hex.EncodeToString(b) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
