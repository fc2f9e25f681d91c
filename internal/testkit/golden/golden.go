// Package golden compares output that other programs or people depend on with golden files.
package golden

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files, for an intended change of the output")

// Updating reports whether golden files are being rewritten.
func Updating() bool { return *update }

// Compare fails the test if got differs from the golden file. With -update-golden it rewrites the file first.
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
		t.Errorf("output that others depend on differs from the golden file %s (-want +got):\n%s", file, diff)
	}
}
