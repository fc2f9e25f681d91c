package main

import (
	"errors"
	"fmt"

	"beechgrade/internal/clock"
	"beechgrade/internal/commits"
	"beechgrade/internal/operate"
	"beechgrade/internal/store"
)

// useSessions has sessions' commits kept, where the settings have it on and the platform's have them remembered here; the function
// ends it, once the loop has ended.
func (p *pooler) useSessions(o operate.Sessions) (stop func(), err error) {
	if o.Dir == "" {
		return func() {}, nil
	}
	if !p.cfg.Settings.KeptTokens {
		p.log.Warn("sessions: they bring their commits themselves: nothing is kept")
		return func() {}, nil
	}
	return p.sessionsOn(store.Dir(o.Dir), o)
}

func (p *pooler) sessionsOn(fs store.FS, o operate.Sessions) (stop func(), err error) {
	s, rec, err := store.Open(store.Options{FS: fs, MaxBytes: o.MostBytes, SegmentBytes: o.MostBytes / 16})
	if err != nil {
		return nil, fmt.Errorf("sessions: %w", err)
	}
	if rec.Dropped > 0 {
		p.log.Warn("sessions: its end was not whole", "bytes", rec.Dropped, "why", rec.Why)
	}
	if p.commits, err = commits.New(s, o.Mode, clock.Span(p.loop.Now()), p.loop.Post, p.log); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	p.core.Commits(p.commits)
	p.log.Info("sessions: kept", "mode", o.Mode.String(), "sessions", len(p.commits.Memory().Commits))
	return func() {
		if err := commits.Close(s, o.Mode); err != nil {
			p.log.Error("sessions: not ended in order", "err", err)
		}
	}, nil
}
