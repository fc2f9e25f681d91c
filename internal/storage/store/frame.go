package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file is a header of 16 bytes, followed by frames:
//
//	header: magic (7 bytes), format version (1), number of the file (8)
//	frame:  length of the payload (4), checksum of the rest of the frame (4), sequence number (8), the highest sequence number that was
//	        known to be durable when the frame was written (8), kind (1), payload
//
// The payload has, for each entry, whether it is a deletion (1), the lengths of key and value (4 each), the key and the value. All numbers
// are little-endian. A frame is applied as a whole or not at all, so its entries are atomic.
const (
	fileHeaderBytes  = 16
	frameHeaderBytes = 4 + 4 + 8 + 8 + 1
	entryHeaderBytes = 1 + 4 + 4
	maxFrameBytes    = 16 << 20
	formatVersion    = 1
)

// Offsets within a frame and within an entry.
const (
	checksumOffset = 4
	sequenceOffset = 8
	durableOffset  = 16
	kindOffset     = 24

	keyBytesOffset   = 1
	valueBytesOffset = 5
)

var magic = [7]byte{'b', 'g', 's', 't', 'o', 'r', 'e'}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// frameKind is the kind of a frame. Its values are stored.
type frameKind uint8

const (
	kindPut  frameKind = iota + 1
	kindSeal           // the segment is complete, and another follows it
	kindEnd            // the snapshot is complete; the sequence number is its number of records
)

type frame struct {
	sequence uint64
	durable  uint64
	kind     frameKind
	entries  []Entry
}

// Errors of reading a frame. They need not mean damage, as the last segment may end within a frame.
var (
	errTruncated = errors.New("it ends within a frame")
	errChecksum  = errors.New("a frame's checksum is wrong")
)

// encodedSize returns the bytes that an entry takes within a frame.
func encodedSize(entry *Entry) int { return entryHeaderBytes + len(entry.Key) + len(entry.Value) }

// frameBytes returns the bytes of a frame of entries.
func frameBytes(entries []Entry) int64 {
	size := int64(frameHeaderBytes)
	for i := range entries {
		size += int64(encodedSize(&entries[i]))
	}
	return size
}

func appendFileHeader(b []byte, number uint64) []byte {
	b = append(b, magic[:]...)
	b = append(b, formatVersion)
	return binary.LittleEndian.AppendUint64(b, number)
}

// checkFileHeader checks that a file begins with the header for its number.
func checkFileHeader(b []byte, number uint64) error {
	if len(b) < fileHeaderBytes {
		return errTruncated
	}
	version := b[len(magic)]
	found := binary.LittleEndian.Uint64(b[len(magic)+1:])
	switch {
	case [len(magic)]byte(b[:len(magic)]) != magic:
		return fmt.Errorf("%w: no file of this store", ErrCorrupt)
	case version != formatVersion:
		return fmt.Errorf("%w: format %d; this program knows %d", ErrCorrupt, version, formatVersion)
	case found != number:
		return fmt.Errorf("%w: the file says that it is number %d", ErrCorrupt, found)
	}
	return nil
}

func appendFrame(b []byte, f *frame) []byte {
	start := len(b)
	payloadBytes := frameBytes(f.entries) - frameHeaderBytes
	b = binary.LittleEndian.AppendUint32(b, uint32(payloadBytes))
	b = binary.LittleEndian.AppendUint32(b, 0) // the checksum, which is set below
	b = binary.LittleEndian.AppendUint64(b, f.sequence)
	b = binary.LittleEndian.AppendUint64(b, f.durable)
	b = append(b, byte(f.kind))
	for i := range f.entries {
		b = appendEntry(b, &f.entries[i])
	}
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], frameChecksum(b[start:]))
	return b
}

func appendEntry(b []byte, entry *Entry) []byte {
	deleted := byte(0)
	if entry.Deleted {
		deleted = 1
	}
	b = append(b, deleted)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry.Key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry.Value)))
	b = append(b, entry.Key...)
	return append(b, entry.Value...)
}

// frameChecksum returns the checksum of a frame: of its length, and of everything after the checksum field.
func frameChecksum(f []byte) uint32 {
	return crc32.Update(crc32.Checksum(f[:checksumOffset], checksumTable), checksumTable, f[sequenceOffset:])
}

// readFrame decodes the frame at the start of b, and returns its length n in bytes.
func readFrame(b []byte) (f frame, n int, err error) {
	if len(b) < frameHeaderBytes {
		return frame{}, 0, errTruncated
	}
	payloadBytes := int(binary.LittleEndian.Uint32(b))
	if payloadBytes > maxFrameBytes {
		return frame{}, 0, errChecksum
	}
	n = frameHeaderBytes + payloadBytes
	if n > len(b) {
		return frame{}, 0, errTruncated
	}
	if frameChecksum(b[:n]) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return frame{}, 0, errChecksum
	}
	entries, err := readEntries(b[frameHeaderBytes:n])
	if err != nil {
		return frame{}, 0, err
	}
	return frame{
		sequence: binary.LittleEndian.Uint64(b[sequenceOffset:]),
		durable:  binary.LittleEndian.Uint64(b[durableOffset:]),
		kind:     frameKind(b[kindOffset]),
		entries:  entries,
	}, n, nil
}

func readEntries(payload []byte) ([]Entry, error) {
	var entries []Entry
	for len(payload) > 0 {
		if len(payload) < entryHeaderBytes {
			return nil, errChecksum
		}
		keyBytes := int(binary.LittleEndian.Uint32(payload[keyBytesOffset:]))
		valueBytes := int(binary.LittleEndian.Uint32(payload[valueBytesOffset:]))
		remaining := payload[entryHeaderBytes:]
		if keyBytes+valueBytes > len(remaining) {
			return nil, errChecksum
		}
		entries = append(entries, Entry{
			Key:     string(remaining[:keyBytes]),
			Value:   append([]byte(nil), remaining[keyBytes:keyBytes+valueBytes]...),
			Deleted: payload[0] == 1,
		})
		payload = remaining[keyBytes+valueBytes:]
	}
	return entries, nil
}

// laterDurable returns the highest durable sequence number that any complete frame in b states, at whatever offset it begins. It is called
// with the bytes after a frame that cannot be read, to distinguish damage from an incomplete tail.
func laterDurable(b []byte) (durable uint64, found bool) {
	for i := 0; i+frameHeaderBytes <= len(b); i++ {
		payloadBytes := binary.LittleEndian.Uint32(b[i:])
		if payloadBytes > maxFrameBytes || int(payloadBytes) > len(b)-i-frameHeaderBytes {
			continue
		}
		if f, _, err := readFrame(b[i:]); err == nil {
			durable = max(durable, f.durable)
			found = true
		}
	}
	return durable, found
}
