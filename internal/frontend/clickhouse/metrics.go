package clickhouse

import "beechgrade/internal/metrics/exposition"

// countUnanswered counts a request that gets no response, by who closed its connection.
func (f *Frontend) countUnanswered(closed error) {
	if closed != nil {
		f.abandonedByClients++
		return
	}
	f.unanswered++
}

// WriteMetrics writes how many requests got no response.
func (f *Frontend) WriteMetrics(snapshot *exposition.Snapshot) {
	scope := snapshot.Scope("clickhouse")
	scope.Counter("abandoned_by_clients", f.abandonedByClients)
	scope.Counter("unanswered", f.unanswered)
}
