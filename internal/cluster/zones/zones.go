package zones

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Log is where entries are proposed; Apply, Lead and Follow bring what comes of it.
type Log interface{ Propose(entry []byte) }

// Pooler is the one that it is for.
type Pooler interface {
	Look(ms float64) ([]planner.Cell, []planner.Ask) // what was seen since the last look, that long ago
	Stand(s follower.Stand)                          // what to do from now on
	Keep(no uint64, done func())                     // has a number outlive the process
}

// Zones is a process's.
type Zones struct {
	set    Settings
	net    module.Transport
	log    Log
	pooler Pooler

	book    *statemachine.Book
	chief   *planner.Chief
	follow  *follower.Follower
	votes   bool
	self    view.ID
	voters  []place
	members []place
	leader  string
	applied float64 // when the plan in force was, while somebody led; 0 for never
	told    uint64  // Since of the plan that was told to all
	lookAt  float64
	looked  float64
	stepAt  float64
	sentAt  []float64 // orders, by their place in the settings
	stand   follower.Stand
	stood   bool
	counts  Counts
}

// Counts are since the start.
type Counts struct {
	Plans, Shifts, Fallbacks uint64
}

type place struct {
	addr string
	id   view.ID
}

// New makes a process's.
func New(set Settings, net module.Transport, log Log, p Pooler) *Zones {
	c, f := set.filled()
	z := &Zones{set: set, net: net, log: log, pooler: p, follow: follower.New(f), votes: slices.Contains(set.Voters, set.Name), looked: net.Now(), sentAt: make([]float64, len(set.Order))}
	if z.votes {
		z.book, z.chief = statemachine.New(), planner.New(c)
		z.book.Checks = set.Checks
	}
	return z
}

// Book is this voter's, nil at others; Chief too.
func (z *Zones) Book() *statemachine.Book { return z.book }
func (z *Zones) Chief() *planner.Chief    { return z.chief }

// Standing is what this pooler does, and the plan that it goes by, nil for none.
func (z *Zones) Standing() (follower.Stand, *statemachine.Plan) {
	p, _ := z.follow.Plan()
	return z.stand, p
}

// Counts are the counts so far.
func (z *Zones) Counts() Counts { return z.counts }

// Apply is agreed's Machine's.
func (z *Zones) Apply(index uint64, entry []byte) {
	if z.book == nil || !z.book.Apply(index, entry) {
		return
	}
	p := z.book.Plan
	if z.leader == "" || p == nil || len(entry) == 0 { // what a start finds on the disk may be long ago
		return
	}
	z.applied = z.net.Now()
	z.heard(p, 0)
	if z.leader == z.set.Name && p.Since != z.told {
		z.told = p.Since
		w := &Word{No: p.No, Plan: p}
		for _, m := range z.members {
			z.net.Send(m.addr, m.id, module.KindZones, w)
		}
	}
}

// Snapshot is agreed's Machine's.
func (z *Zones) Snapshot() []byte { return z.book.Snapshot() }

// Restore is agreed's Machine's.
func (z *Zones) Restore(b []byte) error {
	z.applied = 0
	return z.book.Restore(b)
}

// Lead tells a voter who leads, as far as it knows; empty for nobody.
func (z *Zones) Lead(name string) {
	if z.leader = name; z.chief != nil {
		z.chief.Lead(z.net.Now(), name != "" && name == z.set.Name, z.book.Plan)
	}
}

// Retune takes operators' orders as the settings have them now.
func (z *Zones) Retune(orders []Order) {
	z.set.Order, z.sentAt = orders, make([]float64, len(orders))
}

// Order has a zone ordered, from this pooler on; a number that others had before does nothing.
func (z *Zones) Order(o Order) bool {
	at := z.set.Index(o.Zone)
	if at < 0 {
		return false
	}
	z.log.Propose(statemachine.EncodeOrder(&statemachine.Order{No: o.No, Zone: at, Lifts: o.Lifts, State: o.State, Until: o.Until}))
	return true
}

// Kind is part.Part's.
func (z *Zones) Kind() view.Kind { return module.KindZones }

// Decode is part.Part's.
func (z *Zones) Decode(b []byte) (any, error) { return Read(b) }

// UpdateMembers is part.Part's.
func (z *Zones) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	z.self, z.voters, z.members = self, z.voters[:0], z.members[:0]
	var near []view.ID
	for i := range all {
		r := &all[i]
		if r.ID != self && r.State > view.Suspect {
			continue
		}
		if r.Zone == z.set.Zone {
			near = append(near, r.ID)
		}
		if r.ID == self {
			continue
		}
		z.members = append(z.members, place{r.Addr, r.ID})
		if slices.Contains(z.set.Voters, r.Name) {
			z.voters = append(z.voters, place{r.Addr, r.ID})
		}
	}
	slices.SortFunc(z.members, func(a, b place) int { return cmp.Compare(a.id, b.id) })
	slices.Sort(near)
	if i := slices.Index(near, self); i >= 0 {
		z.follow.Count(i, len(near))
	}
}

// Receive is part.Part's.
func (z *Zones) Receive(from view.ID, m any) {
	now := z.net.Now()
	switch m := m.(type) {
	case *Tell:
		if z.chief == nil {
			return
		}
		z.chief.Told(now, uint64(from), &m.Tell)
		if m.Part == 0 {
			z.answer(from, m.No)
		}
	case *Word:
		if m.Plan != nil {
			z.heard(m.Plan, m.Age)
		} else {
			z.follow.Again(now, m.No, m.Age)
		}
		z.stands()
	}
}

// answer tells a pooler of the plan in force: whole where it does not have it yet.
func (z *Zones) answer(to view.ID, has uint64) {
	p, age := z.book.Plan, z.net.Now()-z.applied
	if p == nil || z.applied == 0 || age >= z.set.Life {
		return
	}
	i := slices.IndexFunc(z.members, func(m place) bool { return m.id == to })
	if i < 0 {
		return
	}
	w := &Word{No: p.No, Age: age}
	if has != p.No {
		w.Plan = p
	}
	z.net.Send(z.members[i].addr, to, module.KindZones, w)
}

func (z *Zones) heard(p *statemachine.Plan, age float64) {
	z.keep(z.follow.Heard(z.net.Now(), p, age))
}

// keep has a plan's number kept before it is followed, one after the other; 0 for none.
func (z *Zones) keep(no uint64) {
	if no == 0 {
		return
	}
	z.counts.Plans++
	z.pooler.Keep(no, func() {
		next := z.follow.Kept(no)
		z.stands()
		z.keep(next)
	})
}

// Tick is part.Part's.
func (z *Zones) Tick() {
	now := z.net.Now()
	if now >= z.lookAt {
		z.lookAt = now + z.set.Period
		z.look(now)
	}
	if z.chief != nil && now >= z.stepAt {
		z.stepAt = now + z.set.Chief.Step/4
		z.orders(now)
		for _, e := range z.chief.Step(now, z.book) {
			z.log.Propose(e)
		}
	}
	z.stands()
}

// orders has the settings' orders be entries, once each.
func (z *Zones) orders(now float64) {
	if !z.chief.Leads() {
		return
	}
	for i, o := range z.set.Order {
		at := z.set.Index(o.Zone)
		if at >= 0 && o.No > z.book.Newest(at) && now >= z.sentAt[i] {
			z.sentAt[i] = now + z.set.Chief.Late
			z.Order(o)
		}
	}
}

// look tells the voters what this pooler saw.
func (z *Zones) look(now float64) {
	cells, asks := z.pooler.Look(now - z.looked)
	seconds := (now - z.looked) / 1000
	z.looked = now
	zone := z.set.Index(z.set.Zone)
	asked, lost := 0.0, 0.0
	for i := range cells {
		if cells[i].Zone == zone {
			asked, lost = asked+cells[i].Asked, lost+cells[i].Lost
		}
	}
	if seconds > 0 {
		z.follow.Near(now, asked, lost)
	}
	for _, t := range split(&planner.Tell{Zone: max(0, zone), Cells: cells, Asks: asks}) {
		w := &Tell{No: z.follow.Number(), Tell: t}
		if z.chief != nil {
			z.chief.Told(now, uint64(z.self), &w.Tell)
		}
		for _, v := range z.voters {
			z.net.Send(v.addr, v.id, module.KindZones, w)
		}
	}
}

// stands has the pooler do what is to be done now.
func (z *Zones) stands() {
	s := z.follow.Stand(z.net.Now())
	if z.stood && s == z.stand {
		return
	}
	if z.stood && s.Zone != z.stand.Zone {
		z.counts.Shifts++
	}
	if s.Why == follower.Fallback && z.stand.Why != follower.Fallback {
		z.counts.Fallbacks++
	}
	z.stand, z.stood = s, true
	z.pooler.Stand(s)
}

// Leave is part.Part's: what it told grows stale by itself.
func (z *Zones) Leave() {}
