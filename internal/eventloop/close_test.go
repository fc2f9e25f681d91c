package eventloop

import (
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// discardingHandler writes its input back, closes the connection, and discards what is unsent then.
type discardingHandler struct {
	conn      *Conn
	discarded chan int
}

func (h *discardingHandler) Opened(c *Conn) { h.conn = c }
func (h *discardingHandler) Data(b []byte) {
	_ = h.conn.Write(b)
	h.conn.Close()
}
func (h *discardingHandler) Closed(error) { h.discarded <- h.conn.DiscardUnsent() }

// TestDiscardedBytesAreNeverSent guards against a request that counts as not sent being delivered by the close of its connection.
func TestDiscardedBytesAreNeverSent(t *testing.T) {
	const accepted, size = 10, 1000
	var writes int
	l, _ := runCalls(t, func(calls *systemCalls) {
		write := calls.write
		calls.write = func(fd int, b []byte) (int, error) {
			if len(b) < accepted || writes >= 2 { // wake-ups of the loop are shorter
				return write(fd, b)
			}
			if writes++; writes == 2 {
				return -1, unix.EAGAIN // from now on the socket accepts everything
			}
			return write(fd, b[:accepted])
		}
	})
	discarded := make(chan int, 1)
	done := make(chan struct{})
	l.Post(func() {
		l.ownListener.accept = func() Handler { return &discardingHandler{discarded: discarded} }
		close(done)
	})
	<-done
	conn := dialLoop(t, l)
	if _, err := conn.Write(make([]byte, size)); err != nil {
		t.Fatalf("write to the loop: %v", err)
	}
	received, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("read from the loop: %v", err)
	}
	if unsent := <-discarded; unsent != size-accepted || len(received) != accepted {
		t.Errorf("%d bytes were discarded and %d received, want %d and %d", unsent, len(received), size-accepted, accepted)
	}
}
