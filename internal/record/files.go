package record

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Files stores segments.
type Files interface {
	Create(name string) (io.WriteCloser, error)
	Remove(name string) error
	List() (map[string]int64, error) // names and sizes in bytes
}

// Dir stores segments in the folder of that path.
type Dir string

// Create creates a segment, and the folder if it does not exist.
func (d Dir) Create(name string) (io.WriteCloser, error) {
	if err := os.MkdirAll(string(d), 0o750); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
}

// Remove removes a segment.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List returns the names and sizes of the folder's files, none if it does not exist.
func (d Dir) List() (map[string]int64, error) {
	entries, err := os.ReadDir(string(d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	out := map[string]int64{}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			out[e.Name()] = info.Size()
		}
	}
	return out, err
}

var unsafeName = regexp.MustCompile(`[^A-Za-z0-9_.]+`)

// SegmentName returns the name of a segment's file. The names of a pooler sort by run, then by segment number.
func SegmentName(pooler string, runMs float64, segment uint32) string {
	return fmt.Sprintf("%s%013d-%06d%s", namePrefix(pooler), int64(runMs), segment, Suffix)
}

// namePrefix returns the prefix of the names of a pooler's segments.
func namePrefix(pooler string) string {
	s := strings.Trim(unsafeName.ReplaceAllString(pooler, "_"), ".")
	if s == "" {
		s = "pooler"
	}
	return s[:min(len(s), 100)] + "-"
}
