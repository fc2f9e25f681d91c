package snapshots

import (
	"encoding/hex"
	"reflect"
	"testing"
)

// TestRecordEncodingIsStable checks that the encoding of a record does not change, as records are stored on disk. A truncated record is
// rejected.
func TestRecordEncodingIsStable(t *testing.T) {
	const want = "09000000000000f83f120466726f6d1a04626f6479"
	r := &Record{SavedMs: 1.5, Source: "from", Body: []byte("body")}
	b := r.encode()
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("encoded record: got %s, want %s", got, want)
	}
	if got, err := decode(b); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("decoded record: got %+v, error %v; want %+v", got, err, r)
	}
	for cut := range b {
		if got, err := decode(b[:cut]); err == nil {
			t.Errorf("cut at byte %d: decoded as %+v, want an error", cut, got)
		}
	}
}
