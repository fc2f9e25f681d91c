package connpool

import (
	"cmp"
	"slices"
)

// Bar tells that a server drains or is gone: its idle connections are closed, those in use once they are free, and
// nobody waits for it any more. Unbar ends it.
func (p *Pool) Bar(to string, now float64) []Action {
	s := p.server(to)
	s.barred = true
	for len(p.idle[to]) > 0 {
		x := p.idle[to][0]
		p.drop(x)
		p.act(Action{Do: Close, Server: to, Conn: x.id})
	}
	for _, x := range p.conns {
		x.doomed = x.doomed || x.server == to
	}
	for l := p.lines[to]; l != nil; l = p.lines[to] {
		p.refuse(l.first())
	}
	p.serve(to, now)
	return p.done()
}

// Unbar tells that a server may be used again.
func (p *Pool) Unbar(to string) { p.server(to).barred = false }

// Barred tells whether a server drains or is gone.
func (p *Pool) Barred(to string) bool { return p.server(to).barred }

// Beat lets time pass: waits that were too long end, and connections that rested or lived too long are closed.
func (p *Pool) Beat(now float64) []Action {
	for _, d := range p.doors {
		for w := d.first(); p.lim.WaitMs > 0 && w != nil && now-w.since >= p.lim.WaitMs; w = d.first() {
			p.turnAway(w)
		}
	}
	for _, name := range p.hungry() {
		for l := p.lines[name]; p.lim.WaitMs > 0 && l != nil && now-l.first().since >= p.lim.WaitMs; l = p.lines[name] {
			p.refuse(l.first())
		}
	}
	for _, l := range p.idle {
		for _, x := range slices.Clone(l) {
			if p.lim.IdleMs > 0 && now-x.since >= p.lim.IdleMs || p.lim.LifeMs > 0 && now-x.born >= p.lim.LifeMs {
				p.drop(x)
				p.act(Action{Do: Close, Server: x.server, Conn: x.id})
			}
		}
	}
	slices.SortFunc(p.out, func(a, b Action) int {
		return cmp.Or(cmp.Compare(b.Do, a.Do), cmp.Compare(a.Conn, b.Conn), cmp.Compare(a.Waiter, b.Waiter))
	})
	p.open(now)
	return p.done()
}

// hungry are the servers that somebody waits for, those whose first waits longest in front.
func (p *Pool) hungry() []string {
	names := make([]string, 0, len(p.lines))
	for name := range p.lines {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(p.lines[a].first().seq, p.lines[b].first().seq) })
	return names
}

// serve gives what is idle at a server to those who wait for it, the first come first, and opens what may be opened.
func (p *Pool) serve(server string, now float64) {
	for l := p.lines[server]; l != nil && len(p.idle[server]) > 0; l = p.lines[server] {
		idle := p.idle[server]
		x, w := idle[len(idle)-1], l.first()
		p.idle[server] = idle[:len(idle)-1]
		x.state = used
		p.depart(w)
		p.act(Action{Do: Give, Server: server, Conn: x.id, Waiter: w.id})
	}
	p.open(now)
}

// open opens connections for those who wait, as far as that may be.
func (p *Pool) open(now float64) {
	if len(p.lines) == 0 {
		return
	}
	for _, name := range p.hungry() {
		s := p.server(name)
		for s.dialing < p.lines[name].n && p.room(name, now) && p.makeRoom(p.lines[name].first(), now) {
			s.dialing++
			p.dialing++
			p.act(Action{Do: Dial, Server: name})
		}
	}
}

// room tells whether a server may have one more connection.
func (p *Pool) room(name string, now float64) bool {
	s := p.server(name)
	return s.dialing < p.lim.Dials && now >= s.until && s.conns+s.dialing < p.lim.PerServer
}

// makeRoom tells whether there may be one more connection in all. Where all are taken, one that idles makes room: it is
// at a server that nobody waits for.
func (p *Pool) makeRoom(w *waiter, now float64) bool {
	most := p.lim.Most
	if p.lim.Reserve > 0 && now-w.since >= p.lim.ReserveMs {
		most += p.lim.Reserve
	}
	if len(p.conns)+p.dialing < most {
		return true
	}
	var oldest *conn
	for _, l := range p.idle {
		if len(l) > 0 && (oldest == nil || l[0].since < oldest.since || l[0].since == oldest.since && l[0].id < oldest.id) {
			oldest = l[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.drop(oldest)
	p.act(Action{Do: Close, Server: oldest.server, Conn: oldest.id})
	return true
}
