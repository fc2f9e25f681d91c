package journal

import (
	"encoding/hex"
	"testing"
)

// TestAttemptEncodingIsStable checks that the encoding of an attempt does not change, as attempts are stored on disk.
func TestAttemptEncodingIsStable(t *testing.T) {
	for _, c := range []struct {
		a    Attempt
		want string
	}{
		{Attempt{ID: "id", Server: "server", StartedAt: 1.5, Number: 300, Outcome: 2}, "0a026964120673657276657219000000000000f83f20ac022802"},
		{Attempt{}, "0a00120019000000000000000020002800"},
	} {
		b := c.a.encode()
		if got := hex.EncodeToString(b); got != c.want {
			t.Errorf("encoded attempt: got %s, want %s", got, c.want)
		}
		if got, err := decode(b); err != nil || got != c.a {
			t.Errorf("decoded attempt: got %+v, error %v; want %+v", got, err, c.a)
		}
	}
	complete := (&Attempt{ID: "id"}).encode()
	if _, err := decode(complete[:3]); err == nil || err.Error() != "journal: unexpected EOF" {
		t.Errorf("truncated attempt: error %v, want unexpected EOF", err)
	}
}
