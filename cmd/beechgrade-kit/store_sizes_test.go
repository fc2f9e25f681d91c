package main

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSizes checks the accepted notations of sizes; an invalid size must give an error of one line before anything is measured.
func TestSizes(t *testing.T) {
	t.Parallel()
	got, err := parseSizes("1000, 1KB,1k,1MB,1MiB,1g,1GB")
	if diff := cmp.Diff([]int64{1000, 1000, 1000, 1e6, 1 << 20, 1e9, 1e9}, got); diff != "" || err != nil {
		t.Errorf("parsed sizes: error %v (-want +got):\n%s", err, diff)
	}
	for _, bad := range []string{"0", "-1", "1X", "huge", "17GB", "1MB,x", "1e300GB", "NaN"} {
		cmd := command()
		cmd.Writer = &bytes.Buffer{}
		out := filepath.Join(t.TempDir(), "out")
		err := cmd.Run(context.Background(), []string{"kit", "store", "measure", "--sizes", bad, "--out", out})
		if err == nil || !strings.HasPrefix(err.Error(), "--sizes: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("--sizes %s: got error %v, want one line that begins with \"--sizes: \"", bad, err)
		}
	}
}
