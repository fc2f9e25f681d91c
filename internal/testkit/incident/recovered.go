package incident

import (
	"cmp"
	"fmt"

	"beechgrade/internal/record"
)

// Recovery is what a pooler's start found in one of its durable stores.
type Recovery struct {
	At       float64 `json:"at_ms"`
	Pooler   string  `json:"pooler"`
	Store    string  `json:"store"`
	Records  int64   `json:"records"`  // live
	Segments int64   `json:"segments"` // read behind the snapshot
	Dropped  int64   `json:"dropped_bytes"`
	TookMs   float64 `json:"took_ms"`
	Why      string  `json:"why,omitempty"` // what was wrong with what was dropped
}

// maxRecoveries bounds how many are kept; what comes after them is left out.
const maxRecoveries = 20000

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
