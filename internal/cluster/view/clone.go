package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Clone is a copy that goes its own way, for explorers.
func (v *View) Clone() *View {
	c := *v
	pcg := *v.pcg
	c.pcg, c.rng, c.actions = &pcg, rand.New(&pcg), nil
	same := map[*member]*member{}
	c.members, c.byAddress, c.probes, c.lastExchange = map[ID]*member{}, map[string]*member{}, map[uint32]*probe{}, map[ID]float64{}
	for id, peer := range v.members {
		n := *peer
		same[peer], c.members[id] = &n, &n
	}
	c.self = same[v.self]
	list := func(ms []*member) []*member {
		out := make([]*member, len(ms))
		for i, peer := range ms {
			out[i] = same[peer]
		}
		return out
	}
	c.ring, c.failed, c.probeOrder = list(v.ring), list(v.failed), slices.Clone(v.probeOrder)
	for a, peer := range v.byAddress {
		c.byAddress[a] = same[peer]
	}
	for no, t := range v.probes {
		n := *t
		n.member = same[t.member]
		c.probes[no] = &n
	}
	for id, at := range v.lastExchange {
		c.lastExchange[id] = at
	}
	c.updates = make([]*update, len(v.updates))
	for i, n := range v.updates {
		x := *n
		x.member = same[n.member]
		c.updates[i] = &x
	}
	return &c
}

// StateKey is all of a view that what it does follows from, but for its random numbers, times as seen from now.
func (v *View) StateKey() string {
	var b strings.Builder
	ago := func(at float64) float64 { return max(-1, min(v.now-at, 1e6)) }
	fmt.Fprintf(&b, "%d %v %v %v %v|", v.self.Incarnation, v.hasLeft, ago(v.nextProbe), ago(v.nextGossip), ago(v.nextReconnect))
	fmt.Fprintf(&b, "%v %v %d|", ago(v.lastAck), ago(v.lastAckFromOther), v.lastAckFrom)
	for _, peer := range v.sortedMembers() {
		fmt.Fprintf(&b, "%d:%d.%d.%v.%d.%v ", peer.ID, peer.Incarnation, peer.State, peer.Draining, peer.missedProbes, peer.State == Suspect && v.now < peer.suspicionEnds)
		if peer.State == Suspect {
			fmt.Fprintf(&b, "d%v ", ago(peer.suspicionEnds))
		}
	}
	for _, no := range v.probeOrder {
		if t := v.probes[no]; t != nil {
			fmt.Fprintf(&b, "t%d %v %v %v %d ", t.member.ID, ago(t.sentAt), t.indirect, t.reconnect, t.onBehalfOf)
		}
	}
	for _, n := range v.updates {
		fmt.Fprintf(&b, "n%d %d ", n.member.ID, n.timesSent)
	}
	return b.String()
}
