package view

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// news is a record that is to go round.
type news struct {
	m    *member
	sent int
	no   uint32
}

// fill adds news to a message, those that went out least first.
func (v *View) fill(x *Message, to *member, left int) {
	most := repeats * bits.Len(uint(len(v.ring)))
	kept := v.news[:0]
	for _, n := range v.news {
		if n.sent >= most {
			continue
		}
		kept = append(kept, n)
	}
	clear(v.news[len(kept):])
	v.news = kept
	sent := false
	for _, n := range v.news {
		if size := n.m.Size(); n.m != to && size <= left {
			x.Records = append(x.Records, n.m.Record)
			left -= size
			n.sent++
			sent = true
		}
		if left < 40 {
			break
		}
	}
	if sent {
		slices.SortStableFunc(v.news, func(a, b *news) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.no, a.no)) })
	}
}

// tell has a record go round.
func (v *View) tell(m *member) {
	v.seq++
	for _, n := range v.news {
		if n.m == m {
			n.sent, n.no = 0, v.seq
			v.first(n)
			return
		}
	}
	n := &news{m: m, no: v.seq}
	v.news = append(v.news, n)
	v.first(n)
}

func (v *View) gossip() {
	if len(v.news) == 0 {
		return
	}
	for _, m := range v.any(v.set.Fanout, nil) {
		x := &Message{Kind: Gossip}
		if v.send(m, x); len(x.Records) == 0 {
			v.out = v.out[:len(v.out)-1]
		}
	}
}

// trade has a full exchange with a process, unless there was one within the pause.
func (v *View) trade(m *member, pause float64) {
	if at, ok := v.tradedAt[m.ID]; ok && v.now-at < pause {
		return
	}
	v.tradedAt[m.ID] = v.now
	v.act(Action{Kind: Trade, Addr: m.Addr})
}

// exchanged takes the other side's records.
func (v *View) exchanged(records []Record) {
	for i := range records {
		if i == 0 { // its own comes first
			if m := v.all[records[i].ID]; m != nil && m != v.self {
				v.met(m)
			}
		}
		v.take(&records[i])
	}
	v.settled = v.settled || len(records) > 0 && records[0].ID != v.self.ID
}

// Records are all that this process knows, its own first: its side of a full exchange.
func (v *View) Records() []Record {
	out := []Record{v.self.Record}
	for _, m := range v.members() {
		if m != v.self {
			out = append(out, m.Record)
		}
	}
	return out
}

// members are all that are known, by ID.
func (v *View) members() []*member {
	out := make([]*member, 0, len(v.all))
	for _, m := range v.all {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// take takes a record, where it is a later word than what is known.
func (v *View) take(r *Record) {
	if !r.Good() {
		v.stranger++
		return
	}
	if r.ID == v.self.ID {
		if r.State == Suspect || r.State == Failed || r.Inc > v.self.Inc { // it is said of one that runs
			if r.Inc >= v.self.Inc {
				v.raise(r.Inc + 1)
			}
		}
		return
	}
	m := v.all[r.ID]
	fresh := m == nil
	if fresh {
		if len(v.all) >= MostRecords {
			v.stranger++
			return
		}
		m = &member{Record: *r, place: place(r.ID)}
		v.all[r.ID] = m
	} else if compare(r, &m.Record) <= 0 {
		return
	}
	was := m.State
	if !fresh && was == Suspect {
		v.suspects--
	}
	if r.Addr != m.Addr && v.holds[m.Addr] == m {
		delete(v.holds, m.Addr)
	}
	m.Record, v.stale = *r, true
	switch m.State {
	case Alive:
		m.missed, m.goneAt = 0, 0
	case Suspect:
		v.suspects++
		m.goneAt = 0 // a later word than its failure: it was there in between
		m.deadline = v.now + v.set.Suspicion
	default:
		if m.goneAt == 0 {
			m.goneAt = v.now
		}
	}
	v.file(m)
	v.tell(m)
	v.act(Action{Kind: Changed, Record: m.Record, Was: was, New: fresh})
	if m.State == Alive {
		v.displace(m)
	}
}

// file puts a process among those that run, or among the lost, or in neither.
func (v *View) file(m *member) {
	at, on := slices.BinarySearchFunc(v.ring, m, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.ID, b.ID))
	})
	switch runs := m.State <= Suspect; {
	case runs && !on:
		v.ring = slices.Insert(v.ring, at, m)
	case !runs && on:
		v.ring = slices.Delete(v.ring, at, at+1)
	}
	i := slices.Index(v.lost, m)
	switch {
	case m.State == Failed && i < 0:
		v.lost = append(v.lost, m)
	case m.State != Failed && i >= 0:
		v.lost = slices.Delete(v.lost, i, i+1)
	}
}

// displace has an older process leave whose name and address a younger one has: only one can hold the address.
func (v *View) displace(m *member) {
	o := v.holds[m.Addr]
	if o == nil || o == m || o.State == Left || o.Name != m.Name {
		if o == nil || o.ID < m.ID {
			v.holds[m.Addr] = m
		}
		return
	}
	old, young := o, m
	if old.ID > young.ID {
		old, young = young, old
	}
	v.holds[m.Addr] = young
	if old == v.self { // it holds the address: the other has ended, and began by a clock that was ahead
		v.act(Action{Kind: Conflict, Text: fmt.Sprintf("process %x was at %s before this one and is younger by its clock: this one takes a later ID", uint64(young.ID), young.Addr)})
		v.renew(young)
		return
	}
	r := old.Record
	r.State = Left
	v.take(&r)
}

// renew has this process go by an ID that is later than another's.
func (v *View) renew(than *member) {
	id := (than.ID>>16+1)<<16 | v.self.ID&0xffff
	delete(v.all, v.self.ID)
	v.ring = slices.DeleteFunc(v.ring, func(m *member) bool { return m == v.self })
	v.self.ID, v.self.place = id, place(id)
	v.all[id], v.holds[v.self.Addr] = v.self, v.self
	v.file(v.self)
	r := than.Record
	r.State = Left
	v.take(&r)
	v.raise(v.self.Inc + 1)
}

// giveWay settles who keeps a name that two processes have at different addresses, each of which runs: the older one.
func (v *View) giveWay(m *member) {
	if m.ID > v.self.ID {
		if m.missed >= 0 && v.tradedAt[^m.ID] == 0 { // said once
			v.tradedAt[^m.ID] = v.now
			v.act(Action{Kind: Conflict, Text: fmt.Sprintf("a younger process at %s has this one's name %q; it is to give way", m.Addr, m.Name)})
		}
		return
	}
	name := fmt.Sprintf("%.48s~%x", v.self.Name, uint64(v.self.ID)&0xffffff)
	v.act(Action{Kind: Conflict, Text: fmt.Sprintf("an older process at %s has the name %q: this one goes by %q", m.Addr, m.Name, name)})
	v.self.Name = name
	v.raise(v.self.Inc + 1)
}

// raise gives this process a later word on itself.
func (v *View) raise(inc uint32) {
	v.self.Inc = inc
	v.tell(v.self)
}

// forget drops what has been gone for long.
func (v *View) forget() {
	if v.now < v.forgetAt {
		return
	}
	v.forgetAt = v.now + v.set.Reconnect
	for _, m := range v.all {
		if m.State >= Failed && v.now-m.goneAt >= v.set.Forget {
			delete(v.all, m.ID)
			delete(v.tradedAt, m.ID)
			delete(v.tradedAt, ^m.ID)
			if v.holds[m.Addr] == m {
				delete(v.holds, m.Addr)
			}
			v.stale = true
			if i := slices.Index(v.lost, m); i >= 0 {
				v.lost = slices.Delete(v.lost, i, i+1)
			}
			v.news = slices.DeleteFunc(v.news, func(n *news) bool { return n.m == m })
		}
	}
}
