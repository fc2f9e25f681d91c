package console

import tea "charm.land/bubbletea/v2"

const (
	longStep      = 10  // columns
	zoomIn        = 0.5 // factor on the visible time range
	zoomOut       = 2   // factor on the visible time range
	minShownCells = 4   // cells of the time series in the shortest visible range
	sameMomentMs  = 0.5 // a finding this close to the cursor counts as being at the cursor
)

// key handles a key press. Any key closes the help.
func (m *Model) key(k string) tea.Cmd {
	if m.help {
		m.help = false
		return nil
	}
	step := (m.shownTo - m.shownFrom) / float64(m.laneWidth())
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
		m.move(-longStep * step)
	case "shift+right", "]":
		m.move(longStep * step)
	case "home":
		m.move(m.view.From - m.cursor)
	case "end":
		m.move(m.view.To - m.cursor)
		m.follow = m.nextView != nil
	case "+", "=":
		m.zoom(zoomIn)
	case "-":
		m.zoom(zoomOut)
	case "0":
		m.shownFrom, m.shownTo = m.view.From, m.view.To
	case "up", "k":
		m.step(-1)
	case "down", "j":
		m.step(1)
	case "pgup":
		m.step(-m.bodyHeight())
	case "pgdown":
		m.step(m.bodyHeight())
	case "g":
		m.grave, m.selected, m.scroll[tabFindings] = !m.grave, 0, 0
	case "n":
		m.seek(1)
	case "p":
		m.seek(-1)
	case "enter":
		if f := m.findings(); m.tab == tabFindings && m.selected < len(f) {
			m.jump(f[m.selected].At)
			m.tab = tabServers
		}
	}
	return nil
}

// move moves the cursor by a number of milliseconds, and stops following the end of the records.
func (m *Model) move(ms float64) {
	m.follow = false
	m.cursor = min(m.view.To, max(m.view.From, m.cursor+ms))
	m.keepCursorShown()
}

// keepCursorShown keeps the cursor within the records, and moves the visible time range so that it contains the cursor.
func (m *Model) keepCursorShown() {
	m.cursor = min(m.view.To, max(m.view.From, m.cursor))
	if span := m.shownTo - m.shownFrom; m.cursor < m.shownFrom {
		m.shownFrom, m.shownTo = m.cursor, m.cursor+span
	} else if m.cursor > m.shownTo {
		m.shownFrom, m.shownTo = m.cursor-span, m.cursor
	}
}

// jump moves the cursor to a time.
func (m *Model) jump(at float64) { m.move(at - m.cursor) }

// zoom scales the visible time range by a factor; the cursor stays where it is on the screen.
func (m *Model) zoom(factor float64) {
	span := min(m.view.To-m.view.From, max(m.view.Series.WidthMs*minShownCells, (m.shownTo-m.shownFrom)*factor))
	before := m.cursor - m.shownFrom
	if m.shownTo > m.shownFrom {
		before *= span / (m.shownTo - m.shownFrom)
	}
	m.shownFrom = min(max(m.view.From, m.cursor-before), m.view.To-span)
	m.shownTo = m.shownFrom + span
}

// seek jumps to the next grave finding, or to the previous one if direction is -1.
func (m *Model) seek(direction int) {
	f := m.view.Findings
	for i := range f {
		if direction < 0 {
			i = len(f) - 1 - i
		}
		distance := (f[i].At - m.cursor) * float64(direction)
		if f[i].Grave && distance > sameMomentMs {
			m.jump(f[i].At)
			return
		}
	}
}

// step moves the selection in the findings pane by n rows, or scrolls the rows of another pane.
func (m *Model) step(n int) {
	if m.tab == tabFindings {
		m.selected = min(max(0, m.selected+n), max(0, len(m.findings())-1))
		m.scroll[tabFindings] = min(m.selected, max(m.scroll[tabFindings], m.selected-m.bodyHeight()+1))
		return
	}
	m.scroll[m.tab] = max(0, min(m.scroll[m.tab]+n, len(m.rows())-m.bodyHeight()))
}
