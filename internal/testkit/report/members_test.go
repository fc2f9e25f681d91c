package report

import (
	"bytes"
	"strings"
	"testing"

	"beechgrade/internal/testkit/endpointreport"
)

// TestMembersAreRendered checks that the page and the text hold each source's report, the server's own, the list's entry and each
// decision with its reason.
func TestMembersAreRendered(t *testing.T) {
	members := &endpointreport.View{
		Servers: []*endpointreport.Server{{
			Pooler:     "p1",
			Name:       "db-1",
			Reports:    []*endpointreport.SourceReport{{Source: "consul", AtMs: 1.7e12, Address: "10.0.0.1:5432", Health: "critical", Role: "primary"}},
			SelfReport: &endpointreport.SelfReport{AtMs: 1.7e12, Role: "replica"},
			Entry:      &endpointreport.Entry{AtMs: 1.7e12, State: "draining", Address: "10.0.0.1:5432"},
			DeniedMs:   2500,
		}},
		Decisions: []endpointreport.Decision{{At: 1.7e12, Pooler: "p1", Server: "db-1", Source: "consul", Kind: "drained", Reason: "in maintenance"}},
		Counts:    map[string]int{"drained": 1},
	}
	var text, page bytes.Buffer
	if err := Members(&text, members, true); err != nil {
		t.Fatalf("writing the text: %v", err)
	}
	view := sampleView(1, func(int) string { return "p1" }, 1)
	view.Members = members
	if err := HTML(&page, view, "title"); err != nil {
		t.Fatalf("writing the page: %v", err)
	}
	for _, part := range []string{"db-1", "critical at 10.0.0.1:5432", "2.5s", "itself", "draining at 10.0.0.1:5432", "drained", "in maintenance", "consul"} {
		if !strings.Contains(text.String(), part) {
			t.Errorf("the text lacks %q:\n%s", part, text.String())
		}
		if !strings.Contains(page.String(), part) {
			t.Errorf("the page lacks %q", part)
		}
	}
}
