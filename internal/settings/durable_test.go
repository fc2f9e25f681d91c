package settings

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
)

// TestCompactionRateSettings: the journal and the sessions' commits are set alike, and an error names which of them it is about.
func TestCompactionRateSettings(t *testing.T) {
	for in, want := range map[string]Durable[string]{
		`(dir "/x")`:                              {"/x", "before", 64 << 20, 0},
		`(dir "/x") (mode before)`:                {"/x", "before", 64 << 20, 0},
		`(dir "$D/x") (mode alongside) (most 1m)`: {"/d/x", "alongside", 1 << 20, 0},
		`(dir "/x") (most 2g) (pace 3m)`:          {"/x", "before", 2 << 30, 3 << 20},
	} {
		settings, err := Parse("o", []byte("(journal "+in+")\n(sessions "+in+")"), func(string) string { return "/d" })
		if err != nil {
			t.Errorf("%s: %v", in, err)
			continue
		}
		j, c := settings.Journal, settings.Sessions
		if diff := cmp.Diff(want, Durable[string]{j.Dir, j.Mode.String(), j.MaxBytes, j.CompactionBytesPerSecond}); diff != "" {
			t.Errorf("journal %s: %s", in, diff)
		}
		if diff := cmp.Diff(want, Durable[string]{c.Dir, c.Mode.String(), c.MaxBytes, c.CompactionBytesPerSecond}); diff != "" {
			t.Errorf("sessions %s: %s", in, diff)
		}
	}
	for in, want := range map[string]string{
		`(journal)`:  `o:1:1: journal: (dir "FOLDER") is due, on a disk that survives`,
		`(sessions)`: `o:1:1: sessions: (dir "FOLDER") is due, on a disk that survives`,
	} {
		if _, err := Parse("o", []byte(in), nil); err == nil || err.Error() != want {
			t.Errorf("%s: %v", in, err)
		}
	}
	if settings, err := Parse("o", nil, nil); err != nil || settings.Journal.Mode != journal.BeforeSend || settings.Journal.Dir != "" || settings.Sessions.Mode != sessiontoken.BeforeAnswer || settings.Sessions.Dir != "" {
		t.Errorf("of nothing: %+v, %+v, %v", settings.Journal, settings.Sessions, err)
	}
}
