package scatter

import "beechgrade/internal/metrics/exposition"

// Counts are counters since the start.
type Counts struct {
	Pages     uint64 // that have begun
	Served    uint64 // pages
	Rejected  uint64 // pages, before anything was sent
	Failed    uint64 // pages
	Abandoned uint64 // pages whose clients have disconnected
	Rows      uint64 // delivered
	Sent      uint64 // statements
	Retried   uint64 // shards' reads
	Missing   uint64 // shards that were left out of pages
	Cancels   uint64 // cancel requests

	RejectedCursors uint64
}

// AppendMetrics adds the metrics of scattered reads.
func (f *Frontend) AppendMetrics(s *exposition.Snapshot) {
	scope := s.Scope("scatter")
	scope.Counter("pages", f.Counts.Pages)
	scope.Counter("served", f.Counts.Served)
	scope.Counter("refused", f.Counts.Rejected)
	scope.Counter("failed", f.Counts.Failed)
	scope.Counter("gone", f.Counts.Abandoned)
	scope.Counter("rows", f.Counts.Rows)
	scope.Counter("asked", f.Counts.Sent)
	scope.Counter("asked_again", f.Counts.Retried)
	scope.Counter("shards_missing", f.Counts.Missing)
	scope.Counter("cancels", f.Counts.Cancels)
	scope.Counter("cursors_refused", f.Counts.RejectedCursors)
	scope.IntGauge("running", int64(len(f.running)))
	scope.IntGauge("held_bytes", int64(f.HeldBytes()))
	scope.IntGauge("connections", int64(f.conns))
}
