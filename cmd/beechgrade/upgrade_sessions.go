package main

import (
	"errors"
	"os"
	"time"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/store"
)

const (
	upgradeDir         = "beside"               // folder of the second place, in the first
	otherStoreInterval = 100 * time.Millisecond // between checks whether another process holds the other place
	trustMs            = 300                    // for which a check that found no other process holds for sessions' reads
	slowTakeoverMs     = 250                    // a longer takeover is logged
	// settleMs is the time from the start until the first write is answered. By then the other process has noticed this one, or no longer trusts its
	// checks.
	settleMs = 500
)

// upgradeSessions is the store of the other process on this socket, while an upgrade has two processes. While both run, either may serve a
// session's writes, and both require sessions' reads to see the present. Once the other process has ended, its commits are merged from there.
type upgradeSessions struct {
	pooler       *pooler
	opt          store.Options
	ownsFirst    bool // this process holds the first place; the other need not exist
	locked       bool // when this process started
	mergePending bool // its commits have not been merged since; owned by the goroutine

	trustedUntil float64 // until this time no other process serves sessions' writes
	writesFrom   float64 // before this time no write is answered
	began        bool
	quit         chan struct{}
	done         chan struct{}
}

func newUpgradeSessions(p *pooler, fs store.FS, opt store.Options, ownsFirst bool) *upgradeSessions {
	opt.FS, opt.Checks = fs, nil // each store has checks of its own
	return &upgradeSessions{pooler: p, opt: opt, ownsFirst: ownsFirst, quit: make(chan struct{}), done: make(chan struct{})}
}

// mergeAtStart merges the commits of a process that has ended, before the loop begins, or notes that one runs.
func (b *upgradeSessions) mergeAtStart() error {
	if d, ok := b.opt.FS.(store.Dir); ok && b.ownsFirst && b.pooler.inheritedListener == nil {
		if _, err := os.Stat(string(d)); errors.Is(err, os.ErrNotExist) {
			return nil
		}
	}
	s, rec, err := store.Open(b.opt)
	if errors.Is(err, store.ErrLocked) {
		b.locked, b.mergePending = true, true
		return nil
	}
	if err != nil {
		return err
	}
	b.pooler.noteRecovery("sessions", rec)
	told := make(chan error, 1)
	b.pooler.commits.Merge(sessiontoken.Read(s, clock.ToDuration(b.pooler.loop.Now()), b.pooler.log), func(err error) { told <- err })
	if err = <-told; err == nil {
		err = sessiontoken.Erase(s)
	}
	return errors.Join(err, s.Close())
}

// begin starts watching the other place. It runs on the loop.
func (b *upgradeSessions) begin() {
	if b == nil {
		return
	}
	if b.locked {
		b.writesFrom = b.pooler.loop.Now() + settleMs
	}
	b.began = true
	go b.watch()
}

// doubts reports whether another process may have served a session's last write.
func (b *upgradeSessions) doubts() bool { return b.pooler.loop.Now() > b.trustedUntil }

// Keep saves a session's commit; its answer waits for settle too.
func (b *upgradeSessions) Keep(session string, at decide.Time, done func(kept bool)) (waits bool) {
	if done == nil || b.pooler.loop.Now() >= b.writesFrom {
		return b.pooler.commits.Keep(session, at, done)
	}
	later := func(kept bool) {
		b.pooler.loop.At(max(b.writesFrom, b.pooler.loop.Now()), func() { done(kept) })
	}
	if !b.pooler.commits.Keep(session, at, later) {
		later(true)
	}
	return true
}

// watch checks periodically whether another process holds the other place. It runs beside the loop.
func (b *upgradeSessions) watch() {
	defer close(b.done)
	said, began := "", b.pooler.loop.Now()
	for {
		last := began
		if began = b.pooler.loop.Now(); began-last > trustMs { // a process may have started and ended meanwhile
			b.mergePending = true
		}
		err := b.checkOtherStore()
		switch {
		case err == nil:
			until := began + trustMs
			b.pooler.loop.Post(func() { b.trustedUntil = max(b.trustedUntil, until) })
		case errors.Is(err, store.ErrLocked):
			b.mergePending = true
		case err.Error() != said: // reads still have to see the present
			said = err.Error()
			b.pooler.log.Error("sessions: what the other process had is not known", "err", err)
		}
		select {
		case <-b.quit:
			return
		case <-time.After(otherStoreInterval):
		}
	}
}

// checkOtherStore merges the commits of a process that has ended. nil means that no other process runs, and that all commits are known here.
func (b *upgradeSessions) checkOtherStore() error {
	if !b.mergePending {
		unlock, err := b.opt.FS.Lock()
		if err != nil {
			return err
		}
		return unlock()
	}
	began := b.pooler.loop.Now()
	s, _, err := store.Open(b.opt)
	if err != nil {
		return err
	}
	opened := b.pooler.loop.Now()
	h := sessiontoken.Read(s, clock.ToDuration(b.pooler.loop.Now()), b.pooler.log)
	told := make(chan error, 1)
	b.pooler.loop.Post(func() {
		m := b.pooler.commits.Merge(h, func(err error) { told <- err })
		b.pooler.core.MergeSnapshot(m)
		b.pooler.log.Info("sessions: another process has ended, and its commits are known here", "sessions", len(m.Commits))
	})
	select {
	case err = <-told:
	case <-b.quit: // the commits stay for the next start
		return errors.Join(store.ErrClosed, s.Close())
	}
	merged := b.pooler.loop.Now()
	if err == nil {
		err = sessiontoken.Erase(s)
	}
	erased := b.pooler.loop.Now()
	if err = errors.Join(err, s.Close()); err == nil {
		b.mergePending = false
	}
	if ended := b.pooler.loop.Now(); ended-began > slowTakeoverMs { // a process that starts meanwhile has to wait for a place
		b.pooler.log.Warn("sessions: taking over was slow",
			"open_ms", opened-began,
			"merge_ms", merged-opened,
			"erase_ms", erased-merged,
			"close_ms", ended-erased)
	}
	return err
}

// stop ends watching, after the loop has ended.
func (b *upgradeSessions) stop() {
	close(b.quit)
	if b.began {
		<-b.done
	}
}
