package main

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
)

// TestStopAnswersUnacceptedConnections: clients have connected, but the loop has not accepted them when the process is about to end. Each
// gets the error that the pooler shuts down; otherwise their connections would be reset when the listener is closed.
func TestStopAnswersUnacceptedConnections(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	p := newPooler(testConfig(t, addr, nil), slog.New(slog.DiscardHandler))
	pooler, _, _, done := launch(t, p)
	waitUntil(t, "the pooler serves", func() bool {
		serves := make(chan bool, 1)
		p.loop.Post(func() { serves <- p.lifecycle.IsServing() })
		return <-serves
	})
	dialled := make(chan net.Conn, 20)
	dial := func() {
		defer close(dialled)
		for range cap(dialled) {
			c, err := net.Dial("tcp", pooler)
			if err != nil {
				t.Errorf("connecting before the process ends: %v", err)
				return
			}
			dialled <- c
		}
	}
	p.loop.Post(func() {
		end, check := p.loop.Now()+acceptAfterTermMs, p.loop.AfterCallback
		p.loop.AfterCallback = func() {
			if check(); p.loop.Now() < end-2*stopPollMs {
				return
			}
			p.loop.AfterCallback = check
			for p.loop.Now() < end+stopPollMs { // all timers that are due before the process ends fire in the next turn...
				time.Sleep(time.Millisecond)
			}
			p.loop.At(end-2*stopPollMs, dial) // ...and this one first: the check that ends the process runs after it, before the loop is notified of the connections
		}
		p.handleLifecycle(lifecycle.Terminate)
	})
	var clients []*peer
	for c := range dialled {
		clients = append(clients, newPeer(t, c))
	}
	for i, c := range clients {
		if i%2 == 0 { // the others have sent nothing yet
			c.send(pgwire.AppendStartup(nil, "backend", "store"))
		}
	}
	for i, c := range clients {
		if got := answersUntilEOF(c); got != "E$ 57P03" {
			t.Errorf("client %d got %q, want \"E$ 57P03\"", i, got)
		}
		_ = c.Close()
	}
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the pooler ended with error %v", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("the pooler does not end within %v", testTimeout)
	}
}
