// Package live is the terminal UI of the load tool. It shows a run in progress, with its statistics over time.
package live

import (
	"context"
	"fmt"
	"slices"
	"strings"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"beechgrade/internal/testkit/load"
)

const (
	minW, minH         = 40, 10 // least size that is drawn, in columns and lines
	defaultW, defaultH = 80, 24
	labelW             = 10   // columns of a label
	maxSnapshots       = 3600 // older ones are dropped
)

// lane is a statistic that is drawn over time.
type lane struct {
	name string
	unit string
	of   func(s *load.Snapshot) float64
}

var lanes = []lane{
	{"served/s", "", func(s *load.Snapshot) float64 { return s.PerSecond }},
	{"p50", "ms", func(s *load.Snapshot) float64 { return s.P50 }},
	{"p99", "ms", func(s *load.Snapshot) float64 { return s.P99 }},
	{"out", "", func(s *load.Snapshot) float64 { return float64(s.InFlight) }},
}

// Model is the console. It implements tea.Model.
type Model struct {
	title   string
	seconds float64 // duration of the run, 0 if unknown
	course  []load.Snapshot
	held    []load.Snapshot // snapshots that arrived while paused
	paused  bool
	span    int    // snapshots shown, 0 for all
	w, h    int    // size of the terminal in columns and lines
	stop    func() // ends the run
	ending  bool   // stop was called
}

// New returns a console. It calls stop to end the run early.
func New(title string, seconds float64, stop func()) *Model {
	return &Model{title: title, seconds: seconds, stop: stop, w: defaultW, h: defaultH}
}

// ended is the message that the run has ended.
type ended struct{}

// Run shows the console until do has returned. do reports its snapshots through progress.
func Run(ctx context.Context, m *Model, do func(progress func(load.Snapshot))) error {
	p := tea.NewProgram(m, tea.WithContext(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(func(s load.Snapshot) { p.Send(s) })
		p.Send(ended{})
	}()
	_, err := p.Run()
	if err != nil {
		m.stop()
	}
	<-done
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.w, m.h = max(minW, msg.Width), max(minH, msg.Height)
	case load.Snapshot:
		m.take(msg)
	case ended:
		return m, tea.Quit
	case tea.KeyPressMsg:
		m.key(msg.String())
	}
	return m, nil
}

// take adds a snapshot, or holds it while the console is paused.
func (m *Model) take(s load.Snapshot) {
	if m.paused {
		m.held = append(m.held, s)
		return
	}
	m.course = append(m.course, s)
	m.course = m.course[max(0, len(m.course)-maxSnapshots):]
}

// key handles a key press. Quitting stops the run; the console closes when the run has ended, after all requests in flight.
func (m *Model) key(k string) {
	switch k {
	case "q", "ctrl+c", "esc":
		m.ending = true
		m.stop()
	case "space", " ", "p":
		m.paused = !m.paused
		if !m.paused {
			for _, s := range m.held {
				m.take(s)
			}
			m.held = nil
		}
	case "+":
		if m.span == 0 {
			m.span = len(m.course)
		}
		m.span = max(10, m.span/2)
	case "-":
		if m.span *= 2; m.span >= len(m.course) {
			m.span = 0
		}
	}
}

// View implements tea.Model.
func (m *Model) View() tea.View {
	v := tea.NewView(m.Render())
	v.AltScreen = true
	v.WindowTitle = "beechgrade load"
	return v
}

var (
	bold  = lipgloss.NewStyle().Bold(true)
	faint = lipgloss.NewStyle().Faint(true)
	red   = lipgloss.NewStyle().Foreground(lipgloss.Color("1"))
)

// Render returns the whole screen: at most m.h lines of at most m.w columns.
func (m *Model) Render() string {
	lines := []string{bold.Render(m.title)}
	var last load.Snapshot
	if n := len(m.course); n > 0 {
		last = m.course[n-1]
	}
	state := fmt.Sprintf("%.0f s", last.AtMs/1000)
	if m.seconds > 0 {
		state += fmt.Sprintf(" of %.0f", m.seconds)
	}
	state += fmt.Sprintf("   %d due   %d out", last.Due, last.InFlight)
	if m.paused {
		state += fmt.Sprintf("   [stands still, %d behind]", len(m.held))
	}
	if m.ending {
		state += "   [ends when what is out has ended]"
	}
	lines = append(lines, state, outcomes(&last))
	shown := m.course
	if m.span > 0 {
		shown = shown[max(0, len(shown)-m.span):]
	}
	high := max(1, (m.h-len(lines)-1-len(lanes))/len(lanes))
	for _, l := range lanes {
		lines = append(lines, m.draw(l, shown, high)...)
	}
	lines = lines[:min(len(lines), m.h-1)]
	lines = append(lines, faint.Render("q ends the run   space holds the picture   + - how much of it"))
	for i, s := range lines {
		lines[i] = lipgloss.NewStyle().MaxWidth(m.w).Render(s)
	}
	return strings.Join(lines, "\n")
}

// outcomes returns the counts of outcomes so far, with all but served ones in red.
func outcomes(s *load.Snapshot) string {
	var kinds []load.Outcome
	for k := range s.Outcomes {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	var parts []string
	for _, k := range kinds {
		part := fmt.Sprintf("%s %d (%.1f%%)", k, s.Outcomes[k], 100*float64(s.Outcomes[k])/float64(max(1, s.Due)))
		if k != load.Served {
			part = red.Render(part)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "   ")
}

var blocks = []rune(" ▁▂▃▄▅▆▇█")

// draw returns a lane as a heading and bars of the given height in lines. If there are more snapshots than columns, a column shows
// the highest value of its snapshots, so that no peak is lost.
func (m *Model) draw(l lane, shown []load.Snapshot, high int) []string {
	cols := max(1, m.w-labelW)
	values := columns(l, shown, cols)
	most, now := 0.0, 0.0
	for _, v := range values {
		most = max(most, v)
	}
	if n := len(shown); n > 0 {
		now = l.of(&shown[n-1])
	}
	out := []string{fmt.Sprintf("%-*s%s%s", labelW, l.name, formatValue(now, l.unit), faint.Render("   at most "+formatValue(most, l.unit)))}
	for row := high - 1; row >= 0; row-- {
		var b strings.Builder
		b.WriteString(strings.Repeat(" ", labelW))
		for _, v := range values {
			eighths := 0
			if most > 0 {
				eighths = int(v/most*float64(high*8)+0.5) - row*8
			}
			b.WriteRune(blocks[min(8, max(0, eighths))])
		}
		out = append(out, b.String())
	}
	return out
}

// columns merges snapshots into at most cols columns, each with the highest value of its snapshots.
func columns(l lane, shown []load.Snapshot, cols int) []float64 {
	n := min(cols, len(shown))
	out := make([]float64, n)
	for i := range shown {
		k := i * n / len(shown)
		out[k] = max(out[k], l.of(&shown[i]))
	}
	return out
}

// formatValue formats a value with its unit.
func formatValue(x float64, unit string) string {
	s := fmt.Sprintf("%.0f", x)
	if x < 100 && unit != "" {
		s = fmt.Sprintf("%.1f", x)
	}
	if unit != "" {
		s += " " + unit
	}
	return s
}
