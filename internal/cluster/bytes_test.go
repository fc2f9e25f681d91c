package cluster

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

type rawMessage []byte

func (message rawMessage) Append(b []byte) []byte { return append(b, message...) }

// fullEnvelope returns an envelope with a value in every field.
func fullEnvelope() *envelope {
	return &envelope{
		Message: view.Message{Kind: view.Gossip, From: 2, Sequence: 300, Target: 4, Records: []view.Record{
			{ID: 9, Name: "n", Addr: "1.2.3.4:5", Zone: "z", Region: "r", Version: "v", Incarnation: 7, State: 2, Draining: true}, {ID: 10, Name: "m", Addr: "a"}}},
		counts:  view.Counts{Reachable: 3, Sending: 2, Majority: true, Isolated: true},
		avoided: []module.AvoidedServer{{Server: "s", Reason: "silent", ReportedBy: []view.ID{1, 0}, UntilMs: 1.5}, {}},
		quota: &quota.Message{Kind: quota.LeaseAnswer, From: 2, To: 4, Items: []quota.Item{{LimitHash: 1 << 63, Sequence: 1, Epoch: 2, OwnerTime: 0.5, Vote: true, SoonEven: true, LastTaken: 3, UnitsInUse: 4, RemainingMs: 0.25,
			Demand: 8, Units: 5, Pool: 6, AllAccounted: true, Share: 0.125}, {}}},
		body: moduleBody{message: rawMessage("words")},
	}
}

// TestEnvelopeWireFormat: envelopes are encoded to fixed bytes, which poolers of other versions read, and decoded from them.
func TestEnvelopeWireFormat(t *testing.T) {
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{appendEnvelope(nil, fullEnvelope()), "080311020000000000000018ac022104000000000000002a2609090000000000000012016e1a09312e322e332e343a3522017a2a01723201763807400248012a0f090a0000000000000012016d1a01613208080310021801200152260a0173120673696c656e7419010000000000000019000000000000000021000000000000f83f52092100000000000000003a3f0900000000000000801001180221000000000000e03f280130013803400449000000000000d03f51000000000000204058056006680171000000000000c03f3a0909000000000000000040014a05776f726473"},
		{appendEnvelope([]byte{1}, &envelope{}), "01110000000000000000210000000000000000"},
		{testKey.seal(nil, &envelope{Message: view.Message{Kind: view.Ping, From: 1}}), "62677031113f210525cebfe908760bb3404e63d1110100000000000000210000000000000000"},
	} {
		if got := hex.EncodeToString(c.b); got != c.want {
			t.Errorf("envelope encoded as %s, want %s", got, c.want)
		}
	}
	b := appendEnvelope(nil, fullEnvelope())
	got, err := decodeEnvelope(b)
	if err != nil {
		t.Fatalf("decoding of an envelope with a value in every field: %v", err)
	}
	got.body.message = rawMessage(got.body.raw)
	if again := appendEnvelope(nil, got); hex.EncodeToString(again) != hex.EncodeToString(b) {
		t.Errorf("envelope decoded as %+v, which is encoded as %x, want %x", got, again, b)
	}
}
