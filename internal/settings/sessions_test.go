package settings

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/storage/sessiontoken"
)

// TestSessionsSettings: sessions' commits have a folder and a mode, or one line says what is wrong.
func TestSessionsSettings(t *testing.T) {
	for in, want := range map[string]any{
		`(sessions (dir "/s") (mode alongside) (most 2m) (pace 64k))`: Sessions{Dir: "/s", Mode: sessiontoken.Alongside, MaxBytes: 2 << 20, CompactionBytesPerSecond: 64 << 10},
		`(sessions (dir "$NO"))`:             `o:1:1: sessions: (dir "FOLDER") is due, on a disk that survives`,
		`(sessions (dir "/s") (mode never))`: "o:1:28: before or alongside is due here",
	} {
		settings, err := Parse("o", []byte(in), func(string) string { return "" })
		var got any
		if got = err; err != nil {
			got = err.Error()
		} else {
			got = settings.Sessions
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q: %s", in, diff)
		}
	}
}
