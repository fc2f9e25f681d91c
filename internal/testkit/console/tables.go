package console

import (
	"fmt"
	"strings"

	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/report"
	"charm.land/lipgloss/v2"
)

// rows returns the lines of the current pane.
func (m *Model) rows() []string {
	switch m.tab {
	case tabServers:
		return m.serverRows()
	case tabClasses:
		return m.classRows()
	case tabFindings:
		return m.findingRows()
	case tabTakeovers:
		return m.takeoverRows()
	case tabPools:
		return m.poolRows()
	}
	return m.poolerRows()
}

// stateLetters maps the states of a server to their letters in a lane, most severe state first.
var stateLetters = []struct {
	flag   uint8
	letter rune
}{{incident.FlagRemoved, '-'}, {incident.FlagBroken, 'x'}, {incident.FlagUnresponsive, '?'}, {incident.FlagDraining, 'd'},
	{incident.FlagPrimary, 'P'}, {incident.FlagWarmingUp, 'c'}, {incident.FlagReplica, 'r'}}

// letter returns the letter of the most severe state, or a dot if no state is known.
func letter(flags uint8) rune {
	for _, l := range stateLetters {
		if flags&l.flag != 0 {
			return l.letter
		}
	}
	return '.'
}

// serverRows returns a lane for each server, by group.
func (m *Model) serverRows() (rows []string) {
	for _, g := range m.view.Groups {
		rows = append(rows, faint.Render(fmt.Sprintf("group %d", g.Group)))
		for _, name := range g.Servers {
			s := m.view.Series.Servers[name]
			lane := make([]rune, m.laneWidth())
			for col := range lane {
				from, to := m.columnCells(col)
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
			rows = append(rows, m.label(name)+renderLane(lane, m.column())+" "+cut(behind, lagWidth-1))
		}
	}
	return rows
}

// renderLane colours the letters of a lane, and marks the column of the cursor.
func renderLane(lane []rune, cursor int) string {
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

// classRows returns the service of each class, and the causes of lost worth.
func (m *Model) classRows() (rows []string) {
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

// findingRows returns a line for each listed finding, with the selected one highlighted.
func (m *Model) findingRows() (rows []string) {
	for i, f := range m.findings() {
		mark := " "
		if f.Grave {
			mark = "!"
		}
		line := cut(fmt.Sprintf("%s %s %-12s %s: %s", mark, report.Clock(f.At), f.Kind, report.Safe(report.Subject(f)), report.Safe(f.Text)), m.width)
		switch {
		case i == m.selected:
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

// takeoverRows returns two lines for each gap in the writes of a group.
func (m *Model) takeoverRows() (rows []string) {
	for _, g := range m.view.Groups {
		for _, x := range g.Gaps {
			wrong := "not known"
			if x.ListWrongMs >= 0 {
				wrong = incident.Span(x.ListWrongMs)
			}
			rows = append(rows, cut(fmt.Sprintf("group %d  %s  no writes for %s  %s > %s", x.Group, report.Clock(x.From), incident.Span(x.To-x.From), report.Safe(x.Old), report.Safe(x.New)), m.width),
				cut(fmt.Sprintf("         list wrong for %s, %d writes not served, worth lost %.1f", wrong, x.Unserved, x.Lost), m.width))
		}
	}
	if len(rows) == 0 {
		rows = append(rows, "no takeover and no interruption")
	}
	return rows
}

// poolerRows returns a line for each pooler.
func (m *Model) poolerRows() (rows []string) {
	rows = append(rows, bold.Render(fmt.Sprintf("%-16s %6s %10s %8s %8s %9s %7s", "pooler", "starts", "events", "lost", "clients", "memory", "clock")))
	for _, p := range m.view.Poolers {
		rows = append(rows, fmt.Sprintf("%-16s %6d %10d %8d %8d %6.1f MB %+4.0f ms", cut(report.Safe(p.Name), 16), p.Runs, p.Events, p.Lost, p.Sessions,
			float64(p.Memory)/(1<<20), p.AheadMs))
	}
	return rows
}

// poolRows returns a line for each pool, followed by the time ranges in which it was saturated.
func (m *Model) poolRows() (rows []string) {
	rows = append(rows, bold.Render(fmt.Sprintf("%-20s %8s %8s %8s %7s %7s %7s %9s %9s %11s %7s", "pool", "sessions", "given", "changed", "moved", "again", "refused",
		"p50 ms", "p99 ms", "in use", "waiting")))
	for _, p := range m.view.Pools {
		rows = append(rows, fmt.Sprintf("%-20s %8d %8d %8d %7d %7d %7d %9.1f %9.1f %5d of %-3d %6d", cut(report.Safe(p.Name), 20), p.Sessions, p.Hands, p.Changed,
			p.Moved, p.Again, p.Refused, p.WaitP50, p.WaitP99, p.MostUsed, p.Connections, p.MostWaiting))
		for _, s := range p.Saturated {
			rows = append(rows, cut(fmt.Sprintf("    cramped from %s for %s", report.Clock(s.From), incident.Span(s.To-s.From)), m.width))
		}
	}
	if len(rows) == 1 {
		rows = append(rows, "no pools in these records")
	}
	return rows
}

// cut shortens a text to w columns.
func cut(s string, w int) string {
	if lipgloss.Width(s) <= w {
		return s
	}
	return lipgloss.NewStyle().MaxWidth(max(0, w-1)).Render(s) + "…"
}
