package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

const (
	askMemory  = 64   // asks whose answers are still taken
	pendMost   = 8    // answers of each process that are kept apart
	changed    = 0.1  // a demand that differs by so much, or a unit, from the one told last is told soon
	little     = 0.01 // ...if that is not a small part of the limit
	idleWeight = 0.02 // part of the limit that all together count as wanting beside their demand: newcomers have a share
	voteFresh  = 0.5  // part of Promise that an answer may be old for the owner to be voted for again
)

// Quota is one process's side of the fleet's limits.
type Quota struct {
	set     Settings
	self    ID
	now     float64
	peers   []Peer
	addr    map[ID]string
	sending int
	limits  []*limit
	byHash  map[uint64]*limit
	out     []Action
	box     []*Message // that go out at the end
	left    bool

	checks *invariant.Checks // nil where nothing is checked
	every  int
	walks  int
}

type limit struct {
	Limit
	key        uint64
	cut        Cut
	low        int // floor that is in effect: a higher one waits until no more is lent than the new pool
	began      float64
	given      float64 // amount that was allowed last
	givenBurst float64

	// as a holder
	best      ID
	bound     ID // whom it voted for
	epoch     uint32
	until     float64 // its promise
	heard     ID      // whom the stamp is from
	stamp     float64
	stampOf   uint32
	heardAt   float64
	seq, seen uint32
	asks      []asked
	hold      int
	high      int // that may be in use
	heldTill  float64
	want      float64 // as a part of the limit
	told      float64
	askAt     float64
	hurry     bool

	// soon even
	share, rise float64
	riseAt      float64
	sharedAt    float64

	// as an owner
	o owner
}

type asked struct {
	seq  uint32
	at   float64
	vote bool
}

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

// New makes a process's quota.
func New(set Settings, self ID, now float64) *Quota {
	q := &Quota{set: set, self: self, now: now, sending: max(1, set.Expect), byHash: map[uint64]*limit{}, addr: map[ID]string{}}
	q.set.Expect = max(1, set.Expect)
	q.retune(set.Limits)
	return q
}

// Next is when it wants a Tick.
func (q *Quota) Next() float64 { return q.now + q.set.Step }

// Handle takes one event and appends what is to be done.
func (q *Quota) Handle(now float64, e Event, out []Action) []Action {
	q.now, q.out = max(now, q.now), out
	if q.left {
		return q.out
	}
	for _, l := range q.limits { // whatever has come, one that was stopped finds its leases over first
		if l.hold > 0 && q.now >= l.heldTill {
			l.lower(0)
		}
	}
	switch e := e.(type) {
	case Members:
		q.members(e)
	case Demand:
		q.demand(e)
	case Retune:
		q.retune(e.Limits)
	case Heard:
		q.hear(e.Message)
	case Leave:
		q.leave()
	}
	q.turn()
	q.post()
	for _, l := range q.limits {
		q.allow(l)
	}
	if q.checks.On() {
		q.checks.Walk(&q.walks, q.every, "quota: the walk", q.walk)
	}
	return q.out
}

// Due is when what is allowed may fall without another word, so that who was stopped can ask first; +Inf for never.
func (q *Quota) Due() float64 {
	due := math.Inf(1)
	for _, l := range q.limits {
		if l.hold > 0 && l.Manner == Never {
			due = min(due, l.heldTill)
		}
	}
	return due
}

func (q *Quota) find(name string) *limit {
	for _, l := range q.limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// retune takes the limits as they are now. What was lent is cut in proportion where the pool has become smaller.
func (q *Quota) retune(limits []Limit) {
	old := q.limits
	q.limits, q.byHash = nil, map[uint64]*limit{}
	for _, n := range limits {
		i := slices.IndexFunc(old, func(l *limit) bool { return l.Name == n.Name && l.Kind == n.Kind && l.Manner == n.Manner })
		if i < 0 {
			l := &limit{Limit: n, key: n.hash(), began: q.now, given: -1, sharedAt: q.now}
			l.cut = n.Cut(q.set.Expect)
			l.low, l.share = l.cut.Floor, 1/float64(max(1, q.sending))
			l.o = owner{epoch: 1, byID: map[ID]*book{}}
			q.limits, q.byHash[l.key] = append(q.limits, l), l
			l.best = q.bestOf(l)
			continue
		}
		l := old[i]
		if l.Limit != n {
			was, amount := l.cut, l.Amount
			l.Limit, l.cut = n, n.Cut(q.set.Expect)
			// No more than before of the limit, and a floor of no more than it was, until the owner knows the limit as it is.
			low, _ := (&Limit{Amount: amount}).part(&was, l.low)
			l.low = min(l.cut.Floor, int(low/n.Amount*float64(l.cut.Units)+1e-9))
			l.hold = l.hold * l.cut.Pool / max(1, was.Pool)
			if l.Kind != Number { // the measure of what is kept in units has changed
				l.high = l.hold
			}
			l.given = -1
			l.hurry = true
			l.o.dirty = true
			if was.Pool != l.cut.Pool { // books in the old measure: what is not known to be free is waited out
				q.begin(l)
			}
		}
		q.limits, q.byHash[l.key] = append(q.limits, l), l
	}
}

// lower has the holder use less from now on.
func (l *limit) lower(to int) {
	l.hold = min(l.hold, to)
	if l.Kind != Number {
		l.high = l.hold
	}
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

func (q *Quota) demand(e Demand) {
	l := q.find(e.Limit)
	if l == nil || !finite(e.Want) || !finite(e.Used) {
		return
	}
	l.want = min(1e3, e.Want/max(1e-9, l.Amount))
	if l.Kind == Number {
		l.high = max(l.hold, int(e.Used)-l.low)
	}
	if d := math.Abs(l.want - l.told); d > changed*l.told && d*float64(l.cut.Units) >= 1 && (d > little || l.Kind == Number) {
		l.hurry = true
	}
}

// turn does what time brings.
func (q *Quota) turn() {
	for _, l := range q.limits {
		if l.Manner == Even {
			q.turnEven(l)
		}
		if l.Manner == Fixed {
			continue
		}
		if q.now >= l.askAt || l.hurry && q.now >= l.askAt-q.set.Renew+q.set.Soon {
			q.ask(l)
		}
		if l.Manner == Never {
			q.own(l)
		}
	}
}

// ask tells the owner of this process's demand, votes for it where that may be, and says what it holds.
func (q *Quota) ask(l *limit) {
	l.askAt, l.hurry, l.told = q.now+q.set.Renew, false, l.want
	l.seq++
	it := Item{Limit: l.key, Seq: l.seq, Want: l.want, Seen: l.seen, Pool: l.cut.Pool, Even: l.Manner == Even}
	if l.Manner == Never {
		fresh := l.heard == l.best && q.now-l.heardAt <= voteFresh*q.set.Promise
		free := l.bound == l.best || q.now >= l.until
		if fresh && free && q.now >= l.began+q.ban(l.Kind) {
			if l.bound != l.best || l.epoch != l.stampOf {
				l.bound, l.epoch = l.best, l.stampOf
			}
			l.until = q.now + q.set.Promise
			it.Vote, it.Epoch, it.Stamp, it.Hold = true, l.epoch, l.stamp, l.high
			it.Rest = max(0, l.heldTill-q.now)
		}
	}
	l.asks = append(l.asks, asked{l.seq, q.now, it.Vote})
	if len(l.asks) > askMemory {
		l.asks = append(l.asks[:0], l.asks[1:]...)
	}
	q.put(l.best, Ask, it)
}

// ban is how long a process that has begun does not vote: its last life may have promised, and what it let in may go on.
func (q *Quota) ban(k Kind) float64 {
	if k == Number {
		return q.set.Stretch(max(q.set.Promise, q.set.Linger))
	}
	return q.set.Stretch(q.set.Promise)
}

// put has an item go to a process, with others that go there.
func (q *Quota) put(to ID, v Verb, it Item) {
	for _, m := range q.box {
		if m.To == to && m.Verb == v && len(m.Items) < MostItems {
			m.Items = append(m.Items, it)
			return
		}
	}
	q.box = append(q.box, &Message{Verb: v, From: q.self, To: to, Items: []Item{it}})
}

// post sends what was put. What is for this process itself is told at once.
func (q *Quota) post() {
	for len(q.box) > 0 {
		m := q.box[0]
		q.box = q.box[1:]
		if m.To == q.self {
			q.hear(m)
		} else if a := q.addr[m.To]; a != "" {
			q.out = append(q.out, Action{Kind: Send, Addr: a, Message: m})
		}
	}
	q.box = nil
}

func (q *Quota) hear(m *Message) {
	if m.To != q.self || m.Verb > Call || len(m.Items) > MostItems {
		return
	}
	for i := range m.Items {
		it := &m.Items[i]
		l := q.byHash[it.Limit]
		if l == nil || it.Even != (l.Manner == Even) || l.Manner == Fixed || !it.good() {
			continue
		}
		switch m.Verb {
		case Ask:
			if it.Even {
				q.onTold(l, m.From, it)
			} else {
				q.onAsk(l, m.From, it)
			}
		case Answer:
			if it.Even {
				q.onShare(l, m.From, it)
			} else {
				q.onAnswer(l, m.From, it)
			}
		case Call:
			if !it.Even && m.From == l.bound && it.Epoch == l.epoch {
				l.lower(it.Units)
				l.hurry = true
			}
		}
	}
}

func (it *Item) good() bool {
	return finite(it.Stamp) && finite(it.Rest) && finite(it.Want) && finite(it.Share) && min(it.Hold, it.Units, it.Pool) >= 0 &&
		max(it.Hold, it.Units, it.Pool) <= MostUnits*256
}

// askOf finds the ask that an answer is to; each is answered once.
func (l *limit) askOf(seq uint32) (asked, bool) {
	for _, a := range l.asks {
		if a.seq == seq && seq > l.seen {
			return a, true
		}
	}
	return asked{}, false
}

// onAnswer takes what an owner lends.
func (q *Quota) onAnswer(l *limit, from ID, it *Item) {
	a, ok := l.askOf(it.Seq)
	if !ok || from != l.best && from != l.bound {
		return
	}
	if from == l.best && (l.heard != from || it.Stamp > l.stamp) {
		if l.heard != from || l.stampOf != it.Epoch {
			l.hurry = true // it can be voted for now
		}
		l.heard, l.stamp, l.stampOf, l.heardAt = from, it.Stamp, it.Epoch, a.at
	}
	if !it.Vote || !a.vote || from != l.bound || it.Epoch != l.epoch || it.Pool != l.cut.Pool {
		return
	}
	if l.seen = it.Seq; it.Sure {
		l.low = l.cut.Floor
	}
	l.hold, l.heldTill = it.Units, a.at+q.set.Lease
	if q.now >= l.heldTill {
		l.hold = 0
	}
	if l.Kind == Number {
		l.high = max(l.high, l.hold)
	} else {
		l.high = l.hold
	}
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

// leave gives back what this process holds.
func (q *Quota) leave() {
	for _, l := range q.limits {
		l.lower(0)
		l.want, l.low = 0, 0
		if l.Manner != Fixed {
			q.ask(l)
		}
	}
	q.post()
	q.left = true
}

// allow tells the embedder of what has changed.
func (q *Quota) allow(l *limit) {
	amount, burst := q.may(l)
	if amount != l.given || burst != l.givenBurst {
		l.given, l.givenBurst = amount, burst
		q.out = append(q.out, Action{Kind: Allow, Limit: l.Name, Amount: amount, Burst: burst})
	}
}

// may is what this process may use now.
func (q *Quota) may(l *limit) (amount, burst float64) {
	switch l.Manner {
	case Never:
		n := l.hold
		if l.Kind != Number || q.now >= l.began+q.ban(l.Kind) { // what a last life let in may still go on
			n += l.low
		}
		return l.part(&l.cut, n)
	case Even:
		amount, burst = l.Amount*l.share, l.Burst*l.share
	default:
		amount, burst = l.Amount/float64(q.sending), l.Burst/float64(q.sending)
	}
	if l.Kind == Number {
		amount = max(1, math.Floor(amount+1e-9))
	}
	return amount, max(1, burst)
}

// Standings tell how limits stand here.
func (q *Quota) Standings() (out []Standing) {
	for _, l := range q.limits {
		amount, _ := q.may(l)
		s := Standing{Limit: l.Limit, Amount: amount, Until: l.heldTill, Owner: l.best, Epoch: l.epoch}
		s.Floor, _ = l.part(&l.cut, l.low)
		if l.o.owns && q.now < l.o.right {
			s.Owns = true
			s.Epoch = l.o.epoch
			s.Lent, _ = l.part(&l.cut, q.lentOf(l))
		}
		for _, b := range l.o.books {
			if b.promise > q.now {
				s.Seen++
			}
		}
		out = append(out, s)
	}
	return out
}
