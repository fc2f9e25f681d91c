package verdicts

import (
	"encoding/binary"
	"errors"
	"math"
)

// The form of a message: a byte for what it is, then numbers as varints; ages are in tenths of a ms, one too long ago is the longest.

// ErrForm is of a message that cannot be read.
var ErrForm = errors.New("verdicts: not of the form")

const (
	verbTell = iota + 1
	verbWord
)

const (
	ageGrain   = 10
	placeGrain = 1000
	mostAge    = 1e7
	mostPlace  = 1e13
	mostZones  = 8
)

func putAge(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), mostAge)*ageGrain)))
}

// putSaid rounds a position down: it is never newer than it was.
func putSaid(b []byte, s Said, age float64) []byte {
	b = append(b, byte(s.Role))
	if s.Role == Unsaid && s.Position <= 0 {
		return append(b, 0)
	}
	return putAge(binary.AppendUvarint(b, uint64(min(max(0, s.Position), mostPlace)*placeGrain)), age)
}

// Append is part.Words'.
func (t *Tell) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, verbTell), t.Seq)
	for i := range t.Items {
		x := &t.Items[i]
		b = binary.BigEndian.AppendUint64(b, x.Key)
		b = binary.AppendUvarint(b, uint64(max(0, x.Start)))
		b = append(b, byte(min(x.N, mostCount)))
		b = putAge(b, x.Answered+1) // 0 for none
		if x.N > 0 {
			b = putAge(putAge(putAge(b, x.First), x.Last), x.Work)
		}
		b = putSaid(b, x.Said, x.SaidAge)
	}
	return b
}

const (
	flagBad = 1 << iota
	flagAll
)

// Append is part.Words'.
func (w *Word) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, verbWord), w.Seq)
	for i := range w.Items {
		x := &w.Items[i]
		b = binary.BigEndian.AppendUint64(b, x.Key)
		b = binary.AppendUvarint(b, uint64(max(0, x.Start)))
		flags := byte(0)
		if x.Bad {
			flags |= flagBad
		}
		if x.All {
			flags |= flagAll
		}
		b = putAge(append(b, flags), x.Answered+1)
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
		b = putSaid(b, x.Said, x.SaidAge)
	}
	return b
}

// reader takes a message apart; after a fault it yields zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || len(r.b) < n {
		r.bad = true
		return make([]byte, n)
	}
	x := r.b[:n]
	r.b = r.b[n:]
	return x
}

func (r *reader) byte() int { return int(r.take(1)[0]) }

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return x
}

func (r *reader) number(grain, most float64) float64 {
	x := float64(r.uint()) / grain
	if x > most {
		r.bad = true
	}
	return x
}

func (r *reader) age() float64 { return r.number(ageGrain, mostAge) }

func (r *reader) said() (s Said, age float64) {
	role, at := r.byte(), r.number(placeGrain, mostPlace)
	if role > int(Follows) {
		r.bad = true
	}
	if role != int(Unsaid) || at > 0 {
		age = r.age()
	}
	return Said{Role(role), at}, age
}

// Read reads a message.
func Read(b []byte) (any, error) {
	r := &reader{b: b}
	switch verb := r.byte(); verb {
	case verbTell:
		t := &Tell{Seq: binary.BigEndian.Uint32(r.take(4))}
		for len(r.b) > 0 && !r.bad {
			x := Item{Key: binary.BigEndian.Uint64(r.take(8)), Start: r.number(1, mostPlace), N: r.byte(), Answered: r.age() - 1}
			if x.N > 0 {
				x.First, x.Last, x.Work = r.age(), r.age(), r.age()
				r.bad = r.bad || x.Last > x.First
			}
			x.Said, x.SaidAge = r.said()
			t.Items = append(t.Items, x)
		}
		if !r.bad {
			return t, nil
		}
	case verbWord:
		w := &Word{Seq: binary.BigEndian.Uint32(r.take(4))}
		for len(r.b) > 0 && !r.bad {
			x := Sum{Key: binary.BigEndian.Uint64(r.take(8)), Start: r.number(1, mostPlace)}
			flags := r.byte()
			x.Bad, x.All, x.Answered = flags&flagBad != 0, flags&flagAll != 0, r.age()-1
			if x.Bad {
				zones, by := r.byte(), r.byte()
				r.bad = r.bad || zones > mostZones || by > 2
				for i := 0; i < zones && !r.bad; i++ {
					x.Zones = append(x.Zones, binary.BigEndian.Uint32(r.take(4)))
				}
				for i := 0; i < by && !r.bad; i++ {
					x.By = append(x.By, ID(binary.BigEndian.Uint64(r.take(8))))
				}
				x.First, x.Last = r.age(), r.age()
				r.bad = r.bad || x.Last > x.First
			}
			x.Said, x.SaidAge = r.said()
			w.Items = append(w.Items, x)
		}
		if !r.bad {
			return w, nil
		}
	}
	return nil, ErrForm
}
