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

// readAll returns a message's fields, and errTest joined with the reason if the message is malformed.
func readAll(b []byte) (fields []Field, err error) {
	malformed := func(reason error) error { return errors.Join(errTest, reason) }
	err = Fields(b, malformed, func(field Field) error {
		fields = append(fields, field)
		return nil
	})
	return fields, err
}

// testMessage returns a message with fields of each type, and the expected fields.
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

// TestFieldsAreVisitedOnceInOrder checks that each field is visited once, in order. Of a truncated message the complete fields are visited, and
// an error is returned unless it ends between two fields.
func TestFieldsAreVisitedOnceInOrder(t *testing.T) {
	b, want := testMessage()
	got, err := readAll(b)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatalf("fields of the message: error %v (-want +got):\n%s", err, diff)
	}
	for _, f := range got {
		if valueless := f.Number == 5 || f.Number == 6; f.HasValue() == valueless {
			t.Errorf("field %+v: HasValue is %v, want %v", f, f.HasValue(), !valueless)
		}
	}
	ends := 0
	for cut := range b {
		got, err := readAll(b[:cut])
		if len(got) > len(want) || !cmp.Equal(got, want[:len(got)]) && len(got) > 0 {
			t.Fatalf("message cut at %d: fields %+v, want the first ones of the whole message", cut, got)
		}
		if err == nil {
			ends++
		} else if !errors.Is(err, errTest) {
			t.Errorf("message cut at %d: error %v, want that of a malformed message", cut, err)
		}
	}
	if ends != len(want) {
		t.Errorf("%d truncated messages are valid, want %d as there are fields", ends, len(want))
	}
}

// TestFieldsReturnsTheVisitorsError checks that a visitor's error is returned unchanged, and that no field is visited after it.
func TestFieldsReturnsTheVisitorsError(t *testing.T) {
	b, _ := testMessage()
	visitError, n := errors.New("too many"), 0
	err := Fields(b, func(error) error { return errTest }, func(Field) error {
		if n++; n == 2 {
			return visitError
		}
		return nil
	})
	if err != visitError || n != 2 {
		t.Errorf("error %v after %d fields, want the visitor's after 2", err, n)
	}
}

// TestInvalidBytesAreMalformed checks that invalid messages are malformed, whatever lengths they state.
func TestInvalidBytesAreMalformed(t *testing.T) {
	for name, b := range map[string][]byte{
		"field number 0":                   {0x00, 1},
		"field number too large":           {0x80, 0x80, 0x80, 0x80, 0x80, 0x01, 1},
		"end group without a group":        {0x0c},
		"group without an end":             {0x0b, 0x08, 1},
		"end of another group":             {0x0b, 0x14},
		"unknown wire type":                {0x0f},
		"varint too long":                  {0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
		"length above the remaining bytes": {0x0a, 0x02, 1},
		"length above the maximum":         {0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 1},
		"fixed64 of 7 bytes":               {0x09, 1, 2, 3, 4, 5, 6, 7},
		"fixed32 of 3 bytes":               {0x0d, 1, 2, 3},
		"truncated tag":                    {0x88},
		"nested groups without an end":     bytes.Repeat([]byte{0x0b}, 1<<16),
	} {
		if got, err := readAll(b); !errors.Is(err, errTest) || len(got) > 0 {
			t.Errorf("%s: fields %+v, error %v; want none and that of a malformed message", name, got, err)
		}
	}
}

// TestZeroFieldsAreOmitted checks that the functions for non-zero values omit a zero, and otherwise append the same as the other functions.
func TestZeroFieldsAreOmitted(t *testing.T) {
	if b := AppendNonEmptyBytes(AppendNonEmptyBytes(AppendNonZeroFixed(AppendNonZeroUint(nil, 1, 0), 2, 0), 3, ""), 4, []byte(nil)); len(b) > 0 {
		t.Errorf("zero values are encoded as %x, want nothing", b)
	}
	b := AppendNonEmptyBytes(AppendNonEmptyBytes(AppendNonZeroFixed(AppendNonZeroUint([]byte{1}, 1, 300), 2, 2), 3, "s"), 4, []byte("b"))
	want := AppendUintField([]byte{1}, 1, 300)
	want = AppendFixedField(want, 2, 2)
	want = AppendBytesField(want, 3, "s")
	want = AppendBytesField(want, 4, []byte("b"))
	if !bytes.Equal(b, want) {
		t.Errorf("encoding of non-zero values: got %x, want %x as by the other functions", b, want)
	}
	if want := []byte("\x01\x08\xac\x02\x11\x02\x00\x00\x00\x00\x00\x00\x00\x1a\x01s\x22\x01b"); !bytes.Equal(b, want) {
		t.Errorf("encoding of non-zero values: got %x, want %x", b, want)
	}
}

// readerCalls are the methods of Reader that read, with their encoded input and expected result.
var readerCalls = []struct {
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

// TestReaderFailsAtTheEnd checks that values are read in order. A truncated value reads as 0, and the Reader then stays failed.
func TestReaderFailsAtTheEnd(t *testing.T) {
	var b []byte
	for _, x := range readerCalls {
		b = append(b, x.from...)
	}
	r := NewReader(b)
	for _, x := range readerCalls {
		if got := x.read(&r); got != x.want || !r.OK() {
			t.Errorf("%s: read %x, OK %v; want %x, true", x.name, got, r.OK(), x.want)
		}
	}
	if !r.AtEnd() || r.More() {
		t.Errorf("Reader after its last value: %+v, want it at the end", r)
	}
	for _, x := range readerCalls {
		for cut := range x.from {
			r := NewReader(x.from[:cut])
			if got := x.read(&r); got != 0 || r.OK() || r.More() || r.AtEnd() {
				t.Errorf("%s of %d bytes: read %x, Reader %+v; want 0 and a failed Reader", x.name, cut, got, r)
			}
		}
		r := NewReader(x.from)
		r.Require(true)
		if r.Require(false); x.read(&r) != 0 || r.OK() || r.More() || r.AtEnd() {
			t.Errorf("%s of a failed Reader: Reader %+v, want it to read 0 and stay failed", x.name, r)
		}
		if r.Require(true); r.OK() {
			t.Errorf("a failed Reader has recovered: %+v", r)
		}
	}
}

// TestReaderFailsAboveABound checks that a value above its bound reads as 0 and makes the Reader fail, as do a varint of too many bytes and a
// negative or too large length.
func TestReaderFailsAboveABound(t *testing.T) {
	for name, c := range map[string]struct {
		b    []byte
		read func(r *Reader) int
	}{
		"UvarintMax":       {[]byte{0xad, 2}, func(r *Reader) int { return int(r.UvarintMax(300)) }},
		"ByteMax":          {[]byte{6}, func(r *Reader) int { return r.ByteMax(5) }},
		"varint too long":  {bytes.Repeat([]byte{0xff}, 11), func(r *Reader) int { return int(r.Uvarint()) }},
		"negative length":  {[]byte{1, 2}, func(r *Reader) int { return len(r.Take(-1)) }},
		"length too large": {[]byte{1, 2}, func(r *Reader) int { return len(r.Take(math.MaxInt)) }},
	} {
		r := NewReader(c.b)
		if n := c.read(&r); n != 0 || r.OK() {
			t.Errorf("%s: read %d, Reader %+v; want 0 and a failed Reader", name, n, r)
		}
	}
}

// TestAppendToTakenBytesKeepsUnreadBytes checks that appending to the result of Take does not overwrite bytes that are not read yet.
func TestAppendToTakenBytesKeepsUnreadBytes(t *testing.T) {
	r := NewReader([]byte{1, 2, 3})
	if _ = append(r.Take(1), 9); r.Byte() != 2 {
		t.Error("an unread byte was overwritten")
	}
}

// FuzzFields reads arbitrary bytes: encoding the fields again and reading them yields the same fields, in no more bytes.
func FuzzFields(f *testing.F) {
	b, _ := testMessage()
	f.Add(b)
	f.Add(b[:7])
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add(bytes.Repeat([]byte{0x0b}, 20))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := readAll(b)
		if err != nil && !errors.Is(err, errTest) {
			t.Fatalf("error %v, want none or that of a malformed message", err)
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
					t.Fatalf("field %+v should have no value", x)
				}
				continue
			}
			kept = append(kept, x)
		}
		if decoded, err := readAll(again); err != nil || !cmp.Equal(kept, decoded) || len(again) > len(b) {
			t.Fatalf("%+v encoded again is read as %+v, error %v, from %d bytes; want the same from at most %d", kept, decoded, err, len(again), len(b))
		}
	})
}

// FuzzReader performs arbitrary calls on arbitrary bytes: a Reader never grows, and a failed Reader stays failed.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0xfe, 1, 2, 1, 2, 3, 4}, []byte{0, 1, 2, 3})
	f.Add(bytes.Repeat([]byte{0xff}, 30), []byte{4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, b, calls []byte) {
		r := NewReader(b)
		for _, c := range calls {
			failed, before := !r.OK(), len(r.b)
			x := readerCalls[int(c)%len(readerCalls)].read(&r)
			revived := failed && (x != 0 || r.OK())
			if revived || len(r.b) > before || r.More() && r.AtEnd() {
				t.Fatalf("%s returned %d, Reader %+v; want no growth, no recovery from a failure, and no more bytes at the end", readerCalls[int(c)%len(readerCalls)].name, x, r)
			}
		}
	})
}
