package rehearse

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adminPollMs is the time between two polls of a pooler's admin endpoint.
const adminPollMs = 100

// pollAdmin passes the metrics of the poolers' admin endpoints to Options.Metrics until the function that it returns is called.
func (r *Run) pollAdmin(ctx context.Context) (end func()) {
	if r.opt.Metrics == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &http.Client{Timeout: time.Second}
	var wg sync.WaitGroup
	for _, p := range r.poolers {
		wg.Go(func() {
			for pause(ctx, adminPollMs) {
				pid := p.pid()
				if b := adminMetrics(ctx, c, p.adminAddr); b != nil && pid != 0 && p.pid() == pid {
					r.opt.Metrics(p.index, pid, r.clk.Now(), b)
				}
			}
		})
	}
	return func() { cancel(); wg.Wait(); c.CloseIdleConnections() }
}

// adminMetrics returns the metrics of an admin endpoint by name, or nil if the endpoint does not answer.
func adminMetrics(ctx context.Context, c *http.Client, address string) map[string]string {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/metrics", nil)
	if err != nil {
		return nil
	}
	a, err := c.Do(q)
	if err != nil {
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return nil
	}
	out := map[string]string{}
	for line := range strings.Lines(string(b)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			out[name] = value
		}
	}
	return out
}
