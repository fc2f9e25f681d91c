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

func appendScaled(b []byte, x, unitsPerOne float64) []byte {
	if math.IsNaN(x) {
		x = 0
	}
	return binary.AppendUvarint(b, uint64(math.Round(min(max(0, x), 1e15)*unitsPerOne)))
}

// Append implements module.Message.
func (report *LoadReport) Append(b []byte) []byte {
	b = append(b, kindReport)
	b = binary.AppendUvarint(b, uint64(report.Sequence))
	b = appendScaled(b, report.CollectorTime, unitsPerMs)
	b = appendScaled(b, report.HeldMs, unitsPerMs)
	b = append(b, byte(len(report.Work)))
	for _, work := range report.Work {
		b = binary.BigEndian.AppendUint16(b, work.Key)
		b = append(b, encodeWork(work.Value))
	}
	b = append(b, byte(len(report.Groups)))
	for i := range report.Groups {
		group := &report.Groups[i]
		b = binary.AppendUvarint(b, uint64(group.Group))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(group.Budget)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(group.Level)))
		b = append(b, byte(len(group.Classes)), byte(len(group.Tenants)))
		for _, class := range group.Classes {
			b = binary.BigEndian.AppendUint16(b, class.Key)
			for _, x := range [...]float64{class.FirstAttempts, class.Retries, class.Admitted, class.Served, class.Ended, class.Strain, class.Open} {
				b = appendScaled(b, x, unitsPerRate)
			}
		}
		for _, tenant := range group.Tenants {
			b = appendScaled(binary.BigEndian.AppendUint16(b, tenant.Key), tenant.Value, unitsPerRate)
		}
	}
	return b
}

// Append implements module.Message.
func (decisions *ShedDecisions) Append(b []byte) []byte {
	b = append(b, kindDecisions)
	b = binary.AppendUvarint(b, uint64(decisions.Sequence))
	b = appendScaled(b, decisions.CollectorTime, unitsPerMs)
	b = append(b, byte(len(decisions.Order)))
	for _, key := range decisions.Order {
		b = binary.BigEndian.AppendUint16(b, key)
	}
	b = append(b, byte(len(decisions.Groups)))
	for i := range decisions.Groups {
		group := &decisions.Groups[i]
		b = binary.AppendUvarint(b, uint64(group.Group))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(group.Budget)))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(group.Level)))
		b = append(b, byte(len(group.BeyondQuota)))
		for _, tenant := range group.BeyondQuota {
			b = append(binary.BigEndian.AppendUint16(b, tenant.Key), byte(math.Round(min(1, tenant.Value)*unitsPerShare)))
		}
	}
	return b
}

// reader decodes a message; after an error it returns zeros.
type reader struct{ encoding.Reader }

func (r *reader) float32() float64                   { return r.finite(float64(math.Float32frombits(r.Uint32()))) }
func (r *reader) scaled(unitsPerOne float64) float64 { return float64(r.Uvarint()) / unitsPerOne }
func (r *reader) number() int                        { return int(r.UvarintMax(math.MaxInt32)) }

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
	switch kind := r.Byte(); kind {
	case kindReport:
		m = r.loadReport()
	case kindDecisions:
		m = r.shedDecisions()
	case kindProbeRequest:
		m = r.probeRequest()
	case kindProbeResult:
		m = r.probeResult()
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrMalformed, kind)
	}
	if !r.AtEnd() {
		return nil, ErrMalformed
	}
	return m, nil
}

func (r *reader) loadReport() *LoadReport {
	report := &LoadReport{Sequence: uint32(r.Uvarint()), CollectorTime: r.scaled(unitsPerMs), HeldMs: r.scaled(unitsPerMs)}
	for range r.ByteMax(MaxClasses) {
		report.Work = append(report.Work, KeyedValue{r.Uint16(), decodeWork(r.Byte())})
	}
	for range r.ByteMax(GroupsPerBlock) {
		group := GroupLoad{Group: r.number(), Budget: r.float32(), Level: r.float32()}
		classes, tenants := r.ByteMax(MaxClasses), r.ByteMax(MaxTenants)
		for range classes {
			class := ClassLoad{Key: r.Uint16()}
			for _, field := range [...]*float64{&class.FirstAttempts, &class.Retries, &class.Admitted, &class.Served, &class.Ended, &class.Strain, &class.Open} {
				*field = r.finite(r.scaled(unitsPerRate))
			}
			group.Classes = append(group.Classes, class)
		}
		for range tenants {
			group.Tenants = append(group.Tenants, KeyedValue{r.Uint16(), r.finite(r.scaled(unitsPerRate))})
		}
		report.Groups = append(report.Groups, group)
	}
	return report
}

func (r *reader) shedDecisions() *ShedDecisions {
	decisions := &ShedDecisions{Sequence: uint32(r.Uvarint()), CollectorTime: r.scaled(unitsPerMs)}
	for range r.ByteMax(MaxClasses) {
		decisions.Order = append(decisions.Order, r.Uint16())
	}
	for range r.ByteMax(GroupsPerBlock) {
		group := ShedDecision{Group: r.number(), Budget: r.float32(), Level: r.float32()}
		for range r.ByteMax(MaxTenants * 2) {
			group.BeyondQuota = append(group.BeyondQuota, KeyedValue{r.Uint16(), float64(r.Byte()) / unitsPerShare})
		}
		decisions.Groups = append(decisions.Groups, group)
	}
	return decisions
}
