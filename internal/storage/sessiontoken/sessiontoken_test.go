package sessiontoken

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// open makes a keeper. wait runs the next callback of its store.
func open(d *faultyfs.Disk, mode Mode, now decide.Time) (k *Keeper, s *store.Store, wait func(), err error) {
	if s, _, err = store.Open(store.Options{FS: d, SegmentBytes: 600}); err != nil {
		return nil, nil, nil, err
	}
	callbacks := make(chan func(), 1000)
	if k, err = New(s, mode, now, func(f func()) { callbacks <- f }, slog.New(slog.DiscardHandler)); err != nil {
		return nil, nil, nil, errors.Join(err, s.Close())
	}
	k.UseChecks(invariant.New(func(b invariant.Breach) { panic(b.String()) }), 1)
	return k, s, func() { (<-callbacks)() }, nil
}

// commitSeenBy returns the commit that a router which was given a keeper's snapshot requires for a session's read.
func commitSeenBy(k *Keeper, session string) decide.Time {
	m := k.Snapshot()
	for _, c := range m.Commits {
		if c.Session == session {
			return c.At
		}
	}
	return m.ForgottenCommit
}

// TestSessionsNeverGoBackAfterACrash has sessions write, forgets them, loses power, fails the disk and sets the clock back at any time: after
// each start no session counts for less than its last answered commit, in either mode, and a clean shutdown leaves each session its own.
func TestSessionsNeverGoBackAfterACrash(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		d := faultyfs.New()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		answered := map[string]decide.Time{}
		now := decide.Time(1000)
		for range rapid.IntRange(1, 5).Draw(rt, "lives") {
			mode := rapid.SampledFrom([]Mode{BeforeAnswer, Alongside}).Draw(rt, "mode")
			k, s, wait, err := open(d, mode, now)
			if err != nil {
				rt.Fatal(err)
			}
			k.maxSessions = 5
			for name, at := range answered {
				if got := commitSeenBy(k, name); got < at {
					rt.Fatalf("%s counts for %d, and was answered %d", name, got, at)
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
				at, isAnswered := now, true
				if k.Keep(name, at, func(kept bool) { isAnswered = kept }) {
					wait()
				}
				if isAnswered {
					answered[name] = max(answered[name], at)
				}
			}
			if rapid.Bool().Draw(rt, "in order") {
				if err := Close(s, mode); err != nil && d.FailAt == 0 {
					rt.Fatal(err)
				}
			} else {
				_ = s.Close() // a crash: what was not synced may be lost, below
				d = d.Restart(rng, true)
				continue
			}
			d = d.Restart(rng, rapid.Bool().Draw(rt, "power"))
		}
	})
}

// TestCleanShutdownKeepsEachSessionsOwnCommit checks that after a clean shutdown each session counts for its own commit and others for none;
// after another, that holds where answers wait, and else all count as written until the start, or until the latest stored commit where the
// clock was set back.
func TestCleanShutdownKeepsEachSessionsOwnCommit(t *testing.T) {
	for _, mode := range []Mode{BeforeAnswer, Alongside} {
		for _, ordered := range []bool{true, false} {
			for _, back := range []bool{false, true} {
				d := faultyfs.New()
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
				got := fmt.Sprint(commitSeenBy(k, "a"), commitSeenBy(k, "b"), commitSeenBy(k, "new"))
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

// TestMergedSessionsNeverGoBack has two processes take sessions' writes at once, each on its own disk; one ends, cleanly or not, or loses
// power, and the other takes over what it held, then or after a start of its own. No session counts for less than its last commit that either
// answered, and a merge may be repeated.
func TestMergedSessionsNeverGoBack(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		disks := [2]*faultyfs.Disk{faultyfs.New(), faultyfs.New()}
		var keepers [2]*Keeper
		var stores [2]*store.Store
		var waits [2]func()
		var modes [2]Mode
		now, answered := decide.Time(1000), map[string]decide.Time{}
		for i := range keepers {
			modes[i] = rapid.SampledFrom([]Mode{BeforeAnswer, Alongside}).Draw(rt, "mode")
			var err error
			if keepers[i], stores[i], waits[i], err = open(disks[i], modes[i], now); err != nil {
				rt.Fatal(err)
			}
			keepers[i].maxSessions = 4
		}
		router := map[string]decide.Time{} // what the living one's router knows, and of any other
		forgotten := decide.Time(0)
		for range rapid.IntRange(0, 30).Draw(rt, "writes") {
			i := rapid.IntRange(0, 1).Draw(rt, "by")
			now += decide.Time(rapid.IntRange(1, 20).Draw(rt, "later"))
			name, at, isAnswered := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", strings.Repeat("long", 60)}).Draw(rt, "session"), now, true
			if keepers[i].Keep(name, at, func(kept bool) { isAnswered = kept }) {
				waits[i]()
			}
			if isAnswered {
				answered[name] = at
			}
			if i == 1 {
				router[name] = at
			}
		}
		ordered := rapid.Bool().Draw(rt, "in order")
		if ordered {
			if err := Close(stores[0], modes[0]); err != nil {
				rt.Fatal(err)
			}
		} else {
			_ = stores[0].Close()
		}
		disks[0] = disks[0].Restart(rng, !ordered)
		if rapid.Bool().Draw(rt, "the other starts anew") {
			if err := Close(stores[1], modes[1]); err != nil {
				rt.Fatal(err)
			}
			var err error
			disks[1] = disks[1].Restart(rng, true)
			if keepers[1], stores[1], _, err = open(disks[1], modes[1], now); err != nil {
				rt.Fatal(err)
			}
			router = map[string]decide.Time{}
			m := keepers[1].Snapshot()
			forgotten = m.ForgottenCommit
			for _, c := range m.Commits {
				router[c.Session] = c.At
			}
		}
		for range rapid.IntRange(1, 2).Draw(rt, "times") {
			s, _, err := store.Open(store.Options{FS: disks[0]})
			if err != nil {
				rt.Fatal(err)
			}
			callbacks := make(chan error, 1)
			m := keepers[1].Merge(Read(s, now, slog.New(slog.DiscardHandler)), func(err error) { callbacks <- err })
			if err := <-callbacks; err != nil {
				rt.Fatal(err)
			}
			forgotten = max(forgotten, m.ForgottenCommit)
			for _, c := range m.Commits {
				router[c.Session] = max(router[c.Session], c.At)
			}
			if rapid.Bool().Draw(rt, "emptied") {
				if err := Erase(s); err != nil {
					rt.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				rt.Fatal(err)
			}
		}
		for name, at := range answered {
			got, ok := router[name]
			if !ok {
				got = forgotten
			}
			if got < at {
				rt.Fatalf("%.10s counts for %d at the router, and was answered %d", name, got, at)
			}
		}
		_ = stores[1].Close()
		last, s, _, err := open(disks[1].Restart(rng, true), modes[1], now)
		if err != nil {
			rt.Fatal(err)
		}
		for name, at := range answered {
			if got := commitSeenBy(last, name); got < at {
				rt.Fatalf("after a start %.10s counts for %d, and was answered %d", name, got, at)
			}
		}
		_ = s.Close()
	})
}

// TestBrokenInvariantsAreReported breaks the state for each invariant of the keeper; without a break none is reported.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for want, breaks := range map[string]func(k *Keeper){
		"":                                   func(k *Keeper) { k.checkInvariants(); k.checkStep("a", 5, true); k.checkStored("a", 5) },
		"commits: sessions are bounded":      func(k *Keeper) { k.maxSessions = 0; k.checkInvariants() },
		"commits: a session's commit is one": func(k *Keeper) { k.commits["b"] = -1; k.checkInvariants() },
		"commits: a session's commit does not go back": func(k *Keeper) { k.checkStep("a", 6, true) },
		"commits: what is answered as kept is there":   func(k *Keeper) { k.checkStored("a", 6) },
	} {
		k, s, wait, err := open(faultyfs.New(), BeforeAnswer, 1)
		if err != nil {
			t.Fatal(err)
		}
		k.Keep("a", 5, func(bool) {})
		wait()
		c := invariant.New(nil)
		k.UseChecks(c, 1)
		breaks(k)
		if broken := c.Breaches(); (len(broken) > 0) != (want != "") || want != "" && broken[0].Name != want {
			t.Errorf("%q: %v", want, broken)
		}
		_ = s.Close()
	}
}
