package verdicts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	silentTurns = 3.0     // a server is silent for this many times the work of a request, and...
	silentJobs  = 8.0     // ...this many shared among those that wait, up to...
	silentMost  = 4       // ...so many
	contrary    = 3       // so many others contradict one
	old         = 1 << 20 // messages: so far back one that was overtaken may lie
	lookEach    = 200     // ms between probes for one that is said to lead
)

// file takes an observer's word of a server, where this process collects it.
func (v *Verdicts) file(s *server, from ID, seq uint32, m *Item, delay float64) {
	if !slices.Contains(v.collectors(s), v.self) {
		return
	}
	x := s.seen[from]
	if x == nil {
		if len(s.seen) >= MostPeers {
			return
		}
		x = &seen{seq: seq - old, answeredSeq: seq - old, saidSeq: seq - old, answered: -inf, since: -inf, saidAt: -inf}
		s.seen[from] = x
	}
	x.zone = v.at[from].Zone
	at := func(age float64) float64 {
		if v.set.Broken == HeardAge {
			return v.now
		}
		return v.now - age
	}
	newer := func(had *uint32) bool { // each kind's newest stands, in whatever order they come, and however often
		if int32(seq-*had) <= 0 {
			return false
		}
		*had = seq
		return true
	}
	if m.Answered >= 0 && newer(&x.answeredSeq) {
		x.answered = at(m.Answered)
	}
	if newer(&x.seq) {
		x.at, x.n, x.first, x.last, x.work = v.now, m.N, at(m.First), at(m.Last), m.Work
	}
	if age := m.SaidAge + delay; (m.Said.Role != Unsaid || m.Said.Position > 0) && age <= v.set.Stale && newer(&x.saidSeq) {
		x.said, x.saidAt = m.Said, v.now-age
		v.rumour(s)
	}
	v.tellChange(s)
}

// answeredBy is when a server last answered any but one.
func (v *Verdicts) answeredBy(s *server, but ID) float64 {
	at := -inf
	for id, x := range s.seen { // the greatest: the order does not matter
		if id != but && v.now >= v.shunned[id] {
			at = max(at, x.answered)
		}
	}
	return at
}

// limit is how long a server may be silent with n waiting whose work is that.
func limit(work float64, n int) float64 {
	return work * (silentTurns + silentJobs/float64(min(silentMost, max(1, n))))
}

// review has those count for nothing for a while whose words others' evidence contradicts: one alone gets answers, or one alone gets none.
func (v *Verdicts) review(s *server) {
	var liars []ID
	for id, x := range s.seen { // each on its own
		if x.answered > x.since && v.answeredBy(s, id) > x.since {
			x.since = x.answered
		}
		if v.now >= v.shunned[id] && v.contradicted(s, id, x) {
			liars = append(liars, id)
		}
	}
	for _, id := range liars {
		v.shunned[id] = v.now + v.set.Shun
	}
}

func (v *Verdicts) contradicted(s *server, from ID, x *seen) bool {
	fails, gets := 0, 0
	for id, y := range s.seen { // a count
		if id == from || v.now < v.shunned[id] || y.zone != x.zone {
			continue
		}
		if y.n > 0 && y.last > x.since && y.answered < x.since && v.now-max(y.first, x.since) > limit(y.work, 1) {
			fails++
		}
		if y.answered > x.first+limit(x.work, 1) {
			gets++
		}
	}
	return x.answered > x.since && fails >= contrary || x.n >= silentMost && x.last-x.first > limit(x.work, 1) && gets >= contrary
}

// silence is what observers in a zone (or all) say of a server since a moment.
type silence struct {
	k, n        int
	first, last float64
	works       []float64
	zones       map[string]bool
	by          []ID
}

func (v *Verdicts) silent(s *server, ids []ID, zone *string) (silence, bool) {
	a := -inf
	for _, id := range ids {
		if x := s.seen[id]; zone == nil || x.zone == *zone {
			a = max(a, x.answered)
		}
	}
	q := silence{first: inf, last: -inf, zones: map[string]bool{}}
	for _, id := range ids {
		x := s.seen[id]
		if zone != nil && x.zone != *zone || x.n == 0 || x.last <= a || v.now-x.last > v.set.Lapse {
			continue
		}
		first, n := x.first, min(x.n, silentMost)
		if first <= a {
			first, n = x.last, 1
		}
		q.k, q.n, q.first, q.last, q.zones[x.zone] = q.k+1, q.n+n, min(q.first, first), max(q.last, x.last), true
		q.works = append(q.works, x.work)
		if len(q.by) < 2 {
			q.by = append(q.by, id)
		}
	}
	if q.k < v.set.observers() {
		return q, false
	}
	slices.Sort(q.works)
	return q, v.now-q.first > limit(q.works[len(q.works)/2], q.n)
}

// judge is what this collector makes of a server: of the evidence alone, whatever the order that it came in.
func (v *Verdicts) judge(s *server) Sum {
	out := Sum{Key: s.key, Answered: -1}
	ids := make([]ID, 0, len(s.seen))
	for id := range s.seen { // sorted below
		if v.now >= v.shunned[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if v.set.Health {
		q, bad := v.silent(s, ids, nil)
		out.Bad, out.All = bad, bad && (v.zones < 2 || len(q.zones) >= 2 || v.set.Broken == OneEnough)
		zones := []string{}
		for _, id := range ids {
			if z := s.seen[id].zone; !out.All && s.seen[id].n > 0 && !slices.Contains(zones, z) && len(zones) < mostZones {
				zones = append(zones, z)
			}
		}
		out.Bad = out.All
		for _, z := range zones {
			if qz, bad := v.silent(s, ids, &z); bad {
				out.Bad, q = true, qz
				out.Zones = append(out.Zones, zoneKey(z))
			}
		}
		if out.Bad {
			out.First, out.Last, out.By = q.first, q.last, q.by
		}
		for _, id := range ids {
			if a := s.seen[id].answered; a > -inf && (out.Answered < 0 || a > out.Answered) {
				out.Answered = a
			}
		}
	}
	out.Said, out.SaidAge = v.vouched(s, ids)
	return out // its times are moments yet
}

func zoneKey(z string) uint32 { return uint32(xxhash.Sum64String(z)) }

// vouched is the newest that two observers at least say of a server, and when the later of them was told.
func (v *Verdicts) vouched(s *server, ids []ID) (Said, float64) {
	best := func(ok func(*seen) bool) (at float64, told float64) {
		var have []*seen
		for _, id := range ids {
			if x := s.seen[id]; x.said.Position > 0 && v.now-x.saidAt <= v.set.Stale && ok(x) {
				have = append(have, x)
			}
		}
		k := max(1, v.set.Vouch)
		if v.set.Broken == OneEnough {
			k = 1
		}
		if len(have) < k {
			return 0, 0
		}
		slices.SortFunc(have, func(a, b *seen) int { return cmp.Compare(b.said.Position, a.said.Position) })
		return have[k-1].said.Position, have[k-1].saidAt
	}
	leads, leadsAt := best(func(x *seen) bool { return x.said.Role == Leads })
	follows, followsAt := best(func(x *seen) bool { return x.said.Role == Follows })
	switch {
	case leads > follows && v.set.Roles:
		return Said{Leads, leads}, leadsAt
	case follows > 0 && v.set.Places:
		return Said{Follows, follows}, followsAt
	}
	any, anyAt := best(func(x *seen) bool { return true })
	if any > 0 && v.set.Places {
		return Said{Unsaid, any}, anyAt
	}
	return Said{}, 0
}

// Judged is what this process makes of all servers as a collector, for those who look.
func (v *Verdicts) Judged() (out []Sum) {
	for _, s := range v.order {
		out = append(out, v.judge(s))
	}
	return out
}

// rumour has this collector look itself where one says that another than the known one leads.
func (v *Verdicts) rumour(s *server) {
	if !v.set.Roles || v.now-s.looked < lookEach {
		return
	}
	newest := 0.0
	for _, o := range v.groups[s.Group] {
		newest = max(newest, o.said.leads())
	}
	for _, x := range s.seen { // any
		if x.said.Role == Leads && x.said.Position > newest && s.said.Said.Role != Leads && v.now-x.saidAt <= v.set.Stale {
			s.looked = v.now
			v.out = append(v.out, Action{Kind: Look, Server: s.Name})
			return
		}
	}
}

func (m *Sum) leads() float64 {
	if m.Said.Role == Leads {
		return m.Said.Position
	}
	return 0
}

func (m *Sum) same(o *Sum) bool {
	return m.Bad == o.Bad && m.All == o.All && slices.Equal(m.Zones, o.Zones) && (m.Said.Role == Leads) == (o.Said.Role == Leads)
}

// tellChange has all hear at once of a verdict or a leader that changed.
func (v *Verdicts) tellChange(s *server) {
	if x := v.judge(s); !x.same(&s.said) {
		v.word([]*server{s})
	}
}

// publish tells all what is new, or what stands.
func (v *Verdicts) publish(full bool) {
	var list []*server
	for _, s := range v.order {
		if !slices.Contains(v.collectors(s), v.self) || len(s.seen) == 0 {
			continue
		}
		v.review(s)
		x := v.judge(s)
		if !x.same(&s.said) || v.set.Places && x.Said.Position > s.said.Said.Position || full && (x.Bad || x.Said.Role == Leads) {
			list = append(list, s)
		}
	}
	v.word(list)
}

// word tells everybody, this process included, what it collected.
func (v *Verdicts) word(list []*server) {
	if len(list) == 0 {
		return
	}
	v.seq++
	age := func(at float64) float64 {
		if at <= 0 {
			return -1
		}
		return v.now - at
	}
	var items []Sum
	for _, s := range list {
		x := v.judge(s)
		s.said = x
		x.First, x.Last, x.Answered, x.SaidAge = age(x.First), age(x.Last), age(x.Answered), max(0, age(x.SaidAge))
		items = append(items, x)
	}
	split(items, (*Sum).size, func(part []Sum) {
		w := &Word{Seq: v.seq, Items: part}
		for i := range v.peers {
			if p := &v.peers[i]; p.ID != v.self {
				v.out = append(v.out, Action{Kind: Send, To: p.ID, Addr: p.Addr, Word: w})
			}
		}
	})
	for i, s := range list {
		v.hear(s, v.self, v.seq, &items[i])
	}
}
