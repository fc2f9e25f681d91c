package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A segment is Magic, then frames: the payload's length (4 bytes, little-endian), its type, a CRC-32C over length,
// type and payload (4 bytes), the payload. The first frame is the Header.
const (
	Magic          = "BGREC01\n"
	frameHeadBytes = 9
	// MaxFrame bounds a frame's payload in bytes, packed or not.
	MaxFrame = 4 << 20
)

// Types of frames.
const (
	FrameHeader = 'H'
	FrameBatch  = 'B'
	FrameZstd   = 'Z' // a Batch, packed with zstd
	FrameEnd    = 'E' // the segment was closed in order; behind it comes nothing
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Faults of a segment.
var (
	ErrTorn    = errors.New("ends in the midst of a frame")
	ErrCorrupt = errors.New("is damaged")
)

// beginFrame makes room for a frame's head; endFrame fills it in.
func beginFrame(dst []byte, typ byte) []byte {
	return append(dst, 0, 0, 0, 0, typ, 0, 0, 0, 0)
}

func endFrame(dst []byte, at int) []byte {
	h := dst[at : at+frameHeadBytes]
	payload := dst[at+frameHeadBytes:]
	binary.LittleEndian.PutUint32(h, uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[5:], checksum(h[:5], payload))
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

// NewFrames reads a segment from its first byte on.
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

// Offset is the offset behind the last whole frame.
func (f *Frames) Offset() int64 { return f.offset }

// Next returns the next frame; the payload is valid until the call after. At the file's end the error is io.EOF, in
// the midst of a frame it wraps ErrTorn, where the bytes are not as they were written ErrCorrupt.
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
	if checksum(head[:5], payload) != binary.LittleEndian.Uint32(head[5:]) {
		return 0, nil, fmt.Errorf("%w: checksum of a frame", ErrCorrupt)
	}
	f.offset += frameHeadBytes + int64(n)
	return head[4], payload, nil
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

// ResumeFrames goes on in a segment behind a whole frame.
func ResumeFrames(r io.Reader, at int64) *Frames { return &Frames{reader: r, offset: at} }
