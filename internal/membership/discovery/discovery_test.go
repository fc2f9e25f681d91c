package discovery

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/clock"
	"beechgrade/internal/loop"
)

type told chan string

func (c told) Listed(*List) { c <- "list" }
func (c told) ListFailed()  { c <- "failed" }

type nobody struct{}

func (nobody) Opened(*loop.Conn) {}
func (nobody) Data([]byte)       {}
func (nobody) Closed(error)      {}

// TestSilentWatchIsDead guards against waiting for ever on a discovery that vanished: nothing closes such a connection, and
// drains would go unheard. A sign of life puts the end off.
func TestSilentWatchIsDead(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := &clock.Manual{Ms: 1e6}
	events := make(told, 9)
	var l *loop.Loop
	l = loop.New(clk, slog.New(slog.DiscardHandler), func() loop.Handler { return nobody{} }, func() {
		New(l, slog.New(slog.DiscardHandler), server.Addr().String(), 4, events).Watch()
	})
	ended := make(chan error, 1)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	say := func(s string) {
		if _, err := far.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	pass := func(ms float64) {
		done := make(chan struct{})
		l.Post(func() { clk.Ms += ms; close(done) })
		<-done // what is said after this comes after it
	}
	next := func(want string) {
		t.Helper()
		select {
		case got := <-events:
			if got != want {
				t.Fatalf("told %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("not told: %s", want)
		}
	}
	const list = "11\r\n{\"generation\":5}\n\r\n"
	say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + list)
	next("list")
	pass(2400) // signs of life come every 2 s
	say(list)
	next("list")
	pass(2400)
	say(list)
	next("list")
	pass(3000) // what is told counts as known after 6 s, and the next watch needs some of them
	next("failed")
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
