// Package console shows an incident view in a terminal: a timeline with a cursor, and panes with servers by group, classes,
// findings, takeovers, poolers and pools. It works at 80x24 and without colour, and can follow records that are being written.
package console

import (
	"context"
	"fmt"
	"strings"
	"time"

	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/report"
	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
)

// Next returns the current view of records that are still being written.
type Next func() (*incident.View, error)

// Sizes of the screen in columns and lines, and how often a followed view is refreshed.
const (
	refresh       = time.Second
	minWidth      = 40
	minHeight     = 10
	defaultWidth  = 80
	defaultHeight = 24
	labelWidth    = 14 // of the label before a lane
	lagWidth      = 9  // of the lag after a lane
	headerLines   = 4
	footerLines   = 2
	minLaneWidth  = 8
	clockWidth    = 8 // of a time of day on the axis: hh:mm:ss
)

// tab is a pane.
type tab int

const (
	tabServers tab = iota
	tabClasses
	tabFindings
	tabTakeovers
	tabPoolers
	tabPools
	tabs
)

var tabNames = [tabs]string{"servers", "classes", "findings", "takeovers", "poolers", "pools"}

// Model is the state of the console. It implements tea.Model.
type Model struct {
	view               *incident.View
	nextView           Next
	err                error
	width, height      int
	tab                tab
	shownFrom, shownTo float64 // the visible time range, Unix ms
	cursor             float64
	follow             bool // the cursor stays at the end of the records
	scroll             [tabs]int
	selected           int  // index of the selected finding
	grave              bool // list only grave findings
	help               bool
}

// New returns a console that shows a view. With next, the view is refreshed and the cursor follows its end; next may be nil.
func New(v *incident.View, next Next) *Model {
	m := &Model{
		view:      v,
		nextView:  next,
		width:     defaultWidth,
		height:    defaultHeight,
		shownFrom: v.From,
		shownTo:   v.To,
		cursor:    v.From,
		follow:    next != nil,
	}
	if m.follow {
		m.cursor = v.To
	}
	return m
}

// Run shows the console until the user quits, the context ends, or next fails.
func Run(ctx context.Context, m *Model) error {
	_, err := tea.NewProgram(m, tea.WithContext(ctx)).Run()
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("console: %w", err)
	}
	return m.err
}

// refreshed is the message with a newer view.
type refreshed struct {
	view *incident.View
	err  error
}

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return m.scheduleRefresh() }

// scheduleRefresh returns the command that fetches the next view, or nil if the view is not refreshed.
func (m *Model) scheduleRefresh() tea.Cmd {
	if m.nextView == nil {
		return nil
	}
	return tea.Tick(refresh, func(time.Time) tea.Msg {
		v, err := m.nextView()
		return refreshed{v, err}
	})
}

// Update implements tea.Model.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = max(minWidth, msg.Width), max(minHeight, msg.Height)
	case refreshed:
		if m.err = msg.err; m.err != nil {
			return m, tea.Quit
		}
		m.replaceView(msg.view)
		return m, m.scheduleRefresh()
	case tea.KeyPressMsg:
		return m, m.key(msg.String())
	}
	return m, nil
}

// replaceView shows a newer view. If the whole time range of the old view was visible, the whole range of the new view is shown.
func (m *Model) replaceView(v *incident.View) {
	old := m.view
	m.view = v
	whole := m.shownFrom <= old.From && m.shownTo >= old.To
	if whole {
		m.shownFrom, m.shownTo = v.From, v.To
	}
	if m.follow {
		m.cursor = v.To
		if !whole {
			m.shownFrom, m.shownTo = m.shownFrom+v.To-old.To, v.To
		}
	}
	m.keepCursorShown()
}

// findings returns the findings that are listed.
func (m *Model) findings() []incident.Finding {
	if !m.grave {
		return m.view.Findings
	}
	var out []incident.Finding
	for _, f := range m.view.Findings {
		if f.Grave {
			out = append(out, f)
		}
	}
	return out
}

// bodyHeight returns the number of lines for the rows of a pane.
func (m *Model) bodyHeight() int { return max(1, m.height-headerLines-footerLines) }

// laneWidth returns the width of a lane in columns.
func (m *Model) laneWidth() int { return max(minLaneWidth, m.width-labelWidth-lagWidth) }

// View implements tea.Model.
func (m *Model) View() tea.View {
	v := tea.NewView(m.Render())
	v.AltScreen = true
	v.WindowTitle = "beechgrade incident"
	return v
}

var (
	bold  = lipgloss.NewStyle().Bold(true)
	faint = lipgloss.NewStyle().Faint(true)
	red   = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
	blue  = lipgloss.NewStyle().Foreground(lipgloss.Color("4"))
	rev   = lipgloss.NewStyle().Reverse(true)
)

// keysHint is the last line of the screen.
const keysHint = "←→ [] time  +- 0 zoom  tab 1-5 pane  ↑↓ rows  n p grave  enter go  ? help  q quit"

// Render returns the whole screen: at most height lines of at most width columns.
func (m *Model) Render() string {
	if m.help {
		return m.fit(strings.Split(helpText, "\n"))
	}
	lines := []string{bold.Render(cut(m.title(), m.width)), m.serviceLine(), m.axis(), m.tabLine()}
	rows := m.rows()
	at := max(0, min(m.scroll[m.tab], len(rows)-1))
	rows = rows[min(at, len(rows)):]
	for i := range m.bodyHeight() {
		if i < len(rows) {
			lines = append(lines, rows[i])
		} else {
			lines = append(lines, "")
		}
	}
	lines = append(lines, m.status(), faint.Render(cut(keysHint, m.width)))
	return m.fit(lines)
}

// title summarizes the incident.
func (m *Model) title() string {
	total := &m.view.Total
	title := fmt.Sprintf("service %.2f%%  worst 10 s %.2f%%  worth lost %.1f of %.1f  unknown %d",
		100*total.Ratio, 100*total.Worst, m.view.LostWorth(), total.WorthAsked, m.view.Unknowns)
	if m.follow {
		title += "  [follows]"
	}
	return title
}

// tabLine names the panes, with the current one highlighted.
func (m *Model) tabLine() string {
	var names []string
	for i, name := range tabNames {
		name = fmt.Sprintf(" %d %s ", i+1, name)
		if tab(i) == m.tab {
			name = rev.Render(name)
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// fit cuts lines to the size of the screen.
func (m *Model) fit(lines []string) string {
	lines = lines[:min(len(lines), m.height)]
	for i, l := range lines {
		lines[i] = lipgloss.NewStyle().MaxWidth(m.width).Render(l)
	}
	return strings.Join(lines, "\n")
}

const helpText = `What is shown
  The line on top is the service over time: high is good, "_" means that nothing was asked.
  "|" marks the cursor. Each server has a lane below it, one letter for its state:
    P primary   r replica   c cold   d drains   x could not be reached
    ? took requests and answered none   - left the list   . nothing told
  At the right, how far it was behind at the cursor.

Keys
  left right       move the cursor        [ ]  ten steps at once
  home end         first and last moment  + -  zoom   0  show all
  tab 1..5         choose a pane          up down pgup pgdn  scroll
  n p              next and previous grave finding
  g                in findings: only grave ones, or all
  enter            in findings: go there
  q                quit

Any key goes back.`

// status summarizes the cell of the time series at the cursor.
func (m *Model) status() string {
	v := m.view
	s := "at " + report.Clock(m.cursor)
	i := m.cell(m.cursor)
	var asked, got float32
	var served, refused, failed uint32
	for _, c := range v.Series.Classes {
		if i < len(c.Asked) {
			asked += c.Asked[i]
			got += c.Got[i]
			served += c.Served[i]
			refused += c.Refused[i]
			failed += c.Failed[i]
		}
	}
	if asked > 0 {
		s += fmt.Sprintf("  service %.0f%%", 100*got/asked)
	}
	s += fmt.Sprintf("  served %d refused %d failed %d within %s", served, refused, failed, incident.Span(v.Series.WidthMs))
	return cut(s, m.width)
}
