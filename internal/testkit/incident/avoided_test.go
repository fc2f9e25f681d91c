package incident

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/record"
)

// TestAvoidedServersBecomeSpans checks that the servers that a pooler avoids by reports of others become spans. A span ends with 'no more',
// with another reason, or with the pooler's process. Texts that cannot be parsed are ignored.
func TestAvoidedServersBecomeSpans(t *testing.T) {
	var a avoided
	for _, e := range []struct {
		by   string
		at   float64
		text string
	}{{"a", 1, "db-7: silent by 9f,8e until 1000"}, {"b", 2, "db-7: silent by 9f until 1000"}, {"a", 4, "db-7: no more"}, {"a", 5, "db-7: no more"},
		{"a", 6, "db: 8: silent by 8e until 1000"}, {"a", 7, "nothing"}, {"a", 7, ": silent by 9f until 1"}, {"a", 8, "db-9: silent by 9f"}} {
		a.event(e.by, &record.Event{At: e.at, Text: e.text})
	}
	a.ended("a", 9)
	want := []Avoided{{"db-7", "a", "silent", []string{"c", "8e"}, 1, 4}, {"db-7", "b", "silent", []string{"c"}, 2, 0}, {"db: 8", "a", "silent", []string{"8e"}, 6, 9}}
	if diff := cmp.Diff(want, a.view([]PeerState{{Of: "c 9f"}})); diff != "" {
		t.Errorf("spans of avoided servers (-want +got):\n%s", diff)
	}
}
