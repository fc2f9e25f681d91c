package clock

import (
	"testing"
	"time"
)

// TestWholeMillisecondsConvertExactly: a position and the commit that it must reach are compared for equality, so
// neither may change by a nanosecond on its way to the decision module.
func TestWholeMillisecondsConvertExactly(t *testing.T) {
	for _, ms := range []int64{1, 999, 1767225600123, 1767225600124} {
		if got := ToDuration(FromUnix(ms)); got != time.Duration(ms)*time.Millisecond {
			t.Errorf("%d ms converted to %d ns, want exactly the same time", ms, got)
		}
		if got := ToMillis(ToDuration(FromUnix(ms))); got != float64(ms) {
			t.Errorf("%d ms converted to a duration and back is %v ms, want the same", ms, got)
		}
	}
	if now, unix := System().Now(), float64(time.Now().UnixMilli()); now > unix+1000 || now < unix-1000 {
		t.Errorf("the clock reads %v, want within 1000 ms of Unix time, %v", now, unix)
	}
}
