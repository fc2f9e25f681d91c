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
	mostNames = 1024
	mostName  = 64
)

// ErrForm is that of bytes that are no tally.
var ErrForm = errors.New("not a tally")

// Tally is the Machine.
type Tally struct {
	Index  uint64 // of the last entry
	Taken  uint64
	Again  uint64 // entries that were there before
	Sum    uint64 // of those taken, in their order
	names  []*proposer
	Sloppy bool // a mutant: entries are taken again
}

type proposer struct {
	name  string
	low   uint64   // all up to it are taken
	above []uint64 // that are taken beyond it, in their order
}

func (p *proposer) has(number uint64) bool {
	_, above := slices.BinarySearch(p.above, number)
	return number <= p.low || above
}

// Entry makes a proposer's numbered entry, the first of which is 1, with so many bytes beside.
func Entry(name string, number uint64, pad int) []byte {
	b := append([]byte{byte(len(name))}, name...)
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, make([]byte, pad)...)
}

// Read takes an entry apart.
func Read(entry []byte) (name string, number uint64, ok bool) {
	if len(entry) < 1 || len(entry) < 9+int(entry[0]) || entry[0] > mostName {
		return "", 0, false
	}
	n := int(entry[0])
	return string(entry[1 : 1+n]), binary.BigEndian.Uint64(entry[1+n:]), true
}

func (t *Tally) of(name string, make bool) *proposer {
	i, found := slices.BinarySearchFunc(t.names, name, func(p *proposer, n string) int { return strings.Compare(p.name, n) })
	if !found && make && len(t.names) < mostNames {
		t.names = slices.Insert(t.names, i, &proposer{name: name})
		found = true
	}
	if !found {
		return nil
	}
	return t.names[i]
}

// Has tells whether a proposer's entry has been taken.
func (t *Tally) Has(name string, number uint64) bool {
	p := t.of(name, false)
	return p != nil && p.has(number)
}

// Numbers are how many different entries of each proposer have been taken, one by one.
func (t *Tally) Numbers() (out []uint64) {
	for _, p := range t.names {
		for n := uint64(1); n <= p.low; n++ {
			out = append(out, n)
		}
		out = append(out, p.above...)
	}
	return out
}

// Apply is Machine's.
func (t *Tally) Apply(index uint64, entry []byte) {
	t.Index = index
	name, number, ok := Read(entry)
	if !ok || number == 0 {
		return
	}
	p := t.of(name, true)
	if p == nil || number > p.low+Window {
		return
	}
	if p.has(number) && !t.Sloppy {
		t.Again++
		return
	}
	if at, above := slices.BinarySearch(p.above, number); number > p.low && !above {
		p.above = slices.Insert(p.above, at, number)
		n := 0
		for n < len(p.above) && p.above[n] == p.low+1 {
			p.low++
			n++
		}
		p.above = slices.Delete(p.above, 0, n)
	}
	t.Taken++
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], t.Sum)
	t.Sum = xxhash.Sum64(append(b[:], entry...))
}

// Snapshot is Machine's.
func (t *Tally) Snapshot() []byte {
	var b []byte
	for _, x := range []uint64{t.Index, t.Taken, t.Again, t.Sum, uint64(len(t.names))} {
		b = binary.AppendUvarint(b, x)
	}
	for _, p := range t.names {
		b = binary.AppendUvarint(b, uint64(len(p.name)))
		b = append(b, p.name...)
		b = binary.AppendUvarint(b, p.low)
		b = binary.AppendUvarint(b, uint64(len(p.above)))
		for _, x := range p.above {
			b = binary.AppendUvarint(b, x)
		}
	}
	return b
}

// Restore is Machine's.
func (t *Tally) Restore(b []byte) error {
	*t = Tally{Sloppy: t.Sloppy}
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
	t.Index, t.Taken, t.Again, t.Sum = num(), num(), num(), num()
	for n := num(); n > 0 && ok; n-- {
		k := num()
		if k > mostName || k > uint64(len(b)) {
			return ErrForm
		}
		p := &proposer{name: string(b[:k])}
		b = b[k:]
		p.low = num()
		for m := num(); m > 0 && ok; m-- {
			p.above = append(p.above, num())
		}
		t.names = append(t.names, p)
	}
	if !ok || len(b) > 0 {
		return ErrForm
	}
	return nil
}
