package view

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"beechgrade/internal/invariant"
	"github.com/cespare/xxhash/v2"
)

const (
	repeats  = 3  // news goes out so many times the logarithm of the fleet's size
	search   = 16 // processes that one which nobody answers looks at in a round
	seekMost = 4  // of the failed that are sought in a round, where there are many
)

// View is one process's. It is not safe for concurrent use.
type View struct {
	set   Settings
	pcg   *rand.PCG
	rng   *rand.Rand
	now   float64
	out   []Action
	self  *member
	all   map[ID]*member
	holds map[string]*member // by address: the youngest that was heard of there
	ring  []*member          // alive and suspect ones, this process included, by their place
	lost  []*member          // failed ones, to be sought in turn
	news  []*news
	tries map[uint32]*try
	order []uint32 // of tries, the oldest first
	seq   uint32
	seek  int // next of lost
	walk  int // next of the ring for one that nobody answers
	seeds int // next of the seeds

	began     float64
	tickAt    float64
	probeAt   float64
	gossipAt  float64
	tradeAt   float64
	seekAt    float64
	calmUntil float64 // it stood still: until then it accuses nobody
	ackAt     float64 // somebody answered then last
	ackFrom   ID
	ackOther  float64 // ...and somebody other than that one
	tradedAt  map[ID]float64
	suspects  int
	forgetAt  float64
	counts    Counts
	countedAt float64
	stale     bool // counts have to be made anew
	settled   bool // somebody has been heard
	left      bool
	stranger  int // records that could not be taken

	checks *invariant.Checks // nil where nothing is checked
	every  int
	walks  int
}

// member is one process.
type member struct {
	Record
	place    uint64
	deadline float64 // of its suspicion
	goneAt   float64 // it could not be reached, or failed, or left, since then; 0 where it is well
	missed   int     // probes of this process that it did not answer, in a row
	metAt    float64 // told directly by it last
}

// New makes the view of a process that knows nobody.
func New(set Settings, me Record, now float64) *View {
	pcg := rand.NewPCG(set.Seed, uint64(me.ID))
	v := &View{set: set, pcg: pcg, rng: rand.New(pcg), now: now, all: map[ID]*member{}, holds: map[string]*member{}, tries: map[uint32]*try{}, tradedAt: map[ID]float64{}}
	me.State = Alive
	v.self = &member{Record: me, place: place(me.ID)}
	v.all[me.ID], v.holds[me.Addr] = v.self, v.self
	v.ring = []*member{v.self}
	v.began, v.tickAt = now, now
	v.probeAt = now + set.Probe*v.rng.Float64()
	v.gossipAt = now + set.Gossip*v.rng.Float64()
	v.tradeAt = now + set.Exchange*(0.5+v.rng.Float64())
	v.seekAt, v.ackAt, v.ackOther = now, math.Inf(-1), math.Inf(-1)
	return v
}

func place(id ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// Handle takes one event and appends what is to be done to out.
func (v *View) Handle(now float64, e Event, out []Action) []Action {
	v.now, v.out = max(now, v.now), out
	if v.left {
		return out
	}
	switch e := e.(type) {
	case Tick:
		v.tick()
	case Heard:
		v.heard(e.Message)
	case Exchanged:
		v.exchanged(e.Records)
	case Drain:
		if v.self.Draining != e.On {
			v.self.Draining = e.On
			v.raise(v.self.Inc + 1)
		}
	case Leave:
		v.leave()
	}
	if v.checks.On() && !v.left {
		v.checks.Walk(&v.walks, v.every, "view: the walk", v.look)
	}
	return v.out
}

// Next is when a Tick is due.
func (v *View) Next() float64 { return v.tickAt + v.set.Step }

func (v *View) act(a Action) { v.out = append(v.out, a) }

func (v *View) tick() {
	late := v.now - v.tickAt - v.set.Step
	if v.tickAt = v.now; late > v.set.Timeout {
		v.stoodStill(late)
	}
	v.overdue()
	if v.now >= v.seekAt {
		v.seekAt = v.now + v.set.Reconnect
		v.lookOut()
	}
	if v.now >= v.probeAt {
		v.probeAt = max(v.probeAt+v.set.Probe, v.now)
		v.round()
	}
	if v.now >= v.gossipAt {
		v.gossipAt = max(v.gossipAt+v.set.Gossip, v.now)
		v.gossip()
	}
	if v.now >= v.tradeAt {
		v.tradeAt = v.now + v.set.Exchange*(0.5+v.rng.Float64())
		if m := v.any(1, nil); len(m) > 0 {
			v.trade(m[0], 0)
		}
	}
	v.suspicions()
	v.forget()
}

// send sends a message with what is new; what is said against the process that it goes to comes first.
func (v *View) send(m *member, x *Message) {
	x.From = v.self.ID
	left := v.set.Packet
	if m.metAt == 0 || m.missed > 0 || m.State == Failed { // whoever is there may not know who asks, and could not answer
		x.Records = append(x.Records, v.self.Record)
		left -= v.self.Size()
	}
	if m.State == Suspect || m.State == Failed {
		x.Records = append(x.Records, m.Record)
		left -= m.Size()
	}
	v.fill(x, m, left)
	v.act(Action{Kind: Send, Addr: m.Addr, Message: x})
}

// met notes that a process was heard directly.
func (v *View) met(m *member) {
	m.metAt = v.now
	v.settled = true
	if m.Name == v.self.Name && m.Addr != v.self.Addr && m.State != Left {
		v.giveWay(m)
	}
}

// leave tells everybody that this process ends.
func (v *View) leave() {
	v.self.State = Left
	for _, m := range v.ring {
		if m != v.self {
			v.act(Action{Kind: Send, Addr: m.Addr, Message: &Message{Kind: Gossip, From: v.self.ID, Records: []Record{v.self.Record}}})
		}
	}
	v.left = true
}

// countEvery is how old counts may be that only time can have changed, in ms.
const countEvery = 250

// Counts are what the view comes to now.
func (v *View) Counts() Counts {
	if !v.stale && v.now-v.countedAt < countEvery {
		return v.counts
	}
	c := Counts{Reachable: 1, Sending: 1, Alone: v.alone() && len(v.all) > 1}
	for _, m := range v.all {
		switch {
		case m == v.self || m.State == Left:
		case m.State == Failed:
			if v.now-m.goneAt < v.set.Hold {
				c.Sending++
			}
		default:
			c.Sending++
			if m.State == Alive && m.missed < 2 && !c.Alone {
				c.Reachable++
			}
		}
	}
	there := max(v.set.Expect, c.Sending)
	c.Majority = 2*c.Reachable > there
	if !c.Majority || v.now-v.began < v.set.Hold {
		c.Sending = there
	}
	v.counts, v.countedAt, v.stale = c, v.now, false
	return c
}

// Members are all that are known, this process included, by ID.
func (v *View) Members() []Record {
	out := make([]Record, 0, len(v.all))
	for _, m := range v.members() {
		out = append(out, m.Record)
	}
	return out
}

// Self is this process's record.
func (v *View) Self() Record { return v.self.Record }

// Strangers is how many records could not be taken.
func (v *View) Strangers() int { return v.stranger }
