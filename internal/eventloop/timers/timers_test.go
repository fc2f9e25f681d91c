package timers

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTimersRunInOrder: timers run in the order of their times, then in that of their addition. A stopped timer never runs. A timer that
// a running timer adds waits for the next run even if it is due, or a timer that adds itself again would block the loop.
func TestTimersRunInOrder(t *testing.T) {
	var h Heap
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	h.Add(3, record("3"))
	h.Add(1, record("1a"))
	stopped := h.Add(1, record("stopped"))
	h.Add(1, func() { got = append(got, "1b"); h.Add(1, record("later")) })
	h.Stop(stopped)
	h.Stop(stopped)
	h.Stop(nil)
	h.Run(2)
	if diff := cmp.Diff([]string{"1a", "1b"}, got); diff != "" {
		t.Errorf("timers run up to time 2 (-want +got):\n%s", diff)
	}
	if at, ok := h.Next(); at != 1 || !ok {
		t.Errorf("next timer at %v, known %v; want 1, true", at, ok)
	}
	h.Run(3)
	if diff := cmp.Diff([]string{"1a", "1b", "later", "3"}, got); diff != "" {
		t.Errorf("timers run up to time 3 (-want +got):\n%s", diff)
	}
}
