package decide

import "math"

// waited takes in an answer's wait behind others. No more is shut than was left undone of late, and a part.
func (r *Router) waited(s *store, of [2]*crowding, wait, work float64) {
	step := min(waitMost, wait/max(waitPart*r.leastAim.Seconds(), waitLeast*r.work/r.rateOf(s))-1)
	for i, c := range of {
		r.count(c)
		like := float64(1-i) * rateMemory * r.work / max(1e-9, of[1].asked)
		most := shutMore + math.Log((c.asked+like*of[1].asked)/max(1e-9, c.done+like*of[1].done))
		shut := r.shut(c) + shutRate*max(-1, step, shutSoon*step)*min(1, (r.now-c.at).Seconds())
		c.shut, c.at, c.cutAt = max(openMost, min(shut, max(0, most)/max(1e-9, r.sees()))), r.now, never
		c.done += work
	}
}

func (r *Router) shut(c *crowding) float64 {
	return c.shut * math.Exp(-(r.now-c.at).Seconds()/openAgain)
}

// part is the part of what is asked that is let in.
func (r *Router) part(of [2]*crowding) float64 {
	return math.Exp(-max(0, r.shut(of[0])+r.shut(of[1])) / 2 * r.sees())
}

// letsIn tells whether a request is let in at a store.
// One group's answers are few, chance is much in them: all groups' count as much. One that is well is spared.
func (r *Router) letsIn(s *store, q *request) bool {
	of, kind := r.crowds(s)
	if may := r.affords(q) && r.connects(s); !may || of[0].shut+of[1].shut <= 0 {
		return may
	}
	if c := of[0]; c.cutAt != r.now {
		left := r.count(of[1]).asked * r.part(of)
		c.cutAt, c.bin = r.now, urgencyBins
		for c.bin > 0 && left >= 0 {
			c.bin--
			c.part = left / max(1e-9, r.asked[kind][c.bin])
			left -= r.asked[kind][c.bin]
		}
	}
	b := urgencyBin(r.urgency(q))
	return b > of[0].bin || b == of[0].bin && q.luck < of[0].part
}

// affords tells whether a request's next attempt is a first one, or its group may have one twice.
func (r *Router) affords(q *request) bool {
	q.lacks = q.again() && !r.twice.Affords(r.now, q.group.id)
	return !q.lacks
}

// connects tells whether a store may hold one more of ours: to one that returned all come back slowly.
func (r *Router) connects(s *store) bool {
	rate, of := r.set.Returns/float64(r.set.Siblings*r.set.Processes), max(s.badAt, s.coldFrom, s.newAt)
	then := s.health == healthy && s.badAt != of
	return rate <= 0 || s.back.May(r.now, of, then, len(s.open), rate, r.rng.Float64)
}
