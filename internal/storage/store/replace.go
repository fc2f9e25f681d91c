package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Replace replaces a file durably: the new one is written under a name of its own and synced, takes the old one's place, and the folder is
// synced. Whoever reads, at any time and after any loss of power, finds the old one or the new one, complete; once Replace has returned
// without an error, the new one. After an error either may be there. Two processes may replace one file.
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
