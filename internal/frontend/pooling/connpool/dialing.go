package connpool

import (
	"cmp"
	"slices"
)

// DrainServer reports that a server is draining or was removed: its idle connections are closed, those in use once they are free, and
// its waiters are rejected. RestoreServer ends it.
func (p *Pool) DrainServer(name string, now float64) []Action {
	p.server(name).draining = true
	for len(p.idle[name]) > 0 {
		p.close(p.idle[name][0])
	}
	for _, c := range p.conns {
		c.closeWhenFree = c.closeWhenFree || c.server == name
	}
	for queue := p.queues[name]; queue != nil; queue = p.queues[name] {
		p.rejectWaiter(queue.first())
	}
	p.serve(name, now)
	return p.takeActions()
}

// RestoreServer reports that a server may be used again.
func (p *Pool) RestoreServer(name string) { p.server(name).draining = false }

// IsDraining reports whether a server is draining or was removed.
func (p *Pool) IsDraining(name string) bool { return p.server(name).draining }

// Tick rejects waiters that have waited too long, and closes idle connections that are too old or were idle for too long.
func (p *Pool) Tick(now float64) []Action {
	p.rejectExpired(now)
	for _, conns := range p.idle {
		for _, c := range slices.Clone(conns) {
			if p.idleTooLong(c, now) || p.tooOld(c, now) {
				p.close(c)
			}
		}
	}
	// The order must not depend on the iteration order of maps.
	slices.SortFunc(p.actions, func(a, b Action) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.Conn, b.Conn), cmp.Compare(a.Waiter, b.Waiter))
	})
	p.dialForWaiting(now)
	return p.takeActions()
}

// rejectExpired rejects waiters and queued transactions that have waited for MaxWaitMs.
func (p *Pool) rejectExpired(now float64) {
	if p.limits.MaxWaitMs <= 0 {
		return
	}
	expired := func(w *waiter) bool { return w != nil && now-w.since >= p.limits.MaxWaitMs }
	for _, admission := range p.admissions {
		for w := admission.first(); expired(w); w = admission.first() {
			p.rejectQueued(w)
		}
	}
	for _, name := range p.serversWithWaiters() {
		for queue := p.queues[name]; queue != nil && expired(queue.first()); queue = p.queues[name] {
			p.rejectWaiter(queue.first())
		}
	}
}

// serversWithWaiters returns the servers with waiters, in the order of their first waiters' arrival.
func (p *Pool) serversWithWaiters() []string {
	names := make([]string, 0, len(p.queues))
	for name := range p.queues {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(p.queues[a].first().sequence, p.queues[b].first().sequence) })
	return names
}

// serve assigns the idle connections to a server to its waiters, in order, and opens connections for those that remain.
func (p *Pool) serve(server string, now float64) {
	for queue := p.queues[server]; queue != nil && len(p.idle[server]) > 0; queue = p.queues[server] {
		conns := p.idle[server]
		c, w := conns[len(conns)-1], queue.first()
		p.idle[server] = conns[:len(conns)-1]
		c.state = used
		p.dequeue(w)
		p.emit(Action{Kind: Assign, Server: server, Conn: c.id, Waiter: w.id})
	}
	p.dialForWaiting(now)
}

// dialForWaiting opens connections for waiters, within the limits.
func (p *Pool) dialForWaiting(now float64) {
	if len(p.queues) == 0 {
		return
	}
	for _, name := range p.serversWithWaiters() {
		s, queue := p.server(name), p.queues[name]
		for s.dialing < queue.length && p.mayDial(name, now) && p.makeCapacity(queue.first(), now) {
			s.dialing++
			p.dialing++
			p.emit(Action{Kind: Dial, Server: name})
		}
	}
}

// mayDial reports whether one more connection to a server may be opened.
func (p *Pool) mayDial(name string, now float64) bool {
	s := p.server(name)
	return s.dialing < p.limits.MaxDials && now >= s.noDialBefore && s.conns+s.dialing < p.limits.MaxPerServer
}

// makeCapacity reports whether one more connection may be opened for a waiter. If there are as many as allowed, it closes the one that has
// been idle longest, if any: idle connections are to servers that nobody waits for.
func (p *Pool) makeCapacity(w *waiter, now float64) bool {
	limit := p.limits.MaxConns
	if p.limits.Reserve > 0 && now-w.since >= p.limits.ReserveMs {
		limit += p.limits.Reserve
	}
	return p.total() < limit || p.closeOldestIdle()
}

// removeIdle removes a connection from the idle ones.
func (p *Pool) removeIdle(c *conn) {
	conns := p.idle[c.server]
	if i := slices.Index(conns, c); i >= 0 {
		p.idle[c.server] = slices.Delete(conns, i, i+1)
	}
}
