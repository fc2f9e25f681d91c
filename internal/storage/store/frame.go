package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file is a head of 16 bytes and frames behind it. A frame is its payload's length, a checksum of all else in it, the record's
// number, the number up to which all was known to be durable when it was written, its kind, and the payload: of each entry
// that is kept with others or not at all, whether it is gone, the lengths of key and value, and both. All numbers are
// little-endian.
const (
	fileHeaderBytes  = 16
	frameHeaderBytes = 4 + 4 + 8 + 8 + 1
	maxFrameBytes    = 16 << 20
	formatVersion    = 1
)

var magic = [7]byte{'b', 'g', 's', 't', 'o', 'r', 'e'}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// frameKind is what a frame is.
type frameKind uint8

const (
	kindPut  frameKind = iota + 1
	kindSeal           // the file is whole, and another follows it
	kindEnd            // a snapshot is whole; its number is how many records it has
)

type frame struct {
	sequence uint64
	durable  uint64
	kind     frameKind
	entries  []Entry
}

const entryHeaderBytes = 1 + 4 + 4

// encodedSize is how much an entry takes within a frame.
func encodedSize(e *Entry) int { return entryHeaderBytes + len(e.Key) + len(e.Value) }

// appendFileHeader appends a file's head: what it is, the format's version, and the file's number.
func appendFileHeader(b []byte, number uint64) []byte {
	b = append(append(b, magic[:]...), formatVersion)
	return binary.LittleEndian.AppendUint64(b, number)
}

func checkFileHeader(b []byte, number uint64) error {
	switch {
	case len(b) < fileHeaderBytes:
		return errTruncated
	case [7]byte(b[:7]) != magic:
		return fmt.Errorf("%w: no file of this store", ErrCorrupt)
	case b[7] != formatVersion:
		return fmt.Errorf("%w: format %d; this program knows %d", ErrCorrupt, b[7], formatVersion)
	case binary.LittleEndian.Uint64(b[8:]) != number:
		return fmt.Errorf("%w: the file says that it is number %d", ErrCorrupt, binary.LittleEndian.Uint64(b[8:]))
	}
	return nil
}

func appendFrame(b []byte, f *frame) []byte {
	from := len(b)
	n := 0
	for i := range f.entries {
		n += encodedSize(&f.entries[i])
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(n))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, f.sequence)
	b = binary.LittleEndian.AppendUint64(b, f.durable)
	b = append(b, byte(f.kind))
	for i := range f.entries {
		e := &f.entries[i]
		gone := byte(0)
		if e.Deleted {
			gone = 1
		}
		b = binary.LittleEndian.AppendUint32(append(b, gone), uint32(len(e.Key)))
		b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Value)))
		b = append(append(b, e.Key...), e.Value...)
	}
	binary.LittleEndian.PutUint32(b[from+4:], frameChecksum(b[from:]))
	return b
}

// frameChecksum is a frame's checksum: of its length, and of all behind the checksum's own place.
func frameChecksum(f []byte) uint32 {
	return crc32.Update(crc32.Checksum(f[:4], checksumTable), checksumTable, f[8:])
}

var (
	errTruncated = errors.New("it ends within a frame")
	errChecksum  = errors.New("a frame's checksum is wrong")
)

// readFrame reads the frame at the start of b, and how long it is.
func readFrame(b []byte) (f frame, n int, err error) {
	if len(b) < frameHeaderBytes {
		return frame{}, 0, errTruncated
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size > maxFrameBytes {
		return frame{}, 0, errChecksum
	}
	if n = frameHeaderBytes + size; n > len(b) {
		return frame{}, 0, errTruncated
	}
	if frameChecksum(b[:n]) != binary.LittleEndian.Uint32(b[4:]) {
		return frame{}, 0, errChecksum
	}
	f = frame{sequence: binary.LittleEndian.Uint64(b[8:]), durable: binary.LittleEndian.Uint64(b[16:]), kind: frameKind(b[24])}
	for p := b[frameHeaderBytes:n]; len(p) > 0; {
		if len(p) < entryHeaderBytes {
			return frame{}, 0, errChecksum
		}
		k, v := int(binary.LittleEndian.Uint32(p[1:])), int(binary.LittleEndian.Uint32(p[5:]))
		if k+v > len(p)-entryHeaderBytes {
			return frame{}, 0, errChecksum
		}
		at := p[entryHeaderBytes:]
		f.entries = append(f.entries, Entry{Key: string(at[:k]), Value: append([]byte(nil), at[k:k+v]...), Deleted: p[0] == 1})
		p = at[k+v:]
	}
	return f, n, nil
}

// laterDurable is the highest number that any whole frame in b, wherever it begins, says is durable. It is looked for behind a
// frame that cannot be read, to tell rot from a tail that was never whole.
func laterDurable(b []byte) (durable uint64, found bool) {
	for i := 0; i+frameHeaderBytes <= len(b); i++ {
		if size := binary.LittleEndian.Uint32(b[i:]); size > maxFrameBytes || int(size) > len(b)-i-frameHeaderBytes {
			continue
		}
		if f, _, err := readFrame(b[i:]); err == nil {
			durable, found = max(durable, f.durable), true
		}
	}
	return durable, found
}
