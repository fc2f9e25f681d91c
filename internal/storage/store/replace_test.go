package store_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// TestReplaceIsAtomicAndDurable loses power at every operation of a replacement, or fails the operation: the file has the complete old or new
// content, and the new content after success. A failed operation leaves no temporary file.
func TestReplaceIsAtomicAndDurable(t *testing.T) {
	t.Parallel()
	old, new := strings.Repeat("old ", 400), strings.Repeat("newer ", 500)
	undisturbed := faultyfs.New()
	if err := store.Replace(undisturbed, "a", []byte(new)); err != nil {
		t.Fatalf("replace on an undisturbed disk: %v", err)
	}
	ops, _ := undisturbed.Ops()
	if ops < 5 { // create, write, sync, rename and sync of the folder
		t.Errorf("%d operations, want at least 5", ops)
	}
	read := func(d *faultyfs.Disk) string { return string(d.Files()["a"]) }
	for at := 1; at <= ops+1; at++ {
		for seed := range uint64(20) {
			d := faultyfs.New()
			d.Set("a", []byte(old))
			d.CrashAt = at
			err := store.Replace(d, "a", []byte(new))
			got := read(d.Restart(rand.New(rand.NewPCG(seed, 1)), true))
			if got != new && (err == nil || got != old) {
				t.Fatalf("power lost at operation %d, error %v: the file has %d bytes, want the new content, or the old with an error", at, err, len(got))
			}
		}
		d := faultyfs.New()
		d.Set("a", []byte(old))
		d.FailAt, d.Err, d.Short = at, errors.New("no"), true
		err := store.Replace(d, "a", []byte(new))
		if got := read(d); (err != nil) != (at <= ops) || got != new && (err == nil || got != old) || len(d.Files()) != 1 {
			t.Fatalf("operation %d of %d failed, error %v: the file has %d bytes, the folder %d files; want the new content, or the old with an error, in one file", at, ops, err, len(got), len(d.Files()))
		}
	}
}
