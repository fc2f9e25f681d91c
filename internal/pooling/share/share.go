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

type waiter struct {
	id     ID
	server string
	since  float64
	seq    uint64
	gone   bool // it has left the line and is only not taken out yet
}

// line is those who wait for one server, in the order of their coming.
type line struct {
	list []*waiter
	head int
	n    int // that have not gone
}

func (l *line) first() *waiter {
	for l.head < len(l.list) && l.list[l.head].gone {
		l.list[l.head] = nil
		l.head++
	}
	if l.head == len(l.list) {
		l.list, l.head = l.list[:0], 0
		return nil
	}
	if l.head > 256 && l.head > len(l.list)/2 {
		l.list = l.list[:copy(l.list, l.list[l.head:])]
		l.head = 0
	}
	return l.list[l.head]
}

// shareMs is by how much longer those for another server must have waited, for a connection that comes free to make
// room for one of theirs.
const shareMs = 100

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

// Counts is how many connections are idle, in use and coming up, and how many clients wait.
func (p *Pool) Counts() (idle, used, dialing, waiting int) {
	for _, l := range p.idle {
		idle += len(l)
	}
	return idle, len(p.conns) - idle, p.dialing, len(p.waits)
}

// Oldest is since when the one that waits longest does, 0 for nobody.
func (p *Pool) Oldest() float64 {
	if w := p.longest(""); w != nil {
		return w.since
	}
	return 0
}

// longest is who waits longest, for another server than the given one.
func (p *Pool) longest(but string) (found *waiter) {
	for name, l := range p.lines {
		if w := l.first(); w != nil && name != but && (found == nil || w.seq < found.seq) {
			found = w
		}
	}
	return found
}

// depart takes a waiter out.
func (p *Pool) depart(w *waiter) {
	w.gone = true
	delete(p.waits, w.id)
	if l := p.lines[w.server]; l != nil {
		if l.n--; l.n == 0 {
			delete(p.lines, w.server)
		}
	}
}

func (p *Pool) refuse(w *waiter) {
	p.depart(w)
	p.act(Action{Do: Refuse, Server: w.server, Waiter: w.id})
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
