package timers

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTimersRunInOrder: timers run in the order of time, then of adding; a stopped one never runs; one that is added for now by a running
// timer waits, or a timer that adds itself again would block the loop.
func TestTimersRunInOrder(t *testing.T) {
	var h Heap
	var got []string
	say := func(s string) func() { return func() { got = append(got, s) } }
	h.Add(3, say("3"))
	h.Add(1, say("1a"))
	stopped := h.Add(1, say("stopped"))
	h.Add(1, func() { got = append(got, "1b"); h.Add(1, say("later")) })
	h.Stop(stopped)
	h.Stop(stopped)
	h.Stop(nil)
	h.Run(2)
	if diff := cmp.Diff([]string{"1a", "1b"}, got); diff != "" {
		t.Error(diff)
	}
	if at, ok := h.Next(); at != 1 || !ok {
		t.Errorf("next at %v", at)
	}
	h.Run(3)
	if diff := cmp.Diff([]string{"1a", "1b", "later", "3"}, got); diff != "" {
		t.Error(diff)
	}
}
