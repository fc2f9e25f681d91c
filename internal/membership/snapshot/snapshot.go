// Package snapshot keeps the last good list of servers in a file, so that a start without any source serves at once. A
// file that is torn, foreign or too old is told apart from one that is not there, and is never believed in part.
package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/membership/judge"
)

const (
	magic    = "beechgrade members 1"
	maxBytes = 32 << 20
)

// Errors of a file that is not used.
var (
	ErrForeign = errors.New("it is no list of members, or of another version")
	ErrTorn    = errors.New("it is not whole")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// File is what a snapshot's file holds.
type File struct {
	SavedMs float64       `json:"saved_ms"` // Unix ms
	Entries []judge.Entry `json:"entries"`
}

// Append writes a snapshot: a line with the sum and the length of what follows, and the list.
func Append(dst []byte, f *File) ([]byte, error) {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(f)
	if err != nil {
		return dst, fmt.Errorf("snapshot: %w", err)
	}
	dst = fmt.Appendf(dst, "%s %08x %d\n", magic, crc32.Checksum(b, table), len(b))
	return append(dst, b...), nil
}

// Parse reads a snapshot, whole or not at all.
func Parse(b []byte) (*File, error) {
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	rest, is := strings.CutPrefix(string(head), magic+" ")
	if !is {
		return nil, ErrForeign
	}
	sum, size, two := strings.Cut(rest, " ")
	want, err := strconv.ParseUint(sum, 16, 32)
	n, err2 := strconv.Atoi(size)
	if !ok || !two || errors.Join(err, err2) != nil || n != len(body) || crc32.Checksum(body, table) != uint32(want) {
		return nil, ErrTorn
	}
	f := &File{}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	for i := range f.Entries {
		if e := &f.Entries[i]; e.ID == "" || e.Address == "" || e.State > judge.Gone {
			return nil, fmt.Errorf("%w: entry %d", ErrForeign, i)
		}
	}
	return f, nil
}

// Load reads a file; nil where there is none.
func Load(path string) (*File, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(b) > maxBytes {
		return nil, fmt.Errorf("snapshot %s: %w", path, ErrForeign)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return s, nil
}

// Save puts a snapshot in a file's place: whoever reads finds the old one or the new, also after a loss of power.
func Save(path string, s *File) (err error) {
	b, err := Append(nil, s)
	if err != nil {
		return err
	}
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
			err = fmt.Errorf("snapshot: %w", err)
		}
	}()
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
