package view

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// CheckInvariants has statements about the view checked, once in so many events.
func (v *View) CheckInvariants(c *invariant.Checks, every int) { v.checks, v.checkInterval = c, every }

// checkState makes the statements about all state.
func (v *View) checkState(c *invariant.Checks) {
	who := func(peer *member) func() string { return func() string { return fmt.Sprintf("%+v", *peer) } }
	c.That(v.members[v.self.ID] == v.self && v.self.State == Alive && slices.Contains(v.ring, v.self), "view: it is in its own view, and there", who(v.self))
	c.That(len(v.members) <= MaxRecords, "view: no more than may be are known", func() string { return fmt.Sprint(len(v.members)) })
	runs, lost, suspects := 0, 0, 0
	for id, peer := range v.members {
		c.That(peer.ID == id && peer.ringPosition == ringPosition(id), "view: each is filed by its ID", who(peer))
		switch peer.State {
		case Suspect:
			suspects++
			runs++
			c.That(peer.suspicionEnds > 0, "view: a suspicion has an end", who(peer))
		case Alive:
			runs++
		case Failed:
			lost++
		}
		c.That((peer.State >= Failed) == (peer.unavailableSince > 0), "view: those that are gone are so since then", who(peer))
	}
	c.That(suspects == v.suspectCount, "view: suspects are counted", func() string { return fmt.Sprintf("%d, counted %d", suspects, v.suspectCount) })
	sorted := slices.IsSortedFunc(v.ring, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.ID, b.ID))
	})
	c.That(sorted && len(v.ring) == runs, "view: the ring holds those that run, in order, once", func() string { return fmt.Sprintf("%d in it, %d run, in order: %v", len(v.ring), runs, sorted) })
	for i, peer := range v.ring {
		c.That(v.members[peer.ID] == peer && peer.State <= Suspect && (i == 0 || v.ring[i-1] != peer), "view: the ring holds those that run, in order, once", who(peer))
	}
	for _, peer := range v.failed {
		c.That(v.members[peer.ID] == peer && peer.State == Failed, "view: those that are sought have failed", who(peer))
	}
	c.That(len(v.failed) == lost, "view: all that have failed are sought", func() string { return fmt.Sprintf("%d sought, %d failed", len(v.failed), lost) })
	v.checkReferences(c, who)
}

// checkReferences states that nothing is kept for those that are gone.
func (v *View) checkReferences(c *invariant.Checks, who func(*member) func() string) {
	const kept = "view: nothing is kept of those that are forgotten"
	for _, peer := range v.byAddress {
		c.That(v.members[peer.ID] == peer, kept, who(peer))
	}
	for _, n := range v.updates {
		c.That(v.members[n.member.ID] == n.member, kept, who(n.member))
	}
	for id := range v.lastExchange {
		c.That(v.members[id] != nil || v.members[^id] != nil, kept, func() string { return fmt.Sprintf("traded with %x", uint64(id)) })
	}
	in := map[uint32]bool{}
	for _, no := range v.probeOrder {
		in[no] = true
	}
	for no, t := range v.probes {
		c.That(in[no], "view: each probe that is out has its end", func() string { return fmt.Sprintf("%d of %x", no, uint64(t.member.ID)) })
	}
}
