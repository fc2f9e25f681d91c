package journal

import (
	"encoding/hex"
	"testing"
)

// TestAttemptBytesStay checks that the bytes of an attempt stay as they are on disks.
func TestAttemptBytesStay(t *testing.T) {
	for _, c := range []struct {
		a    Attempt
		want string
	}{
		{Attempt{ID: "id", Server: "server", StartedAt: 1.5, Number: 300, Outcome: 2}, "0a026964120673657276657219000000000000f83f20ac022802"},
		{Attempt{}, "0a00120019000000000000000020002800"},
	} {
		b := c.a.encode()
		if got := hex.EncodeToString(b); got != c.want {
			t.Errorf("%s, want %s", got, c.want)
		}
		if got, err := decode(b); err != nil || got != c.a {
			t.Errorf("read as %+v, %v", got, err)
		}
	}
	whole := (&Attempt{ID: "id"}).encode()
	if _, err := decode(whole[:3]); err == nil || err.Error() != "journal: unexpected EOF" {
		t.Errorf("of what was cut: %v", err)
	}
}
