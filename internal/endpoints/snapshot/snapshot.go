// Package snapshot stores the last good endpoint list, so that a pooler that starts while no source is reachable can serve at once.
// A snapshot is read completely or not at all: reading a damaged file or one of another format is an error, and a file that does not
// exist is read as nil.
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
	Load() (*File, error) // nil if there is no snapshot
	Save(file *File) error
}

// FileStore is a Store that keeps the snapshot in the file at this path.
type FileStore string

// Load reads the file. It returns nil if the file does not exist.
func (s FileStore) Load() (*File, error) { return Load(string(s)) }

// Save replaces the file.
func (s FileStore) Save(file *File) error { return Save(string(s), file) }

// Append appends the encoded snapshot to dst.
func Append(dst []byte, file *File) ([]byte, error) {
	dst, err := atomicfile.Encode(dst, magic, file)
	if err != nil {
		return dst, fmt.Errorf("encode snapshot: %w", err)
	}
	return dst, nil
}

// Parse decodes a snapshot. Errors wrap ErrFormat or ErrIncomplete.
func Parse(content []byte) (*File, error) {
	file := &File{}
	if err := atomicfile.Decode(content, magic, file); err != nil {
		return nil, err
	}
	for i := range file.Entries {
		if !isValid(&file.Entries[i]) {
			return nil, fmt.Errorf("%w: entry %d lacks an id or an address, or has an unknown state", ErrFormat, i)
		}
	}
	return file, nil
}

func isValid(entry *reconcile.Entry) bool {
	return entry.ID != "" && entry.Address != "" && entry.State <= reconcile.StateRemoved
}

// Load reads the snapshot at path. It returns nil if the file does not exist.
func Load(path string) (*File, error) {
	content, err := atomicfile.Read(path, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", path, err)
	}
	if content == nil {
		return nil, nil
	}
	file, err := Parse(content)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot %s: %w", path, err)
	}
	return file, nil
}

// Save replaces the snapshot at path. A reader finds either the old or the new one, even after a power failure.
func Save(path string, file *File) error {
	content, err := Append(nil, file)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(path, content, true); err != nil {
		return fmt.Errorf("replace snapshot: %w", err)
	}
	return nil
}
