package rehearse

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// doorMs is between two looks at a pooler's door.
const doorMs = 100

// doors tell Options.Figures what poolers' doors show, until the function that it returns is called.
func (r *Run) doors(ctx context.Context) (end func()) {
	if r.opt.Figures == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &http.Client{Timeout: time.Second}
	var wg sync.WaitGroup
	for _, p := range r.poolers {
		wg.Go(func() {
			for pause(ctx, doorMs) {
				pid := p.pid()
				if b := figures(ctx, c, p.door); b != nil && pid != 0 && p.pid() == pid {
					r.opt.Figures(p.no, pid, r.clk.Now(), b)
				}
			}
		})
	}
	return func() { cancel(); wg.Wait(); c.CloseIdleConnections() }
}

// figures are those of a door; nil where nobody answers.
func figures(ctx context.Context, c *http.Client, door string) map[string]string {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+door+"/-/metrics", nil)
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
