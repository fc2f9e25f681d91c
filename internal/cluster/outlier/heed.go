package outlier

import (
	"cmp"
	"slices"
)

// word is what a collector said of a server, in this process's time.
type word struct {
	seq         uint32
	at          float64
	bad         bool // for this process's zone
	first, last float64
	answered    float64
	by          []ID
	said        Said
	saidAt      float64
}

// avoid is how a server stands here by others' word.
type avoid struct {
	on    bool
	turn  bool // it is this process's turn to try
	since float64
	until float64
	why   string
	by    []ID
}

// hear takes a collector's word.
func (v *Verdicts) hear(s *server, from ID, seq uint32, m *Sum) {
	if !slices.Contains(v.collectors(s), from) {
		return
	}
	w := s.says[from]
	if w == nil {
		w = &word{seq: seq - 1}
		s.says[from] = w
	}
	if int32(seq-w.seq) <= 0 {
		return
	}
	delay := v.set.Delay
	if from == v.self {
		delay = 0
	}
	at := func(age float64) float64 {
		if age < 0 {
			return -inf
		}
		if v.set.Broken == HeardAge {
			return v.now
		}
		return v.now - age
	}
	w.seq, w.at, w.first, w.last, w.answered, w.by = seq, v.now, at(m.First), at(m.Last), at(m.Answered), m.By
	w.bad = m.Bad && v.set.Health && (m.All || slices.Contains(m.Zones, zoneKey(v.at[v.self].Zone)))
	if m.Said != (Said{}) && m.SaidAge+delay <= v.set.Stale {
		w.said, w.saidAt = m.Said, v.now-m.SaidAge-delay
	}
	v.learn(s)
	v.weigh(s)
}

// learn has the module take the newest that enough collectors say.
func (v *Verdicts) learn(s *server) {
	nth := func(ok func(Said) bool) (p, at float64) {
		var have []*word
		for _, w := range s.says { // sorted below
			if ok(w.said) && v.now-w.saidAt <= v.set.Stale {
				have = append(have, w)
			}
		}
		if n := v.set.need(len(v.peers)); len(have) >= n {
			slices.SortFunc(have, func(a, b *word) int {
				return cmp.Or(cmp.Compare(b.said.Position, a.said.Position), cmp.Compare(b.saidAt, a.saidAt))
			})
			return have[n-1].said.Position, have[n-1].saidAt
		}
		return 0, 0
	}
	tell := func(k int, role Role, p, at float64) {
		if v.set.Broken == NotAged {
			p = v.now
		}
		if p > s.learnt[k] {
			s.learnt[k] = p
			v.out = append(v.out, Action{Kind: Learn, Server: s.Name, Said: Said{role, p}, Age: v.now - at})
		}
	}
	if p, at := nth(func(x Said) bool { return x.Role == Leads && x.Position > 0 }); p > 0 && v.set.Roles {
		tell(1, Leads, p, at)
	}
	if p, at := nth(func(x Said) bool { return x.Position > 0 }); p > 0 && v.set.Places {
		tell(0, Unsaid, p, at)
	}
}

// calledBad tells whether enough collectors call a server bad, and what the newest says.
func (v *Verdicts) calledBad(s *server) bool { n, _ := v.called(s); return n }

func (v *Verdicts) called(s *server) (bool, *word) {
	var newest *word
	n := 0
	for _, id := range v.collectors(s) {
		if w := s.says[id]; w != nil && w.bad && v.now-w.at <= v.set.holds() && v.now-w.last <= v.set.Lapse {
			if n++; newest == nil || w.last > newest.last {
				newest = w
			}
		}
	}
	return n >= v.set.need(len(v.peers)), newest
}

// weigh holds what collectors say of a server against what this process saw, and against what they take away already.
func (v *Verdicts) weigh(s *server) {
	bad, w := v.called(s)
	if bad && s.own.as >= w.first && v.set.Broken != OwnLoses { // it answered what this process sent after all that they have against it began
		bad = false
	}
	if bad && !v.spare(s) {
		bad = false
	}
	if !bad {
		if s.avoid.on {
			v.release(s, true)
		}
		return
	}
	begins := !s.avoid.on
	if begins {
		s.avoid = avoid{on: true, since: v.now}
		v.out = append(v.out, Action{Kind: Avoid, Server: s.Name})
	}
	s.avoid.why, s.avoid.by, s.avoid.until = "silent", w.by, min(w.last+v.set.Lapse, w.at+v.set.holds())
	if begins {
		v.out = append(v.out, Action{Kind: Begins, Server: s.Name, Standing: s.standing()})
	}
	turn := v.turn(s)
	switch {
	case turn && !s.avoid.turn:
		v.out = append(v.out, Action{Kind: Look, Server: s.Name})
	case !turn && s.avoid.turn:
		v.out = append(v.out, Action{Kind: Avoid, Server: s.Name})
	}
	s.avoid.turn = turn
}

// spare tells whether a group can do without a server by others' word: not too many are so, and another is left.
func (v *Verdicts) spare(s *server) bool {
	members := v.groups[s.Group]
	taken, left := 0, 0
	for _, o := range members {
		switch {
		case o == s:
		case o.avoid.on:
			taken++
		case !o.down:
			left++
		}
	}
	return left > 0 && taken < v.set.Blinded(len(members))
}

// turn tells whether it is this process's turn to try a server: some of all do at any time, each for a while, the ones with the least hashes.
func (v *Verdicts) turn(s *server) bool {
	round := uint64((v.now - s.avoid.since) / max(1, v.set.Turn))
	if round == 0 {
		return false
	}
	draw := func(id ID) uint64 { return mixed(uint64(s.key)<<32^uint64(id), round+1) }
	own, before := draw(v.self), 0
	for i := range v.peers {
		if id := v.peers[i].ID; id != v.self && draw(id) < own {
			before++
		}
	}
	return before < v.set.Trying(len(v.peers))
}

func mixed(h, salt uint64) uint64 {
	h = (h ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return h ^ h>>29
}

// release ends a verdict here.
func (v *Verdicts) release(s *server, try bool) {
	last := s.avoid
	s.avoid = avoid{}
	v.out = append(v.out, Action{Kind: Ends, Server: s.Name})
	if !try {
		return
	}
	for _, w := range s.says { // any
		if !w.bad && w.answered > last.since {
			v.out = append(v.out, Action{Kind: Try, Server: s.Name})
			return
		}
	}
}
