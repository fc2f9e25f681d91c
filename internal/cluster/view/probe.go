package view

import "slices"

// try is a probe that is out.
type try struct {
	m      *member
	at     float64
	asked  bool // others have been asked
	seek   bool // of one that has failed
	helped ID   // on whose behalf
	seq    uint32
}

// stoodStill takes back what this process thought while it did not run: nobody could answer it.
func (v *View) stoodStill(late float64) {
	v.tries, v.order = map[uint32]*try{}, nil
	v.calmUntil = v.now + v.set.Calm
	for _, m := range v.ring {
		m.missed = 0
		if m.State == Suspect {
			m.deadline += late + v.set.Suspicion
		}
	}
}

// hears tells whether somebody other than m has answered since then: it is not this process's own links that are silent.
func (v *View) hears(m *member, since float64) bool {
	at := v.ackAt
	if v.ackFrom == m.ID {
		at = v.ackOther
	}
	return v.now >= v.calmUntil && (v.set.Confirm == 0 || at > since)
}

// alone tells whether nobody has answered for a while.
func (v *View) alone() bool {
	return v.now-max(v.ackAt, v.ackOther, v.began) > 3*v.set.Probe
}

// round probes those that this process watches.
func (v *View) round() {
	i := slices.Index(v.ring, v.self)
	n := len(v.ring)
	if v.alone() { // it goes round the whole ring for anybody who answers
		for range min(search, n-1) {
			if v.walk++; v.walk%n == 0 {
				v.walk++
			}
			v.probe(v.ring[(i+v.walk)%n], false, 0, 0)
		}
		return
	}
	watched := 0
	for k := 1; k < n && watched < v.set.Watched && k <= 8*v.set.Watched; k++ {
		m := v.ring[(i+k)%n]
		if v.probe(m, false, 0, 0); m.State == Alive && m.missed < 2 {
			watched++
		}
	}
}

// probe asks a process whether it is there.
func (v *View) probe(m *member, seek bool, helped ID, seq uint32) {
	v.seq++
	v.tries[v.seq] = &try{m: m, at: v.now, seek: seek, helped: helped, seq: seq}
	v.order = append(v.order, v.seq)
	v.send(m, &Message{Kind: Ping, Seq: v.seq, Target: m.ID})
}

func (v *View) first(n *news) {
	i := slices.Index(v.news, n)
	copy(v.news[1:i+1], v.news[:i])
	v.news[0] = n
}

// any draws processes that are taken for running, other than this one and one more.
func (v *View) any(n int, not *member) (out []*member) {
	for range 4 * n {
		if len(out) == n || len(v.ring) < 2 {
			break
		}
		m := v.ring[v.rng.IntN(len(v.ring))]
		if m != v.self && m != not && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// lookOut seeks one that has failed, and a seed where nobody is known.
func (v *View) lookOut() {
	if n := len(v.lost); n > 0 {
		for range min(seekMost, 1+n/max(1, len(v.ring)), n) {
			v.seek = (v.seek + 1) % n
			v.probe(v.lost[v.seek], true, 0, 0)
		}
	}
	if n := len(v.set.Seeds); n > 0 && (!v.settled || v.alone()) {
		for range n {
			v.seeds = (v.seeds + 1) % n
			if a := v.set.Seeds[v.seeds]; a != v.self.Addr {
				v.act(Action{Kind: Trade, Addr: a})
				break
			}
		}
	}
}

// overdue goes on with probes that have no answer.
func (v *View) overdue() {
	kept := v.order[:0]
	for _, no := range v.order {
		t := v.tries[no]
		if t == nil {
			continue
		}
		switch age := v.now - t.at; {
		case t.helped != 0 || t.seek:
			if age >= 2*v.set.Timeout {
				delete(v.tries, no)
				continue
			}
		case age >= 2*v.set.Timeout:
			delete(v.tries, no)
			v.silent(t)
			continue
		case age >= v.set.Timeout && !t.asked:
			t.asked = true
			for _, h := range v.any(v.set.Helpers, t.m) {
				v.send(h, &Message{Kind: Ask, Seq: no, Target: t.m.ID})
			}
			v.send(t.m, &Message{Kind: Ping, Seq: no, Target: t.m.ID})
		}
		kept = append(kept, no)
	}
	v.order = kept
}

// silent notes that a process answered neither directly nor by way of others.
func (v *View) silent(t *try) {
	m := t.m
	m.missed++
	v.stale = true
	if m.State == Alive && v.hears(m, t.at) {
		r := m.Record
		r.State = Suspect
		v.take(&r)
	}
}

// suspicions have those fail that did not refute theirs in time.
func (v *View) suspicions() {
	if v.suspects == 0 {
		return
	}
	lately := v.now - v.set.Probe - 2*v.set.Timeout - 2*v.set.Step
	for _, m := range slices.Clone(v.ring) {
		if m.State == Suspect && v.now >= m.deadline && v.hears(m, lately) {
			r := m.Record
			r.State = Failed
			v.take(&r)
		}
	}
}

func (v *View) heard(x *Message) {
	if x.From == v.self.ID {
		return
	}
	from := v.all[x.From]
	if from != nil {
		v.met(from)
	}
	for i := range x.Records {
		v.take(&x.Records[i])
	}
	from = v.all[x.From]
	switch x.Kind {
	case Ping:
		if from != nil && x.Target == v.self.ID {
			v.send(from, &Message{Kind: Ack, Seq: x.Seq, Target: v.self.ID})
		} else if from != nil { // one that was here before is looked for
			v.trade(from, v.set.Reconnect)
		}
	case Ask:
		if m := v.all[x.Target]; from != nil && m != nil && m != v.self {
			v.send(from, &Message{Kind: Ack, Seq: x.Seq, Target: v.self.ID}) // it is here, and asks
			v.probe(m, false, from.ID, x.Seq)
		}
	case Ack:
		v.acked(x)
	}
	if from != nil && from.State == Failed { // it runs, and knows others that may have been given up too
		v.trade(from, v.set.Reconnect)
	}
}

func (v *View) acked(x *Message) {
	t := v.tries[x.Seq]
	if t == nil || t.m.ID != x.Target && x.Target != x.From {
		return
	}
	if v.ackFrom != x.From {
		v.ackOther, v.ackFrom = v.ackAt, x.From
	}
	if v.ackAt = v.now; t.m.ID != x.Target { // a helper's word that it asks
		return
	}
	delete(v.tries, x.Seq)
	if t.m.missed > 0 {
		t.m.missed, v.stale = 0, true
	}
	if t.helped != 0 {
		if h := v.all[t.helped]; h != nil {
			v.send(h, &Message{Kind: Ack, Seq: t.seq, Target: t.m.ID})
		}
	}
}
