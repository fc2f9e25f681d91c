// Package share decides who gets a server connection, who waits, who is turned away and what is closed, for the pools of
// one pooler. It does no I/O, has no clock and no goroutines: it is told what happens and answers what is to be done.
package share

import (
	"cmp"
	"slices"
)

// Limits are a pool's. Times are in milliseconds; 0 stands for no limit.
type Limits struct {
	Most      int // connections to all servers together
	PerServer int // connections to one server, 0 for Most
	Reserve   int // more of them, for those that have waited ReserveMs
	ReserveMs float64
	Queue     int     // that wait at most
	WaitMs    float64 // longest wait
	LifeMs    float64 // a connection older than that is closed once it is free
	IdleMs    float64 // a connection idle for longer is closed
	Dials     int     // connections to one server that come up at once: a cold one is not pushed over by them
	AgainMs   float64 // after a dial that failed, before the next one to that server
}

// ID names a connection or a waiter; the caller gives it.
type ID uint64

// Action is what is to be done.
type Action struct {
	Do     Do
	Server string
	Conn   ID
	Waiter ID
}

// Do says what.
type Do uint8

// What may be to be done.
const (
	Dial   Do = iota // open a connection to Server; answered by Up or Down
	Give             // Conn is Waiter's now
	Refuse           // Waiter is turned away: the queue is full or it has waited too long
	Close            // Conn is to be closed; nobody has it
)

type state uint8

const (
	idle state = iota
	used
)

type conn struct {
	id     ID
	server string
	state  state
	born   float64
	since  float64 // idle since
	doomed bool    // closed once it is free
}

type waiter struct {
	id     ID
	server string
	since  float64
	seq    uint64
}

type server struct {
	dialing int
	conns   int
	until   float64 // no dial before
	barred  bool    // it drains or is gone
}

// Pool is one pool: a database and a user.
type Pool struct {
	lim     Limits
	conns   map[ID]*conn
	idle    map[string][]*conn // by server, the one used last at the end
	queue   []*waiter          // in order of their coming
	servers map[string]*server
	dialing int
	seq     uint64
	out     []Action
}

// New makes a pool.
func New(lim Limits) *Pool {
	if lim.PerServer <= 0 {
		lim.PerServer = lim.Most + lim.Reserve
	}
	lim.Dials = max(1, lim.Dials)
	return &Pool{lim: lim, conns: map[ID]*conn{}, idle: map[string][]*conn{}, servers: map[string]*server{}}
}

// Counts is how many connections are idle, in use and coming up, and how many clients wait.
func (p *Pool) Counts() (idle, used, dialing, waiting int) {
	for _, l := range p.idle {
		idle += len(l)
	}
	return idle, len(p.conns) - idle, p.dialing, len(p.queue)
}

// Oldest is since when the first in the queue waits, 0 for nobody.
func (p *Pool) Oldest() float64 {
	if len(p.queue) == 0 {
		return 0
	}
	return p.queue[0].since
}

func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	return s
}

func (p *Pool) act(a Action) { p.out = append(p.out, a) }

func (p *Pool) done() []Action {
	out := p.out
	p.out = nil
	return out
}

// Want asks for a connection to a server. Those that came before for the same server go first.
func (p *Pool) Want(w ID, to string, now float64) []Action {
	if p.server(to).barred {
		p.act(Action{Do: Refuse, Server: to, Waiter: w})
		return p.done()
	}
	p.seq++
	p.queue = append(p.queue, &waiter{id: w, server: to, since: now, seq: p.seq})
	p.serve(now)
	// It may only wait where there is room to: a place in the queue counts for those that found nothing.
	if len(p.queue) > p.lim.Queue {
		for i, x := range p.queue {
			if x.id == w {
				p.queue = slices.Delete(p.queue, i, i+1)
				p.act(Action{Do: Refuse, Server: to, Waiter: w})
				break
			}
		}
	}
	return p.done()
}

// Leave takes a waiter out that wants nothing any more.
func (p *Pool) Leave(w ID, now float64) []Action {
	p.queue = slices.DeleteFunc(p.queue, func(x *waiter) bool { return x.id == w })
	p.serve(now)
	return p.done()
}

// Up tells that a dial has become a connection.
func (p *Pool) Up(c ID, to string, now float64) []Action {
	s := p.server(to)
	s.dialing--
	p.dialing--
	s.conns++
	x := &conn{id: c, server: to, born: now}
	p.conns[c] = x
	p.free(x, now)
	p.serve(now)
	return p.done()
}

// Down tells that a dial has failed. Those who wait for that server are told, in their order, one for each dial: it is
// for the router to say where they go next.
func (p *Pool) Down(to string, now float64) []Action {
	s := p.server(to)
	s.dialing--
	p.dialing--
	s.until = now + p.lim.AgainMs
	for i, w := range p.queue {
		if w.server == to {
			p.queue = slices.Delete(p.queue, i, i+1)
			p.act(Action{Do: Refuse, Server: to, Waiter: w.id})
			break
		}
	}
	p.serve(now)
	return p.done()
}

// Free tells that whoever had a connection is done with it.
func (p *Pool) Free(c ID, now float64) []Action {
	if x := p.conns[c]; x != nil && x.state == used {
		p.free(x, now)
		p.serve(now)
	}
	return p.done()
}

func (p *Pool) free(x *conn, now float64) {
	if x.doomed || p.server(x.server).barred || p.lim.LifeMs > 0 && now-x.born >= p.lim.LifeMs {
		p.drop(x)
		p.act(Action{Do: Close, Server: x.server, Conn: x.id})
		return
	}
	x.state, x.since = idle, now
	p.idle[x.server] = append(p.idle[x.server], x)
}

// Lost tells that a connection has ended.
func (p *Pool) Lost(c ID, now float64) []Action {
	if x := p.conns[c]; x != nil {
		p.drop(x)
		p.serve(now)
	}
	return p.done()
}

func (p *Pool) drop(x *conn) {
	delete(p.conns, x.id)
	p.server(x.server).conns--
	p.unidle(x)
}

func (p *Pool) unidle(x *conn) {
	l := p.idle[x.server]
	if i := slices.Index(l, x); i >= 0 {
		p.idle[x.server] = slices.Delete(l, i, i+1)
	}
}

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
	p.queue = slices.DeleteFunc(p.queue, func(w *waiter) bool {
		if w.server != to {
			return false
		}
		p.act(Action{Do: Refuse, Server: to, Waiter: w.id})
		return true
	})
	p.serve(now)
	return p.done()
}

// Unbar tells that a server may be used again.
func (p *Pool) Unbar(to string) { p.server(to).barred = false }

// Barred tells whether a server drains or is gone.
func (p *Pool) Barred(to string) bool { return p.server(to).barred }

// Beat lets time pass: waits that were too long end, and connections that rested or lived too long are closed.
func (p *Pool) Beat(now float64) []Action {
	if p.lim.WaitMs > 0 {
		for len(p.queue) > 0 && now-p.queue[0].since >= p.lim.WaitMs { // they stand in the order of their coming
			p.act(Action{Do: Refuse, Server: p.queue[0].server, Waiter: p.queue[0].id})
			p.queue = p.queue[1:]
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
	slices.SortFunc(p.out, func(a, b Action) int { return cmp.Or(cmp.Compare(b.Do, a.Do), cmp.Compare(a.Conn, b.Conn)) })
	p.serve(now)
	return p.done()
}

// serve gives what is idle to those who wait, the first come first, and opens what may be opened for the rest.
func (p *Pool) serve(now float64) {
	if len(p.queue) == 0 {
		return
	}
	wanted := map[string]int{} // by server: waiters passed over so far
	keep := p.queue[:0]
	for _, w := range p.queue {
		if l := p.idle[w.server]; len(l) > 0 {
			x := l[len(l)-1]
			p.idle[w.server] = l[:len(l)-1]
			x.state = used
			p.act(Action{Do: Give, Server: w.server, Conn: x.id, Waiter: w.id})
			continue
		}
		wanted[w.server]++
		if p.mayDial(w, wanted[w.server], now) {
			s := p.server(w.server)
			s.dialing++
			p.dialing++
			p.act(Action{Do: Dial, Server: w.server})
		}
		keep = append(keep, w)
	}
	clear(p.queue[len(keep):])
	p.queue = keep
}

// mayDial tells whether a connection may be opened for a waiter, before whom so many wait for the same server.
func (p *Pool) mayDial(w *waiter, nth int, now float64) bool {
	s := p.server(w.server)
	if s.dialing >= nth || s.dialing >= p.lim.Dials || now < s.until || s.conns+s.dialing >= p.lim.PerServer {
		return false
	}
	most := p.lim.Most
	if p.lim.Reserve > 0 && now-w.since >= p.lim.ReserveMs {
		most += p.lim.Reserve
	}
	if len(p.conns)+p.dialing < most {
		return true
	}
	// All are taken: one that idles at another server makes room.
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
