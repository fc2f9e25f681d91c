package main

import (
	"log/slog"

	"beechgrade/internal/invariant"
	"beechgrade/internal/record"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// recovered is what the opening of a durable store found.
type recovered struct {
	name string
	*store.Recovery
}

// noteRecovery notes what was found, for the log now and for the records once there are any.
func (p *pooler) noteRecovery(name string, rec *store.Recovery) {
	if rec == nil {
		return
	}
	if rec.DroppedBytes > 0 {
		p.log.Warn(name+": its end was not whole", "bytes", rec.DroppedBytes, "why", rec.Reason)
	}
	p.recovered = append(p.recovered, recovered{name, rec})
}

// recordRecovered records what was found, on the loop.
func (p *pooler) recordRecovered() {
	for _, r := range p.recovered {
		if r.Records > 0 || r.DroppedBytes > 0 {
			p.core.RecordRecovery(record.StoreRecovery{Store: r.name, Records: int64(r.Records), Segments: int64(r.SegmentsRead), Dropped: int64(r.DroppedBytes)}, r.DurationMs, r.Reason)
		}
	}
	p.recovered = nil
}

// stores is how many there may be at once, and storesPart the part of the memory that their records may take together.
const (
	stores     = 4
	storesPart = 4 // one in so many
)

// storeMemory is how much one store's records may take.
func storeMemory(memoryMB int) int64 { return int64(memoryMB) << 20 / storesPart / stores }

// storeChecks are the checks of one store, which are its writer's own; a breach is counted and told on the loop, with all others.
func (p *pooler) storeChecks() (c *invariant.Checks, every int) {
	if p.settings == nil || !p.settings.Invariants.Enabled {
		return nil, 0
	}
	return invariant.New(func(b invariant.Breach) {
		p.loop.Post(func() { p.checks.That(false, b.Name, func() string { return b.State }) })
	}), p.settings.Invariants.WalkInterval
}

// loggedChecks are checks of what is no loop's: a breach is told in the log.
func loggedChecks(set settings.Invariants, log *slog.Logger) *invariant.Checks {
	if !set.Enabled {
		return nil
	}
	return invariant.New(func(b invariant.Breach) { log.Error("invariant broken", "name", b.Name, "state", b.State) })
}
