package outlier

import (
	"slices"
)

// early is how many times its work an attempt may take before it is told as unanswered.
const early = 2.0

// own is what this process saw of a server.
type own struct {
	open              []sent
	answered, as      float64 // the last answer's coming; the send of the latest attempt that was answered
	n                 int     // that ended without an answer, sent after that
	first, last, work float64
	said              Said
	saidAt            float64
	fresh             bool // something is new since it was told
}

type sent struct {
	ref      uint64
	at, work float64
}

func (o *own) clear() { *o = own{answered: -inf, as: -inf, saidAt: -inf} }

func (o *own) sent(now float64, ref uint64, work float64) {
	if len(o.open) < mostOpen {
		o.open = append(o.open, sent{ref, now, work})
	}
}

func (o *own) say(now float64, s Said) {
	if s.Role != Unsaid || s.Position > 0 {
		o.said, o.saidAt, o.fresh = s, now, true
	}
}

func (v *Verdicts) ended(e *Ended) {
	s := v.byName[e.Server]
	if s == nil {
		return
	}
	o := &s.own
	i := slices.IndexFunc(o.open, func(x sent) bool { return x.ref == e.Ref })
	if i < 0 {
		return
	}
	x := o.open[i]
	o.open = slices.Delete(o.open, i, i+1)
	switch end := e.End; {
	case end == Answered:
		o.answered, o.as, o.fresh = v.now, max(o.as, x.at), true
		if o.last <= o.as {
			o.n = 0
		} else if o.n > 0 {
			o.n, o.first = 1, o.last
		}
		if s.avoid.on && !s.avoid.turn || v.calledBad(s) { // it is not what they say
			v.weigh(s)
			v.push(s)
		}
	case end == Lost || v.now-x.at >= early*x.work:
		if x.at > o.as {
			if o.n == 0 {
				o.first, o.last, o.work = x.at, x.at, x.work
			}
			o.first, o.last, o.work, o.n, o.fresh = min(o.first, x.at), max(o.last, x.at), max(o.work, x.work), min(o.n+1, mostCount), true
		}
	}
	v.says(s, e.Said)
}

func (v *Verdicts) probed(e *Probed) {
	s := v.byName[e.Server]
	if s == nil {
		return
	}
	v.says(s, e.Said)
	if e.OK && s.avoid.on && s.avoid.turn {
		v.out = append(v.out, Action{Kind: Try, Server: s.Name})
	}
}

// says takes what a server said of itself. That another than the known one leads is told at once.
func (v *Verdicts) says(s *server, said Said) {
	if s.own.say(v.now, said); said.Role == Leads && v.set.Roles && v.leader(s.Group) != s {
		v.push(s)
	}
}

// leader is who leads a group by what the module was told, or by what this process heard itself.
func (v *Verdicts) leader(group int) (best *server) {
	at := 0.0
	for _, s := range v.groups[group] {
		if x := s.learnt[1]; x > at {
			best, at = s, x
		}
	}
	return best
}

// push tells the collectors of a server at once, but not twice within a step.
func (v *Verdicts) push(s *server) {
	if v.now-s.pushed < v.set.Step {
		return
	}
	s.pushed = v.now
	v.tell([]*server{s})
}

// item is what there is to tell of a server.
func (v *Verdicts) item(s *server) Item {
	o := &s.own
	x := Item{Key: s.key, Answered: -1}
	if v.set.Health {
		if v.now-o.answered <= 2*v.set.Lapse {
			x.Answered = v.now - o.answered
		}
		n, first, last, work := o.n, o.first, o.last, o.work
		for _, a := range o.open {
			if a.at <= o.as || v.now-a.at < early*a.work {
				continue
			}
			if n == 0 {
				first, last = a.at, a.at
			}
			n, first, last, work = n+1, min(first, a.at), max(last, a.at), max(work, a.work)
		}
		if n > 0 && v.now-last <= v.set.Lapse {
			x.N, x.First, x.Last, x.Work = min(n, mostCount), v.now-first, v.now-last, work
		}
	}
	if age := v.now - o.saidAt; age <= v.set.Stale && (v.set.Places || v.set.Roles && o.said.Role == Leads) {
		x.Said, x.SaidAge = o.said, age
	}
	return x
}

// tellNews tells what is new, or all that stands.
func (v *Verdicts) tellNews(full bool) {
	var list []*server
	for _, s := range v.order {
		if x := v.item(s); s.own.fresh || x.N != s.told.N || full && (x.N > 0 || x.Answered >= 0 && x.Answered <= v.set.Lapse || x.Said.Role == Leads) {
			list = append(list, s)
		}
	}
	v.tell(list)
}

// tell tells the servers' collectors.
func (v *Verdicts) tell(list []*server) {
	v.seq++
	slices.SortStableFunc(list, func(a, b *server) int { return a.Group/Block - b.Group/Block })
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].Group/Block == list[0].Group/Block {
			n++
		}
		var items []Item
		for _, s := range list[:n] {
			x := v.item(s)
			s.told, s.own.fresh = x, false
			items = append(items, x)
		}
		for _, id := range v.collectors(list[0]) {
			if id == v.self {
				for i, s := range list[:n] {
					v.file(s, id, v.seq, &items[i], 0)
				}
				continue
			}
			split(items, (*Item).size, func(part []Item) {
				v.out = append(v.out, Action{Kind: Send, To: id, Addr: v.at[id].Addr, Tell: &Tell{Seq: v.seq, Items: part}})
			})
		}
		list = list[n:]
	}
}
