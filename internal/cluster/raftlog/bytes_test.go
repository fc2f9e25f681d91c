package raftlog

import (
	"encoding/hex"
	"testing"
)

// TestMessageEncodingIsStable checks that messages are encoded and decoded as by poolers of other versions.
func TestMessageEncodingIsStable(t *testing.T) {
	m := &message{kind: kindForwardResult, group: 2, from: 3, to: 4, name: "pooler", disk: 6, askerDisk: 7,
		ref: 300, index: 9, count: 10, chunk: 11, flag: true,
		members: []Member{{"a", 1}, {"b", 0}}, data: []byte("data")}
	for _, c := range []struct {
		b    []byte
		want string
	}{
		{m.encode(nil), "08061102000000000000001903000000000000002104000000000000002a06706f6f6c657231060000000000000039070000000000000040ac024809500a580b60016a0c0a01611101000000000000006a0c0a0162110000000000000000720464617461"},
		{(&message{}).encode([]byte{1}), "01"},
		{(&message{members: []Member{{}}}).encode(nil), "6a0b0a00110000000000000000"},
	} {
		if got := hex.EncodeToString(c.b); got != c.want {
			t.Errorf("message encoded as %s, want %s", got, c.want)
		}
	}
	b := m.encode(nil)
	if got, err := decodeMessage(b); err != nil || hex.EncodeToString(got.encode(nil)) != hex.EncodeToString(b) {
		t.Errorf("message decoded as %+v, error %v; want one that encodes to %x", got, err, b)
	}
}
