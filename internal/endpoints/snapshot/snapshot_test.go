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

// TestSnapshotCutAnywhereIsRejected checks that a file that ends too soon or has a changed byte is rejected, and that a
// complete one is read.
func TestSnapshotCutAnywhereIsRejected(t *testing.T) {
	b, err := Append(nil, file)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(b) {
		if f, err := Parse(b[:n]); f != nil || !errors.Is(err, ErrIncomplete) && !errors.Is(err, ErrFormat) {
			t.Fatalf("cut at %d: %+v %v", n, f, err)
		}
		flipped := bytes.Clone(b)
		flipped[n] ^= 0x20
		if f, err := Parse(flipped); err == nil && !cmp.Equal(f, file) {
			t.Fatalf("byte %d changed: %+v", n, f)
		}
	}
	if f, err := Parse(append(b, 'x')); f != nil || !errors.Is(err, ErrIncomplete) {
		t.Errorf("longer: %+v %v", f, err)
	}
	f, err := Parse(b)
	if diff := cmp.Diff(file, f); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFileIsReplacedAndRead checks that a file is replaced completely, and that one that is missing, foreign or cannot be
// written is reported.
func TestFileIsReplacedAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	if f, err := Load(path); f != nil || err != nil {
		t.Errorf("none: %+v %v", f, err)
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
		t.Errorf("left behind: %v", names)
	}
	if err := os.WriteFile(path, []byte("{\"instances\":[]}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrFormat) {
		t.Error(err)
	}
	if err := Save(filepath.Join(path, "below"), file); err == nil {
		t.Error("it was saved below a file")
	}
}
