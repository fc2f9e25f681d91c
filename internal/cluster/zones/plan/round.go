package plan

import (
	"cmp"
	"math"
	"slices"
)

// Round returns a matrix that whole poolers can follow: each share of a zone with n poolers is a multiple of 1/n. Shares are rounded down;
// what remains is sent by whole poolers, the largest remainder first, as far as that is safe in all groups. If no reads are to stay in a
// zone, all its poolers leave as far as that is safe. poolers is the number of poolers of each zone; a row with 0 poolers is not changed.
func (s *Settings) Round(m Matrix, groups []Group, poolers []int) Matrix {
	out := m.Clone()
	type remainder struct {
		zone, to int
		share    float64 // part of a pooler
	}
	var remainders []remainder
	more := make([]int, len(m)) // poolers that should leave in addition to those of the rounded shares
	for zone := range m {
		n, sum := float64(poolers[zone]), 0.0
		if n == 0 {
			continue
		}
		total := 0.0
		for to, share := range m[zone] {
			if to == zone {
				continue
			}
			whole := math.Floor(share*n + roundingSlack)
			out[zone][to], sum, total = whole/n, sum+share*n, total+whole
			if share*n-whole > roundingSlack {
				remainders = append(remainders, remainder{zone, to, share*n - whole})
			}
		}
		more[zone] = int(math.Ceil(sum - total - 0.5 - roundingSlack))
		if m[zone][zone] < roundingSlack {
			more[zone] = int(math.Ceil(sum - total - roundingSlack))
		}
		out[zone][zone] += (sum - total) / n
	}
	s.returnExcess(out, groups, poolers)
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.share, a.share) })
	for _, r := range remainders {
		if more[r.zone] == 0 {
			continue
		}
		next, one := out.Clone(), 1/float64(poolers[r.zone])
		next[r.zone][r.to] += one
		next[r.zone][r.zone] = max(0, next[r.zone][r.zone]-one)
		if s.Allowed(next, groups) && s.MaxFill(next, groups) <= 1+roundingSlack {
			out = next
			more[r.zone]--
		}
	}
	return out
}

// returnExcess takes poolers of other zones away from zones that would exceed their safe capacity: as shares are rounded down, more local
// reads stay there.
func (s *Settings) returnExcess(m Matrix, groups []Group, poolers []int) {
	for to := range m {
		for s.fittingShare(m, to, groups) < 1 {
			largest := -1
			for from := range m {
				if from != to && m[from][to] > roundingSlack && (largest < 0 || m[from][to] > m[largest][to]) {
					largest = from
				}
			}
			if largest < 0 {
				break
			}
			excess := m[largest][to]
			if n := poolers[largest]; n > 0 {
				excess = min(excess, 1/float64(n))
			}
			m[largest][to] = max(0, m[largest][to]-excess)
			if m[largest][to] < roundingSlack {
				m[largest][to] = 0
			}
		}
	}
}
