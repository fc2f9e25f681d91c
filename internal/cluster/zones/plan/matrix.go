package plan

// Matrix is what the fleet agrees on: for each zone, the share of its reads that goes to each zone. What a row lacks to 1 has no safe
// capacity anywhere: it stays in the zone, where the lowest priority is shed first.
type Matrix [][]float64

// IdentityMatrix returns the matrix by which all reads stay local.
func IdentityMatrix(zones int) Matrix {
	m := make(Matrix, zones)
	for z := range m {
		m[z] = make([]float64, zones)
		m[z][z] = 1
	}
	return m
}

// Clone returns an independent copy.
func (m Matrix) Clone() Matrix {
	c := make(Matrix, len(m))
	for z := range m {
		c[z] = append([]float64(nil), m[z]...)
	}
	return c
}

// CrossingShare returns the part of all reads that crosses zones, weighted by the groups' loads.
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
	return cross / max(all, tinyLoad)
}

// loads returns the cores of work that a matrix sends each zone of a group: from other zones, and in all.
func (m Matrix) loads(group *Group) (remote, all []float64) {
	remote, all = make([]float64, len(m)), make([]float64, len(m))
	for _, flow := range group.Flows {
		for to, share := range m[flow.Zone] {
			all[to] += share * flow.Load
			if to != flow.Zone {
				remote[to] += share * flow.Load
			}
		}
	}
	return remote, all
}

const (
	roundingSlack = 1e-6 // that rounding may add to a load or a share
	tinyLoad      = 1e-9 // in place of 0 as a divisor
	tinyShare     = 1e-3 // a smaller share that is to end ends at once
)

// MaxFill returns, over all groups, the largest part of its safe capacity that a zone is sent which receives remote reads.
func (s *Settings) MaxFill(m Matrix, groups []Group) (most float64) {
	for i := range groups {
		g := &groups[i]
		came, all := m.loads(g)
		for b := range m {
			if came[b] > roundingSlack {
				most = max(most, all[b]/max(s.SafeCapacity(&g.Capacities[b]), tinyLoad))
			}
		}
	}
	return most
}

// Fold makes one matrix of the groups' solutions, weighted by their loads. It also returns the cores of work without safe capacity.
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

// fillIdleRow fills the row of a zone without load: local, or the nearest zone that serves remote reads in all groups.
func (s *Settings) fillIdleRow(row []float64, z int, groups []Group) {
	may := func(b int) bool {
		if s.Unreachable(z, b) {
			return false
		}
		for i := range groups {
			if r := &groups[i].Capacities[b]; b == z && !r.ServesLocal || b != z && !r.ServesRemote {
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

// trimToCapacity reduces what goes to zones where a group would exceed its safe capacity: groups differ, and one matrix is for all. What
// does not go stays local, where it may, so that zone can take less of others; in the last passes it takes nothing.
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

// fittingShare returns the part of the remote reads of a zone that it has safe capacity for, in all groups.
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

// mayStay reports whether a zone's own reads may stay, in all groups.
func (s *Settings) mayStay(z int, groups []Group) bool {
	for i := range groups {
		if !groups[i].Capacities[z].ServesLocal {
			return false
		}
	}
	return true
}

// StepLimit is the share of a zone's reads that may move in one step, out of the zone and back to it.
type StepLimit struct{ Out, Return float64 }

// Step goes from one matrix towards another, within the limits of each zone. Where the result is not safe or not allowed, the target is
// taken at once. What lies between two safe matrices is safe.
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
			if want[z][b] == 0 && next[z][b] < tinyShare {
				next[z][b] = 0
			}
		}
	}
	if !s.Allowed(next, groups) || s.MaxFill(next, groups) > 1+roundingSlack {
		return want.Clone()
	}
	return next
}

// Allowed reports whether no reads go to a zone that does not serve remote ones, or that is unreachable.
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
