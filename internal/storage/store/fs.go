package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is a folder. Names have no separators.
type FS interface {
	// Lock locks the folder against other processes. It fails with ErrLocked if another process has the lock.
	Lock() (unlock func() error, err error)
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file, which must not exist.
	Create(name string) (File, error)
	// Append opens a file, which must exist, for writing at its end.
	Append(name string) (File, error)
	// Truncate truncates a file durably.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes all earlier creations, renames and removals durable.
	Sync() error
}

// File is a file opened for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a folder of the file system. Lock creates it if it does not exist.
type Dir string

const (
	lockName = "lock"
	dirMode  = 0o750
	fileMode = 0o640
)

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Lock takes a lock on a file in the folder. The lock is released at the latest when the process ends.
func (d Dir) Lock() (func() error, error) {
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f.Close, nil
}

// List returns the names of the regular files, without the lock file.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Name() != lockName && entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Read returns a file's content.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create creates a file, which must not exist.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens a file, which must exist, for writing at its end.
func (d Dir) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate truncates a file and syncs it.
func (d Dir) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename renames a file, and replaces an existing one of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync syncs the folder.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
