package scatter

import "beechgrade/internal/metrics/exposition"

// Counts are counters since the start of the pooler.
type Counts struct {
	Pages     uint64 // pages begun
	Served    uint64 // pages served
	Rejected  uint64 // pages rejected before any statement was sent
	Failed    uint64 // pages failed, possibly after some of their rows were delivered
	Abandoned uint64 // pages whose clients have disconnected or cancelled
	Rows      uint64 // rows delivered
	Sent      uint64 // statements sent to servers
	Retried   uint64 // retries of shards
	Missing   uint64 // shards left out of pages
	Cancels   uint64 // cancel requests sent to servers

	RejectedCursors uint64 // cursors rejected
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
