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

// encodeBind writes a Bind's rest by the protocol's page: forms, values, wished forms.
func encodeBind(forms []uint16, vals [][]byte, results []uint16) []byte {
	list := func(dst []byte, l []uint16) []byte {
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(l)))
		for _, x := range l {
			dst = binary.BigEndian.AppendUint16(dst, x)
		}
		return dst
	}
	b := binary.BigEndian.AppendUint16(list(nil, forms), uint16(len(vals)))
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
		each := rapid.SliceOfN(rapid.Uint16Range(0, 1), len(vals), len(vals)).Draw(rt, "forms")
		stated := each
		switch rapid.IntRange(0, 2).Draw(rt, "stated") {
		case 0:
			stated, each = nil, make([]uint16, len(vals))
		case 1:
			one := rapid.Uint16Range(0, 1).Draw(rt, "one")
			stated = []uint16{one}
			for i := range each {
				each[i] = one
			}
		}
		b := encodeBind(stated, vals, results)
		x, err := Parse(b)
		if err != nil {
			rt.Fatal(err)
		}
		if diff := cmp.Diff(vals, x.Params, cmpopts.EquateEmpty()); diff != "" {
			rt.Fatal(diff)
		}
		all := append(append([][]byte{}, vals...), more...)
		if diff := cmp.Diff(encodeBind(append(each, make([]uint16, len(more))...), all, results), x.EncodeWith(more)); diff != "" {
			rt.Fatal(diff)
		}
		if _, err := Parse(b[:rapid.IntRange(0, len(b)-1).Draw(rt, "cut")]); err == nil {
			rt.Fatal("a truncated message was accepted")
		}
		if _, err := Parse(append(b, 0)); err == nil {
			rt.Fatal("a message with a byte too many was accepted")
		}
	})
}

// TestMalformedMessagesAreRejected: a message with too many values is rejected, and a simple query has none.
func TestMalformedMessagesAreRejected(t *testing.T) {
	t.Parallel()
	if _, err := Parse(encodeBind(nil, make([][]byte, maxParams), nil)); err != nil {
		t.Error(err)
	}
	if _, err := Parse(encodeBind(nil, make([][]byte, maxParams+1), nil)); err == nil {
		t.Error("one value too many was accepted")
	}
	if x, err := Parse(nil); err != nil || len(x.Params) != 0 || cmp.Diff(encodeBind(nil, nil, nil), x.EncodeWith(nil)) != "" {
		t.Error(x, err)
	}
}
