package merge

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// datum is a value before it is encoded: nil, int64, float64, string, []byte or time.Time.
type datum any

// drawValue draws a value of a column's type. Few distinct values are drawn often, so that some values are equal.
func drawValue(t *rapid.T, c *Column) datum {
	if rapid.IntRange(0, 5).Draw(t, "null") == 0 {
		return nil
	}
	switch c.Type {
	case Int:
		return rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, math.MaxInt64})).Draw(t, "int")
	case Float:
		return rapid.OneOf(rapid.Float64(),
			rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, math.Copysign(0, -1), -1})).Draw(t, "float")
	case Text:
		return rapid.OneOf(rapid.StringMatching(`[a-c]{0,3}`), rapid.StringMatching(`[ -~é-ü]{0,9}`)).Draw(t, "text")
	case Timestamp, Instant:
		return time.Unix(rapid.Int64Range(-2e11, 2e11).Draw(t, "s"), rapid.Int64Range(0, 999999).Draw(t, "us")*1000).UTC()
	case UUID:
		return rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "uuid")
	}
	return rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 254, 255}), 0, 4).Draw(t, "bytes")
}

// compareValues compares values as the servers do, without using keys.
func compareValues(c *Column, a, b datum) int {
	if a == nil || b == nil {
		switch {
		case a == nil && b == nil:
			return 0
		case (a == nil) == c.NullsFirst:
			return -1
		}
		return 1
	}
	n := 0
	switch x := a.(type) {
	case int64:
		n = cmp.Compare(x, b.(int64))
	case float64:
		y := b.(float64)
		switch {
		case math.IsNaN(x) && math.IsNaN(y):
		case math.IsNaN(x):
			n = 1
		case math.IsNaN(y):
			n = -1
		default:
			n = cmp.Compare(x, y)
		}
	case string:
		n = cmp.Compare(x, b.(string))
	case []byte:
		n = bytes.Compare(x, b.([]byte))
	case time.Time:
		n = x.Compare(b.(time.Time))
	}
	if c.Desc {
		return -n
	}
	return n
}

// encodeValue returns a value as a server sends it, in the text or the binary format.
func encodeValue(c *Column, v datum, isBinary bool) []byte {
	switch x := v.(type) {
	case int64:
		if isBinary {
			return binary.BigEndian.AppendUint64(nil, uint64(x))
		}
		return strconv.AppendInt(nil, x, 10)
	case float64:
		switch {
		case isBinary:
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
		case math.IsInf(x, 0):
			return []byte(map[bool]string{true: "Infinity", false: "-Infinity"}[x > 0])
		}
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case string:
		return []byte(x)
	case time.Time:
		if isBinary {
			return binary.BigEndian.AppendUint64(nil, uint64(x.UnixMicro()-epoch*1e6))
		}
		year, end := x.Year(), ""
		if year < 1 {
			year, end = 1-year, " BC"
		}
		zone := ""
		if c.Type == Instant { // as a server sends it in a session 5:30 ahead of UTC
			x = x.Add(5*time.Hour + 30*time.Minute)
			if year, end = x.Year(), ""; year < 1 {
				year, end = 1-year, " BC"
			}
			zone = "+05:30"
		}
		return fmt.Appendf(nil, "%04d-%s%s%s", year, x.Format("01-02 15:04:05.999999"), zone, end)
	case []byte:
		switch {
		case isBinary:
			return append([]byte{}, x...)
		case c.Type == UUID:
			return fmt.Appendf(nil, "%x-%x-%x-%x-%x", x[:4], x[4:6], x[6:8], x[8:10], x[10:])
		}
		return fmt.Appendf(nil, `\x%x`, x)
	}
	return nil
}

func drawOrder(t *rapid.T) Order {
	o := Order{OwnIndex: rapid.IntRange(1, 3).Draw(t, "columns")}
	for range o.OwnIndex {
		o.Columns = append(o.Columns, Column{Name: "c", Type: Type(rapid.IntRange(0, int(types)-1).Draw(t, "type")), Desc: rapid.Bool().Draw(t, "desc"),
			NullsFirst: rapid.Bool().Draw(t, "nulls first")})
	}
	o.Columns = append(o.Columns, Column{Name: "id", Type: Int})
	return o
}

// TestKeysCompareAsValuesDo: keys compare as the values do at the servers, in both formats, and the values can be decoded from a key.
func TestKeysCompareAsValuesDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawOrder(t).Columns[0]
		a, b := drawValue(t, &c), drawValue(t, &c)
		var keys [][]byte
		for _, v := range []datum{a, b} {
			isBinary := rapid.Bool().Draw(t, "binary")
			k, err := c.Append(nil, encodeValue(&c, v, isBinary), isBinary)
			if err != nil {
				t.Fatalf("encoding the key of %v: %v", v, err)
			}
			keys = append(keys, k)
			o := Order{Columns: []Column{c}, OwnIndex: 1}
			decoded, err := o.Values(k)
			if err != nil || decoded[0].Null != (v == nil) {
				t.Fatalf("%v was decoded from its key as %v, error %v, want NULL only for NULL and no error", v, decoded, err)
			}
			if again, err := c.Append(nil, decoded[0].Text, false); v != nil && (err != nil || !bytes.Equal(again, k)) {
				t.Fatalf("%v was decoded from its key as %q, whose key is %x, want %x; error %v", v, decoded[0].Text, again, k, err)
			}
		}
		if got, want := bytes.Compare(keys[0], keys[1]), compareValues(&c, a, b); got != want {
			t.Fatalf("keys of %v and %v in column %+v compare as %d, want %d: %x and %x", a, b, c, got, want, keys[0], keys[1])
		}
	})
}

// row is a row that was drawn for a shard.
type row struct {
	vals  []datum
	shard int
	text  string
}

// TestMergeAgreesWithModel: the rows are returned in the order of a plain sort, in whichever order they are added, and the bytes held
// stay within their bound.
func TestMergeAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := drawOrder(t)
		shardCount, window := rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(1, 300).Draw(t, "window")
		compare := func(a, b row) int {
			for i := range order.OwnIndex {
				if c := compareValues(&order.Columns[i], a.vals[i], b.vals[i]); c != 0 {
					return c
				}
			}
			return cmp.Or(cmp.Compare(a.shard, b.shard), compareValues(&order.Columns[order.OwnIndex], a.vals[order.OwnIndex], b.vals[order.OwnIndex]))
		}
		shards, all, maxRowBytes := make([][]row, shardCount), []row(nil), 0
		for i := range shardCount {
			for k := range rapid.IntRange(0, 12).Draw(t, "rows") {
				r := row{shard: i, text: fmt.Sprint(i, "/", k)}
				for c := range order.OwnIndex {
					r.vals = append(r.vals, drawValue(t, &order.Columns[c]))
				}
				r.vals = append(r.vals, int64(k))
				shards[i] = append(shards[i], r)
			}
			slices.SortFunc(shards[i], compare)
			all = append(all, shards[i]...)
		}
		slices.SortFunc(all, compare)
		merger, got := New(shardCount, window), []string(nil)
		takeAll := func() {
			for {
				next, ok := merger.Next()
				if !ok {
					return
				}
				got = append(got, string(next.Message))
			}
		}
		for left := shardCount; left > 0; {
			i := rapid.IntRange(0, shardCount-1).Draw(t, "next")
			switch {
			case !merger.shards[i].open:
				continue
			case len(shards[i]) == 0:
				merger.End(i)
				left--
				continue
			case merger.Full(i):
				if takeAll(); merger.Full(i) && !slices.ContainsFunc(merger.shards, func(s shard) bool { return s.open && s.empty() }) {
					t.Fatalf("shard %d is full, no row is returned, and no open shard is empty: the merge cannot go on", i)
				}
				continue
			}
			r := shards[i][0]
			shards[i] = shards[i][1:]
			key, ownOffset := []byte(nil), 0
			for c := range order.Columns {
				if c == order.OwnIndex {
					ownOffset = len(key)
				}
				isBinary := rapid.Bool().Draw(t, "binary")
				key, _ = order.Columns[c].Append(key, encodeValue(&order.Columns[c], r.vals[c], isBinary), isBinary)
			}
			if err := merger.Add(i, key, ownOffset, []byte(r.text)); err != nil {
				t.Fatalf("adding row %s of shard %d: %v", r.text, i, err)
			}
			if maxRowBytes = max(maxRowBytes, len(key)+len(r.text)); merger.HeldBytes() > MaxHeldBytes(shardCount, window, maxRowBytes) {
				t.Fatalf("%d bytes are held, over the limit of %d", merger.HeldBytes(), MaxHeldBytes(shardCount, window, maxRowBytes))
			}
			if rapid.Bool().Draw(t, "take") {
				takeAll()
			}
		}
		takeAll()
		var want []string
		for _, r := range all {
			want = append(want, r.text)
		}
		if diff := gocmp.Diff(want, got); diff != "" || !merger.Done() || merger.HeldBytes() != 0 {
			t.Fatalf("at the end: done is %v, want true; %d bytes held, want 0; rows (-want +got):\n%s", merger.Done(), merger.HeldBytes(), diff)
		}
	})
}

// TestUnorderedRowsAreRejected: a row whose key is not above that of the shard's previous row is an error, whether the previous row is still
// held or not.
func TestUnorderedRowsAreRejected(t *testing.T) {
	for _, taken := range []bool{false, true} {
		m := New(1, 100)
		if err := m.Add(0, []byte{5, 1}, 1, nil); err != nil {
			t.Fatalf("adding the first row: %v", err)
		}
		if taken {
			m.Next()
		}
		for _, key := range [][]byte{{4, 9}, {5, 1}, {5, 0}} {
			if err := m.Add(0, key, 1, nil); !errors.Is(err, ErrOrder) {
				t.Errorf("row with key %v after that with [5 1]: error is %v, want ErrOrder", key, err)
			}
		}
		m.End(0)
		if err := m.Add(0, []byte{6, 1}, 1, nil); !errors.Is(err, ErrOrder) {
			t.Errorf("row after the end of the shard: error is %v, want ErrOrder", err)
		}
	}
}

// TestInvalidValuesAreRejected: a value that is not of its column's type is an error, in both formats.
func TestInvalidValuesAreRejected(t *testing.T) {
	for typ, list := range map[Type][]string{
		Int:   {"", "-", "1.5", "9223372036854775808", "+1", "99999999999999999999"},
		Float: {"", "x", "0x1p4", "1_0", "inf"},
		Bytea: {"", "abc", `\x1`, `\xgg`},
		Timestamp: {"", "2026-13-01 00:00:00", "01/02/2026 00:00:00", "2026-01-01", "2026-01-01 00:00:00+00",
			"2026-01-01 00:00:00 AD"},
		Instant: {"2026-01-01 00:00:00", "2026-01-01 00:00:00 CET"},
		UUID:    {"", "0", "6ba7b810-9dad-11d1-80b4-00c04fd430c", "6ba7b810-9dad-11d1-80b4-00c04fd430c8ff"},
	} {
		c := Column{Name: "c", Type: typ}
		for _, s := range list {
			if _, err := c.Append(nil, []byte(s), false); !errors.Is(err, ErrValue) {
				t.Errorf("%s %q: error is %v, want ErrValue", typ, s, err)
			}
		}
		if _, err := c.Append(nil, []byte{1, 2, 3}, true); typ != Bytea && !errors.Is(err, ErrValue) {
			t.Errorf("binary %s of three bytes: error is %v, want ErrValue", typ, err)
		}
	}
}

// FuzzKey: Values returns an error for an invalid key, and the values decoded from a valid key encode to the same key.
func FuzzKey(f *testing.F) {
	f.Add([]byte{2, 1, 2, 3, 4, 5, 6, 7, 8}, byte(0), false)
	f.Add([]byte{2, 'a', 0, 1}, byte(2), false)
	f.Fuzz(func(t *testing.T, key []byte, typ byte, desc bool) {
		c := Column{Type: Type(typ % byte(types)), Desc: desc}
		o := Order{Columns: []Column{c}, OwnIndex: 1}
		vals, err := o.Values(key)
		if err != nil || len(vals) == 0 || vals[0].Null || c.Type == Float || c.Type == Timestamp || c.Type == Instant {
			return // for these types, several keys may decode to the same value
		}
		again, err := c.Append(nil, vals[0].Text, false)
		if err != nil || !bytes.Equal(again, key) {
			t.Errorf("key %x was decoded as %q, whose key is %x, error %v, want the same key", key, vals[0].Text, again, err)
		}
	})
}

// BenchmarkMerge measures one row: encoding its key, Add and Next.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := Order{Columns: []Column{{Type: Instant, Desc: true}, {Type: Int}}, OwnIndex: 1}
			m, text := New(n, 1<<16), bytes.Repeat([]byte("x"), 100)
			var key, at, id []byte
			count := int64(0)
			add := func(i int) {
				count++
				at = binary.BigEndian.AppendUint64(at[:0], uint64(-count/3))
				id = binary.BigEndian.AppendUint64(id[:0], uint64(count))
				key, _ = o.Columns[0].Append(key[:0], at, true)
				ownOffset := len(key)
				key, _ = o.Columns[1].Append(key, id, true)
				if err := m.Add(i, key, ownOffset, text); err != nil {
					b.Fatalf("adding a row of shard %d: %v", i, err)
				}
			}
			for i := range n {
				for range 8 {
					add(i)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				next, ok := m.Next()
				if !ok {
					b.Fatal("Next returned no row, though each shard has one")
				}
				add(next.Shard)
			}
		})
	}
}

// TestMergeDoesNotAllocate: once the buffers have grown, adding and returning rows does not allocate.
func TestMergeDoesNotAllocate(t *testing.T) {
	m, key, text := New(2, 1<<16), make([]byte, 8), make([]byte, 100)
	count := uint64(0)
	step := func() {
		for i := range 2 {
			count++
			binary.BigEndian.PutUint64(key, count)
			_ = m.Add(i, key, 8, text)
		}
		for range 2 {
			m.Next()
		}
	}
	if n := testing.AllocsPerRun(1000, step); n != 0 {
		t.Errorf("%v allocations for adding and returning two rows, want 0", n)
	}
}
