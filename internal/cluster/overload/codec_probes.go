package overload

import (
	"encoding/binary"
	"math"
)

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func (r *reader) text() string { return string(r.Take(int(r.Byte()))) }

// Append implements module.Message.
func (request *ProbeRequest) Append(b []byte) []byte {
	return binary.AppendUvarint(appendText(append(b, kindProbeRequest), request.Server), uint64(request.Sequence))
}

// Append implements module.Message.
func (result *ProbeResult) Append(b []byte) []byte {
	b = binary.AppendUvarint(appendText(append(b, kindProbeResult), result.Server), uint64(result.Sequence))
	b = append(appendScaled(b, result.StartedMsAgo, unitsPerMs), byte(result.Result), result.Kind, result.Role)
	return appendScaled(b, math.Floor(result.Position*unitsPerMs)/unitsPerMs, unitsPerMs) // rounded down: a decoded position is never newer than the encoded one
}

func (r *reader) probeRequest() *ProbeRequest { return &ProbeRequest{r.text(), uint32(r.Uvarint())} }

func (r *reader) probeResult() *ProbeResult {
	result := &ProbeResult{Server: r.text(), Sequence: uint32(r.Uvarint()), StartedMsAgo: r.scaled(unitsPerMs)}
	result.Result, result.Kind, result.Role = Result(r.Byte()), r.Byte(), r.Byte()
	result.Position = r.scaled(unitsPerMs)
	r.Require(result.Result <= InProgress && finite(result.Position))
	return result
}
