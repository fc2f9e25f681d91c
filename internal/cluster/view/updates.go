package view

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	updateRepeats  = 3  // an update is sent this many times the binary logarithm of the ring's size
	minRecordBytes = 40 // with less remaining capacity no further record is tried
)

// update is a record that is spread by gossip.
type update struct {
	member    *member
	timesSent int
	sequence  uint32
}

// enqueueUpdate puts a peer's record first among the updates, as not sent yet.
func (v *View) enqueueUpdate(peer *member) {
	v.sequence++
	i := slices.IndexFunc(v.updates, func(u *update) bool { return u.member == peer })
	if i < 0 {
		i = len(v.updates)
		v.updates = append(v.updates, &update{member: peer})
	}
	first := v.updates[i]
	first.timesSent, first.sequence = 0, v.sequence
	copy(v.updates[1:i+1], v.updates[:i])
	v.updates[0] = first
}

// attachUpdates adds updates to a message to a peer, up to a capacity in bytes; the least often sent ones go first.
func (v *View) attachUpdates(message *Message, to *member, capacity int) {
	v.removeSpreadUpdates()
	attached := false
	for _, u := range v.updates {
		if size := u.member.Size(); u.member != to && size <= capacity {
			message.Records = append(message.Records, u.member.Record)
			capacity -= size
			u.timesSent++
			attached = true
		}
		if capacity < minRecordBytes {
			break
		}
	}
	if attached {
		slices.SortStableFunc(v.updates, func(a, b *update) int {
			return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(b.sequence, a.sequence))
		})
	}
}

// removeSpreadUpdates drops the updates that were sent as often as required to reach all processes.
func (v *View) removeSpreadUpdates() {
	maxSends := updateRepeats * bits.Len(uint(len(v.ring)))
	v.updates = slices.DeleteFunc(v.updates, func(u *update) bool { return u.timesSent >= maxSends })
}

// send sends a message to a peer, with records attached.
func (v *View) send(peer *member, message *Message) {
	v.attachRecords(peer, message)
	v.emit(Action{Kind: Send, Addr: peer.Addr, Message: message})
}

// attachRecords sets a message's sender and records: first this process's own record if the peer may not know it and could not answer,
// then the peer's own record if it is marked suspect or failed, so that it can refute that, then updates.
func (v *View) attachRecords(peer *member, message *Message) {
	message.From = v.self.ID
	capacity := v.settings.MaxRecordBytes
	if peer.lastContact == 0 || peer.missedProbes > 0 || peer.State == Failed {
		message.Records = append(message.Records, v.self.Record)
		capacity -= v.self.Size()
	}
	if peer.State == Suspect || peer.State == Failed {
		message.Records = append(message.Records, peer.Record)
		capacity -= peer.Size()
	}
	v.attachUpdates(message, peer, capacity)
}

// gossip sends updates to random peers.
func (v *View) gossip() {
	if len(v.updates) == 0 {
		return
	}
	for _, peer := range v.randomPeers(v.settings.GossipFanout, nil) {
		message := &Message{Kind: Gossip}
		v.attachRecords(peer, message)
		if len(message.Records) > 0 {
			v.emit(Action{Kind: Send, Addr: peer.Addr, Message: message})
		}
	}
}

// requestExchange starts a full exchange with a peer, unless one was started less than interval ms ago.
func (v *View) requestExchange(peer *member, interval float64) {
	if at, ok := v.lastExchange[peer.ID]; ok && v.now-at < interval {
		return
	}
	v.lastExchange[peer.ID] = v.now
	v.emit(Action{Kind: StartExchange, Addr: peer.Addr})
}

// handleExchange applies the records of the other side, whose own record comes first.
func (v *View) handleExchange(records []Record) {
	if len(records) == 0 {
		return
	}
	other := records[0].ID
	if peer := v.members[other]; peer != nil && peer != v.self {
		v.recordContact(peer)
	}
	for i := range records {
		v.applyRecord(&records[i])
	}
	if other != v.self.ID {
		v.contacted = true
	}
}

// Records returns all records that this process knows, its own first: its side of a full exchange.
func (v *View) Records() []Record {
	out := []Record{v.self.Record}
	for _, peer := range v.sortedMembers() {
		if peer != v.self {
			out = append(out, peer.Record)
		}
	}
	return out
}
