package plan

import (
	"math"
	"slices"
)

// Round makes a matrix that whole poolers can follow: a zone with n of them sends n-ths. What is lost by rounding down goes back out by
// whole poolers, the largest remainder first, where that is safe in all groups; a zone that nothing is to stay in is left whole
// where it can be. from are the poolers of each zone; where none is known, the row stays as it is.
func (s *Settings) Round(m Matrix, groups []Group, from []int) Matrix {
	out := m.Clone()
	type rest struct {
		z, b int
		part float64
	}
	var rests []rest
	more := make([]int, len(m)) // poolers that should go besides
	for z := range m {
		n, sum := float64(from[z]), 0.0
		if n == 0 {
			continue
		}
		total := 0.0
		for b, p := range m[z] {
			if b == z {
				continue
			}
			whole := math.Floor(p*n + roundingSlack)
			out[z][b], sum, total = whole/n, sum+p*n, total+whole
			if p*n-whole > roundingSlack {
				rests = append(rests, rest{z, b, p*n - whole})
			}
		}
		if more[z] = int(math.Ceil(sum - total - 0.5 - roundingSlack)); m[z][z] < roundingSlack {
			more[z] = int(math.Ceil(sum - total - roundingSlack))
		}
		out[z][z] += (sum - total) / n
	}
	s.returnExcess(out, groups, from)
	slices.SortStableFunc(rests, func(a, b rest) int {
		switch {
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	for _, r := range rests {
		if more[r.z] == 0 {
			continue
		}
		next, one := out.Clone(), 1/float64(from[r.z])
		next[r.z][r.b] += one
		next[r.z][r.z] = max(0, next[r.z][r.z]-one)
		if s.Allowed(next, groups) && s.MaxFill(next, groups) <= 1+roundingSlack {
			out = next
			more[r.z]--
		}
	}
	return out
}

// returnExcess takes poolers away from zones that would be above their safe room, as what others keep near has grown.
func (s *Settings) returnExcess(m Matrix, groups []Group, from []int) {
	for b := range m {
		for s.fittingShare(m, b, groups) < 1 {
			most := -1
			for a := range m {
				if a != b && m[a][b] > roundingSlack && (most < 0 || m[a][b] > m[most][b]) {
					most = a
				}
			}
			if most < 0 {
				break
			}
			back := m[most][b]
			if n := from[most]; n > 0 {
				back = min(back, 1/float64(n))
			}
			m[most][b] = max(0, m[most][b]-back)
			if m[most][b] < roundingSlack {
				m[most][b] = 0
			}
		}
	}
}
