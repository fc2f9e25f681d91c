package view

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// CheckInvariants makes the view check its invariants once every interval events.
func (v *View) CheckInvariants(checks *invariant.Checks, interval int) {
	v.checks, v.checkInterval = checks, interval
}

func describe(peer *member) func() string { return func() string { return fmt.Sprintf("%+v", *peer) } }

// checkState checks the invariants of the whole state.
func (v *View) checkState(checks *invariant.Checks) {
	ownRecord := v.members[v.self.ID] == v.self && v.self.State == Alive && slices.Contains(v.ring, v.self)
	checks.That(ownRecord, "view: this process is alive in its own view", describe(v.self))
	checks.That(len(v.members) <= MaxRecords, "view: the number of members is bounded", func() string { return fmt.Sprint(len(v.members)) })
	for id, peer := range v.members {
		indexed := peer.ID == id && peer.ringPosition == ringPosition(id)
		checks.That(indexed, "view: each member is indexed by its ID", describe(peer))
		if peer.State == Suspect {
			checks.That(peer.suspicionEnds > 0, "view: a suspicion has an end", describe(peer))
		}
		unavailable := peer.State >= Failed
		checks.That(unavailable == (peer.unavailableSince > 0), "view: members that failed or left have the time when they did", describe(peer))
	}
	v.checkLists(checks)
	v.checkReferences(checks)
}

// checkLists checks that the ring, the failed members and the count of suspects agree with the members' states.
func (v *View) checkLists(checks *invariant.Checks) {
	var byState [Left + 1]int
	for _, peer := range v.members {
		byState[peer.State]++
	}
	suspects, running, failed := byState[Suspect], byState[Alive]+byState[Suspect], byState[Failed]
	checks.That(suspects == v.suspectCount, "view: the count of suspects is correct", func() string { return fmt.Sprintf("%d suspects, counted %d", suspects, v.suspectCount) })

	const ringOrder = "view: the ring has each running member once, in order"
	sorted := slices.IsSortedFunc(v.ring, comparePositions)
	checks.That(sorted && len(v.ring) == running, ringOrder, func() string {
		return fmt.Sprintf("%d members on the ring, %d running, in order: %v", len(v.ring), running, sorted)
	})
	for i, peer := range v.ring {
		repeated := i > 0 && v.ring[i-1] == peer
		checks.That(v.members[peer.ID] == peer && peer.State <= Suspect && !repeated, ringOrder, describe(peer))
	}
	for _, peer := range v.failed {
		checks.That(v.members[peer.ID] == peer && peer.State == Failed, "view: only failed members are reconnected to", describe(peer))
	}
	checks.That(len(v.failed) == failed, "view: all failed members are reconnected to", func() string {
		return fmt.Sprintf("%d listed, %d failed", len(v.failed), failed)
	})
}

// checkReferences checks that nothing refers to members that were removed.
func (v *View) checkReferences(checks *invariant.Checks) {
	const noReferences = "view: nothing refers to removed members"
	for _, peer := range v.byAddress {
		checks.That(v.members[peer.ID] == peer, noReferences, describe(peer))
	}
	for _, u := range v.updates {
		checks.That(v.members[u.member.ID] == u.member, noReferences, describe(u.member))
	}
	for id := range v.lastExchange {
		checks.That(v.members[id] != nil, noReferences, func() string { return fmt.Sprintf("exchange with %x", uint64(id)) })
	}
	ordered := map[uint32]bool{}
	for _, sequence := range v.probeOrder {
		ordered[sequence] = true
	}
	for sequence, pending := range v.probes {
		checks.That(ordered[sequence], "view: each pending probe is in the probe order", func() string {
			return fmt.Sprintf("probe %d of %x", sequence, uint64(pending.member.ID))
		})
	}
}
