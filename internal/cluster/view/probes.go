package view

import "slices"

const (
	isolatedProbes     = 16 // peers that an isolated process probes in a round
	maxReconnects      = 4  // failed peers that are probed in a round
	isolationIntervals = 3  // probe intervals without any answer after which a process is isolated
	maxWatchFactor     = 8  // times WatchedPeers: peers that are probed where many do not answer
	drawsPerPeer       = 4  // random draws for each peer that is wanted
)

// probe is one that waits for its answer.
type probe struct {
	member          *member
	sentAt          float64
	indirect        bool   // other processes were asked to probe too
	reconnect       bool   // its member has failed
	onBehalfOf      ID     // the process that asked for it, 0 for none
	requestSequence uint32 // of that process's PingRequest
}

// resumeAfterPause drops what this process concluded while it did not run, late ms after its tick: nobody could answer it.
func (v *View) resumeAfterPause(late float64) {
	v.probes, v.probeOrder = map[uint32]*probe{}, nil
	v.noAccusationsUntil = v.now + v.settings.PauseGrace
	for _, peer := range v.ring {
		peer.missedProbes = 0
		if peer.State == Suspect {
			peer.suspicionEnds += late + v.settings.SuspicionTimeout
		}
	}
}

// confirmedByOthers reports whether a process other than peer has answered since a time, so that this process's own links work.
func (v *View) confirmedByOthers(peer *member, since float64) bool {
	if v.now < v.noAccusationsUntil {
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

// probeWatchedPeers probes the peers that this process watches. An isolated process goes round the whole ring instead.
func (v *View) probeWatchedPeers() {
	own := slices.Index(v.ring, v.self)
	n := len(v.ring)
	if v.isolated() {
		v.probeAroundRing(own)
		return
	}
	watched := 0
	limit := maxWatchFactor * v.settings.WatchedPeers
	for k := 1; k < n && watched < v.settings.WatchedPeers && k <= limit; k++ {
		peer := v.ring[(own+k)%n]
		v.sendProbe(probe{member: peer})
		if peer.reachable() {
			watched++
		}
	}
}

func (v *View) probeAroundRing(own int) {
	n := len(v.ring)
	for range min(isolatedProbes, n-1) {
		v.nextOnRing++
		if v.nextOnRing%n == 0 { // this process itself
			v.nextOnRing++
		}
		v.sendProbe(probe{member: v.ring[(own+v.nextOnRing)%n]})
	}
}

// sendProbe pings the member of a probe.
func (v *View) sendProbe(p probe) {
	v.sequence++
	p.sentAt = v.now
	v.probes[v.sequence] = &p
	v.probeOrder = append(v.probeOrder, v.sequence)
	v.send(p.member, &Message{Kind: Ping, Sequence: v.sequence, Target: p.member.ID})
}

// randomPeers draws up to n peers of the ring, other than this process and one more.
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

// reconnect probes failed peers in turn, and contacts a seed where this process knows nobody or is isolated.
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

// contactSeed starts an exchange with the next seed that is not this process.
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

// handleProbeTimeouts escalates or ends the probes that have no answer.
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

// continueProbe ends a probe after two timeouts, and tries indirect probes after the first. It reports whether the probe still waits.
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

// probeFailed records that a peer answered neither directly nor through others.
func (v *View) probeFailed(pending *probe) {
	peer := pending.member
	peer.missedProbes++
	v.countsStale = true
	if peer.State == Alive && v.confirmedByOthers(peer, pending.sentAt) {
		v.setState(peer, Suspect)
	}
}

// expireSuspicions marks the suspects failed that did not refute the suspicion in time.
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
		v.noteContact(sender)
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
	if sender != nil && sender.State == Failed { // it runs, and may know other processes that were given up too
		v.requestExchange(sender, v.settings.ReconnectInterval)
	}
}

func (v *View) handlePing(sender *member, message *Message) {
	switch {
	case sender == nil:
	case message.Target == v.self.ID:
		v.send(sender, &Message{Kind: Ack, Sequence: message.Sequence, Target: v.self.ID})
	default: // the sender looks for a previous process at this address
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
	if pending.member.ID != message.Target { // a helper acknowledged the request, the target has not answered
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
