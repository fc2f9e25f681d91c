package core

import (
	"context"
	"log/slog"

	"beechgrade/internal/decide"
	"beechgrade/internal/metrics/exposition"
)

// decisionCounts counts decisions by reason.
type decisionCounts struct {
	rejected, failed, retried []uint64
}

func newDecisionCounts() decisionCounts {
	n := len(decide.Reasons())
	return decisionCounts{rejected: make([]uint64, n), failed: make([]uint64, n), retried: make([]uint64, n)}
}

// writeMetrics adds the counts to a snapshot of the metrics.
func (counts *decisionCounts) writeMetrics(snapshot *exposition.Snapshot) {
	decisions := snapshot.Scope("decisions")
	for _, reason := range decide.Reasons()[1:] { // without ReasonNone
		labelled := decisions.Label("reason", reason.String())
		labelled.Counter("refused", counts.rejected[reason])
		labelled.Counter("failed", counts.failed[reason])
		labelled.Counter("repeated", counts.retried[reason])
	}
}

// WriteMetrics writes the process's metrics, with the numbers of listed and avoided servers.
func (c *Core) WriteMetrics(snapshot *exposition.Snapshot) {
	listed, avoided := c.router.CountServers()
	c.metrics.AppendTo(snapshot, listed, avoided)
	c.decisions.writeMetrics(snapshot)
}

// logDecision logs a decision of the router on a request, and its reason.
func (c *Core) logDecision(decision string, req *request, action *decide.Action) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	last := ""
	if n := len(req.attempts); n > 0 {
		last = string(req.attempts[n-1].server)
	}
	c.log.Debug("router decided on a request", "decision", decision, "reason", action.Reason.String(), "request", req.id,
		"class", c.config.Classes[req.class], "attempts", len(req.attempts), "in_flight", req.inFlight, "last_server", last,
		"server", string(action.Server), "remaining_ms", req.deadline-c.loop.Now())
}
