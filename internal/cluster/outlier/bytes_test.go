package outlier

import (
	"encoding/hex"
	"testing"
)

// wholeWords have something in each field.
func wholeWords() []interface{ Append([]byte) []byte } {
	return []interface{ Append([]byte) []byte }{
		&Tell{Seq: 300, Items: []Item{{Key: 1 << 31, Answered: 1.5, N: 2, First: 9, Last: 8, Work: 7, Said: Said{Leads, 1e12}, SaidAge: 3}, {Key: 2, Answered: -1}}},
		&Word{Seq: 300, Items: []Sum{{Key: 9, Answered: -1, Bad: true, All: true, Zones: []uint32{4, 5}, First: 20, Last: 10.5, By: []ID{1, 1 << 60}, Said: Said{Follows, 1e12}, SaidAge: 3},
			{Key: 10, Answered: 4, Said: Said{Unsaid, 1e12 - 70.5}, SaidAge: 1}}},
	}
}

// TestBytes: a message's bytes are what poolers of other versions read.
func TestBytes(t *testing.T) {
	want := []string{
		"010000012c80a094a58d1d8000000019025a5046001e0f000000020000",
		"020000012c80a094a58d1d000000096a0202000000040000000500000000000000011000000000000000c80169001e0000000a18c1050a28",
	}
	for i, m := range wholeWords() {
		b := m.Append(nil)
		if got := hex.EncodeToString(b); got != want[i] {
			t.Errorf("%s, want %s", got, want[i])
		}
		if got, err := Read(b); err != nil || hex.EncodeToString(got.(interface{ Append([]byte) []byte }).Append(nil)) != hex.EncodeToString(b) {
			t.Errorf("read as %+v, %v", got, err)
		}
	}
}
