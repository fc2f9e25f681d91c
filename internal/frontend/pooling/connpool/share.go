// Package connpool decides who gets a server connection, who waits, who is turned away and what is closed, for the pools of
// one pooler. It does no I/O, has no clock and no goroutines: it is told what happens and answers what is to be done.
package connpool

import "slices"

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
	Admit            // Waiter may ask for a connection now
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
	waits   map[ID]*waiter
	lines   map[string]*line // of the servers that somebody waits for
	doors   map[string]*door // by kind of transaction
	inside  map[ID]*door     // those that were let in
	outside map[ID]*waiter   // those that wait to be
	servers map[string]*server
	dialing int
	seq     uint64
	out     []Action
	told    bool // Most is told, and may fall
	own     Limits
}

// New makes a pool.
func New(lim Limits) *Pool {
	if lim.PerServer <= 0 {
		lim.PerServer = lim.Most + lim.Reserve
	}
	lim.Dials = max(1, lim.Dials)
	return &Pool{lim: lim, own: lim, doors: map[string]*door{}, inside: map[ID]*door{}, outside: map[ID]*waiter{}, waits: map[ID]*waiter{}, lines: map[string]*line{}, conns: map[ID]*conn{}, idle: map[string][]*conn{}, servers: map[string]*server{}}
}

// Counts is how many connections are idle, in use and coming up, and how many clients wait.
func (p *Pool) Counts() (idle, used, dialing, waiting int) {
	for _, l := range p.idle {
		idle += len(l)
	}
	return idle, len(p.conns) - idle, p.dialing, len(p.waits)
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
	x := &waiter{id: w, server: to, since: now, seq: p.seq}
	l := p.lines[to]
	if l == nil {
		l = &line{}
		p.lines[to] = l
	}
	l.list = append(l.list, x)
	l.n++
	p.waits[w] = x
	p.serve(to, now)
	// It may only wait where there is room to: a place in the queue counts for those that found nothing.
	if len(p.waits) > p.lim.Queue && !x.gone {
		p.refuse(x)
	}
	return p.done()
}

// Leave takes a waiter out that wants nothing any more.
func (p *Pool) Leave(w ID, now float64) []Action {
	if x := p.waits[w]; x != nil {
		p.depart(x)
	}
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
	p.serve(to, now)
	return p.done()
}

// Down tells that a dial has failed. Those who wait for that server are told, in their order, one for each dial: it is
// for the router to say where they go next.
func (p *Pool) Down(to string, now float64) []Action {
	s := p.server(to)
	s.dialing--
	p.dialing--
	s.until = now + p.lim.AgainMs
	if l := p.lines[to]; l != nil {
		p.refuse(l.first())
	}
	p.serve(to, now)
	return p.done()
}

// Free tells that whoever had a connection is done with it.
func (p *Pool) Free(c ID, now float64) []Action {
	if x := p.conns[c]; x != nil && x.state == used {
		if w := p.longest(x.server); w != nil && len(p.conns)+p.dialing >= p.lim.Most && p.behind(w, x.server) && p.room(w.server, now) {
			x.doomed = true // those for another server have waited far longer than any for this one
		}
		p.free(x, now)
		p.serve(x.server, now)
	}
	return p.done()
}

// behind tells whether a waiter has waited much longer than any for a server.
func (p *Pool) behind(w *waiter, server string) bool {
	l := p.lines[server]
	return l != nil && l.first().since-w.since >= shareMs
}

// Tell has this pool's connections be so many at most, in place of what the settings say and its reserve; Untell ends it. Idle ones that
// are beyond are closed, those in use once they are free.
func (p *Pool) Tell(most int, now float64) []Action {
	p.told, p.lim.Most, p.lim.Reserve = true, most, 0
	for len(p.conns)+p.dialing > most {
		var oldest *conn
		for _, l := range p.idle {
			if len(l) > 0 && (oldest == nil || l[0].since < oldest.since || l[0].since == oldest.since && l[0].id < oldest.id) {
				oldest = l[0]
			}
		}
		if oldest == nil {
			break
		}
		p.drop(oldest)
		p.act(Action{Do: Close, Server: oldest.server, Conn: oldest.id})
	}
	for _, d := range p.doors {
		p.admit(d)
	}
	p.open(now)
	return p.done()
}

// Untell has the pool's limits be those of the settings again.
func (p *Pool) Untell(now float64) []Action {
	p.told, p.lim.Most, p.lim.Reserve = false, p.own.Most, p.own.Reserve
	for _, d := range p.doors {
		p.admit(d)
	}
	p.open(now)
	return p.done()
}

func (p *Pool) free(x *conn, now float64) {
	if x.doomed || p.told && len(p.conns)+p.dialing > p.lim.Most || p.server(x.server).barred || p.lim.LifeMs > 0 && now-x.born >= p.lim.LifeMs {
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
		p.serve(x.server, now)
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
