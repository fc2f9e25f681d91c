package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/encoding"
)

// A message is a byte for its kind, then numbers as varints. Rates are in 64ths, times in thousandths of a ms.

// ErrMalformed is the error of a message that cannot be decoded.
var ErrMalformed = errors.New("overload: malformed message")

// Kinds of messages.
const (
	kindReport = iota + 1
	kindDecisions
	kindProbeRequest
	kindProbeResult
)

const (
	unitsPerRate  = 64
	unitsPerMs    = 1000
	unitsPerShare = 255
)

func appendScaled(b []byte, x, grain float64) []byte {
	if math.IsNaN(x) {
		x = 0
	}
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), 1e15)*grain)))
}

// Append implements module.Message.
func (t *LoadReport) Append(b []byte) []byte {
	b = append(b, kindReport)
	b = binary.AppendUvarint(b, uint64(t.Sequence))
	b = appendScaled(b, t.CollectorTime, unitsPerMs)
	b = appendScaled(b, t.HeldMs, unitsPerMs)
	b = append(b, byte(len(t.Work)))
	for _, f := range t.Work {
		b = binary.BigEndian.AppendUint16(b, f.Key)
		b = append(b, encodeWork(f.Value))
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
			for _, x := range [...]float64{f.FirstAttempts, f.Retries, f.Admitted, f.Served, f.Ended, f.Strain, f.Open} {
				b = appendScaled(b, x, unitsPerRate)
			}
		}
		for _, f := range p.Tenants {
			b = appendScaled(binary.BigEndian.AppendUint16(b, f.Key), f.Value, unitsPerRate)
		}
	}
	return b
}

// Append implements module.Message.
func (a *ShedDecisions) Append(b []byte) []byte {
	b = append(b, kindDecisions)
	b = binary.AppendUvarint(b, uint64(a.Sequence))
	b = appendScaled(b, a.CollectorTime, unitsPerMs)
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
		b = append(b, byte(len(v.BeyondQuota)))
		for _, f := range v.BeyondQuota {
			b = append(binary.BigEndian.AppendUint16(b, f.Key), byte(math.Round(min(1, f.Value)*unitsPerShare)))
		}
	}
	return b
}

// reader decodes a message; after a fault it returns zeros.
type reader struct{ encoding.Reader }

func (r *reader) single() float64          { return r.finite(float64(math.Float32frombits(r.Uint32()))) }
func (r *reader) scaled(g float64) float64 { return float64(r.Uvarint()) / g }
func (r *reader) number() int              { return int(r.UvarintMax(math.MaxInt32)) }

func (r *reader) finite(x float64) float64 {
	if r.Require(finite(x)); !r.OK() {
		return 0
	}
	return x
}

// Decode decodes a message: *LoadReport, *ShedDecisions, *ProbeRequest or *ProbeResult.
func Decode(b []byte) (any, error) {
	r := &reader{encoding.NewReader(b)}
	var m any
	switch verb := r.Byte(); verb {
	case kindReport:
		m = r.loadReport()
	case kindDecisions:
		m = r.shedDecisions()
	case kindProbeRequest:
		m = r.probeRequest()
	case kindProbeResult:
		m = r.probeResult()
	default:
		return nil, fmt.Errorf("%w: verb %d", ErrMalformed, verb)
	}
	if !r.AtEnd() {
		return nil, ErrMalformed
	}
	return m, nil
}

func (r *reader) loadReport() *LoadReport {
	t := &LoadReport{Sequence: uint32(r.Uvarint()), CollectorTime: r.scaled(unitsPerMs), HeldMs: r.scaled(unitsPerMs)}
	for range r.ByteMax(MaxClasses) {
		t.Work = append(t.Work, KeyedValue{r.Uint16(), decodeWork(r.Byte())})
	}
	for range r.ByteMax(GroupsPerBlock) {
		p := GroupLoad{Group: r.number(), Budget: r.single(), Level: r.single()}
		classes, tenants := r.ByteMax(MaxClasses), r.ByteMax(MaxTenants)
		for range classes {
			f := ClassLoad{Key: r.Uint16()}
			for _, to := range [...]*float64{&f.FirstAttempts, &f.Retries, &f.Admitted, &f.Served, &f.Ended, &f.Strain, &f.Open} {
				*to = r.finite(r.scaled(unitsPerRate))
			}
			p.Classes = append(p.Classes, f)
		}
		for range tenants {
			p.Tenants = append(p.Tenants, KeyedValue{r.Uint16(), r.finite(r.scaled(unitsPerRate))})
		}
		t.Groups = append(t.Groups, p)
	}
	return t
}

func (r *reader) shedDecisions() *ShedDecisions {
	a := &ShedDecisions{Sequence: uint32(r.Uvarint()), CollectorTime: r.scaled(unitsPerMs)}
	for range r.ByteMax(MaxClasses) {
		a.Order = append(a.Order, r.Uint16())
	}
	for range r.ByteMax(GroupsPerBlock) {
		v := ShedDecision{Group: r.number(), Budget: r.single(), Level: r.single()}
		for range r.ByteMax(MaxTenants * 2) {
			v.BeyondQuota = append(v.BeyondQuota, KeyedValue{r.Uint16(), float64(r.Byte()) / unitsPerShare})
		}
		a.Groups = append(a.Groups, v)
	}
	return a
}
