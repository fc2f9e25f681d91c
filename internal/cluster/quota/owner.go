package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type owner struct {
	epoch   uint32
	right   float64 // it may lend before then
	owns    bool
	unknown int
	waitTo  float64
	books   []*book // by ID
	byID    map[ID]*book
	dirty   bool
	planAt  float64
	rightAt float64
}

type book struct {
	id       ID
	seq      uint32
	promise  float64
	want     float64
	at       float64 // of the last ask
	adopted  bool
	claim    int
	till     float64 // the claim's
	conf     int
	confEnd  float64
	confSeq  uint32
	pend     []lent
	target   int
	credit   float64
	calledAt float64
}

type lent struct {
	seq   uint32
	units int
	end   float64
}

func (q *Quota) members(e Members) {
	q.peers = e.Peers[:min(len(e.Peers), MostPeers)]
	q.sending = max(1, e.Sending)
	clear(q.addr)
	for _, p := range q.peers {
		q.addr[p.ID] = p.Addr
	}
	for _, l := range q.limits {
		if b := q.bestOf(l); b != l.best {
			l.best, l.hurry = b, true
		}
	}
}

// bestOf is whom a limit's asks go to.
func (q *Quota) bestOf(l *limit) ID { return lender(l.key, q.self, q.peers) }

func lender(key uint64, self ID, peers []Peer) (best ID) {
	best = self
	most := uint64(0)
	for _, p := range peers {
		if s := score(key, p.ID); !p.Ending && (s > most || s == most && p.ID > best) {
			best, most = p.ID, s
		}
	}
	return best
}

// OwnerOf is who lends a limit of a name where these processes can all be reached: the first by a hash of the name and the process.
func OwnerOf(limit string, peers []Peer) ID {
	return lender((&Limit{Name: limit}).hash(), 0, peers)
}

func score(key uint64, id ID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(key>>(8*i)), byte(id>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// begin makes an owner start anew: with nothing known, and a higher epoch.
func (q *Quota) begin(l *limit) {
	l.o = owner{epoch: l.o.epoch + 1, byID: map[ID]*book{}}
}

// onAsk is the owner's side of an ask.
func (q *Quota) onAsk(l *limit, from ID, it *Item) {
	o := &l.o
	q.own(l)
	b := o.byID[from]
	if b == nil {
		if len(o.books) >= MostPeers {
			return
		}
		b = &book{id: from}
		o.byID[from] = b
		i, _ := slices.BinarySearchFunc(o.books, from, func(b *book, id ID) int { return cmp.Compare(b.id, id) })
		o.books = slices.Insert(o.books, i, b)
	}
	if it.Seq <= b.seq { // overtaken, or come twice
		return
	}
	b.seq, b.at = it.Seq, q.now
	re := Item{Limit: l.key, Seq: it.Seq, Epoch: o.epoch, Stamp: q.now, Pool: l.cut.Pool}
	if it.Vote && it.Epoch == o.epoch && it.Stamp <= q.now && it.Pool == l.cut.Pool {
		b.promise = max(b.promise, it.Stamp+q.set.Promise*(1-q.set.Drift)/(1+q.set.Drift))
		b.claim, b.till = it.Hold, it.Stamp+it.Rest*(1-q.set.Drift)/(1+q.set.Drift)
		if b.want != it.Want {
			b.want, o.dirty = it.Want, true
		}
		q.own(l)
		had := b.out(q.now)
		if b.confirm(it); b.out(q.now) < had { // there may be something for who is short
			o.dirty = true
		}
		if o.owns {
			q.adopt(l, b)
		}
		if o.owns && b.adopted {
			q.plan(l)
			re.Vote, re.Units = true, q.lend(l, b, it.Seq)
			re.Sure = q.now >= o.waitTo
		}
	}
	q.put(from, Answer, re)
}

// confirm takes a process's word on what it took last: older answers are never taken any more.
func (b *book) confirm(it *Item) {
	if !b.adopted {
		return
	}
	kept := b.pend[:0]
	for _, p := range b.pend {
		switch {
		case p.seq > it.Seen:
			kept = append(kept, p)
		case p.seq == it.Seen:
			b.confEnd, b.confSeq = p.end, p.seq
		}
	}
	b.pend = kept
	if it.Seen == b.confSeq {
		b.conf = it.Hold
	}
}

// own brings an owner's right up to date: it lasts as long as more than half have promised.
func (q *Quota) own(l *limit) {
	o := &l.o
	if o.owns && q.now >= o.right {
		q.begin(l)
		o = &l.o
	}
	if q.now >= o.rightAt || !o.owns || o.right-q.now < q.set.Promise/2 {
		o.rightAt = q.now + 2*q.set.Step
		q.forget(l)
		ends := make([]float64, 0, len(o.books))
		for _, b := range o.books {
			if b.promise > q.now {
				ends = append(ends, b.promise)
			}
		}
		most := q.set.Expect/2 + 1
		if len(ends) >= most {
			slices.Sort(ends)
			o.right = max(o.right, ends[len(ends)-most])
			if !o.owns {
				o.owns, o.unknown, o.waitTo = true, l.cut.Pool, q.now+q.set.kept(l.Kind)
				o.dirty = true
				for _, b := range o.books {
					q.adopt(l, b)
				}
			}
		}
	}
	if !o.owns {
		return
	}
	if o.unknown > 0 && q.now >= o.waitTo {
		o.unknown, o.dirty = 0, true
	}
	if o.unknown > 0 && q.heardAll(l) {
		o.unknown, o.dirty = 0, true
	}
	q.plan(l)
}

// done tells that a process is not there and, for so long at least, can have held nothing: of its last words none would be taken.
func (q *Quota) done(l *limit, b *book, ms float64) bool {
	_, here := q.addr[b.id]
	return !here && b.id != q.self && q.now-ms >= b.promise+q.set.kept(l.Kind) && q.now-ms >= b.at+q.set.kept(l.Kind) && b.out(q.now-ms) == 0
}

// forget closes the books of those that have gone: each start of a process is another, and they would fill up.
func (q *Quota) forget(l *limit) {
	l.o.books = slices.DeleteFunc(l.o.books, func(b *book) bool {
		gone := q.done(l, b, 0)
		if gone {
			delete(l.o.byID, b.id)
		}
		return gone
	})
}

// heardAll tells whether every process that can hold something has said so, and is bound to this owner.
func (q *Quota) heardAll(l *limit) bool {
	n := 0
	for _, b := range l.o.books {
		if b.adopted && b.promise > q.now {
			n++
		}
	}
	return n >= q.set.Expect
}

// adopt takes into the books what a process holds of an older owner, where that is surely so still.
func (q *Quota) adopt(l *limit, b *book) {
	o := &l.o
	if b.adopted || b.promise <= q.now {
		return
	}
	switch {
	case b.claim == 0:
	case q.now < b.till && b.claim <= o.unknown:
		o.unknown -= b.claim
		b.conf, b.confEnd = b.claim, q.now+q.set.kept(l.Kind)
	case o.unknown == 0 && q.now >= o.waitTo:
	default:
		return
	}
	b.adopted, b.confSeq, b.target = true, math.MaxUint32, b.out(q.now) // until there is a plan it keeps what it has
	o.dirty = true
}

// out is the most that a process can come to hold.
func (b *book) out(now float64) int {
	n := 0
	if now < b.confEnd {
		n = b.conf
	}
	for _, p := range b.pend {
		if now < p.end {
			n = max(n, p.units)
		}
	}
	return n
}

func (q *Quota) lentOf(l *limit) int {
	n := l.o.unknown
	for _, b := range l.o.books {
		n += b.out(q.now)
	}
	return n
}

// lend gives a process what it is to have, as far as that is there.
func (q *Quota) lend(l *limit, b *book, seq uint32) int {
	has := b.out(q.now)
	n := max(0, min(b.target, has+max(0, l.cut.Pool-q.lentOf(l))))
	if len(b.pend) >= pendMost { // the two oldest are kept as one that is taken for the later
		b.pend[1].units, b.pend[1].end = max(b.pend[0].units, b.pend[1].units), max(b.pend[0].end, b.pend[1].end)
		b.pend = append(b.pend[:0], b.pend[1:]...)
	}
	books := n
	if l.Kind == Number { // what is in use beyond it goes on for as long as this answer's lease does
		books = max(n, has)
	}
	b.pend = append(b.pend, lent{seq, books, q.now + q.set.kept(l.Kind)})
	return n
}

// plan says what each process is to have: by its demand, whole units; what is left over goes round by turns. Who has too much is told to
// give back, and who has too little to ask again once there is something.
func (q *Quota) plan(l *limit) {
	o := &l.o
	if !o.owns || q.now < o.planAt || !o.dirty && q.now < o.planAt+q.set.Renew-q.set.Step {
		return
	}
	turns := (q.now - o.planAt + q.set.Step) / (2 * q.set.Renew)
	o.dirty, o.planAt = false, q.now+q.set.Step
	live := make([]*book, 0, len(o.books))
	total, left := 0.0, l.cut.Pool-o.unknown // what one that has gone may hold is nobody's until its lease is over
	for _, b := range o.books {
		b.target = 0
		if b.adopted && b.promise > q.now {
			live = append(live, b)
			total += b.weight(q.set.Expect)
		} else {
			left -= b.out(q.now)
		}
	}
	left = max(0, left)
	pool := float64(left)
	for _, b := range live {
		part := pool * b.weight(q.set.Expect) / total
		b.target = int(part + 1e-9)
		b.credit = max(-float64(l.cut.Pool), min(float64(l.cut.Pool), b.credit+(part-float64(b.out(q.now)))*min(1, turns)))
		left -= b.target
	}
	slices.SortStableFunc(live, func(a, b *book) int {
		// By what each is owed; a unit that one has is kept for a turn.
		return cmp.Or(cmp.Compare(b.owed(q.now), a.owed(q.now)), cmp.Compare(a.id, b.id))
	})
	for _, b := range live {
		if left > 0 && b.want > 0 {
			b.target++
			left--
		}
	}
	for _, b := range live {
		if left > 0 {
			b.target++
			left--
		}
	}
	free := l.cut.Pool - q.lentOf(l)
	short := false
	for _, b := range live {
		short = short || b.out(q.now) < b.target
	}
	for _, b := range live {
		has := b.out(q.now)
		near := 0 // of fine units, what is about right is left until the next ask
		if l.Kind != Number {
			near = max(b.target/10, l.cut.Pool/200)
		}
		if q.now >= b.calledAt+q.set.Soon && (short && has > b.target+near || free > 0 && has < b.target-near) {
			b.calledAt = q.now
			q.put(b.id, Call, Item{Limit: l.key, Epoch: o.epoch, Units: b.target, Pool: l.cut.Pool})
		}
	}
}

func (b *book) weight(n int) float64 { return b.want + idleWeight/float64(n) }

func (b *book) owed(now float64) float64 {
	if b.out(now) > b.target {
		return b.credit + 1
	}
	return b.credit
}
