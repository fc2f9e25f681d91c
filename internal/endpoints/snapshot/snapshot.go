// Package snapshot stores the last good endpoint list, so that a pooler that starts while no source is reachable serves at once. A
// snapshot is read completely or not at all: one that is damaged or foreign is an error, one that does not exist is nil.
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

// Errors of a snapshot that cannot be used.
var (
	ErrFormat     = atomicfile.ErrFormat
	ErrIncomplete = atomicfile.ErrIncomplete
)

// File is the content of a snapshot.
type File struct {
	SavedAtMs float64           `json:"saved_ms"` // Unix ms
	Entries   []reconcile.Entry `json:"entries"`
}

// Store loads and saves a snapshot.
type Store interface {
	Load() (*File, error) // nil where there is none
	Save(file *File) error
}

// FileStore is a Store in the file of that path.
type FileStore string

// Load reads the file, nil where there is none.
func (s FileStore) Load() (*File, error) { return Load(string(s)) }

// Save replaces the file.
func (s FileStore) Save(file *File) error { return Save(string(s), file) }

// Append appends the bytes of a snapshot to dst.
func Append(dst []byte, file *File) ([]byte, error) {
	dst, err := atomicfile.Encode(dst, magic, file)
	if err != nil {
		return dst, fmt.Errorf("snapshot: %w", err)
	}
	return dst, nil
}

// Parse reads the bytes of a snapshot. Errors wrap ErrFormat or ErrIncomplete.
func Parse(content []byte) (*File, error) {
	file := &File{}
	if err := atomicfile.Decode(content, magic, file); err != nil {
		return nil, err
	}
	for i := range file.Entries {
		if !isValid(&file.Entries[i]) {
			return nil, fmt.Errorf("%w: entry %d", ErrFormat, i)
		}
	}
	return file, nil
}

func isValid(entry *reconcile.Entry) bool {
	return entry.ID != "" && entry.Address != "" && entry.State <= reconcile.StateRemoved
}

// Load reads the snapshot at path, nil where there is none.
func Load(path string) (*File, error) {
	content, err := atomicfile.Read(path, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	if content == nil {
		return nil, nil
	}
	file, err := Parse(content)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return file, nil
}

// Save replaces the snapshot at path. A reader finds the old one or the new one, also after a loss of power.
func Save(path string, file *File) error {
	content, err := Append(nil, file)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(path, content, true); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
