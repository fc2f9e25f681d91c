package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Replace replaces a file atomically and durably: it writes and syncs the new content under a temporary name, renames it over the old file and
// syncs the folder. A reader finds the complete old or new content at any time, also after a power failure, and the new content once Replace
// has returned without an error. After an error, either may be there. Several processes may replace the same file concurrently.
func Replace(fs FS, name string, content []byte) error {
	partial := fmt.Sprintf("%s.new-%016x", name, rand.Uint64())
	f, err := fs.Create(partial)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = fs.Rename(partial, name)
	}
	if err == nil {
		return fs.Sync()
	}
	_ = fs.Remove(partial)
	return err
}
