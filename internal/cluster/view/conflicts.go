package view

import (
	"fmt"
	"slices"
)

const nameSuffixMask = 0xffffff // bits of the ID that are the suffix of a changed name

// resolveAddress marks the older of two processes with the same name and address as left, as only one of them can use the address.
func (v *View) resolveAddress(peer *member) {
	holder := v.byAddress[peer.Addr]
	if holder == nil || holder == peer || holder.State == Left || holder.Name != peer.Name {
		if holder == nil || holder.ID < peer.ID {
			v.byAddress[peer.Addr] = peer
		}
		return
	}
	older, younger := holder, peer
	if older.ID > younger.ID {
		older, younger = younger, older
	}
	v.byAddress[peer.Addr] = younger
	if older != v.self {
		v.setState(older, Left)
		return
	}
	// This process uses the address, so the other one has ended; its ID is later because its clock was ahead.
	v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf(
		"an ended process with the later ID %x, whose clock was ahead, used the address %s: this process takes a later ID",
		uint64(younger.ID), younger.Addr)})
	v.replaceOwnID(younger)
}

// replaceOwnID gives this process an ID later than a peer's, and marks the peer as left.
func (v *View) replaceOwnID(peer *member) {
	id := (peer.ID>>randomBits+1)<<randomBits | v.self.ID&randomMask
	delete(v.members, v.self.ID)
	v.ring = slices.DeleteFunc(v.ring, func(m *member) bool { return m == v.self })
	v.self.ID = id
	v.self.ringPosition = ringPosition(id)
	v.members[id] = v.self
	v.byAddress[v.self.Addr] = v.self
	v.updateLists(v.self)
	v.setState(peer, Left)
	v.raiseIncarnation(v.self.Incarnation + 1)
}

// resolveNameConflict resolves a conflict of two running processes at different addresses that use one name: the older one keeps it.
func (v *View) resolveNameConflict(peer *member) {
	if peer.ID > v.self.ID {
		if !peer.conflictReported {
			peer.conflictReported = true
			v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf(
				"a younger process at %s has this one's name %q and is expected to take another one", peer.Addr, peer.Name)})
		}
		return
	}
	name := fmt.Sprintf("%.48s~%x", v.self.Name, uint64(v.self.ID)&nameSuffixMask)
	v.emit(Action{Kind: NameConflict, Text: fmt.Sprintf(
		"an older process at %s has the name %q: this process changes its name to %q", peer.Addr, peer.Name, name)})
	v.self.Name = name
	v.raiseIncarnation(v.self.Incarnation + 1)
}
