// Package counter is the simplest user of the replicated log: it counts the numbered entries of each proposer once, and keeps a checksum
// over all of them in their order. Tests, measurements, and a fleet that tries its voters compare it: where two counters have counted the
// same number of entries, their checksums are equal.
package counter

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/encoding"
)

// Window bounds how far a proposer's numbers may be ahead of the first that is missing.
const Window = 4096

const (
	maxProposers = 1024
	maxNameBytes = 64
	numberBytes  = 8
)

// ErrMalformed is returned for bytes that are no snapshot of a counter.
var ErrMalformed = errors.New("counter: malformed snapshot")

// Counter is a raftlog.Machine.
type Counter struct {
	AppliedIndex    uint64 // of the last entry
	Counted         uint64
	Duplicates      uint64 // entries that were counted before
	Checksum        uint64 // of those counted, in their order
	CountDuplicates bool   // a fault for tests: entries are counted again
	proposers       []*proposer
}

type proposer struct {
	name       string
	contiguous uint64   // all numbers up to it are counted
	beyond     []uint64 // counted numbers above it, sorted
}

func (p *proposer) has(number uint64) bool {
	_, found := slices.BinarySearch(p.beyond, number)
	return number <= p.contiguous || found
}

// count adds a number, if it is not there.
func (p *proposer) count(number uint64) {
	at, found := slices.BinarySearch(p.beyond, number)
	if number <= p.contiguous || found {
		return
	}
	p.beyond = slices.Insert(p.beyond, at, number)
	joined := 0
	for joined < len(p.beyond) && p.beyond[joined] == p.contiguous+1 {
		p.contiguous++
		joined++
	}
	p.beyond = slices.Delete(p.beyond, 0, joined)
}

// EncodeEntry makes a proposer's numbered entry, the first of which is 1, with so many bytes of padding.
func EncodeEntry(name string, number uint64, padding int) []byte {
	b := append([]byte{byte(len(name))}, name...)
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, make([]byte, padding)...)
}

// DecodeEntry returns the proposer and the number of an entry.
func DecodeEntry(entry []byte) (name string, number uint64, ok bool) {
	if len(entry) == 0 {
		return "", 0, false
	}
	nameBytes := int(entry[0])
	if nameBytes > maxNameBytes || len(entry) < 1+nameBytes+numberBytes {
		return "", 0, false
	}
	return string(entry[1 : 1+nameBytes]), binary.BigEndian.Uint64(entry[1+nameBytes:]), true
}

func (c *Counter) find(name string) (index int, found bool) {
	return slices.BinarySearchFunc(c.proposers, name, func(p *proposer, name string) int { return strings.Compare(p.name, name) })
}

// proposerOf finds or adds a proposer; nil where there are too many.
func (c *Counter) proposerOf(name string) *proposer {
	i, found := c.find(name)
	if found {
		return c.proposers[i]
	}
	if len(c.proposers) >= maxProposers {
		return nil
	}
	added := &proposer{name: name}
	c.proposers = slices.Insert(c.proposers, i, added)
	return added
}

// Has reports whether a proposer's entry is counted.
func (c *Counter) Has(name string, number uint64) bool {
	i, found := c.find(name)
	return found && c.proposers[i].has(number)
}

// Numbers returns the numbers that are counted, of one proposer after another.
func (c *Counter) Numbers() []uint64 {
	var numbers []uint64
	for _, p := range c.proposers {
		for number := uint64(1); number <= p.contiguous; number++ {
			numbers = append(numbers, number)
		}
		numbers = append(numbers, p.beyond...)
	}
	return numbers
}

// Apply counts an entry, once; it is a method of raftlog.Machine.
func (c *Counter) Apply(index uint64, entry []byte) {
	c.AppliedIndex = index
	name, number, ok := DecodeEntry(entry)
	if !ok || number == 0 {
		return
	}
	p := c.proposerOf(name)
	if p == nil || number > p.contiguous+Window {
		return
	}
	if p.has(number) && !c.CountDuplicates {
		c.Duplicates++
		return
	}
	p.count(number)
	c.Counted++
	b := binary.BigEndian.AppendUint64(nil, c.Checksum)
	c.Checksum = xxhash.Sum64(append(b, entry...))
}

// Snapshot encodes the counter; it is a method of raftlog.Machine.
func (c *Counter) Snapshot() []byte {
	var b []byte
	for _, number := range []uint64{c.AppliedIndex, c.Counted, c.Duplicates, c.Checksum, uint64(len(c.proposers))} {
		b = binary.AppendUvarint(b, number)
	}
	for _, p := range c.proposers {
		b = binary.AppendUvarint(b, uint64(len(p.name)))
		b = append(b, p.name...)
		b = binary.AppendUvarint(b, p.contiguous)
		b = binary.AppendUvarint(b, uint64(len(p.beyond)))
		for _, number := range p.beyond {
			b = binary.AppendUvarint(b, number)
		}
	}
	return b
}

// Restore takes the counter from a snapshot; it is a method of raftlog.Machine.
func (c *Counter) Restore(snapshot []byte) error {
	*c = Counter{CountDuplicates: c.CountDuplicates}
	if len(snapshot) == 0 {
		return nil
	}
	r := encoding.NewReader(snapshot)
	c.AppliedIndex = r.Uvarint()
	c.Counted = r.Uvarint()
	c.Duplicates = r.Uvarint()
	c.Checksum = r.Uvarint()
	for n := r.Uvarint(); n > 0 && r.OK(); n-- {
		p := &proposer{name: string(r.Take(int(r.UvarintMax(maxNameBytes))))}
		p.contiguous = r.Uvarint()
		for m := r.Uvarint(); m > 0 && r.OK(); m-- {
			p.beyond = append(p.beyond, r.Uvarint())
		}
		c.proposers = append(c.proposers, p)
	}
	if !r.AtEnd() {
		return ErrMalformed
	}
	return nil
}
