package main

import (
	"fmt"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/lifecycle"
)

// TestStopServesClassWithoutMeasuredCost: before the first answer to a class its work is only a guess. Requests that wait for a server, and
// whose time is cut at SIGTERM to less than that guess, are not rejected because of it, and are served as the server becomes free.
func TestStopServesClassWithoutMeasuredCost(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	p := newPooler(testConfig(t, addr, nil), slog.New(slog.DiscardHandler))
	pooler, _, stop, _ := launch(t, p)
	first, last := client(t, pooler), client(t, pooler)
	const many = 12 // more than the server is given at once
	for i := range many {
		first.send(query(fmt.Sprint("a", i), "read", 9000))
	}
	held := next(t, queries)
	stop <- syscall.SIGTERM
	waitUntil(t, "the pooler stops", func() bool {
		stops := make(chan bool, 1)
		p.loop.Post(func() { stops <- p.lifecycle.State() == lifecycle.Stopping })
		return <-stops
	})
	last.send(query("b", "read", 9000))
	for _, c := range []*peer{first, last} {
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := c.in.Peek(1); err == nil {
			t.Fatalf("answer while the server is busy: got %q, want none", c.answer())
		}
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	}
	held.send(row("v"))
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	for range many {
		first.want("TDCZ v")
	}
	last.want("TDCZ v")
}
