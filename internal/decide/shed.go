package decide

import "math"

// waited takes in how long an answer kept waiting behind others.
func (r *Router) waited(s *store, wait float64) {
	c := r.crowd(s)
	much := max(waitPart*r.leastAim.Seconds(), waitLeast*r.work/r.rateOf(s))
	over := min(waitMost, max(-1, wait/much-1))
	age := (r.now - c.at).Seconds()
	c.shut, c.at, c.cutAt = max(0, c.shut*math.Exp(-age/openAgain)+shutRate*over*min(1, age)), r.now, never
}

// letsIn tells whether a request is let in at a store. Beside few others, what a router has out tells more.
func (r *Router) letsIn(s *store, q *request) bool {
	c := r.crowd(s)
	if c.shut == 0 {
		return true
	}
	if c.cutAt != r.now {
		others := float64(r.set.Siblings - 1)
		shut := c.shut * math.Exp(-(r.now-c.at).Seconds()/openAgain) * others / (others + fewRouters)
		left := 0.0
		for _, n := range r.asked {
			left += n * math.Exp(-shut)
		}
		c.cutAt, c.bin = r.now, urgencyBins
		for c.bin > 0 && left >= 0 {
			c.bin--
			c.part = left / max(1e-9, r.asked[c.bin])
			left -= r.asked[c.bin]
		}
	}
	b := urgencyBin(r.urgency(q))
	return b > c.bin || b == c.bin && q.luck < c.part
}
