package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
)

// TestDurableStoreSettings checks that the journal and the store of sessions have the same settings, and that errors name the store
// that they are about.
func TestDurableStoreSettings(t *testing.T) {
	for in, want := range map[string]Durable[string]{
		`(dir "/x")`:                              {"/x", "before", 64 << 20, 0},
		`(dir "/x") (mode before)`:                {"/x", "before", 64 << 20, 0},
		`(dir "$D/x") (mode alongside) (most 1m)`: {"/d/x", "alongside", 1 << 20, 0},
		`(dir "/x") (most 2g) (pace 3m)`:          {"/x", "before", 2 << 30, 3 << 20},
	} {
		settings, err := Parse("o", []byte("(journal "+in+")\n(sessions "+in+")"), func(string) string { return "/d" })
		if err != nil {
			t.Errorf("parse %s: %v", in, err)
			continue
		}
		j, s := settings.Journal, settings.Sessions
		if diff := cmp.Diff(want, Durable[string]{j.Dir, j.Mode.String(), j.MaxBytes, j.CompactionBytesPerSecond}); diff != "" {
			t.Errorf("journal %s (-want +got):\n%s", in, diff)
		}
		if diff := cmp.Diff(want, Durable[string]{s.Dir, s.Mode.String(), s.MaxBytes, s.CompactionBytesPerSecond}); diff != "" {
			t.Errorf("sessions %s (-want +got):\n%s", in, diff)
		}
	}
	for in, want := range map[string]string{
		`(journal)`:  `o:1:1: journal: (dir "FOLDER"), on a disk that survives restarts, is missing`,
		`(sessions)`: `o:1:1: sessions: (dir "FOLDER"), on a disk that survives restarts, is missing`,
	} {
		if _, err := Parse("o", []byte(in), nil); err == nil || err.Error() != want {
			t.Errorf("%s: error %v, want %q", in, err, want)
		}
	}
	if settings, err := Parse("o", nil, nil); err != nil || settings.Journal.Mode != journal.BeforeSend || settings.Journal.Dir != "" || settings.Sessions.Mode != sessiontoken.BeforeAnswer || settings.Sessions.Dir != "" {
		t.Errorf("settings of an empty file: journal %+v, sessions %+v, error %v; want the default modes and no folders", settings.Journal, settings.Sessions, err)
	}
}

// TestJournalSettings checks the values and errors of (journal ...).
func TestJournalSettings(t *testing.T) {
	settings, err := Parse("o", []byte(`(journal (dir "$D/j") (mode alongside) (most 5m) (pace 2m))`), func(string) string { return "/d" })
	if err != nil {
		t.Fatalf("parse (journal ...): %v", err)
	}
	if diff := cmp.Diff(Journal{
		Dir:                      "/d/j",
		Mode:                     journal.Alongside,
		MaxBytes:                 5 << 20,
		CompactionBytesPerSecond: 2 << 20,
	}, settings.Journal); diff != "" {
		t.Errorf("values of (journal ...) (-want +got):\n%s", diff)
	}
	for in, want := range map[string]string{
		`(journal)`:                            "o:1:1: journal: (dir",
		`(journal (dir "x") (mode sometimes))`: "o:1:26: expected before or alongside",
		`(journal (dir "x") (most 5))`:         "o:1:26: 5 is out of range",
		`(journal (dir "x") (pace 5))`:         "o:1:26: 5 is out of range",
	} {
		if _, err := Parse("o", []byte(in), nil); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v, want one that begins with %q", in, err, want)
		}
	}
}

// TestSessionsSettings checks the values and errors of (sessions ...).
func TestSessionsSettings(t *testing.T) {
	for in, want := range map[string]any{
		`(sessions (dir "/s") (mode alongside) (most 2m) (pace 64k))`: Sessions{
			Dir:                      "/s",
			Mode:                     sessiontoken.Alongside,
			MaxBytes:                 2 << 20,
			CompactionBytesPerSecond: 64 << 10,
		},
		`(sessions (dir "$NO"))`:             `o:1:1: sessions: (dir "FOLDER"), on a disk that survives restarts, is missing`,
		`(sessions (dir "/s") (mode never))`: "o:1:28: expected before or alongside",
	} {
		settings, err := Parse("o", []byte(in), func(string) string { return "" })
		var got any
		if got = err; err != nil {
			got = err.Error()
		} else {
			got = settings.Sessions
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", in, diff)
		}
	}
}
