package core

import (
	"context"
	"log/slog"

	"beechgrade/internal/decide"
	"beechgrade/internal/metrics/exposition"
)

// decisionCounts are the numbers of decisions by their reason.
type decisionCounts struct {
	rejected, failed, retried []uint64
}

// newDecisionCounts returns counts of zero.
func newDecisionCounts() decisionCounts {
	n := len(decide.Reasons())
	return decisionCounts{rejected: make([]uint64, n), failed: make([]uint64, n), retried: make([]uint64, n)}
}

// writeMetrics writes the numbers to a snapshot of the metrics.
func (counts *decisionCounts) writeMetrics(snapshot *exposition.Snapshot) {
	decisions := snapshot.Scope("decisions")
	for _, reason := range decide.Reasons()[1:] { // there is none without a reason
		of := decisions.Label("reason", reason.String())
		of.Counter("refused", counts.rejected[reason])
		of.Counter("failed", counts.failed[reason])
		of.Counter("repeated", counts.retried[reason])
	}
}

// WriteMetrics writes the process's metrics, with those of its list.
func (c *Core) WriteMetrics(snapshot *exposition.Snapshot) {
	listed, avoided := c.router.CountServers()
	c.metrics.AppendTo(snapshot, listed, avoided)
	c.decisions.writeMetrics(snapshot)
}

// logDecision logs what the router decided about a request and why.
func (c *Core) logDecision(what string, req *request, action *decide.Action) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	last := ""
	if n := len(req.attempts); n > 0 {
		last = string(req.attempts[n-1].server)
	}
	c.log.Debug("decision", "what", what, "reason", action.Reason.String(), "request", req.id, "class", c.config.Classes[req.class],
		"attempts", len(req.attempts), "in_flight", req.inFlight, "last_server", last, "server", string(action.Server),
		"left_ms", req.deadline-c.loop.Now())
}
