package main

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
)

// TestEndAnswersWhatHasConnected: clients have connected, and the loop has yet to hear of them, as the process comes to its end. Each is told
// so; without, it is reset with the listener.
func TestEndAnswersWhatHasConnected(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	p := newPooler(testConfig(t, addr, nil), slog.New(slog.DiscardHandler))
	pooler, _, _, done := launch(t, p)
	within(t, "it serves", func() bool {
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
				t.Error(err)
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
			for p.loop.Now() < end+stopPollMs { // what is due until the process ends comes in the next turn, all of it...
				time.Sleep(time.Millisecond)
			}
			p.loop.At(end-2*stopPollMs, dial) // ...and this first: the look that ends the process is behind it, before the loop hears of the connections
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
		if got := toldUpToTheEnd(c); got != "E$ 57P03" {
			t.Errorf("client %d is told %q", i, got)
		}
		_ = c.Close()
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Errorf("it does not end in %v", patience)
	}
}
