package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/endpoints/reconcile"
)

var file = &File{
	SavedAtMs: 1.7e12,
	Entries: []reconcile.Entry{
		{ID: "a", Address: "10.0.0.1:5432", Group: 3, Zone: "z", Weight: 2, StartedAtMs: 1e12, Primary: true},
		{ID: "b\n", Address: "10.0.0.2:5432", State: reconcile.StateDraining},
	},
}

// TestTruncatedOrCorruptSnapshotIsRejected checks that a snapshot that is truncated, has a changed byte or is followed by another
// byte is rejected, and that an intact one is read.
func TestTruncatedOrCorruptSnapshotIsRejected(t *testing.T) {
	b, err := Append(nil, file)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(b) {
		if f, err := Parse(b[:n]); f != nil || !errors.Is(err, ErrIncomplete) && !errors.Is(err, ErrFormat) {
			t.Fatalf("truncated to %d bytes: %+v %v", n, f, err)
		}
		flipped := bytes.Clone(b)
		flipped[n] ^= 0x20
		if f, err := Parse(flipped); err == nil && !cmp.Equal(f, file) {
			t.Fatalf("byte %d changed: %+v", n, f)
		}
	}
	if f, err := Parse(append(b, 'x')); f != nil || !errors.Is(err, ErrIncomplete) {
		t.Errorf("with a trailing byte: %+v %v", f, err)
	}
	f, err := Parse(b)
	if diff := cmp.Diff(file, f); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFileIsReplacedAndRead checks that a file is replaced completely, that a missing file is read as nil, and that a file of
// another format or one that cannot be written is an error.
func TestFileIsReplacedAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	if f, err := Load(path); f != nil || err != nil {
		t.Errorf("missing file: %+v %v", f, err)
	}
	for _, x := range []*File{{SavedAtMs: 1}, file} {
		if err := Save(path, x); err != nil {
			t.Fatal(err)
		}
		if f, err := Load(path); err != nil || !cmp.Equal(f, x) {
			t.Errorf("%+v %v", f, err)
		}
	}
	if names, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); len(names) != 1 {
		t.Errorf("temporary files left behind: %v", names)
	}
	if err := os.WriteFile(path, []byte("{\"instances\":[]}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrFormat) {
		t.Error(err)
	}
	if err := Save(filepath.Join(path, "below"), file); err == nil {
		t.Error("no error for a path below a regular file")
	}
}
