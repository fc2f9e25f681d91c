package main

import (
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/store"
)

// TestTwoProcessesServeSessions: while two processes share a socket, both distrust what they know of sessions, the new process answers no
// write before the old one knows of it, and a third process is refused. Once one has ended, the other has its sessions, stores them, and
// trusts them again.
func TestTwoProcessesServeSessions(t *testing.T) {
	t.Parallel()
	for _, mode := range []sessiontoken.Mode{sessiontoken.BeforeAnswer, sessiontoken.Alongside} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			testTwoProcessesServeSessions(t, mode)
		})
	}
}

func testTwoProcessesServeSessions(t *testing.T, mode sessiontoken.Mode) {
	u := newUpgrade(t)
	dir := t.TempDir()
	places := [2]store.FS{store.Dir(dir), store.Dir(filepath.Join(dir, upgradeDir))}
	set := settings.Sessions{Mode: mode, MaxBytes: 1 << 20}
	unused := func() *pooler {
		p := newPooler(testConfig(t, "127.0.0.1:1", nil, func(c *config.Config) { c.DiscoveryAddress, c.Settings.TrackCommits = u.discoveryAddr, true }), slog.New(slog.DiscardHandler))
		inheritSocket(t, p, u.ln)
		return p
	}
	start := func() (p *pooler, end func()) {
		p = unused()
		close, err := p.openSessionsIn(places, set)
		if err != nil {
			t.Fatalf("opening the sessions: %v", err)
		}
		var once sync.Once
		stopped := func() { once.Do(close) }
		t.Cleanup(stopped)
		_, _, stop, done := launch(t, p)
		u.waitUntilOnLoop("ready", p, func() bool { return p.lifecycle.IsServing() })
		return p, func() {
			stop <- syscall.SIGTERM
			<-done
			stopped()
		}
	}
	one, endOne := start()
	u.waitUntilOnLoop("the only process trusts what it knows", one, func() bool { return !one.otherSessions.doubts() })
	two, endTwo := start()
	kept, at := make(chan float64, 1), clock.ToDuration(two.loop.Now())
	two.loop.Post(func() {
		if two.otherSessions.writesFrom == 0 {
			t.Error("the process does not delay writes at its start, though there is another process")
		}
		two.otherSessions.writesFrom = two.loop.Now() + 200 // extended, as the process may have become ready only after the original time
		if !two.otherSessions.Keep("x", at, func(bool) { kept <- two.loop.Now() }) {
			t.Error("an answer does not wait, though the other process may not know of this one")
			kept <- 0
		}
	})
	if when := <-kept; when < two.otherSessions.writesFrom {
		t.Errorf("%s: the first write was answered at %v ms, want not before %v ms", mode, when, two.otherSessions.writesFrom)
	}
	u.waitUntilOnLoop("the old process distrusts what it knows", one, one.otherSessions.doubts)
	u.waitUntilOnLoop("the new process distrusts what it knows", two, two.otherSessions.doubts)
	third := unused()
	if _, err := third.openSessionsIn(places, set); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opening the sessions in a third process: error is %v, want %v", err, store.ErrLocked)
	}
	_ = third.inheritedListener.Close()
	written := make(chan bool, 1)
	one.loop.Post(func() {
		if !one.commits.Keep("s", at+5, func(bool) { written <- true }) {
			written <- true
		}
	})
	<-written
	endOne()
	u.waitUntilOnLoop("the remaining process trusts what it knows", two, func() bool { return !two.otherSessions.doubts() })
	u.waitUntilOnLoop("the remaining process has the commit", two, func() bool {
		return slices.Contains(two.commits.Snapshot().Commits, decide.SessionCommit{Session: "s", At: at + 5})
	})
	endTwo()
	last := newPooler(testConfig(t, "127.0.0.1:1", nil, func(c *config.Config) { c.Settings.TrackCommits = true }), slog.New(slog.DiscardHandler))
	end, err := last.openSessionsIn(places, set) // alone, without an inherited socket
	if err != nil {
		t.Fatalf("opening the sessions in the last process: %v", err)
	}
	for _, want := range []decide.SessionCommit{{Session: "s", At: at + 5}, {Session: "x", At: at}} {
		if !slices.Contains(last.commits.Snapshot().Commits, want) {
			t.Errorf("%s: stored sessions are %v, want commit %v among them", mode, last.commits.Snapshot(), want)
		}
	}
	end()
}
