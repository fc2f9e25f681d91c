package console

import (
	"strings"
	"testing"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/charmbracelet/x/ansi"

	"beechgrade/internal/testkit/fake"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
)

func dayView(t *testing.T) *incident.View {
	t.Helper()
	dir := t.TempDir()
	fake.Day{From: 1.7e12, Poolers: 2, Groups: 12, Members: 3, Requests: 3000, EveryMs: 5,
		Outages: []fake.Outage{{Group: 1, At: 5000, GapMs: 3000}}}.Write(dir)
	set, err := records.Open(false, dir)
	if err != nil {
		t.Fatalf("opening the records: %v", err)
	}
	m := incident.New()
	if err := set.Read(m); err != nil {
		t.Fatalf("reading the records: %v", err)
	}
	m.Finish()
	return m.View()
}

func press(m *Model, keys ...string) {
	for _, k := range keys {
		_ = m.key(k)
	}
}

// TestScreenFitsTerminalInEveryPane checks that the screen fits any terminal, in each pane.
func TestScreenFitsTerminalInEveryPane(t *testing.T) {
	v := dayView(t)
	v.Servers[0].Name += "\x1b[2J"
	for _, size := range [][2]int{{80, 24}, {40, 10}, {200, 60}, {3, 2}} {
		m := New(v, nil)
		m.Update(tea.WindowSizeMsg{Width: size[0], Height: size[1]})
		w, h := max(minWidth, size[0]), max(minHeight, size[1])
		for _, keys := range [][]string{{}, {"1", "down", "pgdown"}, {"2"}, {"3", "down", "g"}, {"4"}, {"5"}, {"?"}, {"x", "+", "+", "right", "]", "-", "0", "end", "home", "p"}} {
			press(m, keys...)
			lines := strings.Split(m.Render(), "\n")
			if len(lines) > h {
				t.Errorf("screen of size %v after keys %v has %d lines, want at most %d", size, keys, len(lines), h)
			}
			for _, l := range lines {
				if lipgloss.Width(l) > w {
					t.Errorf("screen of size %v after keys %v has %d columns, want at most %d: %q", size, keys, lipgloss.Width(l), w, l)
				}
			}
		}
	}
}

// TestJumpShowsChosenMoment checks that keys move the cursor to the chosen finding and zoom around it.
func TestJumpShowsChosenMoment(t *testing.T) {
	v := dayView(t)
	m := New(v, nil)
	press(m, "n")
	var gap *incident.Finding
	for i := range v.Findings {
		if v.Findings[i].Kind == "takeover" {
			gap = &v.Findings[i]
		}
	}
	if gap == nil || m.cursor != gap.At {
		t.Fatalf("cursor at %v, want it at the first grave finding %+v", m.cursor, gap)
	}
	press(m, "home", "3", "g", "enter")
	if m.cursor != gap.At || m.tab != tabServers {
		t.Errorf("enter moved the cursor to %v in pane %v, want the finding in the servers pane", m.cursor, m.tab)
	}
	for range 8 {
		press(m, "+")
	}
	if m.shownFrom > m.cursor || m.shownTo < m.cursor || m.shownTo-m.shownFrom > 1000 {
		t.Errorf("after zooming in, the visible range is %v to %v and the cursor at %v; want at most 1 s around the cursor", m.shownFrom, m.shownTo, m.cursor)
	}
	plain := ansi.Strip(m.Render())
	if !strings.Contains(plain, "P") || !strings.Contains(plain, "r") || !strings.Contains(plain, "group 1") {
		t.Errorf("the screen without colour lacks the states P and r or the label group 1:\n%s", plain)
	}
	press(m, "0", "end")
	if m.shownFrom != v.From || m.shownTo != v.To || m.cursor != v.To {
		t.Errorf("records span %v to %v; visible range is %v to %v, cursor at %v; want all visible and the cursor at the end", v.From, v.To, m.shownFrom, m.shownTo, m.cursor)
	}
}

// TestFollowKeepsCursorUnlessMoved checks that the cursor follows records that grow, until a key moves it.
func TestFollowKeepsCursorUnlessMoved(t *testing.T) {
	v := dayView(t)
	m := New(v, func() (*incident.View, error) { return v, nil })
	longer := *v
	longer.To += 5000
	m.Update(refreshed{view: &longer})
	if m.cursor != longer.To || m.shownTo != longer.To {
		t.Errorf("cursor at %v and end of the visible range at %v did not follow the records, want %v", m.cursor, m.shownTo, longer.To)
	}
	press(m, "home")
	longer.To += 5000
	m.Update(refreshed{view: &longer})
	if m.cursor != v.From {
		t.Errorf("cursor moved to %v after it had been placed at the start, want %v", m.cursor, v.From)
	}
}
