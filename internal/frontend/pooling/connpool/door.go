package connpool

// door lets as many transactions of one kind in as there may be connections. The others wait before it, so that nobody
// takes their wait for a server's own time.
type door struct {
	line
	in int
}

// Enter asks to be let in with a transaction of some kind: those that came before go first. Exit ends it, in either
// state.
func (p *Pool) Enter(w ID, kind string, now float64) []Action {
	d := p.doors[kind]
	if d == nil {
		d = &door{}
		p.doors[kind] = d
	}
	if p.inside[w] != nil || p.outside[w] != nil {
		return nil
	}
	p.seq++
	x := &waiter{id: w, server: kind, since: now, seq: p.seq}
	d.list = append(d.list, x)
	d.n++
	p.outside[w] = x
	p.admit(d)
	if p.outside[w] != nil && len(p.outside) > p.lim.Queue {
		p.turnAway(x)
	}
	return p.done()
}

// Exit tells that a transaction is over, or that its client wants it no more.
func (p *Pool) Exit(w ID) []Action {
	if d := p.inside[w]; d != nil {
		delete(p.inside, w)
		d.in--
		p.admit(d)
	} else if x := p.outside[w]; x != nil {
		x.gone = true
		p.doors[x.server].n--
		delete(p.outside, w)
	}
	return p.done()
}

func (p *Pool) admit(d *door) {
	for w := d.first(); w != nil && d.in < p.lim.Most+p.lim.Reserve; w = d.first() {
		w.gone = true
		d.n--
		d.in++
		delete(p.outside, w.id)
		p.inside[w.id] = d
		p.act(Action{Do: Admit, Waiter: w.id})
	}
}

func (p *Pool) turnAway(w *waiter) {
	w.gone = true
	p.doors[w.server].n--
	delete(p.outside, w.id)
	p.act(Action{Do: Refuse, Waiter: w.id})
}

// Outside is how many wait to be let in.
func (p *Pool) Outside() int { return len(p.outside) }
