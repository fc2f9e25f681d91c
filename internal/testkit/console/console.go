// Package console is the incident view in a terminal: a timeline to move along, servers by group, classes, takeovers
// and findings to jump to. It works at 80x24 and without colour.
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

// Next yields the view anew, where records are still being written.
type Next func() (*incident.View, error)

const (
	refresh       = time.Second
	minWidth      = 40
	minHeight     = 10
	defaultWidth  = 80
	defaultHeight = 24
	labelWidth    = 14 // columns for names before a lane
	lagWidth      = 9  // columns behind it
	headerLines   = 4
	footerLines   = 2
)

// tab is one of the panes.
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

// Model is the console; it is Bubble Tea's.
type Model struct {
	view               *incident.View
	nextView           Next
	err                error
	width, height      int
	tab                tab
	shownFrom, shownTo float64 // the stretch of time that is shown
	cursor             float64
	follow             bool // the cursor stays at the end
	scroll             [tabs]int
	selected           int  // finding
	grave              bool // only grave findings
	help               bool
}

// New makes a console. next may be nil.
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

// Run shows the console until it is quit.
func Run(ctx context.Context, m *Model) error {
	_, err := tea.NewProgram(m, tea.WithContext(ctx)).Run()
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("console: %w", err)
	}
	return m.err
}

type refreshed struct {
	view *incident.View
	err  error
}

// Init is Bubble Tea's.
func (m *Model) Init() tea.Cmd { return m.scheduleRefresh() }

func (m *Model) scheduleRefresh() tea.Cmd {
	if m.nextView == nil {
		return nil
	}
	return tea.Tick(refresh, func(time.Time) tea.Msg {
		v, err := m.nextView()
		return refreshed{v, err}
	})
}

// Update is Bubble Tea's.
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

// replaceView goes on with a newer view. What was shown whole is shown whole again.
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

func (m *Model) body() int { return max(1, m.height-headerLines-footerLines) }

func (m *Model) lane() int { return max(8, m.width-labelWidth-lagWidth) }

// View is Bubble Tea's.
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

// Render is the whole screen: m.h lines of at most m.w columns.
func (m *Model) Render() string {
	if m.help {
		return m.fit(strings.Split(helpText, "\n"))
	}
	v := m.view
	t := &v.Total
	title := fmt.Sprintf("service %.2f%%  worst 10 s %.2f%%  worth lost %.1f of %.1f  unknown %d", 100*t.Ratio, 100*t.Worst, v.LostWorth(), t.WorthAsked, v.Unknowns)
	if m.follow {
		title += "  [follows]"
	}
	var names []string
	for i, n := range tabNames {
		n = fmt.Sprintf("%d %s", i+1, n)
		if tab(i) == m.tab {
			n = rev.Render(" " + n + " ")
		} else {
			n = " " + n + " "
		}
		names = append(names, n)
	}
	lines := []string{bold.Render(cut(title, m.width)), m.spark(), m.axis(), strings.Join(names, " ")}
	rows := m.rows()
	at := max(0, min(m.scroll[m.tab], len(rows)-1))
	rows = rows[min(at, len(rows)):]
	for i := range m.body() {
		if i < len(rows) {
			lines = append(lines, rows[i])
		} else {
			lines = append(lines, "")
		}
	}
	lines = append(lines, m.status(), faint.Render(cut("←→ [] time  +- 0 zoom  tab 1-5 pane  ↑↓ rows  n p grave  enter go  ? help  q quit", m.width)))
	return m.fit(lines)
}

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

// status says what holds at the cursor.
func (m *Model) status() string {
	v := m.view
	s := "at " + report.Clock(m.cursor)
	i := m.cell(m.cursor)
	var asked, got float32
	var served, refused, failed uint32
	for _, c := range v.Series.Classes {
		if i < len(c.Asked) {
			asked, got = asked+c.Asked[i], got+c.Got[i]
			served, refused, failed = served+c.Served[i], refused+c.Refused[i], failed+c.Failed[i]
		}
	}
	if asked > 0 {
		s += fmt.Sprintf("  service %.0f%%", 100*got/asked)
	}
	s += fmt.Sprintf("  served %d refused %d failed %d within %s", served, refused, failed, incident.Span(v.Series.WidthMs))
	return cut(s, m.width)
}
