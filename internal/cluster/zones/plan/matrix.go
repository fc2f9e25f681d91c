package plan

// Matrix is what the fleet agrees on: by zone, the part of its reads that goes to each. What a row lacks to 1 has no safe room
// anywhere: it is left to the zone itself, where the least worth is shed first.
type Matrix [][]float64

// IdentityMatrix is the matrix by which everything stays.
func IdentityMatrix(zones int) Matrix {
	m := make(Matrix, zones)
	for z := range m {
		m[z] = make([]float64, zones)
		m[z][z] = 1
	}
	return m
}

// Clone makes another like it.
func (m Matrix) Clone() Matrix {
	c := make(Matrix, len(m))
	for z := range m {
		c[z] = append([]float64(nil), m[z]...)
	}
	return c
}

// CrossingShare is the part of all reads that crosses, weighed by the groups' loads.
func (m Matrix) CrossingShare(groups []Group) float64 {
	all, cross := 0.0, 0.0
	for i := range groups {
		for _, f := range groups[i].Flows {
			all += f.Load
			for b, p := range m[f.Zone] {
				if b != f.Zone {
					cross += p * f.Load
				}
			}
		}
	}
	return cross / max(all, 1e-9)
}

// loads are what a group's zones get by a matrix: from elsewhere, and in all.
func (m Matrix) loads(g *Group) (came, all []float64) {
	came, all = make([]float64, len(m)), make([]float64, len(m))
	for _, f := range g.Flows {
		for b, p := range m[f.Zone] {
			if all[b] += p * f.Load; b != f.Zone {
				came[b] += p * f.Load
			}
		}
	}
	return came, all
}

// roundingSlack is what rounding may add to a load.
const roundingSlack = 1e-6

// MaxFill is, over all groups, the largest part of its safe room that a zone gets which receives anything.
func (s *Settings) MaxFill(m Matrix, groups []Group) (most float64) {
	for i := range groups {
		g := &groups[i]
		came, all := m.loads(g)
		for b := range m {
			if came[b] > roundingSlack {
				most = max(most, all[b]/max(s.SafeCapacity(&g.Capacities[b]), 1e-9))
			}
		}
	}
	return most
}

// Fold makes one matrix of the groups' plans, weighed by their loads, and tells the work for which there is no safe room.
func (s *Settings) Fold(groups []Group, answers []Solution) (m Matrix, left float64) {
	zones := len(s.Delay)
	m = make(Matrix, zones)
	sums := make([]float64, zones)
	for z := range m {
		m[z] = make([]float64, zones)
	}
	for i := range groups {
		for k, f := range groups[i].Flows {
			sums[f.Zone] += f.Load
			for b, p := range answers[i].Shares[k] {
				m[f.Zone][b] += p * f.Load
			}
		}
		left += answers[i].Unserved
	}
	for z := range m {
		for b := range m[z] {
			if sums[z] > 0 {
				m[z][b] /= sums[z]
			}
		}
		if sums[z] <= 0 {
			s.fillIdleRow(m[z], z, groups)
		}
	}
	s.trimToCapacity(m, groups)
	return m, left
}

// fillIdleRow is the row of a zone that asks nothing: near, or the nearest that takes in all groups.
func (s *Settings) fillIdleRow(row []float64, z int, groups []Group) {
	may := func(b int) bool {
		if s.Unreachable(z, b) {
			return false
		}
		for i := range groups {
			if r := &groups[i].Capacities[b]; b == z && !r.ServesNear || b != z && !r.ServesRemote {
				return false
			}
		}
		return true
	}
	best := z
	if !may(z) {
		for b := range row {
			if may(b) && (best == z || s.crossingCost(z, b) < s.crossingCost(z, best)) {
				best = b
			}
		}
	}
	row[best] = 1
}

// trimToCapacity has less go to zones where a group would be above its safe room: groups differ, and a matrix is one for all. What does not go stays
// near, where it may, so that zone can take less of others; in the end it takes nothing.
func (s *Settings) trimToCapacity(m Matrix, groups []Group) {
	for pass, last := 0, 2*len(m); pass <= last; pass++ {
		done := true
		for b := range m {
			keep := s.fittingShare(m, b, groups)
			if keep >= 1 {
				continue
			}
			if done = false; pass > last/2 {
				keep = 0
			}
			for a := range m {
				if a == b {
					continue
				}
				back := m[a][b] * (1 - keep)
				m[a][b] -= back
				if s.mayStay(a, groups) { // near has to do with it
					m[a][a] += back
				}
			}
		}
		if done {
			return
		}
	}
}

// fittingShare is the part of what comes to a zone from others that it has safe room for, in all groups.
func (s *Settings) fittingShare(m Matrix, b int, groups []Group) float64 {
	keep, part := 1.0, 0.0
	for a := range m {
		if a != b {
			part += m[a][b]
		}
	}
	if part == 0 {
		return 1
	}
	for i := range groups {
		g := &groups[i]
		if !g.Capacities[b].ServesRemote {
			return 0
		}
		came, all := m.loads(g)
		if came[b] <= roundingSlack {
			continue
		}
		if over := all[b] - s.SafeCapacity(&g.Capacities[b]); over > roundingSlack {
			keep = min(keep, max(0, 1-over/came[b]))
		}
	}
	return keep
}

// mayStay tells whether a zone's own reads may stay, in all groups.
func (s *Settings) mayStay(z int, groups []Group) bool {
	for i := range groups {
		if !groups[i].Capacities[z].ServesNear {
			return false
		}
	}
	return true
}

// StepLimit is how far a plan may go at once with a zone: the part of its reads that may move. Out is 1 where there is nothing left to stay at.
type StepLimit struct{ Out, Return float64 }

// Step goes from one matrix towards another: out by Out at most, back near by Back. What the old one asks for that
// is not safe any more, or not allowed, is left at once: then the new one is taken whole. A way between two safe ones is safe.
func (s *Settings) Step(old, want Matrix, groups []Group, p []StepLimit) Matrix {
	next := old.Clone()
	for z := range want {
		most := p[z].Out
		if want[z][z] > old[z][z] {
			most = p[z].Return
		}
		far := 0.0
		for b := range want[z] {
			far = max(far, want[z][b]-old[z][b], old[z][b]-want[z][b])
		}
		part := 1.0
		if far > most {
			part = most / far
		}
		for b := range want[z] {
			next[z][b] = old[z][b] + part*(want[z][b]-old[z][b])
			if want[z][b] == 0 && next[z][b] < 1e-3 {
				next[z][b] = 0
			}
		}
	}
	if !s.Allowed(next, groups) || s.MaxFill(next, groups) > 1+roundingSlack {
		return want.Clone()
	}
	return next
}

// Allowed tells whether nothing goes to a zone that may not take it.
func (s *Settings) Allowed(m Matrix, groups []Group) bool {
	for i := range groups {
		for a := range m {
			for b, p := range m[a] {
				if a != b && p > roundingSlack && (s.Unreachable(a, b) || !groups[i].Capacities[b].ServesRemote) {
					return false
				}
			}
		}
	}
	return true
}
