package main

import (
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
)

// TestDrainEndsEveryPooledClient: clients of the pooling frontend end by the same bound as the platform's, whatever they do; one in the midst of
// a transaction keeps its time until all are ended.
func TestDrainEndsEveryPooledClient(t *testing.T) {
	t.Parallel()
	w := pooled(t, `(pooling (listen "127.0.0.1:0") (class "office" (needs primary) (aim 1s) (deadline 3s)) (class "office-reads" (needs session) (aim 1s) (deadline 3s))
		(pool (class "office") (reads "office-reads") (clients 1000)))`)
	speaks := dialect{
		startup: pgwire.AppendStartup(nil, "tablet", "obra"),
		read:    func() []byte { return pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'x'") },
	}
	var callers []*caller
	come := func(moment string) {
		for name, habit := range habits(speaks) {
			if c := habit(t, name+", "+moment, w.addr); c != nil {
				callers = append(callers, c)
			}
		}
	}
	within(t, "it serves", func() bool {
		state := make(chan lifecycle.State)
		w.pool.loop.Post(func() { state <- w.pool.lifecycle.State() })
		return <-state == lifecycle.Ready
	})
	holding := connect(t, "holds a transaction", w.addr, speaks.startup, nil)
	go holding.read()
	holding.command(pgwire.AppendQuery(nil, "BEGIN"))
	come("before the drain")
	time.Sleep(100 * time.Millisecond)
	drained := make(chan bool)
	w.pool.loop.Post(func() { drained <- w.pool.handleLifecycle(lifecycle.Drain) })
	if !<-drained {
		t.Fatal("it does not drain")
	}
	began, all := time.Now(), clock.ToDuration(w.pool.closeAllMs())
	for _, ms := range []int{200, 1000, 1600, 2400, 3000} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		come(time.Duration(ms*int(time.Millisecond)).String() + " after it")
	}
	late := 0
	for _, c := range callers {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(drainBound))):
			late++
			t.Errorf("%s: its connection has not ended after %v", c.name, time.Since(began).Round(time.Millisecond))
			continue
		}
		c.mu.Lock()
		if c.lost > 0 {
			t.Errorf("%s: %d commands have no answer, %d have one", c.name, c.lost, c.answered)
		}
		c.mu.Unlock()
	}
	select {
	case <-holding.ended:
		t.Errorf("a transaction was cut %v after the drain", time.Since(began))
	default:
	}
	select {
	case <-holding.ended:
	case <-time.After(time.Until(began.Add(all + lateBound))):
		t.Errorf("a transaction outlives the drain, which ends all after %v", all)
	}
	t.Logf("%d of %d connections were late", late, len(callers))
}
