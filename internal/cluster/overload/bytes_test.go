package overload

import (
	"encoding/hex"
	"testing"
)

// sampleMessages returns a message of each kind with a value in each field.
func sampleMessages() []interface{ Append([]byte) []byte } {
	return []interface{ Append([]byte) []byte }{
		&LoadReport{Sequence: 300, CollectorTime: 1.5, HeldMs: 2, Work: []KeyedValue{{1, 0.5}, {2, 0}}, Groups: []GroupLoad{{Group: 7, Budget: 8, Level: 0.5,
			Classes: []ClassLoad{{1, 2, 3, 4, 5, 6, 7, 8}, {Key: 2}}, Tenants: []KeyedValue{{3, 4.5}}}, {Group: 1 << 30}}},
		&ShedDecisions{Sequence: 300, CollectorTime: 1.5, Order: []uint16{1, 0xffff}, Groups: []ShedDecision{{Group: 7, Budget: 8, Level: 0.5, BeyondQuota: []KeyedValue{{1, 1}, {2, 0}}}, {}}},
		&ProbeRequest{"server", 300},
		&ProbeResult{Server: "server", Sequence: 300, StartedMsAgo: 1.5, Finding: Finding{Result: InProgress, Kind: 2, Role: 1, Position: 17.25}},
	}
}

// TestMessageEncodingIsStable guards against a change of the encoding of messages, which poolers of other versions could not decode.
func TestMessageEncodingIsStable(t *testing.T) {
	want := []string{
		"01ac02dc0bd00f020001780002000207410000003f000000020100018001c0018002c0028003c00380040002000000000000000003a002808080800400000000000000000000",
		"02ac02dc0b020001ffff0207410000003f000000020001ff00020000000000000000000000",
		"0306736572766572ac02",
		"0406736572766572ac02dc0b020201e28601",
	}
	for i, m := range sampleMessages() {
		b := m.Append(nil)
		if got := hex.EncodeToString(b); got != want[i] {
			t.Errorf("%T is encoded as %s, want %s", m, got, want[i])
		}
		if got, err := Decode(b); err != nil || hex.EncodeToString(got.(interface{ Append([]byte) []byte }).Append(nil)) != hex.EncodeToString(b) {
			t.Errorf("%T is decoded as %+v, error %v; want a message that is encoded as %x", m, got, err, b)
		}
		if _, err := Decode(append(b, 0)); err == nil {
			t.Errorf("%T with a byte after its end is decoded without an error", m)
		}
		for cut := range b {
			if x, err := Decode(b[:cut]); err == nil {
				t.Errorf("%T cut to %d bytes is decoded as %+v, want an error", m, cut, x)
			}
		}
	}
}
