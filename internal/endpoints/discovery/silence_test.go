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

type ignoringHandler struct{}

func (ignoringHandler) Opened(*eventloop.Conn) {}
func (ignoringHandler) Data([]byte)            {}
func (ignoringHandler) Closed(error)           {}

// TestSilentWatchTimesOutAndIsReopened checks that a watch without progress is ended, since nothing closes a connection to a host
// that has disappeared, and that progress keeps it open. Wherever in the response a watch falls silent, the next one is opened at once
// from the last list on, early enough for a third within 6 s. Only a watch that is answered with an error status is a failure.
func TestSilentWatchTimesOutAndIsReopened(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen in place of discovery: %v", err)
	}
	manual := &clock.Manual{Ms: 1e6}
	events := make(eventLog, 9)
	var l *eventloop.Loop
	l = eventloop.New(manual, slog.New(slog.DiscardHandler), func() eventloop.Handler { return ignoringHandler{} }, func() {
		New(l, slog.New(slog.DiscardHandler), server.Addr().String(), 4, events).Watch()
	})
	ended := make(chan error, 1)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	conn, err := server.Accept()
	if err != nil {
		t.Fatalf("accept the first watch: %v", err)
	}
	send := func(s string) {
		if _, err := conn.Write([]byte(s)); err != nil {
			t.Fatalf("send to the client: %v", err)
		}
	}
	advance := func(ms float64) {
		done := make(chan struct{})
		l.Post(func() { manual.Ms += ms; close(done) })
		<-done // bytes sent from here on arrive after the change of the clock
	}
	wantEvent := func(want string) {
		t.Helper()
		select {
		case got := <-events:
			if got != want {
				t.Fatalf("event %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no event, want %s", want)
		}
	}
	const list = "11\r\n{\"generation\":5}\n\r\n"
	wantReopened := func(from string) {
		t.Helper()
		if conn, err = server.Accept(); err != nil {
			t.Fatalf("accept the next watch: %v", err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.Contains(line, "watch=1&from="+from+" ") {
			t.Fatalf("request %q, error %v, want a watch from %s", line, err, from)
		}
	}
	send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + list)
	wantEvent("list")
	advance(2400) // a watch sends something every 2 s
	send(list)
	wantEvent("list")
	advance(2400)
	send(list)
	wantEvent("list")
	send("b\r\n{\"generation\r\n") // silent inside a list
	silentSince := manual.Ms
	advance(2600)
	wantReopened("5") // and this one is silent from its start
	advance(2600)
	wantReopened("5")
	if took := manual.Ms - silentSince; took >= 6000-2*connectTimeoutMs/5 {
		t.Errorf("the third watch is opened %v ms after the first fell silent, want less than %v", took, 6000-2*connectTimeoutMs/5)
	}
	send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // silent after the response head
	advance(2600)
	wantReopened("5")
	send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":\n") // a list that never completes, although bytes arrive
	time.Sleep(50 * time.Millisecond)
	advance(2000)
	send(" ")
	time.Sleep(50 * time.Millisecond)
	advance(2000)
	send(" ")
	wantReopened("5")
	send("HTTP/1.1 503 Busy\r\n\r\n")
	wantEvent("failed")
	l.End()
	if err := <-ended; err != nil {
		t.Errorf("run the event loop: %v", err)
	}
}
