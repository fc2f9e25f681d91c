// Package bindmessage reads what a Bind message has behind its names, and writes it again with more values behind the client's own. It is
// told bytes and tells bytes; it knows no connection, nor what a value means. It takes 1000 parameters at most and copies what it keeps,
// so it holds as much as the message it was told.
package bindmessage

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// Values is what a Bind has behind its names.
type Values struct {
	Params        [][]byte // nil for NULL
	formats       []uint16
	resultFormats []byte // the forms that are wished for, as they came
}

const maxParams = 1000

// Parse takes a Bind's rest; none, of a simple query, is one without values.
func Parse(b []byte) (x Values, err error) {
	if b == nil { // a simple query's
		return Values{resultFormats: []byte{0, 0}}, nil
	}
	bad := fmt.Errorf("%w: Bind", pgwire.ErrMalformed)
	number := func() int {
		if len(b) < 2 {
			err = bad
			return 0
		}
		n := int(binary.BigEndian.Uint16(b))
		b = b[2:]
		return n
	}
	n := number()
	if n > maxParams || len(b) < 2*n {
		return x, bad
	}
	for range n {
		x.formats = append(x.formats, uint16(number()))
	}
	n = number()
	if n > maxParams {
		return x, bad
	}
	for range n {
		if len(b) < 4 {
			return x, bad
		}
		size := int32(binary.BigEndian.Uint32(b))
		if b = b[4:]; size < 0 {
			x.Params = append(x.Params, nil)
			continue
		}
		if len(b) < int(size) {
			return x, bad
		}
		x.Params, b = append(x.Params, slices.Clone(b[:size])), b[size:]
	}
	if len(b) < 2 || len(b) != 2+2*int(binary.BigEndian.Uint16(b)) || len(x.formats) > 1 && len(x.formats) != len(x.Params) {
		return x, bad
	}
	x.resultFormats = slices.Clone(b)
	return x, err
}

// EncodeWith is the same with more values behind its own, as text.
func (x *Values) EncodeWith(vals [][]byte) []byte {
	n := len(x.Params) + len(vals)
	dst := binary.BigEndian.AppendUint16(nil, uint16(n))
	for i := range n {
		form := uint16(0)
		switch {
		case i >= len(x.Params) || len(x.formats) == 0:
		case len(x.formats) == 1:
			form = x.formats[0]
		default:
			form = x.formats[i]
		}
		dst = binary.BigEndian.AppendUint16(dst, form)
	}
	dst = binary.BigEndian.AppendUint16(dst, uint16(n))
	for _, v := range append(slices.Clone(x.Params), vals...) {
		if v == nil {
			dst = binary.BigEndian.AppendUint32(dst, math.MaxUint32)
			continue
		}
		dst = append(binary.BigEndian.AppendUint32(dst, uint32(len(v))), v...)
	}
	return append(dst, x.resultFormats...)
}
