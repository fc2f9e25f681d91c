package atomicfile

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestReplaceIsAtomic reads a file while it is replaced: each read returns the old or the new content, and no temporary file remains.
func TestReplaceIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x.state")
	values := [][]byte{bytes.Repeat([]byte("a"), 9000), bytes.Repeat([]byte("b"), 5000)}
	replace := func(i int) {
		if err := Replace(path, values[i%2], false); err != nil {
			t.Errorf("replace the file: %v", err)
		}
	}
	replace(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 1000 {
			replace(i)
		}
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		if b, err := Read(path, 1<<20); err != nil || !bytes.Equal(b, values[0]) && !bytes.Equal(b, values[1]) {
			t.Errorf("read during a replacement: %d bytes, error %v; want the old or the new content", len(b), err)
			reading = false
		}
	}
	<-done
	if b, err := Read(path, 1<<20); err != nil || !bytes.Equal(b, values[1]) {
		t.Errorf("read after the last replacement: %d bytes, error %v; want the new content", len(b), err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("%d files remain, error %v; want 1", len(files), err)
	}
}
