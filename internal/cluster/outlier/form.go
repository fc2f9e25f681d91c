package outlier

import (
	"encoding/binary"
	"errors"
	"math"

	"beechgrade/internal/encoding"
)

// The form of a message: a byte for what it is, then numbers as varints; ages are in tenths of a ms, one too long ago is the longest.

// ErrForm is of a message that cannot be read.
var ErrForm = errors.New("verdicts: not of the form")

const (
	verbTell = iota + 1
	verbWord
)

const (
	ageGrain  = 10
	mostAge   = 1e7
	mostPlace = 1e13
	mostZones = 8
)

func putAge(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), mostAge)*ageGrain)))
}

const (
	flagRole = 3 // the bits of a role
	flagSaid = 4 << iota
	flagAnswered
	flagBad
	flagAll
)

func flags(s Said, answered float64) byte {
	f := byte(s.Role)
	if s.Position > 0 {
		f |= flagSaid
	}
	if answered >= 0 {
		f |= flagAnswered
	}
	return f
}

// base is the newest position of a message; each is told as so far behind it, rounded: never newer than it was.
func putBase[T any](b []byte, items []T, said func(*T) Said) ([]byte, float64) {
	base := 0.0
	for i := range items {
		base = max(base, said(&items[i]).Position)
	}
	base = math.Ceil(min(base, mostPlace))
	return binary.AppendUvarint(b, uint64(base)), base
}

func putRest(b []byte, base float64, s Said, age, answered float64) []byte {
	if s.Position > 0 {
		b = putAge(binary.AppendUvarint(b, uint64(math.Ceil(min(max(0, base-s.Position), mostPlace)*ageGrain))), age)
	}
	if answered >= 0 {
		b = putAge(b, answered)
	}
	return b
}

// Append is part.Words'.
func (t *Tell) Append(b []byte) []byte {
	b, base := putBase(binary.BigEndian.AppendUint32(append(b, verbTell), t.Seq), t.Items, func(x *Item) Said { return x.Said })
	for i := range t.Items {
		x := &t.Items[i]
		b = append(binary.BigEndian.AppendUint32(b, x.Key), flags(x.Said, x.Answered), byte(min(x.N, mostCount)))
		if x.N > 0 {
			b = putAge(putAge(putAge(b, x.First), x.Last), x.Work)
		}
		b = putRest(b, base, x.Said, x.SaidAge, x.Answered)
	}
	return b
}

// Append is part.Words'.
func (w *Word) Append(b []byte) []byte {
	b, base := putBase(binary.BigEndian.AppendUint32(append(b, verbWord), w.Seq), w.Items, func(x *Sum) Said { return x.Said })
	for i := range w.Items {
		x := &w.Items[i]
		f := flags(x.Said, x.Answered)
		if x.Bad {
			f |= flagBad
		}
		if x.All {
			f |= flagAll
		}
		b = append(binary.BigEndian.AppendUint32(b, x.Key), f)
		if x.Bad {
			zones, by := x.Zones[:min(len(x.Zones), mostZones)], x.By[:min(len(x.By), 2)]
			b = append(b, byte(len(zones)), byte(len(by)))
			for _, z := range zones {
				b = binary.BigEndian.AppendUint32(b, z)
			}
			for _, id := range by {
				b = binary.BigEndian.AppendUint64(b, uint64(id))
			}
			b = putAge(putAge(b, x.First), x.Last)
		}
		b = putRest(b, base, x.Said, x.SaidAge, x.Answered)
	}
	return b
}

// reader takes a message apart; after a fault it yields zeros.
type reader struct{ encoding.Reader }

func (r *reader) number(grain, most float64) float64 {
	x := float64(r.Uvarint()) / grain
	r.Require(x <= most)
	return x
}

func (r *reader) age() float64 { return r.number(ageGrain, mostAge) }

// rest reads what flags say that there is.
func (r *reader) rest(f byte, base float64) (s Said, age, answered float64) {
	s.Role, answered = Role(f&flagRole), -1
	r.Require(s.Role <= Follows)
	if f&flagSaid != 0 {
		s.Position = base - r.number(ageGrain, mostPlace)
		age = r.age()
		r.Require(s.Position > 0)
	}
	if f&flagAnswered != 0 {
		answered = r.age()
	}
	return s, age, answered
}

// Read reads a message.
func Read(b []byte) (any, error) {
	r := &reader{encoding.NewReader(b)}
	verb, seq, base := r.Byte(), r.Uint32(), r.number(1, mostPlace)
	switch verb {
	case verbTell:
		t := &Tell{Seq: seq}
		for r.More() {
			x := Item{Key: r.Uint32()}
			f := r.Byte()
			if x.N = int(r.Byte()); x.N > 0 {
				x.First, x.Last, x.Work = r.age(), r.age(), r.age()
				r.Require(x.Last <= x.First)
			}
			x.Said, x.SaidAge, x.Answered = r.rest(f, base)
			t.Items = append(t.Items, x)
		}
		if r.OK() {
			return t, nil
		}
	case verbWord:
		w := &Word{Seq: seq}
		for r.More() {
			x := Sum{Key: r.Uint32()}
			f := r.Byte()
			if x.Bad, x.All = f&flagBad != 0, f&flagAll != 0; x.Bad {
				zones, by := r.ByteMax(mostZones), r.ByteMax(2)
				for i := 0; i < zones && r.OK(); i++ {
					x.Zones = append(x.Zones, r.Uint32())
				}
				for i := 0; i < by && r.OK(); i++ {
					x.By = append(x.By, ID(r.Uint64()))
				}
				x.First, x.Last = r.age(), r.age()
				r.Require(x.Last <= x.First)
			}
			x.Said, x.SaidAge, x.Answered = r.rest(f, base)
			w.Items = append(w.Items, x)
		}
		if r.OK() {
			return w, nil
		}
	}
	return nil, ErrForm
}
