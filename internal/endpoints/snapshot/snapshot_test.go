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
		t.Fatalf("encode the snapshot: %v", err)
	}
	for n := range len(b) {
		if f, err := Parse(b[:n]); f != nil || !errors.Is(err, ErrIncomplete) && !errors.Is(err, ErrFormat) {
			t.Fatalf("snapshot truncated to %d bytes: got %+v, error %v; want ErrIncomplete or ErrFormat", n, f, err)
		}
		flipped := bytes.Clone(b)
		flipped[n] ^= 0x20
		if f, err := Parse(flipped); err == nil && !cmp.Equal(f, file) {
			t.Fatalf("snapshot with byte %d changed is read as %+v, want an error", n, f)
		}
	}
	if f, err := Parse(append(b, 'x')); f != nil || !errors.Is(err, ErrIncomplete) {
		t.Errorf("snapshot with a trailing byte: got %+v, error %v; want ErrIncomplete", f, err)
	}
	f, err := Parse(b)
	if diff := cmp.Diff(file, f); err != nil || diff != "" {
		t.Errorf("intact snapshot: error %v (-want +got):\n%s", err, diff)
	}
}

// TestFileIsReplacedAndRead checks that a file is replaced completely, that a missing file is read as nil, and that a file of
// another format or one that cannot be written is an error.
func TestFileIsReplacedAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	if f, err := Load(path); f != nil || err != nil {
		t.Errorf("load a missing file: got %+v, error %v; want neither", f, err)
	}
	for _, x := range []*File{{SavedAtMs: 1}, file} {
		if err := Save(path, x); err != nil {
			t.Fatalf("save a snapshot: %v", err)
		}
		if f, err := Load(path); err != nil || !cmp.Equal(f, x) {
			t.Errorf("load the saved snapshot: got %+v, error %v; want %+v", f, err, x)
		}
	}
	if names, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); len(names) != 1 {
		t.Errorf("files after the replacements: %v, want the snapshot alone", names)
	}
	if err := os.WriteFile(path, []byte("{\"instances\":[]}"), 0o600); err != nil {
		t.Fatalf("write a file of another format: %v", err)
	}
	if _, err := Load(path); !errors.Is(err, ErrFormat) {
		t.Errorf("load a file of another format: error %v, want ErrFormat", err)
	}
	if err := Save(filepath.Join(path, "below"), file); err == nil {
		t.Error("no error for a path below a regular file")
	}
}
