package console

import (
	"strings"

	"beechgrade/internal/testkit/report"
	"charm.land/lipgloss/v2"
)

// cell is the index of the cell of a time in the series.
func (m *Model) cell(at float64) int {
	if m.view.Series.WidthMs <= 0 || at < m.view.Series.From {
		return 0
	}
	return int((at - m.view.Series.From) / m.view.Series.WidthMs)
}

// span are the cells that a column of a lane shows, up to but not including to.
func (m *Model) span(col int) (from, to int) {
	w := (m.shownTo - m.shownFrom) / float64(m.lane())
	from = m.cell(m.shownFrom + float64(col)*w)
	return from, max(from+1, m.cell(m.shownFrom+float64(col+1)*w))
}

// bars draw a part from 0 to 1.
var bars = []rune("▁▂▃▄▅▆▇█")

// spark draws the service over the shown span. An underscore means that nothing was asked for.
func (m *Model) spark() string {
	out := make([]rune, m.lane())
	for col := range out {
		from, to := m.span(col)
		var asked, got float64
		for _, c := range m.view.Series.Classes {
			for i := from; i < min(to, len(c.Asked)); i++ {
				asked += float64(c.Asked[i])
				got += float64(c.Got[i])
			}
		}
		out[col] = '_'
		if asked > 0 {
			out[col] = bars[min(len(bars)-1, max(0, int(got/asked*float64(len(bars)))))]
		}
	}
	return m.label("service") + blue.Render(string(out))
}

// axis shows the ends of the shown span and the cursor.
func (m *Model) axis() string {
	out := []rune(strings.Repeat(" ", m.lane()))
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

// column is the column of the cursor in a lane.
func (m *Model) column() int {
	if m.shownTo <= m.shownFrom {
		return 0
	}
	return min(m.lane()-1, max(0, int((m.cursor-m.shownFrom)/(m.shownTo-m.shownFrom)*float64(m.lane()))))
}

// label is a name before a lane, filled up to its width.
func (m *Model) label(s string) string {
	s = cut(report.Safe(s), labelWidth-1)
	return s + strings.Repeat(" ", max(0, labelWidth-lipgloss.Width(s)))
}
