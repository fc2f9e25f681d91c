package plan

import (
	"cmp"
	"math"
	"slices"
)

// Round makes a matrix that whole poolers can follow: a zone with n of them sends n-ths. Shares are rounded down; what that leaves is sent
// by whole poolers, the largest remainder first, where that is safe in all groups. A zone in which nothing is to stay is left by all
// poolers where that is safe. from is the number of poolers of each zone; where it is 0 the row stays as it is.
func (s *Settings) Round(m Matrix, groups []Group, from []int) Matrix {
	out := m.Clone()
	type remainder struct {
		zone, to int
		share    float64 // of a pooler
	}
	var remainders []remainder
	more := make([]int, len(m)) // poolers that should leave beside those of the rounded shares
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
				remainders = append(remainders, remainder{z, b, p*n - whole})
			}
		}
		more[z] = int(math.Ceil(sum - total - 0.5 - roundingSlack))
		if m[z][z] < roundingSlack {
			more[z] = int(math.Ceil(sum - total - roundingSlack))
		}
		out[z][z] += (sum - total) / n
	}
	s.returnExcess(out, groups, from)
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.share, a.share) })
	for _, r := range remainders {
		if more[r.zone] == 0 {
			continue
		}
		next, one := out.Clone(), 1/float64(from[r.zone])
		next[r.zone][r.to] += one
		next[r.zone][r.zone] = max(0, next[r.zone][r.zone]-one)
		if s.Allowed(next, groups) && s.MaxFill(next, groups) <= 1+roundingSlack {
			out = next
			more[r.zone]--
		}
	}
	return out
}

// returnExcess takes poolers away from zones that would exceed their safe capacity, as rounding keeps more reads local.
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
