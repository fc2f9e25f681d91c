package incident

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/record"
)

// TestLimitSharesBecomeSpans checks that the shares that a pooler received become spans, which end with its process. Texts that
// cannot be parsed are ignored.
func TestLimitSharesBecomeSpans(t *testing.T) {
	var l limits
	for _, e := range []struct {
		by   string
		at   float64
		text string
	}{{"a", 1, "x: 0"}, {"a", 2, "x: 12.5"}, {"b", 2, "x: y: 3"}, {"a", 3, "x: 12.5"}, {"a", 4, "x: 0"}, {"a", 5, "nothing"}, {"a", 5, "x: NaN"}, {"a", 5, "x: -1"}, {"a", 5, ": 1"}} {
		l.event(e.by, &record.Event{At: e.at, Text: e.text})
	}
	l.ended("a", 9)
	want := []LimitShare{{"x", "a", 0, 1, 2}, {"x", "a", 12.5, 2, 4}, {"x", "a", 0, 4, 9}, {"x: y", "b", 3, 2, 0}}
	if diff := cmp.Diff(want, l.view()); diff != "" {
		t.Errorf("spans of limits' shares (-want +got):\n%s", diff)
	}
}
