package view

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// maxKeyTimeMs bounds the times in a StateKey.
const maxKeyTimeMs = 1e6

// Clone returns an independent copy, for model checking.
func (v *View) Clone() *View {
	clone := *v
	pcg := *v.pcg
	clone.pcg, clone.rng, clone.actions = &pcg, rand.New(&pcg), nil
	copies := map[*member]*member{}
	clone.members = map[ID]*member{}
	for id, original := range v.members {
		peer := *original
		copies[original] = &peer
		clone.members[id] = &peer
	}
	copyList := func(peers []*member) []*member {
		out := make([]*member, len(peers))
		for i, peer := range peers {
			out[i] = copies[peer]
		}
		return out
	}
	clone.self = copies[v.self]
	clone.ring, clone.failed = copyList(v.ring), copyList(v.failed)
	clone.byAddress = map[string]*member{}
	for addr, peer := range v.byAddress {
		clone.byAddress[addr] = copies[peer]
	}
	clone.probes, clone.probeOrder = map[uint32]*probe{}, slices.Clone(v.probeOrder)
	for sequence, original := range v.probes {
		pending := *original
		pending.member = copies[original.member]
		clone.probes[sequence] = &pending
	}
	clone.updates = make([]*update, len(v.updates))
	for i, original := range v.updates {
		u := *original
		u.member = copies[original.member]
		clone.updates[i] = &u
	}
	clone.lastExchange = maps.Clone(v.lastExchange)
	return &clone
}

// StateKey returns a string that is equal for two views that behave the same from now on, except for their random numbers. Times in it
// are relative to now.
func (v *View) StateKey() string {
	var b strings.Builder
	ago := func(at float64) float64 { return max(-1, min(v.now-at, maxKeyTimeMs)) }
	fmt.Fprintf(&b, "%d %v %v %v %v|", v.self.Incarnation, v.hasLeft, ago(v.nextProbe), ago(v.nextGossip), ago(v.nextReconnect))
	fmt.Fprintf(&b, "%v %v %d|", ago(v.lastAck), ago(v.lastAckFromOther), v.lastAckFrom)
	for _, peer := range v.sortedMembers() {
		suspected := peer.State == Suspect && v.now < peer.suspicionEnds
		fmt.Fprintf(&b, "%d:%d.%d.%v.%d.%v ", peer.ID, peer.Incarnation, peer.State, peer.Draining, peer.missedProbes, suspected)
		if peer.State == Suspect {
			fmt.Fprintf(&b, "d%v ", ago(peer.suspicionEnds))
		}
	}
	for _, sequence := range v.probeOrder {
		if pending := v.probes[sequence]; pending != nil {
			fmt.Fprintf(&b, "t%d %v %v %v %d ", pending.member.ID, ago(pending.sentAt), pending.indirect, pending.reconnect, pending.onBehalfOf)
		}
	}
	for _, u := range v.updates {
		fmt.Fprintf(&b, "n%d %d ", u.member.ID, u.timesSent)
	}
	return b.String()
}
