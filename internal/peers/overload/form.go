package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// The form of a message: a byte for what it is, then numbers as varints. Rates are in 64ths, times in thousandths.

// ErrForm is of a message that cannot be read.
var ErrForm = errors.New("overload: not of the form")

// Verbs of messages.
const (
	verbTell = iota + 1
	verbAnswer
	verbWant
	verbFound
)

const (
	rateGrain = 64
	timeGrain = 1000
	partGrain = 255
)

func putX(b []byte, x, grain float64) []byte {
	if math.IsNaN(x) {
		x = 0
	}
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), 1e15)*grain)))
}

// Append is part.Words'.
func (t *Tell) Append(b []byte) []byte {
	b = append(b, verbTell)
	b = binary.AppendUvarint(b, uint64(t.Seq))
	b = putX(b, t.Stamp, timeGrain)
	b = putX(b, t.Held, timeGrain)
	b = append(b, byte(len(t.Work)))
	for _, f := range t.Work {
		b = binary.BigEndian.AppendUint16(b, f.Key)
		b = append(b, grain(f.X))
	}
	b = append(b, byte(len(t.Groups)))
	for i := range t.Groups {
		p := &t.Groups[i]
		b = binary.AppendUvarint(b, uint64(p.Group))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(p.Budget)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(p.Level)))
		b = append(b, byte(len(p.Classes)), byte(len(p.Tenants)))
		for _, f := range p.Classes {
			b = binary.BigEndian.AppendUint16(b, f.Key)
			for _, x := range [...]float64{f.First, f.Again, f.In, f.Done, f.Ended, f.Strain, f.Open} {
				b = putX(b, x, rateGrain)
			}
		}
		for _, f := range p.Tenants {
			b = putX(binary.BigEndian.AppendUint16(b, f.Key), f.X, rateGrain)
		}
	}
	return b
}

// Append is part.Words'.
func (a *Answer) Append(b []byte) []byte {
	b = append(b, verbAnswer)
	b = binary.AppendUvarint(b, uint64(a.Seq))
	b = putX(b, a.Stamp, timeGrain)
	b = append(b, byte(len(a.Order)))
	for _, k := range a.Order {
		b = binary.BigEndian.AppendUint16(b, k)
	}
	b = append(b, byte(len(a.Groups)))
	for i := range a.Groups {
		v := &a.Groups[i]
		b = binary.AppendUvarint(b, uint64(v.Group))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v.Budget)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v.Level)))
		b = append(b, byte(len(v.Beyond)))
		for _, f := range v.Beyond {
			b = append(binary.BigEndian.AppendUint16(b, f.Key), byte(math.Round(min(1, f.X)*partGrain)))
		}
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

func (r *reader) byte() int   { return int(r.take(1)[0]) }
func (r *reader) key() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) single() float64 {
	return r.fine(float64(math.Float32frombits(binary.BigEndian.Uint32(r.take(4)))))
}
func (r *reader) x(g float64) float64 { return float64(r.uint()) / g }

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return x
}

func (r *reader) fine(x float64) float64 {
	if !finite(x) {
		r.bad = true
		return 0
	}
	return x
}

func (r *reader) count(most int) int {
	n := r.byte()
	if n > most {
		r.bad = true
		return 0
	}
	return n
}

func (r *reader) number() int {
	x := r.uint()
	if x > math.MaxInt32 {
		r.bad = true
	}
	return int(x & math.MaxInt32)
}

// Read reads a message.
func Read(b []byte) (any, error) {
	r := &reader{b: b}
	var m any
	switch verb := r.byte(); verb {
	case verbTell:
		m = r.tell()
	case verbAnswer:
		m = r.answer()
	case verbWant:
		m = r.want()
	case verbFound:
		m = r.found()
	default:
		return nil, fmt.Errorf("%w: verb %d", ErrForm, verb)
	}
	if r.bad || len(r.b) > 0 {
		return nil, ErrForm
	}
	return m, nil
}

func (r *reader) tell() *Tell {
	t := &Tell{Seq: uint32(r.uint()), Stamp: r.x(timeGrain), Held: r.x(timeGrain)}
	for range r.count(MostClasses) {
		t.Work = append(t.Work, Figure{r.key(), ungrain(uint8(r.byte()))})
	}
	for range r.count(Block) {
		p := Pressure{Group: r.number(), Budget: r.single(), Level: r.single()}
		classes, tenants := r.count(MostClasses), r.count(MostTenants)
		for range classes {
			f := Flow{Key: r.key()}
			for _, to := range [...]*float64{&f.First, &f.Again, &f.In, &f.Done, &f.Ended, &f.Strain, &f.Open} {
				*to = r.fine(r.x(rateGrain))
			}
			p.Classes = append(p.Classes, f)
		}
		for range tenants {
			p.Tenants = append(p.Tenants, Figure{r.key(), r.fine(r.x(rateGrain))})
		}
		t.Groups = append(t.Groups, p)
	}
	return t
}

func (r *reader) answer() *Answer {
	a := &Answer{Seq: uint32(r.uint()), Stamp: r.x(timeGrain)}
	for range r.count(MostClasses) {
		a.Order = append(a.Order, r.key())
	}
	for range r.count(Block) {
		v := Verdict{Group: r.number(), Budget: r.single(), Level: r.single()}
		for range r.count(MostTenants * 2) {
			v.Beyond = append(v.Beyond, Figure{r.key(), float64(r.byte()) / partGrain})
		}
		a.Groups = append(a.Groups, v)
	}
	return a
}
