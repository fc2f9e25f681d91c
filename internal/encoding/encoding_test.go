package encoding

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protowire"
)

var errTest = errors.New("malformed")

// readAll returns a message's fields, and errTest with the reason where it is malformed.
func readAll(b []byte) (fields []Field, err error) {
	malformed := func(reason error) error { return errors.Join(errTest, reason) }
	err = Fields(b, malformed, func(field Field) error {
		fields = append(fields, field)
		return nil
	})
	return fields, err
}

// testMessage is a message with a field of each type, and those fields.
func testMessage() ([]byte, []Field) {
	b := AppendUintField(nil, 1, 300)
	b = AppendFixedField(b, 2, 1<<63)
	b = AppendBytesField(b, 3, "text")
	b = AppendBytesField(b, 4, []byte{})
	b = protowire.AppendFixed32(protowire.AppendTag(b, 5, protowire.Fixed32Type), 7)
	b = protowire.AppendTag(AppendUintField(protowire.AppendTag(b, 6, protowire.StartGroupType), 1, 9), 6, protowire.EndGroupType)
	return AppendUintField(b, 1, 0), []Field{
		{Number: 1, Type: protowire.VarintType, Value: 300},
		{Number: 2, Type: protowire.Fixed64Type, Value: 1 << 63},
		{Number: 3, Type: protowire.BytesType, Bytes: []byte("text")},
		{Number: 4, Type: protowire.BytesType, Bytes: []byte{}},
		{Number: 5, Type: protowire.Fixed32Type},
		{Number: 6, Type: protowire.StartGroupType},
		{Number: 1, Type: protowire.VarintType},
	}
}

// TestFieldsComeOnceInOrder checks that each field is visited once, in order; of a message that was cut those that are complete, with an error
// unless the cut is between two.
func TestFieldsComeOnceInOrder(t *testing.T) {
	b, want := testMessage()
	got, err := readAll(b)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	for _, f := range got {
		if none := f.Number == 5 || f.Number == 6; f.HasValue() == none {
			t.Errorf("%+v: has a value: %v", f, f.HasValue())
		}
	}
	ends := 0
	for cut := range b {
		got, err := readAll(b[:cut])
		if len(got) > len(want) || !cmp.Equal(got, want[:len(got)]) && len(got) > 0 {
			t.Fatalf("cut at %d: %+v", cut, got)
		}
		if err == nil {
			ends++
		} else if !errors.Is(err, errTest) {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
	if ends != len(want) {
		t.Errorf("%d cuts are a message, of %d fields", ends, len(want))
	}
}

// TestFieldsReturnsTheVisitorsError checks that a visitor's error is returned as it is, and that nothing is visited after it.
func TestFieldsReturnsTheVisitorsError(t *testing.T) {
	b, _ := testMessage()
	own, n := errors.New("too many"), 0
	err := Fields(b, func(error) error { return errTest }, func(Field) error {
		if n++; n == 2 {
			return own
		}
		return nil
	})
	if err != own || n != 2 {
		t.Errorf("%v after %d", err, n)
	}
}

// TestHostileBytesAreMalformed checks that bytes that are no message are malformed, whatever lengths they name.
func TestHostileBytesAreMalformed(t *testing.T) {
	for name, b := range map[string][]byte{
		"a number of 0":              {0x00, 1},
		"a number above all":         {0x80, 0x80, 0x80, 0x80, 0x80, 0x01, 1},
		"an end of no group":         {0x0c},
		"a group without an end":     {0x0b, 0x08, 1},
		"another group's end":        {0x0b, 0x14},
		"a type that is none":        {0x0f},
		"a varint without an end":    {0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
		"a length above what is":     {0x0a, 0x02, 1},
		"a length above all":         {0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 1},
		"a fixed64 of 7 bytes":       {0x09, 1, 2, 3, 4, 5, 6, 7},
		"a fixed32 of 3 bytes":       {0x0d, 1, 2, 3},
		"a tag without an end":       {0x88},
		"groups within groups, open": bytes.Repeat([]byte{0x0b}, 1<<16),
	} {
		if got, err := readAll(b); !errors.Is(err, errTest) || len(got) > 0 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// TestZeroFieldsAreLeftOut checks that the functions for non-zero values leave out a zero, and else append what the others do.
func TestZeroFieldsAreLeftOut(t *testing.T) {
	if b := AppendNonEmptyBytes(AppendNonEmptyBytes(AppendNonZeroFixed(AppendNonZeroUint(nil, 1, 0), 2, 0), 3, ""), 4, []byte(nil)); len(b) > 0 {
		t.Errorf("%x of nothing", b)
	}
	b := AppendNonEmptyBytes(AppendNonEmptyBytes(AppendNonZeroFixed(AppendNonZeroUint([]byte{1}, 1, 300), 2, 2), 3, "s"), 4, []byte("b"))
	want := AppendUintField([]byte{1}, 1, 300)
	want = AppendFixedField(want, 2, 2)
	want = AppendBytesField(want, 3, "s")
	want = AppendBytesField(want, 4, []byte("b"))
	if !bytes.Equal(b, want) {
		t.Errorf("%x, want %x", b, want)
	}
	if want := []byte("\x01\x08\xac\x02\x11\x02\x00\x00\x00\x00\x00\x00\x00\x1a\x01s\x22\x01b"); !bytes.Equal(b, want) {
		t.Errorf("%x, want %x", b, want)
	}
}

// numbers are what a Reader may be asked for, by the name of the call.
var numbers = []struct {
	name string
	read func(r *Reader) uint64
	want uint64
	from []byte
}{
	{"Byte", func(r *Reader) uint64 { return uint64(r.Byte()) }, 0xfe, []byte{0xfe}},
	{"Uint16", func(r *Reader) uint64 { return uint64(r.Uint16()) }, 0x0102, []byte{1, 2}},
	{"Uint32", func(r *Reader) uint64 { return uint64(r.Uint32()) }, 0x01020304, []byte{1, 2, 3, 4}},
	{"Uint64", func(r *Reader) uint64 { return r.Uint64() }, 0x0102030405060708, []byte{1, 2, 3, 4, 5, 6, 7, 8}},
	{"Uvarint", func(r *Reader) uint64 { return r.Uvarint() }, math.MaxUint64, binary.AppendUvarint(nil, math.MaxUint64)},
	{"UvarintMax", func(r *Reader) uint64 { return r.UvarintMax(300) }, 300, []byte{0xac, 2}},
	{"ByteMax", func(r *Reader) uint64 { return uint64(r.ByteMax(5)) }, 5, []byte{5}},
	{"Take", func(r *Reader) uint64 { return uint64(len(r.Take(3))) }, 3, []byte{0, 0, 0}},
}

// TestReaderFailsAtTheEnd checks that numbers come in their order; one that is cut is 0, and the Reader has failed for good.
func TestReaderFailsAtTheEnd(t *testing.T) {
	var b []byte
	for _, x := range numbers {
		b = append(b, x.from...)
	}
	r := NewReader(b)
	for _, x := range numbers {
		if got := x.read(&r); got != x.want || !r.OK() {
			t.Errorf("%s: %x, want %x", x.name, got, x.want)
		}
	}
	if !r.AtEnd() || r.More() {
		t.Errorf("not done: %+v", r)
	}
	for _, x := range numbers {
		for cut := range x.from {
			r := NewReader(x.from[:cut])
			if got := x.read(&r); got != 0 || r.OK() || r.More() || r.AtEnd() {
				t.Errorf("%s of %d bytes: %x, %+v", x.name, cut, got, r)
			}
		}
		r := NewReader(x.from)
		r.Require(true)
		if r.Require(false); x.read(&r) != 0 || r.OK() || r.More() || r.AtEnd() {
			t.Errorf("%s of a Reader that has failed: %+v", x.name, r)
		}
		if r.Require(true); r.OK() {
			t.Errorf("%+v has not failed any more", r)
		}
	}
}

// TestReaderFailsBeyondABound checks that a value above its bound is 0 and makes the Reader fail; so do a varint of too many bytes, and a
// negative length.
func TestReaderFailsBeyondABound(t *testing.T) {
	for name, c := range map[string]struct {
		b    []byte
		read func(r *Reader) int
	}{
		"UvarintMax":        {[]byte{0xad, 2}, func(r *Reader) int { return int(r.UvarintMax(300)) }},
		"ByteMax":           {[]byte{6}, func(r *Reader) int { return r.ByteMax(5) }},
		"a varint too long": {bytes.Repeat([]byte{0xff}, 11), func(r *Reader) int { return int(r.Uvarint()) }},
		"a length below 0":  {[]byte{1, 2}, func(r *Reader) int { return len(r.Take(-1)) }},
		"a length like all": {[]byte{1, 2}, func(r *Reader) int { return len(r.Take(math.MaxInt)) }},
	} {
		r := NewReader(c.b)
		if n := c.read(&r); n != 0 || r.OK() {
			t.Errorf("%s: %d, %+v", name, n, r)
		}
	}
}

// TestAppendToTakenBytesLeavesTheRest checks that appending to bytes that were taken does not overwrite what is still to be read.
func TestAppendToTakenBytesLeavesTheRest(t *testing.T) {
	r := NewReader([]byte{1, 2, 3})
	if _ = append(r.Take(1), 9); r.Byte() != 2 {
		t.Error("what follows was overwritten")
	}
}

// FuzzFields reads any bytes: what is read is within them, and the same when it is written again.
func FuzzFields(f *testing.F) {
	b, _ := testMessage()
	f.Add(b)
	f.Add(b[:7])
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add(bytes.Repeat([]byte{0x0b}, 20))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := readAll(b)
		if err != nil && !errors.Is(err, errTest) {
			t.Fatal(err)
		}
		var again []byte
		var kept []Field
		for _, x := range got {
			switch x.Type {
			case protowire.VarintType:
				again = AppendUintField(again, x.Number, x.Value)
			case protowire.Fixed64Type:
				again = AppendFixedField(again, x.Number, x.Value)
			case protowire.BytesType:
				again = AppendBytesField(again, x.Number, x.Bytes)
			default:
				if x.HasValue() || x.Value != 0 || x.Bytes != nil {
					t.Fatalf("a value of %+v", x)
				}
				continue
			}
			kept = append(kept, x)
		}
		if back, err := readAll(again); err != nil || !cmp.Equal(kept, back) || len(again) > len(b) {
			t.Fatalf("%+v was read again as %+v, %v", kept, back, err)
		}
	})
}

// FuzzReader reads anything of any bytes: no more is taken than there is, and a Reader that has failed stays so.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0xfe, 1, 2, 1, 2, 3, 4}, []byte{0, 1, 2, 3})
	f.Add(bytes.Repeat([]byte{0xff}, 30), []byte{4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, b, calls []byte) {
		r := NewReader(b)
		for _, c := range calls {
			failed, before := !r.OK(), len(r.b)
			x := numbers[int(c)%len(numbers)].read(&r)
			revived := failed && (x != 0 || r.OK())
			if revived || len(r.b) > before || r.More() && r.AtEnd() {
				t.Fatalf("%s yields %d: %+v", numbers[int(c)%len(numbers)].name, x, r)
			}
		}
	})
}
