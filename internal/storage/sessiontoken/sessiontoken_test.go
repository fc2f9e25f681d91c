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

// process is one of two that take sessions' writes at once, with its own disk.
type process struct {
	disk   *faultyfs.Disk
	store  *store.Store
	keeper *Keeper
	mode   Mode
	wait   func()
}

func startProcess(rt *rapid.T, disk *faultyfs.Disk, mode Mode, now decide.Time) *process {
	keeper, s, wait, err := open(disk, mode, now)
	if err != nil {
		rt.Fatal(err)
	}
	return &process{disk: disk, store: s, keeper: keeper, mode: mode, wait: wait}
}

// mergePlay is two processes, one of which ends and is merged into the other.
type mergePlay struct {
	rt        *rapid.T
	rng       *rand.Rand
	now       decide.Time
	answered  map[string]decide.Time // the last commit of each session that either answered
	router    map[string]decide.Time // what the remaining process's router knows
	forgotten decide.Time            // ...and of any other session
	ending    *process
	remaining *process
}

func newMergePlay(rt *rapid.T) *mergePlay {
	p := &mergePlay{
		rt: rt, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), now: 1000,
		answered: map[string]decide.Time{}, router: map[string]decide.Time{},
	}
	for _, process := range []**process{&p.ending, &p.remaining} {
		mode := rapid.SampledFrom([]Mode{BeforeAnswer, Alongside}).Draw(rt, "mode")
		*process = startProcess(rt, faultyfs.New(), mode, p.now)
		(*process).keeper.maxSessions = 4
	}
	return p
}

// write has one of the processes take a write of a session.
func (p *mergePlay) write() {
	process := []*process{p.ending, p.remaining}[rapid.IntRange(0, 1).Draw(p.rt, "by")]
	p.now += decide.Time(rapid.IntRange(1, 20).Draw(p.rt, "later"))
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", strings.Repeat("long", 60)}).Draw(p.rt, "session")
	isAnswered := true
	if process.keeper.Keep(name, p.now, func(kept bool) { isAnswered = kept }) {
		process.wait()
	}
	if isAnswered {
		p.answered[name] = p.now
	}
	if process == p.remaining {
		p.router[name] = p.now
	}
}

// end ends one process, cleanly or with a loss of power.
func (p *mergePlay) end() {
	clean := rapid.Bool().Draw(p.rt, "clean")
	if !clean {
		_ = p.ending.store.Close()
	} else if err := Close(p.ending.store, p.ending.mode); err != nil {
		p.rt.Fatal(err)
	}
	p.ending.disk = p.ending.disk.Restart(p.rng, !clean)
}

// restart has the remaining process start anew.
func (p *mergePlay) restart() {
	if err := Close(p.remaining.store, p.remaining.mode); err != nil {
		p.rt.Fatal(err)
	}
	p.remaining = startProcess(p.rt, p.remaining.disk.Restart(p.rng, true), p.remaining.mode, p.now)
	p.router = map[string]decide.Time{}
	snapshot := p.remaining.keeper.Snapshot()
	p.forgotten = snapshot.ForgottenCommit
	for _, commit := range snapshot.Commits {
		p.router[commit.Session] = commit.At
	}
}

// merge has the remaining process take over what the other's disk holds, and erases that sometimes.
func (p *mergePlay) merge() {
	s, _, err := store.Open(store.Options{FS: p.ending.disk})
	if err != nil {
		p.rt.Fatal(err)
	}
	done := make(chan error, 1)
	stored := Read(s, p.now, slog.New(slog.DiscardHandler))
	snapshot := p.remaining.keeper.Merge(stored, func(err error) { done <- err })
	if err := <-done; err != nil {
		p.rt.Fatal(err)
	}
	p.forgotten = max(p.forgotten, snapshot.ForgottenCommit)
	for _, commit := range snapshot.Commits {
		p.router[commit.Session] = max(p.router[commit.Session], commit.At)
	}
	if rapid.Bool().Draw(p.rt, "erased") {
		if err := Erase(s); err != nil {
			p.rt.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		p.rt.Fatal(err)
	}
}

// check verifies that no session counts for less than what was answered, at the router and after another start.
func (p *mergePlay) check() {
	for name, at := range p.answered {
		got, known := p.router[name]
		if !known {
			got = p.forgotten
		}
		if got < at {
			p.rt.Fatalf("%.10s counts for %d at the router, and was answered %d", name, got, at)
		}
	}
	_ = p.remaining.store.Close()
	last := startProcess(p.rt, p.remaining.disk.Restart(p.rng, true), p.remaining.mode, p.now)
	for name, at := range p.answered {
		if got := commitSeenBy(last.keeper, name); got < at {
			p.rt.Fatalf("after a start %.10s counts for %d, and was answered %d", name, got, at)
		}
	}
	_ = last.store.Close()
}

// TestMergedSessionsNeverGoBack has two processes take sessions' writes at once, each on its own disk; one ends, cleanly or not, or loses
// power, and the other takes over what it held, then or after a start of its own. No session counts for less than its last commit that either
// answered, and a merge may be repeated.
func TestMergedSessionsNeverGoBack(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		p := newMergePlay(rt)
		for range rapid.IntRange(0, 30).Draw(rt, "writes") {
			p.write()
		}
		p.end()
		if rapid.Bool().Draw(rt, "the other starts anew") {
			p.restart()
		}
		for range rapid.IntRange(1, 2).Draw(rt, "times") {
			p.merge()
		}
		p.check()
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
