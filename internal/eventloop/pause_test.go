package eventloop

import (
	"log/slog"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
)

// TestArrivedSince guards against counting what is read behind a pause from when it was read: it may have come at any time since the
// loop was last on time, and in the batch of events behind that one as well.
func TestArrivedSince(t *testing.T) {
	clk := &clock.Manual{Ms: 1000}
	l := New(clk, slog.New(slog.DiscardHandler), nil, nil)
	l.pauses.onTime = clk.Now()
	l.heartbeat()
	l.turn()
	want := func(what string, since float64) {
		t.Helper()
		if got := l.EarliestArrival(); got != since {
			t.Errorf("%s: at %v, since %v, want %v", what, clk.Ms, got, since)
		}
	}
	callback := func() { l.turn() }
	posted := func() { // runs what goroutines have posted, and nothing else
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			l.mu.Lock()
			todo := l.posted
			l.posted = nil
			l.mu.Unlock()
			for _, f := range todo {
				f()
			}
			if len(todo) > 0 || time.Now().After(end) {
				return
			}
		}
	}
	if l.armd > 1000+heartbeatMs {
		t.Errorf("nothing wakes an idle loop before %v", l.armd)
	}
	l.wake.Stop()
	clk.Ms = 1070
	want("on time", 1070)
	clk.Ms = 1000 + heartbeatMs + lateMs
	want("a little late", clk.Ms)
	clk.Ms = 1600
	want("behind a pause", 1000)
	callback()
	want("in the same batch", 1000)
	l.woken()
	callback()
	l.wake.Stop()
	want("in the batch behind it", 1000)
	clk.Ms = 1900 // that one takes long as well
	want("in the midst of a long batch", 1000)
	l.woken()
	callback()
	l.wake.Stop()
	want("behind a long batch, whatever came while the first was read", 1600)
	clk.Ms = 1910
	posted() // of the second pause, or of the first, which says nothing any more
	for end := time.Now().Add(20 * time.Second); l.pauses.settling && time.Now().Before(end); {
		posted()
	}
	callback()
	want("all has been read", 1910)
}
