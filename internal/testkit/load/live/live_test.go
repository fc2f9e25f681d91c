package live

import (
	"fmt"
	"strings"
	"testing"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/load"
)

func snapshot(i int) load.Snapshot {
	return load.Snapshot{AtMs: float64(i) * 1000, Due: uint64(i) * 100, PerSecond: float64(i % 90), P50: 3, P99: float64(10 * i), InFlight: i,
		Outcomes: map[load.Outcome]uint64{load.Served: uint64(i) * 90, load.Refused: uint64(i) * 10}}
}

// TestSizes checks that the screen fits its terminal, before the first snapshot and after many.
func TestSizes(t *testing.T) {
	for _, size := range [][2]int{{80, 24}, {40, 10}, {200, 60}, {3, 2}} {
		m := New("127.0.0.1:6543", 60, func() {})
		m.Update(tea.WindowSizeMsg{Width: size[0], Height: size[1]})
		for i := range 500 {
			if i > 0 {
				m.Update(snapshot(i))
			}
			if i%100 > 1 {
				continue
			}
			lines := strings.Split(m.Render(), "\n")
			if len(lines) > max(minH, size[1]) {
				t.Errorf("screen of size %v after %d snapshots has %d lines, want at most %d", size, i, len(lines), max(minH, size[1]))
			}
			for _, l := range lines {
				if lipgloss.Width(l) > max(minW, size[0]) {
					t.Errorf("screen of size %v after %d snapshots has %d columns, want at most %d: %q", size, i, lipgloss.Width(l), max(minW, size[0]), l)
				}
			}
		}
	}
}

// TestSharedColumnShowsHighestValue checks that a column shared by many snapshots shows the highest value.
func TestSharedColumnShowsHighestValue(t *testing.T) {
	var shown []load.Snapshot
	for i := range 100 {
		shown = append(shown, load.Snapshot{PerSecond: 1})
		if i == 57 {
			shown[i].PerSecond = 9
		}
	}
	if diff := cmp.Diff([]float64{1, 1, 1, 1, 1, 9, 1, 1, 1, 1}, columns(lanes[0], shown, 10)); diff != "" {
		t.Errorf("values of 10 columns for 100 snapshots (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]float64{1, 1, 1}, columns(lanes[0], shown[:3], 10)); diff != "" {
		t.Errorf("values of 10 columns for 3 snapshots (-want +got):\n%s", diff)
	}
}

// TestPauseAndQuitKeys checks that snapshots that arrive while paused are kept, and that q ends the run but not the console.
func TestPauseAndQuitKeys(t *testing.T) {
	stopped := 0
	m := New("x", 0, func() { stopped++ })
	m.Update(snapshot(1))
	m.key("space")
	m.Update(snapshot(2))
	m.Update(snapshot(3))
	if len(m.course) != 1 || !strings.Contains(m.Render(), "2 behind") {
		t.Errorf("while paused: %d snapshots shown, want 1, and \"2 behind\" in %q", len(m.course), m.Render())
	}
	m.key("space")
	if len(m.course) != 3 || m.held != nil {
		t.Errorf("after the pause: %d snapshots shown, want 3; %d held, want none", len(m.course), len(m.held))
	}
	m.key("q")
	if _, cmd := m.Update(snapshot(4)); stopped != 1 || cmd != nil || len(m.course) != 4 {
		t.Errorf("after q and a fourth snapshot: stopped %d times, want 1; %d snapshots shown, want 4; or the console ends", stopped, len(m.course))
	}
	if _, cmd := m.Update(ended{}); cmd == nil {
		t.Error("the end of the run returns no command that ends the console")
	}
	for i := range 100 {
		m.Update(snapshot(5 + i))
	}
	var spans []string
	for _, k := range []string{"+", "+", "+", "+", "-", "-", "-", "-"} {
		m.key(k)
		spans = append(spans, fmt.Sprint(m.span))
	}
	if diff := cmp.Diff("52 26 13 10 20 40 80 0", strings.Join(spans, " ")); diff != "" {
		t.Errorf("number of snapshots shown after each key (-want +got):\n%s", diff)
	}
}
