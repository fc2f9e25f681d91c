// Package atomicfile stores a value in a file that is read completely or not at all. The file has a header line with the kind, the checksum
// and the length of the body, and the body, which is the value as JSON.
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
	ErrFormat     = errors.New("file is of another kind or version")
	ErrIncomplete = errors.New("file is truncated or damaged")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode appends an encoded value to b; kind names its format and version.
func Encode(b []byte, kind string, value any) ([]byte, error) {
	body, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(value)
	if err != nil {
		return b, err
	}
	b = fmt.Appendf(b, "%s %08x %d\n", kind, crc32.Checksum(body, checksumTable), len(body))
	return append(b, body...), nil
}

// Decode decodes a value. It fails with ErrFormat if the file is not of the kind, and with ErrIncomplete if it is truncated or damaged.
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

// matchesHeader reports whether a body has the checksum and the length that the header states.
func matchesHeader(fields string, body []byte) bool {
	checksumText, sizeText, _ := strings.Cut(fields, " ")
	checksum, checksumErr := strconv.ParseUint(checksumText, 16, 32)
	size, sizeErr := strconv.Atoi(sizeText)
	if checksumErr != nil || sizeErr != nil {
		return false
	}
	return size == len(body) && crc32.Checksum(body, checksumTable) == uint32(checksum)
}

// Read reads a file of at most maxBytes. It returns nil if the file does not exist.
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

// Replace replaces a file atomically: a reader finds the old content or the new one. With durable, this also holds after a power failure.
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

// moveIntoPlace moves a file to a path. An existing file there is exchanged with the new one and then removed, because a rename over an
// existing file may take seconds while the disk is busy.
func moveIntoPlace(from, to string) error {
	if unix.Renameat2(unix.AT_FDCWD, from, unix.AT_FDCWD, to, unix.RENAME_EXCHANGE) == nil {
		return os.Remove(from)
	}
	return os.Rename(from, to) // the target does not exist, or the file system does not support the exchange
}
