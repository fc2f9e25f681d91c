package view

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// Check has statements about the view checked, once in so many events.
func (v *View) Check(c *invariant.Checks, every int) { v.checks, v.every = c, every }

// look makes the statements about all state.
func (v *View) look(c *invariant.Checks) {
	who := func(m *member) func() string { return func() string { return fmt.Sprintf("%+v", *m) } }
	c.That(v.all[v.self.ID] == v.self && v.self.State == Alive && slices.Contains(v.ring, v.self), "view: it is in its own view, and there", who(v.self))
	c.That(len(v.all) <= MostRecords, "view: no more than may be are known", func() string { return fmt.Sprint(len(v.all)) })
	runs, lost, suspects := 0, 0, 0
	for id, m := range v.all {
		c.That(m.ID == id && m.place == place(id), "view: each is filed by its ID", who(m))
		switch m.State {
		case Suspect:
			suspects++
			runs++
			c.That(m.deadline > 0, "view: a suspicion has an end", who(m))
		case Alive:
			runs++
		case Failed:
			lost++
		}
		c.That((m.State >= Failed) == (m.goneAt > 0), "view: those that are gone are so since then", who(m))
	}
	c.That(suspects == v.suspects, "view: suspects are counted", func() string { return fmt.Sprintf("%d, counted %d", suspects, v.suspects) })
	sorted := slices.IsSortedFunc(v.ring, func(a, b *member) int { return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.ID, b.ID)) })
	c.That(sorted && len(v.ring) == runs, "view: the ring holds those that run, in order, once", func() string { return fmt.Sprintf("%d in it, %d run, in order: %v", len(v.ring), runs, sorted) })
	for i, m := range v.ring {
		c.That(v.all[m.ID] == m && m.State <= Suspect && (i == 0 || v.ring[i-1] != m), "view: the ring holds those that run, in order, once", who(m))
	}
	for _, m := range v.lost {
		c.That(v.all[m.ID] == m && m.State == Failed, "view: those that are sought have failed", who(m))
	}
	c.That(len(v.lost) == lost, "view: all that have failed are sought", func() string { return fmt.Sprintf("%d sought, %d failed", len(v.lost), lost) })
	v.lookKept(c, who)
}

// lookKept states that nothing is kept for those that are gone.
func (v *View) lookKept(c *invariant.Checks, who func(*member) func() string) {
	const kept = "view: nothing is kept of those that are forgotten"
	for _, m := range v.holds {
		c.That(v.all[m.ID] == m, kept, who(m))
	}
	for _, n := range v.news {
		c.That(v.all[n.m.ID] == n.m, kept, who(n.m))
	}
	for id := range v.tradedAt {
		c.That(v.all[id] != nil || v.all[^id] != nil, kept, func() string { return fmt.Sprintf("traded with %x", uint64(id)) })
	}
	in := map[uint32]bool{}
	for _, no := range v.order {
		in[no] = true
	}
	for no, t := range v.tries {
		c.That(in[no], "view: each probe that is out has its end", func() string { return fmt.Sprintf("%d of %x", no, uint64(t.m.ID)) })
	}
}
