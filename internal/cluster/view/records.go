package view

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// update is a record that is to go round.
type update struct {
	member    *member
	timesSent int
	sequence  uint32
}

// attachUpdates adds news to a message, those that went out least first.
func (v *View) attachUpdates(message *Message, to *member, capacity int) {
	maxSends := updateRepeats * bits.Len(uint(len(v.ring)))
	remaining := v.updates[:0]
	for _, n := range v.updates {
		if n.timesSent >= maxSends {
			continue
		}
		remaining = append(remaining, n)
	}
	clear(v.updates[len(remaining):])
	v.updates = remaining
	sent := false
	for _, n := range v.updates {
		if size := n.member.Size(); n.member != to && size <= capacity {
			message.Records = append(message.Records, n.member.Record)
			capacity -= size
			n.timesSent++
			sent = true
		}
		if capacity < 40 {
			break
		}
	}
	if sent {
		slices.SortStableFunc(v.updates, func(a, b *update) int {
			return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(b.sequence, a.sequence))
		})
	}
}

// enqueueUpdate has a record go round.
func (v *View) enqueueUpdate(peer *member) {
	v.sequence++
	for _, n := range v.updates {
		if n.member == peer {
			n.timesSent, n.sequence = 0, v.sequence
			v.moveToFront(n)
			return
		}
	}
	n := &update{member: peer, sequence: v.sequence}
	v.updates = append(v.updates, n)
	v.moveToFront(n)
}

func (v *View) gossip() {
	if len(v.updates) == 0 {
		return
	}
	for _, peer := range v.randomPeers(v.settings.GossipFanout, nil) {
		message := &Message{Kind: Gossip}
		if v.send(peer, message); len(message.Records) == 0 {
			v.actions = v.actions[:len(v.actions)-1]
		}
	}
}

// requestExchange has a full exchange with a process, unless there was one within the pause.
func (v *View) requestExchange(peer *member, pause float64) {
	if at, ok := v.lastExchange[peer.ID]; ok && v.now-at < pause {
		return
	}
	v.lastExchange[peer.ID] = v.now
	v.emit(Action{Kind: StartExchange, Addr: peer.Addr})
}

// handleExchange takes the other side's records.
func (v *View) handleExchange(records []Record) {
	for i := range records {
		if i == 0 { // its own comes first
			if peer := v.members[records[i].ID]; peer != nil && peer != v.self {
				v.noteContact(peer)
			}
		}
		v.applyRecord(&records[i])
	}
	v.contacted = v.contacted || len(records) > 0 && records[0].ID != v.self.ID
}

// Records are all that this process knows, its own first: its side of a full exchange.
func (v *View) Records() []Record {
	out := []Record{v.self.Record}
	for _, peer := range v.sortedMembers() {
		if peer != v.self {
			out = append(out, peer.Record)
		}
	}
	return out
}

// sortedMembers are all that are known, by ID.
func (v *View) sortedMembers() []*member {
	out := make([]*member, 0, len(v.members))
	for _, peer := range v.members {
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// applyRecord takes a record, where it is a later word than what is known.
func (v *View) applyRecord(record *Record) {
	if !record.Valid() {
		v.rejectedRecords++
		return
	}
	if record.ID == v.self.ID {
		if record.State == Suspect || record.State == Failed || record.Incarnation > v.self.Incarnation { // it is said of one that runs
			if record.Incarnation >= v.self.Incarnation {
				v.raiseIncarnation(record.Incarnation + 1)
			}
		}
		return
	}
	peer := v.members[record.ID]
	isNew := peer == nil
	if isNew {
		if len(v.members) >= MaxRecords {
			v.rejectedRecords++
			return
		}
		peer = &member{Record: *record, ringPosition: ringPosition(record.ID)}
		v.members[record.ID] = peer
	} else if compareRecords(record, &peer.Record) <= 0 {
		return
	}
	was := peer.State
	if !isNew && was == Suspect {
		v.suspectCount--
	}
	if record.Addr != peer.Addr && v.byAddress[peer.Addr] == peer {
		delete(v.byAddress, peer.Addr)
	}
	peer.Record, v.countsStale = *record, true
	switch peer.State {
	case Alive:
		peer.missedProbes, peer.unavailableSince = 0, 0
	case Suspect:
		v.suspectCount++
		peer.unavailableSince = 0 // a later word than its failure: it was there in between
		peer.suspicionEnds = v.now + v.settings.SuspicionTimeout
	default:
		if peer.unavailableSince == 0 {
			peer.unavailableSince = v.now
		}
	}
	v.updateLists(peer)
	v.enqueueUpdate(peer)
	v.emit(Action{Kind: RecordChanged, Record: peer.Record, Previous: was, IsNew: isNew})
	if peer.State == Alive {
		v.resolveAddress(peer)
	}
}

// updateLists puts a process among those that run, or among the lost, or in neither.
func (v *View) updateLists(peer *member) {
	at, on := slices.BinarySearchFunc(v.ring, peer, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.ID, b.ID))
	})
	switch runs := peer.State <= Suspect; {
	case runs && !on:
		v.ring = slices.Insert(v.ring, at, peer)
	case !runs && on:
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

// resolveAddress has an older process leave whose name and address a younger one has: only one can hold the address.
func (v *View) resolveAddress(peer *member) {
	holder := v.byAddress[peer.Addr]
	if holder == nil || holder == peer || holder.State == Left || holder.Name != peer.Name {
		if holder == nil || holder.ID < peer.ID {
			v.byAddress[peer.Addr] = peer
		}
		return
	}
	old, young := holder, peer
	if old.ID > young.ID {
		old, young = young, old
	}
	v.byAddress[peer.Addr] = young
	if old == v.self { // it holds the address: the other has ended, and began by a clock that was ahead
		v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf("process %x was at %s before this one and is younger by its clock: this one takes a later ID", uint64(young.ID), young.Addr)})
		v.replaceOwnID(young)
		return
	}
	record := old.Record
	record.State = Left
	v.applyRecord(&record)
}

// replaceOwnID has this process go by an ID that is later than another's.
func (v *View) replaceOwnID(than *member) {
	id := (than.ID>>16+1)<<16 | v.self.ID&0xffff
	delete(v.members, v.self.ID)
	v.ring = slices.DeleteFunc(v.ring, func(peer *member) bool { return peer == v.self })
	v.self.ID, v.self.ringPosition = id, ringPosition(id)
	v.members[id], v.byAddress[v.self.Addr] = v.self, v.self
	v.updateLists(v.self)
	record := than.Record
	record.State = Left
	v.applyRecord(&record)
	v.raiseIncarnation(v.self.Incarnation + 1)
}

// resolveNameConflict settles who keeps a name that two processes have at different addresses, each of which runs: the older one.
func (v *View) resolveNameConflict(peer *member) {
	if peer.ID > v.self.ID {
		if peer.missedProbes >= 0 && v.lastExchange[^peer.ID] == 0 { // said once
			v.lastExchange[^peer.ID] = v.now
			v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf("a younger process at %s has this one's name %q; it is to give way", peer.Addr, peer.Name)})
		}
		return
	}
	name := fmt.Sprintf("%.48s~%x", v.self.Name, uint64(v.self.ID)&0xffffff)
	v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf("an older process at %s has the name %q: this one goes by %q", peer.Addr, peer.Name, name)})
	v.self.Name = name
	v.raiseIncarnation(v.self.Incarnation + 1)
}

// raiseIncarnation gives this process a later word on itself.
func (v *View) raiseIncarnation(inc uint32) {
	v.self.Incarnation = inc
	v.enqueueUpdate(v.self)
}

// removeExpired drops what has been gone for long.
func (v *View) removeExpired() {
	if v.now < v.nextCleanup {
		return
	}
	v.nextCleanup = v.now + v.settings.ReconnectInterval
	for _, peer := range v.members {
		if peer.State >= Failed && v.now-peer.unavailableSince >= v.settings.Retention {
			delete(v.members, peer.ID)
			delete(v.lastExchange, peer.ID)
			delete(v.lastExchange, ^peer.ID)
			if v.byAddress[peer.Addr] == peer {
				delete(v.byAddress, peer.Addr)
			}
			v.countsStale = true
			if i := slices.Index(v.failed, peer); i >= 0 {
				v.failed = slices.Delete(v.failed, i, i+1)
			}
			v.updates = slices.DeleteFunc(v.updates, func(n *update) bool { return n.member == peer })
		}
	}
}
