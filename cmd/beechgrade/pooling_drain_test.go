package main

import (
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
)

// TestDrainEndsEveryPooledClient: after a drain, clients of the pooling frontend are closed within the same bound as those of the platform
// frontend, whatever they do. A client within a transaction keeps its connection until all connections are closed.
func TestDrainEndsEveryPooledClient(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, `(pooling (listen "127.0.0.1:0") (class "office" (needs primary) (aim 1s) (deadline 3s)) (class "office-reads" (needs session) (aim 1s) (deadline 3s))
		(pool (class "office") (reads "office-reads") (clients 1000)))`)
	messages := clientMessages{
		startup: pgwire.AppendStartup(nil, "tablet", "obra"),
		read:    func() []byte { return pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'x'") },
	}
	var clients []*scriptedClient
	connectAll := func(moment string) {
		for name, behavior := range clientBehaviors(messages) {
			if c := behavior(t, name+", "+moment, w.addr); c != nil {
				clients = append(clients, c)
			}
		}
	}
	waitUntil(t, "the pooler serves", func() bool {
		state := make(chan lifecycle.State)
		w.pool.loop.Post(func() { state <- w.pool.lifecycle.State() })
		return <-state == lifecycle.Ready
	})
	holding := connect(t, "holds a transaction", w.addr, messages.startup, nil)
	go holding.read()
	holding.sendCommand(pgwire.AppendQuery(nil, "BEGIN"))
	connectAll("before the drain")
	time.Sleep(100 * time.Millisecond)
	drained := make(chan bool)
	w.pool.loop.Post(func() { drained <- w.pool.handleLifecycle(lifecycle.Drain) })
	if !<-drained {
		t.Fatal("the pooler refused to drain")
	}
	began, all := time.Now(), clock.ToDuration(w.pool.closeAllMs())
	for _, ms := range []int{200, 1000, 1600, 2400, 3000} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		connectAll(time.Duration(ms*int(time.Millisecond)).String() + " after it")
	}
	late := 0
	for _, c := range clients {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(drainBound))):
			late++
			t.Errorf("%s: its connection has not ended after %v", c.name, time.Since(began).Round(time.Millisecond))
			continue
		}
		c.mu.Lock()
		if c.unanswered > 0 {
			t.Errorf("%s: %d commands have no answer, want none; %d have one", c.name, c.unanswered, c.answered)
		}
		c.mu.Unlock()
	}
	select {
	case <-holding.ended:
		t.Errorf("a transaction was ended %v after the drain began, want it open until %v", time.Since(began), all)
	default:
	}
	select {
	case <-holding.ended:
	case <-time.After(time.Until(began.Add(all + lateBound))):
		t.Errorf("a transaction is still open %v after the drain began, want all connections closed after %v", time.Since(began), all)
	}
	t.Logf("%d of %d connections were late", late, len(clients))
}
