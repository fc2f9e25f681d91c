package overload

import (
	"encoding/binary"
	"math"
)

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func (r *reader) text() string { return string(r.Take(int(r.Byte()))) }

// Append implements module.Message.
func (w *ProbeRequest) Append(b []byte) []byte {
	return binary.AppendUvarint(appendText(append(b, kindProbeRequest), w.Server), uint64(w.Sequence))
}

// Append implements module.Message.
func (f *ProbeResult) Append(b []byte) []byte {
	b = binary.AppendUvarint(appendText(append(b, kindProbeResult), f.Server), uint64(f.Sequence))
	b = append(appendScaled(b, f.StartedMsAgo, unitsPerMs), byte(f.Result), f.Kind, f.Role)
	return appendScaled(b, math.Floor(f.Position*unitsPerMs)/unitsPerMs, unitsPerMs) // never newer than it is
}

func (r *reader) probeRequest() *ProbeRequest { return &ProbeRequest{r.text(), uint32(r.Uvarint())} }

func (r *reader) probeResult() *ProbeResult {
	f := &ProbeResult{Server: r.text(), Sequence: uint32(r.Uvarint()), StartedMsAgo: r.scaled(unitsPerMs)}
	f.Result, f.Kind, f.Role = Result(r.Byte()), r.Byte(), r.Byte()
	f.Position = r.scaled(unitsPerMs)
	r.Require(f.Result <= InProgress && finite(f.Position))
	return f
}
