package main

import (
	"log/slog"

	"beechgrade/internal/invariant"
	"beechgrade/internal/record"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// recoveredStore is the result of recovery when a durable store was opened.
type recoveredStore struct {
	name string
	*store.Recovery
}

// noteRecovery logs a recovery that dropped data, and keeps the result until it can be recorded.
func (p *pooler) noteRecovery(name string, rec *store.Recovery) {
	if rec == nil {
		return
	}
	if rec.DroppedBytes > 0 {
		p.log.Warn("store "+name+": recovery dropped an incomplete end", "bytes", rec.DroppedBytes, "reason", rec.Reason)
	}
	p.recovered = append(p.recovered, recoveredStore{name, rec})
}

// recordRecovered records the recoveries that are not recorded yet. It runs on the loop.
func (p *pooler) recordRecovered() {
	for _, r := range p.recovered {
		if r.Records > 0 || r.DroppedBytes > 0 {
			p.core.RecordRecovery(record.StoreRecovery{
				Store:    r.name,
				Records:  int64(r.Records),
				Segments: int64(r.SegmentsRead),
				Dropped:  int64(r.DroppedBytes),
			}, r.DurationMs, r.Reason)
		}
	}
	p.recovered = nil
}

// maxStores is the largest number of durable stores. Together they may take 1/storesMemoryDivisor of the memory.
const (
	maxStores           = 4
	storesMemoryDivisor = 4
)

// storeMemory returns how many bytes of memory the records of one store may take.
func storeMemory(memoryMB int) int64 { return int64(memoryMB) << 20 / storesMemoryDivisor / maxStores }

// storeChecks returns the invariant checks for one store, which belong to its writer's goroutine. A violation is counted on the loop, with all others.
func (p *pooler) storeChecks() (c *invariant.Checks, every int) {
	if p.settings == nil || !p.settings.Invariants.Enabled {
		return nil, 0
	}
	return invariant.New(func(b invariant.Breach) {
		p.loop.Post(func() { p.checks.That(false, b.Name, func() string { return b.State }) })
	}), p.settings.Invariants.WalkInterval
}

// loggedChecks returns invariant checks for state that does not belong to the loop. A violation is only logged.
func loggedChecks(set settings.Invariants, log *slog.Logger) *invariant.Checks {
	if !set.Enabled {
		return nil
	}
	return invariant.New(func(b invariant.Breach) { log.Error("invariant broken", "name", b.Name, "state", b.State) })
}
