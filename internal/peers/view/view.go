package view

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
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

// news is a record that is to go round.
type news struct {
	m    *member
	sent int
	no   uint32
}

// try is a probe that is out.
type try struct {
	m      *member
	at     float64
	asked  bool // others have been asked
	seek   bool // of one that has failed
	helped ID   // on whose behalf
	seq    uint32
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

// stoodStill takes back what this process thought while it did not run: nobody could answer it.
func (v *View) stoodStill(late float64) {
	v.tries, v.order = map[uint32]*try{}, nil
	v.calmUntil = v.now + v.set.Calm
	for _, m := range v.ring {
		m.missed = 0
		if m.State == Suspect {
			m.deadline += late + v.set.Suspicion
		}
	}
}

// hears tells whether somebody other than m has answered since then: it is not this process's own links that are silent.
func (v *View) hears(m *member, since float64) bool {
	at := v.ackAt
	if v.ackFrom == m.ID {
		at = v.ackOther
	}
	return v.now >= v.calmUntil && (v.set.Confirm == 0 || at > since)
}

// alone tells whether nobody has answered for a while.
func (v *View) alone() bool {
	return v.now-max(v.ackAt, v.ackOther, v.began) > 3*v.set.Probe
}

// round probes those that this process watches.
func (v *View) round() {
	i := slices.Index(v.ring, v.self)
	n := len(v.ring)
	if v.alone() { // it goes round the whole ring for anybody who answers
		for range min(search, n-1) {
			if v.walk++; v.walk%n == 0 {
				v.walk++
			}
			v.probe(v.ring[(i+v.walk)%n], false, 0, 0)
		}
		return
	}
	watched := 0
	for k := 1; k < n && watched < v.set.Watched && k <= 8*v.set.Watched; k++ {
		m := v.ring[(i+k)%n]
		if v.probe(m, false, 0, 0); m.State == Alive && m.missed < 2 {
			watched++
		}
	}
}

// probe asks a process whether it is there.
func (v *View) probe(m *member, seek bool, helped ID, seq uint32) {
	v.seq++
	v.tries[v.seq] = &try{m: m, at: v.now, seek: seek, helped: helped, seq: seq}
	v.order = append(v.order, v.seq)
	v.send(m, &Message{Kind: Ping, Seq: v.seq, Target: m.ID})
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

// fill adds news to a message, those that went out least first.
func (v *View) fill(x *Message, to *member, left int) {
	most := repeats * bits.Len(uint(len(v.ring)))
	kept := v.news[:0]
	for _, n := range v.news {
		if n.sent >= most {
			continue
		}
		kept = append(kept, n)
	}
	clear(v.news[len(kept):])
	v.news = kept
	sent := false
	for _, n := range v.news {
		if size := n.m.Size(); n.m != to && size <= left {
			x.Records = append(x.Records, n.m.Record)
			left -= size
			n.sent++
			sent = true
		}
		if left < 40 {
			break
		}
	}
	if sent {
		slices.SortStableFunc(v.news, func(a, b *news) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.no, a.no)) })
	}
}

// tell has a record go round.
func (v *View) tell(m *member) {
	v.seq++
	for _, n := range v.news {
		if n.m == m {
			n.sent, n.no = 0, v.seq
			v.first(n)
			return
		}
	}
	n := &news{m: m, no: v.seq}
	v.news = append(v.news, n)
	v.first(n)
}

func (v *View) first(n *news) {
	i := slices.Index(v.news, n)
	copy(v.news[1:i+1], v.news[:i])
	v.news[0] = n
}

// any draws processes that are taken for running, other than this one and one more.
func (v *View) any(n int, not *member) (out []*member) {
	for range 4 * n {
		if len(out) == n || len(v.ring) < 2 {
			break
		}
		m := v.ring[v.rng.IntN(len(v.ring))]
		if m != v.self && m != not && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

func (v *View) gossip() {
	if len(v.news) == 0 {
		return
	}
	for _, m := range v.any(v.set.Fanout, nil) {
		x := &Message{Kind: Gossip}
		if v.send(m, x); len(x.Records) == 0 {
			v.out = v.out[:len(v.out)-1]
		}
	}
}

// trade has a full exchange with a process, unless there was one within the pause.
func (v *View) trade(m *member, pause float64) {
	if at, ok := v.tradedAt[m.ID]; ok && v.now-at < pause {
		return
	}
	v.tradedAt[m.ID] = v.now
	v.act(Action{Kind: Trade, Addr: m.Addr})
}

// lookOut seeks one that has failed, and a seed where nobody is known.
func (v *View) lookOut() {
	if n := len(v.lost); n > 0 {
		for range min(seekMost, 1+n/max(1, len(v.ring)), n) {
			v.seek = (v.seek + 1) % n
			v.probe(v.lost[v.seek], true, 0, 0)
		}
	}
	if n := len(v.set.Seeds); n > 0 && (!v.settled || v.alone()) {
		for range n {
			v.seeds = (v.seeds + 1) % n
			if a := v.set.Seeds[v.seeds]; a != v.self.Addr {
				v.act(Action{Kind: Trade, Addr: a})
				break
			}
		}
	}
}

// overdue goes on with probes that have no answer.
func (v *View) overdue() {
	kept := v.order[:0]
	for _, no := range v.order {
		t := v.tries[no]
		if t == nil {
			continue
		}
		switch age := v.now - t.at; {
		case t.helped != 0 || t.seek:
			if age >= 2*v.set.Timeout {
				delete(v.tries, no)
				continue
			}
		case age >= 2*v.set.Timeout:
			delete(v.tries, no)
			v.silent(t)
			continue
		case age >= v.set.Timeout && !t.asked:
			t.asked = true
			for _, h := range v.any(v.set.Helpers, t.m) {
				v.send(h, &Message{Kind: Ask, Seq: no, Target: t.m.ID})
			}
			v.send(t.m, &Message{Kind: Ping, Seq: no, Target: t.m.ID})
		}
		kept = append(kept, no)
	}
	v.order = kept
}

// silent notes that a process answered neither directly nor by way of others.
func (v *View) silent(t *try) {
	m := t.m
	m.missed++
	v.stale = true
	if m.State == Alive && v.hears(m, t.at) {
		r := m.Record
		r.State = Suspect
		v.take(&r)
	}
}

// suspicions have those fail that did not refute theirs in time.
func (v *View) suspicions() {
	if v.suspects == 0 {
		return
	}
	lately := v.now - v.set.Probe - 2*v.set.Timeout - 2*v.set.Step
	for _, m := range slices.Clone(v.ring) {
		if m.State == Suspect && v.now >= m.deadline && v.hears(m, lately) {
			r := m.Record
			r.State = Failed
			v.take(&r)
		}
	}
}

func (v *View) heard(x *Message) {
	if x.From == v.self.ID {
		return
	}
	from := v.all[x.From]
	if from != nil {
		v.met(from)
	}
	for i := range x.Records {
		v.take(&x.Records[i])
	}
	from = v.all[x.From]
	switch x.Kind {
	case Ping:
		if from != nil && x.Target == v.self.ID {
			v.send(from, &Message{Kind: Ack, Seq: x.Seq, Target: v.self.ID})
		} else if from != nil { // one that was here before is looked for
			v.trade(from, v.set.Reconnect)
		}
	case Ask:
		if m := v.all[x.Target]; from != nil && m != nil && m != v.self {
			v.send(from, &Message{Kind: Ack, Seq: x.Seq, Target: v.self.ID}) // it is here, and asks
			v.probe(m, false, from.ID, x.Seq)
		}
	case Ack:
		v.acked(x)
	}
	if from != nil && from.State == Failed { // it runs, and knows others that may have been given up too
		v.trade(from, v.set.Reconnect)
	}
}

// met notes that a process was heard directly.
func (v *View) met(m *member) {
	m.metAt = v.now
	v.settled = true
	if m.Name == v.self.Name && m.Addr != v.self.Addr && m.State != Left {
		v.giveWay(m)
	}
}

func (v *View) acked(x *Message) {
	t := v.tries[x.Seq]
	if t == nil || t.m.ID != x.Target && x.Target != x.From {
		return
	}
	if v.ackFrom != x.From {
		v.ackOther, v.ackFrom = v.ackAt, x.From
	}
	if v.ackAt = v.now; t.m.ID != x.Target { // a helper's word that it asks
		return
	}
	delete(v.tries, x.Seq)
	if t.m.missed > 0 {
		t.m.missed, v.stale = 0, true
	}
	if t.helped != 0 {
		if h := v.all[t.helped]; h != nil {
			v.send(h, &Message{Kind: Ack, Seq: t.seq, Target: t.m.ID})
		}
	}
}

// exchanged takes the other side's records.
func (v *View) exchanged(records []Record) {
	for i := range records {
		if i == 0 { // its own comes first
			if m := v.all[records[i].ID]; m != nil && m != v.self {
				v.met(m)
			}
		}
		v.take(&records[i])
	}
	v.settled = v.settled || len(records) > 0 && records[0].ID != v.self.ID
}

// Records are all that this process knows, its own first: its side of a full exchange.
func (v *View) Records() []Record {
	out := []Record{v.self.Record}
	for _, m := range v.members() {
		if m != v.self {
			out = append(out, m.Record)
		}
	}
	return out
}

// members are all that are known, by ID.
func (v *View) members() []*member {
	out := make([]*member, 0, len(v.all))
	for _, m := range v.all {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// take takes a record, where it is a later word than what is known.
func (v *View) take(r *Record) {
	if !r.Good() {
		v.stranger++
		return
	}
	if r.ID == v.self.ID {
		if r.State == Suspect || r.State == Failed || r.Inc > v.self.Inc { // it is said of one that runs
			if r.Inc >= v.self.Inc {
				v.raise(r.Inc + 1)
			}
		}
		return
	}
	m := v.all[r.ID]
	fresh := m == nil
	if fresh {
		if len(v.all) >= MostRecords {
			v.stranger++
			return
		}
		m = &member{Record: *r, place: place(r.ID)}
		v.all[r.ID] = m
	} else if compare(r, &m.Record) <= 0 {
		return
	}
	was := m.State
	if !fresh && was == Suspect {
		v.suspects--
	}
	if r.Addr != m.Addr && v.holds[m.Addr] == m {
		delete(v.holds, m.Addr)
	}
	m.Record, v.stale = *r, true
	switch m.State {
	case Alive:
		m.missed, m.goneAt = 0, 0
	case Suspect:
		v.suspects++
		m.goneAt = 0 // a later word than its failure: it was there in between
		m.deadline = v.now + v.set.Suspicion
	default:
		if m.goneAt == 0 {
			m.goneAt = v.now
		}
	}
	v.file(m)
	v.tell(m)
	v.act(Action{Kind: Changed, Record: m.Record, Was: was, New: fresh})
	if m.State == Alive {
		v.displace(m)
	}
}

// file puts a process among those that run, or among the lost, or in neither.
func (v *View) file(m *member) {
	at, on := slices.BinarySearchFunc(v.ring, m, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.ID, b.ID))
	})
	switch runs := m.State <= Suspect; {
	case runs && !on:
		v.ring = slices.Insert(v.ring, at, m)
	case !runs && on:
		v.ring = slices.Delete(v.ring, at, at+1)
	}
	i := slices.Index(v.lost, m)
	switch {
	case m.State == Failed && i < 0:
		v.lost = append(v.lost, m)
	case m.State != Failed && i >= 0:
		v.lost = slices.Delete(v.lost, i, i+1)
	}
}

// displace has an older process leave whose name and address a younger one has: only one can hold the address.
func (v *View) displace(m *member) {
	o := v.holds[m.Addr]
	if o == nil || o == m || o.State == Left || o.Name != m.Name {
		if o == nil || o.ID < m.ID {
			v.holds[m.Addr] = m
		}
		return
	}
	old, young := o, m
	if old.ID > young.ID {
		old, young = young, old
	}
	v.holds[m.Addr] = young
	if old == v.self { // it holds the address: the other has ended, and began by a clock that was ahead
		v.act(Action{Kind: Conflict, Text: fmt.Sprintf("process %x was at %s before this one and is younger by its clock: this one takes a later ID", uint64(young.ID), young.Addr)})
		v.renew(young)
		return
	}
	r := old.Record
	r.State = Left
	v.take(&r)
}

// renew has this process go by an ID that is later than another's.
func (v *View) renew(than *member) {
	id := (than.ID>>16+1)<<16 | v.self.ID&0xffff
	delete(v.all, v.self.ID)
	v.ring = slices.DeleteFunc(v.ring, func(m *member) bool { return m == v.self })
	v.self.ID, v.self.place = id, place(id)
	v.all[id], v.holds[v.self.Addr] = v.self, v.self
	v.file(v.self)
	r := than.Record
	r.State = Left
	v.take(&r)
	v.raise(v.self.Inc + 1)
}

// giveWay settles who keeps a name that two processes have at different addresses, each of which runs: the older one.
func (v *View) giveWay(m *member) {
	if m.ID > v.self.ID {
		if m.missed >= 0 && v.tradedAt[^m.ID] == 0 { // said once
			v.tradedAt[^m.ID] = v.now
			v.act(Action{Kind: Conflict, Text: fmt.Sprintf("a younger process at %s has this one's name %q; it is to give way", m.Addr, m.Name)})
		}
		return
	}
	name := fmt.Sprintf("%.48s~%x", v.self.Name, uint64(v.self.ID)&0xffffff)
	v.act(Action{Kind: Conflict, Text: fmt.Sprintf("an older process at %s has the name %q: this one goes by %q", m.Addr, m.Name, name)})
	v.self.Name = name
	v.raise(v.self.Inc + 1)
}

// raise gives this process a later word on itself.
func (v *View) raise(inc uint32) {
	v.self.Inc = inc
	v.tell(v.self)
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

// forget drops what has been gone for long.
func (v *View) forget() {
	if v.now < v.forgetAt {
		return
	}
	v.forgetAt = v.now + v.set.Reconnect
	for _, m := range v.all {
		if m.State >= Failed && v.now-m.goneAt >= v.set.Forget {
			delete(v.all, m.ID)
			delete(v.tradedAt, m.ID)
			delete(v.tradedAt, ^m.ID)
			if v.holds[m.Addr] == m {
				delete(v.holds, m.Addr)
			}
			v.stale = true
			if i := slices.Index(v.lost, m); i >= 0 {
				v.lost = slices.Delete(v.lost, i, i+1)
			}
			v.news = slices.DeleteFunc(v.news, func(n *news) bool { return n.m == m })
		}
	}
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
