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

// openSessionTokens opens the store of sessions' last commits, where the settings enable it and clients do not send their sessions' commits
// themselves. The returned function closes it, after the loop has ended.
func (p *pooler) openSessionTokens(o settings.Sessions) (stop func(), err error) {
	if o.Dir == "" {
		return func() {}, nil
	}
	if !p.cfg.Settings.TrackCommits {
		p.log.Warn("sessions: store not opened, as clients send their sessions' commits themselves")
		return func() {}, nil
	}
	return p.openSessionsIn([2]store.FS{store.Dir(o.Dir), store.Dir(filepath.Join(o.Dir, upgradeDir))}, o)
}

// openSessionsOn opens the store in a single directory.
func (p *pooler) openSessionsOn(fs store.FS, o settings.Sessions) (stop func(), err error) {
	return p.openSessionsIn([2]store.FS{fs, nil}, o)
}

// openSessionsIn opens the store in the first of two directories that no other process has locked. The second one is used only by processes on an
// inherited socket.
func (p *pooler) openSessionsIn(directories [2]store.FS, o settings.Sessions) (stop func(), err error) {
	checks, every := p.storeChecks()
	opt := store.Options{
		MaxBytes:       o.MaxBytes,
		SegmentBytes:   o.MaxBytes / 16,
		CompactionRate: o.CompactionBytesPerSecond,
		MaxMemory:      storeMemory(p.cfg.Limits.MemoryMB),
		Checks:         checks,
		BatchesPerWalk: every,
	}
	s, rec, index, err := p.openFreeStore(directories, opt)
	if err != nil {
		return nil, fmt.Errorf("sessions: %w", err)
	}
	p.noteRecovery("sessions", rec)
	keeper, err := sessiontoken.New(s, o.Mode, clock.ToDuration(p.loop.Now()), p.loop.Post, p.log)
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	keeper.LimitSessions(int(opt.MaxMemory / store.MemoryUse(1, int64(sessiontoken.MaxRecordBytes))))
	p.commits = keeper
	p.core.SetSessionTokens(keeper)
	end := func() {
		if err := sessiontoken.Close(s, o.Mode); err != nil {
			p.log.Error("sessions: store not closed cleanly", "err", err)
		}
	}
	if otherFS := directories[1-index]; otherFS != nil {
		other := newUpgradeSessions(p, otherFS, opt, index == 0)
		if err := other.mergeAtStart(); err != nil {
			return nil, errors.Join(fmt.Errorf("sessions: %w", err), s.Close())
		}
		if p.inheritedListener != nil {
			p.otherSessions = other
			p.core.SetSessionTokens(other)
			p.core.SetSessionDoubt(other.doubts)
			closeStore := end
			end = func() { other.stop(); closeStore() }
		}
	}
	p.log.Info("sessions: store opened",
		"mode", o.Mode.String(),
		"sessions", len(p.commits.Snapshot().Commits),
		"other_process", p.otherSessions != nil && p.otherSessions.locked)
	return end, nil
}

const (
	openRetryInterval = 20 * time.Millisecond // another process may briefly lock a directory to check whether it is free
	openTimeout       = 8 * time.Second       // merging another process's store takes as long as the disk needs; a process has to be ready within 10 s
	slowOpen          = 250 * time.Millisecond
)

// openFreeStore opens the store in a directory that no process has locked.
func (p *pooler) openFreeStore(directories [2]store.FS, opt store.Options) (s *store.Store, rec *store.Recovery, index int, err error) {
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > slowOpen {
			p.log.Warn("sessions: opening a store took long", "ms", took.Milliseconds(), "directory", index, "err", err)
		}
	}()
	for deadline := began.Add(openTimeout); ; time.Sleep(openRetryInterval) {
		for index = range directories {
			if index == 1 && (p.inheritedListener == nil || directories[1] == nil) {
				return nil, nil, 0, err
			}
			opt.FS = directories[index]
			if s, rec, err = store.Open(opt); !errors.Is(err, store.ErrLocked) {
				return s, rec, index, err
			}
		}
		if time.Now().After(deadline) {
			return nil, nil, 0, err
		}
	}
}
