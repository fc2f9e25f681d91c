package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"beechgrade/internal/decide"
	"beechgrade/internal/metrics/exposition"
)

// TestDecisionsAreLoggedAndCounted: of a request that is sent again and then rejected, the log has the request, the
// reason, and where it had been sent; the metrics count both.
func TestDecisionsAreLoggedAndCounted(t *testing.T) {
	c, d, l, _ := newWaitingCore(t)
	var log bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	d.skip(0)     // there was no connection: it is sent again
	l.now += 3000 // beyond its deadline
	c.handleEvent(&decide.Timer{})
	for _, line := range []string{`msg=decision what=repeat reason=unanswered request=1 class=write attempts=1`, `msg=decision what=refuse reason=`} {
		if !strings.Contains(log.String(), line) {
			t.Errorf("no %q in\n%s", line, &log)
		}
	}
	figures := &exposition.Snapshot{}
	c.WriteMetrics(figures)
	text, err := figures.PrometheusText()
	if err != nil || !strings.Contains(string(text), "decisions") {
		t.Error(err, string(text))
	}
	if c.decisions.retried[decide.ReasonRetry] == 0 {
		t.Errorf("%+v", c.decisions)
	}
}
