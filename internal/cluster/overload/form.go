package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/encoding"
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
type reader struct{ encoding.Reader }

func (r *reader) single() float64     { return r.fine(float64(math.Float32frombits(r.Uint32()))) }
func (r *reader) x(g float64) float64 { return float64(r.Uvarint()) / g }
func (r *reader) number() int         { return int(r.UvarintMax(math.MaxInt32)) }

func (r *reader) fine(x float64) float64 {
	if r.Require(finite(x)); !r.OK() {
		return 0
	}
	return x
}

// Read reads a message.
func Read(b []byte) (any, error) {
	r := &reader{encoding.NewReader(b)}
	var m any
	switch verb := r.Byte(); verb {
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
	if !r.AtEnd() {
		return nil, ErrForm
	}
	return m, nil
}

func (r *reader) tell() *Tell {
	t := &Tell{Seq: uint32(r.Uvarint()), Stamp: r.x(timeGrain), Held: r.x(timeGrain)}
	for range r.ByteMax(MostClasses) {
		t.Work = append(t.Work, Figure{r.Uint16(), ungrain(r.Byte())})
	}
	for range r.ByteMax(Block) {
		p := Pressure{Group: r.number(), Budget: r.single(), Level: r.single()}
		classes, tenants := r.ByteMax(MostClasses), r.ByteMax(MostTenants)
		for range classes {
			f := Flow{Key: r.Uint16()}
			for _, to := range [...]*float64{&f.First, &f.Again, &f.In, &f.Done, &f.Ended, &f.Strain, &f.Open} {
				*to = r.fine(r.x(rateGrain))
			}
			p.Classes = append(p.Classes, f)
		}
		for range tenants {
			p.Tenants = append(p.Tenants, Figure{r.Uint16(), r.fine(r.x(rateGrain))})
		}
		t.Groups = append(t.Groups, p)
	}
	return t
}

func (r *reader) answer() *Answer {
	a := &Answer{Seq: uint32(r.Uvarint()), Stamp: r.x(timeGrain)}
	for range r.ByteMax(MostClasses) {
		a.Order = append(a.Order, r.Uint16())
	}
	for range r.ByteMax(Block) {
		v := Verdict{Group: r.number(), Budget: r.single(), Level: r.single()}
		for range r.ByteMax(MostTenants * 2) {
			v.Beyond = append(v.Beyond, Figure{r.Uint16(), float64(r.Byte()) / partGrain})
		}
		a.Groups = append(a.Groups, v)
	}
	return a
}
