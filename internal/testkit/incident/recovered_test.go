package incident

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// TestStoreRecoveryIsListed checks that what a pooler recovered from its stores is listed, and is a finding of that pooler. An event
// without its details is ignored.
func TestStoreRecoveryIsListed(t *testing.T) {
	s := newRecording("a")
	s.event(1, record.Event{
		Kind:       recordpb.Kind_KIND_RECOVERED,
		DurationMs: 12.5,
		Text:       "0000000000000003.log, byte 91: it ends within a frame",
		Recovery:   &record.StoreRecovery{Store: "journal", Records: 7, Segments: 2, Dropped: 31},
	})
	s.event(2, record.Event{
		Kind:       recordpb.Kind_KIND_RECOVERED,
		DurationMs: 1,
		Recovery:   &record.StoreRecovery{Store: "kept", Records: 2, Segments: 1},
	})
	s.event(3, record.Event{Kind: recordpb.Kind_KIND_RECOVERED})
	s.Finish()
	v := s.View()
	want := []Recovery{{t0 + 1, "a", "journal", 7, 2, 31, 12.5, "0000000000000003.log, byte 91: it ends within a frame"}, {t0 + 2, "a", "kept", 2, 1, 0, 1, ""}}
	if diff := cmp.Diff(want, v.Recoveries); diff != "" {
		t.Errorf("recoveries (-want +got):\n%s", diff)
	}
	var texts []string
	for _, f := range v.Findings {
		if f.Kind == "recovered" && f.Pooler == "a" {
			texts = append(texts, f.Text)
		}
	}
	if len(texts) != 2 || !strings.Contains(texts[0], "7 records, 2 segments") || !strings.Contains(texts[0], "31 bytes of its end") || strings.Contains(texts[1], "dropped") {
		t.Errorf("texts of the findings are %q, want two: one with 7 records, 2 segments and 31 bytes dropped, one without", texts)
	}
}
