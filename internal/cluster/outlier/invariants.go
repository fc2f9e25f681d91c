package outlier

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// Check has statements about the verdicts checked, once in so many events.
func (v *Verdicts) Check(c *invariant.Checks, every int) { v.checks, v.every = c, every }

// walk makes the statements about all state.
func (v *Verdicts) walk(c *invariant.Checks) {
	c.That(len(v.order) == len(v.byName) && len(v.order) == len(v.byKey), "verdicts: servers are filed", func() string {
		return fmt.Sprintf("%d, %d by name, %d by key", len(v.order), len(v.byName), len(v.byKey))
	})
	for _, members := range v.groups {
		taken := 0
		for _, s := range members {
			if s.avoid.on {
				taken++
			}
		}
		c.That(taken <= v.set.Blinded(len(members)), "verdicts: words take no more of a group than they may", func() string {
			return fmt.Sprintf("%d of %d of group %d", taken, len(members), members[0].Group)
		})
	}
	for _, s := range v.order {
		v.walkServer(c, s)
	}
}

func (v *Verdicts) walkServer(c *invariant.Checks, s *server) {
	o := &s.own
	state := func() string { return fmt.Sprintf("%s: %+v, %+v; now %v", s.Name, *o, s.avoid, v.now) }
	c.That(v.byKey[s.key] == s && v.byName[s.Name] == s, "verdicts: a server is filed once", state)
	c.That(len(o.open) <= mostOpen, "verdicts: what is followed is bounded", state)
	c.That(o.n == 0 || o.first <= o.last && o.last > o.as && o.last <= v.now, "verdicts: what counts as silence was sent after all that was answered", state)
	c.That(!s.avoid.on || s.avoid.until <= v.now+v.set.Lapse, "verdicts: a verdict has an end", state)
	for _, x := range s.seen {
		c.That(x.n == 0 || x.first <= x.last, "verdicts: silence begins before it ends", func() string { return fmt.Sprintf("%s by %x: %+v", s.Name, uint64(x.id), *x) })
		c.That(x.answered <= v.now && x.saidAt <= v.now && x.last <= v.now, "verdicts: no evidence is of the time to come", func() string { return fmt.Sprintf("%s by %x: %+v", s.Name, uint64(x.id), *x) })
	}
}
