package outlier

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// collector is one that hears of evidence, whatever its order.
func collector(t rapid.TB, n int) *Verdicts {
	v := New(Defaults(), 1, 1e6)
	v.Check(invariant.New(func(b invariant.Breach) { t.Fatalf("%s: %s", b.Name, b.State) }), 1)
	m := Members{Self: 1}
	for i := range n {
		m.Peers = append(m.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprint(i + 1), Zone: string(rune('a' + i%2))})
	}
	v.set.Collectors = n
	v.Handle(1e6, m, nil)
	v.Handle(1e6, Listed{Servers: []Server{{Name: "x", Start: 5}, {Name: "y"}}}, nil)
	return v
}

func drawItem(t *rapid.T, v *Verdicts) Item {
	x := Item{Key: v.order[rapid.IntRange(0, 1).Draw(t, "server")].key, Answered: float64(rapid.IntRange(-1, 3000).Draw(t, "answered"))}
	if x.N = rapid.IntRange(0, 6).Draw(t, "n"); x.N > 0 {
		x.Last = float64(rapid.IntRange(0, 3000).Draw(t, "last"))
		x.First, x.Work = x.Last+float64(rapid.IntRange(0, 3000).Draw(t, "first")), float64(rapid.IntRange(1, 300).Draw(t, "work"))
	}
	if x.Said.Role = Role(rapid.IntRange(0, 2).Draw(t, "role")); x.Said.Role != Unsaid {
		x.Said.Position, x.SaidAge = 1e6-float64(rapid.IntRange(0, 3000).Draw(t, "position")), float64(rapid.IntRange(0, 3000).Draw(t, "age"))
	}
	return x
}

// TestAnyOrder: the same evidence, in any order and any number of times, ends in the same judgement.
func TestAnyOrder(t *testing.T) {
	bad, vouched := 0, 0
	deterministic.Check(t, func(t *rapid.T) {
		type told struct {
			from ID
			tell *Tell
		}
		one, other := collector(t, 5), collector(t, 5)
		var all []told
		for i := range rapid.IntRange(1, 12).Draw(t, "tells") {
			tell := &Tell{Seq: uint32(i + 1)}
			for range rapid.IntRange(1, 2).Draw(t, "items") {
				if x := drawItem(t, one); len(tell.Items) == 0 || tell.Items[0].Key != x.Key {
					tell.Items = append(tell.Items, x)
				}
			}
			all = append(all, told{ID(rapid.IntRange(2, 5).Draw(t, "from")), tell})
		}
		for _, x := range all {
			one.Handle(1e6, Heard{From: x.from, Message: x.tell}, nil)
		}
		again := append(slices.Clone(all), all[:rapid.IntRange(0, len(all)).Draw(t, "again")]...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, x := range again {
			other.Handle(1e6, Heard{From: x.from, Message: x.tell}, nil)
		}
		a, b := one.Judged(), other.Judged()
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		for _, x := range a {
			if x.Bad {
				bad++
			}
			if x.Said.Position > 0 {
				vouched++
			}
		}
	})
	if bad == 0 || vouched == 0 {
		t.Errorf("%d were judged bad, %d positions vouched for: it proves nothing", bad, vouched)
	}
}

// TestForm: what is written is read as it was, to the grain; a position never as a newer one. What is not of the form is an error.
func TestForm(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		v := collector(t, 3)
		tell := &Tell{Seq: rapid.Uint32().Draw(t, "seq"), Items: []Item{drawItem(t, v), drawItem(t, v)}}
		got, err := Read(tell.Append(nil))
		if err != nil || !reflect.DeepEqual(got, tell) {
			t.Fatalf("%v: %+v of %+v", err, got, tell)
		}
		word := &Word{Seq: 7, Items: []Sum{{Key: 9, Answered: -1, Bad: true, Zones: []uint32{4, 5}, First: 20, Last: 10.5, By: []ID{1, 1 << 60}, Said: Said{Leads, 1.7e12 + 0.5}, SaidAge: 3},
			{Key: 10, Answered: 4, Said: Said{Unsaid, 1.7e12 + 0.1234567}}}}
		b := word.Append(nil)
		back, err := Read(b)
		if err != nil || back.(*Word).Items[1].Said.Position > word.Items[1].Said.Position {
			t.Fatalf("%v: %+v", err, back)
		}
		back.(*Word).Items[1].Said = word.Items[1].Said
		if !reflect.DeepEqual(back, word) {
			t.Fatalf("%+v of %+v", back, word)
		}
		torn := b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		if x, err := Read(torn); err == nil && len(x.(*Word).Items) > 1 {
			t.Fatalf("%+v of what was cut", x)
		}
		if _, err := Read(append([]byte{byte(rapid.IntRange(0, 2).Draw(t, "verb"))}, rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...)); err == nil {
			return
		}
	})
	if _, err := Read([]byte{9}); err == nil {
		t.Error("another verb is read")
	}
}

// TestInvariantsFail: each statement is seen to fail where the state is broken.
func TestInvariantsFail(t *testing.T) {
	for name, spoil := range map[string]func(v *Verdicts, s *server){
		"verdicts: servers are filed":                                           func(v *Verdicts, s *server) { v.byName["z"] = s },
		"verdicts: a server is filed once":                                      func(v *Verdicts, s *server) { v.byKey[s.key] = &server{} },
		"verdicts: words take no more of a group than they may":                 func(v *Verdicts, s *server) { v.order[0].avoid.on, v.order[1].avoid.on = true, true },
		"verdicts: what is followed is bounded":                                 func(v *Verdicts, s *server) { s.own.open = make([]sent, mostOpen+1) },
		"verdicts: what counts as silence was sent after all that was answered": func(v *Verdicts, s *server) { s.own.n, s.own.last, s.own.as = 1, 5, 9 },
		"verdicts: a verdict has an end":                                        func(v *Verdicts, s *server) { s.avoid = avoid{on: true, until: inf} },
		"verdicts: silence begins before it ends":                               func(v *Verdicts, s *server) { s.seen = []*seen{{n: 1, first: 9, last: 5}} },
		"verdicts: no evidence is of the time to come":                          func(v *Verdicts, s *server) { s.seen = []*seen{{answered: 2e6}} },
	} {
		v := collector(t, 3)
		var got []string
		c := invariant.New(func(b invariant.Breach) { got = append(got, b.Name) })
		if v.walk(c); len(got) > 0 {
			t.Fatalf("%v of what is whole", got)
		}
		if spoil(v, v.order[0]); true {
			v.walk(c)
		}
		if !slices.Contains(got, name) {
			t.Errorf("%q is not seen: %v", name, got)
		}
	}
}

// TestSize: what is told lies within what is stated, and no message is too long.
func TestSize(t *testing.T) {
	item := Item{Key: 1 << 31, Answered: 1e6, N: 200, First: 1e6, Last: 1e6, Work: 1e6, Said: Said{Leads, 1.7e12}, SaidAge: 1e6}
	sum := Sum{Key: 1 << 31, Bad: true, Zones: []uint32{1}, First: 1e6, Last: 1e6, By: []ID{1, 2}, Answered: 1e6, Said: Said{Leads, 1.7e12}, SaidAge: 1e6}
	one, two := len((&Tell{Items: []Item{item, item}}).Append(nil))-len((&Tell{Items: []Item{item}}).Append(nil)),
		len((&Word{Items: []Sum{sum, sum}}).Append(nil))-len((&Word{Items: []Sum{sum}}).Append(nil))
	if one > item.size() || two > sum.size() {
		t.Errorf("a server takes %d bytes of a tell, of %d, and %d of a word, of %d", one, item.size(), two, sum.size())
	}
	if sum.Bad = false; len((&Word{Items: []Sum{sum}}).Append(nil))-12 > sum.size() {
		t.Error("one that is not bad takes more than its size")
	}
}
