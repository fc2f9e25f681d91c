// Package atomicfile keeps a value in a file that is read whole or not at all: a line with the kind, the sum and the length of
// what follows, and the value as JSON.
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

// Errors of a file that is not used.
var (
	ErrFormat     = errors.New("it is of another kind or version")
	ErrIncomplete = errors.New("it is not whole")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a value; kind names what it is, and its version.
func Encode(dst []byte, kind string, v any) ([]byte, error) {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(v)
	if err != nil {
		return dst, err
	}
	dst = fmt.Appendf(dst, "%s %08x %d\n", kind, crc32.Checksum(b, checksumTable), len(b))
	return append(dst, b...), nil
}

// Decode reads a value of that kind into v.
func Decode(b []byte, kind string, v any) error {
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	rest, is := strings.CutPrefix(string(head), kind+" ")
	if !is {
		return ErrFormat
	}
	sum, size, two := strings.Cut(rest, " ")
	want, err := strconv.ParseUint(sum, 16, 32)
	n, err2 := strconv.Atoi(size)
	if !ok || !two || errors.Join(err, err2) != nil || n != len(body) || crc32.Checksum(body, checksumTable) != uint32(want) {
		return ErrIncomplete
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}

// Read reads a file of at most so many bytes; nil where there is none.
func Read(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(b)) > most {
		err = ErrFormat
	}
	return b, err
}

// Replace puts a file in another's place: whoever reads finds the old one or the new; where it is to be durable, also after a
// loss of power.
func Replace(path string, b []byte, durable bool) (err error) {
	dir, name := filepath.Dir(path), filepath.Base(path)
	if durable {
		return store.Replace(store.Dir(dir), name, b)
	}
	f, err := os.CreateTemp(dir, name+".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Close()); err == nil {
		err = moveIntoPlace(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// moveIntoPlace puts a file at a path. One that stands there changes places with it and is removed, as a rename over it may wait for seconds for a busy disk.
func moveIntoPlace(from, path string) error {
	if unix.Renameat2(unix.AT_FDCWD, from, unix.AT_FDCWD, path, unix.RENAME_EXCHANGE) == nil {
		return os.Remove(from)
	}
	return os.Rename(from, path) // nothing stands there, or the file system cannot exchange
}
