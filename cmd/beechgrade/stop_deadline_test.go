package main

import (
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
)

// TestStopAnswersLongRequests: a request whose client would wait longer than the process may live after SIGTERM gets its one answer before
// that, even if its server never answers. Otherwise it would be cut off when the process is killed, or when the process exits after 10 s.
// A read may be retried, so it is rejected; the outcome of a write is not known.
func TestStopAnswersLongRequests(t *testing.T) {
	t.Parallel()
	for class, want := range map[string]string{"read": "EZ 53300", "write": "EZ 58000"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			addr, queries := server(t)
			pooler, stop, _ := startPooler(t, addr, nil, func(c *config.Config) {
				for i := range c.Settings.Classes {
					c.Settings.Classes[i].Deadline = 15 * time.Second
				}
			})
			c := client(t, pooler)
			c.send(query("1", class, 15000))
			next(t, queries) // never answered
			stop <- syscall.SIGTERM
			began := time.Now()
			c.want(want)
			if took := time.Since(began); took > 8*time.Second {
				t.Errorf("answered %v after SIGTERM, want at most 8 s", took)
			}
		})
	}
}
