package incident

import (
	"cmp"
	"fmt"

	"beechgrade/internal/record"
)

// Recovery is what a pooler recovered from one of its durable stores at its start.
type Recovery struct {
	At       float64 `json:"at_ms"`
	Pooler   string  `json:"pooler"`
	Store    string  `json:"store"`
	Records  int64   `json:"records"`  // live
	Segments int64   `json:"segments"` // read after the snapshot
	Dropped  int64   `json:"dropped_bytes"`
	TookMs   float64 `json:"took_ms"`
	Why      string  `json:"why,omitempty"` // why bytes were dropped
}

// maxRecoveries bounds the recoveries that are kept; later ones are dropped.
const maxRecoveries = 20000

// onStoreRecovery takes the recovery of a durable store.
func (m *Model) onStoreRecovery(pooler string, e *record.Event) {
	recovery := e.Recovery
	if recovery == nil {
		return
	}
	text := fmt.Sprintf("the %s store held %d records, %d segments behind its snapshot, read in %.1f ms", cmp.Or(recovery.Store, "durable"), recovery.Records, recovery.Segments, e.DurationMs)
	if recovery.Dropped > 0 {
		text += fmt.Sprintf("; %d bytes of its end were never whole, and were dropped: %s", recovery.Dropped, e.Text)
	}
	m.addFinding(Finding{At: e.At, Kind: "recovered", Pooler: pooler, Text: text})
	if len(m.recoveries) < maxRecoveries {
		m.recoveries = append(m.recoveries, Recovery{
			At:       e.At,
			Pooler:   pooler,
			Store:    recovery.Store,
			Records:  recovery.Records,
			Segments: recovery.Segments,
			Dropped:  recovery.Dropped,
			TookMs:   e.DurationMs,
			Why:      e.Text,
		})
	}
}
