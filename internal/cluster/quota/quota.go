package quota

import (
	"math"
	"slices"

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
