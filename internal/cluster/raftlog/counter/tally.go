// Package counter is the plainest user of the log in common: each proposer's numbered entries, each taken once, and a sum over all of
// them in their order. It is the witness of tests and measurements, and of a fleet that tries its voters: where two tallies have taken
// the same number of entries, their sums are the same.
package counter

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Window bounds how far a proposer's numbers may be ahead of the first that is missing.
const Window = 4096

const (
	maxProposers = 1024
	maxNameBytes = 64
)

// ErrMalformed is that of bytes that are no tally.
var ErrMalformed = errors.New("not a tally")

// Counter is the Machine.
type Counter struct {
	AppliedIndex    uint64 // of the last entry
	Counted         uint64
	Duplicates      uint64 // entries that were there before
	Checksum        uint64 // of those taken, in their order
	proposers       []*proposer
	CountDuplicates bool // a mutant: entries are taken again
}

type proposer struct {
	name       string
	contiguous uint64   // all up to it are taken
	beyond     []uint64 // that are taken beyond it, in their order
}

func (p *proposer) has(number uint64) bool {
	_, above := slices.BinarySearch(p.beyond, number)
	return number <= p.contiguous || above
}

// EncodeEntry makes a proposer's numbered entry, the first of which is 1, with so many bytes beside.
func EncodeEntry(name string, number uint64, pad int) []byte {
	b := append([]byte{byte(len(name))}, name...)
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, make([]byte, pad)...)
}

// DecodeEntry takes an entry apart.
func DecodeEntry(entry []byte) (name string, number uint64, ok bool) {
	if len(entry) < 1 || len(entry) < 9+int(entry[0]) || entry[0] > maxNameBytes {
		return "", 0, false
	}
	n := int(entry[0])
	return string(entry[1 : 1+n]), binary.BigEndian.Uint64(entry[1+n:]), true
}

func (c *Counter) proposerOf(name string, create bool) *proposer {
	i, found := slices.BinarySearchFunc(c.proposers, name, func(p *proposer, n string) int { return strings.Compare(p.name, n) })
	if !found && create && len(c.proposers) < maxProposers {
		c.proposers = slices.Insert(c.proposers, i, &proposer{name: name})
		found = true
	}
	if !found {
		return nil
	}
	return c.proposers[i]
}

// Has tells whether a proposer's entry has been taken.
func (c *Counter) Has(name string, number uint64) bool {
	p := c.proposerOf(name, false)
	return p != nil && p.has(number)
}

// Numbers are how many different entries of each proposer have been taken, one by one.
func (c *Counter) Numbers() (out []uint64) {
	for _, p := range c.proposers {
		for n := uint64(1); n <= p.contiguous; n++ {
			out = append(out, n)
		}
		out = append(out, p.beyond...)
	}
	return out
}

// Apply is Machine's.
func (c *Counter) Apply(index uint64, entry []byte) {
	c.AppliedIndex = index
	name, number, ok := DecodeEntry(entry)
	if !ok || number == 0 {
		return
	}
	p := c.proposerOf(name, true)
	if p == nil || number > p.contiguous+Window {
		return
	}
	if p.has(number) && !c.CountDuplicates {
		c.Duplicates++
		return
	}
	if at, above := slices.BinarySearch(p.beyond, number); number > p.contiguous && !above {
		p.beyond = slices.Insert(p.beyond, at, number)
		n := 0
		for n < len(p.beyond) && p.beyond[n] == p.contiguous+1 {
			p.contiguous++
			n++
		}
		p.beyond = slices.Delete(p.beyond, 0, n)
	}
	c.Counted++
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], c.Checksum)
	c.Checksum = xxhash.Sum64(append(b[:], entry...))
}

// Snapshot is Machine's.
func (c *Counter) Snapshot() []byte {
	var b []byte
	for _, x := range []uint64{c.AppliedIndex, c.Counted, c.Duplicates, c.Checksum, uint64(len(c.proposers))} {
		b = binary.AppendUvarint(b, x)
	}
	for _, p := range c.proposers {
		b = binary.AppendUvarint(b, uint64(len(p.name)))
		b = append(b, p.name...)
		b = binary.AppendUvarint(b, p.contiguous)
		b = binary.AppendUvarint(b, uint64(len(p.beyond)))
		for _, x := range p.beyond {
			b = binary.AppendUvarint(b, x)
		}
	}
	return b
}

// Restore is Machine's.
func (c *Counter) Restore(b []byte) error {
	*c = Counter{CountDuplicates: c.CountDuplicates}
	if len(b) == 0 {
		return nil
	}
	ok := true
	num := func() uint64 {
		x, n := binary.Uvarint(b)
		if n <= 0 {
			ok, b = false, nil
			return 0
		}
		b = b[n:]
		return x
	}
	c.AppliedIndex, c.Counted, c.Duplicates, c.Checksum = num(), num(), num(), num()
	for n := num(); n > 0 && ok; n-- {
		k := num()
		if k > maxNameBytes || k > uint64(len(b)) {
			return ErrMalformed
		}
		p := &proposer{name: string(b[:k])}
		b = b[k:]
		p.contiguous = num()
		for m := num(); m > 0 && ok; m-- {
			p.beyond = append(p.beyond, num())
		}
		c.proposers = append(c.proposers, p)
	}
	if !ok || len(b) > 0 {
		return ErrMalformed
	}
	return nil
}
