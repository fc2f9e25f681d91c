package report

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/incident"
)

// TestAvoidedRows: there is a row for each server, over all poolers that avoided it, in the text and on the page.
func TestAvoidedRows(t *testing.T) {
	spell := func(server, by string, word []string, from, to float64) incident.Avoided {
		return incident.Avoided{Server: server, By: by, Why: "silent", Reporters: word, From: from, To: to}
	}
	view := &incident.View{
		From:   1000,
		To:     9000,
		Events: 1,
		Avoided: []incident.Avoided{spell("db-7", "a", []string{"c", "d"}, 1000, 2000), spell("db-7", "a", []string{"e"}, 3000, 4000),
			spell("db-7", "b", []string{"c"}, 1100, 5000), spell("db-9", "b", []string{"c"}, 1500, 0)},
	}
	want := []AvoidedRow{{"db-7", "silent", "c, d, e", 2, 3, 1000, 5000}, {"db-9", "silent", "c", 1, 1, 1500, 0}}
	if diff := cmp.Diff(want, AvoidedRows(view)); diff != "" {
		t.Error(diff)
	}
	var text, page strings.Builder
	if err := Text(&text, view); err != nil {
		t.Fatal(err)
	}
	if err := HTML(&page, view, "x"); err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]string{"text": text.String(), "page": page.String()} {
		if !strings.Contains(s, "by the word of") || !strings.Contains(s, "c, d, e") {
			t.Errorf("%s: it is not told by whose word db-7 was avoided", name)
		}
	}
}
