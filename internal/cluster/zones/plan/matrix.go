package plan

// Matrix holds, for each zone, the share of its reads that goes to each zone. If a row sums to less than 1, there is no safe capacity for
// the remainder: it stays in the zone, where the lowest priority is shed first.
type Matrix [][]float64

// IdentityMatrix returns the matrix with which all reads stay local.
func IdentityMatrix(zones int) Matrix {
	m := make(Matrix, zones)
	for zone := range m {
		m[zone] = make([]float64, zones)
		m[zone][zone] = 1
	}
	return m
}

// Clone returns an independent copy.
func (m Matrix) Clone() Matrix {
	clone := make(Matrix, len(m))
	for zone := range m {
		clone[zone] = append([]float64(nil), m[zone]...)
	}
	return clone
}

// CrossingShare returns the part of all reads that crosses zones, weighted by the groups' loads.
func (m Matrix) CrossingShare(groups []Group) float64 {
	all, crossing := 0.0, 0.0
	for i := range groups {
		for _, f := range groups[i].Flows {
			all += f.Load
			for to, share := range m[f.Zone] {
				if to != f.Zone {
					crossing += share * f.Load
				}
			}
		}
	}
	return crossing / max(all, tinyLoad)
}

// loads returns the cores of load that a matrix sends to each zone of a group: from other zones, and in total.
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
	roundingSlack = 1e-6 // that rounding errors may add to a load or a share
	tinyLoad      = 1e-9 // avoids a division by 0
	tinyShare     = 1e-3 // a smaller share whose target is 0 becomes 0 at once
)

// MaxFill returns the largest part of its safe capacity, in any group, that is sent to a zone which receives remote reads.
func (s *Settings) MaxFill(m Matrix, groups []Group) (largest float64) {
	for i := range groups {
		g := &groups[i]
		remote, all := m.loads(g)
		for to := range m {
			if remote[to] > roundingSlack {
				largest = max(largest, all[to]/max(s.SafeCapacity(&g.Capacities[to]), tinyLoad))
			}
		}
	}
	return largest
}

// Fold returns the average of the groups' solutions, weighted by their loads and trimmed to the safe capacity, as one matrix. It also
// returns the cores of load without safe capacity.
func (s *Settings) Fold(groups []Group, solutions []Solution) (m Matrix, unserved float64) {
	zones := len(s.Delay)
	m = make(Matrix, zones)
	sums := make([]float64, zones)
	for zone := range m {
		m[zone] = make([]float64, zones)
	}
	for i := range groups {
		for k, f := range groups[i].Flows {
			sums[f.Zone] += f.Load
			for to, share := range solutions[i].Shares[k] {
				m[f.Zone][to] += share * f.Load
			}
		}
		unserved += solutions[i].Unserved
	}
	for zone := range m {
		for to := range m[zone] {
			if sums[zone] > 0 {
				m[zone][to] /= sums[zone]
			}
		}
		if sums[zone] <= 0 {
			s.fillIdleRow(m[zone], zone, groups)
		}
	}
	s.trimToCapacity(m, groups)
	return m, unserved
}

// fillIdleRow fills the row of a zone without load: all reads stay local if they may, otherwise they go to the nearest zone that serves
// remote reads in all groups.
func (s *Settings) fillIdleRow(row []float64, zone int, groups []Group) {
	allowed := func(to int) bool {
		if s.Unreachable(zone, to) {
			return false
		}
		for i := range groups {
			if capacity := &groups[i].Capacities[to]; to == zone && !capacity.ServesLocal || to != zone && !capacity.ServesRemote {
				return false
			}
		}
		return true
	}
	best := zone
	if !allowed(zone) {
		for to := range row {
			if allowed(to) && (best == zone || s.crossingCost(zone, to) < s.crossingCost(zone, best)) {
				best = to
			}
		}
	}
	row[best] = 1
}

// trimToCapacity reduces the reads that go to zones in which a group would exceed its safe capacity, as one matrix applies to groups that
// differ. These reads stay local if they may, which leaves less capacity for remote reads in their zone; hence the passes. In the second
// half of the passes a zone that is still exceeded receives no remote reads at all.
func (s *Settings) trimToCapacity(m Matrix, groups []Group) {
	for pass, last := 0, 2*len(m); pass <= last; pass++ {
		done := true
		for to := range m {
			keep := s.fittingShare(m, to, groups)
			if keep >= 1 {
				continue
			}
			if done = false; pass > last/2 {
				keep = 0
			}
			for from := range m {
				if from == to {
					continue
				}
				excess := m[from][to] * (1 - keep)
				m[from][to] -= excess
				if s.mayStay(from, groups) {
					m[from][from] += excess
				}
			}
		}
		if done {
			return
		}
	}
}

// fittingShare returns the part of the remote reads sent to a zone for which it has safe capacity in all groups.
func (s *Settings) fittingShare(m Matrix, to int, groups []Group) float64 {
	keep, sum := 1.0, 0.0
	for from := range m {
		if from != to {
			sum += m[from][to]
		}
	}
	if sum == 0 {
		return 1
	}
	for i := range groups {
		g := &groups[i]
		if !g.Capacities[to].ServesRemote {
			return 0
		}
		remote, all := m.loads(g)
		if remote[to] <= roundingSlack {
			continue
		}
		if excess := all[to] - s.SafeCapacity(&g.Capacities[to]); excess > roundingSlack {
			keep = min(keep, max(0, 1-excess/remote[to]))
		}
	}
	return keep
}

// mayStay reports whether a zone's own reads may stay local in all groups.
func (s *Settings) mayStay(zone int, groups []Group) bool {
	for i := range groups {
		if !groups[i].Capacities[zone].ServesLocal {
			return false
		}
	}
	return true
}

// StepLimit is the share of a zone's reads that may leave the zone, and return to it, in one step.
type StepLimit struct{ Out, Return float64 }

// Step returns a matrix between old and target, as near to the target as the limits of each zone permit. If that matrix is not safe or not
// allowed, the target itself is returned. Every matrix between two safe ones is safe.
func (s *Settings) Step(old, target Matrix, groups []Group, limits []StepLimit) Matrix {
	next := old.Clone()
	for zone := range target {
		limit := limits[zone].Out
		if target[zone][zone] > old[zone][zone] {
			limit = limits[zone].Return
		}
		distance := 0.0
		for to := range target[zone] {
			distance = max(distance, target[zone][to]-old[zone][to], old[zone][to]-target[zone][to])
		}
		part := 1.0
		if distance > limit {
			part = limit / distance
		}
		for to := range target[zone] {
			next[zone][to] = old[zone][to] + part*(target[zone][to]-old[zone][to])
			if target[zone][to] == 0 && next[zone][to] < tinyShare {
				next[zone][to] = 0
			}
		}
	}
	if !s.Allowed(next, groups) || s.MaxFill(next, groups) > 1+roundingSlack {
		return target.Clone()
	}
	return next
}

// Allowed reports whether no reads go to another zone that is unreachable or does not serve remote reads.
func (s *Settings) Allowed(m Matrix, groups []Group) bool {
	for i := range groups {
		for from := range m {
			for to, share := range m[from] {
				if from != to && share > roundingSlack && (s.Unreachable(from, to) || !groups[i].Capacities[to].ServesRemote) {
					return false
				}
			}
		}
	}
	return true
}
