package view

import (
	"cmp"
	"slices"
)

// sortedMembers returns all known processes, by ID.
func (v *View) sortedMembers() []*member {
	out := make([]*member, 0, len(v.members))
	for _, peer := range v.members {
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// applyRecord applies a received record if it is newer than the known one.
func (v *View) applyRecord(record *Record) {
	if !record.Valid() {
		v.rejectedRecords++
		return
	}
	if record.ID == v.self.ID {
		v.refute(record)
		return
	}
	peer := v.members[record.ID]
	isNew := peer == nil
	switch {
	case isNew && len(v.members) >= MaxRecords:
		v.rejectedRecords++
		return
	case isNew:
		peer = &member{Record: *record, ringPosition: ringPosition(record.ID)}
		v.members[record.ID] = peer
	case compareRecords(record, &peer.Record) <= 0:
		return
	}
	previous := peer.State
	if !isNew && previous == Suspect {
		v.suspectCount--
	}
	if record.Addr != peer.Addr && v.byAddress[peer.Addr] == peer {
		delete(v.byAddress, peer.Addr)
	}
	peer.Record = *record
	v.countsStale = true
	v.enterState(peer)
	v.updateLists(peer)
	v.enqueueUpdate(peer)
	v.emit(Action{Kind: RecordChanged, Record: peer.Record, Previous: previous, IsNew: isNew})
	if peer.State == Alive {
		v.resolveAddress(peer)
	}
}

// refute raises this process's incarnation if a record marks it suspect or failed, or has a higher incarnation.
func (v *View) refute(record *Record) {
	accused := record.State == Suspect || record.State == Failed
	if record.Incarnation > v.self.Incarnation || accused && record.Incarnation == v.self.Incarnation {
		v.raiseIncarnation(record.Incarnation + 1)
	}
}

// enterState sets the times and counters that depend on a peer's new state.
func (v *View) enterState(peer *member) {
	switch peer.State {
	case Alive:
		peer.missedProbes = 0
		peer.unavailableSince = 0
	case Suspect:
		v.suspectCount++
		peer.unavailableSince = 0 // the record is newer than a failure, so the process ran in between
		peer.suspicionEnds = v.now + v.settings.SuspicionTimeout
	default:
		if peer.unavailableSince == 0 {
			peer.unavailableSince = v.now
		}
	}
}

func comparePositions(a, b *member) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.ID, b.ID))
}

// updateLists adds a peer to the ring or to the failed peers, or removes it from them, according to its state.
func (v *View) updateLists(peer *member) {
	at, onRing := slices.BinarySearchFunc(v.ring, peer, comparePositions)
	switch runs := peer.State <= Suspect; {
	case runs && !onRing:
		v.ring = slices.Insert(v.ring, at, peer)
	case !runs && onRing:
		v.ring = slices.Delete(v.ring, at, at+1)
	}
	i := slices.Index(v.failed, peer)
	switch {
	case peer.State == Failed && i < 0:
		v.failed = append(v.failed, peer)
	case peer.State != Failed && i >= 0:
		v.failed = slices.Delete(v.failed, i, i+1)
	}
}

// raiseIncarnation announces this process's record with a new incarnation.
func (v *View) raiseIncarnation(incarnation uint32) {
	v.self.Incarnation = incarnation
	v.enqueueUpdate(v.self)
}

// removeExpired removes the processes that failed or left at least Retention ago.
func (v *View) removeExpired() {
	if v.now < v.nextCleanup {
		return
	}
	v.nextCleanup = v.now + v.settings.ReconnectInterval
	for _, peer := range v.members {
		if peer.State >= Failed && v.now-peer.unavailableSince >= v.settings.Retention {
			v.remove(peer)
		}
	}
}

func (v *View) remove(peer *member) {
	delete(v.members, peer.ID)
	delete(v.lastExchange, peer.ID)
	if v.byAddress[peer.Addr] == peer {
		delete(v.byAddress, peer.Addr)
	}
	v.countsStale = true
	if i := slices.Index(v.failed, peer); i >= 0 {
		v.failed = slices.Delete(v.failed, i, i+1)
	}
	v.updates = slices.DeleteFunc(v.updates, func(u *update) bool { return u.member == peer })
}
