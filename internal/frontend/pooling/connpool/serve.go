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
		p.emit(Action{Kind: Close, Server: to, Conn: x.id})
	}
	for _, x := range p.conns {
		x.closeWhenFree = x.closeWhenFree || x.server == to
	}
	for queue := p.queues[to]; queue != nil; queue = p.queues[to] {
		p.rejectWaiter(queue.first())
	}
	p.serve(to, now)
	return p.takeActions()
}

// Unbar tells that a server may be used again.
func (p *Pool) Unbar(to string) { p.server(to).barred = false }

// Barred tells whether a server drains or is gone.
func (p *Pool) Barred(to string) bool { return p.server(to).barred }

// Tick lets time pass: waits that were too long end, and connections that rested or lived too long are closed.
func (p *Pool) Tick(now float64) []Action {
	for _, admission := range p.admissions {
		for w := admission.first(); p.limits.MaxWaitMs > 0 && w != nil && now-w.since >= p.limits.MaxWaitMs; w = admission.first() {
			p.rejectQueued(w)
		}
	}
	for _, name := range p.serversWanted() {
		for queue := p.queues[name]; p.limits.MaxWaitMs > 0 && queue != nil && now-queue.first().since >= p.limits.MaxWaitMs; queue = p.queues[name] {
			p.rejectWaiter(queue.first())
		}
	}
	for _, l := range p.idle {
		for _, x := range slices.Clone(l) {
			if p.limits.MaxIdleMs > 0 && now-x.since >= p.limits.MaxIdleMs || p.limits.MaxAgeMs > 0 && now-x.openedAt >= p.limits.MaxAgeMs {
				p.drop(x)
				p.emit(Action{Kind: Close, Server: x.server, Conn: x.id})
			}
		}
	}
	slices.SortFunc(p.actions, func(a, b Action) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.Conn, b.Conn), cmp.Compare(a.Waiter, b.Waiter))
	})
	p.dialForWaiting(now)
	return p.takeActions()
}

// serversWanted are the servers that somebody waits for, those whose first waits longest in front.
func (p *Pool) serversWanted() []string {
	names := make([]string, 0, len(p.queues))
	for name := range p.queues {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(p.queues[a].first().sequence, p.queues[b].first().sequence) })
	return names
}

// serve gives what is idle at a server to those who wait for it, the first come first, and opens what may be opened.
func (p *Pool) serve(server string, now float64) {
	for queue := p.queues[server]; queue != nil && len(p.idle[server]) > 0; queue = p.queues[server] {
		idle := p.idle[server]
		x, w := idle[len(idle)-1], queue.first()
		p.idle[server] = idle[:len(idle)-1]
		x.state = used
		p.dequeue(w)
		p.emit(Action{Kind: Assign, Server: server, Conn: x.id, Waiter: w.id})
	}
	p.dialForWaiting(now)
}

// dialForWaiting opens connections for those who wait, as far as that may be.
func (p *Pool) dialForWaiting(now float64) {
	if len(p.queues) == 0 {
		return
	}
	for _, name := range p.serversWanted() {
		s := p.server(name)
		for s.dialing < p.queues[name].length && p.mayDial(name, now) && p.haveCapacity(p.queues[name].first(), now) {
			s.dialing++
			p.dialing++
			p.emit(Action{Kind: Dial, Server: name})
		}
	}
}

// mayDial tells whether a server may have one more connection.
func (p *Pool) mayDial(name string, now float64) bool {
	s := p.server(name)
	return s.dialing < p.limits.MaxDials && now >= s.noDialBefore && s.conns+s.dialing < p.limits.MaxPerServer
}

// haveCapacity tells whether there may be one more connection in all. Where all are taken, one that idles makes room: it is
// at a server that nobody waits for.
func (p *Pool) haveCapacity(w *waiter, now float64) bool {
	most := p.limits.MaxConns
	if p.limits.Reserve > 0 && now-w.since >= p.limits.ReserveMs {
		most += p.limits.Reserve
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
	p.emit(Action{Kind: Close, Server: oldest.server, Conn: oldest.id})
	return true
}
