package cursor

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	hour = 3600e3
	noon = 1.8e12
)

var bound = Binding{Statement: Digest{1}, Reader: Digest{2}, Order: Digest{3}, Shards: Digest{4}}

func ring(secrets ...string) *Ring {
	var b [][]byte
	for _, s := range secrets {
		b = append(b, []byte(s))
	}
	return NewRing(hour, 2*hour, b...)
}

func sealed(t testing.TB, r *Ring, c *Cursor) string {
	t.Helper()
	s, err := r.Seal(c, Nonce{7})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func usual(at float64) *Cursor {
	p := Place{Key: []byte("key of a row"), OwnOffset: 4, Shard: 1}
	return &Cursor{IssuedMs: at, Binding: bound, Places: []Place{p, p, p}, MinPositions: []int64{int64(at) - 9, 0, int64(at)}}
}

// TestSealedCursorOpensUnchanged: what is sealed comes back, at any pooler that has the secret.
func TestSealedCursorOpensUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 70).Draw(t, "shards")
		c := &Cursor{IssuedMs: noon + float64(rapid.IntRange(0, int(hour)).Draw(t, "at")), Binding: bound, Places: make([]Place, n), MinPositions: make([]int64, n)}
		points := []Place{{}}
		for range rapid.IntRange(0, 3).Draw(t, "points") {
			key := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "key")
			points = append(points, Place{Key: key, OwnOffset: rapid.IntRange(0, len(key)).Draw(t, "own"), Shard: rapid.IntRange(0, n-1).Draw(t, "shard")})
		}
		for i := range n {
			c.Places[i] = points[rapid.IntRange(0, len(points)-1).Draw(t, "point")]
			c.MinPositions[i] = int64(rapid.SampledFrom([]int64{0, noon - 5, noon, noon + 7}).Draw(t, "need"))
		}
		s, err := ring("a secret").Seal(c, Nonce{1})
		if err != nil {
			t.Fatal(err)
		}
		got, err := ring("a newer secret", "a secret").Open(s, c.IssuedMs+hour, &bound)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestCursorStaysShort: a cursor over 4 and 64 shards is as long as the page says.
func TestCursorStaysShort(t *testing.T) {
	for n, most := range map[int]int{4: 140, 64: 330} {
		c := &Cursor{IssuedMs: noon, Binding: bound}
		for i := range n {
			c.Places = append(c.Places, Place{Key: make([]byte, 18), OwnOffset: 9})
			c.MinPositions = append(c.MinPositions, int64(noon)-int64(i*30))
		}
		if s := sealed(t, ring("a secret"), c); len(s) > most {
			t.Errorf("%d shards: %d bytes, over %d", n, len(s), most)
		}
	}
}

// TestForeignCursorsAreRejected: each fault has its own error.
func TestForeignCursorsAreRejected(t *testing.T) {
	r := ring("a secret")
	good := sealed(t, r, usual(noon))
	other := func(change func(b *Binding)) *Binding { b := bound; change(&b); return &b }
	for name, c := range map[string]struct {
		text string
		now  float64
		want *Binding
		err  error
	}{
		"good":              {good, noon + 2*hour, &bound, nil},
		"nothing":           {"", noon, &bound, ErrForged},
		"no cursor":         {"hello", noon, &bound, ErrForged},
		"endless":           {strings.Repeat("A", MaxTextBytes+1), noon, &bound, ErrForged},
		"cut":               {good[:len(good)-4], noon, &bound, ErrTruncated},
		"all but cut":       {good[:8], noon, &bound, ErrTruncated},
		"more behind":       {good + "AAAA", noon, &bound, ErrTruncated},
		"too old":           {good, noon + 2*hour + 1, &bound, ErrExpired},
		"far too old":       {good, noon + 9*hour, &bound, ErrUnknownKey},
		"another statement": {good, noon, other(func(b *Binding) { b.Statement[5]++ }), ErrStatement},
		"another's":         {good, noon, other(func(b *Binding) { b.Reader[5]++ }), ErrReader},
		"another order":     {good, noon, other(func(b *Binding) { b.Order[5]++ }), ErrOrder},
		"other shards":      {good, noon, other(func(b *Binding) { b.Shards[5]++ }), ErrShards},
		"another fleet's":   {sealed(t, ring("another secret"), usual(noon)), noon, &bound, ErrUnknownKey},
	} {
		if _, err := r.Open(c.text, c.now, c.want); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, not %v", name, err, c.err)
		}
	}
	long := usual(noon)
	long.Places[0].Key = make([]byte, MaxKeyBytes+1)
	if _, err := r.Seal(long, Nonce{}); !errors.Is(err, ErrKeyTooLong) {
		t.Errorf("a long key: %v", err)
	}
}

// TestChangedBitsAreRejected: no bit of a cursor can be changed.
func TestChangedBitsAreRejected(t *testing.T) {
	r := ring("a secret", "an older one")
	good := sealed(t, r, usual(noon))
	b, err := encoding.DecodeString(good)
	if err != nil {
		t.Fatal(err)
	}
	for i := range len(b) * 8 {
		x := bytes.Clone(b)
		x[i/8] ^= 1 << (i % 8)
		if _, err := r.Open(encoding.EncodeToString(x), noon, &bound); err == nil {
			t.Errorf("bit %d was changed and the cursor taken", i)
		}
	}
	for i := range len(good) * 8 { // of the text, too
		x := []byte(good)
		x[i/8] ^= 1 << (i % 8)
		if _, err := r.Open(string(x), noon, &bound); err == nil {
			t.Errorf("bit %d of the text was changed and the cursor taken", i)
		}
	}
}

// TestKeysRotate: keys change with time and with secrets. Poolers one secret apart take each other's cursors where both have both; two apart they don't.
func TestKeysRotate(t *testing.T) {
	one, two, three := ring("k1"), ring("k2", "k1"), ring("k3", "k2")
	for name, c := range map[string]struct {
		seals, opens *Ring
		err          error
	}{
		"the older one's at the newer": {one, two, nil}, "the newer one's at the older": {two, one, ErrUnknownKey},
		"two apart": {one, three, ErrUnknownKey}, "two apart, back": {three, one, ErrUnknownKey}, "one apart": {two, three, nil},
	} {
		if _, err := c.opens.Open(sealed(t, c.seals, usual(noon)), noon+1, &bound); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, not %v", name, err, c.err)
		}
	}
	seen := map[string]bool{}
	for g := range 3 { // a cursor of each hour is taken for its two hours, whatever turns the ring takes
		at := noon + float64(g)*hour
		s := sealed(t, one, usual(at))
		seen[s[4:8]] = true
		for _, now := range []float64{at - hour, at, at + hour, at + 2*hour, at} { // clocks differ: it may come from ahead
			if _, err := ring("k1").Open(s, now, &bound); err != nil {
				t.Errorf("hour %d, %+.0f h later: %v", g, (now-at)/hour, err)
			}
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d keys in three hours", len(seen))
	}
	if n := Generations(hour, 2*hour); len(one.byID) > n {
		t.Errorf("%d keys are held of %d", len(one.byID), n)
	}
}

// TestPlacesCompareByProgress: places compare as rows go out.
func TestPlacesCompareByProgress(t *testing.T) {
	list := []Place{{}, {[]byte("a1"), 1, 0}, {[]byte("a2"), 1, 0}, {[]byte("a0"), 1, 1}, {[]byte("b0"), 1, 0}}
	for i := range list {
		for k := range list {
			if got, want := list[i].Compare(&list[k]), (i-k)/max(1, int(math.Abs(float64(i-k)))); got != want {
				t.Errorf("%v and %v: %d", list[i], list[k], got)
			}
		}
	}
}

// FuzzOpen: no text, and nothing sealed by the fleet itself, does worse than an error.
func FuzzOpen(f *testing.F) {
	r := ring("a secret")
	f.Add(sealed(f, r, usual(noon)), []byte(nil))
	plain, _ := usual(noon).append(nil)
	f.Add("", plain)
	f.Fuzz(func(t *testing.T, text string, plain []byte) {
		if c, err := r.Open(text, noon, &bound); err == nil && fmt.Sprint(c) != fmt.Sprint(usual(noon)) {
			t.Errorf("%q was taken: %v", text, c)
		}
		c := &Cursor{}
		if c.read(plain) != nil {
			return
		}
		again, err := c.append(nil)
		if err != nil {
			t.Fatal(err)
		}
		if d := (&Cursor{}); d.read(again) != nil {
			t.Errorf("%v does not come back", c)
		}
	})
}
