package view

import "slices"

const (
	isolatedProbes     = 16 // peers that an isolated process probes in a round
	maxReconnects      = 4  // failed peers that are probed in a round
	isolationIntervals = 3  // probe intervals without any answer after which a process is isolated
	maxWatchFactor     = 8  // times WatchedPeers: bound of the peers probed in a round if many do not answer
	drawsPerPeer       = 4  // random draws for each requested peer
)

// probe is a probe that waits for its answer.
type probe struct {
	member          *member
	sentAt          float64
	indirect        bool   // other processes were asked to probe too
	reconnect       bool   // sent to find out whether a failed member runs again
	onBehalfOf      ID     // the process that sent the PingRequest for it, 0 for none
	requestSequence uint32 // of that process's PingRequest
}

// resumeAfterPause is called if a tick comes overdue ms late, as this process was paused. It drops the conclusions from unanswered probes,
// as this process could receive no answers, and extends suspicions.
func (v *View) resumeAfterPause(overdue float64) {
	v.probes, v.probeOrder = map[uint32]*probe{}, nil
	v.noSuspicionsUntil = v.now + v.settings.PauseGrace
	for _, peer := range v.ring {
		peer.missedProbes = 0
		if peer.State == Suspect {
			peer.suspicionEnds += overdue + v.settings.SuspicionTimeout
		}
	}
}

// confirmedByOthers reports whether a process other than peer has answered since a time, which shows that this process's own links work.
func (v *View) confirmedByOthers(peer *member, since float64) bool {
	if v.now < v.noSuspicionsUntil {
		return false
	}
	at := v.lastAck
	if v.lastAckFrom == peer.ID {
		at = v.lastAckFromOther
	}
	return v.settings.Confirmations == 0 || at > since
}

// isolated reports whether nobody has answered for a while.
func (v *View) isolated() bool {
	return v.now-max(v.lastAck, v.lastAckFromOther, v.startedAt) > isolationIntervals*v.settings.ProbeInterval
}

// probeWatchedPeers probes the peers that this process watches. An isolated process probes the peers of the whole ring in turn instead.
func (v *View) probeWatchedPeers() {
	selfIndex := slices.Index(v.ring, v.self)
	n := len(v.ring)
	if v.isolated() {
		v.probeAroundRing(selfIndex)
		return
	}
	watched := 0
	limit := maxWatchFactor * v.settings.WatchedPeers
	for k := 1; k < n && watched < v.settings.WatchedPeers && k <= limit; k++ {
		peer := v.ring[(selfIndex+k)%n]
		v.sendProbe(probe{member: peer})
		if peer.reachable() {
			watched++
		}
	}
}

func (v *View) probeAroundRing(selfIndex int) {
	n := len(v.ring)
	for range min(isolatedProbes, n-1) {
		v.nextOnRing++
		if v.nextOnRing%n == 0 { // this process itself
			v.nextOnRing++
		}
		v.sendProbe(probe{member: v.ring[(selfIndex+v.nextOnRing)%n]})
	}
}

// sendProbe sends a Ping to the member of a probe, and adds it to the pending probes.
func (v *View) sendProbe(p probe) {
	v.sequence++
	p.sentAt = v.now
	v.probes[v.sequence] = &p
	v.probeOrder = append(v.probeOrder, v.sequence)
	v.send(p.member, &Message{Kind: Ping, Sequence: v.sequence, Target: p.member.ID})
}

// randomPeers draws up to n peers from the ring, excluding this process and except.
func (v *View) randomPeers(n int, except *member) (peers []*member) {
	for range drawsPerPeer * n {
		if len(peers) == n || len(v.ring) < 2 {
			break
		}
		peer := v.ring[v.rng.IntN(len(v.ring))]
		if peer != v.self && peer != except && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// reconnect probes failed peers in turn. It contacts a seed if this process has not been contacted yet or is isolated.
func (v *View) reconnect() {
	if n := len(v.failed); n > 0 {
		for range min(maxReconnects, 1+n/max(1, len(v.ring)), n) {
			v.nextFailed = (v.nextFailed + 1) % n
			v.sendProbe(probe{member: v.failed[v.nextFailed], reconnect: true})
		}
	}
	if !v.contacted || v.isolated() {
		v.contactSeed()
	}
}

// contactSeed starts a full exchange with the next seed that is not this process.
func (v *View) contactSeed() {
	seeds := v.settings.SeedAddresses
	for range seeds {
		v.nextSeed = (v.nextSeed + 1) % len(seeds)
		if addr := seeds[v.nextSeed]; addr != v.self.Addr {
			v.emit(Action{Kind: StartExchange, Addr: addr})
			return
		}
	}
}

// handleProbeTimeouts continues with indirect probes, or ends, the probes that timed out.
func (v *View) handleProbeTimeouts() {
	remaining := v.probeOrder[:0]
	for _, sequence := range v.probeOrder {
		pending := v.probes[sequence]
		if pending != nil && v.continueProbe(sequence, pending) {
			remaining = append(remaining, sequence)
		}
	}
	v.probeOrder = remaining
}

// continueProbe sends indirect probes after one ProbeTimeout, and ends the probe after two. It reports whether the probe is still pending.
func (v *View) continueProbe(sequence uint32, pending *probe) bool {
	age := v.now - pending.sentAt
	forOthers := pending.onBehalfOf != 0 || pending.reconnect
	switch {
	case age >= 2*v.settings.ProbeTimeout:
		delete(v.probes, sequence)
		if !forOthers {
			v.probeFailed(pending)
		}
		return false
	case age >= v.settings.ProbeTimeout && !forOthers && !pending.indirect:
		pending.indirect = true
		for _, helper := range v.randomPeers(v.settings.IndirectProbes, pending.member) {
			v.send(helper, &Message{Kind: PingRequest, Sequence: sequence, Target: pending.member.ID})
		}
		v.send(pending.member, &Message{Kind: Ping, Sequence: sequence, Target: pending.member.ID})
	}
	return true
}

// probeFailed records that a peer answered neither directly nor indirectly.
func (v *View) probeFailed(pending *probe) {
	peer := pending.member
	peer.missedProbes++
	v.countsStale = true
	if peer.State == Alive && v.confirmedByOthers(peer, pending.sentAt) {
		v.setState(peer, Suspect)
	}
}

// expireSuspicions marks the suspects as failed that did not refute the suspicion in time.
func (v *View) expireSuspicions() {
	if v.suspectCount == 0 {
		return
	}
	recently := v.now - v.settings.ProbeInterval - 2*v.settings.ProbeTimeout - 2*v.settings.TickInterval
	for _, peer := range slices.Clone(v.ring) {
		if peer.State == Suspect && v.now >= peer.suspicionEnds && v.confirmedByOthers(peer, recently) {
			v.setState(peer, Failed)
		}
	}
}

// setState applies a record of the peer's current incarnation with another state.
func (v *View) setState(peer *member, state State) {
	record := peer.Record
	record.State = state
	v.applyRecord(&record)
}

func (v *View) handleMessage(message *Message) {
	if message.From == v.self.ID {
		return
	}
	if sender := v.members[message.From]; sender != nil {
		v.recordContact(sender)
	}
	for i := range message.Records {
		v.applyRecord(&message.Records[i])
	}
	sender := v.members[message.From]
	switch message.Kind {
	case Ping:
		v.handlePing(sender, message)
	case PingRequest:
		v.handlePingRequest(sender, message)
	case Ack:
		v.handleAck(message)
	}
	if sender != nil && sender.State == Failed { // it runs, and may know of other running processes that are marked failed here
		v.requestExchange(sender, v.settings.ReconnectInterval)
	}
}

func (v *View) handlePing(sender *member, message *Message) {
	switch {
	case sender == nil:
	case message.Target == v.self.ID:
		v.send(sender, &Message{Kind: Ack, Sequence: message.Sequence, Target: v.self.ID})
	default: // the sender probes an earlier process at this address
		v.requestExchange(sender, v.settings.ReconnectInterval)
	}
}

// handlePingRequest acknowledges the request, so that its sender knows that this process runs, and probes the target.
func (v *View) handlePingRequest(sender *member, message *Message) {
	target := v.members[message.Target]
	if sender == nil || target == nil || target == v.self {
		return
	}
	v.send(sender, &Message{Kind: Ack, Sequence: message.Sequence, Target: v.self.ID})
	v.sendProbe(probe{member: target, onBehalfOf: sender.ID, requestSequence: message.Sequence})
}

func (v *View) handleAck(message *Message) {
	pending := v.probes[message.Sequence]
	if pending == nil || pending.member.ID != message.Target && message.Target != message.From {
		return
	}
	if v.lastAckFrom != message.From {
		v.lastAckFromOther, v.lastAckFrom = v.lastAck, message.From
	}
	v.lastAck = v.now
	if pending.member.ID != message.Target { // a helper acknowledged the PingRequest; the target has not answered
		return
	}
	delete(v.probes, message.Sequence)
	if pending.member.missedProbes > 0 {
		pending.member.missedProbes = 0
		v.countsStale = true
	}
	if requester := v.members[pending.onBehalfOf]; pending.onBehalfOf != 0 && requester != nil {
		v.send(requester, &Message{Kind: Ack, Sequence: pending.requestSequence, Target: pending.member.ID})
	}
}
