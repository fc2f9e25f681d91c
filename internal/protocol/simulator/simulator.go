// Package simulator is the codec of the simulator's protocol: it reads batches of events for several instances of the decision
// module, and writes the actions of each. The themed names of the protocol's messages and fields are mapped to standard terms here.
//
// It makes no decisions. It converts replication positions to times on the clock. The memory of a Decoder is bounded by its longest line,
// by maxLists lists, and by the number of instances.
package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"beechgrade/internal/decide"
)

// Kind is the kind of an Item.
type Kind uint8

const (
	// StartInstance starts a new instance: Settings and Seed are set.
	StartInstance Kind = iota
	// StopInstance reports that the instance was killed.
	StopInstance
	// DeliverEvent delivers Event to the instance.
	DeliverEvent
)

// Item is one event of a batch for one instance.
type Item struct {
	Instance int
	Kind     Kind
	Seed     uint64
	Settings decide.Settings
	Event    decide.Event
}

// Batch contains the events that happen at one time.
type Batch struct {
	Now   decide.Time
	Items []Item
}

const (
	maxLists    = 16      // numbered endpoint lists of the protocol
	inputBuffer = 1 << 20 // bytes; a longer line is copied
)

// Names of the lines that begin and end a batch.
const (
	lineBatch    = "SYNC"
	lineBatchEnd = "COMMIT"
	fieldNow     = "wall_ns"
)

// Decoder reads batches. It holds the numbered endpoint lists and the time of position 0 of each instance, because these belong to the
// process and not to an instance of the decision module.
type Decoder struct {
	in           *bufio.Reader
	lineNumber   int
	lists        [maxLists][]decide.Endpoint
	positionZero map[int]time.Duration // time of position 0, by instance
	longLine     []byte
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, inputBuffer), positionZero: map[int]time.Duration{}}
}

// Next reads one batch. It returns io.EOF when the input ends between batches; any other error names its line.
func (d *Decoder) Next() (*Batch, error) {
	first, err := d.readLine()
	for err == nil && len(first) == 0 {
		first, err = d.readLine()
	}
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, d.wrap(err)
	}
	batch, err := decodeBatchStart(first)
	if err != nil {
		return nil, d.wrap(err)
	}
	for {
		text, err := d.readLine()
		if err != nil {
			return nil, d.wrap(err)
		}
		if len(text) == 0 {
			continue
		}
		line := newLine(text)
		if line.name == lineBatchEnd {
			return batch, nil
		}
		if err := d.decodeLine(batch, line); err != nil {
			return nil, d.wrap(err)
		}
	}
}

// decodeBatchStart decodes the first line of a batch.
func decodeBatchStart(text []byte) (*Batch, error) {
	line := newLine(text)
	if line.name != lineBatch {
		return nil, fmt.Errorf("want %s, got %q", lineBatch, line.name)
	}
	batch := &Batch{}
	hasTime := false
	for line.next() {
		if line.key == fieldNow {
			batch.Now = line.duration()
			hasTime = true
		}
	}
	if !hasTime {
		line.fail(fieldNow)
	}
	return batch, line.err
}

// readLine returns the next line without its end; it is valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.longLine = d.longLine[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.longLine = append(d.longLine, part...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(part)+len(d.longLine) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		d.lineNumber++
		if len(d.longLine) > 0 {
			d.longLine = append(d.longLine, part...)
			part = d.longLine
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'}), nil
	}
}

// wrap adds the number of the current line to an error. The end of the input within a batch is unexpected.
func (d *Decoder) wrap(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("wire: line %d: %w", d.lineNumber, err)
}
