package eventloop

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
)

// watcher hands out its connection.
type watcher struct{ opened chan *Conn }

func (w watcher) Opened(c *Conn) { w.opened <- c }
func (w watcher) Data([]byte)    {}
func (w watcher) Closed(error)   {}

// TestQuietSeesAnEndNotYetTold guards against writing a request to a connection that its server has closed while the loop
// was at something else: that request would count as one that may have run.
func TestQuietSeesAnEndNotYetTold(t *testing.T) {
	w := watcher{make(chan *Conn, 9)}
	started, ended := make(chan struct{}), make(chan error, 1)
	l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return watcher{make(chan *Conn, 1)} },
		func() { close(started) })
	go func() { ended <- l.Run("127.0.0.1:0") }()
	<-started
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Dial(server.Addr().String(), 5000, w, func(err error) { t.Error(err) })
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := <-w.opened
	done := make(chan [2]bool)
	l.Post(func() { // the loop stands here and cannot be told of the close
		before := c.OpenAndIdle()
		_ = far.Close()
		after := c.OpenAndIdle()
		for end := time.Now().Add(20 * time.Second); after && time.Now().Before(end); {
			after = c.OpenAndIdle()
		}
		done <- [2]bool{before, after}
	})
	if got := <-done; got != [2]bool{true, false} {
		t.Errorf("quiet before and after the close: %v", got)
	}
	l.End()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
