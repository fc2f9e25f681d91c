package main

import (
	"fmt"

	"beechgrade/internal/backend/journaled"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/store"
)

// openJournal opens the journal of attempts that may have been executed, where the settings enable it. The returned function closes it.
func (p *pooler) openJournal(o settings.Journal) (stop func(), err error) {
	if o.Dir == "" {
		return func() {}, nil
	}
	return p.openJournalOn(store.Dir(o.Dir), o)
}

func (p *pooler) openJournalOn(fs store.FS, o settings.Journal) (stop func(), err error) {
	checks, every := p.storeChecks()
	s, rec, err := store.Open(store.Options{
		FS:             fs,
		MaxBytes:       o.MaxBytes,
		SegmentBytes:   o.MaxBytes / 16,
		CompactionRate: o.CompactionBytesPerSecond,
		MaxMemory:      storeMemory(p.cfg.Limits.MemoryMB),
		Post:           p.loop.Post,
		Checks:         checks,
		BatchesPerWalk: every,
	})
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	p.noteRecovery("journal", rec)
	p.journal = journaled.New(p.loop, p.log, p.core, s, o.Mode)
	p.core.SetJournal(p.journal)
	if n := len(journal.Pending(s)); n > 0 {
		p.log.Warn("journal: attempts of earlier processes have no recorded outcome and may have been executed", "attempts", n)
	}
	return func() { _ = s.Close() }, nil
}
