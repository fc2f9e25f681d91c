package discovery

import (
	"bufio"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
)

type eventLog chan string

func (c eventLog) Listed(*List) { c <- "list" }
func (c eventLog) ListFailed()  { c <- "failed" }

type nobody struct{}

func (nobody) Opened(*eventloop.Conn) {}
func (nobody) Data([]byte)            {}
func (nobody) Closed(error)           {}

// TestSilentWatchTimesOutAndIsReopened guards against waiting for ever on a discovery that vanished: nothing closes such a connection, and
// drains would go unheard. A sign of life puts the end off. Whatever a watch falls silent in, the next is asked for at once and goes
// on from what was heard, with time for one more before 6 s are over; that it broke is told only where it did break.
func TestSilentWatchTimesOutAndIsReopened(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := &clock.Manual{Ms: 1e6}
	events := make(eventLog, 9)
	var l *eventloop.Loop
	l = eventloop.New(clk, slog.New(slog.DiscardHandler), func() eventloop.Handler { return nobody{} }, func() {
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
	again := func(from string) {
		t.Helper()
		if far, err = server.Accept(); err != nil {
			t.Fatal(err)
		}
		_ = far.SetReadDeadline(time.Now().Add(20 * time.Second))
		line, err := bufio.NewReader(far).ReadString('\n')
		if err != nil || !strings.Contains(line, "watch=1&from="+from+" ") {
			t.Fatalf("asked %q, %v", line, err)
		}
	}
	say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + list)
	next("list")
	pass(2400) // signs of life come every 2 s
	say(list)
	next("list")
	pass(2400)
	say(list)
	next("list")
	say("b\r\n{\"generation\r\n") // and silent in the midst of a list
	quiet := clk.Ms
	pass(2600)
	again("5") // and silent from its start
	pass(2600)
	again("5")
	if took := clk.Ms - quiet; took >= 6000-2*connectTimeoutMs/5 {
		t.Errorf("the third is asked for %v ms after the first fell silent", took)
	}
	say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // and silent behind its head
	pass(2600)
	again("5")
	say("HTTP/1.1 200 OK\r\n\r\n{\"generation\":\n") // a list that never ends, though signs of life come
	time.Sleep(50 * time.Millisecond)
	pass(2000)
	say(" ")
	time.Sleep(50 * time.Millisecond)
	pass(2000)
	say(" ")
	again("5")
	say("HTTP/1.1 503 Busy\r\n\r\n")
	next("failed")
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
