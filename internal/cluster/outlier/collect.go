package outlier

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

// observer finds what one told, and where it stands.
func (s *server) observer(id ID) (int, bool) {
	return slices.BinarySearchFunc(s.seen, id, func(x *seen, id ID) int { return cmp.Compare(x.id, id) })
}

// file takes an observer's word of a server, where this process collects it.
func (v *Verdicts) file(s *server, from ID, seq uint32, m *Item, delay float64) {
	if !slices.Contains(v.collectors(s), v.self) {
		return
	}
	i, ok := s.observer(from)
	if !ok {
		if len(s.seen) >= MostPeers {
			return
		}
		s.seen = slices.Insert(s.seen, i, &seen{id: from, seq: seq - old, answeredSeq: seq - old, saidSeq: seq - old, answered: -inf, since: -inf, saidAt: -inf})
	}
	x := s.seen[i]
	x.zone, s.fresh = v.at[from].Zone, true
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
	leads := false
	if age := m.SaidAge + delay; (m.Said.Role != Unsaid || m.Said.Position > 0) && age <= v.set.Stale && newer(&x.saidSeq) {
		x.said, x.saidAt = m.Said, v.now-age
		if leads = m.Said.Role == Leads && s.said.Said.Role != Leads; leads {
			v.rumour(s, x)
		}
	}
	if leads || s.said.Bad && x.answered > s.said.Last { // else it has time until the next tick
		v.tellChange(s)
	}
}

// limit is how long a server may be silent with n waiting whose work is that.
func limit(work float64, n int) float64 {
	return work * (silentTurns + silentJobs/float64(min(silentMost, max(1, n))))
}

func (v *Verdicts) counts(x *seen) bool { return len(v.shunned) == 0 || v.now >= v.shunned[x.id] }

// review has those count for nothing for a while whose words others' evidence contradicts: one alone gets answers, or one alone gets none.
func (v *Verdicts) review(s *server) {
	first, second, by, silent := -inf, -inf, ID(0), 0 // the last answers of two
	for _, x := range s.seen {
		if x.n > 0 {
			silent++
		}
		switch {
		case !v.counts(x):
		case x.answered > first:
			first, second, by = x.answered, first, x.id
		case x.answered > second:
			second = x.answered
		}
	}
	var liars []ID
	for _, x := range s.seen {
		others := first
		if by == x.id {
			others = second
		}
		if x.answered > x.since && others > x.since {
			x.since = x.answered
		}
		if silent > 0 && (x.n >= silentMost || x.answered > x.since && silent >= contrary) && v.counts(x) && v.contradicted(s, x) {
			liars = append(liars, x.id)
		}
	}
	for _, id := range liars {
		v.shunned[id] = v.now + v.set.Shun
	}
}

func (v *Verdicts) contradicted(s *server, x *seen) bool {
	fails, gets := 0, 0
	for _, y := range s.seen {
		if y == x || !v.counts(y) || y.zone != x.zone {
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

func (v *Verdicts) silent(s *server, zone *string) (silence, bool) {
	a := -inf
	for _, x := range s.seen {
		if (zone == nil || x.zone == *zone) && v.counts(x) {
			a = max(a, x.answered)
		}
	}
	q := silence{first: inf, last: -inf, zones: map[string]bool{}}
	for _, x := range s.seen {
		if x.n == 0 || zone != nil && x.zone != *zone || x.last <= a || v.now-x.last > v.set.Lapse || !v.counts(x) {
			continue
		}
		first, n := x.first, min(x.n, silentMost)
		if first <= a {
			first, n = x.last, 1
		}
		q.k, q.n, q.first, q.last, q.zones[x.zone] = q.k+1, q.n+n, min(q.first, first), max(q.last, x.last), true
		q.works = append(q.works, x.work)
		if len(q.by) < 2 {
			q.by = append(q.by, x.id)
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
	if v.set.Health {
		var zones []string
		any := false
		for _, x := range s.seen {
			if !v.counts(x) {
				continue
			}
			if x.answered > -inf {
				out.Answered = max(out.Answered, x.answered)
			}
			if any = any || x.n > 0; x.n > 0 && !slices.Contains(zones, x.zone) && len(zones) < mostZones {
				zones = append(zones, x.zone)
			}
		}
		if any {
			v.judgeHealth(s, zones, &out)
		}
	}
	out.Said, out.SaidAge = v.vouched(s)
	return out // its times are moments yet
}

func (v *Verdicts) judgeHealth(s *server, zones []string, out *Sum) {
	q, bad := v.silent(s, nil)
	out.All = bad && (v.zones < 2 || len(q.zones) >= 2 || v.set.Broken == OneEnough)
	if out.Bad = out.All; !out.All {
		for _, z := range zones {
			if qz, bad := v.silent(s, &z); bad {
				out.Bad, q = true, qz
				out.Zones = append(out.Zones, zoneKey(z))
			}
		}
	}
	if out.Bad {
		out.First, out.Last, out.By = q.first, q.last, q.by
	}
}

func zoneKey(z string) uint32 { return uint32(xxhash.Sum64String(z)) }

// newest are the newest few that were told, the newest first.
type newest struct {
	at, told [16]float64
	n        int
}

func (w *newest) add(at, told float64, most int) {
	i := w.n
	for i > 0 && at > w.at[i-1] {
		i--
	}
	if i >= most {
		return
	}
	w.n = min(w.n+1, most)
	copy(w.at[i+1:w.n], w.at[i:])
	copy(w.told[i+1:w.n], w.told[i:])
	w.at[i], w.told[i] = at, told
}

// vouched is the newest that enough observers say of a server, and when the last of them was told.
func (v *Verdicts) vouched(s *server) (Said, float64) {
	k := min(16, max(1, v.set.Vouch))
	if v.set.Broken == OneEnough {
		k = 1
	}
	var by [3]newest // of whatever role, as the primary, as a replica
	for _, x := range s.seen {
		if x.said.Position <= 0 || v.now-x.saidAt > v.set.Stale || !v.counts(x) {
			continue
		}
		by[Unsaid].add(x.said.Position, x.saidAt, k)
		if x.said.Role != Unsaid {
			by[x.said.Role].add(x.said.Position, x.saidAt, k)
		}
	}
	said := func(r Role) float64 {
		if by[r].n < k {
			return 0
		}
		return by[r].at[k-1]
	}
	role := Unsaid
	switch {
	case v.set.Roles && said(Leads) > said(Follows):
		role = Leads
	case !v.set.Places || said(Unsaid) == 0:
		return Said{}, 0
	case said(Follows) > 0:
		role = Follows
	}
	return Said{role, by[role].at[k-1]}, by[role].told[k-1]
}

// Judged is what this process makes of all servers as a collector, for those who look.
func (v *Verdicts) Judged() (out []Sum) {
	for _, s := range v.order {
		out = append(out, v.judge(s))
	}
	return out
}

// rumour has this collector look itself where one says that another than the known one leads.
func (v *Verdicts) rumour(s *server, x *seen) {
	if !v.set.Roles || v.now-s.looked < lookEach {
		return
	}
	newest := 0.0
	for _, o := range v.groups[s.Group] {
		newest = max(newest, o.said.leads())
	}
	if x.said.Position > newest {
		s.looked = v.now
		v.out = append(v.out, Action{Kind: Look, Server: s.Name})
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
		s.said = x
		v.word([]*server{s})
	}
}

// publish tells all what is new, or what stands.
func (v *Verdicts) publish(full bool) {
	var list []*server
	for _, s := range v.order {
		if len(s.seen) == 0 || !slices.Contains(v.collectors(s), v.self) {
			continue
		}
		if full {
			v.review(s)
		}
		if !s.fresh && !s.said.Bad && !full {
			continue
		}
		x, was := v.judge(s), s.said
		s.fresh = slices.ContainsFunc(s.seen, func(x *seen) bool { return x.n > 0 }) // time may make it a verdict
		if s.said = x; !x.same(&was) || v.set.Places && x.Said.Position > was.Said.Position || full && (x.Bad || x.Said.Role == Leads) {
			list = append(list, s)
		}
	}
	v.word(list)
}

// word tells everybody, this process included, what it made of servers.
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
		x := s.said
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
