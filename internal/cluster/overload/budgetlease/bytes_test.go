package budgetlease

import (
	"encoding/hex"
	"testing"
)

// TestMessageEncodingIsStable guards against a change of the encoding of messages, which poolers of other versions could not decode.
func TestMessageEncodingIsStable(t *testing.T) {
	items := []Item{{7, 1.5}, {1 << 30, 0}}
	for name, c := range map[string]struct {
		message interface{ Append([]byte) []byte }
		want    string
	}{
		"a transfer": {&Transfer{300, items}, "10ac02020760808080800400"},
		"a request":  {&TransferRequest{300, items}, "11ac02020760808080800400"},
	} {
		b := c.message.Append(nil)
		if got := hex.EncodeToString(b); got != c.want {
			t.Errorf("%s is encoded as %s, want %s", name, got, c.want)
		}
		if got, err := Decode(b); err != nil || hex.EncodeToString(got.(interface{ Append([]byte) []byte }).Append(nil)) != hex.EncodeToString(b) {
			t.Errorf("%s is decoded as %+v, error %v; want a message that is encoded as %x", name, got, err, b)
		}
	}
}
