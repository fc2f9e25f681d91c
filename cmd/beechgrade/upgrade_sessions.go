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
	upgradeDir         = "beside"               // name of the second directory, within the first
	otherStoreInterval = 100 * time.Millisecond // between checks whether another process holds the other directory
	trustMs            = 300                    // how long a check that found no other process counts for sessions' reads
	slowTakeoverMs     = 250                    // a merge that takes longer is logged
	// settleMs is the time from the start until the first write is answered. By then the other process has noticed this one, or its last check no
	// longer counts.
	settleMs = 500
)

// upgradeSessions is the session store of the other process on this socket, during an upgrade with two processes. While both run, either may
// serve a session's writes, so both require sessions' reads to see everything written until now. Once the other process has ended, its commits
// are merged from its store.
type upgradeSessions struct {
	pooler       *pooler
	opt          store.Options
	ownsFirst    bool // this process holds the first directory; the other one need not exist
	locked       bool // another process held the other directory when this process started
	mergePending bool // the other process's commits are not merged yet; accessed by the goroutine of watch

	trustedUntil float64 // until this time no other process serves sessions' writes, ms
	writesFrom   float64 // before this time no write is answered, ms
	began        bool
	quit         chan struct{}
	done         chan struct{}
}

func newUpgradeSessions(p *pooler, fs store.FS, opt store.Options, ownsFirst bool) *upgradeSessions {
	opt.FS, opt.Checks = fs, nil // invariant checks are not shared between stores
	return &upgradeSessions{pooler: p, opt: opt, ownsFirst: ownsFirst, quit: make(chan struct{}), done: make(chan struct{})}
}

// mergeAtStart merges the commits of a process that has ended, before the loop starts, or records that another process is running.
func (u *upgradeSessions) mergeAtStart() error {
	if d, ok := u.opt.FS.(store.Dir); ok && u.ownsFirst && u.pooler.inheritedListener == nil {
		if _, err := os.Stat(string(d)); errors.Is(err, os.ErrNotExist) {
			return nil
		}
	}
	s, rec, err := store.Open(u.opt)
	if errors.Is(err, store.ErrLocked) {
		u.locked, u.mergePending = true, true
		return nil
	}
	if err != nil {
		return err
	}
	u.pooler.noteRecovery("sessions", rec)
	result := make(chan error, 1)
	u.pooler.commits.Merge(sessiontoken.Read(s, clock.ToDuration(u.pooler.loop.Now()), u.pooler.log), func(err error) { result <- err })
	if err = <-result; err == nil {
		err = sessiontoken.Erase(s)
	}
	return errors.Join(err, s.Close())
}

// begin starts watching the other directory. It runs on the loop.
func (u *upgradeSessions) begin() {
	if u == nil {
		return
	}
	if u.locked {
		u.writesFrom = u.pooler.loop.Now() + settleMs
	}
	u.began = true
	go u.watch()
}

// doubts reports whether another process may have served a session's last write.
func (u *upgradeSessions) doubts() bool { return u.pooler.loop.Now() > u.trustedUntil }

// Keep saves a session's commit. Its answer waits until writesFrom as well.
func (u *upgradeSessions) Keep(session string, at decide.Time, done func(kept bool)) (waits bool) {
	if done == nil || u.pooler.loop.Now() >= u.writesFrom {
		return u.pooler.commits.Keep(session, at, done)
	}
	delayed := func(kept bool) {
		u.pooler.loop.At(max(u.writesFrom, u.pooler.loop.Now()), func() { done(kept) })
	}
	if !u.pooler.commits.Keep(session, at, delayed) {
		delayed(true)
	}
	return true
}

// watch checks periodically whether another process holds the other directory. It runs in its own goroutine.
func (u *upgradeSessions) watch() {
	defer close(u.done)
	lastErr, began := "", u.pooler.loop.Now()
	for {
		last := began
		if began = u.pooler.loop.Now(); began-last > trustMs { // a process may have started and ended meanwhile
			u.mergePending = true
		}
		err := u.checkOtherStore()
		switch {
		case err == nil:
			until := began + trustMs
			u.pooler.loop.Post(func() { u.trustedUntil = max(u.trustedUntil, until) })
		case errors.Is(err, store.ErrLocked):
			u.mergePending = true
		case err.Error() != lastErr: // reads still have to see everything written until now
			lastErr = err.Error()
			u.pooler.log.Error("sessions: the other process's commits cannot be merged; reads must see everything written until now", "err", err)
		}
		select {
		case <-u.quit:
			return
		case <-time.After(otherStoreInterval):
		}
	}
}

// checkOtherStore merges the commits of a process that has ended. nil means that no other process is running, and that its commits are merged.
func (u *upgradeSessions) checkOtherStore() error {
	if !u.mergePending {
		unlock, err := u.opt.FS.Lock()
		if err != nil {
			return err
		}
		return unlock()
	}
	began := u.pooler.loop.Now()
	s, _, err := store.Open(u.opt)
	if err != nil {
		return err
	}
	opened := u.pooler.loop.Now()
	commits := sessiontoken.Read(s, clock.ToDuration(u.pooler.loop.Now()), u.pooler.log)
	result := make(chan error, 1)
	u.pooler.loop.Post(func() {
		m := u.pooler.commits.Merge(commits, func(err error) { result <- err })
		u.pooler.core.MergeSnapshot(m)
		u.pooler.log.Info("sessions: merged the commits of another process that has ended", "sessions", len(m.Commits))
	})
	select {
	case err = <-result:
	case <-u.quit: // the commits stay in the store until the next start
		return errors.Join(store.ErrClosed, s.Close())
	}
	merged := u.pooler.loop.Now()
	if err == nil {
		err = sessiontoken.Erase(s)
	}
	erased := u.pooler.loop.Now()
	if err = errors.Join(err, s.Close()); err == nil {
		u.mergePending = false
	}
	if ended := u.pooler.loop.Now(); ended-began > slowTakeoverMs { // a process that starts meanwhile has to wait for a free directory
		u.pooler.log.Warn("sessions: merging another process's commits was slow",
			"open_ms", opened-began,
			"merge_ms", merged-opened,
			"erase_ms", erased-merged,
			"close_ms", ended-erased)
	}
	return err
}

// stop stops watching, after the loop has ended.
func (u *upgradeSessions) stop() {
	close(u.quit)
	if u.began {
		<-u.done
	}
}
