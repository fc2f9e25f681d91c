package incident

// cell counts a class's requests and answers during a cell of time.
type cell struct {
	asked, got                       float32 // worth
	requests, repeats                uint32
	served, refused, failed, unknown uint32
}

// cell returns the cell of a class at a time.
func (m *Model) cell(c *class, at float64) *cell {
	i := m.index(at)
	for len(m.cells[c.index]) <= i {
		m.cells[c.index] = append(m.cells[c.index], cell{})
	}
	return &m.cells[c.index][i]
}

// index returns the index of the cell that contains a time. Times before the first event count into the first cell. Where there
// would be more than maxCells, all cells become wider.
func (m *Model) index(at float64) int {
	if at < m.from {
		if m.from-at > firstCellMs {
			m.early++
		}
		return 0
	}
	for (at-m.from)/m.width >= maxCells {
		m.widen()
	}
	return int((at - m.from) / m.width)
}

// widen doubles the width of all cells by merging them in pairs.
func (m *Model) widen() {
	m.width *= 2
	for k, list := range m.cells {
		n := (len(list) + 1) / 2
		for i := range n {
			a := list[2*i]
			if 2*i+1 < len(list) {
				b := list[2*i+1]
				a.asked, a.got = a.asked+b.asked, a.got+b.got
				a.requests, a.repeats = a.requests+b.requests, a.repeats+b.repeats
				a.served, a.refused, a.failed, a.unknown = a.served+b.served, a.refused+b.refused, a.failed+b.failed, a.unknown+b.unknown
			}
			list[i] = a
		}
		m.cells[k] = list[:n]
	}
	for _, s := range m.servers {
		s.widen()
	}
	for _, p := range m.pools {
		p.widen()
	}
}
