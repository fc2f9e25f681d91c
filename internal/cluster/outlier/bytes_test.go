package outlier

import (
	"encoding/hex"
	"testing"
)

// sampleMessages returns a message of each kind with a value in each field.
func sampleMessages() []interface{ Append([]byte) []byte } {
	return []interface{ Append([]byte) []byte }{
		&Observations{Sequence: 300, Items: []Observation{{Key: 1 << 31, Answered: 1.5, Unanswered: 2, FirstUnanswered: 9, LastUnanswered: 8, Work: 7, Report: ServerReport{RolePrimary, 1e12}, ReportAge: 3}, {Key: 2, Answered: -1}}},
		&Assessments{Sequence: 300, Items: []Assessment{{Key: 9, Answered: -1, Unhealthy: true, AllZones: true, Zones: []uint32{4, 5}, FirstUnanswered: 20, LastUnanswered: 10.5, Observers: []ID{1, 1 << 60}, Report: ServerReport{RoleReplica, 1e12}, ReportAge: 3},
			{Key: 10, Answered: 4, Report: ServerReport{RoleUnknown, 1e12 - 70.5}, ReportAge: 1}}},
	}
}

// TestMessageEncodingIsStable guards against a change of the encoding of messages, which poolers of other versions could not decode.
func TestMessageEncodingIsStable(t *testing.T) {
	want := []string{
		"010000012c80a094a58d1d8000000019025a5046001e0f000000020000",
		"020000012c80a094a58d1d000000096a0202000000040000000500000000000000011000000000000000c80169001e0000000a18c1050a28",
	}
	for i, m := range sampleMessages() {
		b := m.Append(nil)
		if got := hex.EncodeToString(b); got != want[i] {
			t.Errorf("%T is encoded as %s, want %s", m, got, want[i])
		}
		if got, err := Decode(b); err != nil || hex.EncodeToString(got.(interface{ Append([]byte) []byte }).Append(nil)) != hex.EncodeToString(b) {
			t.Errorf("%T is decoded as %+v, error %v; want a message that is encoded as %x", m, got, err, b)
		}
	}
}
