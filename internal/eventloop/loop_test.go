package eventloop

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
)

// openedRecorder is a handler that sends its connection to opened when that opens.
type openedRecorder struct{ opened chan *Conn }

func (recorder openedRecorder) Opened(c *Conn) { recorder.opened <- c }
func (recorder openedRecorder) Data([]byte)    {}
func (recorder openedRecorder) Closed(error)   {}

// TestIdleConnectionSeesUnreadClose: a connection that its server has closed must not count as idle, even if the loop was busy
// and has not read the close: a request written to it would count as one that may have run.
func TestIdleConnectionSeesUnreadClose(t *testing.T) {
	recorder := openedRecorder{make(chan *Conn, 9)}
	started, ended := make(chan struct{}), make(chan error, 1)
	l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return openedRecorder{make(chan *Conn, 1)} },
		func() { close(started) })
	go func() { ended <- l.Run("127.0.0.1:0") }()
	<-started
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for the connection of the loop: %v", err)
	}
	l.Dial(server.Addr().String(), 5000, recorder, func(err error) { t.Errorf("dial the server: %v", err) })
	serverSide, err := server.Accept()
	if err != nil {
		t.Fatalf("accept the connection of the loop: %v", err)
	}
	c := <-recorder.opened
	done := make(chan [2]bool)
	l.Post(func() { // the loop is in this function, and cannot read the close meanwhile
		before := c.OpenAndIdle()
		_ = serverSide.Close()
		after := c.OpenAndIdle()
		for end := time.Now().Add(20 * time.Second); after && time.Now().Before(end); {
			after = c.OpenAndIdle()
		}
		done <- [2]bool{before, after}
	})
	if got := <-done; got != [2]bool{true, false} {
		t.Errorf("OpenAndIdle before and after the close: %v, want [true false]", got)
	}
	l.End()
	if err := <-ended; err != nil {
		t.Errorf("run the event loop: %v", err)
	}
}
