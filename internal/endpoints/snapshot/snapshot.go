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
	SavedMs float64           `json:"saved_ms"` // Unix ms
	Entries []reconcile.Entry `json:"entries"`
}

// Append writes a snapshot.
func Append(dst []byte, f *File) ([]byte, error) {
	b, err := atomicfile.Encode(dst, magic, f)
	if err != nil {
		return b, fmt.Errorf("snapshot: %w", err)
	}
	return b, nil
}

// Parse reads a snapshot, whole or not at all.
func Parse(b []byte) (*File, error) {
	f := &File{}
	if err := atomicfile.Decode(b, magic, f); err != nil {
		return nil, err
	}
	for i := range f.Entries {
		if e := &f.Entries[i]; e.ID == "" || e.Address == "" || e.State > reconcile.Gone {
			return nil, fmt.Errorf("%w: entry %d", ErrForeign, i)
		}
	}
	return f, nil
}

// Saver keeps snapshots elsewhere than in a file.
type Saver interface {
	Load() (*File, error) // nil where there is none
	Save(f *File) error
}

// Path is a file that is one.
type Path string

// Load is Saver's.
func (p Path) Load() (*File, error) { return Load(string(p)) }

// Save is Saver's.
func (p Path) Save(f *File) error { return Save(string(p), f) }

// Load reads a file; nil where there is none.
func Load(path string) (*File, error) {
	b, err := atomicfile.Read(path, maxBytes)
	if err != nil || b == nil {
		if err != nil {
			err = fmt.Errorf("snapshot %s: %w", path, err)
		}
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return s, nil
}

// Save puts a snapshot in a file's place: whoever reads finds the old one or the new, also after a loss of power.
func Save(path string, s *File) error {
	b, err := Append(nil, s)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(path, b, true); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
