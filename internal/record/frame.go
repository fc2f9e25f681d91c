package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A segment is Magic, followed by frames. A frame is the length of its payload (4 bytes, little-endian), its type (1 byte), a CRC-32C of
// length, type and payload (4 bytes), and the payload. The first frame is the Header.
const (
	Magic = "BGREC01\n"
	// MaxFrame is the maximum size of a frame's payload in bytes, compressed or not.
	MaxFrame = 4 << 20

	frameTypeOffset     = 4
	frameChecksumOffset = 5
	frameHeadBytes      = 9
)

// Types of frames.
const (
	FrameHeader = 'H'
	FrameBatch  = 'B'
	FrameZstd   = 'Z' // a Batch, compressed with zstd
	FrameEnd    = 'E' // the segment was closed properly; nothing follows
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of a segment.
var (
	ErrTorn    = errors.New("ends in the midst of a frame")
	ErrCorrupt = errors.New("is damaged")
)

// beginFrame appends an empty frame head, which endFrame fills in once the payload is appended.
func beginFrame(dst []byte, typ byte) []byte {
	return append(dst, 0, 0, 0, 0, typ, 0, 0, 0, 0)
}

// endFrame fills in the head of the frame that begins at start and ends at the end of dst.
func endFrame(dst []byte, start int) []byte {
	head := dst[start : start+frameHeadBytes]
	payload := dst[start+frameHeadBytes:]
	binary.LittleEndian.PutUint32(head, uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[frameChecksumOffset:], checksum(head[:frameChecksumOffset], payload))
	return dst
}

func checksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// Frames reads a segment's frames.
type Frames struct {
	reader io.Reader
	offset int64
	buffer []byte
}

// NewFrames returns a reader of a segment's frames. It reads and checks Magic.
func NewFrames(r io.Reader) (*Frames, error) {
	f := &Frames{reader: r}
	b, err := f.read(len(Magic))
	switch {
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("%w: it is empty", ErrTorn)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, ErrTorn
	case err != nil:
		return nil, err
	case string(b) != Magic:
		return nil, fmt.Errorf("%w: it does not begin as a segment of records", ErrCorrupt)
	}
	f.offset = int64(len(Magic))
	return f, nil
}

// Offset is the offset of the end of the last complete frame.
func (f *Frames) Offset() int64 { return f.offset }

// Next returns the next frame. The payload is valid until the next call. The error is io.EOF at the end of the file; it wraps ErrTorn if the
// file ends inside a frame, and ErrCorrupt if the bytes are damaged.
func (f *Frames) Next() (typ byte, payload []byte, err error) {
	b, err := f.read(frameHeadBytes)
	switch {
	case errors.Is(err, io.EOF):
		return 0, nil, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 0, nil, ErrTorn
	case err != nil:
		return 0, nil, err
	}
	var head [frameHeadBytes]byte
	copy(head[:], b)
	n := binary.LittleEndian.Uint32(head[:])
	if n > MaxFrame {
		return 0, nil, fmt.Errorf("%w: a frame of %d bytes", ErrCorrupt, n)
	}
	payload, err = f.read(int(n))
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0, nil, ErrTorn
	case err != nil:
		return 0, nil, err
	}
	if checksum(head[:frameChecksumOffset], payload) != binary.LittleEndian.Uint32(head[frameChecksumOffset:]) {
		return 0, nil, fmt.Errorf("%w: checksum of a frame", ErrCorrupt)
	}
	f.offset += frameHeadBytes + int64(n)
	return head[frameTypeOffset], payload, nil
}

func (f *Frames) read(n int) ([]byte, error) {
	if cap(f.buffer) < n {
		f.buffer = make([]byte, n)
	}
	b := f.buffer[:n]
	_, err := io.ReadFull(f.reader, b)
	if n == 0 {
		err = nil
	}
	return b, err
}

// ResumeFrames returns a reader of the frames from an offset on, which must be the end of a frame; r must be positioned there.
func ResumeFrames(r io.Reader, at int64) *Frames { return &Frames{reader: r, offset: at} }
