package console

import (
	"strings"

	"beechgrade/internal/testkit/report"
	"charm.land/lipgloss/v2"
)

// cell returns the index of the cell of the time series that contains a time.
func (m *Model) cell(at float64) int {
	if m.view.Series.WidthMs <= 0 || at < m.view.Series.From {
		return 0
	}
	return int((at - m.view.Series.From) / m.view.Series.WidthMs)
}

// columnCells returns the range of cells that a column of a lane shows; to is exclusive.
func (m *Model) columnCells(col int) (from, to int) {
	w := (m.shownTo - m.shownFrom) / float64(m.laneWidth())
	from = m.cell(m.shownFrom + float64(col)*w)
	return from, max(from+1, m.cell(m.shownFrom+float64(col+1)*w))
}

// sparkBars draw a ratio from 0 to 1, in increasing order.
var sparkBars = []rune("▁▂▃▄▅▆▇█")

// serviceLine draws the service ratio over the visible time range. An underscore means that there were no requests.
func (m *Model) serviceLine() string {
	out := make([]rune, m.laneWidth())
	for col := range out {
		from, to := m.columnCells(col)
		var asked, got float64
		for _, c := range m.view.Series.Classes {
			for i := from; i < min(to, len(c.Asked)); i++ {
				asked += float64(c.Asked[i])
				got += float64(c.Got[i])
			}
		}
		out[col] = '_'
		if asked > 0 {
			out[col] = sparkBars[min(len(sparkBars)-1, max(0, int(got/asked*float64(len(sparkBars)))))]
		}
	}
	return m.label("service") + blue.Render(string(out))
}

// axis draws the ends of the visible time range and the cursor.
func (m *Model) axis() string {
	out := []rune(strings.Repeat(" ", m.laneWidth()))
	put := func(at int, s string) {
		for i, r := range []rune(s) {
			if at+i >= 0 && at+i < len(out) {
				out[at+i] = r
			}
		}
	}
	put(0, report.Clock(m.shownFrom)[:min(clockWidth, len(report.Clock(m.shownFrom)))])
	end := report.Clock(m.shownTo)
	put(len(out)-clockWidth, end[:min(clockWidth, len(end))])
	put(m.column(), "|")
	return m.label("") + string(out)
}

// column returns the column of the cursor in a lane.
func (m *Model) column() int {
	if m.shownTo <= m.shownFrom {
		return 0
	}
	return min(m.laneWidth()-1, max(0, int((m.cursor-m.shownFrom)/(m.shownTo-m.shownFrom)*float64(m.laneWidth()))))
}

// label returns the label before a lane, cut or padded to labelWidth.
func (m *Model) label(s string) string {
	s = cut(report.Safe(s), labelWidth-1)
	return s + strings.Repeat(" ", max(0, labelWidth-lipgloss.Width(s)))
}
