package overload

import (
	"encoding/binary"
	"math"
)

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func (r *reader) text() string { return string(r.Take(int(r.Byte()))) }

// Append is part.Words'.
func (w *Want) Append(b []byte) []byte {
	return binary.AppendUvarint(appendText(append(b, verbWant), w.Server), uint64(w.Seq))
}

// Append is part.Words'.
func (f *Found) Append(b []byte) []byte {
	b = binary.AppendUvarint(appendText(append(b, verbFound), f.Server), uint64(f.Seq))
	b = append(putX(b, f.Began, timeGrain), byte(f.Result), f.Kind, f.Role)
	return putX(b, math.Floor(f.Position*timeGrain)/timeGrain, timeGrain) // never newer than it is
}

func (r *reader) want() *Want { return &Want{r.text(), uint32(r.Uvarint())} }

func (r *reader) found() *Found {
	f := &Found{Server: r.text(), Seq: uint32(r.Uvarint()), Began: r.x(timeGrain)}
	f.Result, f.Kind, f.Role = Result(r.Byte()), r.Byte(), r.Byte()
	f.Position = r.x(timeGrain)
	r.Require(f.Result <= Busy && finite(f.Position))
	return f
}
