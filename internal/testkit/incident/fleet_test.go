package incident

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/record"
)

// TestPeerStatesBecomeSpans checks that the states in which a pooler observes a peer become spans, which end with the observer's
// process. Texts that cannot be parsed are ignored.
func TestPeerStatesBecomeSpans(t *testing.T) {
	var f fleet
	for _, e := range []struct {
		by   string
		at   float64
		text string
	}{{"a", 1, "b 9f zone: alive"}, {"a", 2, "b 9f zone: suspect, was alive"}, {"a", 3, "b 9f zone: suspect, was alive"}, {"b", 3, "a 8f zone: alive"},
		{"a", 5, "b 9f zone: failed, was suspect"}, {"a", 6, "nothing"}, {"a", 6, ": alive"}} {
		f.event(e.by, &record.Event{At: e.at, Text: e.text})
	}
	f.ended("a", 9)
	want := []PeerState{{"a", "b 9f", "alive", 1, 2}, {"a", "b 9f", "suspect", 2, 5}, {"a", "b 9f", "failed", 5, 9}, {"b", "a 8f", "alive", 3, 0}}
	if diff := cmp.Diff(want, f.view()); diff != "" {
		t.Errorf("spans of peers' states (-want +got):\n%s", diff)
	}
}
