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

// open opens a keeper on a disk. wait runs the next callback of its store.
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

// commitSeenBy returns the commit that a router which was started from a keeper's snapshot requires for a session's reads.
func commitSeenBy(k *Keeper, session string) decide.Time {
	m := k.Snapshot()
	for _, c := range m.Commits {
		if c.Session == session {
			return c.At
		}
	}
	return m.ForgottenCommit
}

// TestCrashLosesNoAnsweredCommit draws session writes, forgotten sessions, power failures and disk errors. In either mode, no session has an
// earlier commit after a start than its last answered one.
func TestCrashLosesNoAnsweredCommit(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		d := faultyfs.New()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		answered := map[string]decide.Time{}
		now := decide.Time(1000)
		for range rapid.IntRange(1, 5).Draw(rt, "lives") {
			mode := rapid.SampledFrom([]Mode{BeforeAnswer, Alongside}).Draw(rt, "mode")
			k, s, wait, err := open(d, mode, now)
			if err != nil {
				rt.Fatalf("open the keeper: %v", err)
			}
			k.maxSessions = 5
			for name, at := range answered {
				if got := commitSeenBy(k, name); got < at {
					rt.Fatalf("%s has commit %d after a start; %d was answered", name, got, at)
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
					rt.Fatalf("close the store in order: %v", err)
				}
			} else {
				_ = s.Close() // a crash: the restart may lose what was not synced
				d = d.Restart(rng, true)
				continue
			}
			d = d.Restart(rng, rapid.Bool().Draw(rt, "power"))
		}
	})
}

// TestCleanShutdownKeepsEachSessionsOwnCommit checks that after a clean shutdown each session has its own commit, and unknown sessions have
// none. After an unclean shutdown this holds in mode BeforeAnswer; in mode Alongside every session counts as written until the start, or
// until the latest stored commit if the clock was set back.
func TestCleanShutdownKeepsEachSessionsOwnCommit(t *testing.T) {
	for _, mode := range []Mode{BeforeAnswer, Alongside} {
		for _, clean := range []bool{true, false} {
			for _, clockSetBack := range []bool{false, true} {
				d := faultyfs.New()
				k, s, wait, err := open(d, mode, 100)
				if err != nil {
					t.Fatalf("open the keeper: %v", err)
				}
				for name, at := range map[string]decide.Time{"a": 200, "b": 900} {
					if k.Keep(name, at, func(bool) {}) {
						wait()
					}
				}
				if clean {
					err = Close(s, mode)
				} else {
					err = s.Close()
				}
				if err != nil {
					t.Fatalf("close the store, clean shutdown %v: %v", clean, err)
				}
				now := decide.Time(2000)
				if clockSetBack {
					now = 150
				}
				if k, s, _, err = open(d, mode, now); err != nil {
					t.Fatalf("open the keeper again: %v", err)
				}
				got := fmt.Sprint(commitSeenBy(k, "a"), commitSeenBy(k, "b"), commitSeenBy(k, "new"))
				want := fmt.Sprint(decide.Time(200), decide.Time(900), decide.Time(0))
				if !clean && mode == Alongside {
					latest := max(900, now)
					want = fmt.Sprint(latest, latest, latest)
				}
				if got != want {
					t.Errorf("mode %s, clean shutdown %v, clock set back %v: commits of a, b and a new session: %s, want %s", mode, clean, clockSetBack, got, want)
				}
				_ = s.Close()
			}
		}
	}
}

// process is one of two processes that serve writes of sessions at the same time, each with a disk of its own.
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
		rt.Fatalf("open the keeper: %v", err)
	}
	return &process{disk: disk, store: s, keeper: keeper, mode: mode, wait: wait}
}

// mergeScenario has two processes, one of which ends; its commits are merged into the other.
type mergeScenario struct {
	rt        *rapid.T
	rng       *rand.Rand
	now       decide.Time
	answered  map[string]decide.Time // the last commit of each session that either process answered
	router    map[string]decide.Time // the commits that the remaining process's router knows
	forgotten decide.Time            // the commit that its router requires for any other session
	ending    *process
	remaining *process
}

func newMergeScenario(rt *rapid.T) *mergeScenario {
	m := &mergeScenario{
		rt: rt, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), now: 1000,
		answered: map[string]decide.Time{}, router: map[string]decide.Time{},
	}
	for _, process := range []**process{&m.ending, &m.remaining} {
		mode := rapid.SampledFrom([]Mode{BeforeAnswer, Alongside}).Draw(rt, "mode")
		*process = startProcess(rt, faultyfs.New(), mode, m.now)
		(*process).keeper.maxSessions = 4
	}
	return m
}

// write has one of the processes serve a write of a session.
func (m *mergeScenario) write() {
	process := []*process{m.ending, m.remaining}[rapid.IntRange(0, 1).Draw(m.rt, "by")]
	m.now += decide.Time(rapid.IntRange(1, 20).Draw(m.rt, "later"))
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", strings.Repeat("long", 60)}).Draw(m.rt, "session")
	isAnswered := true
	if process.keeper.Keep(name, m.now, func(kept bool) { isAnswered = kept }) {
		process.wait()
	}
	if isAnswered {
		m.answered[name] = m.now
	}
	if process == m.remaining {
		m.router[name] = m.now
	}
}

// end ends the ending process, cleanly or by a power failure.
func (m *mergeScenario) end() {
	clean := rapid.Bool().Draw(m.rt, "clean")
	if !clean {
		_ = m.ending.store.Close()
	} else if err := Close(m.ending.store, m.ending.mode); err != nil {
		m.rt.Fatalf("close the store of the ending process: %v", err)
	}
	m.ending.disk = m.ending.disk.Restart(m.rng, !clean)
}

// restart restarts the remaining process.
func (m *mergeScenario) restart() {
	if err := Close(m.remaining.store, m.remaining.mode); err != nil {
		m.rt.Fatalf("close the store of the remaining process: %v", err)
	}
	m.remaining = startProcess(m.rt, m.remaining.disk.Restart(m.rng, true), m.remaining.mode, m.now)
	m.router = map[string]decide.Time{}
	snapshot := m.remaining.keeper.Snapshot()
	m.forgotten = snapshot.ForgottenCommit
	for _, commit := range snapshot.Commits {
		m.router[commit.Session] = commit.At
	}
}

// merge merges the stored commits of the ended process into the remaining one, and sometimes erases them.
func (m *mergeScenario) merge() {
	s, _, err := store.Open(store.Options{FS: m.ending.disk})
	if err != nil {
		m.rt.Fatalf("open the store of the ended process: %v", err)
	}
	done := make(chan error, 1)
	stored := Read(s, m.now, slog.New(slog.DiscardHandler))
	snapshot := m.remaining.keeper.Merge(stored, func(err error) { done <- err })
	if err := <-done; err != nil {
		m.rt.Fatalf("merge the commits of the ended process: %v", err)
	}
	m.forgotten = max(m.forgotten, snapshot.ForgottenCommit)
	for _, commit := range snapshot.Commits {
		m.router[commit.Session] = max(m.router[commit.Session], commit.At)
	}
	if rapid.Bool().Draw(m.rt, "erased") {
		if err := Erase(s); err != nil {
			m.rt.Fatalf("erase the commits of the ended process: %v", err)
		}
	}
	if err := s.Close(); err != nil {
		m.rt.Fatalf("close the store of the ended process: %v", err)
	}
}

// check verifies that no session has an earlier commit than its last answered one, at the router and after another start.
func (m *mergeScenario) check() {
	for name, at := range m.answered {
		got, known := m.router[name]
		if !known {
			got = m.forgotten
		}
		if got < at {
			m.rt.Fatalf("%.10s has commit %d at the router; %d was answered", name, got, at)
		}
	}
	_ = m.remaining.store.Close()
	last := startProcess(m.rt, m.remaining.disk.Restart(m.rng, true), m.remaining.mode, m.now)
	for name, at := range m.answered {
		if got := commitSeenBy(last.keeper, name); got < at {
			m.rt.Fatalf("%.10s has commit %d after a start; %d was answered", name, got, at)
		}
	}
	_ = last.store.Close()
}

// TestMergeLosesNoAnsweredCommit has two processes serve writes of sessions at the same time, each on its own disk. One ends, cleanly or by a
// power failure, and the other merges its stored commits, possibly after a restart of its own. No session has an earlier commit than the last
// that either process answered, even if the merge is repeated.
func TestMergeLosesNoAnsweredCommit(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		m := newMergeScenario(rt)
		for range rapid.IntRange(0, 30).Draw(rt, "writes") {
			m.write()
		}
		m.end()
		if rapid.Bool().Draw(rt, "the other starts anew") {
			m.restart()
		}
		for range rapid.IntRange(1, 2).Draw(rt, "times") {
			m.merge()
		}
		m.check()
	})
}

// TestBrokenInvariantsAreReported breaks each invariant of the keeper in turn and expects its report. An intact state reports none.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for want, breaks := range map[string]func(k *Keeper){
		"": func(k *Keeper) { k.checkInvariants(); k.checkStep("a", 5, true); k.checkStored("a", 5) },
		"commits: the number of sessions is bounded":          func(k *Keeper) { k.maxSessions = 0; k.checkInvariants() },
		"commits: a session's name and commit time are valid": func(k *Keeper) { k.commits["b"] = -1; k.checkInvariants() },
		"commits: a session's commit time does not decrease":  func(k *Keeper) { k.checkStep("a", 6, true) },
		"commits: an acknowledged commit is in the store":     func(k *Keeper) { k.checkStored("a", 6) },
	} {
		k, s, wait, err := open(faultyfs.New(), BeforeAnswer, 1)
		if err != nil {
			t.Fatalf("open the keeper: %v", err)
		}
		k.Keep("a", 5, func(bool) {})
		wait()
		c := invariant.New(nil)
		k.UseChecks(c, 1)
		breaks(k)
		if broken := c.Breaches(); (len(broken) > 0) != (want != "") || want != "" && broken[0].Name != want {
			t.Errorf("breaches: %v, want %q first, or none if that is empty", broken, want)
		}
		_ = s.Close()
	}
}
