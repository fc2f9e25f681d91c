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
	hourMs = 3600e3
	noonMs = 1.8e12
)

var exampleBinding = Binding{Statement: Digest{1}, Reader: Digest{2}, Order: Digest{3}, Shards: Digest{4}}

func newRing(secrets ...string) *Ring {
	var b [][]byte
	for _, s := range secrets {
		b = append(b, []byte(s))
	}
	return NewRing(hourMs, 2*hourMs, b...)
}

func mustSeal(t testing.TB, r *Ring, c *Cursor) string {
	t.Helper()
	s, err := r.Seal(c, Nonce{7})
	if err != nil {
		t.Fatalf("sealing a cursor: %v", err)
	}
	return s
}

func exampleCursor(at float64) *Cursor {
	p := Place{Key: []byte("key of a row"), OwnOffset: 4, Shard: 1}
	return &Cursor{IssuedMs: at, Binding: exampleBinding, Places: []Place{p, p, p}, MinPositions: []int64{int64(at) - 9, 0, int64(at)}}
}

// TestSealedCursorOpensUnchanged: a sealed cursor opens with the same contents, at any pooler that has the secret.
func TestSealedCursorOpensUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 70).Draw(t, "shards")
		issued := noonMs + float64(rapid.IntRange(0, int(hourMs)).Draw(t, "at"))
		c := &Cursor{IssuedMs: issued, Binding: exampleBinding, Places: make([]Place, n), MinPositions: make([]int64, n)}
		places := []Place{{}}
		for range rapid.IntRange(0, 3).Draw(t, "points") {
			key := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "key")
			places = append(places, Place{Key: key, OwnOffset: rapid.IntRange(0, len(key)).Draw(t, "own"), Shard: rapid.IntRange(0, n-1).Draw(t, "shard")})
		}
		for i := range n {
			c.Places[i] = places[rapid.IntRange(0, len(places)-1).Draw(t, "point")]
			c.MinPositions[i] = int64(rapid.SampledFrom([]int64{0, noonMs - 5, noonMs, noonMs + 7}).Draw(t, "need"))
		}
		s, err := newRing("a secret").Seal(c, Nonce{1})
		if err != nil {
			t.Fatalf("sealing a cursor over %d shards: %v", n, err)
		}
		got, err := newRing("a newer secret", "a secret").Open(s, c.IssuedMs+hourMs, &exampleBinding)
		if err != nil {
			t.Fatalf("opening the cursor with its key in second place: %v", err)
		}
		if diff := cmp.Diff(c, got); diff != "" {
			t.Fatalf("opened cursor (-sealed +opened):\n%s", diff)
		}
	})
}

// TestCursorStaysShort: cursors over 4 and 64 shards do not exceed the lengths stated in the documentation.
func TestCursorStaysShort(t *testing.T) {
	for n, maxLength := range map[int]int{4: 140, 64: 330} {
		c := &Cursor{IssuedMs: noonMs, Binding: exampleBinding}
		for i := range n {
			c.Places = append(c.Places, Place{Key: make([]byte, 18), OwnOffset: 9})
			c.MinPositions = append(c.MinPositions, int64(noonMs)-int64(i*30))
		}
		if s := mustSeal(t, newRing("a secret"), c); len(s) > maxLength {
			t.Errorf("cursor over %d shards has %d bytes, want at most %d", n, len(s), maxLength)
		}
	}
}

// TestForeignCursorsAreRejected: Open returns a distinct error for each kind of invalid cursor.
func TestForeignCursorsAreRejected(t *testing.T) {
	r := newRing("a secret")
	good := mustSeal(t, r, exampleCursor(noonMs))
	other := func(change func(b *Binding)) *Binding { b := exampleBinding; change(&b); return &b }
	for name, c := range map[string]struct {
		text string
		now  float64
		want *Binding
		err  error
	}{
		"good":              {good, noonMs + 2*hourMs, &exampleBinding, nil},
		"nothing":           {"", noonMs, &exampleBinding, ErrForged},
		"no cursor":         {"hello", noonMs, &exampleBinding, ErrForged},
		"too long":          {strings.Repeat("A", MaxTextBytes+1), noonMs, &exampleBinding, ErrForged},
		"truncated":         {good[:len(good)-4], noonMs, &exampleBinding, ErrTruncated},
		"almost nothing":    {good[:8], noonMs, &exampleBinding, ErrTruncated},
		"more after it":     {good + "AAAA", noonMs, &exampleBinding, ErrTruncated},
		"too old":           {good, noonMs + 2*hourMs + 1, &exampleBinding, ErrExpired},
		"far too old":       {good, noonMs + 9*hourMs, &exampleBinding, ErrUnknownKey},
		"another statement": {good, noonMs, other(func(b *Binding) { b.Statement[5]++ }), ErrStatement},
		"another reader":    {good, noonMs, other(func(b *Binding) { b.Reader[5]++ }), ErrReader},
		"another order":     {good, noonMs, other(func(b *Binding) { b.Order[5]++ }), ErrOrder},
		"other shards":      {good, noonMs, other(func(b *Binding) { b.Shards[5]++ }), ErrShards},
		"another fleet's":   {mustSeal(t, newRing("another secret"), exampleCursor(noonMs)), noonMs, &exampleBinding, ErrUnknownKey},
	} {
		if _, err := r.Open(c.text, c.now, c.want); !errors.Is(err, c.err) {
			t.Errorf("%s: error is %v, want %v", name, err, c.err)
		}
	}
	long := exampleCursor(noonMs)
	long.Places[0].Key = make([]byte, MaxKeyBytes+1)
	if _, err := r.Seal(long, Nonce{}); !errors.Is(err, ErrKeyTooLong) {
		t.Errorf("sealing a key over the limit: error is %v, want ErrKeyTooLong", err)
	}
}

// TestChangedBitsAreRejected: a cursor is rejected if any single bit of it or of its text is changed.
func TestChangedBitsAreRejected(t *testing.T) {
	r := newRing("a secret", "an older one")
	good := mustSeal(t, r, exampleCursor(noonMs))
	b, err := encoding.DecodeString(good)
	if err != nil {
		t.Fatalf("decoding the text of a sealed cursor: %v", err)
	}
	for i := range len(b) * 8 {
		changed := bytes.Clone(b)
		changed[i/8] ^= 1 << (i % 8)
		if _, err := r.Open(encoding.EncodeToString(changed), noonMs, &exampleBinding); err == nil {
			t.Errorf("the cursor was accepted with bit %d changed", i)
		}
	}
	for i := range len(good) * 8 { // bits of the text
		changed := []byte(good)
		changed[i/8] ^= 1 << (i % 8)
		if _, err := r.Open(string(changed), noonMs, &exampleBinding); err == nil {
			t.Errorf("the cursor was accepted with bit %d of its text changed", i)
		}
	}
}

// TestKeysRotate: keys change with time and with secrets. A cursor can be opened by poolers that have its secret: of two poolers whose
// secrets are one change apart, the newer one opens the cursors of the older one.
func TestKeysRotate(t *testing.T) {
	one, two, three := newRing("k1"), newRing("k2", "k1"), newRing("k3", "k2")
	for name, c := range map[string]struct {
		seals, opens *Ring
		err          error
	}{
		"the older one's at the newer": {one, two, nil}, "the newer one's at the older": {two, one, ErrUnknownKey},
		"two apart": {one, three, ErrUnknownKey}, "two apart, back": {three, one, ErrUnknownKey}, "one apart": {two, three, nil},
	} {
		if _, err := c.opens.Open(mustSeal(t, c.seals, exampleCursor(noonMs)), noonMs+1, &exampleBinding); !errors.Is(err, c.err) {
			t.Errorf("cursor of %s: error is %v, want %v", name, err, c.err)
		}
	}
	seen := map[string]bool{}
	for g := range 3 { // a cursor of each hour is valid for two hours
		at := noonMs + float64(g)*hourMs
		s := mustSeal(t, one, exampleCursor(at))
		seen[s[4:8]] = true
		for _, now := range []float64{at - hourMs, at, at + hourMs, at + 2*hourMs, at} { // clocks differ: the cursor may have been issued in the future
			if _, err := newRing("k1").Open(s, now, &exampleBinding); err != nil {
				t.Errorf("cursor of hour %d cannot be opened %+.0f h later: %v", g, (now-at)/hourMs, err)
			}
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d keys were used in three hours, want 3", len(seen))
	}
	if n := Generations(hourMs, 2*hourMs); len(one.byID) > n {
		t.Errorf("%d keys are held, over the limit of %d", len(one.byID), n)
	}
}

// TestPlacesCompareByProgress: places compare in the order in which rows are delivered.
func TestPlacesCompareByProgress(t *testing.T) {
	list := []Place{{}, {[]byte("a1"), 1, 0}, {[]byte("a2"), 1, 0}, {[]byte("a0"), 1, 1}, {[]byte("b0"), 1, 0}}
	for i := range list {
		for k := range list {
			if got, want := list[i].Compare(&list[k]), (i-k)/max(1, int(math.Abs(float64(i-k)))); got != want {
				t.Errorf("places %v and %v compare as %d, want %d", list[i], list[k], got, want)
			}
		}
	}
}

// FuzzOpen: invalid text is rejected, decoding arbitrary contents does not panic, and contents that were decoded can be encoded and decoded
// again.
func FuzzOpen(f *testing.F) {
	r := newRing("a secret")
	f.Add(mustSeal(f, r, exampleCursor(noonMs)), []byte(nil))
	plain, _ := exampleCursor(noonMs).append(nil)
	f.Add("", plain)
	f.Fuzz(func(t *testing.T, text string, plain []byte) {
		if c, err := r.Open(text, noonMs, &exampleBinding); err == nil && fmt.Sprint(c) != fmt.Sprint(exampleCursor(noonMs)) {
			t.Errorf("text %q was accepted as cursor %v, want an error or the sealed cursor", text, c)
		}
		c := &Cursor{}
		if c.read(plain) != nil {
			return
		}
		again, err := c.append(nil)
		if err != nil {
			t.Fatalf("encoding %v, which was decoded from arbitrary contents: %v", c, err)
		}
		if d := (&Cursor{}); d.read(again) != nil {
			t.Errorf("cursor %v, decoded from arbitrary contents, cannot be decoded again after encoding", c)
		}
	})
}
