package timers

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestHeap: order of time, then of setting; what is stopped never runs; what is set for now while running waits, or a
// timer that sets itself anew would hold the loop up.
func TestHeap(t *testing.T) {
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
