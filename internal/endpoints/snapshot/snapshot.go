// Package snapshot keeps the last good list of servers in a file, so that a start without any source serves at once. A
// file that is torn, foreign or too old is told apart from one that is not there, and is never believed in part.
package snapshot

import (
	"fmt"

	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/storage/atomicfile"
)

const (
	magic    = "beechgrade members 1"
	maxBytes = 32 << 20
)

// Errors of a file that is not used.
var (
	ErrForeign = atomicfile.ErrFormat
	ErrTorn    = atomicfile.ErrIncomplete
)

// File is what a snapshot's file holds.
type File struct {
	SavedAtMs float64           `json:"saved_ms"` // Unix ms
	Entries   []reconcile.Entry `json:"entries"`
}

// Append writes a snapshot.
func Append(dst []byte, file *File) ([]byte, error) {
	b, err := atomicfile.Encode(dst, magic, file)
	if err != nil {
		return b, fmt.Errorf("snapshot: %w", err)
	}
	return b, nil
}

// Parse reads a snapshot, whole or not at all.
func Parse(b []byte) (*File, error) {
	file := &File{}
	if err := atomicfile.Decode(b, magic, file); err != nil {
		return nil, err
	}
	for i := range file.Entries {
		if entry := &file.Entries[i]; entry.ID == "" || entry.Address == "" || entry.State > reconcile.StateRemoved {
			return nil, fmt.Errorf("%w: entry %d", ErrForeign, i)
		}
	}
	return file, nil
}

// Store keeps snapshots elsewhere than in a file.
type Store interface {
	Load() (*File, error) // nil where there is none
	Save(f *File) error
}

// FileStore is a file that is one.
type FileStore string

// Load is Saver's.
func (store FileStore) Load() (*File, error) { return Load(string(store)) }

// Save is Saver's.
func (store FileStore) Save(file *File) error { return Save(string(store), file) }

// Load reads a file; nil where there is none.
func Load(path string) (*File, error) {
	b, err := atomicfile.Read(path, maxBytes)
	if err != nil || b == nil {
		if err != nil {
			err = fmt.Errorf("snapshot %s: %w", path, err)
		}
		return nil, err
	}
	file, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return file, nil
}

// Save puts a snapshot in a file's place: whoever reads finds the old one or the new, also after a loss of power.
func Save(path string, file *File) error {
	b, err := Append(nil, file)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(path, b, true); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
