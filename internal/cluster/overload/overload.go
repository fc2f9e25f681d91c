package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// Overload is one process's side of it.
type Overload struct {
	set     Settings
	self    ID
	now     float64
	peers   []Peer // by ID
	addr    map[ID]string
	out     []Action
	classes []uint16 // keys by number
	tenants []uint16
	worth   map[uint16]float64
	aim     map[uint16]float64 // s
	share   map[uint16]float64
	once    map[uint16]bool
	work    map[uint16]float64 // this pooler's own guesses
	groups  map[int]*group
	order   []*group // by number
	tellAt  float64
	seq     uint32
	sent    []sent
	stamps  map[ID]stamp // of collectors' last answers
	lead    []uint16     // the order that it tells as a collector
	box     []Action     // what is for this process itself

	checks       *invariant.Checks
	every, walks int
}

type sent struct {
	seq uint32
	at  float64
}

type stamp struct{ stamp, at float64 }

type flows struct{ first, again, in, done, ended, strain float64 }

// group is one of which something was asked lately, or told.
type group struct {
	id      int
	n, rate []flows // by class: since the last tell, and a second
	tn, tr  []float64
	open    []float64 // by class
	since   float64
	idle    int // tells without anything
	given   []given
	level   float64
	budget  float64
	heldAt  float64 // of the answer that the level is from
	placed  placed
	tells   []*told // as a collector, by ID
	c       collected
	orderOf []uint16
	beyond  []Figure
}

// given is a collector's answer.
type given struct {
	from  ID
	at    float64 // of the tell that it answers: it is younger
	order []uint16
	v     Verdict
}

// placed is what the decision module was told last.
type placed struct {
	level  float64
	order  []uint16
	beyond []Figure
}

// New makes a process's side.
func New(set Settings, self ID, now float64) *Overload {
	o := &Overload{self: self, now: now, groups: map[int]*group{}, addr: map[ID]string{}, stamps: map[ID]stamp{}, work: map[uint16]float64{}}
	o.tellAt = now + float64(mixed(uint64(self), 1)%1000)/1000*set.Period
	o.retune(set)
	return o
}

// Key names a class or tenant between poolers.
func Key(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

func mixed(a, b uint64) uint64 {
	var x [16]byte
	for i := range 8 {
		x[i], x[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	return xxhash.Sum64(x[:])
}

func (o *Overload) retune(set Settings) {
	o.set = set
	o.classes, o.tenants = nil, nil
	o.aim = map[uint16]float64{}
	o.worth, o.share, o.once = map[uint16]float64{}, map[uint16]float64{}, map[uint16]bool{}
	for _, c := range set.Classes[:min(len(set.Classes), MostClasses)] {
		k := Key(c.Name)
		o.classes = append(o.classes, k)
		o.worth[k], o.once[k], o.aim[k] = c.Worth, c.Once, max(1, c.Aim)/1000
	}
	for _, t := range set.Tenants {
		o.tenants = append(o.tenants, Key(t.Name))
		o.share[Key(t.Name)] = t.Share
	}
	for _, g := range o.order {
		g.n, g.rate = sized(g.n, len(o.classes)), sized(g.rate, len(o.classes))
		g.open = sized(g.open, len(o.classes))
		g.tn, g.tr = sized(g.tn, len(o.tenants)), sized(g.tr, len(o.tenants))
		g.placed = placed{level: -1}
	}
	o.lead = nil
}

func sized[T any](x []T, n int) []T { return append(x, make([]T, max(0, n-len(x)))...)[:n] }

// Handle takes one event and appends what is to be done.
func (o *Overload) Handle(now float64, e Event, out []Action) []Action {
	o.now, o.out = max(now, o.now), out
	switch e := e.(type) {
	case Tick:
		o.tick()
	case Members:
		o.members(e)
	case Asked:
		if g := o.group(e.Group); g != nil && e.Class >= 0 && e.Class < len(g.n) {
			if e.Again {
				g.n[e.Class].again++
			} else {
				g.n[e.Class].first++
			}
			if e.In {
				g.n[e.Class].in++
				g.open[e.Class]++
			}
			if e.Tenant >= 0 && e.Tenant < len(g.tn) {
				g.tn[e.Tenant]++
			}
		}
	case Ended:
		if g := o.group(e.Group); g != nil && e.Class >= 0 && e.Class < len(g.n) && finite(e.Strain) {
			f := &g.n[e.Class]
			if g.open[e.Class] = max(0, g.open[e.Class]-1); e.Gone {
				break
			}
			f.ended++
			f.strain += min(1, e.Strain)
			if e.Served {
				f.done++
			}
		}
	case Learned:
		for i, w := range e.Work {
			if i < len(o.classes) && finite(w) {
				o.work[o.classes[i]] = w
			}
		}
	case Told:
		o.told(e.From, e.Tell)
	case Answered:
		o.answered(e.From, e.Answer)
	case Retune:
		o.retune(e.Settings)
	}
	for len(o.box) > 0 { // at most one step deep: an answer leads to nothing
		a := o.box[0]
		o.box = o.box[1:]
		if a.Kind == SendTell {
			o.told(o.self, a.Tell)
		} else {
			o.answered(o.self, a.Answer)
		}
	}
	if _, ticked := e.(Tick); ticked && o.checks.Enabled() {
		o.checks.Walk(&o.walks, o.every, "overload: a walk", o.walk)
	}
	return o.out
}

// group finds or files a group; nil where there are too many.
func (o *Overload) group(id int) *group {
	g := o.groups[id]
	if g == nil && len(o.order) < MostGroups && id >= 0 {
		g = &group{id: id, since: o.now, n: make([]flows, len(o.classes)), rate: make([]flows, len(o.classes)), open: make([]float64, len(o.classes)), tn: make([]float64, len(o.tenants)), tr: make([]float64, len(o.tenants))}
		o.groups[id] = g
		i, _ := slices.BinarySearchFunc(o.order, id, func(g *group, id int) int { return cmp.Compare(g.id, id) })
		o.order = slices.Insert(o.order, i, g)
	}
	return g
}

func (o *Overload) members(e Members) {
	o.self = e.Self
	o.peers = append(o.peers[:0], e.Peers[:min(len(e.Peers), MostPeers)]...)
	slices.SortFunc(o.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	clear(o.addr)
	for _, p := range o.peers {
		o.addr[p.ID] = p.Addr
	}
	maps.DeleteFunc(o.stamps, func(id ID, _ stamp) bool { return id != o.self && o.addr[id] == "" })
}

// First are the n first of the peers by rendezvous hashing of a key.
func First(key uint64, n int, peers []Peer) []ID {
	type scored struct {
		id ID
		s  uint64
	}
	best := make([]scored, 0, n+1)
	for _, p := range peers {
		s := mixed(key, uint64(p.ID))
		i := len(best)
		for i > 0 && (s > best[i-1].s || s == best[i-1].s && p.ID > best[i-1].id) {
			i--
		}
		if i < n {
			best = slices.Insert(best, i, scored{p.ID, s})
			best = best[:min(len(best), n)]
		}
	}
	out := make([]ID, len(best))
	for i := range best {
		out[i] = best[i].id
	}
	return out
}

// CollectorsOf are those of a group, where these processes can all be reached.
func (o *Overload) CollectorsOf(id int) []ID {
	return First(uint64(id/Block)<<8|1, o.set.Collectors, o.peers)
}

func (o *Overload) tick() {
	if o.now >= o.tellAt {
		o.tellAt = max(o.tellAt+o.set.Period, o.now+o.set.Period/2)
		o.tell()
		o.collect()
	}
	for _, g := range o.order {
		o.settle(g)
	}
	o.order = slices.DeleteFunc(o.order, func(g *group) bool {
		old := g.idle > 200 && g.level == 0 && len(g.tells) == 0
		if old {
			delete(o.groups, g.id)
		}
		return old
	})
}

// tell brings rates up to now and tells them.
func (o *Overload) tell() {
	var block []*group
	flush := func() {
		if len(block) == 0 {
			return
		}
		for _, id := range o.CollectorsOf(block[0].id) {
			o.send(id, block)
		}
		block = nil
	}
	for _, g := range o.order {
		if o.fade(g); g.idle > 20 && g.level == 0 {
			continue
		}
		size := o.set.toldOf()
		if len(block) > 0 && (block[0].id/Block != g.id/Block || size*(len(block)+1) > mostTold) {
			flush()
		}
		block = append(block, g)
	}
	flush()
}

func (o *Overload) fade(g *group) {
	dt := o.now - g.since
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / o.set.Memory)
	in := (1 - keep) * 1000 / dt
	busy := false
	for i := range g.n {
		n, r := &g.n[i], &g.rate[i]
		busy = busy || n.first+n.again+n.ended > 0
		r.first, r.again, r.done = r.first*keep+n.first*in, r.again*keep+n.again*in, r.done*keep+n.done*in
		r.in = r.in*keep + n.in*in
		r.ended, r.strain = r.ended*keep+n.ended*in, r.strain*keep+n.strain*in
		*n = flows{}
	}
	for i := range g.tn {
		g.tr[i] = g.tr[i]*keep + g.tn[i]*in
		g.tn[i] = 0
	}
	g.since = o.now
	if g.idle++; busy {
		g.idle = 0
	}
}

const mostTold = 1000 // bytes about groups in a datagram

const remembered = 64 // tells whose answers are taken

func (o *Overload) send(to ID, block []*group) {
	o.seq++
	if o.sent = append(o.sent, sent{o.seq, o.now}); len(o.sent) > remembered {
		o.sent = o.sent[1:]
	}
	t := &Tell{Seq: o.seq}
	if s, ok := o.stamps[to]; ok {
		t.Stamp, t.Held = s.stamp, o.now-s.at
	}
	for _, k := range o.classes {
		if w := o.work[k]; w > 0 {
			t.Work = append(t.Work, Figure{k, ungrain(grain(w))})
		}
	}
	for _, g := range block {
		p := Pressure{Group: g.id, Budget: g.budget, Level: g.level}
		for i, k := range o.classes {
			if r := g.rate[i]; r.first+r.again+r.ended+g.open[i] >= nothing {
				p.Classes = append(p.Classes, Flow{k, r.first, r.again, r.in, r.done, r.ended, r.strain, g.open[i]})
			}
		}
		p.Tenants = o.mostOf(g)
		t.Groups = append(t.Groups, p)
	}
	o.put(Action{Kind: SendTell, To: to, Tell: t})
}

const nothing = 1.0 / 64 // a second: less is nothing

// mostOf are the tenants that ask for most.
func (o *Overload) mostOf(g *group) (out []Figure) {
	for i, k := range o.tenants {
		if g.tr[i] >= nothing {
			out = append(out, Figure{k, g.tr[i]})
		}
	}
	slices.SortStableFunc(out, func(a, b Figure) int { return cmp.Compare(b.X, a.X) })
	return out[:min(len(out), MostTenants)]
}

func (o *Overload) put(a Action) {
	if a.To == o.self {
		o.box = append(o.box, a)
	} else if a.Addr = o.addr[a.To]; a.Addr != "" {
		o.out = append(o.out, a)
	}
}

// answered takes a collector's answer.
func (o *Overload) answered(from ID, a *Answer) {
	i := slices.IndexFunc(o.sent, func(s sent) bool { return s.seq == a.Seq })
	if i < 0 || o.now-o.sent[i].at > o.set.Stale {
		return
	}
	at := o.sent[i].at
	if from != o.self && o.addr[from] == "" || !finite(a.Stamp) {
		return
	}
	if s, ok := o.stamps[from]; !ok || a.Stamp > s.stamp {
		o.stamps[from] = stamp{a.Stamp, o.now}
	}
	for _, v := range a.Groups {
		g := o.groups[v.Group]
		v.Level = min(v.Level, float64(4*len(a.Order))) // a collector's word is none on classes that it does not know
		if g == nil || !finite(v.Level) || !finite(v.Budget) || !slices.Contains(o.CollectorsOf(v.Group), from) {
			continue
		}
		k := slices.IndexFunc(g.given, func(x given) bool { return x.from == from })
		switch {
		case k < 0:
			g.given = append(g.given, given{from, at, a.Order, v})
		case at >= g.given[k].at:
			g.given[k] = given{from, at, a.Order, v}
		default: // overtaken
			continue
		}
		o.settle(g)
	}
}

// settle goes by the answer with the middle level, or lets the level fall where there is none.
func (o *Overload) settle(g *group) {
	g.given = slices.DeleteFunc(g.given, func(x given) bool { return o.now-x.at > o.set.Stale })
	if len(g.given) > 0 {
		slices.SortStableFunc(g.given, func(a, b given) int {
			return cmp.Or(cmp.Compare(a.v.Level, b.v.Level), cmp.Compare(a.from, b.from))
		})
		x := g.given[(len(g.given)-1)/2]
		budgets := make([]float64, len(g.given)) // apart: of equal levels one could be a liar's
		for i := range g.given {
			budgets[i] = g.given[i].v.Budget
		}
		g.level, g.budget, g.heldAt, g.orderOf, g.beyond = x.v.Level, middleBudget(budgets), o.now, x.order, x.v.Beyond
		o.place(g, g.level)
		return
	}
	if g.level > 0 {
		fall := min(1, max(0, (o.now-g.heldAt-o.set.Hold)/o.set.Fall))
		if o.place(g, g.level*(1-fall)); fall == 1 {
			g.level, g.budget = 0, 0
		}
	}
}

// place tells the decision module, where that is news.
func (o *Overload) place(g *group, level float64) {
	p := &g.placed
	if level == p.level && (level == 0 || slices.Equal(p.order, g.orderOf) && slices.Equal(p.beyond, g.beyond)) {
		return
	}
	if level == 0 && p.level <= 0 {
		p.level = 0
		return
	}
	*p = placed{level, g.orderOf, g.beyond}
	if level == 0 {
		o.out = append(o.out, Action{Kind: Shed, Group: g.id})
		return
	}
	x := &Place{Level: level, Cells: make([][4]int, len(o.classes)), Beyond: make([]float64, len(o.tenants)), Keep: o.set.Keep}
	c := cellsOf(g.orderOf, o.once)
	for i, k := range o.classes {
		at, ok := c.of[k]
		if !ok { // a class that the collector does not know is shed last
			at = [4]int{c.n, c.n, c.n, c.n}
		}
		x.Cells[i] = at
	}
	for i, k := range o.tenants {
		for _, b := range g.beyond {
			if b.Key == k {
				x.Beyond[i] = min(1, b.X)
			}
		}
	}
	o.out = append(o.out, Action{Kind: Shed, Group: g.id, Place: x})
}

// Standings tell how groups stand here.
func (o *Overload) Standings() (out []Standing) {
	for _, g := range o.order {
		out = append(out, Standing{Group: g.id, Level: max(0, g.placed.level), Cells: 4 * len(o.classes), Budget: g.budget, Answers: len(g.given)})
	}
	return out
}
