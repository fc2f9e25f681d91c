// Package bindmessage parses the parameters of a Bind message, and encodes them again with further values appended. It does no I/O and
// does not interpret the values. At most 1000 parameters are accepted, and Values hold at most as many bytes as the message.
package bindmessage

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// maxParams is the largest number of parameters that is accepted.
const maxParams = 1000

const formatText = 0

// nullLength is the length field of a NULL.
const nullLength = math.MaxUint32

// errMalformed is returned for a message that violates the protocol or has too many parameters.
var errMalformed = fmt.Errorf("%w: Bind", pgwire.ErrMalformed)

// Values are the parameters of a Bind message.
type Values struct {
	Params        [][]byte // nil for NULL
	formats       []uint16 // formats of the parameters: one for each, one for all, or none if all are text
	resultFormats []byte   // format codes of the results, encoded as in the message
}

// Parse parses the part of a Bind message after the names of the portal and the statement. nil stands for a simple query, which has no
// parameters.
func Parse(message []byte) (Values, error) {
	if message == nil {
		return Values{resultFormats: []byte{0, 0}}, nil
	}
	var values Values
	p := parser{rest: message}
	values.formats = p.formats()
	values.Params = p.params()
	if p.malformed || !p.atResultFormats() {
		return Values{}, errMalformed
	}
	if len(values.formats) > 1 && len(values.formats) != len(values.Params) {
		return Values{}, errMalformed
	}
	values.resultFormats = slices.Clone(p.rest)
	return values, nil
}

// parser reads the fields of a message in order.
type parser struct {
	rest      []byte
	malformed bool
}

func (p *parser) fail() { p.malformed = true }

func (p *parser) uint16() int {
	if len(p.rest) < 2 {
		p.fail()
		return 0
	}
	n := int(binary.BigEndian.Uint16(p.rest))
	p.rest = p.rest[2:]
	return n
}

// formats reads the formats of the parameters.
func (p *parser) formats() (formats []uint16) {
	count := p.uint16()
	if count > maxParams || len(p.rest) < 2*count {
		p.fail()
		return nil
	}
	for range count {
		formats = append(formats, uint16(p.uint16()))
	}
	return formats
}

// params reads the values of the parameters.
func (p *parser) params() (params [][]byte) {
	count := p.uint16()
	if count > maxParams {
		p.fail()
		return nil
	}
	for range count {
		if len(p.rest) < 4 {
			p.fail()
			return nil
		}
		length := int(int32(binary.BigEndian.Uint32(p.rest)))
		p.rest = p.rest[4:]
		if length < 0 {
			params = append(params, nil)
			continue
		}
		if len(p.rest) < length {
			p.fail()
			return nil
		}
		params = append(params, slices.Clone(p.rest[:length]))
		p.rest = p.rest[length:]
	}
	return params
}

// atResultFormats reports whether the rest of the message is exactly the list of result formats.
func (p *parser) atResultFormats() bool {
	return len(p.rest) >= 2 && len(p.rest) == 2+2*int(binary.BigEndian.Uint16(p.rest))
}

// EncodeWith encodes the parameters, followed by further values in the text format, and the result formats.
func (v *Values) EncodeWith(further [][]byte) []byte {
	params := append(slices.Clone(v.Params), further...)
	dst := binary.BigEndian.AppendUint16(nil, uint16(len(params)))
	for i := range params {
		dst = binary.BigEndian.AppendUint16(dst, v.format(i))
	}
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(params)))
	for _, param := range params {
		if param == nil {
			dst = binary.BigEndian.AppendUint32(dst, nullLength)
			continue
		}
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(param)))
		dst = append(dst, param...)
	}
	return append(dst, v.resultFormats...)
}

// format returns the format of parameter i. Those after the client's parameters are text.
func (v *Values) format(i int) uint16 {
	switch {
	case i >= len(v.Params) || len(v.formats) == 0:
		return formatText
	case len(v.formats) == 1:
		return v.formats[0]
	}
	return v.formats[i]
}
