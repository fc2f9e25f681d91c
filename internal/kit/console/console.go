// Package console is the incident view in a terminal: a timeline to move along, servers by group, classes, takeovers
// and findings to jump to. It works at 80x24 and without colour.
package console

import (
	"context"
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"beechgrade/internal/kit/incident"
	"beechgrade/internal/kit/report"
)

// Next yields the view anew, where records are still being written.
type Next func() (*incident.View, error)

const (
	refresh   = time.Second
	leastW    = 40
	leastH    = 10
	defaultW  = 80
	defaultH  = 24
	labelW    = 14 // columns for names before a lane
	rightW    = 9  // columns behind it
	headLines = 4
	footLines = 2
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
	view     *incident.View
	next     Next
	err      error
	w, h     int
	tab      tab
	from, to float64 // the stretch of time that is shown
	cursor   float64
	follow   bool // the cursor stays at the end
	scroll   [tabs]int
	chosen   int  // finding
	grave    bool // only grave findings
	help     bool
}

// New makes a console. next may be nil.
func New(v *incident.View, next Next) *Model {
	m := &Model{view: v, next: next, w: defaultW, h: defaultH, from: v.From, to: v.To, cursor: v.From, follow: next != nil}
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
func (m *Model) Init() tea.Cmd { return m.later() }

func (m *Model) later() tea.Cmd {
	if m.next == nil {
		return nil
	}
	return tea.Tick(refresh, func(time.Time) tea.Msg {
		v, err := m.next()
		return refreshed{v, err}
	})
}

// Update is Bubble Tea's.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.w, m.h = max(leastW, msg.Width), max(leastH, msg.Height)
	case refreshed:
		if m.err = msg.err; m.err != nil {
			return m, tea.Quit
		}
		m.take(msg.view)
		return m, m.later()
	case tea.KeyPressMsg:
		return m, m.key(msg.String())
	}
	return m, nil
}

// take goes on with a newer view. What was shown whole is shown whole again.
func (m *Model) take(v *incident.View) {
	old := m.view
	m.view = v
	whole := m.from <= old.From && m.to >= old.To
	if whole {
		m.from, m.to = v.From, v.To
	}
	if m.follow {
		m.cursor = v.To
		if !whole {
			m.from, m.to = m.from+v.To-old.To, v.To
		}
	}
	m.hold()
}

// key does what a key is for.
func (m *Model) key(k string) tea.Cmd {
	if m.help {
		m.help = false
		return nil
	}
	step := (m.to - m.from) / float64(m.lane())
	switch k {
	case "q", "ctrl+c":
		return tea.Quit
	case "?", "h":
		m.help = true
	case "tab":
		m.tab = (m.tab + 1) % tabs
	case "shift+tab":
		m.tab = (m.tab + tabs - 1) % tabs
	case "1", "2", "3", "4", "5":
		m.tab = tab(k[0] - '1')
	case "left":
		m.move(-step)
	case "right":
		m.move(step)
	case "shift+left", "[":
		m.move(-10 * step)
	case "shift+right", "]":
		m.move(10 * step)
	case "home":
		m.move(m.view.From - m.cursor)
	case "end":
		m.move(m.view.To - m.cursor)
		m.follow = m.next != nil
	case "+", "=":
		m.zoom(0.5)
	case "-":
		m.zoom(2)
	case "0":
		m.from, m.to = m.view.From, m.view.To
	case "up", "k":
		m.step(-1)
	case "down", "j":
		m.step(1)
	case "pgup":
		m.step(-m.body())
	case "pgdown":
		m.step(m.body())
	case "g":
		m.grave, m.chosen, m.scroll[tabFindings] = !m.grave, 0, 0
	case "n":
		m.seek(1)
	case "p":
		m.seek(-1)
	case "enter":
		if f := m.findings(); m.tab == tabFindings && m.chosen < len(f) {
			m.jump(f[m.chosen].At)
			m.tab = tabServers
		}
	}
	return nil
}

// move moves the cursor along the time, and the stretch that is shown with it.
func (m *Model) move(ms float64) {
	m.follow = false
	m.cursor = min(m.view.To, max(m.view.From, m.cursor+ms))
	m.hold()
}

// hold keeps the cursor within what is shown.
func (m *Model) hold() {
	m.cursor = min(m.view.To, max(m.view.From, m.cursor))
	if span := m.to - m.from; m.cursor < m.from {
		m.from, m.to = m.cursor, m.cursor+span
	} else if m.cursor > m.to {
		m.from, m.to = m.cursor-span, m.cursor
	}
}

func (m *Model) jump(at float64) { m.move(at - m.cursor) }

// zoom shows a shorter or longer stretch round the cursor.
func (m *Model) zoom(by float64) {
	span := min(m.view.To-m.view.From, max(m.view.Series.WidthMs*4, (m.to-m.from)*by))
	left := m.cursor - m.from
	if m.to > m.from {
		left *= span / (m.to - m.from)
	}
	m.from = min(max(m.view.From, m.cursor-left), m.view.To-span)
	m.to = m.from + span
}

// seek goes to the next or the previous grave finding.
func (m *Model) seek(way int) {
	f := m.view.Findings
	for i := range f {
		if way < 0 {
			i = len(f) - 1 - i
		}
		if d := (f[i].At - m.cursor) * float64(way); f[i].Grave && d > 0.5 {
			m.jump(f[i].At)
			return
		}
	}
}

func (m *Model) step(n int) {
	if m.tab == tabFindings {
		m.chosen = min(max(0, m.chosen+n), max(0, len(m.findings())-1))
		m.scroll[tabFindings] = min(m.chosen, max(m.scroll[tabFindings], m.chosen-m.body()+1))
		return
	}
	m.scroll[m.tab] = max(0, min(m.scroll[m.tab]+n, len(m.rows())-m.body()))
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

func (m *Model) body() int { return max(1, m.h-headLines-footLines) }

func (m *Model) lane() int { return max(8, m.w-labelW-rightW) }

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
	lines := []string{bold.Render(cut(title, m.w)), m.spark(), m.axis(), strings.Join(names, " ")}
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
	lines = append(lines, m.status(), faint.Render(cut("←→ [] time  +- 0 zoom  tab 1-5 pane  ↑↓ rows  n p grave  enter go  ? help  q quit", m.w)))
	return m.fit(lines)
}

func (m *Model) fit(lines []string) string {
	lines = lines[:min(len(lines), m.h)]
	for i, l := range lines {
		lines[i] = lipgloss.NewStyle().MaxWidth(m.w).Render(l)
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
	return cut(s, m.w)
}

func (m *Model) cell(at float64) int {
	if m.view.Series.WidthMs <= 0 || at < m.view.Series.From {
		return 0
	}
	return int((at - m.view.Series.From) / m.view.Series.WidthMs)
}

// span are the cells that a column of the lane stands for.
func (m *Model) span(col int) (from, to int) {
	w := (m.to - m.from) / float64(m.lane())
	from = m.cell(m.from + float64(col)*w)
	return from, max(from+1, m.cell(m.from+float64(col+1)*w))
}

var bars = []rune("▁▂▃▄▅▆▇█")

// spark draws the service over the stretch that is shown.
func (m *Model) spark() string {
	out := make([]rune, m.lane())
	for col := range out {
		from, to := m.span(col)
		var asked, got float64
		for _, c := range m.view.Series.Classes {
			for i := from; i < min(to, len(c.Asked)); i++ {
				asked, got = asked+float64(c.Asked[i]), got+float64(c.Got[i])
			}
		}
		out[col] = '_'
		if asked > 0 {
			out[col] = bars[min(len(bars)-1, max(0, int(got/asked*float64(len(bars)))))]
		}
	}
	return m.label("service") + blue.Render(string(out))
}

// axis shows the stretch's ends and the cursor.
func (m *Model) axis() string {
	out := []rune(strings.Repeat(" ", m.lane()))
	put := func(at int, s string) {
		for i, r := range []rune(s) {
			if at+i >= 0 && at+i < len(out) {
				out[at+i] = r
			}
		}
	}
	put(0, report.Clock(m.from)[:min(8, len(report.Clock(m.from)))])
	end := report.Clock(m.to)
	put(len(out)-8, end[:min(8, len(end))])
	put(m.column(), "|")
	return m.label("") + string(out)
}

func (m *Model) column() int {
	if m.to <= m.from {
		return 0
	}
	return min(m.lane()-1, max(0, int((m.cursor-m.from)/(m.to-m.from)*float64(m.lane()))))
}

func (m *Model) label(s string) string {
	s = cut(report.Safe(s), labelW-1)
	return s + strings.Repeat(" ", max(0, labelW-lipgloss.Width(s)))
}

// rows are the lines of the present pane.
func (m *Model) rows() []string {
	switch m.tab {
	case tabServers:
		return m.servers()
	case tabClasses:
		return m.classes()
	case tabFindings:
		return m.found()
	case tabTakeovers:
		return m.takeovers()
	case tabPools:
		return m.pools()
	}
	return m.poolers()
}

var letters = []struct {
	flag   uint8
	letter rune
}{{incident.FlagGone, '-'}, {incident.FlagBroken, 'x'}, {incident.FlagSilent, '?'}, {incident.FlagDraining, 'd'},
	{incident.FlagPrimary, 'P'}, {incident.FlagCold, 'c'}, {incident.FlagReplica, 'r'}}

func letter(flags uint8) rune {
	for _, l := range letters {
		if flags&l.flag != 0 {
			return l.letter
		}
	}
	return '.'
}

func (m *Model) servers() (rows []string) {
	for _, g := range m.view.Groups {
		rows = append(rows, faint.Render(fmt.Sprintf("group %d", g.Group)))
		for _, name := range g.Servers {
			s := m.view.Series.Servers[name]
			lane := make([]rune, m.lane())
			for col := range lane {
				from, to := m.span(col)
				var flags uint8
				for i := from; i < min(to, len(s.Flags)); i++ {
					flags |= s.Flags[i]
				}
				lane[col] = letter(flags)
			}
			behind := ""
			if i := m.cell(m.cursor); i < len(s.Lag) && s.Lag[i] > 0 {
				behind = incident.Span(float64(s.Lag[i]))
			}
			rows = append(rows, m.label(name)+paint(lane, m.column())+" "+cut(behind, rightW-1))
		}
	}
	return rows
}

// paint colours a lane's letters and marks the cursor's column.
func paint(lane []rune, cursor int) string {
	var b strings.Builder
	for i := 0; i < len(lane); {
		k := i + 1
		for k < len(lane) && lane[k] == lane[i] && k != cursor && i != cursor {
			k++
		}
		s, style := string(lane[i:k]), lipgloss.NewStyle()
		switch lane[i] {
		case 'P':
			style = blue
		case 'x', '?':
			style = red
		case '-', '.':
			style = faint
		}
		if i == cursor {
			style = style.Reverse(true)
		}
		b.WriteString(style.Render(s))
		i = k
	}
	return b.String()
}

func (m *Model) classes() (rows []string) {
	rows = append(rows, bold.Render(fmt.Sprintf("%-18s %8s %8s %7s %7s %7s %6s %7s", "class", "service", "worst10s", "served", "refused", "failed", "late", "p99 ms")))
	for _, c := range append(m.view.Classes[:len(m.view.Classes):len(m.view.Classes)], m.view.Total) {
		rows = append(rows, fmt.Sprintf("%-18s %7.2f%% %7.2f%% %7d %7d %7d %6d %7.1f", cut(report.Safe(c.Name), 18), 100*c.Ratio, 100*c.Worst, c.Served, c.Refused, c.Failed, c.Late, c.P99))
	}
	rows = append(rows, "", bold.Render("worth lost, by cause"))
	for _, c := range m.view.Causes {
		rows = append(rows, fmt.Sprintf("%8.1f  %5d  %s", c.Worth, c.Requests, c.Name))
	}
	return rows
}

func (m *Model) found() (rows []string) {
	for i, f := range m.findings() {
		mark := " "
		if f.Grave {
			mark = "!"
		}
		line := cut(fmt.Sprintf("%s %s %-12s %s: %s", mark, report.Clock(f.At), f.Kind, report.Safe(report.Who(f)), report.Safe(f.Text)), m.w)
		switch {
		case i == m.chosen:
			line = rev.Render(line)
		case f.Grave:
			line = red.Render(line)
		}
		rows = append(rows, line)
	}
	if len(rows) == 0 {
		rows = append(rows, "nothing was found")
	}
	return rows
}

func (m *Model) takeovers() (rows []string) {
	for _, g := range m.view.Groups {
		for _, x := range g.Gaps {
			wrong := "not known"
			if x.ListWrongMs >= 0 {
				wrong = incident.Span(x.ListWrongMs)
			}
			rows = append(rows, cut(fmt.Sprintf("group %d  %s  no writes for %s  %s > %s", x.Group, report.Clock(x.From), incident.Span(x.To-x.From), report.Safe(x.Old), report.Safe(x.New)), m.w),
				cut(fmt.Sprintf("         list wrong for %s, %d writes not served, worth lost %.1f", wrong, x.Unserved, x.Lost), m.w))
		}
	}
	if len(rows) == 0 {
		rows = append(rows, "no takeover and no interruption")
	}
	return rows
}

func (m *Model) poolers() (rows []string) {
	rows = append(rows, bold.Render(fmt.Sprintf("%-16s %6s %10s %8s %8s %9s %7s", "pooler", "starts", "events", "lost", "clients", "memory", "clock")))
	for _, p := range m.view.Poolers {
		rows = append(rows, fmt.Sprintf("%-16s %6d %10d %8d %8d %6.1f MB %+4.0f ms", cut(report.Safe(p.Name), 16), p.Runs, p.Events, p.Lost, p.Sessions,
			float64(p.Memory)/(1<<20), p.AheadMs))
	}
	return rows
}

func (m *Model) pools() (rows []string) {
	rows = append(rows, bold.Render(fmt.Sprintf("%-20s %8s %8s %8s %7s %7s %7s %9s %9s %11s %7s", "pool", "sessions", "given", "changed", "moved", "again", "refused",
		"p50 ms", "p99 ms", "in use", "waiting")))
	for _, p := range m.view.Pools {
		rows = append(rows, fmt.Sprintf("%-20s %8d %8d %8d %7d %7d %7d %9.1f %9.1f %5d of %-3d %6d", cut(report.Safe(p.Name), 20), p.Sessions, p.Hands, p.Changed,
			p.Moved, p.Again, p.Refused, p.WaitP50, p.WaitP99, p.MostUsed, p.Connections, p.MostWaiting))
		for _, s := range p.Cramped {
			rows = append(rows, cut(fmt.Sprintf("    cramped from %s for %s", report.Clock(s.From), incident.Span(s.To-s.From)), m.w))
		}
	}
	if len(rows) == 1 {
		rows = append(rows, "no pools in these records")
	}
	return rows
}

// cut shortens a text to a number of columns.
func cut(s string, w int) string {
	if lipgloss.Width(s) <= w {
		return s
	}
	return lipgloss.NewStyle().MaxWidth(max(0, w-1)).Render(s) + "…"
}
