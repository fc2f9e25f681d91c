package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"beechgrade/internal/decide"
	"beechgrade/internal/metrics/exposition"
)

// TestDecisionsAreLoggedAndCounted: a request is retried and then rejected. The log has the request, the reasons and the number of
// attempts; the metrics count both decisions.
func TestDecisionsAreLoggedAndCounted(t *testing.T) {
	c, servers, loop, _ := newWaitingCore(t)
	var log bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	servers.skip(0)  // not sent, so the request is retried
	loop.now += 3000 // past the deadline
	c.handleEvent(&decide.Timer{})
	for _, line := range []string{`msg="router decided on a request" decision=repeat reason=unanswered request=1 class=write attempts=1`,
		`msg="router decided on a request" decision=refuse reason=`} {
		if !strings.Contains(log.String(), line) {
			t.Errorf("the log has no line with %q:\n%s", line, &log)
		}
	}
	snapshot := &exposition.Snapshot{}
	c.WriteMetrics(snapshot)
	text, err := snapshot.PrometheusText()
	if err != nil || !strings.Contains(string(text), "decisions") {
		t.Errorf("metrics: error %v, want text with decisions, got:\n%s", err, text)
	}
	if c.decisions.retried[decide.ReasonRetry] == 0 {
		t.Errorf("the retry is not counted: %+v", c.decisions)
	}
}
