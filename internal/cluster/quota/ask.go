package quota

import "math"

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
