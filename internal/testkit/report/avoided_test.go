package report

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/incident"
)

// TestAvoidedRows checks that each avoided server has one row over all poolers that avoided it, in the text and on the page.
func TestAvoidedRows(t *testing.T) {
	span := func(server, by string, reporters []string, from, to float64) incident.Avoided {
		return incident.Avoided{Server: server, By: by, Why: "silent", Reporters: reporters, From: from, To: to}
	}
	view := &incident.View{
		From:   1000,
		To:     9000,
		Events: 1,
		Avoided: []incident.Avoided{span("db-7", "a", []string{"c", "d"}, 1000, 2000), span("db-7", "a", []string{"e"}, 3000, 4000),
			span("db-7", "b", []string{"c"}, 1100, 5000), span("db-9", "b", []string{"c"}, 1500, 0)},
	}
	want := []AvoidedRow{{"db-7", "silent", "c, d, e", 2, 3, 1000, 5000}, {"db-9", "silent", "c", 1, 1, 1500, 0}}
	if diff := cmp.Diff(want, AvoidedRows(view)); diff != "" {
		t.Errorf("rows of avoided servers (-want +got):\n%s", diff)
	}
	var text, page strings.Builder
	if err := Text(&text, view); err != nil {
		t.Fatalf("writing the text: %v", err)
	}
	if err := HTML(&page, view, "x"); err != nil {
		t.Fatalf("writing the page: %v", err)
	}
	for name, s := range map[string]string{"text": text.String(), "page": page.String()} {
		if !strings.Contains(s, "by the word of") || !strings.Contains(s, "c, d, e") {
			t.Errorf("%s: the poolers that reported db-7 are missing", name)
		}
	}
}
