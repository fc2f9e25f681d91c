package bindmessage

import (
	"encoding/binary"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// encodeBind encodes the part of a Bind message after the names, independently of the code under test: formats, values, result formats.
func encodeBind(formats []uint16, vals [][]byte, results []uint16) []byte {
	list := func(dst []byte, codes []uint16) []byte {
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(codes)))
		for _, code := range codes {
			dst = binary.BigEndian.AppendUint16(dst, code)
		}
		return dst
	}
	b := binary.BigEndian.AppendUint16(list(nil, formats), uint16(len(vals)))
	for _, v := range vals {
		if v == nil {
			b = binary.BigEndian.AppendUint32(b, math.MaxUint32)
			continue
		}
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(v))), v...)
	}
	return list(b, results)
}

// TestValuesAreAppended: the client's values keep their formats, whether there is none, one for all or one for each; values that are
// added are text, NULL stays NULL, and a message that is truncated or too long is an error.
func TestValuesAreAppended(t *testing.T) {
	t.Parallel()
	deterministic.Check(t, func(rt *rapid.T) {
		value := rapid.OneOf(rapid.Just[[]byte](nil), rapid.SliceOfN(rapid.Byte(), 0, 5))
		vals := rapid.SliceOfN(value, 0, 4).Draw(rt, "vals")
		more := rapid.SliceOfN(value, 0, 3).Draw(rt, "more")
		results := rapid.SliceOfN(rapid.Uint16Range(0, 1), 0, 3).Draw(rt, "results")
		expanded := rapid.SliceOfN(rapid.Uint16Range(0, 1), len(vals), len(vals)).Draw(rt, "forms")
		sent := expanded
		switch rapid.IntRange(0, 2).Draw(rt, "stated") {
		case 0:
			sent, expanded = nil, make([]uint16, len(vals))
		case 1:
			one := rapid.Uint16Range(0, 1).Draw(rt, "one")
			sent = []uint16{one}
			for i := range expanded {
				expanded[i] = one
			}
		}
		b := encodeBind(sent, vals, results)
		values, err := Parse(b)
		if err != nil {
			rt.Fatalf("parsing a Bind message with %d values: %v", len(vals), err)
		}
		if diff := cmp.Diff(vals, values.Params, cmpopts.EquateEmpty()); diff != "" {
			rt.Fatalf("parsed values (-want +got):\n%s", diff)
		}
		all := append(append([][]byte{}, vals...), more...)
		if diff := cmp.Diff(encodeBind(append(expanded, make([]uint16, len(more))...), all, results), values.EncodeWith(more)); diff != "" {
			rt.Fatalf("message with %d values appended (-want +got):\n%s", len(more), diff)
		}
		if _, err := Parse(b[:rapid.IntRange(0, len(b)-1).Draw(rt, "cut")]); err == nil {
			rt.Fatal("a truncated message was accepted")
		}
		if _, err := Parse(append(b, 0)); err == nil {
			rt.Fatal("a message with an extra byte at its end was accepted")
		}
	})
}

// TestMalformedMessagesAreRejected: a message with too many values is rejected, and a simple query has none.
func TestMalformedMessagesAreRejected(t *testing.T) {
	t.Parallel()
	if _, err := Parse(encodeBind(nil, make([][]byte, maxParams), nil)); err != nil {
		t.Errorf("parsing a message with %d values, which are allowed: %v", maxParams, err)
	}
	if _, err := Parse(encodeBind(nil, make([][]byte, maxParams+1), nil)); err == nil {
		t.Error("a message with one value over the limit was accepted")
	}
	if values, err := Parse(nil); err != nil || len(values.Params) != 0 || cmp.Diff(encodeBind(nil, nil, nil), values.EncodeWith(nil)) != "" {
		t.Errorf("no Bind message: got values %v, error %v, want no values and no error", values, err)
	}
}
