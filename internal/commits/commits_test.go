package commits

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/decide"
	"beechgrade/internal/kit/standin/faulty"
	"beechgrade/internal/steady"
	"beechgrade/internal/store"
)

// open starts a keeper whose word comes on calls of the function that it returns, once.
func open(d *faulty.Disk, mode Mode, now decide.Time) (k *Keeper, s *store.Store, wait func(), err error) {
	if s, _, err = store.Open(store.Options{FS: d, SegmentBytes: 600}); err != nil {
		return nil, nil, nil, err
	}
	told := make(chan func(), 1000)
	if k, err = New(s, mode, now, func(f func()) { told <- f }, slog.New(slog.DiscardHandler)); err != nil {
		return nil, nil, nil, errors.Join(err, s.Close())
	}
	return k, s, func() { (<-told)() }, nil
}

// need is what a router that was given a keeper's memory holds a session's read to.
func need(k *Keeper, session string) decide.Time {
	m := k.Memory()
	for _, c := range m.Commits {
		if c.Session == session {
			return c.At
		}
	}
	return m.Forgotten
}

// TestCrashes: sessions write, generations of them are dropped, the power goes out at any time, the disk fails, the clock goes back: after
// each start no session is held to less than the last commit that was answered, in either mode, and a process that ended in order leaves
// each session just its own.
func TestCrashes(t *testing.T) {
	steady.Check(t, func(rt *rapid.T) {
		d := faulty.New()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		answered := map[string]decide.Time{}
		now := decide.Time(1000)
		for range rapid.IntRange(1, 5).Draw(rt, "lives") {
			mode := rapid.SampledFrom([]Mode{Before, Alongside}).Draw(rt, "mode")
			k, s, wait, err := open(d, mode, now)
			if err != nil {
				rt.Fatal(err)
			}
			k.most = 5
			for name, at := range answered {
				if got := need(k, name); got < at {
					rt.Fatalf("%s is held to %d, and heard of %d", name, got, at)
				}
			}
			ops, _ := d.Ops()
			d.FailAt, d.Err = 0, errors.New("input/output error")
			if rapid.Bool().Draw(rt, "fails") {
				d.FailAt = ops + rapid.IntRange(1, 12).Draw(rt, "at")
			}
			for range rapid.IntRange(0, 20).Draw(rt, "writes") {
				now += decide.Time(rapid.IntRange(1, 20).Draw(rt, "later"))
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", strings.Repeat("long", 60)}).Draw(rt, "session")
				at, heard := now, true
				if k.Keep(name, at, func(kept bool) { heard = kept }) {
					wait()
				}
				if heard {
					answered[name] = max(answered[name], at)
				}
			}
			if rapid.Bool().Draw(rt, "in order") {
				if err := Close(s, mode); err != nil && d.FailAt == 0 {
					rt.Fatal(err)
				}
			} else {
				_ = s.Close() // as much as a crash leaves: what was asked for and not synced may be gone, below
				d = d.Restart(rng, true)
				continue
			}
			d = d.Restart(rng, rapid.Bool().Draw(rt, "power"))
		}
	})
}

// TestOrdered: after an end in order, in either mode, each session is held to its own commit and others to none; after one without, that
// holds where answers wait, and else everybody counts as written until the start; where the clock has gone back, until the latest kept.
func TestOrdered(t *testing.T) {
	for _, mode := range []Mode{Before, Alongside} {
		for _, ordered := range []bool{true, false} {
			for _, back := range []bool{false, true} {
				d := faulty.New()
				k, s, wait, err := open(d, mode, 100)
				if err != nil {
					t.Fatal(err)
				}
				for name, at := range map[string]decide.Time{"a": 200, "b": 900} {
					if k.Keep(name, at, func(bool) {}) {
						wait()
					}
				}
				if ordered {
					err = Close(s, mode)
				} else {
					err = s.Close()
				}
				if err != nil {
					t.Fatal(err)
				}
				now := decide.Time(2000)
				if back {
					now = 150
				}
				if k, s, _, err = open(d, mode, now); err != nil {
					t.Fatal(err)
				}
				got := fmt.Sprint(need(k, "a"), need(k, "b"), need(k, "new"))
				want := fmt.Sprint(decide.Time(200), decide.Time(900), decide.Time(0))
				if !ordered && mode == Alongside {
					x := max(900, now)
					want = fmt.Sprint(x, x, x)
				}
				if got != want {
					t.Errorf("%s, in order %v, back %v: %s, want %s", mode, ordered, back, got, want)
				}
				_ = s.Close()
			}
		}
	}
}
