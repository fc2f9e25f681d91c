package snapshots

import (
	"encoding/hex"
	"reflect"
	"testing"
)

// TestRecordBytesStay checks that the bytes of a record stay as they are on disks.
func TestRecordBytesStay(t *testing.T) {
	const want = "09000000000000f83f120466726f6d1a04626f6479"
	r := &Record{SavedMs: 1.5, Source: "from", Body: []byte("body")}
	b := r.encode()
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if got, err := decode(b); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("read as %+v, %v", got, err)
	}
	for cut := range b {
		if x, err := decode(b[:cut]); err == nil {
			t.Errorf("cut at %d it is read as %+v", cut, x)
		}
	}
}
