package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// ask tells the leader what is to be told now.
func (p *Purse) ask() {
	var asks []message.Ask
	for _, t := range p.list {
		for _, depth := range p.wanted(t) {
			o := t.pot(depth)
			if a, ok := p.about(t, o); ok {
				asks = append(asks, a)
			}
		}
		for _, o := range t.pots {
			for i := range o.over {
				a := &o.over[i]
				if a.held > 0 || a.askAt > 0 && p.now < a.askAt {
					continue
				}
				a.askAt = p.now + p.set.Renew
				asks = append(asks, message.Ask{Key: p.key(t, o, a), Seq: a.seq, Spent: a.spent, Returned: a.returned, Final: true})
			}
		}
	}
	for i := range p.wills {
		w := &p.wills[i]
		first := w.Key.Tenant == "" && slices.ContainsFunc(p.wills, func(o will) bool { return o.Key.Holder == w.Key.Holder && o.Key.Tenant != "" })
		if p.now >= w.askAt && !first {
			w.askAt = p.now + 2*p.set.Renew
			asks = append(asks, message.Ask{Key: w.Key, Spent: w.Spent, Final: true, Heir: true, Rest: w.read})
		}
	}
	for part := range slices.Chunk(asks, message.MostItems) {
		p.out = append(p.out, Action{Kind: Tell, Asks: part})
	}
}

func (p *Purse) key(t *tenant, o *pot, a *account) ledger.Key {
	return ledger.Key{Tenant: t.name, Depth: o.depth, Holder: p.self, Gen: a.gen}
}

// wanted are the depths that a tenant wants something of: nothing beyond its funds but for classes that ask.
func (p *Purse) wanted(t *tenant) []int64 {
	out := []int64{0}
	for i := range t.flows {
		if d := p.set.Classes[i].Depth; d > 0 && !slices.Contains(out, d) && t.flows[i].rate(p.now) > 0 {
			out = append(out, d)
		}
	}
	for _, o := range t.pots {
		if o.cur.gen > 0 && !slices.Contains(out, o.depth) {
			out = append(out, o.depth)
		}
	}
	return out
}

// need is what waits for funds of a depth.
func (p *Purse) need(t *tenant, depth int64) (n int64) {
	for _, w := range t.waits {
		if d := p.set.Classes[w.class].Depth; depth == 0 || d == depth {
			n += p.set.Classes[w.class].held(w.parts)
		}
	}
	return n
}

// rate is what is spent a second of a depth: beyond the funds, what the classes that may ask for.
func (p *Purse) rate(t *tenant, o *pot) float64 {
	if o.depth == 0 {
		return o.flow.rate(p.now)
	}
	n := 0.0
	for i := range t.flows {
		if p.set.Classes[i].Depth == o.depth {
			n += t.flows[i].rate(p.now)
		}
	}
	return n
}

// about is what is to be said about a pot now, if anything.
func (p *Purse) about(t *tenant, o *pot) (message.Ask, bool) {
	a := &o.cur
	need, rate := p.need(t, o.depth), p.rate(t, o)
	price := p.price(t, o.depth)
	target := max(int64(rate*p.set.Span/1000), need)
	if rate > 1e-3 { // one in the hand while one is asked for
		target = max(target, 2*price)
	}
	dry := p.now < t.dry && t.total(p.now) > 0
	if dry { // one price, which may be the last
		target = max(need, price)
	}
	free := a.free()
	if a.gen > 0 && free > 0 && p.now-o.used > p.set.Idle && need == 0 && !dry && a.held == 0 { // nobody asks for it any more
		if a.granted > 0 {
			a.returned += free
			o.close()
		}
		return message.Ask{}, false
	}
	if target > 0 && free > tooMuch*target && a.till > 0 {
		a.returned += free - target
		free, o.called = target, true
	}
	if dry && need == 0 && a.till > 0 && free > 0 && free < p.leastPrice(t, o.depth) { // of use to nobody but with what others have
		a.returned += free
		free = 0
	}
	want := max(0, target-free)
	pause := p.set.Renew
	switch {
	case p.left:
		return message.Ask{}, false
	case o.called, need > free:
		pause = p.set.Soon
	case dry && free < price:
		pause = p.set.Dry
	case want > 0 && free <= target/2:
		pause = 2 * p.set.Soon
	case a.till > 0 && a.till-p.now < p.set.Lease/2:
	default:
		return message.Ask{}, false
	}
	if o.askAt > 0 && p.now < o.askAt+pause {
		return message.Ask{}, false
	}
	if a.gen == 0 {
		p.gen++
		a.gen = p.gen
	}
	a.seq++
	a.asks = append(a.asks, asked{a.seq, p.now})
	a.asks = a.asks[max(0, len(a.asks)-askMemory):]
	o.askAt, o.called = p.now, false
	return message.Ask{Key: p.key(t, o, a), Seq: a.seq, Spent: a.spent, Returned: a.returned, Want: want, Need: max(0, need-free), Rate: int64(rate)}, true
}

// price is the dearest of what is asked for, to a depth.
func (p *Purse) price(t *tenant, depth int64) (n int64) {
	for i := range t.flows {
		if c := &p.set.Classes[i]; t.flows[i].rate(p.now) > 1e-3 && (depth == 0 || c.Depth == depth) {
			n = max(n, c.held(1))
		}
	}
	return n
}

// leastPrice is the cheapest of what is asked for, to a depth.
func (p *Purse) leastPrice(t *tenant, depth int64) int64 {
	least := int64(math.MaxInt64)
	for i := range t.flows {
		if c := &p.set.Classes[i]; t.flows[i].rate(p.now) > 1e-3 && (depth == 0 || c.Depth == depth) {
			least = min(least, c.held(1))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// mark asks for a higher mark of an account where the one there is comes near.
func (p *Purse) mark(t *tenant, o *pot) {
	a := &o.cur
	if !p.set.Marks || a.gen == 0 || a.markNo > 0 {
		return
	}
	used, most := a.spent+a.held, a.granted-a.returned
	part := max(a.free()/markPart, p.price(t, o.depth), 1)
	if most <= a.mark || a.mark-used > part {
		return
	}
	p.markNo++
	a.marking, a.markNo = min(most, max(a.mark, used+2*part)), p.markNo
	p.out = append(p.out, Action{Kind: Write, No: p.markNo, Marks: p.marks()})
}

// marks are all that may have been spent of what is not closed.
func (p *Purse) marks() (out []Mark) {
	for _, t := range p.list {
		for _, o := range t.pots {
			for i := range o.over {
				out = append(out, Mark{p.key(t, o, &o.over[i]), o.over[i].spent + o.over[i].held})
			}
			if o.cur.gen > 0 {
				out = append(out, Mark{p.key(t, o, &o.cur), max(o.cur.mark, o.cur.marking)})
			}
		}
	}
	return out
}

func (p *Purse) marked(no uint64) {
	for _, t := range p.list {
		for _, o := range t.pots {
			if a := &o.cur; a.markNo > 0 && a.markNo <= no {
				a.mark, a.markNo = max(a.mark, a.marking), 0
			}
		}
		p.wake(t)
	}
}

// leave gives back all that is not held.
func (p *Purse) leave() {
	p.left = true
	for _, t := range p.list {
		p.turn(t, func(*waiting) bool { return true })
		for _, o := range t.pots {
			if o.cur.gen > 0 {
				o.close()
			}
		}
	}
	p.ask()
}

// willed takes the log's word on what others left.
func (p *Purse) willed(a *message.Answer) {
	i := slices.IndexFunc(p.wills, func(w will) bool { return w.Key == a.Key })
	switch {
	case i < 0:
	case a.Closed:
		if p.wills = slices.Delete(p.wills, i, i+1); a.Key.Tenant == "" {
			p.out = append(p.out, Action{Kind: Erase, Holder: a.Key.Holder})
		}
	case a.Key.Tenant == "" && a.Ended && !p.wills[i].read:
		p.out = append(p.out, Action{Kind: Read, Holder: a.Key.Holder})
	}
}

func (p *Purse) found(e *Found) {
	i := slices.IndexFunc(p.wills, func(w will) bool { return w.Key.Tenant == "" && w.Key.Holder == e.Holder })
	if i < 0 || p.wills[i].read {
		return
	}
	p.wills[i].read, p.wills[i].askAt = true, 0
	for _, m := range e.Marks {
		if m.Key.Holder == e.Holder && m.Key.Tenant != "" {
			p.wills = append(p.wills, will{Mark: m})
		}
	}
}
