// Package atomicfile keeps a value in a file that is read whole or not at all: a line with the kind, the checksum and the length of what
// follows, and the value as JSON.
package atomicfile

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
	"golang.org/x/sys/unix"

	"beechgrade/internal/storage/store"
)

// Errors of a file that cannot be used.
var (
	ErrFormat     = errors.New("it is of another kind or version")
	ErrIncomplete = errors.New("it is not whole")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode appends a value; kind names its format and version.
func Encode(b []byte, kind string, value any) ([]byte, error) {
	body, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(value)
	if err != nil {
		return b, err
	}
	b = fmt.Appendf(b, "%s %08x %d\n", kind, crc32.Checksum(body, checksumTable), len(body))
	return append(b, body...), nil
}

// Decode decodes a value of that kind.
func Decode(b []byte, kind string, value any) error {
	header, body, complete := bytes.Cut(b, []byte{'\n'})
	fields, isKind := strings.CutPrefix(string(header), kind+" ")
	if !isKind {
		return ErrFormat
	}
	if !complete || !matchesHeader(fields, body) {
		return ErrIncomplete
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}

// matchesHeader reports whether a body has the checksum and the length that the header says.
func matchesHeader(fields string, body []byte) bool {
	checksumText, sizeText, _ := strings.Cut(fields, " ")
	checksum, checksumErr := strconv.ParseUint(checksumText, 16, 32)
	size, sizeErr := strconv.Atoi(sizeText)
	if checksumErr != nil || sizeErr != nil {
		return false
	}
	return size == len(body) && crc32.Checksum(body, checksumTable) == uint32(checksum)
}

// Read reads a file of at most so many bytes; nil where there is none.
func Read(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && int64(len(b)) > maxBytes {
		err = ErrFormat
	}
	return b, err
}

// Replace replaces a file: whoever reads finds the old one or the new one, if it is durable also after a loss of power.
func Replace(path string, content []byte, durable bool) error {
	dir, name := filepath.Dir(path), filepath.Base(path)
	if durable {
		return store.Replace(store.Dir(dir), name, content)
	}
	f, err := os.CreateTemp(dir, name+".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	err = errors.Join(err, f.Close())
	if err == nil {
		err = moveIntoPlace(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// moveIntoPlace moves a file to a path. One that is there is exchanged with it and removed, as a rename over it may wait for seconds for a
// busy disk.
func moveIntoPlace(from, to string) error {
	if unix.Renameat2(unix.AT_FDCWD, from, unix.AT_FDCWD, to, unix.RENAME_EXCHANGE) == nil {
		return os.Remove(from)
	}
	return os.Rename(from, to) // nothing is there, or the file system cannot exchange
}
