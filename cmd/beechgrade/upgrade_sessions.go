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
	upgradeDir         = "beside"               // the second place's folder, in the first
	otherPlaceInterval = 100 * time.Millisecond // between looks at whether another process has the other place
	trustMs            = 300                    // after a look began that found none, sessions' reads go by what is known here
	slowTakeoverMs     = 250                    // in which the other place is held
	settleMs           = 500                    // after the start, until a write is answered: by then the other process has looked, or trusts itself no more
)

// upgradeSessions is the place of the other process on this socket, where an upgrade has two. While that one lives, either may serve a
// session's writes, and both hold sessions' reads to the present; once it has ended, its commits are taken from there.
type upgradeSessions struct {
	pooler       *pooler
	opt          store.Options
	owns         bool // the first place is this process's own: the other need not be there
	locked       bool // at the start
	mergePending bool // ...and its commits have not been taken since; the goroutine's

	trusted float64 // until then nobody else serves sessions' writes
	settle  float64 // no write is answered before
	began   bool
	quit    chan struct{}
	done    chan struct{}
}

func newUpgradeSessions(p *pooler, fs store.FS, opt store.Options, own bool) *upgradeSessions {
	opt.FS, opt.Checks = fs, nil // these are its own store's
	return &upgradeSessions{pooler: p, opt: opt, owns: own, quit: make(chan struct{}), done: make(chan struct{})}
}

// first takes what a process that has ended left there, before the loop begins; or notes that one is there.
func (b *upgradeSessions) first() error {
	if d, ok := b.opt.FS.(store.Dir); ok && b.owns && b.pooler.inheritedListener == nil {
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

// begin goes on with the loop.
func (b *upgradeSessions) begin() {
	if b == nil {
		return
	}
	if b.locked {
		b.settle = b.pooler.loop.Now() + settleMs
	}
	b.began = true
	go b.watch()
}

// doubts tells whether a session's last write may have been served by another process.
func (b *upgradeSessions) doubts() bool { return b.pooler.loop.Now() > b.trusted }

// Keep is core.SessionTokens'.
func (b *upgradeSessions) Keep(session string, at decide.Time, done func(kept bool)) (waits bool) {
	if done == nil || b.pooler.loop.Now() >= b.settle {
		return b.pooler.commits.Keep(session, at, done)
	}
	later := func(kept bool) {
		b.pooler.loop.At(max(b.settle, b.pooler.loop.Now()), func() { done(kept) })
	}
	if !b.pooler.commits.Keep(session, at, later) {
		later(true)
	}
	return true
}

// watch looks again and again whether another process has the other place. It runs beside the loop.
func (b *upgradeSessions) watch() {
	defer close(b.done)
	said, began := "", b.pooler.loop.Now()
	for {
		last := began
		if began = b.pooler.loop.Now(); began-last > trustMs { // one may have come and gone meanwhile
			b.mergePending = true
		}
		err := b.checkOtherPlace()
		switch {
		case err == nil:
			until := began + trustMs
			b.pooler.loop.Post(func() { b.trusted = max(b.trusted, until) })
		case errors.Is(err, store.ErrLocked):
			b.mergePending = true
		case err.Error() != said: // reads stay held to the present
			said = err.Error()
			b.pooler.log.Error("sessions: what the other process had is not known", "err", err)
		}
		select {
		case <-b.quit:
			return
		case <-time.After(otherPlaceInterval):
		}
	}
}

// checkOtherPlace takes over what a process that has ended had; nil means that there is none, and that nothing of it is missing here.
func (b *upgradeSessions) checkOtherPlace() error {
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
	case <-b.quit: // what is there stays there, for the next start
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
	if ended := b.pooler.loop.Now(); ended-began > slowTakeoverMs { // a process that starts meanwhile finds no free place
		b.pooler.log.Warn("sessions: taking over was slow", "open_ms", opened-began, "merge_ms", merged-opened, "erase_ms", erased-merged, "close_ms", ended-erased)
	}
	return err
}

// stop ends the looks, once the loop has ended.
func (b *upgradeSessions) stop() {
	close(b.quit)
	if b.began {
		<-b.done
	}
}
