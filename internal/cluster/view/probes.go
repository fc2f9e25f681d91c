package view

import "slices"

// probe is a probe that is out.
type probe struct {
	member          *member
	sentAt          float64
	indirect        bool // others have been asked
	reconnect       bool // of one that has failed
	onBehalfOf      ID   // on whose behalf
	requestSequence uint32
}

// resumeAfterPause takes back what this process thought while it did not run: nobody could answer it.
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

// confirmedByOthers tells whether somebody other than m has answered since then: it is not this process's own links that are silent.
func (v *View) confirmedByOthers(peer *member, since float64) bool {
	at := v.lastAck
	if v.lastAckFrom == peer.ID {
		at = v.lastAckFromOther
	}
	return v.now >= v.noAccusationsUntil && (v.settings.Confirmations == 0 || at > since)
}

// isolated tells whether nobody has answered for a while.
func (v *View) isolated() bool {
	return v.now-max(v.lastAck, v.lastAckFromOther, v.startedAt) > 3*v.settings.ProbeInterval
}

// probeWatchedPeers probes those that this process watches.
func (v *View) probeWatchedPeers() {
	i := slices.Index(v.ring, v.self)
	n := len(v.ring)
	if v.isolated() { // it goes round the whole ring for anybody who answers
		for range min(isolatedProbes, n-1) {
			if v.nextOnRing++; v.nextOnRing%n == 0 {
				v.nextOnRing++
			}
			v.sendProbe(v.ring[(i+v.nextOnRing)%n], false, 0, 0)
		}
		return
	}
	watched := 0
	for k := 1; k < n && watched < v.settings.WatchedPeers && k <= 8*v.settings.WatchedPeers; k++ {
		peer := v.ring[(i+k)%n]
		if v.sendProbe(peer, false, 0, 0); peer.State == Alive && peer.missedProbes < 2 {
			watched++
		}
	}
}

// sendProbe asks a process whether it is there.
func (v *View) sendProbe(peer *member, seek bool, helped ID, seq uint32) {
	v.sequence++
	v.probes[v.sequence] = &probe{member: peer, sentAt: v.now, reconnect: seek, onBehalfOf: helped, requestSequence: seq}
	v.probeOrder = append(v.probeOrder, v.sequence)
	v.send(peer, &Message{Kind: Ping, Sequence: v.sequence, Target: peer.ID})
}

func (v *View) moveToFront(n *update) {
	i := slices.Index(v.updates, n)
	copy(v.updates[1:i+1], v.updates[:i])
	v.updates[0] = n
}

// randomPeers draws processes that are taken for running, other than this one and one more.
func (v *View) randomPeers(n int, not *member) (out []*member) {
	for range 4 * n {
		if len(out) == n || len(v.ring) < 2 {
			break
		}
		peer := v.ring[v.rng.IntN(len(v.ring))]
		if peer != v.self && peer != not && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

// reconnect seeks one that has failed, and a seed where nobody is known.
func (v *View) reconnect() {
	if n := len(v.failed); n > 0 {
		for range min(maxReconnects, 1+n/max(1, len(v.ring)), n) {
			v.nextFailed = (v.nextFailed + 1) % n
			v.sendProbe(v.failed[v.nextFailed], true, 0, 0)
		}
	}
	if n := len(v.settings.SeedAddresses); n > 0 && (!v.contacted || v.isolated()) {
		for range n {
			v.nextSeed = (v.nextSeed + 1) % n
			if a := v.settings.SeedAddresses[v.nextSeed]; a != v.self.Addr {
				v.emit(Action{Kind: StartExchange, Addr: a})
				break
			}
		}
	}
}

// handleProbeTimeouts goes on with probes that have no answer.
func (v *View) handleProbeTimeouts() {
	remaining := v.probeOrder[:0]
	for _, sequence := range v.probeOrder {
		pending := v.probes[sequence]
		if pending == nil {
			continue
		}
		switch age := v.now - pending.sentAt; {
		case pending.onBehalfOf != 0 || pending.reconnect:
			if age >= 2*v.settings.ProbeTimeout {
				delete(v.probes, sequence)
				continue
			}
		case age >= 2*v.settings.ProbeTimeout:
			delete(v.probes, sequence)
			v.probeFailed(pending)
			continue
		case age >= v.settings.ProbeTimeout && !pending.indirect:
			pending.indirect = true
			for _, h := range v.randomPeers(v.settings.IndirectProbes, pending.member) {
				v.send(h, &Message{Kind: PingRequest, Sequence: sequence, Target: pending.member.ID})
			}
			v.send(pending.member, &Message{Kind: Ping, Sequence: sequence, Target: pending.member.ID})
		}
		remaining = append(remaining, sequence)
	}
	v.probeOrder = remaining
}

// probeFailed notes that a process answered neither directly nor by way of others.
func (v *View) probeFailed(pending *probe) {
	peer := pending.member
	peer.missedProbes++
	v.countsStale = true
	if peer.State == Alive && v.confirmedByOthers(peer, pending.sentAt) {
		record := peer.Record
		record.State = Suspect
		v.applyRecord(&record)
	}
}

// expireSuspicions have those fail that did not refute theirs in time.
func (v *View) expireSuspicions() {
	if v.suspectCount == 0 {
		return
	}
	lately := v.now - v.settings.ProbeInterval - 2*v.settings.ProbeTimeout - 2*v.settings.TickInterval
	for _, peer := range slices.Clone(v.ring) {
		if peer.State == Suspect && v.now >= peer.suspicionEnds && v.confirmedByOthers(peer, lately) {
			record := peer.Record
			record.State = Failed
			v.applyRecord(&record)
		}
	}
}

func (v *View) handleMessage(message *Message) {
	if message.From == v.self.ID {
		return
	}
	from := v.members[message.From]
	if from != nil {
		v.noteContact(from)
	}
	for i := range message.Records {
		v.applyRecord(&message.Records[i])
	}
	from = v.members[message.From]
	switch message.Kind {
	case Ping:
		if from != nil && message.Target == v.self.ID {
			v.send(from, &Message{Kind: Ack, Sequence: message.Sequence, Target: v.self.ID})
		} else if from != nil { // one that was here before is looked for
			v.requestExchange(from, v.settings.ReconnectInterval)
		}
	case PingRequest:
		if peer := v.members[message.Target]; from != nil && peer != nil && peer != v.self {
			v.send(from, &Message{Kind: Ack, Sequence: message.Sequence, Target: v.self.ID}) // it is here, and asks
			v.sendProbe(peer, false, from.ID, message.Sequence)
		}
	case Ack:
		v.handleAck(message)
	}
	if from != nil && from.State == Failed { // it runs, and knows others that may have been given up too
		v.requestExchange(from, v.settings.ReconnectInterval)
	}
}

func (v *View) handleAck(message *Message) {
	pending := v.probes[message.Sequence]
	if pending == nil || pending.member.ID != message.Target && message.Target != message.From {
		return
	}
	if v.lastAckFrom != message.From {
		v.lastAckFromOther, v.lastAckFrom = v.lastAck, message.From
	}
	if v.lastAck = v.now; pending.member.ID != message.Target { // a helper's word that it asks
		return
	}
	delete(v.probes, message.Sequence)
	if pending.member.missedProbes > 0 {
		pending.member.missedProbes, v.countsStale = 0, true
	}
	if pending.onBehalfOf != 0 {
		if h := v.members[pending.onBehalfOf]; h != nil {
			v.send(h, &Message{Kind: Ack, Sequence: pending.requestSequence, Target: pending.member.ID})
		}
	}
}
