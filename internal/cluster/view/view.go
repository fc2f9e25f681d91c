package view

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"beechgrade/internal/invariant"
	"github.com/cespare/xxhash/v2"
)

// maxCountsAgeMs is the age at which counts are recomputed even if no record has changed, as time alone can change them.
const maxCountsAgeMs = 250

// unreachableProbes is the number of missed probes in a row from which a peer counts as unreachable.
const unreachableProbes = 2

// View is one process's view of the fleet. It is not safe for concurrent use.
type View struct {
	settings  Settings
	pcg       *rand.PCG
	rng       *rand.Rand
	now       float64
	actions   []Action
	self      *member
	members   map[ID]*member
	byAddress map[string]*member // the youngest known process at each address
	ring      []*member          // the alive and suspect members, this process included, by ringPosition
	failed    []*member

	updates      []*update
	probes       map[uint32]*probe // pending probes, by sequence number
	probeOrder   []uint32          // sequence numbers of probes, the oldest first
	sequence     uint32
	nextFailed   int // index in failed
	nextOnRing   int // offset on the ring, while isolated
	nextSeed     int // index in SeedAddresses
	suspectCount int

	// Times, in ms.
	startedAt         float64
	lastTick          float64
	nextProbe         float64
	nextGossip        float64
	nextExchange      float64
	nextReconnect     float64
	nextCleanup       float64
	noSuspicionsUntil float64 // set after a pause of this process
	lastAck           float64
	lastAckFrom       ID
	lastAckFromOther  float64 // the last Ack of a process other than lastAckFrom
	lastExchange      map[ID]float64

	counts          Counts
	countedAt       float64
	countsStale     bool
	contacted       bool // a message of another process has arrived
	hasLeft         bool
	rejectedRecords int

	checks        *invariant.Checks // nil if invariants are not checked
	checkInterval int               // in events
	checkCounter  int
}

// member is what this process knows of one process.
type member struct {
	Record
	ringPosition     uint64
	suspicionEnds    float64
	unavailableSince float64 // when it failed or left; 0 while it is alive or suspect
	missedProbes     int     // probes by this process in a row that it did not answer
	lastContact      float64 // time of its last message to this process
	conflictReported bool    // a NameConflict with this process was reported
}

// reachable reports whether a peer answers this process.
func (m *member) reachable() bool { return m.State == Alive && m.missedProbes < unreachableProbes }

// New returns the view of a process that knows no other process, at time now in ms.
func New(settings Settings, self Record, now float64) *View {
	pcg := rand.NewPCG(settings.RandomSeed, uint64(self.ID))
	v := &View{
		settings: settings, pcg: pcg, rng: rand.New(pcg), now: now,
		members: map[ID]*member{}, byAddress: map[string]*member{}, probes: map[uint32]*probe{}, lastExchange: map[ID]float64{},
	}
	self.State = Alive
	v.self = &member{Record: self, ringPosition: ringPosition(self.ID)}
	v.members[self.ID] = v.self
	v.byAddress[self.Addr] = v.self
	v.ring = []*member{v.self}
	v.startedAt, v.lastTick = now, now
	v.nextProbe = now + settings.ProbeInterval*v.rng.Float64()
	v.nextGossip = now + settings.GossipInterval*v.rng.Float64()
	v.nextExchange = now + settings.ExchangeInterval*(0.5+v.rng.Float64())
	v.nextReconnect = now
	v.lastAck, v.lastAckFromOther = math.Inf(-1), math.Inf(-1)
	return v
}

// ringPosition returns the position of an ID on the ring.
func ringPosition(id ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// Handle processes one event at time now, in ms, and appends the actions that it causes to out. After Leave it does nothing.
func (v *View) Handle(now float64, event Event, out []Action) []Action {
	v.now, v.actions = max(now, v.now), out
	if v.hasLeft {
		return out
	}
	switch e := event.(type) {
	case Tick:
		v.tick()
	case Received:
		v.handleMessage(e.Message)
	case ExchangeCompleted:
		v.handleExchange(e.Records)
	case SetDraining:
		if v.self.Draining != e.Draining {
			v.self.Draining = e.Draining
			v.raiseIncarnation(v.self.Incarnation + 1)
		}
	case Leave:
		v.leave()
	}
	if v.checks.Enabled() && !v.hasLeft {
		v.checks.Walk(&v.checkCounter, v.checkInterval, "view: the state", v.checkState)
	}
	return v.actions
}

// NextTick returns when the next Tick is due, in ms.
func (v *View) NextTick() float64 { return v.lastTick + v.settings.TickInterval }

func (v *View) emit(action Action) { v.actions = append(v.actions, action) }

func (v *View) tick() {
	overdue := v.now - v.lastTick - v.settings.TickInterval
	v.lastTick = v.now
	if overdue > v.settings.ProbeTimeout {
		v.resumeAfterPause(overdue)
	}
	v.handleProbeTimeouts()
	if v.now >= v.nextReconnect {
		v.nextReconnect = v.now + v.settings.ReconnectInterval
		v.reconnect()
	}
	if v.now >= v.nextProbe {
		v.nextProbe = max(v.nextProbe+v.settings.ProbeInterval, v.now)
		v.probeWatchedPeers()
	}
	if v.now >= v.nextGossip {
		v.nextGossip = max(v.nextGossip+v.settings.GossipInterval, v.now)
		v.gossip()
	}
	if v.now >= v.nextExchange {
		v.nextExchange = v.now + v.settings.ExchangeInterval*(0.5+v.rng.Float64())
		for _, peer := range v.randomPeers(1, nil) {
			v.requestExchange(peer, 0)
		}
	}
	v.expireSuspicions()
	v.removeExpired()
}

// recordContact records that a message from a peer has arrived.
func (v *View) recordContact(peer *member) {
	peer.lastContact = v.now
	v.contacted = true
	if peer.Name == v.self.Name && peer.Addr != v.self.Addr && peer.State != Left {
		v.resolveNameConflict(peer)
	}
}

// leave announces to all running peers that this process ends.
func (v *View) leave() {
	v.self.State = Left
	for _, peer := range v.ring {
		if peer != v.self {
			message := &Message{Kind: Gossip, From: v.self.ID, Records: []Record{v.self.Record}}
			v.emit(Action{Kind: Send, Addr: peer.Addr, Message: message})
		}
	}
	v.hasLeft = true
}

// Counts returns the view's counts, which are at most maxCountsAgeMs old.
func (v *View) Counts() Counts {
	if !v.countsStale && v.now-v.countedAt < maxCountsAgeMs {
		return v.counts
	}
	counts := Counts{Reachable: 1, Sending: 1, Isolated: v.isolated() && len(v.members) > 1}
	for _, peer := range v.members {
		switch {
		case peer == v.self || peer.State == Left:
		case peer.State == Failed:
			if v.now-peer.unavailableSince < v.settings.SendingTimeout {
				counts.Sending++
			}
		default:
			counts.Sending++
			if peer.reachable() && !counts.Isolated {
				counts.Reachable++
			}
		}
	}
	expected := max(v.settings.ExpectedPoolers, counts.Sending)
	counts.Majority = 2*counts.Reachable > expected
	if !counts.Majority || v.now-v.startedAt < v.settings.SendingTimeout {
		counts.Sending = expected
	}
	v.counts, v.countedAt, v.countsStale = counts, v.now, false
	return counts
}

// Members returns the records of all known processes, this one included, by ID.
func (v *View) Members() []Record {
	out := make([]Record, 0, len(v.members))
	for _, peer := range v.sortedMembers() {
		out = append(out, peer.Record)
	}
	return out
}

// Self returns this process's record.
func (v *View) Self() Record { return v.self.Record }

// RejectedRecords returns how many received records were rejected because they were invalid or the view was full.
func (v *View) RejectedRecords() int { return v.rejectedRecords }
