package decide

import (
	"testing"
)

// TestReloadKeepsUpdatingClassAverages: after settings that change no class, answers to attempts in flight still update the averages
// of their classes.
func TestReloadKeepsUpdatingClassAverages(t *testing.T) {
	h := newGroupOfThree(t, nil)
	was := h.r.classes[classAny].averageWork
	got := actionsOf(Send, h.request("q", classAny))
	h.handle(&Reload{Settings: h.r.settings})
	h.advance(30 * ms)
	h.end("q", 0, got[0].Server, OK)
	if h.r.classes[classAny].averageWork == was {
		t.Errorf("average work of the class is still %v after the answer to an attempt from before the reload, want a change", was)
	}
}
