// Package golden compares texts that others read with golden files.
package golden

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files, for a change that is meant to be seen")

// Updating reports whether golden files are being rewritten.
func Updating() bool { return *update }

// Compare fails the test where got differs from the file, or rewrites the file.
func Compare(t testing.TB, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s has changed, and others read it:\n%s", file, diff)
	}
}
