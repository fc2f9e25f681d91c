package view

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"beechgrade/internal/invariant"
	"github.com/cespare/xxhash/v2"
)

const (
	updateRepeats  = 3  // news goes out so many times the logarithm of the fleet's size
	isolatedProbes = 16 // processes that one which nobody answers looks at in a round
	maxReconnects  = 4  // of the failed that are sought in a round, where there are many
)

// View is one process's. It is not safe for concurrent use.
type View struct {
	settings   Settings
	pcg        *rand.PCG
	rng        *rand.Rand
	now        float64
	actions    []Action
	self       *member
	members    map[ID]*member
	byAddress  map[string]*member // by address: the youngest that was heard of there
	ring       []*member          // alive and suspect ones, this process included, by their place
	failed     []*member          // failed ones, to be sought in turn
	updates    []*update
	probes     map[uint32]*probe
	probeOrder []uint32 // of tries, the oldest first
	sequence   uint32
	nextFailed int // next of lost
	nextOnRing int // next of the ring for one that nobody answers
	nextSeed   int // next of the seeds

	startedAt          float64
	lastTick           float64
	nextProbe          float64
	nextGossip         float64
	nextExchange       float64
	nextReconnect      float64
	noAccusationsUntil float64 // it stood still: until then it accuses nobody
	lastAck            float64 // somebody answered then last
	lastAckFrom        ID
	lastAckFromOther   float64 // ...and somebody other than that one
	lastExchange       map[ID]float64
	suspectCount       int
	nextCleanup        float64
	counts             Counts
	countedAt          float64
	countsStale        bool // counts have to be made anew
	contacted          bool // somebody has been heard
	hasLeft            bool
	rejectedRecords    int // records that could not be taken

	checks        *invariant.Checks // nil where nothing is checked
	checkInterval int
	checkCounter  int
}

// member is one process.
type member struct {
	Record
	ringPosition     uint64
	suspicionEnds    float64 // of its suspicion
	unavailableSince float64 // it could not be reached, or failed, or left, since then; 0 where it is well
	missedProbes     int     // probes of this process that it did not answer, in a row
	lastContact      float64 // told directly by it last
}

// New makes the view of a process that knows nobody.
func New(set Settings, me Record, now float64) *View {
	pcg := rand.NewPCG(set.RandomSeed, uint64(me.ID))
	v := &View{settings: set, pcg: pcg, rng: rand.New(pcg), now: now, members: map[ID]*member{}, byAddress: map[string]*member{}, probes: map[uint32]*probe{}, lastExchange: map[ID]float64{}}
	me.State = Alive
	v.self = &member{Record: me, ringPosition: ringPosition(me.ID)}
	v.members[me.ID], v.byAddress[me.Addr] = v.self, v.self
	v.ring = []*member{v.self}
	v.startedAt, v.lastTick = now, now
	v.nextProbe = now + set.ProbeInterval*v.rng.Float64()
	v.nextGossip = now + set.GossipInterval*v.rng.Float64()
	v.nextExchange = now + set.ExchangeInterval*(0.5+v.rng.Float64())
	v.nextReconnect, v.lastAck, v.lastAckFromOther = now, math.Inf(-1), math.Inf(-1)
	return v
}

func ringPosition(id ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// Handle takes one event and appends what is to be done to out.
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
		v.checks.Walk(&v.checkCounter, v.checkInterval, "view: the walk", v.checkState)
	}
	return v.actions
}

// NextTick is when a Tick is due.
func (v *View) NextTick() float64 { return v.lastTick + v.settings.TickInterval }

func (v *View) emit(a Action) { v.actions = append(v.actions, a) }

func (v *View) tick() {
	late := v.now - v.lastTick - v.settings.TickInterval
	if v.lastTick = v.now; late > v.settings.ProbeTimeout {
		v.resumeAfterPause(late)
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
		if m := v.randomPeers(1, nil); len(m) > 0 {
			v.requestExchange(m[0], 0)
		}
	}
	v.expireSuspicions()
	v.removeExpired()
}

// send sends a message with what is new; what is said against the process that it goes to comes first.
func (v *View) send(peer *member, message *Message) {
	message.From = v.self.ID
	capacity := v.settings.MaxRecordBytes
	if peer.lastContact == 0 || peer.missedProbes > 0 || peer.State == Failed { // whoever is there may not know who asks, and could not answer
		message.Records = append(message.Records, v.self.Record)
		capacity -= v.self.Size()
	}
	if peer.State == Suspect || peer.State == Failed {
		message.Records = append(message.Records, peer.Record)
		capacity -= peer.Size()
	}
	v.attachUpdates(message, peer, capacity)
	v.emit(Action{Kind: Send, Addr: peer.Addr, Message: message})
}

// noteContact notes that a process was heard directly.
func (v *View) noteContact(peer *member) {
	peer.lastContact = v.now
	v.contacted = true
	if peer.Name == v.self.Name && peer.Addr != v.self.Addr && peer.State != Left {
		v.resolveNameConflict(peer)
	}
}

// leave tells everybody that this process ends.
func (v *View) leave() {
	v.self.State = Left
	for _, peer := range v.ring {
		if peer != v.self {
			v.emit(Action{Kind: Send, Addr: peer.Addr, Message: &Message{Kind: Gossip, From: v.self.ID, Records: []Record{v.self.Record}}})
		}
	}
	v.hasLeft = true
}

// maxCountsAgeMs is how old counts may be that only time can have changed, in ms.
const maxCountsAgeMs = 250

// Counts are what the view comes to now.
func (v *View) Counts() Counts {
	if !v.countsStale && v.now-v.countedAt < maxCountsAgeMs {
		return v.counts
	}
	c := Counts{Reachable: 1, Sending: 1, Isolated: v.isolated() && len(v.members) > 1}
	for _, peer := range v.members {
		switch {
		case peer == v.self || peer.State == Left:
		case peer.State == Failed:
			if v.now-peer.unavailableSince < v.settings.SendingTimeout {
				c.Sending++
			}
		default:
			c.Sending++
			if peer.State == Alive && peer.missedProbes < 2 && !c.Isolated {
				c.Reachable++
			}
		}
	}
	there := max(v.settings.ExpectedPoolers, c.Sending)
	c.Majority = 2*c.Reachable > there
	if !c.Majority || v.now-v.startedAt < v.settings.SendingTimeout {
		c.Sending = there
	}
	v.counts, v.countedAt, v.countsStale = c, v.now, false
	return c
}

// Members are all that are known, this process included, by ID.
func (v *View) Members() []Record {
	out := make([]Record, 0, len(v.members))
	for _, peer := range v.sortedMembers() {
		out = append(out, peer.Record)
	}
	return out
}

// Self is this process's record.
func (v *View) Self() Record { return v.self.Record }

// RejectedRecords is how many records could not be taken.
func (v *View) RejectedRecords() int { return v.rejectedRecords }
