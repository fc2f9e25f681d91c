// Package counter is the simplest user of the replicated log: it counts each numbered entry of each proposer once, and keeps a checksum
// over the counted entries in their order. Two counters that have counted the same number of entries have equal checksums, which tests,
// measurements and fleets with test entries use to compare voters.
package counter

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/encoding"
)

// Window bounds how far a proposer's number may be beyond its contiguous numbers.
const Window = 4096

const (
	maxProposers = 1024
	maxNameBytes = 64
	numberBytes  = 8
)

// ErrMalformed is returned for bytes that are not a snapshot of a counter.
var ErrMalformed = errors.New("counter: malformed snapshot")

// Counter is a raftlog.Machine.
type Counter struct {
	AppliedIndex    uint64 // index of the last applied entry
	Counted         uint64
	Duplicates      uint64 // entries that were counted before
	Checksum        uint64 // over the counted entries in their order
	CountDuplicates bool   // fault injection for tests: entries are counted more than once
	proposers       []*proposer
}

type proposer struct {
	name       string
	contiguous uint64   // all numbers up to this one are counted
	beyond     []uint64 // counted numbers above contiguous, sorted
}

func (p *proposer) has(number uint64) bool {
	_, found := slices.BinarySearch(p.beyond, number)
	return number <= p.contiguous || found
}

// count adds a number unless it is counted already.
func (p *proposer) count(number uint64) {
	at, found := slices.BinarySearch(p.beyond, number)
	if number <= p.contiguous || found {
		return
	}
	p.beyond = slices.Insert(p.beyond, at, number)
	merged := 0
	for merged < len(p.beyond) && p.beyond[merged] == p.contiguous+1 {
		p.contiguous++
		merged++
	}
	p.beyond = slices.Delete(p.beyond, 0, merged)
}

// EncodeEntry encodes a proposer's numbered entry, with padding bytes at its end. A proposer's first number is 1.
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

// proposerOf returns a proposer, which it adds if it is new; nil if there are too many.
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

// Numbers returns the counted numbers of all proposers, one proposer after another.
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

// Apply counts an entry, unless it is counted already; it implements raftlog.Machine.
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

// Snapshot encodes the counter; it implements raftlog.Machine.
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

// Restore replaces the counter by that of a snapshot; it implements raftlog.Machine.
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
