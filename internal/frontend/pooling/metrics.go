package pooling

import (
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/metrics/exposition"
)

// WriteMetrics writes the counts of the frontend.
func (f *Frontend) WriteMetrics(snapshot *exposition.Snapshot) {
	scope := snapshot.Scope("pooling")
	scope.Counter("transactions", f.Counts.Transactions)
	scope.Counter("executed", f.Counts.Executed)
	scope.Counter("restarts", f.Counts.Restarts)
	scope.Counter("abandoned_by_clients", f.Counts.AbandonedByClients)
	scope.Counter("unanswered", f.Counts.Unanswered)
	scope.IntGauge("pools", int64(f.Pools()))
	scope.IntGauge("client_bytes_pending", int64(f.PendingInput()))
	scope.IntGauge("server_bytes_unsent", int64(f.UnsentToServers()))
	for reason, count := range f.Counts.Dropped {
		if reason := reuse.Reason(reason); reason != reuse.Clean {
			scope.Label("reason", reason.String()).Counter("dropped", count)
		}
	}
	for reason, count := range f.Counts.Resent {
		scope.Label("reason", resendReason(reason).String()).Counter("resent", count)
	}
}
