package report

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/fake"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
)

// hostile is a name that must be shown as text, and not be interpreted by a browser or a terminal.
const hostile = `<script>alert(1)</script>"' onload="x"&` + "\x1b[31m"

// sampleView is the view of a made-up incident with named servers.
func sampleView(servers int, name func(i int) string, seconds float64) *incident.View {
	m := incident.New()
	r := &records.Run{Pooler: name(0), StartMs: 1.7e12, Header: &recordpb.Header{Classes: fake.Classes(), ColdUs: 1e6}}
	r.Header.Classes[0].Name = name(0)
	m.Begin(r)
	no := uint64(0)
	for at := 0.0; at < seconds*1000; at += seconds * 1000 / 5000 {
		for i := range max(1, servers/50) {
			no++
			now, s := 1.7e12+at, (int(no)+i)%servers
			m.Event(r, &record.Event{
				At:          now,
				Kind:        recordpb.Kind_KIND_REQUEST,
				Request:     no,
				Class:       1,
				Group:       int64(s / 4),
				Session:     no,
				RemainingMs: 200,
			})
			m.Event(r, &record.Event{
				At:         now,
				Kind:       recordpb.Kind_KIND_ATTEMPT,
				Request:    no,
				Class:      1,
				Group:      int64(s / 4),
				Server:     name(s),
				Result:     uint8(no % 9),
				Role:       uint8(1 + no%2),
				Position:   now - float64(no%1500),
				DurationMs: 3,
			})
			m.Event(r, &record.Event{
				At:         now,
				Kind:       recordpb.Kind_KIND_ANSWER,
				Request:    no,
				Class:      1,
				Group:      int64(s / 4),
				Final:      recordpb.Final(1 + no%3),
				DurationMs: 5,
			})
		}
	}
	m.Fault(records.Fault{Kind: records.Torn, Pooler: name(1), File: name(1), Text: name(1)})
	m.End(r, false)
	m.Finish()
	return m.View()
}

// TestHostileNamesStayText checks that names neither become markup nor control a terminal.
func TestHostileNamesStayText(t *testing.T) {
	view := sampleView(8, func(i int) string { return fmt.Sprint(hostile, i) }, 20)
	page, text := &bytes.Buffer{}, &bytes.Buffer{}
	if err := HTML(page, view, hostile); err != nil {
		t.Fatalf("writing the page: %v", err)
	}
	if err := Text(text, view); err != nil {
		t.Fatalf("writing the text: %v", err)
	}
	for _, bad := range []string{"<script", `onload="x"`, "\x1b"} {
		if strings.Contains(page.String(), bad) {
			t.Errorf("the page contains %q, want the name escaped", bad)
		}
	}
	if strings.Contains(text.String(), "\x1b") || !strings.Contains(text.String(), "alert(1)") {
		t.Error("the text contains a terminal control sequence, or lacks the name")
	}
	if strings.Contains(page.String(), "ZgotmplZ") {
		t.Error("html/template replaced unsafe content on the page")
	}
}

// TestPageSizeIsBounded guards against a page that grows with the records. It renders a day of 200 servers whose states change
// constantly.
func TestPageSizeIsBounded(t *testing.T) {
	view := sampleView(200, func(i int) string { return fmt.Sprintf("server-%03d.sala-recife.example.org", i) }, 86400)
	page := &bytes.Buffer{}
	if err := HTML(page, view, "day"); err != nil {
		t.Fatalf("writing the page of a day: %v", err)
	}
	if page.Len() > 5<<20 {
		t.Errorf("the page has %d bytes, want at most %d", page.Len(), 5<<20)
	}
	if !strings.Contains(page.String(), "server-199.sala") {
		t.Error("the last server is not on the page")
	}
}

// TestReportWithoutEvents guards against reports that fail for a view without events.
func TestReportWithoutEvents(t *testing.T) {
	view := incident.New().View()
	if err := HTML(&bytes.Buffer{}, view, "none"); err != nil {
		t.Errorf("writing the page without events: %v", err)
	}
	if err := Text(&bytes.Buffer{}, view); err != nil {
		t.Errorf("writing the text without events: %v", err)
	}
}

// TestPageShowsEverySection renders a view with all optional sections, as the template reads fields by name and the compiler does
// not check these.
func TestPageShowsEverySection(t *testing.T) {
	view := sampleView(8, func(i int) string { return fmt.Sprint("s-", i) }, 20)
	view.Fleet = []incident.PeerState{{By: "pooler-a", Of: "pooler-b 7", State: "alive", From: view.From}}
	view.Limits = []incident.LimitShare{{Limit: "requests", By: "pooler-a", Amount: 3, From: view.From}}
	view.Avoided = []incident.Avoided{{Server: "s-1", By: "pooler-a", Why: "silent", Reporters: []string{"pooler-c"}, From: view.From}}
	view.Zones = &incident.ZonesView{
		Plans:    3,
		States:   []incident.ZoneState{{Zone: "zone-a", State: "serving", Plan: 3, From: view.From}},
		Followed: []incident.FollowedPlan{{By: "pooler-a", Zone: "zone-a", Near: "zone-a", Why: "plan", Plan: 3, From: view.From}},
	}
	view.Members = &endpointreport.View{
		Servers: []*endpointreport.Server{{
			Pooler: "pooler-a",
			Name:   "s-2",
			Entry:  &endpointreport.Entry{AtMs: view.From, State: "serving", Address: "127.0.0.1:9"},
		}},
		Decisions: []endpointreport.Decision{{At: view.From, Pooler: "pooler-a", Server: "s-2", Kind: "added", Reason: "first report", Source: "consul"}},
	}
	page := &strings.Builder{}
	if err := HTML(page, view, "everything"); err != nil {
		t.Fatalf("writing the page with all sections: %v", err)
	}
	for _, want := range []string{"pooler-a: pooler-b 7", "pooler-a may use 3 of requests", "pooler-c", "zone-a is serving", "serving at 127.0.0.1:9", "first report"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not show %q", want)
		}
	}
}
