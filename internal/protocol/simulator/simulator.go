// Package simulator is the codec of the simulator's wire: batches of events in, lines of actions out.
// It holds no decision; positions become times on the clock here, once.
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

// Kind says what an Item of a batch is.
type Kind uint8

// The kinds.
const (
	StartInstance Kind = iota // a fresh instance: Settings and Seed are set
	StopInstance              // the instance was killed
	DeliverEvent              // Event is for the instance
)

// Item is one event of a batch for one instance.
type Item struct {
	Instance int
	Kind     Kind
	Seed     uint64
	Settings decide.Settings
	Event    decide.Event
}

// Batch is what arrived at one time.
type Batch struct {
	Now   decide.Time
	Items []Item
}

// slots is how many numbered lists the wire has.
const slots = 16

// Decoder reads batches. Numbered lists and each instance's zero of positions live here, because
// they belong to the process and not to a router.
type Decoder struct {
	in    *bufio.Reader
	line  int
	lists [slots][]decide.Endpoint
	zero  map[int]time.Duration
	long  []byte
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), zero: map[int]time.Duration{}}
}

// readLine returns the next line without its end; it is valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.long = d.long[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.long = append(d.long, part...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(part)+len(d.long) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		d.line++
		if len(d.long) > 0 {
			d.long = append(d.long, part...)
			part = d.long
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'}), nil
	}
}

func (d *Decoder) wrap(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("wire: line %d: %w", d.line, err)
}

// Next reads one batch. It returns io.EOF when the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	first, err := d.readLine()
	for err == nil && len(first) == 0 {
		first, err = d.readLine()
	}
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, d.wrap(err)
	}
	f := newFields(first)
	if f.name != "SYNC" {
		return nil, d.wrap(fmt.Errorf("want SYNC, got %q", f.name))
	}
	b := &Batch{}
	seen := false
	for f.next() {
		if f.key == "wall_ns" {
			b.Now, seen = f.duration(), true
		}
	}
	if !seen {
		f.fail("wall_ns")
	}
	if f.err != nil {
		return nil, d.wrap(f.err)
	}
	for {
		line, err := d.readLine()
		if err != nil {
			return nil, d.wrap(err)
		}
		if len(line) == 0 {
			continue
		}
		f := newFields(line)
		if f.name == "COMMIT" {
			return b, nil
		}
		if err := d.item(b, f); err != nil {
			return nil, d.wrap(err)
		}
	}
}
