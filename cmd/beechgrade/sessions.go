package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/store"
)

// openSessionTokens opens the store of sessions' last commits, where the settings enable it and sessions do not carry their commits
// themselves. The returned function closes it, after the loop has ended.
func (p *pooler) openSessionTokens(o settings.Sessions) (stop func(), err error) {
	if o.Dir == "" {
		return func() {}, nil
	}
	if !p.cfg.Settings.TrackCommits {
		p.log.Warn("sessions: they bring their commits themselves: nothing is kept")
		return func() {}, nil
	}
	return p.openSessionsIn([2]store.FS{store.Dir(o.Dir), store.Dir(filepath.Join(o.Dir, upgradeDir))}, o)
}

// openSessionsOn opens the store in one place.
func (p *pooler) openSessionsOn(fs store.FS, o settings.Sessions) (stop func(), err error) {
	return p.openSessionsIn([2]store.FS{fs, nil}, o)
}

// openSessionsIn opens the store in the first of two places that no other process holds. The second is for processes on an inherited socket.
func (p *pooler) openSessionsIn(places [2]store.FS, o settings.Sessions) (stop func(), err error) {
	checks, every := p.storeChecks()
	opt := store.Options{
		MaxBytes:       o.MaxBytes,
		SegmentBytes:   o.MaxBytes / 16,
		CompactionRate: o.CompactionBytesPerSecond,
		MaxMemory:      storeMemory(p.cfg.Limits.MemoryMB),
		Checks:         checks,
		BatchesPerWalk: every,
	}
	s, rec, at, err := p.openFreeStore(places, opt)
	if err != nil {
		return nil, fmt.Errorf("sessions: %w", err)
	}
	p.noteRecovery("sessions", rec)
	k, err := sessiontoken.New(s, o.Mode, clock.ToDuration(p.loop.Now()), p.loop.Post, p.log)
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	k.LimitSessions(int(opt.MaxMemory / store.MemoryUse(1, int64(sessiontoken.MaxRecordBytes))))
	p.commits = k
	p.core.SetSessionTokens(k)
	end := func() {
		if err := sessiontoken.Close(s, o.Mode); err != nil {
			p.log.Error("sessions: not ended in order", "err", err)
		}
	}
	if other := places[1-at]; other != nil {
		b := newUpgradeSessions(p, other, opt, at == 0)
		if err := b.mergeAtStart(); err != nil {
			return nil, errors.Join(fmt.Errorf("sessions: %w", err), s.Close())
		}
		if p.inheritedListener != nil {
			p.otherSessions = b
			p.core.SetSessionTokens(b)
			p.core.SetSessionDoubt(b.doubts)
			endKeeper := end
			end = func() { b.stop(); endKeeper() }
		}
	}
	p.log.Info("sessions: kept",
		"mode", o.Mode.String(),
		"sessions", len(p.commits.Snapshot().Commits),
		"beside", p.otherSessions != nil && p.otherSessions.locked)
	return end, nil
}

const (
	openRetryInterval = 20 * time.Millisecond // another process may hold a place for a moment, to see whether it is free
	openTimeout       = 8 * time.Second       // a takeover lasts as long as the disk needs; a process has to be ready within 10 s
	slowOpen          = 250 * time.Millisecond
)

// openFreeStore opens a place that no process holds.
func (p *pooler) openFreeStore(places [2]store.FS, opt store.Options) (s *store.Store, rec *store.Recovery, at int, err error) {
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > slowOpen {
			p.log.Warn("sessions: a place was long in coming free", "ms", took.Milliseconds(), "place", at, "err", err)
		}
	}()
	for until := began.Add(openTimeout); ; time.Sleep(openRetryInterval) {
		for at = range places {
			if at == 1 && (p.inheritedListener == nil || places[1] == nil) {
				return nil, nil, 0, err
			}
			opt.FS = places[at]
			if s, rec, err = store.Open(opt); !errors.Is(err, store.ErrLocked) {
				return s, rec, at, err
			}
		}
		if time.Now().After(until) {
			return nil, nil, 0, err
		}
	}
}
